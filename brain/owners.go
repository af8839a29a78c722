package brain

// owners.go: asking the sidecars that own a server how it is.

import (
	"cmp"
	"math"
	"slices"
)

// sparse tells whether sidecars outnumber servers: what one holds and saw there then says little of how crowded they are.
func (b *Balancer) sparse() bool { return float64(b.sidecars) > max(b.inUse, 1) }

// hasOwners tells whether servers have owners: sidecars, the same for all, that hear of every request there.
func (b *Balancer) hasOwners() bool {
	return b.sparse() && b.allows("allowed.peer_messages") && b.allBackoff.until <= b.now
}

// blind tells whether a sidecar of a sparse fleet can ask nobody, and so sends into queues that it can't know of.
func (b *Balancer) blind() bool { return b.sparse() && !b.hasOwners() }

// owner is the first in a server's own order of sidecars that answers, as far as is known.
func (b *Balancer) owner(server *server) Peer {
	hash := server.hash
	for range 2 * b.sidecars {
		peer := Peer(hash % uint64(b.sidecars))
		if peer == b.me || b.peerBackoffs[peer].until <= b.now {
			return peer
		}
		hash = scramble(hash + 1)
	}
	return b.me
}

// peerSilent records that a sidecar answered nothing: it is passed over for a while. Where several in a row did, no message comes through at
// all, and waits for other owners would only cost time.
func (b *Balancer) peerSilent(peer Peer) {
	cold := b.span("obligations.cold_us")
	if silent := &b.peerBackoffs[peer]; peer != b.me && silent.until <= b.now {
		silent.span = min(max(4*silent.span, cold/4), 4*cold)
		silent.until = b.now + b.jitter(silent.span)
		b.tally["deaf"]++
	}
	b.unanswered++
	if b.unanswered%(2*asksAtOnce) == 0 {
		b.allBackoff.span = min(max(2*b.allBackoff.span, 20*firstBackoff), cold/2)
		b.allBackoff.until = b.now + b.jitter(b.allBackoff.span)
		b.tally["messages_down"]++
	}
}

// compareByOwners has a few servers compared by their owners, and sends the request to the best of them. Where there are no owners, or asking
// would take too much of its time, it goes to the server that is picked.
func (b *Balancer) compareByOwners(request *request) {
	owners := b.hasOwners()
	first := cmp.Or(b.coldest(request), b.pick(request, false, owners))
	hurries := first == nil || request.usefulUntil-b.now < 5*b.quoteLag
	if !owners || request.best == nil && hurries {
		b.sendOrGiveUp(request, first)
		return
	}
	before := len(request.asked)
	b.chooseToAsk(request, first)
	request.round++
	request.askedAt = b.now
	b.tally["asked"]++
	asked := request.asked[before:]
	request.awaited = len(asked)
	if request.awaited == 0 { // nobody is left to be asked
		request.round = askRounds
		b.decide(request, request.round)
		return
	}
	round := request.round
	wait := min(max(2*b.quoteLag, b.leastTarget/8), b.leastTarget/2)
	b.after(b.now+wait, func() { b.quotesOverdue(request, round, before, asked) })
	for i, server := range asked {
		b.say(request.owners[before+i], Ask, server.id)
	}
}

// chooseToAsk adds to the servers that a request asks of, beginning with one.
func (b *Balancer) chooseToAsk(request *request, next *server) {
	before := len(request.asked)
	for next != nil && len(request.asked) < before+asksAtOnce && !slices.Contains(request.asked, next) {
		request.asked = append(request.asked, next)
		request.owners = append(request.owners, b.owner(next))
		next.waiting = append(slices.DeleteFunc(next.waiting, waitsNoMore), request)
		next = b.pick(request, len(request.asked) > before+1, true)
	}
}

// waitsNoMore tells whether a request has no use for another quote.
func waitsNoMore(request *request) bool { return request.settled || request.ended }

// quotesOverdue goes on without the quotes that have not come.
func (b *Balancer) quotesOverdue(request *request, round, before int, asked []*server) {
	for i, server := range asked {
		if slices.Contains(server.waiting, request) {
			b.peerSilent(request.owners[before+i])
		}
	}
	if request.round == round {
		request.awaited = 0
	}
	b.decide(request, round)
}

// quoted hears a server's pace from its owner, and how many requests are held there; an infinite pace: it is ejected.
func (b *Balancer) quoted(server *server, pace, held float64) {
	waiting := server.waiting
	server.waiting = nil
	if math.IsInf(pace, 1) { // where a zone is lost, one dead server after another would be tried
		server.skipUntil = b.now + 10*firstBackoff
	}
	for _, request := range waiting {
		// The wait is no shorter than messages take, and not long where owners died.
		if lag := b.now - request.askedAt; lag > 0 && lag < b.leastTarget/2 {
			b.quoteLag += (lag - b.quoteLag) / enoughAnswers
		}
		if request.settled {
			continue
		}
		request.awaited--
		better := request.best == nil || pace*b.costFactor(server) < request.bestPace*b.costFactor(request.best)
		if !math.IsInf(pace, 1) && better {
			request.best = server
			request.bestPace = pace
			request.bestHeld = held
		}
		if request.awaited == 0 {
			b.decide(request, request.round)
		}
	}
}

// decide sends a request to the best server that it heard of. Where none was any good others are asked, if there is time: they may be idle.
func (b *Balancer) decide(request *request, round int) {
	if request.settled || request.ended || request.round != round {
		return
	}
	noGood := request.best == nil || request.workKnown && b.strain(request, request.best) > 1
	if noGood && request.usefulUntil-b.now > 3*b.quoteLag && request.awaited <= 0 && request.round < askRounds {
		b.compareByOwners(request)
		return
	}
	request.settled = true
	chosen := request.best
	if chosen == nil || !b.allowed(request, chosen) {
		b.tally["asked_in_vain"]++
		request.best = nil
		chosen = b.pick(request, false, false)
	}
	b.sendOrGiveUp(request, chosen)
}

// quote is what an owner tells of its server: the latency per unit of work that one more request would see.
func (b *Balancer) quote(server *server) float64 {
	held := float64(server.held) + server.heldByOthers
	if !server.open() || server.ejectedUntil > b.now || server.ejectedUntil != 0 && held >= 1 {
		return math.Inf(1)
	}
	return b.expectedPace(server)
}
