package failover

// fallback.go: the limits of a sidecar whose last plan has expired.

import (
	"cmp"
	"slices"
)

// Spill limits the load that one sidecar may send to another zone without a valid plan.
type Spill struct {
	To      Zone
	MaxLoad float64 // maximum work per second
}

// FallbackLimits returns what one sidecar may send to other zones, nearest first, after the last plan has
// expired and no newer one arrived. For each zone that is the sidecar's share of the load that the plan sent
// there from its home zone, plus its share of the headroom that the plan left unused. The limits are absolute
// loads, not fractions of the load offered to the sidecar, so no zone receives more than its headroom even if
// all sidecars use them or some still follow the plan. members is the number of sidecars that may send requests now;
// the plan's own count is used if it is higher. Without these limits all sidecars would overload the
// remaining zones when the planner is lost along with a zone.
func (c Config) FallbackLimits(plan Plan, home Zone, members int) (out []Spill) {
	inputs, there := plan.Inputs[home]
	if !there {
		return nil
	}
	planned := 0
	for _, b := range plan.Inputs {
		planned += b.Members
	}
	for to, toInputs := range plan.Inputs {
		if to == home {
			continue
		}
		headroom := toInputs.Headroom
		for from, fromInputs := range plan.Inputs {
			if from != to {
				headroom -= plan.Fraction(from, to) * fromInputs.Offered
			}
		}
		limit := max(headroom, 0)/float64(max(planned, members, 1)) + plan.Fraction(home, to)*inputs.Offered/float64(max(inputs.Members, 1))
		if limit > 0 {
			out = append(out, Spill{to, limit})
		}
	}
	slices.SortFunc(out, func(x, y Spill) int {
		return cmp.Or(cmp.Compare(c.cost(home, x.To), c.cost(home, y.To)), cmp.Compare(x.To, y.To))
	})
	return out
}
