package brain

// slowstart.go: what a cold server may be sent while it warms up.

// growCredit lets a cold server's credit grow, as this sidecar's part of what all of them may send.
func (b *Balancer) growCredit(server *server) {
	if server.coldSince == 0 || float64(b.now-server.coldSince) >= b.ramp.warm {
		server.coldSince = 0
		return
	}
	rate := b.workPerWeight * server.weight * b.warmth(server) * b.ramp.multiple
	window := b.ramp.window / float64(firstBackoff)
	if !b.sparse() {
		server.credit = min(server.credit+rate*coldSafety, rate*coldSafety*window/4)
		return
	}
	// Among many sidecars a part is too small for a request. A token is worth many parts, and drawn by chance as seldom.
	if server.tokenEnds <= b.now {
		server.credit = 0
	}
	all := float64(max(b.sidecars, b.senders))
	if b.chance()*all*window < coldTokens*coldMean {
		b.tally["cold_tokens"]++
		server.credit = rate * window * all / coldTokens
		server.tokenEnds = b.now + Micros(window/4)*firstBackoff
	}
}

// warmth is the part of its capacity that a server surely has by now.
func (b *Balancer) warmth(server *server) float64 {
	if server.coldSince == 0 {
		return 1
	}
	return min(1, b.ramp.from+(1-b.ramp.from)*float64(b.now-server.coldSince)/b.ramp.warm)
}

// coldest is a cold server whose credit covers the request: a token's, or that of a server that staff put back. It goes first, or the credit
// would be lost.
func (b *Balancer) coldest(request *request) (coldest *server) {
	for _, server := range b.listed {
		first := b.sparse() || server.putBackAt != 0 && server.untested
		if server.coldSince == 0 || !first || !b.allowed(request, server) || !b.eligible(request, server) {
			continue
		}
		if coldest == nil || server.tokenEnds < coldest.tokenEnds {
			coldest = server
		}
	}
	return coldest
}
