package brain

// Choosing a server for a request.

import (
	"math"
	"slices"
)

// pick chooses a server by a weighted random draw among the idle servers of low expected pace, or else a
// server of the lowest score. Servers in other zones are skipped while a server in the sidecar's own zone is
// idle and fast enough. ignoreCost leaves out the cost of reaching a server. forQuotes draws servers whose
// owners are asked for a quote: there, busy servers take part as well.
func (b *Balancer) pick(request *request, ignoreCost, forQuotes bool) *server {
	b.findCandidates(request)
	minScore := b.scoreCandidates(ignoreCost)
	localIdle := !ignoreCost && slices.ContainsFunc(b.candidates, func(server *server) bool {
		return server.inFlight == 0 && server.zone == b.myZone && server.pace <= tieRatio*minScore
	})
	skipRemote := func(server *server) bool { return localIdle && server.zone != b.myZone }
	exponent := paceExponent
	if b.reportIndex > 0 {
		exponent = reportedPaceExponent
	}
	picked := b.weightedPick(func(server *server) float64 {
		if forQuotes && !skipRemote(server) {
			return minScore / server.score // the owner decides; drawing only the fastest would leave slow servers idle while others are overloaded
		}
		if server.inFlight > 0 || server.pace > tieRatio*minScore || skipRemote(server) {
			return 0
		}
		return math.Pow(minScore/server.score, exponent)
	})
	if picked == nil {
		picked = b.weightedPick(func(server *server) float64 { return float64(min(1, int(minScore/server.score))) })
	}
	return picked
}

// findCandidates collects the servers that may get the request: the eligible ones or, if there is none, any
// server that the rules allow.
func (b *Balancer) findCandidates(request *request) {
	b.candidates = b.candidates[:0]
	for _, lastResort := range []bool{false, true} {
		for _, server := range b.sortedServers {
			if b.allowed(request, server) && (lastResort || b.eligible(request, server)) {
				b.candidates = append(b.candidates, server)
			}
		}
		if len(b.candidates) > 0 {
			return
		}
	}
}

// scoreCandidates computes the candidates' scores and returns the lowest one.
func (b *Balancer) scoreCandidates(ignoreCost bool) (minScore float64) {
	minScore = math.Inf(1)
	for _, server := range b.candidates {
		server.pace = b.expectedPace(server)
		server.score = server.pace
		if !ignoreCost {
			server.score *= b.costFactor(server)
		}
		minScore = min(minScore, server.score)
	}
	return minScore
}

// eligible reports whether a server may be picked ordinarily. A server whose ejection has ended gets one
// trial request at a time.
func (b *Balancer) eligible(request *request, server *server) bool {
	if server.skipUntil > b.now || slices.Contains(request.askedServers, server) || request.tried(server) {
		return false
	}
	if server.ejectedUntil == 0 {
		return true
	}
	return server.ejectedUntil <= b.now && server.inFlight == 0 && request.class.effect != unsafe && len(request.attempts) == 0
}

// tried reports whether an attempt of the request was sent to the server.
func (r *request) tried(server *server) bool {
	return slices.ContainsFunc(r.attempts, func(attempt *attempt) bool { return attempt.server == server })
}

// expectedPace returns the latency per unit of work that one more request would see at a server.
func (b *Balancer) expectedPace(server *server) float64 {
	priorPace := b.zones[server.zone].basePace * b.meanWeight / server.weight // prior: a server of twice the weight is twice as fast
	basePace := blend(server.latency, server.loadedWork, priorRequests*b.meanWork, priorPace)
	inFlight := float64(server.inFlight) + server.inFlightElsewhere
	if server.untested {
		inFlight = max(inFlight, b.meanInFlight)
	}
	pace := basePace * (1 + b.contentionFactor*inFlight) * b.reportedFactor(server) / b.warmFraction(server)
	return max(pace, minPace)
}

// reportedFactor returns how a server's last load report compares with the mean report, as a factor of its
// pace. Its effect decays with the age of the report.
func (b *Balancer) reportedFactor(server *server) float64 {
	if server.reportedAt == 0 {
		return 1
	}
	weight := math.Exp(-float64(b.now-server.reportedAt) / (reportDecayLatencies * b.pace * b.meanWork))
	return 1 + (server.reported-b.meanReported)*weight/(1+b.meanReported)
}

// costFactor returns the factor by which the cost of another zone and of a new connection raises a server's
// score.
func (b *Balancer) costFactor(server *server) float64 {
	cost := 0.0
	if server.zone != b.myZone {
		cost = b.crossZoneCost
	}
	if !b.hasIdleConnection(server) {
		cost += b.dialCost
	}
	return 1 + requestsPerCostUnit*cost/float64(server.inFlight+1)
}

// hasIdleConnection reports whether an idle connection to the server is probably still open.
func (b *Balancer) hasIdleConnection(server *server) bool {
	last := len(server.idleSince) - 1
	return last >= 0 && server.idleSince[last]+b.idleLifetime > b.now
}

// updatePaces updates the paces of all zones. The sums decay by answers as well as by time: otherwise a
// sidecar with few requests would never gather enough of them.
func (b *Balancer) updatePaces() {
	prior := priorRequests * b.meanWork
	all := zoneStats{}
	for i := range b.zones {
		zone := &b.zones[i]
		keep := 1 - min(1, zone.answers/trustedAnswers)/decayTicks
		zone.latency *= keep
		zone.loadedWork *= keep
		zone.work *= keep
		zone.answers *= keep
		zone.basePace = blend(zone.latency, zone.loadedWork, prior, b.calmPace)
		zone.pace = blend(zone.latency, zone.work, prior, b.calmPace)
		all.add(zone.latency, zone.loadedWork, zone.work)
	}
	b.pace = blend(all.latency, all.work, prior, 1)
	// The calm pace rises slowly under overload: otherwise the overload would raise the limit that is meant
	// to end it.
	rise := max(0, min(b.pace, calmFollowFactor*b.calmPace)-b.calmPace) / calmRiseTicks
	fall := max(0, b.calmPace-b.pace) / calmFallTicks
	b.calmPace += rise - fall
	b.rawPace = blend(all.latency, all.work, 1, 1)
}

// blend returns a latency per unit of work, averaged with the usual pace, which has the weight prior. Without
// any work or prior it returns the usual pace.
func blend(latency, work, prior, usual float64) float64 {
	if !(work+prior > 0) {
		return usual
	}
	return (latency + prior*usual) / (work + prior)
}
