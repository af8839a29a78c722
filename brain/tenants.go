package brain

// Tenants' shares, and messages from other sidecars.

// reportTenantUse sends the tenants' new requests to the usage collector, which answers with the totals. A
// collector that doesn't answer is replaced by the next one.
func (b *Balancer) reportTenantUse() {
	newRequests := make([]float64, len(b.tenants))
	for i := range b.tenants {
		newRequests[i] = b.tenants[i].unreported
		b.tenants[i].unreported = 0
	}
	if b.collectorSilent() {
		b.failedCollectors++
	}
	collector := Peer(b.hashPair(0, b.failedCollectors) % uint64(b.sidecars))
	b.sendMessage(collector, TenantUse, 0, newRequests...)
}

// collectorSilent reports whether the usage collector has sent no totals for a long time.
func (b *Balancer) collectorSilent() bool {
	return b.now-max(b.totalsReceivedAt, b.startedAt) > 4*tenantReportTicks*firstBackoff
}

// HandleMessage handles a message from another sidecar. Malformed messages are ignored.
func (b *Balancer) HandleMessage(now Micros, from Peer, kind MessageKind, id ServerID, values ...float64) {
	b.now = now
	if int(from) >= b.sidecars { // not a known sidecar
		return
	}
	b.peerBackoffs[from] = backoff{}
	if from != b.self {
		b.unansweredQuotes = 0
		b.messagingBackoff = backoff{}
	}
	switch {
	case kind == TenantUse && len(values) == len(b.tenants):
		b.addTenantUse(from, values)
	case kind == TenantTotals && len(values) == len(b.tenants):
		b.totalsReceivedAt = now
		for i := range b.tenants {
			b.tenants[i].fleetUse = values[i]
		}
	default:
		if server := b.servers[id]; server != nil { // otherwise the server is not on this sidecar's list
			b.handleServerMessage(server, from, kind, values)
		}
	}
}

// addTenantUse adds a sidecar's report to the collected use, and answers with the totals.
func (b *Balancer) addTenantUse(from Peer, values []float64) {
	for i := range b.tenants {
		b.tenants[i].collectedUse += values[i]
		values[i] = b.tenants[i].collectedUse
	}
	b.sendMessage(from, TenantTotals, 0, values...)
}

// handleServerMessage handles a message about a server.
func (b *Balancer) handleServerMessage(server *server, from Peer, kind MessageKind, values []float64) {
	switch {
	case kind == QuoteRequest:
		b.sendMessage(from, Quote, server.id, b.quote(server), float64(server.inFlight)+server.inFlightElsewhere)
	case kind == Quote && len(values) == 2:
		b.receiveQuote(server, values[0], values[1])
	case kind == AttemptStarted:
		server.inFlightElsewhere++
	case kind == AttemptUnanswered && len(values) == 1:
		if server.lastAnswerAt <= b.now-Micros(values[0]) { // a server that has answered others since then is not silent
			b.countUnanswered(server, "silent")
		}
	case kind == AttemptEnded && len(values) == 4:
		result, latency, work, load := Result(values[0]), values[1], values[2], values[3]
		if max(latency, work, load/work) <= b.longestTimeout {
			server.inFlightElsewhere = max(0, server.inFlightElsewhere-1)
			b.recordOutcome(server, result, b.now-Micros(latency), latency, work, load)
		}
	}
}

// overShareFraction returns the fraction of a tenant's requests that lies beyond its share, according to the latest
// totals.
func (b *Balancer) overShareFraction(id TenantID) float64 {
	tenant := &b.tenants[id]
	used := tenant.used
	if !b.collectorSilent() {
		used = max(used, tenant.fleetUse)
	}
	share := tenant.quota * decayTicks * float64(firstBackoff) / microsPerSecond
	return max(0, 1-share/used)
}
