package depth

// arithmetic.go computes the expected load of a failing chain from the parameters of the retry buckets.

// ExpectedCalls holds the expected numbers of calls at the last hop per call at the top of a chain. Each call to the last
// service fails independently with a fixed probability, with errors that are safe to retry. Steady is the number long after
// the service began to fail, Fresh the one at the start, while the retry buckets are still full.
type ExpectedCalls struct {
	Share  float64   `json:"share_to_the_depth"` // 1.2 to the power of the depth: the number if each hop added a fifth of retries
	Steady float64   `json:"steady"`
	Fresh  float64   `json:"fresh"`
	Hops   []float64 `json:"steady_retries_for_each_visit"` // steady retries per request, by hop
	// FreshS is the time in seconds until the last hop's bucket is empty. A full bucket holds retries for a fifth of
	// the first attempts of ten seconds.
	FreshS float64 `json:"fresh_s"`
}

// Parameters of the retry buckets, as in package brain: a full bucket holds retries for the fraction retryRatio of
// the first attempts of windowSeconds; a retry takes retryCost tokens, of which all are returned if it succeeds and
// failedRefund if it fails; a delivered first attempt adds firstAttemptRefund.
const retryRatio, retryCost, failedRefund, firstAttemptRefund, windowSeconds = 0.2, 10.0, 5.0, 1.0, 10.0

// ComputeExpected computes the numbers from the last hop upwards: the retries of a hop raise its success rate, which is
// the one that the hop above sees.
func ComputeExpected(depth int, fails float64, fetches int) ExpectedCalls {
	expected := ExpectedCalls{Share: 1, Steady: 1, Fresh: 1, Hops: make([]float64, depth)}
	steady, fresh := 1-fails, 1-fails
	for hop := depth - 1; hop >= 0; hop-- {
		expected.Share *= 1 + retryRatio
		freshRetries := expectedRetries(fresh, fetches)
		if hop == depth-1 && freshRetries*(1-fresh)*(retryCost-failedRefund) > firstAttemptRefund*fresh {
			expected.FreshS = retryRatio * retryCost * windowSeconds / (freshRetries*(1-fresh)*(retryCost-failedRefund) - firstAttemptRefund*fresh)
		}
		expected.Fresh *= 1 + freshRetries
		fresh = min(1, fresh*(1+freshRetries))
		retries := expectedRetries(steady, fetches)
		if steady < 1 { // delivered first attempts pay for failed retries; a delivered retry costs nothing
			retries = min(retries, firstAttemptRefund*steady/((retryCost-failedRefund)*(1-steady)))
		}
		expected.Hops[hop] = retries
		expected.Steady *= 1 + retries
		steady = min(1, steady*(1+retries))
	}
	return expected
}

// expectedRetries returns the expected number of retries of a request that may have maxAttempts attempts,
// each of which succeeds with this probability.
func expectedRetries(success float64, maxAttempts int) (sum float64) {
	left := 1.0
	for range maxAttempts - 1 {
		left *= 1 - success
		sum += left
	}
	return sum
}
