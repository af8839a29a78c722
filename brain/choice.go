package brain

// choice.go: choosing a server.

import (
	"math"
	"slices"
)

// pick chooses a server: a random one among those without a request of ours, else the one with the fewest; a request counts by how slowly the
// server was seen to answer. anywhere: the way counts nothing. compared: their owners are asked about those that are picked.
func (b *Balancer) pick(request *request, anywhere, compared bool) *server {
	b.findCandidates(request)
	least := b.scoreCandidates(anywhere)
	near := !anywhere && slices.ContainsFunc(b.candidates, func(server *server) bool {
		return server.held == 0 && server.zone == b.myZone && server.pace <= tieBand*least
	})
	far := func(server *server) bool { return near && server.zone != b.myZone }
	bias := paceBias
	if b.reportPlace > 0 {
		bias = reportedBias
	}
	picked := b.draw(func(server *server) float64 {
		if compared && !far(server) {
			return least / server.score // its owner decides: by size, or slow ones idle while others are crowded
		}
		if server.held > 0 || server.pace > tieBand*least || far(server) {
			return 0
		}
		return math.Pow(least/server.score, bias)
	})
	if picked == nil {
		picked = b.draw(func(server *server) float64 { return float64(min(1, int(least/server.score))) })
	}
	return picked
}

// findCandidates finds the servers that may have the request: those on the ordinary pick or, as a last resort, any.
func (b *Balancer) findCandidates(request *request) {
	b.candidates = b.candidates[:0]
	for _, lastResort := range []bool{false, true} {
		for _, server := range b.listed {
			if b.allowed(request, server) && (lastResort || b.eligible(request, server)) {
				b.candidates = append(b.candidates, server)
			}
		}
		if len(b.candidates) > 0 {
			return
		}
	}
}

// scoreCandidates works out the candidates' scores, and gives the least.
func (b *Balancer) scoreCandidates(anywhere bool) (least float64) {
	least = math.Inf(1)
	for _, server := range b.candidates {
		server.pace = b.expectedPace(server)
		server.score = server.pace
		if !anywhere {
			server.score *= b.costFactor(server)
		}
		least = min(least, server.score)
	}
	return least
}

// eligible tells whether a server is on the ordinary pick. One that was ejected is tried by a request at a time.
func (b *Balancer) eligible(request *request, server *server) bool {
	if server.skipUntil > b.now || slices.Contains(request.asked, server) || request.tried(server) {
		return false
	}
	if server.ejectedUntil == 0 {
		return true
	}
	return server.ejectedUntil <= b.now && server.held == 0 && request.class.effect != unsafe && len(request.attempts) == 0
}

// tried tells whether a request had an attempt at a server.
func (r *request) tried(server *server) bool {
	return slices.ContainsFunc(r.attempts, func(attempt *attempt) bool { return attempt.server == server })
}

// expectedPace is the latency per unit of work that one more request would see at a server.
func (b *Balancer) expectedPace(server *server) float64 {
	usual := b.zones[server.zone].heldPace * b.meanWeight / server.weight // until seen: twice the size, half the time
	own := blend(server.latency, server.heldWork, priorRequests*b.meanWork, usual)
	held := float64(server.held) + server.heldByOthers
	if server.untested {
		held = max(held, b.meanHeld)
	}
	pace := own * (1 + b.addedByMet*held) * b.reportedFactor(server) / b.warmth(server)
	return max(pace, leastPace)
}

// reportedFactor is by how much a server differs from the usual by its last report, fading.
func (b *Balancer) reportedFactor(server *server) float64 {
	if server.reportedAt == 0 {
		return 1
	}
	fades := math.Exp(-float64(b.now-server.reportedAt) / (reportedLife * b.pace * b.meanWork))
	return 1 + (server.reported-b.meanReported)*fades/(1+b.meanReported)
}

// costFactor makes another zone, and a new connection, count as some requests held, by their prices.
func (b *Balancer) costFactor(server *server) float64 {
	price := 0.0
	if server.zone != b.myZone {
		price = b.crossingPrice
	}
	if !b.hasIdleConnection(server) {
		price += b.dialPrice
	}
	return 1 + crossWeight*price/float64(server.held+1)
}

// hasIdleConnection tells whether an idle connection is believed to live, by the settings or by what was lately learnt.
func (b *Balancer) hasIdleConnection(server *server) bool {
	last := len(server.idleSince) - 1
	return last >= 0 && server.idleSince[last]+b.idleLife > b.now
}

// updatePaces takes stock of the zones. What was seen fades by answers as by time: a sidecar with few requests would never learn.
func (b *Balancer) updatePaces() {
	prior := priorRequests * b.meanWork
	all := zoneStats{}
	for i := range b.zones {
		zone := &b.zones[i]
		keep := 1 - min(1, zone.answers/enoughAnswers)/fadeBeats
		zone.latency *= keep
		zone.heldWork *= keep
		zone.work *= keep
		zone.answers *= keep
		zone.heldPace = blend(zone.latency, zone.heldWork, prior, b.calmPace)
		zone.pace = blend(zone.latency, zone.work, prior, b.calmPace)
		all.add(zone.latency, zone.heldWork, zone.work)
	}
	b.pace = blend(all.latency, all.work, prior, 1)
	// The calm pace hardly follows a crowd: a jam must not raise the limit that is to end it.
	rise := max(0, min(b.pace, calmBand*b.calmPace)-b.calmPace) / calmRises
	fall := max(0, b.calmPace-b.pace) / calmFalls
	b.calmPace += rise - fall
	b.rawPace = blend(all.latency, all.work, 1, 1)
}

// blend is a latency per unit of work, mixed with a prior; the usual one where there is neither.
func blend(latency, work, prior, usual float64) float64 {
	if !(work+prior > 0) {
		return usual
	}
	return (latency + prior*usual) / (work + prior)
}
