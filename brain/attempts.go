package brain

// Sending attempts, hedging, and handling attempts without an answer.

// send sends an attempt of a request to a server. All attempts are sent here.
func (b *Balancer) send(request *request, server *server, onEnd func(*attempt, Result)) {
	expected := Micros(b.expectedPace(server) * request.work)
	server.inFlight++
	newAttempt := &attempt{index: AttemptIndex(len(request.attempts)), server: server, zone: server.zone, cell: server.cell, sentAt: b.now,
		inFlightWith: float64(server.inFlight) + server.inFlightElsewhere, mayHaveRun: true, onEnd: onEnd}
	b.notifyOwner(request, newAttempt)
	b.useConnection(newAttempt)
	if server.coldSince != 0 {
		server.credit -= request.work
		b.counters["cold_sent"]++
	}
	request.outstanding++
	request.attempts = append(request.attempts, newAttempt)
	b.ports.Dispatch(request.id, server.id, 0)
	b.scheduleSilenceCheck(request, newAttempt, expected)
	b.scheduleHedge(request, newAttempt, expected)
}

// notifyOwner notifies the server's owner, if there is one, that an attempt is being sent.
func (b *Balancer) notifyOwner(request *request, attempt *attempt) {
	if !b.hasOwners() {
		return
	}
	attempt.owner = b.owner(attempt.server)
	attempt.ownerNotified = attempt.owner != b.self
	if attempt.ownerNotified {
		attempt.inFlightWith = max(attempt.inFlightWith, request.bestInFlight+1)
		b.ports.SendMessage(attempt.owner, AttemptStarted, attempt.server.id)
	}
}

// useConnection records which connection an attempt will use: the idle one that was used last, or a new one.
// If even that one has been idle for longer than idle connections are kept open, all idle connections are
// closed.
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
	for range int(b.optionalNumber("allowed.multiplex")) - 1 {
		server.idleSince = append(server.idleSince, b.now)
	}
}

// scheduleHedge schedules a hedge: if a request takes longer than usual, a second attempt goes to another
// server and is charged to the retry bucket. This only happens where neither statistics nor owners reveal the
// servers' queues.
func (b *Balancer) scheduleHedge(request *request, first *attempt, expected Micros) {
	if first.index > 0 || !b.lacksLoadInfo() || !request.class.mayCancel || !request.class.mayDuplicate ||
		b.pace*b.meanWork > hedgeMaxLatencyFraction*b.meanTarget {
		return
	}
	b.schedule(b.now+Micros(hedgeDelayFactor*b.calmPace*request.work), func() {
		tooLate := b.now+expected > request.usefulUntil
		if request.ended || request.outstanding != 1 || first.done || tooLate || !b.hasTokens() {
			return
		}
		if other := b.pick(request, false, false); other != nil && other != first.server {
			b.spentTokens += retryCost
			b.counters["copied"]++
			b.send(request, other, b.endHandler(request, true))
		}
	})
}

// scheduleSilenceCheck schedules a check of an attempt that stays without an answer for long, since some
// failing servers accept requests but never answer.
func (b *Balancer) scheduleSilenceCheck(request *request, attempt *attempt, expected Micros) {
	timeLeft := request.usefulUntil - b.now
	if timeLeft <= 0 || request.streamed {
		return
	}
	wait := min(max(timeLeft/2, Micros(silenceFactor*float64(expected))), timeLeft)
	b.schedule(b.now+wait, func() {
		if attempt.done || request.ended || attempt.server.lastAnswerAt > attempt.sentAt {
			return
		}
		if attempt.ownerNotified {
			b.ports.SendMessage(attempt.owner, AttemptUnanswered, attempt.server.id, float64(b.now-attempt.sentAt))
		}
		silent := b.countUnanswered(attempt.server, "silent")
		if silent && b.shouldRetryElsewhere(request, attempt, expected) {
			b.ports.Cancel(request.id, attempt.index)
		}
	})
}

// shouldRetryElsewhere reports whether an attempt at a silent server should be cancelled in favour of a retry
// at another server.
func (b *Balancer) shouldRetryElsewhere(request *request, attempt *attempt, expected Micros) bool {
	inTime := b.now+request.backoff()+expected < request.usefulUntil
	return inTime && request.outstanding == 1 && request.class.mayCancel && b.hasTokens() && b.hasAlternative(request, attempt.server, 0)
}

// countUnanswered counts an attempt without an answer, and ejects the server once there are enough of them: a
// single one proves nothing, except for a server on trial. It reports whether the server is ejected.
func (b *Balancer) countUnanswered(server *server, reason string) bool {
	server.unanswered++
	if server.unanswered < minEjectUnanswered && server.ejectedUntil == 0 {
		return false
	}
	b.eject(server, reason)
	return true
}
