package failover

import (
	"cmp"
	"slices"
)

// Spill is what one sidecar may send into a zone by itself.
type Spill struct {
	To   Zone
	Most float64 // work a second
}

// Alone is what one sidecar may send to other zones once the last plan that it heard is over and no other comes, nearest first: its part of the
// work that the plan had its home send there, and its part of the room that the plan left. These are amounts, no parts of what it is
// offered: if all that may be sending do the same, or some go by that plan still, nothing gets beyond the room that was there. members is how many
// sidecars it holds for possible senders now; the plan's own count bounds it from below. This prevents the rush of all into the zones that
// stand when those who plan are lost with the zone.
func (t Terms) Alone(p Plan, home Zone, members int) (out []Spill) {
	base, there := p.Base[home]
	if !there {
		return nil
	}
	all := 0
	for _, b := range p.Base {
		all += b.Members
	}
	for to, b := range p.Base {
		if to == home {
			continue
		}
		left := b.Room
		for from, f := range p.Base {
			if from != to {
				left -= p.Part(from, to) * f.Offered
			}
		}
		most := max(left, 0)/float64(max(all, members, 1)) + p.Part(home, to)*base.Offered/float64(max(base.Members, 1))
		if most > 0 {
			out = append(out, Spill{to, most})
		}
	}
	slices.SortFunc(out, func(x, y Spill) int {
		return cmp.Or(cmp.Compare(t.cost(home, x.To), t.cost(home, y.To)), cmp.Compare(x.To, y.To))
	})
	return out
}
