package relay

import (
	"strconv"
	"strings"

	"ledgespread/brain"
)

// The methods below are the module's Ports. They only note what it asks for: nothing calls back into a call.

func (r *Relay) later(do func()) { r.todo = append(r.todo, do) }

// open finds a visit that still needs its answer.
func (r *Relay) open(id brain.VisitID) *visit {
	if v := r.visits[id]; v != nil && !v.ended {
		return v
	}
	return nil
}

func (r *Relay) Dispatch(id brain.VisitID, be brain.Backend, tryFor brain.Micros) {
	r.later(func() { r.fetch(id, be, tryFor) })
}

func (r *Relay) Bounce(id brain.VisitID, comeBackIn brain.Micros, why brain.Reason) {
	r.later(func() {
		if v := r.open(id); v != nil {
			r.logAnswer(v, "request rejected", why)
			v.x.Bounce(comeBackIn)
			r.end(v)
		}
	})
}

func (r *Relay) ErrorPage(id brain.VisitID, why brain.Reason) {
	r.later(func() {
		if v := r.visits[id]; v != nil {
			r.fail(v, why)
		}
	})
}

func (r *Relay) Cancel(id brain.VisitID, no brain.FetchNo) {
	r.later(func() {
		if v := r.visits[id]; v != nil && int(no) < len(v.flights) && v.flights[no] != nil {
			v.flights[no].Cancel()
		}
	})
}

func (r *Relay) Wake(in brain.Micros, t brain.Token) {
	r.at(r.now+max(in, 1), func() {
		defer func() {
			// Guards against a beat that never comes again after a panic.
			if crash := recover(); crash != nil {
				r.Wake(in, t)
				panic(crash)
			}
		}()
		r.b.Woken(r.now, t)
	})
}

func (r *Relay) CloseIdle(be brain.Backend) { r.later(func() { r.outbound.CloseIdle(be) }) }

func (r *Relay) Subscribe() { r.later(r.watcher.Watch) }

func (r *Relay) Tell(to brain.Peer, kind brain.Note, about brain.Backend, figures ...float64) {
	switch {
	case r.peers == nil:
	case r.words != nil:
		r.later(func() { r.words.Told(r.now, to, kind, about, figures...) })
	default:
		r.later(func() { r.peers.Tell(to, kind, about, figures...) })
	}
}

// Print logs a line. One that begins with a server's id tells its name beside.
func (r *Relay) Print(line string) {
	entry := r.log.Info()
	first, rest, _ := strings.Cut(line, " ")
	if id, err := strconv.ParseUint(first, 16, 48); err == nil {
		if named, known := r.servers[brain.Backend(id)]; known {
			entry, line = entry.Str("server", named.host), rest
		}
	}
	entry.Msg(line)
}
