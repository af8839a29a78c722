package brain

// Handling a request from its arrival to its answer.

import (
	"fmt"
)

// HandleRequest handles the arrival of a request. left is the time until its client stops waiting, and work the
// work that the client states, or 0. repeated means that the client has sent the request before. streamed
// means that the body is forwarded as it arrives, so there can be only one attempt.
func (b *Balancer) HandleRequest(now Micros, id RequestID, classID ClassID, tenant TenantID, timeLeft, work Micros, repeated, streamed bool) {
	b.now = now
	if int(classID) >= len(b.classes) {
		panic(fmt.Sprintf("path prefix %d is not among the settings", classID))
	}
	class := b.classes[classID]
	accepted := &request{id: id, class: class, work: class.meanLatency, usefulUntil: now + min(class.target, timeLeft), deadline: now + timeLeft,
		value: class.value / b.maxValue, streamed: streamed}
	if work > 0 {
		accepted.work = float64(work)
		accepted.workKnown = true
	}
	b.setUsefulUntil(accepted, timeLeft, repeated)
	b.countArrival(accepted)
	b.requests[id] = accepted
	b.recentFirstAttempts++
	b.chargeTenant(accepted, tenant)
	b.scheduleExpiry(accepted)
	b.askOwners(accepted)
}

// scheduleExpiry schedules the answer that a request gets at the latest.
func (b *Balancer) scheduleExpiry(request *request) {
	b.schedule(b.answerDeadline(request), func() {
		if !request.ended {
			b.answerWithoutSuccess(request, RequestExpired)
		}
	})
}

// HandleBodyArrived handles that the last byte of a streamed request has arrived. Its client's timeout began
// with that byte: timeLeft is the time until the client stops waiting.
func (b *Balancer) HandleBodyArrived(now Micros, id RequestID, timeLeft Micros) {
	b.now = now
	request := b.requests[id]
	if request == nil || request.ended || now+timeLeft >= request.deadline {
		return
	}
	request.deadline = now + timeLeft
	request.usefulUntil = now + min(request.class.target, timeLeft)
	if request.class.lateValue > 0 {
		request.usefulUntil = request.deadline
	}
	b.scheduleExpiry(request)
}

// setUsefulUntil computes until when an answer is worth something. A repeated request arrives with all that
// is left of its client's time, which reveals when the request began and how much of the target latency is
// left.
func (b *Balancer) setUsefulUntil(request *request, timeLeft Micros, repeated bool) {
	class := request.class
	if class.lateValue > 0 {
		request.usefulUntil = request.deadline
		return
	}
	if request.streamed { // its client's time has not begun, so timeLeft doesn't tell when the client began
		return
	}
	if !repeated {
		class.firstArrivalTimeLeft = timeLeft
		return
	}
	slack := class.target / 10
	changed := max(timeLeft-class.firstArrivalTimeLeft, class.firstArrivalTimeLeft-timeLeft) > slack
	if !changed && class.firstArrivalTimeLeft <= class.timeout-slack {
		return
	}
	latestUseful := b.now + timeLeft - (class.timeout - class.target)
	if latestUseful > b.now+Micros(request.work) {
		request.usefulUntil = min(request.usefulUntil, latestUseful)
	} else {
		request.value = 0 // too late to have any value, but an answer is still better than an error
	}
}

// countArrival adds a request to the means over arriving requests.
func (b *Balancer) countArrival(request *request) {
	if b.requestsSeen == 0 {
		b.startedAt = b.now // nothing is learned before the first request, so the lenient start begins here
	}
	b.requestsSeen = min(b.requestsSeen+1, 4*trustedAnswers)
	b.meanWork += (request.work - b.meanWork) / b.requestsSeen
	b.meanLimitFraction += (limitFraction(request.class.value/b.maxValue) - b.meanLimitFraction) / b.requestsSeen
	b.meanTarget += (float64(request.class.target) - b.meanTarget) / b.requestsSeen
}

// chargeTenant counts a request for its tenant, and decides at random whether it lies beyond the tenant's
// share.
func (b *Balancer) chargeTenant(request *request, id TenantID) {
	if int(id) >= len(b.tenants) {
		return
	}
	tenant := &b.tenants[id]
	tenant.used++
	tenant.unreported++
	request.overShare = b.random() < b.overShareFraction(id)
	if request.overShare {
		request.value *= b.optionalNumber("beyond_share_value")
	}
}

// answerDeadline returns when a request is answered at the latest, so that its client still gets the answer.
// Where the servers' queues are unknown, work for answers without value is cancelled earlier.
func (b *Balancer) answerDeadline(request *request) Micros {
	last := request.deadline - request.class.maxClockSkew
	if b.lacksLoadInfo() && request.class.mayCancel && request.class.lateValue == 0 && !request.streamed {
		last = min(last, request.usefulUntil+1)
	}
	return last
}

// sendOrGiveUp sends a request's first attempt, if there is a server and admission control accepts the
// request.
func (b *Balancer) sendOrGiveUp(request *request, server *server) {
	switch {
	case server == nil:
		b.giveUp(request, RejectedNoServer)
	case b.admit(request, server):
		b.send(request, server, b.endHandler(request, false))
	default:
		b.giveUp(request, RejectedOverload)
	}
}

// giveUp answers a request that can't be sent any more, unless an attempt is still in flight.
func (b *Balancer) giveUp(request *request, reason Reason) {
	if !request.ended && request.outstanding == 0 {
		b.answerWithoutSuccess(request, reason)
	}
}

// answerWithoutSuccess gives a request its final answer without a success: a rejection if the client may send
// it again and still receives the answer, otherwise a failure.
func (b *Balancer) answerWithoutSuccess(request *request, reason Reason) {
	b.counters[string(reason)]++
	if request.mayRunAgain(b.now, nil) && b.now < request.deadline-request.class.maxClockSkew {
		b.ports.Reject(request.id, b.retryAfter(request), reason)
	} else {
		b.ports.Fail(request.id, reason)
	}
	b.endRequest(request)
}

// retryAfter returns the delay after which the client of a rejected request may send it again. If the request
// is too late to have any value, the delay lasts until its deadline.
func (b *Balancer) retryAfter(request *request) Micros {
	delay := request.class.target / 4
	switch {
	case b.now >= request.usefulUntil:
		delay = request.deadline - b.now
	case b.lacksLoadInfo(): // another sidecar may find a free server now, and a late retry has no value
		delay /= 4
	}
	if len(request.attempts) > 0 && request.class.effect == keyed { // the retry must come while the key is known
		keyTimeLeft := request.attempts[0].sentAt + request.class.keyWindow - b.now
		delay = min(delay, max(keyTimeLeft, 0)/2)
	}
	return min(delay, request.class.maxRetryAfter)
}

// endRequest ends a request and cancels its attempts that are still in flight.
func (b *Balancer) endRequest(request *request) {
	request.ended = true
	for _, attempt := range request.attempts {
		if !attempt.done && request.class.mayCancel {
			b.ports.Cancel(request.id, attempt.index)
		}
	}
	if request.outstanding == 0 {
		delete(b.requests, request.id)
	}
}

// HandleOutcome handles the end of an attempt. took is the time from sending to the end. over means that the
// request has got its answer. load is the server's load report, with its fields in the order of the settings.
func (b *Balancer) HandleOutcome(now Micros, id RequestID, index AttemptIndex, result Result, took Micros, over bool, load ...float64) {
	b.now = now
	request := b.requests[id]
	if request == nil || int(index) >= len(request.attempts) || request.attempts[index].done {
		return
	}
	attempt := request.attempts[index]
	attempt.done = true
	attempt.answered = result == Succeeded || result == AnsweredError || result == Overloaded
	attempt.mayHaveRun = result != Overloaded && result != ConnectFailed && result != NeverSent
	attempt.server.inFlight--
	request.outstanding--
	b.recordLoadReport(attempt.server, load)
	if result == Succeeded {
		attempt.server.ownWork += request.work
	}
	b.recordConnection(attempt, result)
	if result == Succeeded && attempt.server.ejectedUntil == 0 { // the latencies of an ejected server say nothing about the class
		b.updateClassLatency(request.class, took)
	}
	b.recordAttemptResult(request, attempt, result, took)
	if over && !request.ended {
		b.endRequest(request)
	}
	attempt.onEnd(attempt, result)
	if request.ended && request.outstanding == 0 {
		delete(b.requests, id)
	}
}

// recordLoadReport records a server's load report, if there is one.
func (b *Balancer) recordLoadReport(server *server, load []float64) {
	if b.reportIndex == 0 || len(load) < b.reportIndex || !(load[b.reportIndex-1] >= 0) {
		return
	}
	server.reported = load[b.reportIndex-1]
	server.reportedAt = b.now
	b.meanReported += (server.reported - b.meanReported) / trustedAnswers
}

// recordConnection updates the server's idle connections after an attempt.
func (b *Balancer) recordConnection(attempt *attempt, result Result) {
	switch {
	case attempt.answered:
		attempt.server.idleSince = append(attempt.server.idleSince, b.now)
	case result == TimedOut && attempt.reused: // some connections are dropped without notice and never answer
		b.idleLifetime = min(b.idleLifetime, max(attempt.idleFor, firstBackoff))
	case result == ConnectFailed:
		attempt.server.idleSince = nil // a new connection had to be opened, so no idle one was left
	}
}

// updateClassLatency adds a success to the mean latency of its class. The latency is divided by the fleet's
// pace: the mean compares classes with each other, and must not follow the load.
func (b *Balancer) updateClassLatency(class *class, took Micros) {
	latency := float64(took)
	if class.answers > trustedAnswers {
		latency /= b.rawPace
	}
	class.answers = min(class.answers+1, 16*trustedAnswers)
	class.meanLatency += (latency - class.meanLatency) / class.answers
}

// recordAttemptResult records an attempt's result for its server, here and at the server's owner. The reset
// of a reused connection says nothing about its server.
func (b *Balancer) recordAttemptResult(request *request, attempt *attempt, result Result, took Micros) {
	if result == Reset && attempt.reused {
		result = NeverSent
	}
	load := request.work * attempt.inFlightWith
	b.recordOutcome(attempt.server, result, attempt.sentAt, float64(took), request.work, load)
	if attempt.ownerNotified {
		b.ports.SendMessage(attempt.owner, AttemptEnded, attempt.server.id, float64(result), float64(took), request.work, load)
	}
}

// HandleAnswerStart handles the beginning of a streamed answer. From then on the request can't be retried or rejected.
func (b *Balancer) HandleAnswerStart(now Micros, id RequestID, index AttemptIndex) {
	b.now = now
	if request := b.requests[id]; request != nil && int(index) < len(request.attempts) {
		request.attempts[index].server.lastAnswerAt = now
		request.ended = true
	}
}

// HandleDisconnect handles that a request's client has disconnected.
func (b *Balancer) HandleDisconnect(now Micros, id RequestID) {
	b.now = now
	if request := b.requests[id]; request != nil && !request.ended {
		b.endRequest(request)
	}
}
