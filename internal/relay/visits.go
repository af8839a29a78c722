package relay

import (
	"time"

	"ledgespread/brain"
	"ledgespread/internal/counters"
	"ledgespread/internal/exchange"
	"ledgespread/internal/outbound"
)

// Take takes a visit in; its answer comes by the exchange object. Its time runs from now on, and not from the module's turn: guards
// against time that is counted twice, where the module stood still in between.
func (r *Relay) Take(x *exchange.Exchange) {
	came := r.clock.now()
	r.post(func() {
		if x.Over() { // its client left while it waited for the module's turn
			return
		}
		// Guards against a stranger who gets another client's answer, and a server that sees a second copy. A name
		// is new with every visit, so it is still taken until its visit's time is up, also once that is answered.
		if r.names.taken(x.Name, r.now) || r.rare[x.Name] {
			r.counts.Add(counters.VisitsTwice)
			r.logRefused(x.Name, reasonTwice)
			x.Fail(exchange.Twice)
			return
		}
		// Guards against more visits than there are sockets for: nothing of this one has run.
		if r.held >= r.mostHeld {
			r.counts.Add(counters.VisitsOverHeld)
			r.logRefused(x.Name, reasonHeld)
			x.Bounce(0)
			return
		}
		r.ids++
		x.ID = r.ids
		v := &visit{x: x, until: came + x.Left}
		if int(x.On) < len(r.prefixes) {
			v.on = r.prefixes[x.On]
		}
		r.visits[x.ID] = v
		if !r.names.take(x.Name, r.now, v.until) {
			name := x.Name // and not its visit, which may hold a long body
			r.rare[name] = true
			r.at(v.until, func() { delete(r.rare, name) })
		}
		r.held++
		left := max(v.until-r.now, 1)
		r.orFail(v, func() { r.b.Inbound(r.now, x.ID, x.On, x.Of, left, x.Effort, x.Again, x.Upload != nil) })
	})
}

// Left hears that a visit's client has gone away, or was told by inbound itself that its time is up.
func (r *Relay) Left(x *exchange.Exchange) {
	r.post(func() {
		if v := r.open(x.ID); v != nil {
			r.logAnswer(v, "request given up", reasonLeft)
			r.end(v)
			r.b.Dropped(r.now, x.ID)
		}
	})
}

// end books that an open visit has its answer, or needs none.
func (r *Relay) end(v *visit) {
	v.ended = true
	r.held--
	for _, f := range v.flights {
		if f != nil {
			f.CancelUnsent()
		}
	}
	r.forget(v)
}

// fail answers with an error page.
func (r *Relay) fail(v *visit, why brain.Reason) {
	if v.ended {
		return
	}
	r.logAnswer(v, "request failed", why)
	how := exchange.Errored
	if v.until-r.now <= v.x.Left/100 {
		how = exchange.Overdue
	}
	v.x.Fail(how)
	r.end(v)
}

func (r *Relay) forget(v *visit) {
	if v.ended && v.out == 0 && r.visits[v.x.ID] == v {
		delete(r.visits, v.x.ID)
	}
}

// fetch sends a visit's next backend fetch. One too many, or for a visit that is over, is never sent.
func (r *Relay) fetch(id brain.VisitID, be brain.Backend, wait brain.Micros) {
	v := r.visits[id]
	if v == nil {
		r.fault("a backend fetch for a visit that is over")
		return
	}
	now := r.clock.now()
	no, sent, left := brain.FetchNo(len(v.flights)), r.now, v.until-now
	if wait <= 0 || wait > left {
		wait = left
	}
	until := r.clock.time(now + wait) // a moment: a span would begin anew after each standstill on its way out
	v.out++
	to, known := r.servers[be]
	once := v.x.Upload != nil && no > 0 // what has been taken of its body is gone
	if v.ended || left <= 0 || v.x.Over() || int(no) >= v.on.fetches || !known || once {
		r.logUnsent(v, no, to.host)
		v.flights = append(v.flights, nil)
		r.later(func() { r.ended(v, no, brain.NeverSent, 0, nil, nil) })
		return
	}
	r.logAttempt(v, no, to.host, wait)
	var f *outbound.Attempt
	f = r.outbound.Fetch(v.x, be, to.address, until, r.before(v),
		func(a *exchange.Answer, _ bool, load []float64, err error) {
			r.post(func() {
				result, took := outbound.Result(err), f.Took(r.now-sent)
				r.logAttemptEnded(v, no, result, took, err)
				r.ended(v, no, result, took, a, load)
			})
		})
	v.flights = append(v.flights, &flight{Attempt: f, asked: time.Now()})
}

// before is when a further fetch is to be on its way: a tagged visit's that may have run goes out within its window. The module
// looks when it asks for the fetch; guards against a connection that comes up later than that.
func (r *Relay) before(v *visit) (by time.Time) {
	window := v.on.window
	if window == 0 {
		return by
	}
	for _, f := range v.flights {
		if f != nil && !f.unrun {
			if end := f.asked.Add(window); by.IsZero() || end.Before(by) {
				by = end
			}
		}
	}
	return by
}

var resultCounts = [...]counters.Count{brain.Delivered: counters.FetchesDelivered,
	brain.Errored: counters.FetchesErrored, brain.Full: counters.FetchesFull,
	brain.TimedOut: counters.FetchesTimedOut, brain.ConnectFailed: counters.FetchesConnectFailed,
	brain.Reset:     counters.FetchesReset,
	brain.Cancelled: counters.FetchesCancelled, brain.NeverSent: counters.FetchesNeverSent}

// ended tells the module how a fetch ended. The first delivery is the visit's answer.
func (r *Relay) ended(v *visit, no brain.FetchNo, rc brain.Result, took brain.Micros, a *exchange.Answer,
	load []float64) {
	r.counts.Add(resultCounts[rc])
	v.out--
	load = r.fresh(v.flights[no], load)
	if f := v.flights[no]; f != nil {
		f.unrun = rc == brain.Full || rc == brain.ConnectFailed || rc == brain.NeverSent
	}
	if rc == brain.Delivered && !v.ended {
		if !v.x.Deliver(a) {
			a.Drop()
		}
		r.end(v)
	} else {
		a.Drop()
	}
	r.orFail(v, func() { r.b.Outcome(r.now, v.x.ID, no, rc, took, v.ended, load...) })
	r.forget(v)
}

func (r *Relay) fault(what string) {
	r.counts.Add(counters.Faults)
	r.log.Error().Msg(what)
}
