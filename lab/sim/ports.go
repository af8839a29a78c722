package sim

// ports.go: the callbacks of the decision module, implemented in simulated time.

import (
	"slices"

	"ledgespread/brain"
	"ledgespread/internal/peermessage"
)

// class holds the settings of a path prefix that decide whether a retry is safe.
type class struct {
	effect, group string
	window        Micros
}

// ports implements the callbacks of the decision module for one process of a sidecar. Pending timers of an earlier
// process have no effect.
type ports struct {
	*Sidecar
	process int
}

// current reports whether this process is the running one.
func (p ports) current() bool { return p.process == p.processCount && !p.Down }

// Dispatch sends an attempt to a server and checks rules 1 to 3.
func (p ports) Dispatch(id brain.RequestID, server brain.ServerID, _ Micros) {
	sidecar, network := p.Sidecar, p.net
	visit := sidecar.visits[id]
	target := network.Servers[server]
	if visit.Ending != Open {
		network.recordViolation(1, "visit %d was sent after its end", id)
	}
	if !visit.retrySafe(network.Now, target) {
		network.recordViolation(2, "visit %d (%s) was sent again where it may have run", id, visit.Effect)
	}
	if since, leaving := sidecar.Leaving[server]; leaving && network.Now > since+network.Grace {
		network.recordViolation(3, "server %d got visit %d after it was told to leave", server, id)
	}
	attempt := &Attempt{Visit: visit, Index: brain.AttemptIndex(len(visit.Attempts)), Server: server, SentAt: network.Now, fate: &Fate{}}
	attempt.KnewStart = sidecar.Starts[server] == target.Started
	visit.Attempts = append(visit.Attempts, attempt)
	if attempt.Index == 0 {
		sidecar.FirstAttempts++
	} else {
		sidecar.Retries++
	}
	if sidecar.Hooks.AttemptSent != nil {
		sidecar.Hooks.AttemptSent(attempt)
	}
	network.After(network.OneWayDelay, func() { network.deliverAttempt(attempt, target) })
}

// Cancel cancels an outstanding attempt after the current call of the module has returned.
func (p ports) Cancel(id brain.RequestID, index brain.AttemptIndex) {
	visit := p.visits[id]
	if visit == nil || int(index) >= len(visit.Attempts) || visit.Attempts[index].Result != 0 {
		return
	}
	attempt := visit.Attempts[index]
	p.net.After(0, func() {
		if attempt.Result == 0 && p.current() {
			attempt.Result = brain.Cancelled
			p.net.cancelAtServer(attempt)
			p.reportOutcome(attempt, brain.Cancelled)
		}
	})
}

// Reject answers a visit with a rejection that invites a retry, and checks that a retry is safe.
func (p ports) Reject(id brain.RequestID, _ Micros, _ brain.Reason) {
	visit := p.visits[id]
	if !visit.retrySafe(p.net.Now, nil) {
		p.net.recordViolation(2, "visit %d (%s) was bounced where it may have run", id, visit.Effect)
	}
	p.end(visit, Rejected)
	p.net.After(0, func() { p.removeIfFinished(visit) })
}

// Fail answers a visit with an error page.
func (p ports) Fail(id brain.RequestID, _ brain.Reason) {
	visit := p.visits[id]
	p.end(visit, Failed)
	p.net.After(0, func() { p.removeIfFinished(visit) })
}

// Wake schedules a wake-up of the module.
func (p ports) Wake(delay Micros, token brain.Token) {
	p.net.After(delay, func() {
		if p.current() {
			p.B.HandleWake(p.net.Now, token)
		}
	})
}

// SendMessage sends a message of the module to another sidecar, through the aggregator if there is one.
func (p ports) SendMessage(to brain.Peer, kind brain.MessageKind, about brain.ServerID, figures ...float64) {
	if p.aggregator != nil {
		p.aggregator.HandleOutgoing(p.net.Now, to, kind, about, figures...)
		return
	}
	p.Send(to, kind, about, figures...)
}

// Send delivers a message to another sidecar after one network delay, and counts it.
func (p ports) Send(to brain.Peer, kind brain.MessageKind, about brain.ServerID, figures ...float64) {
	receiver, copied, size := p.net.Sidecars[to], slices.Clone(figures), int64(peermessage.Size(len(figures)))
	p.MessagesSent++
	p.BytesOut += size
	if p.net.Partitioned != nil && p.net.Partitioned(p.Sidecar, receiver) {
		return
	}
	p.net.After(p.net.OneWayDelay, func() {
		if receiver.Down {
			return
		}
		receiver.MessagesReceived++
		receiver.BytesIn += size
		if receiver.aggregator != nil {
			receiver.aggregator.HandleIncoming(p.net.Now, p.Me, kind, about, copied...)
			return
		}
		receiver.B.HandleMessage(p.net.Now, p.Me, kind, about, copied...)
	})
}

// Rejected counts a malformed message.
func (p ports) Rejected(from brain.Peer, why string) { p.net.MalformedMessages++ }

// Deliver passes a message to the module after the current call of the module has returned.
func (p ports) Deliver(from brain.Peer, kind brain.MessageKind, about brain.ServerID, figures ...float64) {
	copied := slices.Clone(figures)
	p.net.After(0, func() {
		if p.current() {
			p.B.HandleMessage(p.net.Now, from, kind, about, copied...)
		}
	})
}

// CloseIdle does nothing: the simulation has no connections.
func (p ports) CloseIdle(brain.ServerID) {}

// Subscribe does nothing: lists are delivered by Sidecar.DeliverList.
func (p ports) Subscribe() {}

// Print discards the module's log lines.
func (p ports) Print(string) {}
