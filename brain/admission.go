package brain

// admission.go: which visits are taken in while servers are crowded.

import (
	"math"
)

// admit turns a visit away early, sooner the less it is worth. Guards against answers that are all late.
func (b *Balancer) admit(v *visit, be *backend) bool {
	strain := b.strain(v, be)
	return strain <= 1 || b.chance() < 3-2*strain || be.held == 0 && b.chance() < 1/memory
}

func partFor(value float64) float64 { return 1 - (1-lowLimit)*(1-value)*(1-value) }

// strain tells how near a server is to its limit with this visit, 1: at it.
func (b *Balancer) strain(v *visit, be *backend) float64 {
	part := partFor(v.value)
	if v.beyond {
		part *= beyondLimit
	}
	pace, level := b.expect(be), b.centres[be.zone].level
	plain := blend(be.took, be.carried, firmness*b.meanWork, level) / b.warmth(be)
	limit := min(max(calmTimes*b.calm*b.meanWork, leastLimit*b.meanTarget), mostLimit*b.meanTarget)
	lenient := min(1, float64(b.now-b.begun)/b.meanTarget) // nothing is known yet: rather send and learn
	crowd := lenient * plain * b.meanWork / limit
	if v.offer == be && b.owners() {
		// The owner's count is of now and of all: the limit needs no calm answer to be measured against.
		pace = v.offered
		crowd = pace * b.meanWork / toldLimit / b.meanTarget * b.meanPart
	}
	// A heavy visit outlasts those it meets: what it has beyond a mean visit's work goes at the usual pace.
	own := pace*v.work + min(0, level-pace)*max(0, v.work-b.meanWork)
	if !v.hinted { // guards against a guess at a visit's work that no answer bears out yet
		own *= max(lenient, min(1, (v.on.seen-firmness)/enough))
	}
	return math.Hypot(crowd/part, own/float64(v.wanted-b.now)/ownLimit)
}
