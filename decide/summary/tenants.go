package summary

// This file passes the usage of tenants up a tree of sidecars, and the totals of all sidecars down again. At
// the root is the ledger, the sidecar that the balancer chose to count the requests of all tenants.

import (
	"math"

	"ledgespread/brain"
)

const (
	maxChildren   = 4 // of a sidecar in the tree: with three or four, usage takes the least time to the root
	maxUnanswered = 2 // messages without an answer until a parent, or an owner, is skipped
	usageTimeout  = 40 * tick
)

// tree is one sidecar's state in the tree.
type tree struct {
	pending    []float64 // usage of this sidecar and its subtree, by tenant, not yet sent to the parent
	totals     []float64 // usage of all sidecars, by tenant, as last received; nil: never
	totalsAt   Micros    // when the root computed them
	nextUsage  Micros    // when the next usage message is due
	unanswered int       // consecutive usage messages without an answer
	skipped    int       // consecutive ancestors skipped because they did not answer
	replayedAt Micros    // at the root: when usage was last replayed to the balancer
	lastUsage  Micros    // when the balancer last sent usage to another sidecar
	replyPacer pacer
}

// tenantsInterval returns the time between two exchanges of usage and totals, in one direction of the tree.
// Each of the two directions gets half of the tenants' share.
func (a *Aggregator) tenantsInterval(tenants int) Micros {
	return a.interval(float64(2*headerBytes+figureBytes*(2*tenants+2)), tenantsShare/2)
}

// addOwnUsage takes this sidecar's usage, which the balancer sends to the root (the sidecar that it takes for
// the ledger), and sends a usage message to the parent if one is due. The balancer gets the last totals
// unless they are too old.
func (a *Aggregator) addOwnUsage(now Micros, root brain.Peer, figures []float64) {
	t, interval := &a.tenants, a.tenantsInterval(len(figures))
	t.lastUsage = now
	t.add(figures)
	if t.nextUsage <= now {
		if t.unanswered >= maxUnanswered { // a dead parent must not cut off the whole subtree
			t.unanswered, t.skipped = 0, t.skipped+1
		}
		t.unanswered++
		t.nextUsage = now + maxChildren*interval // until the parent's answer sets another
		a.host.Send(a.parent(root), Usage, 0, t.pending...)
		t.pending = make([]float64, len(t.pending))
	}
	if t.totals != nil && now-t.totalsAt <= 2*Micros(a.depth())*maxChildren*interval+usageTimeout { // twice the time that totals take down the tree
		a.host.Deliver(root, brain.TenantTotals, 0, t.totals...)
	}
}

// takeUsage returns this sidecar's usage together with the pending usage of its subtree. It serves a sidecar
// without a limit, below which there may be sidecars with one.
func (a *Aggregator) takeUsage(now Micros, figures []float64) (sum []float64) {
	t := &a.tenants
	t.lastUsage = now
	t.add(figures)
	sum, t.pending = t.pending, make([]float64, len(t.pending))
	return sum
}

// depth returns the maximum number of steps from a sidecar to the root.
func (a *Aggregator) depth() int {
	return int(math.Ceil(math.Log(float64(max(a.limits.Sidecars, 2))) / math.Log(maxChildren)))
}

// add adds usage to the pending one.
func (t *tree) add(figures []float64) {
	if len(t.pending) != len(figures) { // the list of tenants changed: earlier figures belong to other tenants
		t.pending, t.totals = make([]float64, len(figures)), nil
	}
	for i, usage := range figures {
		t.pending[i] += usage
	}
}

// parent returns the next sidecar towards the root, without those that were skipped.
func (a *Aggregator) parent(root brain.Peer) brain.Peer {
	sidecars, t := max(a.limits.Sidecars, 1), &a.tenants
	rank := (int(a.limits.Self) - int(root) + sidecars) % sidecars
	for range t.skipped + 1 {
		if rank == 0 { // the root did not answer either: start again with the direct parent, until the balancer chooses another root
			t.skipped = 0
			break
		}
		rank = (rank - 1) / maxChildren
	}
	return brain.Peer((rank + int(root)) % sidecars)
}

// handleUsage takes a child's usage. The root replays it to the balancer; other sidecars add it to their own.
func (a *Aggregator) handleUsage(now Micros, from brain.Peer, figures []float64) {
	t := &a.tenants
	if len(figures) == 0 || len(t.pending) != 0 && len(figures) != len(t.pending) {
		a.host.Rejected(from, "usage for another number of tenants")
		return
	}
	t.add(figures)
	if t.lastUsage != 0 && now-t.lastUsage <= usageTimeout {
		if t.totals == nil {
			t.totals, t.totalsAt = make([]float64, len(figures)), now
		}
		a.sendTotals(now, from, t.totals, now-t.totalsAt)
		return
	}
	// Only a part of the pending usage is replayed at a time, as if it arrived request by request. Otherwise
	// the totals would jump with each message.
	part := 1 - math.Exp(-float64(now-t.replayedAt)/float64(max(maxChildren*a.tenantsInterval(len(figures)), 1)))
	replayed := make([]float64, len(figures))
	for i := range replayed {
		replayed[i] = part * t.pending[i]
		t.pending[i] -= replayed[i]
	}
	t.replayedAt = now
	a.expectedReplies = append(a.expectedReplies, reply{from, brain.TenantTotals, 0})
	a.host.Deliver(from, brain.TenantUse, 0, replayed...)
}

// handleTotals takes a parent's answer.
func (a *Aggregator) handleTotals(now Micros, figures []float64) {
	t := &a.tenants
	tenants := len(figures) - 2
	if tenants < 1 || tenants != len(t.pending) {
		return
	}
	t.totals, t.totalsAt, t.nextUsage, t.unanswered = append([]float64{}, figures[:tenants]...), now-Micros(figures[tenants]), now+max(Micros(figures[tenants+1]), 1), 0
}

// sendTotals answers a usage message with the totals, their age, and the time until the child's next usage
// message.
func (a *Aggregator) sendTotals(now Micros, to brain.Peer, totals []float64, age Micros) {
	// The time is at least that of a sidecar with all its children, so that all levels of the tree keep one
	// pace.
	interval := a.tenantsInterval(len(totals))
	untilNext := max(a.tenants.replyPacer.take(now, interval)-now, maxChildren*interval)
	a.host.Send(to, Totals, 0, append(append([]float64{}, totals...), float64(max(age, 0)), float64(untilNext))...)
}
