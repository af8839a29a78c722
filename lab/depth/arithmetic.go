package depth

// Sums are what the design's figures say of a chain whose last service fails for a part of its calls, errors that are safe to
// repeat, each try by chance, long after it began to fail (Steady) and while buckets are still full (Fresh).
type Sums struct {
	Share  float64   `json:"share_to_the_depth"` // 1.2 to the depth: each hop a fifth more
	Steady float64   `json:"steady"`
	Fresh  float64   `json:"fresh"`
	Hops   []float64 `json:"steady_retries_for_each_visit"` // by hop
	// FreshS is for how many seconds the last hop's bucket lasts: it holds the retries of a fifth of ten seconds' first tries.
	FreshS float64 `json:"fresh_s"`
}

const share, cost, failedGives, refill, span = 0.2, 10.0, 5.0, 1.0, 10.0 // docs: DESIGN, and brain.go's figures

// Arithmetic works them out, from the last hop up: a hop's visits succeed as its retries let them, and its callers see that.
func Arithmetic(depth int, fails float64, fetches int) Sums {
	s := Sums{Share: 1, Steady: 1, Fresh: 1, Hops: make([]float64, depth)}
	steady, fresh := 1-fails, 1-fails
	for hop := depth - 1; hop >= 0; hop-- {
		s.Share *= 1 + share
		wanted := tries(fresh, fetches)
		if hop == depth-1 && wanted*(1-fresh)*(cost-failedGives) > refill*fresh {
			s.FreshS = share * cost * span / (wanted*(1-fresh)*(cost-failedGives) - refill*fresh)
		}
		s.Fresh *= 1 + wanted
		fresh = min(1, fresh*(1+wanted))
		retries := tries(steady, fetches)
		if steady < 1 { // a delivered first try pays for a part of a failed retry; delivered ones cost nothing
			retries = min(retries, refill*steady/((cost-failedGives)*(1-steady)))
		}
		s.Hops[hop] = retries
		s.Steady *= 1 + retries
		steady = min(1, steady*(1+retries))
	}
	return s
}

// tries are the retries of a visit that may have so many fetches, where each succeeds by this chance.
func tries(success float64, fetches int) (sum float64) {
	left := 1.0
	for range fetches - 1 {
		left *= 1 - success
		sum += left
	}
	return sum
}
