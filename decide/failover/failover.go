// Package failover computes which fraction of each zone's traffic is sent to which other zones. A zone's
// sidecars are its home sidecars, and their requests stay in the home zone unless it is overloaded or lost.
// Reports of sidecars go in and a Plan comes out. The package does no I/O, reads no clock and starts no
// goroutines. Electing the sidecar that makes the plan and distributing the plan are up to the caller.
package failover

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

type (
	Micros   int64  // a point in time or a duration, in microseconds
	Zone     string // name of a zone, as in the server list
	Reporter string // name of the member that sent a report
	Number   uint64 // number of a plan; a higher number supersedes a lower one
)

// ZoneRegion assigns a zone to a region.
type ZoneRegion struct {
	Zone   Zone
	Region string
}

// Config holds the settings.
type Config struct {
	Regions          []ZoneRegion        // region of each zone
	InterRegionCost  float64             // cost of sending a request to another region; within a region the cost is 1
	CostOverrides    map[[2]Zone]float64 // costs for pairs of zones (from, to) that differ from that
	ReservedFraction float64             // fraction of a zone's capacity that other zones' requests may not use
	SpillStart       float64             // load / capacity above which a zone starts to send requests to others
	SpillStop        float64             // load / capacity down to which it continues to do so; not above SpillStart
	MaxIncrease      float64             // maximum increase per second of the fraction that a zone sends to another
	MaxDecrease      float64             // maximum decrease per second of that fraction
	PlanInterval     Micros              // interval between plans
	PlanLifetime     Micros              // how long a plan is valid
	ReportLifetime   Micros              // how long a report is valid
}

// Check returns an error that names the first invalid setting.
func (c Config) Check() error {
	seen := map[Zone]string{}
	for _, assigned := range c.Regions {
		if in, twice := seen[assigned.Zone]; twice {
			return fmt.Errorf("zone %s is assigned to two regions: %s and %s", assigned.Zone, in, assigned.Region)
		}
		seen[assigned.Zone] = assigned.Region
	}
	for _, setting := range []struct {
		name     string
		value    float64
		from, to float64
	}{{"far", c.InterRegionCost, 1, math.MaxFloat64}, {"reserve", c.ReservedFraction, 0, 0.9}, {"enter", c.SpillStart, 0.01, 1}, {"leave", c.SpillStop, 0.01, c.SpillStart}, {"out", c.MaxIncrease, 0.001, 1e3},
		{"back", c.MaxDecrease, 0.001, c.MaxIncrease}, {"every", float64(c.PlanInterval), 1, float64(c.PlanLifetime)}, {"fresh", float64(c.ReportLifetime), 1, math.MaxFloat64}} {
		if !(setting.value >= setting.from && setting.value <= setting.to) {
			return fmt.Errorf("%s: %v is not between %v and %v", setting.name, setting.value, setting.from, setting.to)
		}
	}
	for zones, cost := range c.CostOverrides {
		if !(cost > 0) || math.IsInf(cost, 0) {
			return fmt.Errorf("the cost of sending from %s to %s is %v, want a finite number above 0", zones[0], zones[1], cost)
		}
	}
	return nil
}

// region returns the region of a zone, or false if the zone is not configured.
func (c Config) region(zone Zone) (string, bool) {
	i := slices.IndexFunc(c.Regions, func(p ZoneRegion) bool { return p.Zone == zone })
	if i < 0 {
		return "", false
	}
	return c.Regions[i].Region, true
}

// cost returns the cost of sending a request from one zone to another. A zone without a region costs the
// most, so that it is used last.
func (c Config) cost(from, to Zone) float64 {
	if cost, there := c.CostOverrides[[2]Zone{from, to}]; there {
		return cost
	}
	fromRegion, fromKnown := c.region(from)
	toRegion, toKnown := c.region(to)
	switch {
	case !fromKnown || !toKnown:
		return 2 * c.InterRegionCost
	case fromRegion == toRegion:
		return 1
	}
	return c.InterRegionCost
}

// Share is the fraction of a home zone's requests that one zone receives.
type Share struct {
	To       Zone
	Fraction float64
}

// Plan is a traffic distribution that all sidecars follow until it expires.
type Plan struct {
	Number    Number
	CreatedAt Micros
	ExpiresAt Micros
	Shares    map[Zone][]Share    // by home zone, whose own share comes first; fractions add up to 1
	Reasons   map[Zone]string     // explanation for each home zone that sends requests to others
	Inputs    map[Zone]ZoneInputs // inputs of the plan; they limit sidecars that receive no newer plan
}

// ZoneInputs are the inputs of a plan for one zone.
type ZoneInputs struct {
	Offered  float64 // load that its own clients bring, in work per second
	Headroom float64 // capacity available for other zones' requests
	Members  int     // number of sidecars whose home it is
}

// Fraction returns the fraction of a home zone's requests that the zone to receives. A home zone that is not
// in the plan keeps all its requests.
func (p Plan) Fraction(home, to Zone) float64 {
	shares, there := p.Shares[home]
	if !there && home == to {
		return 1
	}
	for _, s := range shares {
		if s.To == to {
			return s.Fraction
		}
	}
	return 0
}

// ZoneState is the estimated state of a zone.
type ZoneState struct {
	Zone            Zone
	Offered         float64 // load that its own clients bring, in work per second
	Capacity        float64 // current capacity of its servers, in work per second
	Overloaded      bool    // it answers late or rejects requests, so its share must not grow
	UnreachableFrom []Zone  // home zones whose sidecars can't reach it
	Members         int     // number of sidecars whose home it is and that may send requests
}

// NextPlan computes the plan that follows another. A zone's load above its capacity goes to the nearest zones
// with headroom, as far as there is headroom, and the distribution changes no faster than configured. Load
// that no zone can carry stays in the home zone and is rejected there.
func (c Config) NextPlan(now Micros, states []ZoneState, previous Plan) Plan {
	states = slices.SortedFunc(slices.Values(states), func(a, b ZoneState) int { return strings.Compare(string(a.Zone), string(b.Zone)) })
	wanted := c.allocate(states, previous)
	next := Plan{Number: previous.Number + 1, CreatedAt: now, ExpiresAt: now + c.PlanLifetime, Shares: map[Zone][]Share{}, Reasons: map[Zone]string{}, Inputs: map[Zone]ZoneInputs{}}
	elapsed := float64(min(max(now-previous.CreatedAt, 0), 4*c.PlanInterval)) / 1e6
	if previous.Number == 0 {
		elapsed = float64(c.PlanInterval) / 1e6
	}
	for i, home := range states {
		remaining, sent := 1.0, []Share{}
		for j, to := range states {
			if i == j {
				continue
			}
			previousFraction, fraction := previous.Fraction(home.Zone, to.Zone), 0.0
			if home.Offered > 0 {
				fraction = wanted[i][j] / home.Offered
			}
			switch unreachable := slices.Contains(to.UnreachableFrom, home.Zone) || to.Capacity <= 0; {
			case unreachable: // no gradual change, since no request can be served there
			// A zone that reports overload gets no more, or it could fail before its capacity figure drops.
			case fraction > previousFraction && to.Overloaded:
				fraction = previousFraction
			default:
				fraction = min(max(fraction, previousFraction-c.MaxDecrease*elapsed), previousFraction+c.MaxIncrease*elapsed)
			}
			if fraction = min(fraction, remaining); fraction > 0 {
				sent = append(sent, Share{to.Zone, fraction})
				remaining -= fraction
			}
		}
		next.Shares[home.Zone] = append([]Share{{home.Zone, max(remaining, 0)}}, sent...)
	}
	c.limitToHeadroom(states, next)
	for _, home := range states {
		next.Inputs[home.Zone] = ZoneInputs{home.Offered, c.headroom(home), home.Members}
		if shares := next.Shares[home.Zone]; len(shares) > 1 {
			next.Reasons[home.Zone] = explain(home, shares)
		}
	}
	return next
}

// limitToHeadroom reduces the shares sent into a zone, all by the same factor, to its headroom. They can
// exceed it because shares shrink only at the configured rate, or because the headroom itself shrank.
func (c Config) limitToHeadroom(states []ZoneState, next Plan) {
	for _, to := range states {
		headroom, received := c.headroom(to), 0.0
		for _, home := range states {
			if home.Zone != to.Zone {
				received += next.Fraction(home.Zone, to.Zone) * home.Offered
			}
		}
		if received <= headroom {
			continue
		}
		keep := headroom / received
		for _, home := range states {
			shares := next.Shares[home.Zone]
			for i := 1; i < len(shares); i++ {
				if shares[i].To == to.Zone {
					returned := shares[i].Fraction * (1 - keep)
					shares[i].Fraction -= returned
					shares[0].Fraction += returned
				}
			}
			next.Shares[home.Zone] = slices.DeleteFunc(shares, func(s Share) bool { return s.To != home.Zone && s.Fraction < 1e-9 })
		}
	}
}

// headroom returns the capacity of a zone that other zones may use.
func (c Config) headroom(zone ZoneState) float64 {
	return max(0, zone.Capacity*(1-c.ReservedFraction)-zone.Offered)
}

// surplus returns the load that a zone must send to others. The threshold is SpillStart if the last plan
// sent nothing and SpillStop if it did, which gives hysteresis.
func (c Config) surplus(zone ZoneState, previous Plan) float64 {
	threshold := c.SpillStart
	if previous.Fraction(zone.Zone, zone.Zone) < 1 {
		threshold = c.SpillStop
	}
	return max(0, zone.Offered-threshold*max(zone.Capacity, 0))
}

// allocate computes the load that goes from each zone to each other. The cheapest targets are filled first.
// Zones that compete for the same headroom get max-min fair amounts: small requests are granted in full and
// the rest share equally.
func (c Config) allocate(states []ZoneState, previous Plan) [][]float64 {
	zoneCount := len(states)
	allocated, surplus, headroom := make([][]float64, zoneCount), make([]float64, zoneCount), make([]float64, zoneCount)
	var costs []float64
	for i, s := range states {
		allocated[i], surplus[i], headroom[i] = make([]float64, zoneCount), c.surplus(s, previous), c.headroom(s)
		for j := range states {
			if zoneCost := c.cost(s.Zone, states[j].Zone); i != j && !slices.Contains(costs, zoneCost) {
				costs = append(costs, zoneCost)
			}
		}
	}
	slices.Sort(costs)
	eligible := func(i, j int, cost float64) bool {
		return i != j && c.cost(states[i].Zone, states[j].Zone) == cost && !slices.Contains(states[j].UnreachableFrom, states[i].Zone)
	}
	const epsilon = 1e-9
	for _, cost := range costs {
		for range 4 * zoneCount * zoneCount { // an upper bound: each round uses up a surplus or a headroom, or nearly so
			// Each zone's surplus, split over its reachable targets in proportion to their headroom.
			requested := make([][]float64, zoneCount)
			for i := range zoneCount {
				requested[i] = make([]float64, zoneCount)
				sum := 0.0
				for j := range zoneCount {
					if eligible(i, j, cost) {
						sum += headroom[j]
					}
				}
				for j := range zoneCount {
					if surplus[i] > epsilon && sum > epsilon && eligible(i, j, cost) {
						requested[i][j] = surplus[i] * headroom[j] / sum
					}
				}
			}
			moved := 0.0
			for j := range zoneCount {
				level := fairLevel(requested, j, headroom[j])
				for i := range zoneCount {
					granted := min(requested[i][j], level)
					allocated[i][j], surplus[i], headroom[j] = allocated[i][j]+granted, surplus[i]-granted, max(headroom[j]-granted, 0)
					moved += granted
				}
			}
			if moved < epsilon {
				break
			}
		}
	}
	return allocated
}

// fairLevel returns the maximum amount that each zone gets from one target under max-min fairness.
func fairLevel(requested [][]float64, target int, headroom float64) float64 {
	var amounts []float64
	for i := range requested {
		if amount := requested[i][target]; amount > 0 {
			amounts = append(amounts, amount)
		}
	}
	slices.Sort(amounts)
	for i, amount := range amounts {
		if amount*float64(len(amounts)-i) >= headroom {
			return headroom / float64(len(amounts)-i)
		}
		headroom -= amount
	}
	return math.Inf(1)
}

// explain describes why a home zone sends requests to others.
func explain(home ZoneState, shares []Share) string {
	load := "nothing there carries anything"
	if home.Capacity > 0 {
		load = fmt.Sprintf("at %.2f of what it can do", home.Offered/home.Capacity)
	}
	var parts []string
	for _, s := range shares[1:] {
		parts = append(parts, fmt.Sprintf("%.2f to %s", s.Fraction, s.To))
	}
	return fmt.Sprintf("%s %s: %s, %.2f stays", home.Zone, load, strings.Join(parts, ", "), shares[0].Fraction)
}

// Supersedes reports whether p replaces old: it must be newer, so that a former leader's plan is not used, and
// not expired.
func (p Plan) Supersedes(old Plan, now Micros) bool {
	return p.Number > old.Number && now < p.ExpiresAt
}

// Valid reports whether a received plan is well-formed: the fractions of each home zone are not negative and
// add up to 1.
func (p Plan) Valid() bool {
	for home, shares := range p.Shares {
		sum, seen := 0.0, map[Zone]bool{}
		for i, s := range shares {
			if !(s.Fraction >= 0 && s.Fraction <= 1+1e-9) || seen[s.To] || i == 0 != (s.To == home) {
				return false
			}
			seen[s.To] = true
			sum += s.Fraction
		}
		if !(math.Abs(sum-1) < 1e-6) {
			return false
		}
	}
	return p.Number > 0 && p.CreatedAt < p.ExpiresAt
}
