package relay

import (
	"strconv"
	"strings"

	"ledgespread/brain"
)

// The methods below implement brain.Ports. They only queue actions, so that the Balancer is not called from
// within one of its own calls.

// enqueue queues an action, to be run after the current call of the Balancer.
func (r *Relay) enqueue(do func()) { r.actions = append(r.actions, do) }

// openRequest returns the request if it still needs its answer, and nil otherwise.
func (r *Relay) openRequest(id brain.RequestID) *request {
	if request := r.requests[id]; request != nil && !request.ended {
		return request
	}
	return nil
}

// Dispatch sends an attempt of a request to a server.
func (r *Relay) Dispatch(id brain.RequestID, server brain.ServerID, tryFor brain.Micros) {
	r.enqueue(func() { r.send(id, server, tryFor) })
}

// Reject answers a request that has not run, so that the client may safely send it again.
func (r *Relay) Reject(id brain.RequestID, retryAfter brain.Micros, reason brain.Reason) {
	r.enqueue(func() {
		if request := r.openRequest(id); request != nil {
			r.logAnswer(request, "request rejected", reason)
			request.exchange.Reject(retryAfter)
			r.endRequest(request)
		}
	})
}

// Fail answers a request that may have run.
func (r *Relay) Fail(id brain.RequestID, reason brain.Reason) {
	r.enqueue(func() {
		if request := r.requests[id]; request != nil {
			r.failRequest(request, reason)
		}
	})
}

// Cancel stops waiting for an attempt.
func (r *Relay) Cancel(id brain.RequestID, number brain.AttemptIndex) {
	r.enqueue(func() {
		if request := r.requests[id]; request != nil && int(number) < len(request.attempts) && request.attempts[number] != nil {
			request.attempts[number].Cancel()
		}
	})
}

// Wake calls Balancer.Woken with the token after the given time.
func (r *Relay) Wake(in brain.Micros, token brain.Token) {
	r.schedule(r.now+max(in, 1), func() {
		defer func() {
			// A periodic wake-up has to be scheduled again after a panic, or it would stop for good.
			if crash := recover(); crash != nil {
				r.Wake(in, token)
				panic(crash)
			}
		}()
		r.balancer.HandleWake(r.now, token)
	})
}

// CloseIdle closes a server's idle connections.
func (r *Relay) CloseIdle(server brain.ServerID) { r.enqueue(func() { r.outbound.CloseIdle(server) }) }

// Subscribe starts to watch the list for changes.
func (r *Relay) Subscribe() { r.enqueue(r.watcher.Watch) }

// SendMessage sends a message to another sidecar, unless messages are not allowed.
func (r *Relay) SendMessage(to brain.Peer, kind brain.MessageKind, about brain.ServerID, figures ...float64) {
	switch {
	case r.peers == nil:
	case r.summaries != nil:
		r.enqueue(func() { r.summaries.HandleOutgoing(r.now, to, kind, about, figures...) })
	default:
		r.enqueue(func() { r.peers.Send(to, kind, about, figures...) })
	}
}

// Print logs a line of the Balancer. If the line begins with a server ID, the server's name is logged as a
// field. Repeats of any other line are logged once a second.
func (r *Relay) Print(line string) {
	first, rest, _ := strings.Cut(line, " ")
	id, err := strconv.ParseUint(first, 16, 48)
	if named, known := r.servers[brain.ServerID(id)]; err == nil && known {
		r.log.Info().Str("server", named.host).Msg(rest)
		return
	}
	r.logRepeated(line)
}
