package brain

// choice.go: choosing a server.

import (
	"math"
	"slices"
)

// reckon takes stock of data centres. Sights fade by answers as by time, or thin sidecars would never learn.
func (b *Balancer) reckon() {
	prior, all := firmness*b.meanWork, centre{}
	for i := range b.centres {
		c := &b.centres[i]
		keep := 1 - min(1, c.seen/enough)/memory
		c.took, c.work, c.plain, c.seen = c.took*keep, c.work*keep, c.plain*keep, c.seen*keep
		c.pace, c.level = blend(c.took, c.work, prior, b.calm), blend(c.took, c.plain, prior, b.calm)
		all.add(c.took, c.work, c.plain)
	}
	b.level = blend(all.took, all.plain, prior, 1)
	// The calm pace hardly follows a crowd: a jam must not raise the limit that is to end it.
	b.calm += max(0, min(b.level, calmBand*b.calm)-b.calm)/calmRises - max(0, b.calm-b.level)/calmFalls
	b.crowd = blend(all.took, all.plain, 1, 1)
}

// blend is an answer time per unit of work, mixed with a prior.
func blend(took, work, prior, usual float64) float64 { return (took + prior*usual) / (work + prior) }

// expect is the answer time per unit of work that one more visit would see at a server.
func (b *Balancer) expect(be *backend) float64 {
	usual := b.centres[be.zone].pace * b.size / be.rating // until seen: twice the size, half the time
	own := blend(be.took, be.work, firmness*b.meanWork, usual)
	held := float64(be.held) + be.away
	if be.fresh {
		held = max(held, b.meanHeld)
	}
	return max(own*(1+b.adds*held)*b.lately(be)/b.warmth(be), 1e-9) // never nothing: chance goes by its inverse
}

// lately is how a server differs from the usual by its last report, fading. Guards against blind picks.
func (b *Balancer) lately(be *backend) float64 {
	if be.toldAt == 0 {
		return 1
	}
	fades := math.Exp(-float64(b.now-be.toldAt) / (toldLife * b.level * b.meanWork))
	return 1 + (be.told-b.told)*fades/(1+b.told)
}

// pick chooses a server: a random one among those without a visit of ours, else the one with the fewest; a
// visit counts by how slowly the server was seen to answer. afar: the way counts nothing.
func (b *Balancer) pick(v *visit, afar, asks bool) *backend {
	b.scratch = b.scratch[:0]
	for resort := 0; resort < 2 && len(b.scratch) == 0; resort++ {
		for _, be := range b.row {
			if b.may(v, be) && (resort > 0 || b.fit(v, be)) {
				b.scratch = append(b.scratch, be)
			}
		}
	}
	least := math.Inf(1)
	for _, be := range b.scratch {
		be.pace = b.expect(be)
		if be.score = be.pace; !afar {
			be.score *= b.distance(be)
		}
		least = min(least, be.score)
	}
	near := !afar && slices.ContainsFunc(b.scratch, func(be *backend) bool {
		return be.held == 0 && be.zone == b.myZone && be.pace <= tieBand*least
	})
	bias := paceBias
	if b.tells > 0 {
		bias = toldBias
	}
	be := b.draw(func(be *backend) float64 {
		if asks && !(near && be.zone != b.myZone) {
			return least / be.score // its owner's word decides: by size, or slow ones idle while others are crowded
		}
		if be.held > 0 || be.pace > tieBand*least || near && be.zone != b.myZone {
			return 0
		}
		return math.Pow(least/be.score, bias)
	})
	if be == nil {
		be = b.draw(func(be *backend) float64 { return float64(min(1, int(least/be.score))) })
	}
	return be
}

// fit tells whether a server is on the ordinary pick; others are a last resort. Guards against many trials.
func (b *Balancer) fit(v *visit, be *backend) bool {
	tried := func(f *fetch) bool { return f.be == be }
	if be.skipUntil > b.now || slices.Contains(v.asked, be) || slices.ContainsFunc(v.fetches, tried) {
		return false
	}
	return be.outUntil == 0 || be.outUntil <= b.now && be.held == 0 && v.on.effect != "mutating" &&
		len(v.fetches) == 0
}

// stands tells whether an idle connection is believed to: told or, lately, learnt how long they live.
func (b *Balancer) stands(be *backend) bool {
	n := len(be.idle)
	return n > 0 && be.idle[n-1]+b.life > b.now
}

// distance makes a crossing, and a new connection, count as some visits held, by their prices.
func (b *Balancer) distance(be *backend) float64 {
	price := 0.0
	if be.zone != b.myZone {
		price = b.crossing
	}
	if !b.stands(be) {
		price += b.dialling
	}
	return 1 + crossWeight*price/float64(be.held+1)
}
