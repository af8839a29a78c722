// Package failover decides what part of each home zone's traffic goes to which zone: reports in, a plan out. It does no I/O, has no clock
// and starts nothing; who makes the plan that is in force, and how it gets to the sidecars, is no matter of its.
package failover

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

type (
	Micros   int64  // a point in time or a span
	Zone     string // as the list has it
	Reporter string // a member's name
	Number   uint64 // of a plan: a higher one counts
)

// Place is a zone, and the region that it stands in.
type Place struct {
	Zone   Zone
	Region string
}

// Terms are what is set.
type Terms struct {
	Places  []Place
	Far     float64             // cost of a way between regions; within one it is 1
	Ways    map[[2]Zone]float64 // cost of a way where it differs
	Reserve float64             // part of what a zone carries that is kept free of others' requests
	Enter   float64             // part of what its home zone carries from which requests are sent on
	Leave   float64             // and down to which, once that has begun; lower
	Out     float64             // part of a zone's requests that may newly leave it in a second
	Back    float64             // and come back
	Every   Micros              // from one plan to the next
	Lasts   Micros              // a plan's time
	Fresh   Micros              // a report's
}

// Check tells what is wrong with them, in one line.
func (t Terms) Check() error {
	seen := map[Zone]string{}
	for _, p := range t.Places {
		if in, twice := seen[p.Zone]; twice {
			return fmt.Errorf("zone %s is in two places: %s and %s", p.Zone, in, p.Region)
		}
		seen[p.Zone] = p.Region
	}
	for _, f := range []struct {
		name     string
		n        float64
		from, to float64
	}{{"far", t.Far, 1, math.MaxFloat64}, {"reserve", t.Reserve, 0, 0.9}, {"enter", t.Enter, 0.01, 1}, {"leave", t.Leave, 0.01, t.Enter}, {"out", t.Out, 0.001, 1e3},
		{"back", t.Back, 0.001, t.Out}, {"every", float64(t.Every), 1, float64(t.Lasts)}, {"fresh", float64(t.Fresh), 1, math.MaxFloat64}} {
		if !(f.n >= f.from && f.n <= f.to) {
			return fmt.Errorf("%s: %v is no number from %v to %v", f.name, f.n, f.from, f.to)
		}
	}
	for way, cost := range t.Ways {
		if !(cost > 0) || math.IsInf(cost, 0) {
			return fmt.Errorf("the way from %s to %s costs %v, which is no number over 0", way[0], way[1], cost)
		}
	}
	return nil
}

// region is a zone's; one that the table lacks stands in none.
func (t Terms) region(z Zone) (string, bool) {
	i := slices.IndexFunc(t.Places, func(p Place) bool { return p.Zone == z })
	if i < 0 {
		return "", false
	}
	return t.Places[i].Region, true
}

// cost is that of the way between two zones. A zone that the table lacks is served last.
func (t Terms) cost(from, to Zone) float64 {
	if cost, there := t.Ways[[2]Zone{from, to}]; there {
		return cost
	}
	a, known := t.region(from)
	b, other := t.region(to)
	switch {
	case !known || !other:
		return 2 * t.Far
	case a == b:
		return 1
	}
	return t.Far
}

// Share is the part of a home zone's requests that one zone gets.
type Share struct {
	To   Zone
	Part float64
}

// Plan is what all go by until its end.
type Plan struct {
	Number Number
	Made   Micros
	End    Micros
	Of     map[Zone][]Share // by home zone, home first, the others by name; their parts make one
	Why    map[Zone]string  // for each home zone that does not keep all
	Base   map[Zone]Base    // what it was reckoned from: the bound for those who hear no other
}

// Base is what a plan was reckoned from, of one zone.
type Base struct {
	Offered float64 // by its clients
	Room    float64 // for others' requests
	Members int     // sidecars whose home it is
}

// Part is the part of a home zone's requests that a zone gets. A zone that the plan lacks keeps all.
func (p Plan) Part(home, to Zone) float64 {
	shares, there := p.Of[home]
	if !there && home == to {
		return 1
	}
	for _, s := range shares {
		if s.To == to {
			return s.Part
		}
	}
	return 0
}

// State is what is believed of a zone.
type State struct {
	Zone    Zone
	Offered float64 // work a second that its own clients bring
	Carries float64 // work a second that its servers can carry now
	Strains bool    // answers come late, or it turns requests away: what it gets must not grow
	Cut     []Zone  // home zones whose sidecars don't reach it
	Members int     // sidecars whose home it is, that may be sending
}

// Reckon makes the plan that follows another: what each zone's requests are beyond what it carries goes to the nearest zones with headroom, as
// far as that goes and no faster than is set. What nobody can carry stays at home, to be turned away there: nobody crosses for it.
func (t Terms) Reckon(now Micros, states []State, before Plan) Plan {
	states = slices.SortedFunc(slices.Values(states), func(a, b State) int { return strings.Compare(string(a.Zone), string(b.Zone)) })
	wanted := t.flows(states, before)
	next := Plan{Number: before.Number + 1, Made: now, End: now + t.Lasts, Of: map[Zone][]Share{}, Why: map[Zone]string{}, Base: map[Zone]Base{}}
	span := float64(min(max(now-before.Made, 0), 4*t.Every)) / 1e6
	if before.Number == 0 {
		span = float64(t.Every) / 1e6
	}
	for i, home := range states {
		rest, away := 1.0, []Share{}
		for j, to := range states {
			if i == j {
				continue
			}
			was, part := before.Part(home.Zone, to.Zone), 0.0
			if home.Offered > 0 {
				part = wanted[i][j] / home.Offered
			}
			switch gone := slices.Contains(to.Cut, home.Zone) || to.Carries <= 0; {
			case gone: // at once: nothing is carried there
			case part > was && to.Strains: // prevents a zone felled by what it is sent before it tells so
				part = was
			default:
				part = min(max(part, was-t.Back*span), was+t.Out*span)
			}
			if part = min(part, rest); part > 0 {
				away = append(away, Share{to.Zone, part})
				rest -= part
			}
		}
		next.Of[home.Zone] = append([]Share{{home.Zone, max(rest, 0)}}, away...)
	}
	t.bound(states, next)
	for _, home := range states {
		next.Base[home.Zone] = Base{home.Offered, t.headroom(home), home.Members}
		if shares := next.Of[home.Zone]; len(shares) > 1 {
			next.Why[home.Zone] = why(home, shares)
		}
	}
	return next
}

// bound keeps all that is sent into a zone within its headroom, the newest first: what the last plan's pace or a smaller offer left may be more.
func (t Terms) bound(states []State, next Plan) {
	for _, to := range states {
		room, into := t.headroom(to), 0.0
		for _, home := range states {
			if home.Zone != to.Zone {
				into += next.Part(home.Zone, to.Zone) * home.Offered
			}
		}
		if into <= room {
			continue
		}
		keep := room / into
		for _, home := range states {
			shares := next.Of[home.Zone]
			for i := 1; i < len(shares); i++ {
				if shares[i].To == to.Zone {
					back := shares[i].Part * (1 - keep)
					shares[i].Part -= back
					shares[0].Part += back
				}
			}
			next.Of[home.Zone] = slices.DeleteFunc(shares, func(s Share) bool { return s.To != home.Zone && s.Part < 1e-9 })
		}
	}
}

func (t Terms) headroom(s State) float64 { return max(0, s.Carries*(1-t.Reserve)-s.Offered) }

// surplus is the work that a zone is to send on: from a higher mark on if it sent nothing before, down to a lower one if it did.
func (t Terms) surplus(s State, before Plan) float64 {
	mark := t.Enter
	if before.Part(s.Zone, s.Zone) < 1 {
		mark = t.Leave
	}
	return max(0, s.Offered-mark*max(s.Carries, 0))
}

// flows are how much work is to go from each zone to each other: nearest first, and among those that want the same headroom the smaller wishes
// are met whole and the others get the same (max-min fair).
func (t Terms) flows(states []State, before Plan) [][]float64 {
	n := len(states)
	out, left, room := make([][]float64, n), make([]float64, n), make([]float64, n)
	var costs []float64
	for i, s := range states {
		out[i], left[i], room[i] = make([]float64, n), t.surplus(s, before), t.headroom(s)
		for j := range states {
			if c := t.cost(s.Zone, states[j].Zone); i != j && !slices.Contains(costs, c) {
				costs = append(costs, c)
			}
		}
	}
	slices.Sort(costs)
	open := func(i, j int, cost float64) bool {
		return i != j && t.cost(states[i].Zone, states[j].Zone) == cost && !slices.Contains(states[j].Cut, states[i].Zone)
	}
	const least = 1e-9
	for _, cost := range costs {
		for range 4 * n * n { // ends sooner: each time round a wish or a headroom is used up, or little is left of it
			asks := make([][]float64, n) // each wish, over the zones that are open to it, by their headroom
			for i := range n {
				asks[i] = make([]float64, n)
				sum := 0.0
				for j := range n {
					if open(i, j, cost) {
						sum += room[j]
					}
				}
				for j := range n {
					if left[i] > least && sum > least && open(i, j, cost) {
						asks[i][j] = left[i] * room[j] / sum
					}
				}
			}
			moved := 0.0
			for j := range n {
				level := fair(asks, j, room[j])
				for i := range n {
					gets := min(asks[i][j], level)
					out[i][j], left[i], room[j] = out[i][j]+gets, left[i]-gets, max(room[j]-gets, 0)
					moved += gets
				}
			}
			if moved < least {
				break
			}
		}
	}
	return out
}

// fair is the level up to which all that ask of a zone are met.
func fair(asks [][]float64, of int, room float64) float64 {
	var all []float64
	for i := range asks {
		if a := asks[i][of]; a > 0 {
			all = append(all, a)
		}
	}
	slices.Sort(all)
	for i, a := range all {
		if a*float64(len(all)-i) >= room {
			return room / float64(len(all)-i)
		}
		room -= a
	}
	return math.Inf(1)
}

func why(home State, shares []Share) string {
	load := "nothing there carries anything"
	if home.Carries > 0 {
		load = fmt.Sprintf("at %.2f of what it can do", home.Offered/home.Carries)
	}
	var parts []string
	for _, s := range shares[1:] {
		parts = append(parts, fmt.Sprintf("%.2f to %s", s.Part, s.To))
	}
	return fmt.Sprintf("%s %s: %s, %.2f stays", home.Zone, load, strings.Join(parts, ", "), shares[0].Part)
}

// Follows tells whether a plan is to be followed in place of another, now, which prevents one that a leader of yesterday made, and one that is over.
func (p Plan) Follows(old Plan, now Micros) bool { return p.Number > old.Number && now < p.End }

// Valid tells whether a plan that came from elsewhere can be one: each home zone's parts make one, and none is less than nothing.
func (p Plan) Valid() bool {
	for home, shares := range p.Of {
		sum, had := 0.0, map[Zone]bool{}
		for i, s := range shares {
			if !(s.Part >= 0 && s.Part <= 1+1e-9) || had[s.To] || i == 0 != (s.To == home) {
				return false
			}
			had[s.To] = true
			sum += s.Part
		}
		if !(math.Abs(sum-1) < 1e-6) {
			return false
		}
	}
	return p.Number > 0 && p.Made < p.End
}
