package brain

// servers.go: the servers that the list tells of, and their starts.

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// subscribe asks the list to send its changes.
func (b *Balancer) subscribe() {
	b.listAskedAt = b.now
	b.ports.Subscribe()
}

// fleetSpan is a span over which the calls of all sidecars don't crowd the list's service.
func (b *Balancer) fleetSpan() Micros {
	return min(Micros(b.sidecars-1)*firstBackoff, b.span("obligations.ask_every_us")/4, listAgainBy*2/3)
}

// ListBegins opens the reading of a list; Listed tells its lines; ListEnds closes it.
func (b *Balancer) ListBegins(now Micros, news News) {
	b.now = now
	b.news = news
	if news == NoListCame {
		b.askListLater()
		return
	}
	b.listAskedAt = 0
	b.listWait = 0
	for _, server := range b.listed {
		server.listed = news == Changes
	}
}

// askListLater calls the list again after a failed call: later each time, and not at once with all other sidecars.
func (b *Balancer) askListLater() {
	every := b.span("obligations.ask_every_us") / 4
	left := listAgainBy - (b.now - cmp.Or(b.listAskedAt, b.now))
	least := max(2*b.listWait, 4*firstBackoff, b.fleetSpan())
	most := max(every, min(3*b.fleetSpan(), 3*every))
	b.listAskedAt = 0
	b.listWait = min(least, most)
	wait := Micros(float64(min(b.listWait, left*2/3)) * (0.5 + b.chance()))
	b.after(b.now+wait, func() {
		if b.listAskedAt == 0 && b.listWait > 0 {
			b.subscribe()
		}
	})
}

// Listed tells a line of the list that is being read.
func (b *Balancer) Listed(now Micros, id ServerID, zone Zone, cell Cell, standing Standing, weight float64, started Micros) {
	b.now = now
	known := b.servers[id]
	returns := known != nil && known.standing == Gone && standing == Ready
	if known == nil {
		returns = b.news == Changes // a new machine
		known = &server{id: id, hash: b.hashOf(uint64(id), 0), untested: returns, takenOut: b.takenOut[id]}
		b.servers[id] = known
	}
	for len(b.zones) <= int(max(zone, b.myZone)) {
		b.zones = append(b.zones, zoneStats{heldPace: b.calmPace, pace: b.calmPace})
	}
	known.zone = zone
	known.cell = cell
	known.standing = standing
	known.listed = true
	known.lastListed = now
	known.weight = weight
	if !(weight > 0) || math.IsInf(weight, 0) {
		known.weight = 1
	}
	if standing == Ready { // a start that is told while it drains is still to be heard of
		b.hearStart(known, started, returns)
	}
}

// hearStart takes when a server started. returns: it comes back, or is new on a list of changes.
func (b *Balancer) hearStart(server *server, started Micros, returns bool) {
	// A wall clock may have been stepped since the start before, so any other start is a restart.
	restarted := started != 0 && started != server.started
	server.started = started
	if !restarted && !returns {
		return
	}
	server.cool(max(started, server.putBackAt, 1))
	unknown := started == 0 || started > b.now || b.doubted(started) || !restarted
	switch {
	case unknown:
		server.coldSince = b.now
		server.warmupBegan = b.now
	case float64(b.now-server.coldSince) >= b.ramp.warm: // a fresh sidecar's first requests need warm servers
		server.coldSince = 0
	}
}

// doubted tells whether a server's start can't be what it says: one that is new while lists are heard is none of long ago, so a wall clock
// was stepped. The server is cold from when that is heard, which no step can change.
func (b *Balancer) doubted(started Micros) bool {
	return b.heardList && float64(b.now-started) >= b.ramp.warm
}

// cool forgets what a server was: it is another process, cold since then.
func (s *server) cool(since Micros) {
	s.coldSince = since
	s.warmupBegan = since
	s.credit = 0
	s.untested = true
	s.ejectedUntil = 0
	s.latency = 0
	s.heldWork = 0
	s.work = 0
	s.ownWork = 0
	s.successes = 0
	s.failures = 0
	s.idleSince = nil
	s.reportedAt = 0
}

// ByHand hears that staff take a server out, or put it back. It is restarted meanwhile: it comes back cold.
func (b *Balancer) ByHand(now Micros, id ServerID, out bool) {
	b.now = now
	b.takenOut[id] = out
	if server := b.servers[id]; server != nil {
		server.cool(now)
		server.takenOut = out
		server.putBackAt = now
		b.ports.CloseIdle(id)
	}
}

// ListEnds closes the reading of a list. Servers that left are forgotten once they could not return cold any more.
func (b *Balancer) ListEnds(now Micros) {
	b.now = now
	b.heardList = b.heardList || b.news == Whole || b.news == Changes
	keep := b.span("obligations.cold_us")
	maps.DeleteFunc(b.servers, func(_ ServerID, server *server) bool {
		if b.news != NoListCame && !server.listed && server.standing != Gone {
			server.standing = Gone
			server.lastListed = now
		}
		return server.standing == Gone && server.held == 0 && now-server.lastListed > keep
	})
	b.listed = slices.SortedFunc(maps.Values(b.servers), func(x, y *server) int { return cmp.Compare(x.id, y.id) })
	b.giveUpWaiting()
}

// open tells whether a server may get requests: it is neither drained, gone nor taken out. No grace is used.
func (s *server) open() bool { return s.standing == Ready && !s.takenOut }

// inService tells whether it is on the ordinary pick.
func (s *server) inService() bool { return s.open() && s.ejectedUntil == 0 }
