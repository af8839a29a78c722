package relay

import (
	"fmt"
	"maps"
	"slices"

	"ledgespread/brain"
	"ledgespread/internal/discovery"
)

// This file handles operators' calls. They go ahead of queued events; see Run.

// callUrgently runs a function on the relay's goroutine before all queued events, and waits until it is done.
func (r *Relay) callUrgently(do func()) {
	done := make(chan struct{})
	r.urgentCalls <- func() { defer close(done); do() }
	<-done
}

// SetOutOfService takes a server out of service or puts it back. It returns an error if no server has this name.
func (r *Relay) SetOutOfService(host string, out bool) (err error) {
	r.callUrgently(func() {
		id := discovery.ServerID(host)
		if known, listed := r.servers[id]; !r.takenOut[host] && (!listed || known.host != host) {
			err = fmt.Errorf("no server %s", host)
			return
		}
		r.takeOut(host, out)
		r.publishFleet()
	})
	return err
}

// takeOut records that one server is out of service or back, if that is a change. It runs on the relay's
// goroutine.
func (r *Relay) takeOut(host string, out bool) {
	if r.takenOut[host] == out {
		return
	}
	if delete(r.takenOut, host); out {
		r.takenOut[host] = true
	}
	r.log.Info().Str("server", host).Bool("out", out).Msg("by hand")
	r.balancer.SetTakenOut(r.now, discovery.ServerID(host), out)
	if out {
		r.cancelUnsent(func(to brain.ServerID) bool { return to == discovery.ServerID(host) })
	}
}

// cancelUnsent cancels attempts of which nothing has been written yet, to servers that are no longer to get them, so
// that they never run there: such a server leaves, or another one may be at its address. An attempt may still wait for
// its connection, or its goroutine for CPU time.
func (r *Relay) cancelUnsent(from func(brain.ServerID) bool) {
	for _, request := range r.requests {
		for _, attempt := range request.attempts {
			if attempt != nil && from(attempt.To) {
				attempt.CancelUnsent()
			}
		}
	}
}

// SetTakenOut sets which servers are out of service, as written by another process of this sidecar.
func (r *Relay) SetTakenOut(hosts []string) { r.callUrgently(func() { r.RestoreTakenOut(hosts) }) }

// RestoreTakenOut does the same as SetTakenOut; it must be called before Run.
func (r *Relay) RestoreTakenOut(hosts []string) {
	for host := range maps.Clone(r.takenOut) {
		if !slices.Contains(hosts, host) {
			r.takeOut(host, false)
		}
	}
	for _, host := range hosts {
		r.takeOut(host, true)
	}
}

// PublishFleetEvery publishes the server counts at this interval; see Fleet.
func (r *Relay) PublishFleetEvery(interval brain.Micros) {
	r.publishFleet()
	r.schedule(r.clock.now()+interval, func() { r.PublishFleetEvery(interval) })
}
