package brain

// servers.go: the servers that the list tells of, their starts and standing.

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

func (b *Balancer) subscribe() {
	b.asked = b.now
	b.out.Subscribe()
}

// herd is a span over which all sidecars' calls of the list are no herd.
func (b *Balancer) herd() Micros {
	return min(Micros(b.sidecars-1)*firstWait, b.span("obligations.ask_every_us")/4, againBy*2/3)
}

// ListBegins opens the reading of a list; Listed tells its lines; ListEnds closes it.
func (b *Balancer) ListBegins(now Micros, news News) {
	b.now, b.news = now, news
	if news == NoListCame {
		// Guards against a herd at the list's service: come back later each time, and not all at once.
		every, left := b.span("obligations.ask_every_us")/4, againBy-(now-cmp.Or(b.asked, now))
		b.asked, b.askWait = 0, min(max(2*b.askWait, 4*firstWait, b.herd()), max(every, min(3*b.herd(), 3*every)))
		b.at(now+Micros(float64(min(b.askWait, left*2/3))*(0.5+b.chance())), func() {
			if b.asked == 0 && b.askWait > 0 {
				b.subscribe()
			}
		})
		return
	}
	b.asked, b.askWait = 0, 0
	for _, be := range b.row {
		be.listed = news == Changes
	}
}

func (b *Balancer) Listed(now Micros, id Backend, zone Zone, cell Cell, st Standing, rating float64,
	started Micros) {
	be := b.known[id]
	returns := be != nil && be.standing == Gone && st == Ready
	if be == nil {
		returns = b.news == Changes // a new machine
		be = &backend{id: id, mark: b.mix(uint64(id), 0), fresh: returns, byHand: b.byHand[id]}
		b.known[id] = be
	}
	for len(b.centres) <= int(max(zone, b.myZone)) {
		b.centres = append(b.centres, centre{pace: b.calm, level: b.calm})
	}
	be.zone, be.cell, be.standing, be.listed, be.rating, be.left = zone, cell, st, true, rating, now
	if !(rating > 0) || math.IsInf(rating, 0) {
		be.rating = 1
	}
	// A wall clock may have been stepped since the start before, so any other start is a restart.
	restarted := started != 0 && started != be.started
	if st == Ready { // a start that is told while it drains is still to be heard of
		be.started = started
	}
	if (restarted || returns) && st == Ready {
		be.cool(max(started, be.back, 1))
		if started == 0 || started > now || b.doubted(started) || returns && !restarted {
			be.coldSince, be.began = now, now // it came back from we know not what: cold
		} else if float64(now-be.coldSince) >= b.ramp.warm { // guards a fresh sidecar's first visits
			be.coldSince = 0
		}
	}
}

// doubted tells whether a server's start can't be what it says: one that is new while lists are heard is none of long ago, so a wall clock
// was stepped. The server is cold from when that is heard, which no step can change.
func (b *Balancer) doubted(started Micros) bool {
	return b.heardList && float64(b.now-started) >= b.ramp.warm
}

// cool forgets what a server was: it is another process, cold since then.
func (be *backend) cool(since Micros) {
	be.coldSince, be.began, be.credit, be.fresh, be.outUntil = since, since, 0, true, 0
	be.took, be.work, be.carried, be.own, be.good, be.bad, be.idle, be.toldAt = 0, 0, 0, 0, 0, 0, nil, 0
}

// ByHand hears that staff take a server out, or call it back. It is restarted meanwhile: it comes back cold.
func (b *Balancer) ByHand(now Micros, id Backend, out bool) {
	b.now, b.byHand[id] = now, out
	if be := b.known[id]; be != nil {
		be.cool(now)
		be.byHand, be.back = out, now
		b.out.CloseIdle(id)
	}
}

func (b *Balancer) ListEnds(now Micros) {
	b.now = now
	b.heardList = b.heardList || b.news == Whole || b.news == Changes
	// Guards against books that grow with every server there ever was. One that may return cold is kept.
	maps.DeleteFunc(b.known, func(_ Backend, be *backend) bool {
		if b.news != NoListCame && !be.listed && be.standing != Gone {
			be.standing, be.left = Gone, now
		}
		return be.standing == Gone && be.held == 0 && now-be.left > b.span("obligations.cold_us")
	})
	b.row = slices.SortedFunc(maps.Values(b.known), func(x, y *backend) int { return cmp.Compare(x.id, y.id) })
}

// A server is open unless drained, gone or taken out (no grace is used); in service: on the ordinary pick.
func (be *backend) open() bool { return be.standing == Ready && !be.byHand }

func (be *backend) inService() bool { return be.open() && be.outUntil == 0 }
