package sim

// attempts.go: delivery of attempts to simulated servers and of their results to the sidecars.

import (
	"slices"

	"ledgespread/brain"
)

// deliverAttempt delivers an attempt to its server, or refuses or drops it as the state of server and network demands.
func (n *Network) deliverAttempt(attempt *Attempt, server *Server) {
	switch {
	case attempt.Result != 0: // cancelled before it arrived
	case n.Unreachable != nil && n.Unreachable(attempt.sidecar, server) || server.Silent:
		// the attempt is lost without a reply
	case server.Refuses:
		n.After(n.OneWayDelay, func() { n.finishAttempt(attempt, brain.ConnectFailed) })
	default:
		attempt.fate.Arrived = true
		server.Outstanding[attempt] = struct{}{}
		server.Accept(attempt)
	}
}

// Answer sends a server's result for an attempt that it accepted. It does nothing if the attempt is no longer
// outstanding at the server.
func (n *Network) Answer(attempt *Attempt, result brain.Result) {
	server := n.Servers[attempt.Server]
	if _, outstanding := server.Outstanding[attempt]; !outstanding {
		return
	}
	delete(server.Outstanding, attempt)
	if n.Unreachable != nil && n.Unreachable(attempt.sidecar, server) {
		return
	}
	n.After(n.OneWayDelay, func() { n.finishAttempt(attempt, result) })
}

// EndProcess ends all attempts outstanding at a server whose process stopped. Their sidecars receive a connection reset,
// or no result at all if silent is set.
func (n *Network) EndProcess(server *Server, silent bool) {
	var outstanding []*Attempt
	for attempt := range server.Outstanding {
		outstanding = append(outstanding, attempt)
	}
	slices.SortFunc(outstanding, func(a, b *Attempt) int { return int(a.ID) - int(b.ID) })
	clear(server.Outstanding)
	for _, attempt := range outstanding {
		if attempt.OnCancel != nil {
			attempt.OnCancel()
		}
		if !silent {
			n.After(n.OneWayDelay, func() { n.finishAttempt(attempt, brain.Reset) })
		}
	}
}

// finishAttempt records the first result of an attempt and reports it to the sidecar that sent it, if it still has the visit.
func (n *Network) finishAttempt(attempt *Attempt, result brain.Result) {
	if attempt.Result != 0 {
		return
	}
	attempt.Result = result
	sidecar := attempt.sidecar
	if sidecar.Down || sidecar.visits[attempt.ID] != attempt.Visit {
		return
	}
	if result == brain.Succeeded && attempt.Ending == Open {
		sidecar.end(attempt.Visit, Delivered)
	}
	sidecar.reportOutcome(attempt, result)
}

// reportOutcome reports the result of an attempt to the balancer.
func (s *Sidecar) reportOutcome(attempt *Attempt, result brain.Result) {
	s.B.HandleOutcome(s.net.Now, attempt.ID, attempt.Index, result, s.net.Now-attempt.SentAt, attempt.Ending == Delivered)
	s.removeIfFinished(attempt.Visit)
}

// removeIfFinished removes a visit that has ended and has no outstanding attempts.
func (s *Sidecar) removeIfFinished(visit *Visit) {
	if visit.Ending == Open || slices.ContainsFunc(visit.Attempts, func(attempt *Attempt) bool { return attempt.Result == 0 }) {
		return
	}
	delete(s.visits, visit.ID)
}

// cancelAtServer cancels an attempt at its server, one network delay from now, if the server supports cancellation.
func (n *Network) cancelAtServer(attempt *Attempt) {
	n.After(n.OneWayDelay, func() {
		server := n.Servers[attempt.Server]
		if _, outstanding := server.Outstanding[attempt]; outstanding && (n.Unreachable == nil || !n.Unreachable(attempt.sidecar, server)) && attempt.OnCancel != nil {
			delete(server.Outstanding, attempt)
			attempt.OnCancel()
		}
	})
}
