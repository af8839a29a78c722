package brain

// slowstart.go: what a cold server may be sent while it warms.

// earn lets a cold server's credit grow. Guards against pushing it over: all send a share of warm traffic.
func (b *Balancer) earn(be *backend) {
	if be.coldSince == 0 || float64(b.now-be.coldSince) >= b.ramp.warm {
		be.coldSince = 0
		return
	}
	rate := b.carry * be.rating * b.warmth(be) * b.ramp.multiple
	window := b.ramp.window / float64(firstWait)
	if !b.thin() {
		be.credit = min(be.credit+rate*coldSafety, rate*coldSafety*window/4)
		return
	}
	// Guards against parts so small that no visit fits into one: a token is many, drawn by chance as seldom.
	if be.voidAt <= b.now {
		be.credit = 0
	}
	all := float64(max(b.sidecars, b.senders))
	if b.chance()*all*window < coldTokens*coldMean {
		b.tally["cold_tokens"]++
		be.credit, be.voidAt = rate*window*all/coldTokens, b.now+Micros(window/4)*firstWait
	}
}

// warmth is the part of its capacity that a server surely has by now.
func (b *Balancer) warmth(be *backend) float64 {
	if be.coldSince == 0 {
		return 1
	}
	return min(1, b.ramp.from+(1-b.ramp.from)*float64(b.now-be.coldSince)/b.ramp.warm)
}

// coldest is a cold server whose token or, called back, credit covers the visit. Guards against leaving it.
func (b *Balancer) coldest(v *visit) (c *backend) {
	for _, be := range b.row {
		due := be.coldSince != 0 && (b.thin() || be.back != 0 && be.fresh) && b.may(v, be) && b.fit(v, be)
		if due && (c == nil || be.voidAt < c.voidAt) {
			c = be
		}
	}
	return c
}
