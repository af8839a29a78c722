package brain

// Admission control: which requests are accepted while servers are overloaded.

import (
	"math"
)

// admit reports whether a request is accepted. Under overload it rejects requests early, those of low value
// first, because otherwise all answers would be late.
func (b *Balancer) admit(request *request, server *server) bool {
	ratio := b.limitRatio(request, server)
	return ratio <= 1 || b.random() < 3-2*ratio || server.inFlight == 0 && b.random() < 1/decayTicks
}

// limitFraction returns the fraction of a limit that a request of the given value may use.
func limitFraction(value float64) float64 { return 1 - (1-valuelessLimitFraction)*(1-value)*(1-value) }

// limitRatio returns the load that a server would have with this request, relative to its limit; at 1 it is
// at the limit.
func (b *Balancer) limitRatio(request *request, server *server) float64 {
	fraction := limitFraction(request.value)
	if request.overShare {
		fraction *= overShareLimitFraction
	}
	confidence := min(1, float64(b.now-b.startedAt)/b.meanTarget) // near 0 at the start: without statistics, requests are sent to gain some
	zonePace := b.zones[server.zone].pace
	pace := b.expectedPace(server)
	latencyRatio := b.latencyRatio(server, zonePace, confidence)
	if request.best == server && b.hasOwners() {
		// The quote counts the current requests of all sidecars, so it is compared with a fixed fraction of
		// the target latency instead of the calm latency.
		pace = request.bestPace
		latencyRatio = pace * b.meanWork / quotedLimitFraction / b.meanTarget * b.meanLimitFraction
	}
	// A request of more than the mean work is still running when the requests it meets have ended, so its work
	// beyond the mean counts at the zone's pace if that is lower.
	ownLatency := pace*request.work + min(0, zonePace-pace)*max(0, request.work-b.meanWork)
	if !request.workKnown { // an estimated work counts little until answers confirm it
		ownLatency *= max(confidence, min(1, (request.class.answers-priorRequests)/trustedAnswers))
	}
	return math.Hypot(latencyRatio/fraction, ownLatency/float64(request.usefulUntil-b.now)/ownLatencyFraction)
}

// latencyRatio returns a server's latency for the mean work, relative to the limit derived from the calm
// latency. confidence, from 0 to 1, scales the result.
func (b *Balancer) latencyRatio(server *server, zonePace, confidence float64) float64 {
	latencyPerWork := blend(server.latency, server.work, priorRequests*b.meanWork, zonePace) / b.warmFraction(server)
	limit := min(max(calmLatencyFactor*b.calmPace*b.meanWork, minLimitFraction*b.meanTarget), maxLimitFraction*b.meanTarget)
	return confidence * latencyPerWork * b.meanWork / limit
}
