package relay

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"

	"ledgespread/brain"
	"ledgespread/internal/discovery"
)

// What staff ask for. It goes ahead of the mail: see Run.

// errLate is why a call got no word: the module did not come to it in time. It may still do so.
var errLate = errors.New("not done in time")

// ahead has something done in the module's turn before all mail, and waits for that.
func (r *Relay) ahead(ctx context.Context, do func()) error {
	done := make(chan struct{})
	select {
	case r.calls <- func() { defer close(done); do() }:
	case <-ctx.Done():
		return errLate
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errLate
	}
}

// ByHand takes a server out, or puts it back, and tells all that are out then. An id that nobody has is an error.
func (r *Relay) ByHand(ctx context.Context, host string, out bool) (all []string, err error) {
	if late := r.ahead(ctx, func() {
		id := discovery.ID(host)
		if named, listed := r.servers[id]; !r.out[host] && (!listed || named.host != host) {
			err = fmt.Errorf("no server %s", host)
			return
		}
		r.hand(host, out)
		r.publish()
		all = slices.Collect(maps.Keys(r.out))
	}); late != nil { // what the turn would still tell is not read any more
		return nil, late
	}
	return all, err
}

// hand books one server as out, or back, where that is new; the module's turn.
func (r *Relay) hand(host string, out bool) {
	if r.out[host] == out {
		return
	}
	if delete(r.out, host); out {
		r.out[host] = true
	}
	r.log.Info().Str("server", host).Bool("out", out).Msg("by hand")
	r.b.ByHand(r.now, discovery.ID(host), out)
	if out {
		r.recall(func(to brain.Backend) bool { return to == discovery.ID(host) })
	}
}

// recall calls off the fetches to servers that are leaving, by staff's word or the list's, where nothing is written yet; they
// never ran there. Guards against a connection that comes up late, and a goroutine that waits for its part of the core: what
// they write would be new to a server that takes nothing new.
func (r *Relay) recall(leaving func(brain.Backend) bool) {
	for _, v := range r.visits {
		for _, f := range v.flights {
			if f != nil && leaving(f.To) {
				f.CancelUnsent()
			}
		}
	}
}

// TakeOver has just these servers out: what another process of this sidecar wrote down.
func (r *Relay) TakeOver(ctx context.Context, hosts []string) error {
	return r.ahead(ctx, func() { r.Inherit(hosts) })
}

// Inherit does so before Run.
func (r *Relay) Inherit(hosts []string) {
	for host := range maps.Clone(r.out) {
		if !slices.Contains(hosts, host) {
			r.hand(host, false)
		}
	}
	for _, host := range hosts {
		r.hand(host, true)
	}
}

// Attend has the figures published every so often.
func (r *Relay) Attend(every brain.Micros) {
	r.publish()
	r.at(r.clock.now()+every, func() { r.Attend(every) })
}
