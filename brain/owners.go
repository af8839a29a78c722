package brain

// owners.go: asking the sidecars that own a server how it is.

import (
	"cmp"
	"math"
	"slices"
)

// thin tells whether sidecars outnumber servers: what one holds and saw there then says little of the crowd.
func (b *Balancer) thin() bool { return float64(b.sidecars) > max(b.inUse, 1) }

// owners tells whether servers have owners: sidecars, the same for all, that hear of every visit there.
func (b *Balancer) owners() bool {
	return b.thin() && b.allows("allowed.peer_messages") && b.down.until <= b.now
}

// blind tells whether a thin sidecar can ask nobody, and so sends into queues that it can't know of.
func (b *Balancer) blind() bool { return b.thin() && !b.owners() }

// owner is the first in a server's own order of sidecars that is not known to be deaf.
func (b *Balancer) owner(be *backend) (p Peer) {
	for mark, n := be.mark, 0; n < 2*b.sidecars; mark, n = scramble(mark+1), n+1 {
		if p = Peer(mark % uint64(b.sidecars)); p == b.me || b.deaf[p].until <= b.now {
			return p
		}
	}
	return b.me
}

// unheard books that a sidecar answered nothing, until it does. Guards against waits for owners that died.
func (b *Balancer) unheard(p Peer) {
	if d := &b.deaf[p]; p != b.me && d.until <= b.now {
		d.span = min(max(4*d.span, b.span("obligations.cold_us")/4), 4*b.span("obligations.cold_us"))
		d.until = b.now + Micros(float64(d.span)*(0.75+b.chance()/2))
		b.tally["deaf"]++
	}
	// Guards against waits for all owners in turn, where no message at all comes through.
	if b.unanswered++; b.unanswered%(2*ownerAsks) == 0 {
		b.down.span = min(max(2*b.down.span, 20*firstWait), b.span("obligations.cold_us")/2)
		b.down.until = b.now + Micros(float64(b.down.span)*(0.75+b.chance()/2))
		b.tally["messages_down"]++
	}
}

// ask has a few servers compared by their owners. Guards against sends to servers that nothing is known of.
func (b *Balancer) ask(v *visit) {
	owners, before := b.owners(), len(v.asked)
	be := cmp.Or(b.coldest(v), b.pick(v, false, owners))
	if !owners || v.offer == nil && (be == nil || v.wanted-b.now < 5*b.lag) { // asking would take too much of it
		b.place(v, be)
		return
	}
	for be != nil && len(v.asked) < before+ownerAsks && !slices.Contains(v.asked, be) {
		v.asked, v.owners = append(v.asked, be), append(v.owners, b.owner(be))
		be.asking = append(slices.DeleteFunc(be.asking, func(w *visit) bool { return w.settled || w.ended }), v)
		be = b.pick(v, len(v.asked) > before+1, true)
	}
	v.round, v.askedAt = v.round+1, b.now
	b.tally["asked"]++
	these, round := v.asked[before:], v.round
	if v.missing = len(these); v.missing == 0 { // nobody is left to be asked
		v.round = askRounds
		b.decide(v, v.round)
		return
	}
	b.at(b.now+min(max(2*b.lag, b.leastTarget/8), b.leastTarget/2), func() {
		for i, be := range these {
			if slices.Contains(be.asking, v) {
				b.unheard(v.owners[before+i])
			}
		}
		if v.round == round {
			v.missing = 0
		}
		b.decide(v, round)
	})
	for i, be := range these {
		b.say(v.owners[before+i], Ask, be.id)
	}
}

func (b *Balancer) quoted(be *backend, pace, held float64) {
	waiting := be.asking
	be.asking = nil
	if math.IsInf(pace, 1) { // guards against trying one dead server after another where a data centre is lost
		be.skipUntil = b.now + 10*firstWait
	}
	for _, v := range waiting {
		// Guards against waiting for less than messages take, and for long where owners died.
		if lag := b.now - v.askedAt; lag > 0 && lag < b.leastTarget/2 {
			b.lag += (lag - b.lag) / enough
		}
		if v.settled {
			continue
		}
		v.missing--
		if !math.IsInf(pace, 1) && (v.offer == nil || pace*b.distance(be) < v.offered*b.distance(v.offer)) {
			v.offer, v.offered, v.meets = be, pace, held
		}
		if v.missing == 0 {
			b.decide(v, v.round)
		}
	}
}

func (b *Balancer) decide(v *visit, round int) {
	if v.settled || v.ended || v.round != round {
		return
	}
	// Guards against bounces beside idle servers: where all that were asked are no good, others are asked.
	if again := v.offer == nil || v.hinted && b.strain(v, v.offer) > 1; again && v.wanted-b.now > 3*b.lag &&
		v.missing <= 0 && v.round < askRounds {
		b.ask(v)
		return
	}
	be := v.offer
	if v.settled = true; be == nil || !b.may(v, be) {
		b.tally["asked_in_vain"]++
		v.offer, be = nil, b.pick(v, false, false)
	}
	b.place(v, be)
}

// quote is what an owner tells of its server: the answer time per unit of work that one more visit would see.
func (b *Balancer) quote(be *backend) float64 {
	if !be.open() || be.outUntil > b.now || be.outUntil != 0 && float64(be.held)+be.away >= 1 {
		return math.Inf(1)
	}
	return b.expect(be)
}
