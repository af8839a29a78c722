package brain

// retries.go: retries, their token bucket and backoff, and the free retry.

func (b *Balancer) after(v *visit, charged bool) func(*fetch, Result) {
	return func(f *fetch, rc Result) {
		switch {
		case charged && rc == Delivered:
			b.giveBack(retryCost)
		case charged:
			b.giveBack(failedGives)
		case rc == Delivered && len(v.fetches) == 1:
			b.giveBack(refill)
		}
		if v.ended || v.out > 0 {
			return
		}
		if f.reused && rc == Reset {
			f.be.idle = nil
			b.out.CloseIdle(f.be.id)
			if !v.freed && b.may(v, f.be) {
				v.freed = true
				b.send(v, f.be, b.after(v, false))
				return
			}
		}
		b.retry(v)
	}
}

func (b *Balancer) capacity() float64 { return retryCost * max(fewRetries, retryShare*b.firsts) }

func (b *Balancer) giveBack(tokens float64) { b.spent = max(0, b.spent-tokens) }

func (v *visit) wait() Micros { return firstWait << v.charged }

func (b *Balancer) retry(v *visit) {
	b.spent = min(b.spent, b.capacity())
	switch {
	case b.now+v.wait() >= v.wanted:
		b.giveUp(v, TurnedLate)
		return
	case !b.onward(v, nil, v.out):
		b.giveUp(v, TurnedNoServer)
		return
	case b.capacity()-b.spent < retryCost:
		b.out.Print("retry denied: the bucket is empty")
		b.giveUp(v, TurnedDenied)
		return
	}
	b.at(b.now+v.wait(), func() {
		be := b.pick(v, false, false)
		if be == nil {
			b.giveBack(retryCost) // never sent: nothing was spent
			b.giveUp(v, TurnedNoServer)
			return
		}
		b.send(v, be, b.after(v, true))
	})
	b.spent, v.charged = b.spent+retryCost, v.charged+1
}
