package relay

import (
	"time"

	"ledgespread/brain"
	"ledgespread/internal/counters"
	"ledgespread/internal/exchange"
	"ledgespread/internal/outbound"
)

// Take takes a request in; its answer comes by the exchange object. Its time runs from now on, and not from the module's turn:
// where the module stood still in between it would be counted twice.
func (r *Relay) Take(x *exchange.Exchange) {
	came := r.clock.now()
	r.post(func() {
		if x.Over() { // its client left while it waited for the module's turn
			return
		}
		// A stranger would get another client's answer, or a server see a second copy. An id is new with every request, so it is still taken
		// until its request's time is up, also once that is answered.
		if r.names.taken(x.RequestID, r.now) || r.longNames[x.RequestID] {
			r.counts.Add(counters.VisitsTwice)
			r.logRefused(x.RequestID, reasonTwice)
			x.Fail(exchange.DuplicateID)
			return
		}
		// There are sockets for so many only. Nothing of this one has run.
		if r.held >= r.mostHeld {
			r.counts.Add(counters.VisitsOverHeld)
			r.logRefused(x.RequestID, reasonHeld)
			x.Reject(0)
			return
		}
		r.ids++
		x.ID = r.ids
		request := &request{exchange: x, deadline: came + x.Left}
		if int(x.Class) < len(r.classes) {
			request.class = r.classes[x.Class]
		}
		r.requests[x.ID] = request
		if !r.names.take(x.RequestID, r.now, request.deadline) {
			name := x.RequestID // and not its request, which may hold a long body
			r.longNames[name] = true
			r.at(request.deadline, func() { delete(r.longNames, name) })
		}
		r.held++
		left := max(request.deadline-r.now, 1)
		r.orFail(request, func() { r.balancer.Inbound(r.now, x.ID, x.Class, x.Tenant, left, x.Work, x.Repeated, x.Upload != nil) })
	})
}

// Left hears that a request's client has gone away, or was told by inbound itself that its time is up.
func (r *Relay) Left(x *exchange.Exchange) {
	r.post(func() {
		if request := r.open(x.ID); request != nil {
			r.logAnswer(request, "request given up", reasonLeft)
			r.end(request)
			r.balancer.Dropped(r.now, x.ID)
		}
	})
}

// end books that an open request has its answer, or needs none.
func (r *Relay) end(request *request) {
	request.ended = true
	r.held--
	for _, attempt := range request.attempts {
		if attempt != nil {
			attempt.CancelUnsent()
		}
	}
	r.forget(request)
}

// fail answers with an error page.
func (r *Relay) fail(request *request, why brain.Reason) {
	if request.ended {
		return
	}
	r.logAnswer(request, "request failed", why)
	how := exchange.Failed
	if request.deadline-r.now <= request.exchange.Left/100 {
		how = exchange.Overdue
	}
	request.exchange.Fail(how)
	r.end(request)
}

func (r *Relay) forget(request *request) {
	if request.ended && request.outstanding == 0 && r.requests[request.exchange.ID] == request {
		delete(r.requests, request.exchange.ID)
	}
}

// send sends a request's next attempt. One too many, or for a request that is over, is never sent.
func (r *Relay) send(id brain.RequestID, server brain.ServerID, wait brain.Micros) {
	request := r.requests[id]
	if request == nil {
		r.fault("an attempt for a request that is over")
		return
	}
	now := r.clock.now()
	no, sent, left := brain.AttemptNo(len(request.attempts)), r.now, request.deadline-now
	if wait <= 0 || wait > left {
		wait = left
	}
	until := r.clock.time(now + wait) // a moment: a span would begin anew after each standstill on its way out
	request.outstanding++
	to, known := r.servers[server]
	once := request.exchange.Upload != nil && no > 0 // what has been taken of its body is gone
	if request.ended || left <= 0 || request.exchange.Over() || int(no) >= request.class.mostAttempts || !known || once {
		r.logUnsent(request, no, to.host)
		request.attempts = append(request.attempts, nil)
		r.later(func() { r.attemptEnded(request, no, brain.NeverSent, 0, nil, nil) })
		return
	}
	r.logAttempt(request, no, to.host, wait)
	var f *outbound.Attempt
	f = r.outbound.Send(request.exchange, server, to.address, until, r.before(request),
		func(a *exchange.Answer, _ bool, load []float64, err error) {
			r.post(func() {
				result, took := outbound.Result(err), f.Took(r.now-sent)
				r.logAttemptEnded(request, no, result, took, err)
				r.attemptEnded(request, no, result, took, a, load)
			})
		})
	request.attempts = append(request.attempts, &attempt{Attempt: f, asked: time.Now()})
}

// before is when a further attempt is to be on its way: a keyed request's that may have run goes out within its window. The module
// looks when it asks for the attempt, and the connection may come up later than that.
func (r *Relay) before(request *request) (by time.Time) {
	window := request.class.keyWindow
	if window == 0 {
		return by
	}
	for _, attempt := range request.attempts {
		if attempt != nil && !attempt.neverRan {
			if end := attempt.asked.Add(window); by.IsZero() || end.Before(by) {
				by = end
			}
		}
	}
	return by
}

var resultCounts = [...]counters.Count{brain.Succeeded: counters.FetchesDelivered,
	brain.AnsweredError: counters.FetchesErrored, brain.Overloaded: counters.FetchesFull,
	brain.TimedOut: counters.FetchesTimedOut, brain.ConnectFailed: counters.FetchesConnectFailed,
	brain.Reset:     counters.FetchesReset,
	brain.Cancelled: counters.FetchesCancelled, brain.NeverSent: counters.FetchesNeverSent}

// attemptEnded tells the module how an attempt ended. The first delivery is the request's answer.
func (r *Relay) attemptEnded(request *request, no brain.AttemptNo, rc brain.Result, took brain.Micros, a *exchange.Answer,
	load []float64) {
	r.counts.Add(resultCounts[rc])
	request.outstanding--
	load = r.fresh(request.attempts[no], load)
	if attempt := request.attempts[no]; attempt != nil {
		attempt.neverRan = rc == brain.Overloaded || rc == brain.ConnectFailed || rc == brain.NeverSent
	}
	if rc == brain.Succeeded && !request.ended {
		if !request.exchange.Deliver(a) {
			a.Drop()
		}
		r.end(request)
	} else {
		a.Drop()
	}
	r.orFail(request, func() { r.balancer.Outcome(r.now, request.exchange.ID, no, rc, took, request.ended, load...) })
	r.forget(request)
}

func (r *Relay) fault(what string) {
	r.counts.Add(counters.Faults)
	r.log.Error().Msg(what)
}
