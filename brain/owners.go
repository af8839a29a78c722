package brain

// Quotes: asking the sidecars that own a server for its current pace.

import (
	"cmp"
	"math"
	"slices"
)

// sidecarsOutnumberServers reports whether sidecars outnumber servers. What one sidecar sees of a server then says little about
// the server's load.
func (b *Balancer) sidecarsOutnumberServers() bool {
	return float64(b.sidecars) > max(b.serversInService, 1)
}

// hasOwners reports whether servers have owners, to which all sidecars report their attempts at a server.
func (b *Balancer) hasOwners() bool {
	return b.sidecarsOutnumberServers() && b.enabled("allowed.peer_messages") && b.messagingBackoff.until <= b.now
}

// lacksLoadInfo reports whether sidecars outnumber servers and owners can't be asked, so that the servers'
// queues are unknown.
func (b *Balancer) lacksLoadInfo() bool { return b.sidecarsOutnumberServers() && !b.hasOwners() }

// owner returns the owner of a server: the first sidecar that is not in backoff, in an order that the
// server's hash determines.
func (b *Balancer) owner(server *server) Peer {
	hash := server.hash
	for range 2 * b.sidecars {
		peer := Peer(hash % uint64(b.sidecars))
		if peer == b.self || b.peerBackoffs[peer].until <= b.now {
			return peer
		}
		hash = mixBits(hash + 1)
	}
	return b.self
}

// recordPeerTimeout records that a sidecar did not answer a quote request and skips it for a while. After
// several timeouts in a row no owner is asked for a while, since messages probably don't get through at all
// and each wait would only cost time.
func (b *Balancer) recordPeerTimeout(peer Peer) {
	warmupTime := b.micros("obligations.cold_us")
	if peerBackoff := &b.peerBackoffs[peer]; peer != b.self && peerBackoff.until <= b.now {
		peerBackoff.length = min(max(4*peerBackoff.length, warmupTime/4), 4*warmupTime)
		peerBackoff.until = b.now + b.jitter(peerBackoff.length)
		b.counters["deaf"]++
	}
	b.unansweredQuotes++
	if b.unansweredQuotes%(2*quotesPerRound) == 0 {
		b.messagingBackoff.length = min(max(2*b.messagingBackoff.length, 20*firstBackoff), warmupTime/2)
		b.messagingBackoff.until = b.now + b.jitter(b.messagingBackoff.length)
		b.counters["messages_down"]++
	}
}

// askOwners asks the owners of a few servers for quotes, to send the request to the best of these
// servers. If there are no owners, or asking would take too much of the request's time, the request goes to
// the picked server.
func (b *Balancer) askOwners(request *request) {
	useOwners := b.hasOwners()
	picked := cmp.Or(b.coldServerWithCredit(request), b.pick(request, false, useOwners))
	urgent := picked == nil || request.usefulUntil-b.now < 5*b.quoteLatency
	if !useOwners || request.best == nil && urgent {
		b.sendOrGiveUp(request, picked)
		return
	}
	alreadyAsked := len(request.askedServers)
	b.chooseServersToAsk(request, picked)
	request.quoteRound++
	request.askedAt = b.now
	b.counters["asked"]++
	asked := request.askedServers[alreadyAsked:]
	request.missingQuotes = len(asked)
	if request.missingQuotes == 0 { // no server is left to ask about
		request.quoteRound = maxQuoteRounds
		b.decideByQuotes(request, request.quoteRound)
		return
	}
	round := request.quoteRound
	wait := min(max(2*b.quoteLatency, b.minTarget/8), b.minTarget/2)
	b.schedule(b.now+wait, func() { b.handleQuoteTimeout(request, round, alreadyAsked, asked) })
	for i, server := range asked {
		b.sendMessage(request.owners[alreadyAsked+i], QuoteRequest, server.id)
	}
}

// chooseServersToAsk adds the servers of the next round of quotes to a request, beginning with the given one.
func (b *Balancer) chooseServersToAsk(request *request, next *server) {
	alreadyAsked := len(request.askedServers)
	for next != nil && len(request.askedServers) < alreadyAsked+quotesPerRound && !slices.Contains(request.askedServers, next) {
		request.askedServers = append(request.askedServers, next)
		request.owners = append(request.owners, b.owner(next))
		next.awaitingQuote = append(slices.DeleteFunc(next.awaitingQuote, needsNoQuote), request)
		next = b.pick(request, len(request.askedServers) > alreadyAsked+1, true)
	}
}

// needsNoQuote reports whether a request has no use for another quote.
func needsNoQuote(request *request) bool { return request.decided || request.ended }

// handleQuoteTimeout continues without the quotes of this round that have not arrived.
func (b *Balancer) handleQuoteTimeout(request *request, round, alreadyAsked int, asked []*server) {
	for i, server := range asked {
		if slices.Contains(server.awaitingQuote, request) {
			b.recordPeerTimeout(request.owners[alreadyAsked+i])
		}
	}
	if request.quoteRound == round {
		request.missingQuotes = 0
	}
	b.decideByQuotes(request, round)
}

// receiveQuote handles an owner's quote: the pace of its server and the number of requests in flight there.
// An infinite pace means that the server is ejected.
func (b *Balancer) receiveQuote(server *server, pace, inFlight float64) {
	waiting := server.awaitingQuote
	server.awaitingQuote = nil
	if math.IsInf(pace, 1) { // otherwise the dead servers of a lost zone would be tried one after another
		server.skipUntil = b.now + 10*firstBackoff
	}
	for _, request := range waiting {
		// Immediate answers and those delayed by dead owners say nothing about the latency of messages.
		if latency := b.now - request.askedAt; latency > 0 && latency < b.minTarget/2 {
			b.quoteLatency += (latency - b.quoteLatency) / trustedAnswers
		}
		if request.decided {
			continue
		}
		request.missingQuotes--
		better := request.best == nil || pace*b.costFactor(server) < request.bestPace*b.costFactor(request.best)
		if !math.IsInf(pace, 1) && better {
			request.best = server
			request.bestPace = pace
			request.bestInFlight = inFlight
		}
		if request.missingQuotes == 0 {
			b.decideByQuotes(request, request.quoteRound)
		}
	}
}

// decideByQuotes sends a request to the server with the best quote. If no quote is good enough, it asks about
// other servers, which may be idle, as long as there is time.
func (b *Balancer) decideByQuotes(request *request, round int) {
	if request.decided || request.ended || request.quoteRound != round {
		return
	}
	noGoodQuote := request.best == nil || request.workKnown && b.limitRatio(request, request.best) > 1
	if noGoodQuote && request.usefulUntil-b.now > 3*b.quoteLatency && request.missingQuotes <= 0 && request.quoteRound < maxQuoteRounds {
		b.askOwners(request)
		return
	}
	request.decided = true
	chosen := request.best
	if chosen == nil || !b.allowed(request, chosen) {
		b.counters["asked_in_vain"]++
		request.best = nil
		chosen = b.pick(request, false, false)
	}
	b.sendOrGiveUp(request, chosen)
}

// quote returns what an owner quotes for its server: the latency per unit of work that one more request would
// see, or infinity if the server takes no more requests now.
func (b *Balancer) quote(server *server) float64 {
	inFlight := float64(server.inFlight) + server.inFlightElsewhere
	if !server.acceptsRequests() || server.ejectedUntil > b.now || server.ejectedUntil != 0 && inFlight >= 1 {
		return math.Inf(1)
	}
	return b.expectedPace(server)
}
