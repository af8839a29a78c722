package brain

// admission.go: which requests are taken in while servers are crowded.

import (
	"math"
)

// admit rejects a request early, sooner the less it is worth: else all answers would be late.
func (b *Balancer) admit(request *request, server *server) bool {
	strain := b.strain(request, server)
	return strain <= 1 || b.chance() < 3-2*strain || server.held == 0 && b.chance() < 1/fadeBeats
}

// partFor is the part of a limit that a request of this value may use.
func partFor(value float64) float64 { return 1 - (1-lowLimit)*(1-value)*(1-value) }

// strain tells how near a server is to its limit with this request; 1: at it.
func (b *Balancer) strain(request *request, server *server) float64 {
	part := partFor(request.value)
	if request.overShare {
		part *= beyondLimit
	}
	lenient := min(1, float64(b.now-b.begun)/b.meanTarget) // nothing is known yet: rather send and learn
	zonePace := b.zones[server.zone].pace
	pace := b.expectedPace(server)
	crowd := b.crowd(server, zonePace, lenient)
	if request.best == server && b.hasOwners() {
		// The owner's count is of now and of all: the limit needs no calm latency to be measured against.
		pace = request.bestPace
		crowd = pace * b.meanWork / quotedLimit / b.meanTarget * b.meanPart
	}
	// A heavy request outlasts those it meets: what it has beyond the mean work goes at the usual pace.
	own := pace*request.work + min(0, zonePace-pace)*max(0, request.work-b.meanWork)
	if !request.workKnown { // a guess at its work, that no answer bears out yet, counts little
		own *= max(lenient, min(1, (request.class.answers-priorRequests)/enoughAnswers))
	}
	return math.Hypot(crowd/part, own/float64(request.usefulUntil-b.now)/ownLimit)
}

// crowd is a server's latency for the mean work, of the most that is usual when the fleet is calm. lenient is the part of it that counts.
func (b *Balancer) crowd(server *server, zonePace, lenient float64) float64 {
	plain := blend(server.latency, server.work, priorRequests*b.meanWork, zonePace) / b.warmth(server)
	limit := min(max(calmTimes*b.calmPace*b.meanWork, leastLimit*b.meanTarget), mostLimit*b.meanTarget)
	return lenient * plain * b.meanWork / limit
}
