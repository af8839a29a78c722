// Package brain makes every decision of a sidecar: which server a request goes to, whether it is retried, and what is rejected. It does no I/O
// and reads no clock: its caller tells a Balancer what happens, and when, and is told what to do through its Ports.
package brain

import (
	"cmp"
	"hash/fnv"

	"ledgespread/brain/due"
)

// The retry budget of the design page: one token bucket for all retries.
const (
	firstBackoff Micros = 50_000 // before a request's first retry; it doubles from there

	retryCost      = 10.0 // tokens that a retry takes; they come back when it succeeds
	failedRefund   = 5.0  // tokens that come back when it fails
	firstTryRefund = 1.0  // tokens for a first try that succeeds without a retry

	leastRetries        = 5.0        // a full bucket pays for at least so many,
	retryShare          = 0.2        // and for this part of the first tries of
	retrySpan    Micros = 10_000_000 // so long
)

// Calls of the list.
const listAgainBy Micros = 4_500_000 // from a call that failed to the next

// Ratios of this module's own. None depends on a deployment; docs/design.md has the reasons.
const (
	second    = 1e6  // in microseconds
	leastPace = 1e-9 // never nothing: chance goes by its inverse

	leastQuota   = 1e-9  // requests a second
	fadeBeats    = 25.0  // beats in which what was seen fades to 1/e
	tenantBeats  = 10    // beats from one message to the ledger's keeper to the next
	calmFalls    = 100.0 // beats in which the calm pace follows the fleet's down,
	calmRises    = 400.0 // and up
	idleRecovers = 400.0 // beats in which the learnt life of idle connections grows

	priorRequests = 6.0   // mean requests that a server's pace is mixed with
	enoughAnswers = 32    // answers from which a mean is trusted
	fitAnswers    = 256.0 // answers that tell what a request that is met adds
	leastAdds     = 0.25  // the least that it adds to a latency, of one

	tieBand      = 2.0  // idle servers within this multiple of the best pace tie
	paceBias     = 4.0  // among these chance goes by this power of the pace,
	reportedBias = 40.0 // or by this one where servers report
	reportedLife = 20.0 // mean latencies in which a report fades
	crossWeight  = 10.0 // requests held that one point of another zone's price counts as

	ejectShare      = 0.25 // share of failures at which a server is ejected,
	leastFailures   = 2.0  // and the least number of them
	patience        = 3.0  // multiple of the expected latency that is silence
	leastUnanswered = 2    // silent attempts at which a server is ejected

	coldSafety = 0.7  // part of a cold server's budget that is used
	coldTokens = 32.0 // tokens in which it is drawn, in a sparse fleet, for one window,
	coldMean   = 0.5  // and the part of them that all sidecars draw in the mean

	calmTimes   = 1.8 // calm latencies that a usual one may take,
	calmBand    = 1.5 // up to which the calm pace follows,
	leastLimit  = 0.2 // but within these parts
	mostLimit   = 0.5 // of the target latency
	quotedLimit = 0.3 // the same where an owner was asked
	ownLimit    = 0.9 // part of the time left that a request's own latency may take
	lowLimit    = 0.5 // part of the limits for a request that is worth nothing,
	beyondLimit = 0.8 // and for one beyond its tenant's share

	copyAfter = 1.2 // calm latencies until a second copy
	copyCalm  = 0.3 // part of the target that a latency may take for there to be one

	asksAtOnce = 3 // servers that are compared by their owners
	askRounds  = 3 // times that others are asked if those are no good
)

// New starts a sidecar. A setting that the module can't do without and lacks is an error that names it.
func New(now Micros, all Settings, seed uint64, ports Ports) (*Balancer, error) {
	read, err := readSettings(all)
	if err != nil {
		return nil, err
	}
	b := &Balancer{settings: read, ports: ports, now: now, begun: now, seed: seed, hash: fnv.New64a(), timers: due.New[Micros](),
		servers: map[ServerID]*server{}, requests: map[RequestID]*request{}, takenOut: map[ServerID]bool{}, tally: map[string]int{},
		pace: 1, rawPace: 1, calmPace: 1, meanWeight: 1, addedByMet: 1}
	b.expectFirst()
	b.myZone = Zone(b.number("my_zone"))
	b.sidecars = max(1, int(b.optional("balancers")))
	b.me = Peer(b.optional("me"))
	b.peerBackoffs = make([]backoff, b.sidecars)
	b.dialPrice = b.optional("tariffs.handshake")
	b.idleLife = b.span("allowed.conn_idle_us")
	if b.text("discovery") == "on_request" { // not all sidecars at once: the saved list will do
		b.after(now+Micros(b.chance()*float64(b.fleetSpan())), b.subscribe)
	}
	b.ports.Wake(firstBackoff, beatToken)
	return b, nil
}

// expectFirst has what is known of requests before the first one come from the classes, once there are any.
func (b *Balancer) expectFirst() {
	if b.meanWork > 0 || len(b.classes) == 0 {
		return
	}
	b.meanWork = b.classes[len(b.classes)-1].meanLatency
	b.quoteLag = b.leastTarget / 8
}

// Retune takes over new settings; what they lack is an error, and changes nothing. A class is known by its name, a tenant by its place. A
// request ends under the settings it began with, or what became stricter since.
func (b *Balancer) Retune(now Micros, all Settings) error {
	next, err := readSettings(all)
	if err != nil {
		return err
	}
	b.keepTenants(&next)
	b.keepClasses(&next)
	before := b.ramp
	next.ramp = before.stricter(next.ramp)
	next.longestTimeout = max(b.longestTimeout, next.longestTimeout) // others' requests that are out may take as long
	b.now = now
	b.settings = next
	b.expectFirst()
	b.rampFrom = now + Micros(max(before.window, next.wantedRamp.window))
	for _, server := range b.listed {
		if server.coldSince == 0 && server.warmupBegan != 0 && float64(now-server.warmupBegan) < b.ramp.warm {
			server.coldSince = server.warmupBegan
		}
		if b.ramp != before {
			server.credit = 0
		}
	}
	return nil
}

// keepTenants has tenants that stay keep what they used.
func (b *Balancer) keepTenants(next *settings) {
	for i := range min(len(b.tenants), len(next.tenants)) {
		b.tenants[i].quota = next.tenants[i].quota
		next.tenants[i] = b.tenants[i]
	}
}

// keepClasses has classes that stay keep what was seen of them, and requests that are out end under the stricter terms.
func (b *Balancer) keepClasses(next *settings) {
	for _, old := range b.classes {
		if class := next.classNamed[old.name]; class != nil {
			class.meanLatency = old.meanLatency
			class.answers = old.answers
			class.firstTimeLeft = old.firstTimeLeft
		}
	}
	for _, request := range b.requests {
		if class := next.classNamed[request.class.name]; class != nil {
			request.class.tighten(class)
		}
	}
}

// stricter is the least that two settings of slow start allow. It counts until each window has ended that began before the change: a cold
// server must not be pushed over by what was saved up, or allowed, between two settings.
func (s slowStart) stricter(other slowStart) slowStart {
	return slowStart{from: min(s.from, other.from), multiple: min(s.multiple, other.multiple), window: min(s.window, other.window),
		warm: max(s.warm, other.warm)}
}

// tighten has what is out in a class end under its old terms, or what became stricter.
func (c *class) tighten(next *class) {
	c.keyWindow = min(c.keyWindow, next.keyWindow)
	c.mostAttempts = min(c.mostAttempts, next.mostAttempts)
	c.clockStep = max(c.clockStep, next.clockStep)
	c.mostRetryAfter = min(c.mostRetryAfter, next.mostRetryAfter)
	c.cancel = c.cancel && next.cancel
	c.mayDuplicate = c.mayDuplicate && next.mayDuplicate
	c.inZone = c.inZone || next.inZone
	c.inCell = c.inCell || next.inCell
	if c.effect != next.effect && next.effect != safe {
		c.effect = unsafe // also what was safe and is keyed now: it came without a key
	}
}

// Woken hears that a wake-up is due.
func (b *Balancer) Woken(now Micros, token Token) {
	b.now = now
	if token == beatToken {
		b.beat()
		b.ports.Wake(firstBackoff, beatToken)
		return
	}
	b.wakeAt = 0
	b.timers.Lapse(now)
	b.arm()
}

// beat has what was seen fade, and takes stock.
func (b *Balancer) beat() {
	b.firstTries *= 1 - float64(firstBackoff)/float64(retrySpan)
	b.takeStock()
	if b.now >= b.rampFrom {
		b.ramp = b.wantedRamp
	}
	b.idleLife = min(b.idleLife+Micros(float64(b.idleLife)/idleRecovers), b.span("allowed.conn_idle_us"))
	b.updatePaces()
	b.updateDialPrice()
	for i := range b.tenants {
		b.tenants[i].used *= fade
		b.tenants[i].ledgerUse *= fade
	}
	b.beats++
	if b.beats%tenantBeats == 0 && len(b.tenants) > 0 && b.allows("allowed.peer_messages") {
		b.tellTenantUse()
	}
	if b.listAskedAt != 0 && b.now-b.listAskedAt > b.span("obligations.ask_every_us")/2 {
		b.subscribe() // the call's answer got lost
	}
}

const fade = 1 - 1/fadeBeats // of what was seen, in a beat

// takeStock goes over all servers.
func (b *Balancer) takeStock() {
	var sentWork, warmWeight, weights, held float64
	b.inUse = 0
	for _, server := range b.listed {
		b.fadeServer(server)
		b.growCredit(server)
		server.heldByOthers *= 1 - 1/calmFalls // a lost message must not count for ever
		if !server.inService() {
			continue
		}
		b.inUse++
		weights += server.weight
		held += float64(server.held)
		if server.coldSince == 0 {
			sentWork += server.ownWork
			warmWeight += server.weight
		}
	}
	b.meanWeight = cmp.Or(weights/max(b.inUse, 1), b.meanWeight) // none in service: as it was
	b.meanHeld = held / max(b.inUse, 1)
	if warmWeight > 0 { // else nobody tells it: as it was
		b.workPerWeight = sentWork / fadeBeats / warmWeight
	}
}

// fadeServer has what was seen of a server fade, unless that is next to nothing.
func (b *Balancer) fadeServer(server *server) {
	if server.heldWork <= b.meanWork/fadeBeats/fadeBeats && server.failures <= 1/fadeBeats/fadeBeats {
		return
	}
	server.latency *= fade
	server.heldWork *= fade
	server.work *= fade
	server.ownWork *= fade
	server.successes *= fade
	server.failures *= fade
}

// updateDialPrice works out what a new connection costs: it stands for its idle time at least, among those of all sidecars to that server.
func (b *Balancer) updateDialPrice() {
	standing := b.number("allowed.conn_idle_us") / 100 * b.firstTries / float64(retrySpan)
	b.dialPrice = b.optional("tariffs.handshake") + b.optional("tariffs.connection")*standing*float64(b.sidecars)/max(b.inUse, 1)
}
