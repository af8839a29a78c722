package brain

// requests.go: a request from its arrival to its answer.

import (
	"fmt"
)

// Inbound takes a request in. work is what its client expects it to take; 0: unknown. repeated: its client sent it before. streamed: it is sent
// on as it comes, so there is one attempt at the most.
func (b *Balancer) Inbound(now Micros, id RequestID, of ClassID, tenant TenantID, left, work Micros, repeated, streamed bool) {
	b.now = now
	if int(of) >= len(b.classes) {
		panic(fmt.Sprintf("path prefix %d is not among the settings", of))
	}
	class := b.classes[of]
	taken := &request{id: id, class: class, work: class.meanLatency, usefulUntil: now + min(class.target, left), deadline: now + left,
		value: class.value / b.topValue, streamed: streamed}
	if work > 0 {
		taken.work = float64(work)
		taken.workKnown = true
	}
	b.setUsefulUntil(taken, left, repeated)
	b.countArrival(taken)
	b.requests[id] = taken
	b.firstTries++
	b.chargeTenant(taken, tenant)
	b.after(b.lastAnswer(taken), func() {
		if !taken.ended {
			b.answerUnserved(taken, EndedLate)
		}
	})
	b.compareByOwners(taken)
}

// setUsefulUntil works out until when an answer is worth something. A repeat has all that is left of its client's time: that tells when the
// request began, and how much of its target is left.
func (b *Balancer) setUsefulUntil(request *request, left Micros, repeated bool) {
	class := request.class
	if class.lateValue > 0 {
		request.usefulUntil = request.deadline
		return
	}
	if !repeated {
		class.firstTimeLeft = left
		return
	}
	slack := class.target / 10
	differs := max(left-class.firstTimeLeft, class.firstTimeLeft-left) > slack
	if !differs && class.firstTimeLeft <= class.timeout-slack {
		return
	}
	useful := b.now + left - (class.timeout - class.target)
	if useful > b.now+Micros(request.work) {
		request.usefulUntil = min(request.usefulUntil, useful)
	} else {
		request.value = 0 // too late to be worth anything, but an answer still beats an error
	}
}

// countArrival has a request count in the means of those that come.
func (b *Balancer) countArrival(request *request) {
	if b.requestsSeen == 0 {
		b.begun = b.now // until the first request nothing is learnt: the lenient start is still to come
	}
	b.requestsSeen = min(b.requestsSeen+1, 4*enoughAnswers)
	b.meanWork += (request.work - b.meanWork) / b.requestsSeen
	b.meanPart += (partFor(request.class.value/b.topValue) - b.meanPart) / b.requestsSeen
	b.meanTarget += (float64(request.class.target) - b.meanTarget) / b.requestsSeen
}

// chargeTenant counts a request for its tenant, and draws whether it lies beyond the tenant's share.
func (b *Balancer) chargeTenant(request *request, of TenantID) {
	if int(of) >= len(b.tenants) {
		return
	}
	tenant := &b.tenants[of]
	tenant.used++
	tenant.fresh++
	request.overShare = b.chance() < b.overShare(of)
	if request.overShare {
		request.value *= b.optional("beyond_share_value")
	}
}

// lastAnswer is when a request is answered whatever is out, so that its client hears of it. Where queues can't be known, work for answers that
// are worth nothing is called off sooner.
func (b *Balancer) lastAnswer(request *request) Micros {
	last := request.deadline - request.class.clockStep
	if b.blind() && request.class.cancel && request.class.lateValue == 0 && !request.streamed {
		last = min(last, request.usefulUntil+1)
	}
	return last
}

// sendOrGiveUp sends a request's first attempt, if there is a server and admission control lets it in.
func (b *Balancer) sendOrGiveUp(request *request, server *server) {
	switch {
	case server == nil:
		b.giveUp(request, TurnedNoServer)
	case b.admit(request, server):
		b.send(request, server, b.onEnd(request, false))
	default:
		b.giveUp(request, TurnedCrowded)
	}
}

// giveUp answers a request that goes nowhere any more, at once, unless an attempt is still out.
func (b *Balancer) giveUp(request *request, why Reason) {
	if !request.ended && request.outstanding == 0 {
		b.answerUnserved(request, why)
	}
}

// answerUnserved is a request's last answer without a success: a rejection, if it may be sent again and its client still hears of it.
func (b *Balancer) answerUnserved(request *request, why Reason) {
	b.tally[string(why)]++
	if request.mayRunAgain(b.now, nil) && b.now < request.deadline-request.class.clockStep {
		b.ports.Reject(request.id, b.retryAfter(request), why)
	} else {
		b.ports.Fail(request.id, why)
	}
	b.endRequest(request)
}

// retryAfter is when a rejected request may come back. One that is too late is not worth coming back for.
func (b *Balancer) retryAfter(request *request) Micros {
	wait := request.class.target / 4
	switch {
	case b.now >= request.usefulUntil:
		wait = request.deadline - b.now
	case b.blind(): // another sidecar or moment may well find a place, and a late try is worth nothing
		wait /= 4
	}
	if len(request.attempts) > 0 && request.class.effect == keyed { // not when the key is forgotten
		keyKnown := request.attempts[0].sent + request.class.keyWindow - b.now
		wait = min(wait, max(keyKnown, 0)/2)
	}
	return min(wait, request.class.mostRetryAfter)
}

// endRequest closes a request's account; its attempts that are still out are called off.
func (b *Balancer) endRequest(request *request) {
	request.ended = true
	for _, attempt := range request.attempts {
		if !attempt.done && request.class.cancel {
			b.ports.Cancel(request.id, attempt.no)
		}
	}
	if request.outstanding == 0 {
		delete(b.requests, request.id)
	}
}

// Outcome hears how an attempt ended. over: so has the request. load: the server's report, by the settings' names.
func (b *Balancer) Outcome(now Micros, id RequestID, no AttemptNo, result Result, took Micros, over bool, load ...float64) {
	b.now = now
	request := b.requests[id]
	if request == nil || int(no) >= len(request.attempts) || request.attempts[no].done {
		return
	}
	attempt := request.attempts[no]
	attempt.done = true
	attempt.mayHaveRun = result != Overloaded && result != ConnectFailed && result != NeverSent
	attempt.server.held--
	request.outstanding--
	b.takeReport(attempt.server, load)
	if result == Succeeded {
		attempt.server.ownWork += request.work
	}
	b.recordConnection(attempt, result)
	if result == Succeeded && attempt.server.ejectedUntil == 0 { // a jammed server's answers tell nothing of the class
		b.learnLatency(request.class, took)
	}
	b.recordAttempt(request, attempt, result, took)
	if over && !request.ended {
		b.endRequest(request)
	}
	attempt.onEnd(attempt, result)
	if request.ended && request.outstanding == 0 {
		delete(b.requests, id)
	}
}

// takeReport takes a server's load report, where it has one.
func (b *Balancer) takeReport(server *server, load []float64) {
	if b.reportPlace == 0 || len(load) < b.reportPlace || !(load[b.reportPlace-1] >= 0) {
		return
	}
	server.reported = load[b.reportPlace-1]
	server.reportedAt = b.now
	b.meanReported += (server.reported - b.meanReported) / enoughAnswers
}

// recordConnection records what an attempt's end tells of its connection.
func (b *Balancer) recordConnection(attempt *attempt, result Result) {
	switch {
	case result == Succeeded || result == AnsweredError || result == Overloaded:
		attempt.server.idleSince = append(attempt.server.idleSince, b.now)
	case result == TimedOut && attempt.reused: // some connections are dropped unseen, and answer nothing
		b.idleLife = min(b.idleLife, max(attempt.idleFor, firstBackoff))
	case result == ConnectFailed:
		attempt.server.idleSince = nil // it had to be dialled: no connection was left to reuse
	}
}

// learnLatency has a success count in its class's mean, which tells classes apart; how fast the fleet is, the pace tells.
func (b *Balancer) learnLatency(class *class, took Micros) {
	latency := float64(took)
	if class.answers > enoughAnswers {
		latency /= b.rawPace
	}
	class.answers = min(class.answers+1, 16*enoughAnswers)
	class.meanLatency += (latency - class.meanLatency) / class.answers
}

// recordAttempt has an attempt's end count for its server, here and at the server's owner. The reset of a reused connection tells nothing of
// its server.
func (b *Balancer) recordAttempt(request *request, attempt *attempt, result Result, took Micros) {
	if result == Reset && attempt.reused {
		result = NeverSent
	}
	load := request.work * attempt.met
	b.recordOutcome(attempt.server, result, attempt.sent, float64(took), request.work, load)
	if attempt.ownerKnows {
		b.ports.Tell(attempt.owner, Ended, attempt.server.id, float64(result), float64(took), request.work, load)
	}
}

// Flowing hears that a streamed answer has begun: it is the client's now.
func (b *Balancer) Flowing(now Micros, id RequestID, no AttemptNo) {
	b.now = now
	if request := b.requests[id]; request != nil && int(no) < len(request.attempts) {
		request.attempts[no].server.lastSign = now
		request.ended = true
	}
}

// Dropped hears that a request's client has left.
func (b *Balancer) Dropped(now Micros, id RequestID) {
	b.now = now
	if request := b.requests[id]; request != nil && !request.ended {
		b.endRequest(request)
	}
}
