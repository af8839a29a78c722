package brain

// gate.go: whether the rules let a request go to a server.

import (
	"slices"
)

// allowed is the one gate of all sends: whether the rules let this request go to this server now.
func (b *Balancer) allowed(request *request, server *server) bool {
	return b.allowedAt(request, server, b.now, request.outstanding)
}

// allowedAt tells the same for a later time, with so many attempts still out.
func (b *Balancer) allowedAt(request *request, server *server, at Micros, outstanding int) bool {
	class, made := request.class, len(request.attempts)
	switch {
	case request.ended || at >= request.deadline || !server.open():
		return false
	case made > 0 && (request.streamed || made >= class.mostAttempts):
		return false
	case outstanding > 0 && (class.effect == unsafe || !class.mayDuplicate):
		return false
	case server.coldSince != 0 && server.credit < request.work:
		return false
	}
	return request.mayRunAgain(at, server)
}

// hasOther tells whether some server but this one may get the request when the next backoff is over.
func (b *Balancer) hasOther(request *request, but *server, outstanding int) bool {
	return slices.ContainsFunc(b.listed, func(server *server) bool {
		return server != but && b.allowedAt(request, server, b.now+request.backoff(), outstanding)
	})
}

// mayRunAgain tells whether a request may run again at a server or, nil, anywhere, which is what a rejection says. An unsafe one may only if no
// attempt may have run, a keyed one also where its key is still known.
func (r *request) mayRunAgain(at Micros, where *server) bool {
	if r.class.effect == safe {
		return true
	}
	for _, attempt := range r.attempts {
		if attempt.mayHaveRun && !(r.class.effect == keyed && r.keyKnown(attempt, at, where)) {
			return false
		}
	}
	return true
}

// keyKnown tells whether the key of an attempt that may have run is known at another server or, nil, anywhere.
func (r *request) keyKnown(attempt *attempt, at Micros, where *server) bool {
	class := r.class
	switch {
	case at >= attempt.sent+class.keyWindow:
		return false
	case where == nil:
		return !class.inZone && !class.inCell
	}
	sameZone := attempt.server.zone == where.zone
	sameCell := attempt.server.cell == where.cell
	return (sameZone || !class.inZone) && (sameCell || !class.inCell)
}
