package brain

// visits.go: a visit from its arrival to its answer.

import (
	"fmt"
)

// end closes a visit's account; its fetches that are still out are called off.
func (b *Balancer) end(v *visit) {
	v.ended = true
	for _, f := range v.fetches {
		if !f.done && v.on.cancel {
			b.out.Cancel(v.id, f.no)
		}
	}
	if v.out == 0 {
		delete(b.visits, v.id)
	}
}

// giveUp answers a visit that goes nowhere any more, at once, unless a fetch is still out.
func (b *Balancer) giveUp(v *visit, why Reason) {
	if !v.ended && v.out == 0 {
		b.answer(v, why)
	}
}

// answer is a visit's last answer without a delivery. One that is too late is not worth coming back for.
func (b *Balancer) answer(v *visit, why Reason) {
	b.tally[string(why)]++
	comeBack := v.on.target / 4
	switch {
	case b.now >= v.wanted:
		comeBack = v.until - b.now
	case b.blind(): // another sidecar or moment may well find a place, and a late try is worth nothing
		comeBack /= 4
	}
	if len(v.fetches) > 0 && v.on.effect == "tagged" { // guards against coming back when the tag is forgotten
		comeBack = min(comeBack, max(v.fetches[0].sent+v.on.window-b.now, 0)/2)
	}
	if v.harmless(b.now, nil) && b.now < v.until-v.on.step { // too late for a client to hear it
		b.out.Bounce(v.id, min(comeBack, v.on.comeBack), why)
	} else {
		b.out.ErrorPage(v.id, why)
	}
	b.end(v)
}

// Inbound takes a visit in. hint 0: no guess at its work. again: a repeat. once: sent as it comes, not twice.
func (b *Balancer) Inbound(now Micros, id VisitID, on Prefix, t Tenant, left, hint Micros, again, once bool) {
	b.now = now
	if int(on) >= len(b.prefixes) {
		panic(fmt.Sprintf("path prefix %d is not among the settings", on))
	}
	p := b.prefixes[on]
	v := &visit{id: id, on: p, work: p.mean, wanted: now + min(p.target, left), until: now + left,
		value: p.value / b.topValue, once: once}
	if hint > 0 {
		v.work, v.hinted = float64(hint), true
	}
	if p.late > 0 {
		v.wanted = v.until
	} else if !again {
		p.firstLeft = left
	} else if slack := p.target / 10; max(left-p.firstLeft, p.firstLeft-left) > slack ||
		p.firstLeft > p.timeout-slack {
		// A last try has all that is left: that tells when the visit began, and how much of its target is left.
		if w := now + left - (p.timeout - p.target); w > now+Micros(v.work) {
			v.wanted = min(v.wanted, w)
		} else {
			v.value = 0 // too late to be worth anything, but an answer still beats an error
		}
	}
	if b.came == 0 {
		b.begun = now // what waits for its first visit learns nothing: the lenient start is still to come
	}
	b.came = min(b.came+1, 4*enough)
	b.meanWork += (v.work - b.meanWork) / b.came
	b.meanPart += (partFor(p.value/b.topValue) - b.meanPart) / b.came
	b.meanTarget += (float64(p.target) - b.meanTarget) / b.came
	b.visits[id] = v
	b.firsts++
	if int(t) < len(b.tenants) {
		b.tenants[t].used, b.tenants[t].fresh = b.tenants[t].used+1, b.tenants[t].fresh+1
		if v.beyond = b.chance() < b.beyond(t); v.beyond {
			v.value *= b.maybe("beyond_share_value")
		}
	}
	// Guards against losing the visit, and against work in unseen queues for answers that are worth nothing.
	last := v.until - p.step
	if b.blind() && p.cancel && p.late == 0 && !once {
		last = min(last, v.wanted+1)
	}
	b.at(last, func() {
		if !v.ended {
			b.answer(v, EndedLate)
		}
	})
	b.ask(v)
}

func (b *Balancer) place(v *visit, be *backend) {
	switch {
	case be == nil:
		b.giveUp(v, TurnedNoServer)
	case b.admit(v, be):
		b.send(v, be, b.after(v, false))
	default:
		b.giveUp(v, TurnedCrowded)
	}
}

// Outcome hears how a fetch ended. over: so has the visit. load: the server's report, by the settings' names.
func (b *Balancer) Outcome(now Micros, id VisitID, no FetchNo, rc Result, took Micros, over bool,
	load ...float64) {
	b.now = now
	v := b.visits[id]
	if v == nil || int(no) >= len(v.fetches) || v.fetches[no].done {
		return
	}
	f := v.fetches[no]
	f.done, f.ran = true, rc != Full && rc != ConnectFailed && rc != NeverSent
	v.out--
	f.be.held--
	if b.tells > 0 && len(load) >= b.tells && load[b.tells-1] >= 0 {
		f.be.told, f.be.toldAt = load[b.tells-1], now
		b.told += (f.be.told - b.told) / enough
	}
	if rc == Delivered {
		f.be.own += v.work
	}
	switch {
	case rc == Delivered || rc == Errored || rc == Full:
		f.be.idle = append(f.be.idle, now)
	case rc == TimedOut && f.reused: // guards against connections that were dropped unseen, and answer nothing
		b.life = min(b.life, max(f.idled, firstWait))
	case rc == ConnectFailed:
		f.be.idle = nil // it had to be dialled: no connection was left to reuse
	}
	if rc == Delivered && f.be.outUntil == 0 { // a jammed server's answers tell nothing of the prefix
		own := float64(took)
		if v.on.seen > enough { // the mean tells prefixes apart; how fast the fleet is, the pace tells
			own /= b.crowd
		}
		v.on.seen = min(v.on.seen+1, 16*enough)
		v.on.mean += (own - v.on.mean) / v.on.seen
	}
	news := rc
	if rc == Reset && f.reused { // here and at its owner it tells of a connection, nothing of its server
		news = NeverSent
	}
	b.account(f.be, news, f.sent, float64(took), v.work, v.work*f.held)
	if f.told {
		b.out.Tell(f.owner, Ended, f.be.id, float64(news), float64(took), v.work, v.work*f.held)
	}
	if over && !v.ended {
		b.end(v)
	}
	f.then(f, rc)
	if v.ended && v.out == 0 {
		delete(b.visits, id)
	}
}

// Flowing hears that a streamed answer has begun: it is the client's now.
func (b *Balancer) Flowing(now Micros, id VisitID, no FetchNo) {
	b.now = now
	if v := b.visits[id]; v != nil && int(no) < len(v.fetches) {
		v.fetches[no].be.answered = now
		v.ended = true
	}
}

func (b *Balancer) Dropped(now Micros, id VisitID) {
	b.now = now
	if v := b.visits[id]; v != nil && !v.ended {
		b.end(v)
	}
}
