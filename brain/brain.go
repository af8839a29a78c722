// Package brain makes every decision of a ledgespread sidecar. Its caller tells a Balancer what happens, and
// when, and is told through its Ports (ports.go; books.go declares its state).
package brain

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"

	"ledgespread/brain/due"
)

// The figures of the design page, then ratios of this module's own; what of stands beside each.
const (
	firstWait              Micros = 50_000     // wait before a visit's first retry; it doubles from there
	retryCost, failedGives        = 10.0, 5.0  // tokens a retry takes; of these, back after a failed one
	refill                        = 1.0        // tokens back for a first try delivered without a retry
	fewRetries, retryShare        = 5.0, 0.2   // a full bucket: at least these retries; at most this of
	retrySpan              Micros = 10_000_000 // the first tries of ten seconds
	againBy                Micros = 4_500_000  // from a call of the list that failed to the next

	memory, tellBeats     = 25.0, 10     // beats till sights fade to 1/e; between words to the ledger
	firmness, enough      = 6.0, 32      // mean visits a server's pace is mixed with; answers worth trusting
	tieBand, paceBias     = 2.0, 4.0     // idle servers within this multiple tie; chance by this power of pace,
	toldBias, toldLife    = 40.0, 20.0   // or by this where servers tell; mean answers in which that fades
	badShare, badLeast    = 0.25, 2.0    // share of errors at which a server sits out; the least it takes
	crossWeight           = 10.0         // visits held that one point of a crossing's price counts as
	coldSafety            = 0.7          // part of a cold server's budget that is used
	coldTokens, coldMean  = 32.0, 0.5    // tokens of a window's budget; part of them that all draw in the mean
	patience, muteLeast   = 3.0, 2       // multiple of the expected answer that is silence; fetches it takes
	calmTimes, calmBand   = 1.8, 1.5     // calm answers that a usual one may take; up to which calm follows
	leastLimit, mostLimit = 0.2, 0.5     // but in these parts of its target latency
	toldLimit, ownLimit   = 0.3, 0.9     // where an owner was asked; part of the time left its answer may take
	lowLimit, beyondLimit = 0.5, 0.8     // part of these for a visit worth nothing; beyond its tenant's share
	calmFalls, calmRises  = 100.0, 400.0 // beats in which the calm pace follows the fleet's down, and up
	copyAfter, copyCalm   = 1.2, 0.3     // calm answers until a second copy; part of the target they may take
	leastAdds, fitSpan    = 0.25, 256.0  // the least that a visit met adds to an answer; answers that tell
	ownerAsks, askRounds  = 3, 3         // servers compared by message; times others are if those sit out
)

// New starts a sidecar. A setting that the module can't do without and lacks is an error that names it.
func New(now Micros, site Site, seed uint64, out Ports) (*Balancer, error) {
	said, err := read(site)
	if err != nil {
		return nil, err
	}
	b := &Balancer{said: said, out: out, now: now, begun: now, seed: seed, hash: fnv.New64a(),
		due: due.New[Micros](), known: map[Backend]*backend{}, visits: map[VisitID]*visit{},
		byHand: map[Backend]bool{}, tally: map[string]int{}, level: 1, calm: 1, crowd: 1, size: 1, adds: 1}
	for _, p := range b.prefixes {
		b.meanWork = p.mean
	}
	b.myZone, b.sidecars, b.me = Zone(b.num("my_zone")), max(1, int(b.maybe("balancers"))), Peer(b.maybe("me"))
	b.lag, b.dialling = b.leastTarget/8, b.maybe("tariffs.handshake")
	b.deaf, b.life = make([]deafness, b.sidecars), b.span("allowed.conn_idle_us")
	if b.word("discovery") == "on_request" { // no herd at the list's service: the saved list will do
		b.at(now+Micros(b.chance()*float64(b.herd())), b.subscribe)
	}
	b.out.Wake(firstWait, beatToken)
	return b, nil
}

// Retune takes over new settings; what they lack is an error, and changes nothing. A prefix is known by its
// name, a tenant by its place. A visit ends under the settings it began with, or what became stricter since.
func (b *Balancer) Retune(now Micros, site Site) error {
	next, err := read(site)
	if err != nil {
		return err
	}
	for i := range min(len(b.tenants), len(next.tenants)) {
		b.tenants[i].quota = next.tenants[i].quota
		next.tenants[i] = b.tenants[i]
	}
	for _, old := range b.prefixes {
		if p := next.named[old.name]; p != nil {
			p.mean, p.seen, p.firstLeft = old.mean, old.seen, old.firstLeft
		}
	}
	for _, v := range b.visits {
		if p := next.named[v.on.name]; p != nil {
			v.on.tighten(p)
		}
	}
	// Guards against pushing a cold server over by what was saved up, or allowed, between two settings: the
	// least of both counts until each window has ended that began before.
	old, r := b.ramp, &next.ramp
	r.from, r.multiple = min(old.from, r.from), min(old.multiple, r.multiple)
	r.window, r.warm = min(old.window, r.window), max(old.warm, r.warm)
	next.longest = max(b.longest, next.longest) // as long may others' visits take that are out
	b.now, b.said, b.rampAt = now, next, now+Micros(max(old.window, next.wanted.window))
	for _, be := range b.row {
		if be.coldSince == 0 && be.began != 0 && float64(now-be.began) < b.ramp.warm {
			be.coldSince = be.began
		}
		if b.ramp != old {
			be.credit = 0
		}
	}
	return nil
}

// tighten has what is out under a prefix end under its old terms, or what became stricter.
func (p *prefix) tighten(now *prefix) {
	p.window, p.most, p.step = min(p.window, now.window), min(p.most, now.most), max(p.step, now.step)
	p.cancel, p.copies = p.cancel && now.cancel, p.copies && now.copies
	p.inZone, p.inCell = p.inZone || now.inZone, p.inCell || now.inCell
	p.comeBack = min(p.comeBack, now.comeBack)
	if p.effect != now.effect && now.effect != "read_like" {
		p.effect = "mutating" // also what was read-like and is tagged now: it came without a tag
	}
}

func (b *Balancer) Woken(now Micros, t Token) {
	b.now = now
	if t == beatToken {
		b.beat()
		b.out.Wake(firstWait, beatToken)
		return
	}
	b.armed = 0
	b.due.Lapse(now)
	b.arm()
}

func (b *Balancer) beat() {
	fade, slow := 1-1/memory, 1-float64(firstWait)/float64(retrySpan)
	few, seldom := b.meanWork/memory/memory, 1/memory/memory // what is less need not fade
	b.firsts *= slow
	var carried, rated, sizes, held float64
	b.inUse = 0
	for _, be := range b.row {
		if be.work > few || be.bad > seldom {
			be.took, be.work, be.carried, be.own = be.took*fade, be.work*fade, be.carried*fade, be.own*fade
			be.good, be.bad = be.good*fade, be.bad*fade
		}
		b.earn(be)
		be.away *= 1 - 1/calmFalls // a lost message must not count for ever
		if be.inService() {
			sizes, held, b.inUse = sizes+be.rating, held+float64(be.held), b.inUse+1
			if be.coldSince == 0 {
				carried, rated = carried+be.own, rated+be.rating
			}
		}
	}
	if b.now >= b.rampAt {
		b.ramp = b.wanted
	}
	b.life = min(b.life+Micros(float64(b.life)/calmRises), b.span("allowed.conn_idle_us"))
	b.size = cmp.Or(sizes/max(b.inUse, 1), b.size) // none in service: as it was
	b.meanHeld, b.carry = held/max(b.inUse, 1), carried/memory/max(rated, 1e-9)
	b.reckon()
	// A new connection stands for its idle time at least, among those of all sidecars to that server.
	stands := b.num("allowed.conn_idle_us") / 100 * b.firsts / float64(retrySpan)
	b.dialling = b.maybe("tariffs.handshake") +
		b.maybe("tariffs.connection")*stands*float64(b.sidecars)/max(b.inUse, 1)
	for i := range b.tenants {
		b.tenants[i].used, b.tenants[i].kept = b.tenants[i].used*fade, b.tenants[i].kept*fade
	}
	if b.beats++; b.beats%tellBeats == 0 && len(b.tenants) > 0 && b.allows("allowed.peer_messages") {
		b.tell()
	}
	if b.asked != 0 && b.now-b.asked > b.span("obligations.ask_every_us")/2 {
		b.subscribe() // the call's answer got lost
	}
}

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
func (be *backend) open() bool      { return be.standing == Ready && !be.byHand }
func (be *backend) inService() bool { return be.open() && be.outUntil == 0 }

// may is the one gate of all sends: whether the rules let this visit go to this server now.
func (b *Balancer) may(v *visit, be *backend) bool { return b.mayAt(v, be, b.now, v.out) }

// mayAt tells the same for a later time, with so many fetches still out.
func (b *Balancer) mayAt(v *visit, be *backend, at Micros, out int) bool {
	if v.ended || at >= v.until || !be.open() ||
		len(v.fetches) > 0 && (v.once || len(v.fetches) >= v.on.most) ||
		out > 0 && (v.on.effect == "mutating" || !v.on.copies) {
		return false
	}
	if be.coldSince != 0 && be.credit < v.work {
		return false // guards against pushing a cold server over
	}
	return v.harmless(at, be)
}

// onward tells whether some server, but this one, may get the visit when the next wait is over.
func (b *Balancer) onward(v *visit, but *backend, out int) bool {
	return slices.ContainsFunc(b.row, func(be *backend) bool {
		return be != but && b.mayAt(v, be, b.now+v.wait(), out)
	})
}

// harmless tells whether a visit may run again at a server or, nil, anywhere, which is what a bounce says.
func (v *visit) harmless(at Micros, be *backend) bool {
	for _, f := range v.fetches {
		if !f.ran || v.on.effect == "read_like" {
			continue
		}
		if v.on.effect != "tagged" || at >= f.sent+v.on.window {
			return false // guards against a second effect
		}
		if p := v.on; be == nil && (p.inZone || p.inCell) || p.inZone && f.be.zone != be.zone ||
			p.inCell && f.be.cell != be.cell {
			return false // only its group knows the tag
		}
	}
	return true
}

// send is the only place that sends. It leaves the step's closure with the fetch.
func (b *Balancer) send(v *visit, be *backend, then func(*fetch, Result)) {
	guess := Micros(b.expect(be) * v.work)
	be.held++
	f := &fetch{no: FetchNo(len(v.fetches)), be: be, sent: b.now, held: float64(be.held) + be.away,
		ran: true, then: then}
	if b.owners() {
		f.owner = b.owner(be)
		if f.told = f.owner != b.me; f.told {
			f.held = max(f.held, v.meets+1)
			b.out.Tell(f.owner, Began, be.id)
		}
	}
	if len(be.idle) > 0 && !b.stands(be) {
		be.idle = nil
		b.out.CloseIdle(be.id)
	}
	if n := len(be.idle); n > 0 {
		f.reused, f.idled, be.idle = true, b.now-be.idle[n-1], be.idle[:n-1]
	} else {
		for range int(b.maybe("allowed.multiplex")) - 1 {
			be.idle = append(be.idle, b.now)
		}
	}
	if be.coldSince != 0 {
		be.credit -= v.work
		b.tally["cold_sent"]++
	}
	v.out++
	v.fetches = append(v.fetches, f)
	b.out.Dispatch(v.id, be.id, 0)
	b.watch(v, f, guess)
	b.second(v, f, guess)
}

// second copies a visit that takes long to another server, out of the bucket. Guards against unseen queues.
func (b *Balancer) second(v *visit, f *fetch, guess Micros) {
	if f.no > 0 || !b.blind() || !v.on.cancel || !v.on.copies ||
		b.level*b.meanWork > copyCalm*b.meanTarget {
		return
	}
	b.at(b.now+Micros(copyAfter*b.calm*v.work), func() {
		if v.ended || v.out != 1 || f.done || b.now+guess > v.wanted || b.capacity()-b.spent < retryCost {
			return
		}
		if be := b.pick(v, false, false); be != nil && be != f.be {
			b.spent += retryCost
			b.tally["copied"]++
			b.send(v, be, b.after(v, true))
		}
	})
}

// end closes a visit's account; its fetches that are still out are called off.
func (b *Balancer) end(v *visit) {
	v.ended = true
	for _, f := range v.fetches {
		if !f.done && v.on.cancel {
			b.out.Cancel(v.id, f.no)
		}
	}
	if v.out == 0 {
		delete(b.visits, v.id)
	}
}

// giveUp answers a visit that goes nowhere any more, at once, unless a fetch is still out.
func (b *Balancer) giveUp(v *visit, why string) {
	if !v.ended && v.out == 0 {
		b.answer(v, why)
	}
}

// answer is a visit's last answer without a delivery. One that is too late is not worth coming back for.
func (b *Balancer) answer(v *visit, why string) {
	b.tally[why]++
	comeBack := v.on.target / 4
	switch {
	case b.now >= v.wanted:
		comeBack = v.until - b.now
	case b.blind(): // another sidecar or moment may well find a place, and a late try is worth nothing
		comeBack /= 4
	}
	if len(v.fetches) > 0 && v.on.effect == "tagged" { // guards against coming back when the tag is forgotten
		comeBack = min(comeBack, max(v.fetches[0].sent+v.on.window-b.now, 0)/2)
	}
	if v.harmless(b.now, nil) && b.now < v.until-v.on.step { // too late for a client to hear it
		b.out.Bounce(v.id, min(comeBack, v.on.comeBack))
	} else {
		b.out.ErrorPage(v.id)
	}
	b.end(v)
}

// Inbound takes a visit in. hint 0: no guess at its work. again: a repeat. once: sent as it comes, not twice.
func (b *Balancer) Inbound(now Micros, id VisitID, on Prefix, t Tenant, left, hint Micros, again, once bool) {
	b.now = now
	if int(on) >= len(b.prefixes) {
		panic(fmt.Sprintf("path prefix %d is not among the settings", on))
	}
	p := b.prefixes[on]
	v := &visit{id: id, on: p, work: p.mean, wanted: now + min(p.target, left), until: now + left,
		value: p.value / b.topValue, once: once}
	if hint > 0 {
		v.work, v.hinted = float64(hint), true
	}
	if p.late > 0 {
		v.wanted = v.until
	} else if !again {
		p.firstLeft = left
	} else if slack := p.target / 10; max(left-p.firstLeft, p.firstLeft-left) > slack ||
		p.firstLeft > p.timeout-slack {
		// A last try has all that is left: that tells when the visit began, and how much of its target is left.
		if w := now + left - (p.timeout - p.target); w > now+Micros(v.work) {
			v.wanted = min(v.wanted, w)
		} else {
			v.value = 0 // too late to be worth anything, but an answer still beats an error
		}
	}
	if b.came == 0 {
		b.begun = now // what waits for its first visit learns nothing: the lenient start is still to come
	}
	b.came = min(b.came+1, 4*enough)
	b.meanWork += (v.work - b.meanWork) / b.came
	b.meanPart += (partFor(p.value/b.topValue) - b.meanPart) / b.came
	b.meanTarget += (float64(p.target) - b.meanTarget) / b.came
	b.visits[id] = v
	b.firsts++
	if int(t) < len(b.tenants) {
		b.tenants[t].used, b.tenants[t].fresh = b.tenants[t].used+1, b.tenants[t].fresh+1
		if v.beyond = b.chance() < b.beyond(t); v.beyond {
			v.value *= b.maybe("beyond_share_value")
		}
	}
	// Guards against losing the visit, and against work in unseen queues for answers that are worth nothing.
	last := v.until - p.step
	if b.blind() && p.cancel && p.late == 0 && !once {
		last = min(last, v.wanted+1)
	}
	b.at(last, func() {
		if !v.ended {
			b.answer(v, "ended_late")
		}
	})
	b.ask(v)
}

func (b *Balancer) place(v *visit, be *backend) {
	switch {
	case be == nil:
		b.giveUp(v, "turned_no_server")
	case b.admit(v, be):
		b.send(v, be, b.after(v, false))
	default:
		b.giveUp(v, "turned_crowded")
	}
}

// thin tells whether sidecars outnumber servers: what one holds and saw there then says little of the crowd.
func (b *Balancer) thin() bool { return float64(b.sidecars) > max(b.inUse, 1) }

// owners tells whether servers have owners: sidecars, the same for all, that hear of every visit there.
func (b *Balancer) owners() bool {
	return b.thin() && b.allows("allowed.peer_messages") && b.down.until <= b.now
}

// blind tells whether a thin sidecar can ask nobody, and so sends into queues that it can't know of.
func (b *Balancer) blind() bool { return b.thin() && !b.owners() }

// owner is the first in a server's own order of sidecars that is not known to be deaf.
func (b *Balancer) owner(be *backend) (p Peer) {
	for mark, n := be.mark, 0; n < 2*b.sidecars; mark, n = scramble(mark+1), n+1 {
		if p = Peer(mark % uint64(b.sidecars)); p == b.me || b.deaf[p].until <= b.now {
			return p
		}
	}
	return b.me
}

// unheard books that a sidecar answered nothing, until it does. Guards against waits for owners that died.
func (b *Balancer) unheard(p Peer) {
	if d := &b.deaf[p]; p != b.me && d.until <= b.now {
		d.span = min(max(4*d.span, b.span("obligations.cold_us")/4), 4*b.span("obligations.cold_us"))
		d.until = b.now + Micros(float64(d.span)*(0.75+b.chance()/2))
		b.tally["deaf"]++
	}
	// Guards against waits for all owners in turn, where no message at all comes through.
	if b.unanswered++; b.unanswered%(2*ownerAsks) == 0 {
		b.down.span = min(max(2*b.down.span, 20*firstWait), b.span("obligations.cold_us")/2)
		b.down.until = b.now + Micros(float64(b.down.span)*(0.75+b.chance()/2))
		b.tally["messages_down"]++
	}
}

// ask has a few servers compared by their owners. Guards against sends to servers that nothing is known of.
func (b *Balancer) ask(v *visit) {
	owners, before := b.owners(), len(v.asked)
	be := cmp.Or(b.coldest(v), b.pick(v, false, owners))
	if !owners || v.offer == nil && (be == nil || v.wanted-b.now < 5*b.lag) { // asking would take too much of it
		b.place(v, be)
		return
	}
	for be != nil && len(v.asked) < before+ownerAsks && !slices.Contains(v.asked, be) {
		v.asked, v.owners = append(v.asked, be), append(v.owners, b.owner(be))
		be.asking = append(slices.DeleteFunc(be.asking, func(w *visit) bool { return w.settled || w.ended }), v)
		be = b.pick(v, len(v.asked) > before+1, true)
	}
	v.round, v.askedAt = v.round+1, b.now
	b.tally["asked"]++
	these, round := v.asked[before:], v.round
	if v.missing = len(these); v.missing == 0 { // nobody is left to be asked
		v.round = askRounds
		b.decide(v, v.round)
		return
	}
	b.at(b.now+min(max(2*b.lag, b.leastTarget/8), b.leastTarget/2), func() {
		for i, be := range these {
			if slices.Contains(be.asking, v) {
				b.unheard(v.owners[before+i])
			}
		}
		if v.round == round {
			v.missing = 0
		}
		b.decide(v, round)
	})
	for i, be := range these {
		b.say(v.owners[before+i], Ask, be.id)
	}
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

func (b *Balancer) quoted(be *backend, pace, held float64) {
	waiting := be.asking
	be.asking = nil
	if math.IsInf(pace, 1) { // guards against trying one dead server after another where a data centre is lost
		be.skipUntil = b.now + 10*firstWait
	}
	for _, v := range waiting {
		// Guards against waiting for less than messages take, and for long where owners died.
		if lag := b.now - v.askedAt; lag > 0 && lag < b.leastTarget/2 {
			b.lag += (lag - b.lag) / enough
		}
		if v.settled {
			continue
		}
		v.missing--
		if !math.IsInf(pace, 1) && (v.offer == nil || pace*b.distance(be) < v.offered*b.distance(v.offer)) {
			v.offer, v.offered, v.meets = be, pace, held
		}
		if v.missing == 0 {
			b.decide(v, v.round)
		}
	}
}

func (b *Balancer) decide(v *visit, round int) {
	if v.settled || v.ended || v.round != round {
		return
	}
	// Guards against bounces beside idle servers: where all that were asked are no good, others are asked.
	if again := v.offer == nil || v.hinted && b.strain(v, v.offer) > 1; again && v.wanted-b.now > 3*b.lag &&
		v.missing <= 0 && v.round < askRounds {
		b.ask(v)
		return
	}
	be := v.offer
	if v.settled = true; be == nil || !b.may(v, be) {
		b.tally["asked_in_vain"]++
		v.offer, be = nil, b.pick(v, false, false)
	}
	b.place(v, be)
}

// quote is what an owner tells of its server: the answer time per unit of work that one more visit would see.
func (b *Balancer) quote(be *backend) float64 {
	if !be.open() || be.outUntil > b.now || be.outUntil != 0 && float64(be.held)+be.away >= 1 {
		return math.Inf(1)
	}
	return b.expect(be)
}

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

func (b *Balancer) after(v *visit, charged bool) func(*fetch, Result) {
	return func(f *fetch, rc Result) {
		switch {
		case charged && rc == Delivered:
			b.giveBack(retryCost)
		case charged:
			b.giveBack(failedGives)
		case rc == Delivered && len(v.fetches) == 1:
			b.giveBack(refill)
		}
		if v.ended || v.out > 0 {
			return
		}
		if f.reused && rc == Reset {
			f.be.idle = nil
			b.out.CloseIdle(f.be.id)
			if !v.freed && b.may(v, f.be) {
				v.freed = true
				b.send(v, f.be, b.after(v, false))
				return
			}
		}
		b.retry(v)
	}
}

func (b *Balancer) capacity() float64 { return retryCost * max(fewRetries, retryShare*b.firsts) }

func (b *Balancer) giveBack(tokens float64) { b.spent = max(0, b.spent-tokens) }

func (v *visit) wait() Micros { return firstWait << v.charged }

func (b *Balancer) retry(v *visit) {
	b.spent = min(b.spent, b.capacity())
	switch {
	case b.now+v.wait() >= v.wanted:
		b.giveUp(v, "turned_late")
		return
	case !b.onward(v, nil, v.out):
		b.giveUp(v, "turned_no_server")
		return
	case b.capacity()-b.spent < retryCost:
		b.out.Print("retry denied: the bucket is empty")
		b.giveUp(v, "turned_denied")
		return
	}
	b.at(b.now+v.wait(), func() {
		be := b.pick(v, false, false)
		if be == nil {
			b.giveBack(retryCost) // never sent: nothing was spent
			b.giveUp(v, "turned_no_server")
			return
		}
		b.send(v, be, b.after(v, true))
	})
	b.spent, v.charged = b.spent+retryCost, v.charged+1
}

// watch looks into a fetch that is out for long. Guards against servers that take visits and answer none.
func (b *Balancer) watch(v *visit, f *fetch, guess Micros) {
	left := v.wanted - b.now
	if left <= 0 || v.once {
		return
	}
	b.at(b.now+min(max(left/2, Micros(patience*float64(guess))), left), func() {
		if f.done || v.ended || f.be.answered > f.sent {
			return
		}
		if f.told {
			b.out.Tell(f.owner, Waits, f.be.id, float64(b.now-f.sent))
		}
		if b.missed(f.be, "silent") && b.now+v.wait()+guess < v.wanted && v.out == 1 &&
			v.on.cancel && b.capacity()-b.spent >= retryCost && b.onward(v, f.be, 0) {
			b.out.Cancel(v.id, f.no)
		}
	})
}

// missed counts a fetch without a sign of life, and tells whether the server sits out. One is no silence.
func (b *Balancer) missed(be *backend, why string) bool {
	if be.mute++; be.mute < muteLeast && be.outUntil == 0 {
		return false
	}
	b.sitOut(be, why)
	return true
}

// Outcome hears how a fetch ended. over: so has the visit. load: the server's report, by the settings' names.
func (b *Balancer) Outcome(now Micros, id VisitID, no FetchNo, rc Result, took Micros, over bool,
	load ...float64) {
	b.now = now
	v := b.visits[id]
	if v == nil || int(no) >= len(v.fetches) || v.fetches[no].done {
		return
	}
	f := v.fetches[no]
	f.done, f.ran = true, rc != Full && rc != ConnectFailed && rc != NeverSent
	v.out--
	f.be.held--
	if b.tells > 0 && len(load) >= b.tells && load[b.tells-1] >= 0 {
		f.be.told, f.be.toldAt = load[b.tells-1], now
		b.told += (f.be.told - b.told) / enough
	}
	if rc == Delivered {
		f.be.own += v.work
	}
	switch {
	case rc == Delivered || rc == Errored || rc == Full:
		f.be.idle = append(f.be.idle, now)
	case rc == TimedOut && f.reused: // guards against connections that were dropped unseen, and answer nothing
		b.life = min(b.life, max(f.idled, firstWait))
	case rc == ConnectFailed:
		f.be.idle = nil // it had to be dialled: no connection was left to reuse
	}
	if rc == Delivered && f.be.outUntil == 0 { // a jammed server's answers tell nothing of the prefix
		own := float64(took)
		if v.on.seen > enough { // the mean tells prefixes apart; how fast the fleet is, the pace tells
			own /= b.crowd
		}
		v.on.seen = min(v.on.seen+1, 16*enough)
		v.on.mean += (own - v.on.mean) / v.on.seen
	}
	news := rc
	if rc == Reset && f.reused { // here and at its owner it tells of a connection, nothing of its server
		news = NeverSent
	}
	b.account(f.be, news, f.sent, float64(took), v.work, v.work*f.held)
	if f.told {
		b.out.Tell(f.owner, Ended, f.be.id, float64(news), float64(took), v.work, v.work*f.held)
	}
	if over && !v.ended {
		b.end(v)
	}
	f.then(f, rc)
	if v.ended && v.out == 0 {
		delete(b.visits, id)
	}
}

// Flowing hears that a streamed answer has begun: it is the client's now.
func (b *Balancer) Flowing(now Micros, id VisitID, no FetchNo) {
	b.now = now
	if v := b.visits[id]; v != nil && int(no) < len(v.fetches) {
		v.fetches[no].be.answered = now
		v.ended = true
	}
}

func (b *Balancer) Dropped(now Micros, id VisitID) {
	b.now = now
	if v := b.visits[id]; v != nil && !v.ended {
		b.end(v)
	}
}

// account books how a fetch of this or, at the server's owner, of another sidecar ended.
func (b *Balancer) account(be *backend, rc Result, sent Micros, took, work, load float64) {
	if rc == Delivered || rc == Errored || rc == Full {
		be.answered, be.mute, be.fresh = b.now, 0, false
	}
	met := load/work - 1
	load = work * (1 + b.adds*met)
	switch rc {
	case Delivered:
		b.learn(took*be.rating/b.size, work, met)
		be.took, be.work, be.carried = be.took+took, be.work+load, be.carried+work
		be.good++
		if be.outUntil == 0 {
			b.centres[be.zone].add(took, load, work)
		}
		if be.outUntil != 0 && sent >= be.outUntil {
			be.outUntil, be.bad = 0, 0
		} else if be.good > memory/2 {
			be.outSpan = 0
		}
		return
	case Errored:
		be.bad++
	case Full:
		// Refusals come fast: count them as late answers, or the fullest server looks the fastest. They tell
		// nothing of others: guards against turning visits away beside servers that have room.
		be.took, be.work = be.took+b.meanTarget, be.work+load
	case ConnectFailed, Reset: // one is no dead server: connections break between servers that live
		be.bad++
		b.missed(be, "no connection, or it broke")
	default:
		// No answer, and that took longer than answers do; where others came since, it is lost, no sign of a crowd.
		if took > b.expect(be)*work && be.answered <= sent {
			be.took, be.work = be.took+took, be.work+load
		}
		return
	}
	if be.bad >= badLeast && be.bad > badShare*(be.good+be.bad) {
		b.sitOut(be, "errors")
	} else if be.outUntil != 0 && sent >= be.outUntil {
		b.sitOut(be, "trial failed")
	}
}

// learn fits what each visit met adds to an answer: as much again at a server of one core, less at others.
func (b *Balancer) learn(took, work, met float64) {
	for i, x := range []float64{work, work * met, work * met * met, took, took * met} {
		b.fitted[i] = b.fitted[i]*(1-1/fitSpan) + x
	}
	prior, f := enough*b.meanWork, b.fitted
	w, x, xx, t, tx := f[0]+prior, f[1]+prior, f[2]+2*prior, f[3]+2*prior*b.calm, f[4]+3*prior*b.calm
	b.adds = min(max((w*tx-x*t)/max(t*xx-x*tx, 1e-9), leastAdds), 1)
}

// sitOut keeps a server off the ordinary pick, longer each time. Guards against all returning to it at once.
func (b *Balancer) sitOut(be *backend, why string) {
	if be.outUntil > b.now {
		return
	}
	be.outSpan = min(max(2*be.outSpan, 10*firstWait), b.span("obligations.cold_us")/2)
	be.outUntil, be.bad = b.now+Micros(float64(be.outSpan)*(0.75+b.chance()/2)), 0
	b.out.Print(fmt.Sprintf("%x sits out for %d ms: %s", be.id, (be.outUntil-b.now)/1000, why))
}

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
