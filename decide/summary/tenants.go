package summary

import (
	"math"

	"ledgespread/brain"
)

const (
	children = 4 // of a sidecar in the tree: the way up is the shortest, in turns, at three or four
	giveUp   = 2 // turns without an answer until a parent, or an owner, is passed over
	silent   = 40 * beat
)

// tree is what a sidecar passes up of tenants' requests, and what it was told of all.
type tree struct {
	fresh   []float64 // from here and from below, not yet passed up
	totals  []float64 // as last told; nil: never
	saidAt  Micros    // when the sidecar at the top told them
	turnAt  Micros    // of the next usage
	missed  int       // usages, since one was answered
	skipped int       // parents in a row that did not answer
	fedAt   Micros    // at the top: the module heard of what came last
	usedAt  Micros    // the module told another of usage last
	gives   pacer
}

// tenantsSpan is how long an exchange of usage and totals takes up its part of the bound: half of that is for one's own.
func (a *Aggregator) tenantsSpan(tenants int) Micros {
	return a.span(float64(2*headBytes+figureBytes*(2*tenants+2)), tenantsPart/2)
}

// use takes what tenants sent here, on its way to the sidecar that the module holds to be the ledger. The module hears the totals that were
// told last, as long as they are not too old.
func (a *Aggregator) use(now Micros, top brain.Peer, figures []float64) {
	t, span := &a.tenants, a.tenantsSpan(len(figures))
	t.usedAt = now
	t.add(figures)
	if t.turnAt <= now {
		if t.missed >= giveUp { // prevents a subtree that is cut off by one dead sidecar
			t.missed, t.skipped = 0, t.skipped+1
		}
		t.missed++
		t.turnAt = now + children*span // unless its parent gives it another
		a.out.Send(a.parent(top), Usage, 0, t.fresh...)
		t.fresh = make([]float64, len(t.fresh))
	}
	if t.totals != nil && now-t.saidAt <= 2*Micros(a.depth())*children*span+silent { // twice what they take down the tree
		a.out.Hear(top, brain.TenantsTotal, 0, t.totals...)
	}
}

// passed adds what came from below, of sidecars with a bound, to what a sidecar without one tells.
func (a *Aggregator) passed(now Micros, figures []float64) (all []float64) {
	t := &a.tenants
	t.usedAt = now
	t.add(figures)
	all, t.fresh = t.fresh, make([]float64, len(t.fresh))
	return all
}

func (a *Aggregator) depth() int {
	return int(math.Ceil(math.Log(float64(max(a.limits.Sidecars, 2))) / math.Log(children)))
}

func (t *tree) add(figures []float64) {
	if len(t.fresh) != len(figures) { // other tenants than before: what was there is told of others
		t.fresh, t.totals = make([]float64, len(figures)), nil
	}
	for i, x := range figures {
		t.fresh[i] += x
	}
}

// parent is the next one up, past those that did not answer.
func (a *Aggregator) parent(top brain.Peer) brain.Peer {
	n, t := max(a.limits.Sidecars, 1), &a.tenants
	rank := (int(a.limits.Me) - int(top) + n) % n
	for range t.skipped + 1 {
		if rank == 0 { // the top did not answer either: from the beginning, until the module names another
			t.skipped = 0
			break
		}
		rank = (rank - 1) / children
	}
	return brain.Peer((rank + int(top)) % n)
}

// usage takes what came from below. At the top the module hears of it; else it goes on with this sidecar's own.
func (a *Aggregator) usage(now Micros, from brain.Peer, f []float64) {
	t := &a.tenants
	if len(f) == 0 || len(t.fresh) != 0 && len(f) != len(t.fresh) {
		a.out.Refused(from, "of other tenants")
		return
	}
	t.add(f)
	if t.usedAt != 0 && now-t.usedAt <= silent {
		if t.totals == nil {
			t.totals, t.saidAt = make([]float64, len(f)), now
		}
		a.total(now, from, t.totals, now-t.saidAt)
		return
	}
	// This prevents totals that jump with each usage that comes: what came is fed as it would have come request by request.
	part := 1 - math.Exp(-float64(now-t.fedAt)/float64(max(children*a.tenantsSpan(len(f)), 1)))
	fed := make([]float64, len(f))
	for i := range fed {
		fed[i] = part * t.fresh[i]
		t.fresh[i] -= fed[i]
	}
	t.fedAt = now
	a.replies = append(a.replies, reply{from, brain.TenantsTotal, 0})
	a.out.Hear(from, brain.TenantsUse, 0, fed...)
}

// totals takes what a parent tells.
func (a *Aggregator) totals(now Micros, f []float64) {
	t := &a.tenants
	n := len(f) - 2
	if n < 1 || n != len(t.fresh) {
		return
	}
	t.totals, t.saidAt, t.turnAt, t.missed = append([]float64{}, f[:n]...), now-Micros(f[n]), now+max(Micros(f[n+1]), 1), 0
}

// total answers usage: what all lately sent, how old that is, and a turn for the next.
func (a *Aggregator) total(now Micros, to brain.Peer, totals []float64, old Micros) {
	// As late as if it had as many children as any: all pass on at one pace.
	span := a.tenantsSpan(len(totals))
	turn := max(a.tenants.gives.take(now, span)-now, children*span)
	a.out.Send(to, Totals, 0, append(append([]float64{}, totals...), float64(max(old, 0)), float64(turn))...)
}
