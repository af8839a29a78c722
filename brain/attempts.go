package brain

// attempts.go: sending an attempt, a second copy of it, and what is done about one that gets no answer.

// send is the only place that sends.
func (b *Balancer) send(request *request, server *server, onEnd func(*attempt, Result)) {
	expected := Micros(b.expectedPace(server) * request.work)
	server.held++
	sent := &attempt{no: AttemptNo(len(request.attempts)), server: server, sent: b.now, met: float64(server.held) + server.heldByOthers,
		mayHaveRun: true, onEnd: onEnd}
	b.tellOwner(request, sent)
	b.useConnection(sent)
	if server.coldSince != 0 {
		server.credit -= request.work
		b.tally["cold_sent"]++
	}
	request.outstanding++
	request.attempts = append(request.attempts, sent)
	b.ports.Dispatch(request.id, server.id, 0)
	b.watchSilence(request, sent, expected)
	b.sendSecond(request, sent, expected)
}

// tellOwner tells the server's owner, where it has one, that an attempt goes out.
func (b *Balancer) tellOwner(request *request, attempt *attempt) {
	if !b.hasOwners() {
		return
	}
	attempt.owner = b.owner(attempt.server)
	attempt.ownerKnows = attempt.owner != b.me
	if attempt.ownerKnows {
		attempt.met = max(attempt.met, request.bestHeld+1)
		b.ports.Tell(attempt.owner, Began, attempt.server.id)
	}
}

// useConnection records which connection an attempt will be on: the one used last, or a new one. If that has been idle for longer than
// connections live, none of them is used.
func (b *Balancer) useConnection(attempt *attempt) {
	server := attempt.server
	if len(server.idleSince) > 0 && !b.hasIdleConnection(server) {
		server.idleSince = nil
		b.ports.CloseIdle(server.id)
	}
	if last := len(server.idleSince) - 1; last >= 0 {
		attempt.reused = true
		attempt.idleFor = b.now - server.idleSince[last]
		server.idleSince = server.idleSince[:last]
		return
	}
	for range int(b.optional("allowed.multiplex")) - 1 {
		server.idleSince = append(server.idleSince, b.now)
	}
}

// sendSecond has a request that takes long copied to another server, out of the bucket, where the queues of servers can't be known.
func (b *Balancer) sendSecond(request *request, first *attempt, expected Micros) {
	if first.no > 0 || !b.blind() || !request.class.cancel || !request.class.mayDuplicate || b.pace*b.meanWork > copyCalm*b.meanTarget {
		return
	}
	b.after(b.now+Micros(copyAfter*b.calmPace*request.work), func() {
		late := b.now+expected > request.usefulUntil
		if request.ended || request.outstanding != 1 || first.done || late || !b.hasTokens() {
			return
		}
		if other := b.pick(request, false, false); other != nil && other != first.server {
			b.spentTokens += retryCost
			b.tally["copied"]++
			b.send(request, other, b.onEnd(request, true))
		}
	})
}

// watchSilence looks into an attempt that is out for long: some servers take requests and answer none.
func (b *Balancer) watchSilence(request *request, attempt *attempt, expected Micros) {
	left := request.usefulUntil - b.now
	if left <= 0 || request.streamed {
		return
	}
	wait := min(max(left/2, Micros(patience*float64(expected))), left)
	b.after(b.now+wait, func() {
		if attempt.done || request.ended || attempt.server.lastSign > attempt.sent {
			return
		}
		if attempt.ownerKnows {
			b.ports.Tell(attempt.owner, Waits, attempt.server.id, float64(b.now-attempt.sent))
		}
		silent := b.countUnanswered(attempt.server, "silent")
		if silent && b.worthMoving(request, attempt, expected) {
			b.ports.Cancel(request.id, attempt.no)
		}
	})
}

// worthMoving tells whether an attempt at a silent server is called off, for a retry elsewhere.
func (b *Balancer) worthMoving(request *request, attempt *attempt, expected Micros) bool {
	inTime := b.now+request.backoff()+expected < request.usefulUntil
	return inTime && request.outstanding == 1 && request.class.cancel && b.hasTokens() && b.hasOther(request, attempt.server, 0)
}

// countUnanswered counts an attempt without a sign of life, and tells whether the server is ejected. One is no silence.
func (b *Balancer) countUnanswered(server *server, why string) bool {
	server.unanswered++
	if server.unanswered < leastUnanswered && server.ejectedUntil == 0 {
		return false
	}
	b.eject(server, why)
	return true
}
