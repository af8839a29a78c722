package brain

// The list of servers, and servers' starts.

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// subscribe asks the list to send its changes.
func (b *Balancer) subscribe() {
	b.listCalledAt = b.now
	b.ports.Subscribe()
}

// listCallSpread returns a period over which the calls of all sidecars are spread, to avoid overloading the
// list's service.
func (b *Balancer) listCallSpread() Micros {
	return min(Micros(b.sidecars-1)*firstBackoff, b.micros("obligations.ask_every_us")/4, maxListCallDelay*2/3)
}

// BeginList begins the processing of a list. ListServer then passes each line, and EndList completes it.
func (b *Balancer) BeginList(now Micros, kind ListKind) {
	b.now = now
	b.listKind = kind
	if kind == ListCallFailed {
		b.scheduleListCall()
		return
	}
	if kind != TakenOverList { // calls go on as they would without it
		b.listCalledAt = 0
		b.listCallDelay = 0
	}
	for _, server := range b.sortedServers {
		server.seenInList = kind == ListChanges
	}
}

// scheduleListCall schedules the next call to the list after a failed one, with exponential backoff and
// jitter.
func (b *Balancer) scheduleListCall() {
	quarterInterval := b.micros("obligations.ask_every_us") / 4
	timeLeft := maxListCallDelay - (b.now - cmp.Or(b.listCalledAt, b.now))
	minDelay := max(2*b.listCallDelay, 4*firstBackoff, b.listCallSpread())
	maxDelay := max(quarterInterval, min(3*b.listCallSpread(), 3*quarterInterval))
	b.listCalledAt = 0
	b.listCallDelay = min(minDelay, maxDelay)
	delay := Micros(float64(min(b.listCallDelay, timeLeft*2/3)) * (0.5 + b.random()))
	b.schedule(b.now+delay, func() {
		if b.listCalledAt == 0 && b.listCallDelay > 0 {
			b.subscribe()
		}
	})
}

// ListServer processes one line of the current list.
func (b *Balancer) ListServer(now Micros, id ServerID, zone Zone, cell Cell, state ServerState, weight float64, started Micros) {
	b.now = now
	known := b.servers[id]
	returned := known != nil && known.state == Gone && state == Ready
	if known == nil {
		returned = b.listKind == ListChanges // a new server
		known = &server{id: id, hash: b.hashPair(uint64(id), 0), untested: returned, takenOut: b.takenOut[id]}
		b.servers[id] = known
	}
	for len(b.zones) <= int(max(zone, b.myZone)) {
		b.zones = append(b.zones, zoneStats{basePace: b.calmPace, pace: b.calmPace})
	}
	known.zone = zone
	known.cell = cell
	known.state = state
	known.seenInList = true
	known.listChangedAt = now
	known.weight = weight
	if !(weight > 0) || math.IsInf(weight, 0) {
		known.weight = 1
	}
	if state == Ready { // a start that is listed while the server drains is recorded once it is ready again
		b.recordStart(known, started, returned)
	}
}

// recordStart records when a server started. returned means that the server comes back, or is new in a list of
// changes.
func (b *Balancer) recordStart(server *server, started Micros, returned bool) {
	// The wall clock may have been stepped since the previous start, so any other start time means a restart.
	restarted := started != 0 && started != server.started
	server.started = started
	if !restarted && !returned {
		return
	}
	server.resetCold(max(started, server.operatorActionAt, 1))
	unknown := started == 0 || started > b.now || b.startImplausible(started) || !restarted
	switch {
	case unknown:
		server.coldSince = b.now
		server.warmupStart = b.now
	case float64(b.now-server.coldSince) >= b.ramp.warmupTime: // warm already; the first requests of a new sidecar need warm servers
		server.coldSince = 0
	}
}

// startImplausible reports whether a server's start time must be wrong. A server that appears after a list
// was received can't have started long ago, so a wall clock was stepped. Its warm-up is then counted from the
// arrival of the list line, which no clock step affects.
func (b *Balancer) startImplausible(started Micros) bool {
	return b.listReceived && float64(b.now-started) >= b.ramp.warmupTime
}

// resetCold forgets the statistics of a server that was restarted, and makes it cold since the given time.
func (s *server) resetCold(since Micros) {
	s.coldSince = since
	s.warmupStart = since
	s.credit = 0
	s.untested = true
	s.ejectedUntil = 0
	s.latency = 0
	s.loadedWork = 0
	s.work = 0
	s.ownWork = 0
	s.successes = 0
	s.failures = 0
	s.idleSince = nil
	s.reportedAt = 0
}

// SetTakenOut takes a server out of service or puts it back, on behalf of the operators. The server may have been
// restarted meanwhile, so it comes back cold.
func (b *Balancer) SetTakenOut(now Micros, id ServerID, takenOut bool) {
	b.now = now
	b.takenOut[id] = takenOut
	if server := b.servers[id]; server != nil {
		server.resetCold(now)
		server.takenOut = takenOut
		server.operatorActionAt = now
		b.ports.CloseIdle(id)
	}
}

// EndList completes the processing of a list. Servers that left are forgotten after the warm-up time, when a
// return would no longer be a cold start.
func (b *Balancer) EndList(now Micros) {
	b.now = now
	b.listReceived = b.listReceived || b.listKind == FullList || b.listKind == ListChanges
	retention := b.micros("obligations.cold_us")
	maps.DeleteFunc(b.servers, func(_ ServerID, server *server) bool {
		if b.listKind != ListCallFailed && !server.seenInList && server.state != Gone {
			server.state = Gone
			server.listChangedAt = now
		}
		return server.state == Gone && server.inFlight == 0 && now-server.listChangedAt > retention
	})
	b.sortedServers = slices.SortedFunc(maps.Values(b.servers), func(x, y *server) int { return cmp.Compare(x.id, y.id) })
	b.giveUpUnservable()
}

// acceptsRequests reports whether a server may get requests: it is not draining, gone or taken out of
// service.
func (s *server) acceptsRequests() bool { return s.state == Ready && !s.takenOut }

// inService reports whether a server is in the ordinary pick.
func (s *server) inService() bool { return s.acceptsRequests() && s.ejectedUntil == 0 }
