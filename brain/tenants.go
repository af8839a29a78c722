package brain

// tenants.go: tenants' shares, and what other sidecars tell.

// tell sends what tenants sent here to the ledger's keeper, which answers with the totals, or is given up.
func (b *Balancer) tell() {
	fresh := make([]float64, len(b.tenants))
	for i := range b.tenants {
		fresh[i], b.tenants[i].fresh = b.tenants[i].fresh, 0
	}
	if b.ledgerSilent() {
		b.ledger++
	}
	b.say(Peer(b.mix(0, b.ledger)%uint64(b.sidecars)), TenantsUse, 0, fresh...)
}

func (b *Balancer) ledgerSilent() bool { return b.now-max(b.totalled, b.begun) > 4*tellBeats*firstWait }

// Heard takes what another sidecar told. A message that is not of a known form is passed over.
func (b *Balancer) Heard(now Micros, from Peer, kind Note, about Backend, figures ...float64) {
	b.now = now
	be := b.known[about]
	if int(from) >= b.sidecars { // nobody
		return
	}
	if b.deaf[from] = (deafness{}); from != b.me {
		b.unanswered, b.down = 0, deafness{}
	}
	switch {
	case kind == TenantsUse && len(figures) == len(b.tenants):
		for i := range b.tenants {
			b.tenants[i].kept += figures[i]
			figures[i] = b.tenants[i].kept
		}
		b.say(from, TenantsTotal, 0, figures...)
	case kind == TenantsTotal && len(figures) == len(b.tenants):
		b.totalled = now
		for i := range b.tenants {
			b.tenants[i].total = figures[i]
		}
	case be == nil: // not on this sidecar's list
	case kind == Ask:
		b.say(from, Quote, about, b.quote(be), float64(be.held)+be.away)
	case kind == Quote && len(figures) == 2:
		b.quoted(be, figures[0], figures[1])
	case kind == Began:
		be.away++
	case kind == Waits && len(figures) == 1:
		if be.answered <= now-Micros(figures[0]) { // one that answered others since then is not silent
			b.missed(be, "silent")
		}
	case kind == Ended && len(figures) == 4 && max(figures[1], figures[2], figures[3]/figures[2]) <= b.longest:
		be.away = max(0, be.away-1)
		b.account(be, Result(figures[0]), now-Micros(figures[1]), figures[1], figures[2], figures[3])
	}
}

// beyond is the part of a tenant's visits that lies beyond its share, by what the ledger lately told.
func (b *Balancer) beyond(of Tenant) float64 {
	use := b.tenants[of].used
	if !b.ledgerSilent() {
		use = max(use, b.tenants[of].total)
	}
	return max(0, 1-b.tenants[of].quota*memory*float64(firstWait)/1e6/use)
}
