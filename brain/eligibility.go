package brain

// Rules that decide whether a request may be sent to a server.

import (
	"slices"
)

// allowed reports whether the rules allow sending this request to this server now. Every attempt is checked
// by it.
func (b *Balancer) allowed(request *request, server *server) bool {
	return b.allowedAt(request, server, b.now, request.outstanding)
}

// allowedAt reports the same for a later time, with the given number of attempts still in flight.
func (b *Balancer) allowedAt(request *request, server *server, at Micros, outstanding int) bool {
	class, attempts := request.class, len(request.attempts)
	switch {
	case request.ended || at >= request.deadline || !server.acceptsRequests():
		return false
	case attempts > 0 && (request.streamed || attempts >= class.maxAttempts):
		return false
	case outstanding > 0 && (class.effect == unsafe || !class.mayDuplicate):
		return false
	case server.coldSince != 0 && server.credit < request.work:
		return false
	}
	return request.mayRunAgain(at, server)
}

// hasAlternative reports whether a server other than the given one may get the request after its next
// backoff.
func (b *Balancer) hasAlternative(request *request, excluded *server, outstanding int) bool {
	return slices.ContainsFunc(b.sortedServers, func(server *server) bool {
		return server != excluded && b.allowedAt(request, server, b.now+request.backoff(), outstanding)
	})
}

// mayRunAgain reports whether a request may run again at a server or, if target is nil, at any server, which a
// rejection invites the client to do. An unsafe request may run again only if no attempt may have run, a
// keyed one also where its key is still known.
func (r *request) mayRunAgain(at Micros, target *server) bool {
	if r.class.effect == safe {
		return true
	}
	for _, attempt := range r.attempts {
		if attempt.mayHaveRun && !(r.class.effect == keyed && r.keyKnown(attempt, at, target)) {
			return false
		}
	}
	return true
}

// keyKnown reports whether the key of an attempt that may have run is known at a server or, if target is nil,
// at every server. Where only some servers know it, that doesn't include the address of an attempt that ended
// without an answer: its process may be gone, and one of another group may listen there before a list tells.
func (r *request) keyKnown(attempt *attempt, at Micros, target *server) bool {
	class := r.class
	switch {
	case at >= attempt.sentAt+class.keyWindow:
		return false
	case target == nil || class.keyKnownEverywhere():
		return class.keyKnownEverywhere()
	case attempt.done && !attempt.answered && target == attempt.server:
		return false
	}
	sameZone := attempt.zone == target.zone
	sameCell := attempt.cell == target.cell
	return (sameZone || !class.keyInZone) && (sameCell || !class.keyInCell)
}

// keyKnownEverywhere reports whether all servers know the keys of this class, and not only those of a zone or a cell.
func (c *class) keyKnownEverywhere() bool { return !c.keyInZone && !c.keyInCell }
