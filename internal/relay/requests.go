package relay

import (
	"time"

	"ledgespread/brain"
	"ledgespread/internal/counters"
	"ledgespread/internal/exchange"
	"ledgespread/internal/outbound"
)

// HandleRequest submits a request; its answer arrives by the exchange. The time left is counted from this call, not
// from the time when the event is handled: a delay in between would be counted twice.
func (r *Relay) HandleRequest(submitted *exchange.Exchange) {
	arrivedAt := r.clock.now()
	r.post(func() {
		if submitted.Settled() { // its client left while the event was queued
			return
		}
		// Without this check a client could get another client's answer, or a server a second copy of the
		// request. Every request has a new ID, so an ID stays reserved until its request's deadline, even
		// once that is answered.
		if r.requestIDs.inUse(submitted.RequestID, r.now) || r.longLivedIDs[submitted.RequestID] {
			r.refuseDuplicate(submitted)
			return
		}
		// There are sockets for this many requests only. The rejected one has not run.
		if r.openCount >= r.maxOpen {
			r.counts.Add(counters.RequestsOverLimit)
			r.logRefused(submitted.RequestID, reasonTooManyOpen)
			submitted.Reject(0)
			return
		}
		if r.inUseElsewhere(submitted, arrivedAt) {
			r.refuseDuplicate(submitted)
			return
		}
		r.lastID++
		submitted.ID = r.lastID
		request := &request{exchange: submitted, deadline: arrivedAt + submitted.TimeLeft}
		if int(submitted.Class) < len(r.classes) {
			request.class = r.classes[submitted.Class]
		}
		r.requests[submitted.ID] = request
		if !r.requestIDs.reserve(submitted.RequestID, r.now, request.deadline) {
			name := submitted.RequestID // keep no reference to the exchange, which may hold a long body
			r.longLivedIDs[name] = true
			r.schedule(request.deadline, func() { delete(r.longLivedIDs, name) })
		}
		r.openCount++
		left := max(request.deadline-r.now, 1)
		r.failOnPanic(request, func() {
			r.balancer.HandleRequest(r.now, submitted.ID, submitted.Class, submitted.Tenant, left, submitted.Work, submitted.Repeated, submitted.Upload != nil)
		})
	})
}

// refuseDuplicate answers a request whose ID is in use.
func (r *Relay) refuseDuplicate(submitted *exchange.Exchange) {
	r.counts.Add(counters.RequestsDuplicate)
	r.logRefused(submitted.RequestID, reasonDuplicateID)
	submitted.Fail(exchange.DuplicateID)
}

// inUseElsewhere reports whether another process of this sidecar has a request with the same ID, and otherwise reserves
// the ID for this one.
func (r *Relay) inUseElsewhere(submitted *exchange.Exchange, arrivedAt brain.Micros) bool {
	if r.sharedIDs == nil {
		return false
	}
	left := arrivedAt + submitted.TimeLeft - r.now
	return !r.sharedIDs.Reserve(submitted.RequestID, time.Duration(left)*time.Microsecond)
}

// BodyArrived reports that the last byte of a streamed request has arrived, and when its client stops waiting.
func (r *Relay) BodyArrived(submitted *exchange.Exchange, deadline time.Time) {
	at := r.clock.now() + brain.Micros(time.Until(deadline)/time.Microsecond)
	r.post(func() {
		request := r.openRequest(submitted.ID)
		if request == nil {
			return
		}
		request.deadline = min(request.deadline, at)
		r.balancer.HandleBodyArrived(r.now, submitted.ID, max(at-r.now, 1))
	})
}

// RequestEnded reports that a request's client has gone away, or that inbound has answered it at a stop.
func (r *Relay) RequestEnded(abandoned *exchange.Exchange) {
	r.post(func() { r.endAbandoned(abandoned) })
}

// endAbandoned ends a request that needs no answer any more, if it is open.
func (r *Relay) endAbandoned(abandoned *exchange.Exchange) {
	if request := r.openRequest(abandoned.ID); request != nil {
		r.logAnswer(request, "request given up", reasonClientLeft)
		r.endRequest(request)
		r.balancer.HandleDisconnect(r.now, abandoned.ID)
	}
}

// RequestTimedOut reports that inbound has answered a request at its client timeout. That is no fault if this goroutine
// was only late: then the Balancer's own timer for the request, which is due by now, ends it.
func (r *Relay) RequestTimedOut(expired *exchange.Exchange) {
	r.post(func() {
		request := r.openRequest(expired.ID)
		switch {
		case request == nil:
		case request.deadline > r.now, expired.Upload != nil: // the request, or the end of its body, was reported late
			r.endAbandoned(expired)
		default:
			r.schedule(r.now, func() { // after that timer
				r.enqueue(func() { r.endForgotten(expired) })
			})
		}
	})
}

// endForgotten ends a request that the Balancer has not ended by its deadline.
func (r *Relay) endForgotten(expired *exchange.Exchange) {
	if r.openRequest(expired.ID) != nil {
		r.logFault("request not ended at its client timeout")
		r.endAbandoned(expired)
	}
}

// endRequest marks an open request as answered, or as needing no answer.
func (r *Relay) endRequest(request *request) {
	request.ended = true
	r.openCount--
	for _, attempt := range request.attempts {
		if attempt != nil {
			attempt.CancelUnsent()
		}
	}
	r.forgetIfDone(request)
}

// failRequest answers a request with an error page.
func (r *Relay) failRequest(request *request, reason brain.Reason) {
	if request.ended {
		return
	}
	r.logAnswer(request, "request failed", reason)
	ending := exchange.Failed
	if request.deadline-r.now <= clientTimeout(request.exchange)/100 {
		ending = exchange.Overdue
	}
	request.exchange.Fail(ending)
	r.endRequest(request)
}

// clientTimeout returns how long a request's client waits for the answer after its last byte.
func clientTimeout(request *exchange.Exchange) brain.Micros {
	if request.Upload != nil {
		return brain.Micros(request.Upload.ClientTimeout / time.Microsecond)
	}
	return request.TimeLeft
}

// forgetIfDone drops a request that has its answer and no attempt under way.
func (r *Relay) forgetIfDone(request *request) {
	if request.ended && request.outstanding == 0 && r.requests[request.exchange.ID] == request {
		delete(r.requests, request.exchange.ID)
	}
}

// send sends the next attempt of a request. It does not send one beyond the limit, or for a request that is
// over.
func (r *Relay) send(id brain.RequestID, server brain.ServerID, wait brain.Micros) {
	request := r.requests[id]
	if request == nil {
		r.logFault("attempt requested for a request that is over")
		return
	}
	now := r.clock.now()
	number, sent, left := brain.AttemptIndex(len(request.attempts)), r.now, request.deadline-now
	if wait <= 0 || wait > left {
		wait = left
	}
	until := r.clock.toTime(now + wait) // a point in time: a duration would start again after each delay on the way out
	request.outstanding++
	target, known := r.servers[server]
	bodyConsumed := request.exchange.Upload != nil && number > 0 // the part of the body that was already sent is gone
	if request.ended || left <= 0 || request.exchange.Settled() || int(number) >= request.class.maxAttempts || !known || bodyConsumed {
		r.logUnsent(request, number, target.host)
		request.attempts = append(request.attempts, nil)
		r.enqueue(func() { r.attemptEnded(request, number, brain.NeverSent, 0, nil, nil) })
		return
	}
	r.logAttempt(request, number, target.host, wait)
	requestedAt := time.Now() // before the attempt can run
	var sentAttempt *outbound.Attempt
	sentAttempt = r.outbound.Send(request.exchange, server, target.place.address, until, request.lastByteBy(int(number)),
		func(answer *exchange.Answer, _ bool, load []float64, err error) {
			r.post(func() {
				result, took := outbound.ResultOf(err), sentAttempt.Latency(r.now-sent)
				r.logAttemptEnded(request, number, result, took, err)
				r.attemptEnded(request, number, result, took, answer, load)
			})
		})
	request.attempts = append(request.attempts, &attempt{Attempt: sentAttempt, requestedAt: requestedAt})
	request.limitLastBytes()
}

// limitLastBytes limits the attempts of a request that have not ended; see request.lastByteBy.
func (request *request) limitLastBytes() {
	if request.class.keyWindow == 0 {
		return
	}
	for number, attempt := range request.attempts {
		if attempt != nil {
			attempt.LimitLastByte(request.lastByteBy(number))
		}
	}
}

// lastByteBy returns the latest time for the last byte of an attempt; zero: any time. A keyed request may run again
// only while servers remember its key from any other attempt that may have run. The Balancer checks this when it
// asks for the attempt, but a connection may be established later than that, and a long body takes its time.
func (request *request) lastByteBy(number int) (latest time.Time) {
	window := request.class.keyWindow
	if window == 0 {
		return latest
	}
	for other, attempt := range request.attempts {
		if other == number || attempt == nil || attempt.neverRan {
			continue
		}
		if windowEnd := attempt.requestedAt.Add(window); latest.IsZero() || windowEnd.Before(latest) {
			latest = windowEnd
		}
	}
	return latest
}

var resultCounts = [...]counters.Count{brain.Succeeded: counters.AttemptsSucceeded,
	brain.AnsweredError: counters.AttemptsErrored, brain.Overloaded: counters.AttemptsRejected,
	brain.TimedOut: counters.AttemptsTimedOut, brain.ConnectFailed: counters.AttemptsConnectFailed,
	brain.Reset:     counters.AttemptsReset,
	brain.Cancelled: counters.AttemptsCancelled, brain.NeverSent: counters.AttemptsNotSent}

// attemptEnded reports the result of an attempt to the Balancer. The first successful result is the request's
// answer.
func (r *Relay) attemptEnded(request *request, number brain.AttemptIndex, result brain.Result, took brain.Micros, answer *exchange.Answer,
	load []float64) {
	r.counts.Add(resultCounts[result])
	request.outstanding--
	load = r.usableReport(request.attempts[number], load)
	if attempt := request.attempts[number]; attempt != nil {
		attempt.neverRan = result == brain.Overloaded || result == brain.ConnectFailed || result == brain.NeverSent
		request.limitLastBytes()
	}
	if result == brain.Succeeded && !request.ended {
		if !request.exchange.Deliver(answer) {
			answer.Drop()
		}
		r.endRequest(request)
	} else {
		answer.Drop()
	}
	r.failOnPanic(request, func() {
		r.balancer.HandleOutcome(r.now, request.exchange.ID, number, result, took, request.ended, load...)
	})
	r.forgetIfDone(request)
}

// logFault logs and counts a fault of the sidecar itself.
func (r *Relay) logFault(message string) {
	r.counts.Add(counters.Faults)
	r.log.Error().Msg(message)
}
