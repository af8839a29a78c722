package brain

// Slow start: what a cold server may be sent while it warms up.

// growCredit increases a cold server's credit by this sidecar's part of what all sidecars may send.
func (b *Balancer) growCredit(server *server) {
	if server.coldSince == 0 || float64(b.now-server.coldSince) >= b.ramp.warmupTime {
		server.coldSince = 0
		return
	}
	ratePerTick := b.workPerWeight * server.weight * b.warmFraction(server) * b.ramp.multiple
	windowTicks := b.ramp.window / float64(firstBackoff)
	processes := float64(max(b.processes, 1))
	if !b.sidecarsOutnumberServers() {
		ratePerTick /= processes
		server.credit = min(server.credit+ratePerTick*coldBudgetFraction, ratePerTick*coldBudgetFraction*windowTicks/4)
		return
	}
	// Where sidecars outnumber servers, an equal part would be too small for a single request. Instead the
	// window's budget is divided into tokens, which sidecars draw at random, each with a low probability.
	if server.creditExpiry <= b.now {
		server.credit = 0
	}
	sidecars := float64(max(b.sidecars, b.activeSidecars))
	if b.random()*sidecars*processes*windowTicks < coldTokensPerWindow*coldDrawnFraction {
		b.counters["cold_tokens"]++
		server.credit = ratePerTick * windowTicks * sidecars / coldTokensPerWindow
		server.creditExpiry = b.now + Micros(windowTicks/4)*firstBackoff
	}
}

// warmFraction returns the fraction of its capacity that a server is assumed to have by now.
func (b *Balancer) warmFraction(server *server) float64 {
	if server.coldSince == 0 {
		return 1
	}
	return min(1, b.ramp.initialFraction+(1-b.ramp.initialFraction)*float64(b.now-server.coldSince)/b.ramp.warmupTime)
}

// coldServerWithCredit returns a cold server whose credit covers the request, if its credit is a token or
// operators put it back into service. Such a server is used first, because otherwise the credit would expire
// unused.
func (b *Balancer) coldServerWithCredit(request *request) (coldest *server) {
	for _, server := range b.sortedServers {
		preferred := b.sidecarsOutnumberServers() || server.operatorActionAt != 0 && server.untested
		if server.coldSince == 0 || !preferred || !b.allowed(request, server) || !b.eligible(request, server) {
			continue
		}
		if coldest == nil || server.creditExpiry < coldest.creditExpiry {
			coldest = server
		}
	}
	return coldest
}
