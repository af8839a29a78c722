package brain

// fetches.go: sending a fetch, a second copy, and what is done about one that gets no answer.

// send is the only place that sends. It leaves the step's closure with the fetch.
func (b *Balancer) send(v *visit, be *backend, then func(*fetch, Result)) {
	guess := Micros(b.expect(be) * v.work)
	be.held++
	f := &fetch{no: FetchNo(len(v.fetches)), be: be, sent: b.now, held: float64(be.held) + be.away,
		ran: true, then: then}
	if b.owners() {
		f.owner = b.owner(be)
		if f.told = f.owner != b.me; f.told {
			f.held = max(f.held, v.meets+1)
			b.out.Tell(f.owner, Began, be.id)
		}
	}
	if len(be.idle) > 0 && !b.stands(be) {
		be.idle = nil
		b.out.CloseIdle(be.id)
	}
	if n := len(be.idle); n > 0 {
		f.reused, f.idled, be.idle = true, b.now-be.idle[n-1], be.idle[:n-1]
	} else {
		for range int(b.maybe("allowed.multiplex")) - 1 {
			be.idle = append(be.idle, b.now)
		}
	}
	if be.coldSince != 0 {
		be.credit -= v.work
		b.tally["cold_sent"]++
	}
	v.out++
	v.fetches = append(v.fetches, f)
	b.out.Dispatch(v.id, be.id, 0)
	b.watch(v, f, guess)
	b.second(v, f, guess)
}

// second copies a visit that takes long to another server, out of the bucket. Guards against unseen queues.
func (b *Balancer) second(v *visit, f *fetch, guess Micros) {
	if f.no > 0 || !b.blind() || !v.on.cancel || !v.on.copies ||
		b.level*b.meanWork > copyCalm*b.meanTarget {
		return
	}
	b.at(b.now+Micros(copyAfter*b.calm*v.work), func() {
		if v.ended || v.out != 1 || f.done || b.now+guess > v.wanted || b.capacity()-b.spent < retryCost {
			return
		}
		if be := b.pick(v, false, false); be != nil && be != f.be {
			b.spent += retryCost
			b.tally["copied"]++
			b.send(v, be, b.after(v, true))
		}
	})
}

// watch looks into a fetch that is out for long. Guards against servers that take visits and answer none.
func (b *Balancer) watch(v *visit, f *fetch, guess Micros) {
	left := v.wanted - b.now
	if left <= 0 || v.once {
		return
	}
	b.at(b.now+min(max(left/2, Micros(patience*float64(guess))), left), func() {
		if f.done || v.ended || f.be.answered > f.sent {
			return
		}
		if f.told {
			b.out.Tell(f.owner, Waits, f.be.id, float64(b.now-f.sent))
		}
		if b.missed(f.be, "silent") && b.now+v.wait()+guess < v.wanted && v.out == 1 &&
			v.on.cancel && b.capacity()-b.spent >= retryCost && b.onward(v, f.be, 0) {
			b.out.Cancel(v.id, f.no)
		}
	})
}

// missed counts a fetch without a sign of life, and tells whether the server sits out. One is no silence.
func (b *Balancer) missed(be *backend, why string) bool {
	if be.mute++; be.mute < muteLeast && be.outUntil == 0 {
		return false
	}
	b.sitOut(be, why)
	return true
}
