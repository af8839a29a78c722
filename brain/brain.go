// Package brain makes every decision of a ledgespread sidecar. Its caller tells a Balancer what happens, and
// when, and is told through its Ports (ports.go; books.go declares its state).
package brain

import (
	"cmp"
	"hash/fnv"

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
