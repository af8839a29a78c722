package relay

import (
	"fmt"
	"maps"
	"slices"

	"ledgespread/brain"
	"ledgespread/internal/discovery"
)

// What staff ask for. It goes ahead of the mail: see Run.

// urgently has something done in the module's turn before all mail, and waits for that.
func (r *Relay) urgently(do func()) {
	done := make(chan struct{})
	r.calls <- func() { defer close(done); do() }
	<-done
}

// ByHand takes a server out, or puts it back, and tells all that are out then. An id that nobody has is an error.
func (r *Relay) ByHand(host string, out bool) (all []string, err error) {
	r.urgently(func() {
		id := discovery.ID(host)
		if named, listed := r.servers[id]; !r.takenOut[host] && (!listed || named.host != host) {
			err = fmt.Errorf("no server %s", host)
			return
		}
		r.takeOut(host, out)
		r.publish()
		all = slices.Collect(maps.Keys(r.takenOut))
	})
	return all, err
}

// takeOut books one server as out, or back, where that is new; the module's turn.
func (r *Relay) takeOut(host string, out bool) {
	if r.takenOut[host] == out {
		return
	}
	if delete(r.takenOut, host); out {
		r.takenOut[host] = true
	}
	r.log.Info().Str("server", host).Bool("out", out).Msg("by hand")
	r.balancer.ByHand(r.now, discovery.ID(host), out)
	if out {
		r.recall(func(to brain.ServerID) bool { return to == discovery.ID(host) })
	}
}

// recall calls off the attempts to servers that are leaving, by staff's word or the list's, where nothing is written yet; they
// never ran there. What a connection that comes up late writes, or a goroutine that waited for its part of the core,
// would be new to a server that takes nothing new.
func (r *Relay) recall(leaving func(brain.ServerID) bool) {
	for _, request := range r.requests {
		for _, attempt := range request.attempts {
			if attempt != nil && leaving(attempt.To) {
				attempt.CancelUnsent()
			}
		}
	}
}

// TakeOver has just these servers out: what another process of this sidecar wrote down.
func (r *Relay) TakeOver(hosts []string) { r.urgently(func() { r.Inherit(hosts) }) }

// Inherit does so before Run.
func (r *Relay) Inherit(hosts []string) {
	for host := range maps.Clone(r.takenOut) {
		if !slices.Contains(hosts, host) {
			r.takeOut(host, false)
		}
	}
	for _, host := range hosts {
		r.takeOut(host, true)
	}
}

// Attend has the figures published every so often.
func (r *Relay) Attend(every brain.Micros) {
	r.publish()
	r.at(r.clock.now()+every, func() { r.Attend(every) })
}
