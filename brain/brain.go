// Package brain makes every decision of a sidecar: which server a request is sent to, whether it is retried, and
// which requests are rejected. It does no I/O and reads no clock: the caller passes events with their times to a
// Balancer, which calls back through its Ports.
//
// Terms used throughout the package:
//   - work: a request's expected core time in microseconds or, if the client doesn't state it, the mean latency of
//     its class.
//   - pace: latency per unit of work.
//   - owner: the sidecar that hashing of a server's id assigns to the server, the same one at all sidecars. Where
//     sidecars outnumber servers, each sidecar sees little of a server's load, so all of them report their attempts
//     to the owner, which can quote the server's current pace.
//   - list: the list of servers and their states that service discovery delivers.
//   - usage collector: the sidecar that adds up the tenants' requests of all sidecars.
//   - cold: a server that started recently and may only be sent a growing part of its share (slow start).
package brain

import (
	"cmp"
	"hash/fnv"

	"ledgespread/brain/due"
)

// The retry budget: one token bucket for all retries of a sidecar.
const (
	firstBackoff Micros = 50_000 // delay before a request's first retry, doubled for each further one

	retryCost          = 10.0 // tokens that a retry takes; all are returned if it succeeds
	failedRefund       = 5.0  // tokens that are returned if the retry fails
	firstAttemptRefund = 1.0  // tokens that a request adds by succeeding on its first attempt

	minBucketRetries        = 5.0        // smallest capacity of the bucket, in retries
	retryRatio              = 0.2        // capacity as a fraction of the first attempts within retryRatePeriod, in retries
	retryRatePeriod  Micros = 10_000_000 // period over which first attempts are counted
)

// maxListCallDelay is the longest time from a failed call to the list until the next one begins.
const maxListCallDelay Micros = 4_500_000

// Parameters of the algorithms. None depends on a deployment.
const (
	microsPerSecond = 1e6  // microseconds per second
	minPace         = 1e-9 // keeps paces above 0, since pick weights are proportional to the inverse of the pace

	minQuota          = 1e-9  // requests per second
	decayTicks        = 25.0  // ticks in which decaying sums fall to 1/e
	tenantReportTicks = 10    // ticks between two reports to the usage collector
	calmFallTicks     = 100.0 // time constant, in ticks, with which the calm pace follows a falling pace
	calmRiseTicks     = 400.0 // time constant, in ticks, with which it follows a rising pace
	idleRecoveryTicks = 400.0 // time constant, in ticks, with which the learned idle lifetime grows again

	priorRequests       = 6.0   // weight of the prior in a server's pace, in mean requests
	trustedAnswers      = 32    // number of answers from which a mean is trusted
	fitAnswers          = 256.0 // time constant, in answers, of the contention fit
	minContentionFactor = 0.25  // lower bound of the contention factor

	tieRatio             = 2.0  // idle servers within this multiple of the best pace compete in the weighted draw
	paceExponent         = 4.0  // exponent of the inverse pace in that draw
	reportedPaceExponent = 40.0 // the same where servers send load reports
	reportDecayLatencies = 20.0 // time constant, in mean latencies, with which a load report loses weight
	requestsPerCostUnit  = 10.0 // requests in flight that one unit of cost counts as

	ejectFailureRatio  = 0.25 // fraction of failures from which a server is ejected
	minEjectFailures   = 2.0  // number of failures below which that fraction is not considered
	silenceFactor      = 3.0  // multiple of the expected latency after which an attempt counts as unanswered
	minEjectUnanswered = 2    // unanswered attempts from which a server is ejected

	coldBudgetFraction  = 0.7  // fraction of a cold server's budget that is used
	coldTokensPerWindow = 32.0 // tokens into which a window's budget is divided where sidecars outnumber servers
	coldDrawnFraction   = 0.5  // fraction of these tokens that all sidecars together draw on average

	calmLatencyFactor      = 1.8 // latency limit of admission control, as a multiple of the calm latency
	calmFollowFactor       = 1.5 // multiple of the calm pace up to which a higher pace raises it
	minLimitFraction       = 0.2 // lower bound of the latency limit, as a fraction of the target latency
	maxLimitFraction       = 0.5 // upper bound of the latency limit, as a fraction of the target latency
	quotedLimitFraction    = 0.3 // latency limit for a quoted pace, as a fraction of the target latency
	ownLatencyFraction     = 0.9 // fraction of the remaining time that a request's own latency may take
	valuelessLimitFraction = 0.5 // fraction of the limits that a request of value 0 may use
	overShareLimitFraction = 0.8 // fraction of the limits that a request beyond its tenant's share may use

	hedgeDelayFactor        = 1.2 // delay until a hedge, as a multiple of the calm latency
	hedgeMaxLatencyFraction = 0.3 // mean latency, as a fraction of the target latency, above which nothing is hedged

	quotesPerRound = 3 // servers whose owners are asked for quotes in one round
	maxQuoteRounds = 3 // rounds of quotes that a request may take
)

// New creates the Balancer of one sidecar. It returns an error that names the setting if a required setting
// is missing.
func New(now Micros, values Settings, seed uint64, ports Ports) (*Balancer, error) {
	read, err := readSettings(values)
	if err != nil {
		return nil, err
	}
	b := &Balancer{settings: read, ports: ports, now: now, startedAt: now, seed: seed, hash: fnv.New64a(), timers: due.New[Micros](),
		servers: map[ServerID]*server{}, requests: map[RequestID]*request{}, takenOut: map[ServerID]bool{}, counters: map[string]int{},
		pace: 1, rawPace: 1, calmPace: 1, meanWeight: 1, contentionFactor: 1}
	b.initRequestEstimates()
	b.myZone = Zone(b.number("my_zone"))
	b.sidecars = max(1, int(b.optionalNumber("balancers")))
	b.self = Peer(b.optionalNumber("me"))
	b.peerBackoffs = make([]backoff, b.sidecars)
	b.dialCost = b.optionalNumber("tariffs.handshake")
	b.idleLifetime = b.micros("allowed.conn_idle_us")
	if b.text("discovery") == "on_request" { // a random delay keeps sidecars from calling the list all at once; the saved list serves until then
		b.schedule(now+Micros(b.random()*float64(b.listCallSpread())), b.subscribe)
	}
	b.ports.Wake(firstBackoff, tickToken)
	return b, nil
}

// initRequestEstimates derives the expected work and quote latency from the classes while no request has been
// seen, as soon as there is a class.
func (b *Balancer) initRequestEstimates() {
	if b.meanWork > 0 || len(b.classes) == 0 {
		return
	}
	b.meanWork = b.classes[len(b.classes)-1].meanLatency
	b.quoteLatency = b.minTarget / 8
}

// UpdateSettings replaces the settings. If a required setting is missing, it returns an error and changes nothing.
// Classes are matched by name, tenants by index. Requests in flight keep the settings they began with, except
// where the new ones are stricter.
func (b *Balancer) UpdateSettings(now Micros, values Settings) error {
	next, err := readSettings(values)
	if err != nil {
		return err
	}
	b.carryOverTenants(&next)
	b.carryOverClasses(&next)
	before := b.ramp
	next.ramp = before.stricter(next.ramp)
	next.longestTimeout = max(b.longestTimeout, next.longestTimeout) // other sidecars' requests in flight may still take that long
	b.now = now
	b.settings = next
	b.initRequestEstimates()
	b.rampChangeAt = now + Micros(max(before.window, next.wantedRamp.window))
	for _, server := range b.sortedServers {
		if server.coldSince == 0 && server.warmupStart != 0 && float64(now-server.warmupStart) < b.ramp.warmupTime {
			server.coldSince = server.warmupStart
		}
		if b.ramp != before {
			server.credit = 0
		}
	}
	return nil
}

// carryOverTenants copies the usage counts of tenants that remain to the new settings.
func (b *Balancer) carryOverTenants(next *settings) {
	for i := range min(len(b.tenants), len(next.tenants)) {
		b.tenants[i].quota = next.tenants[i].quota
		next.tenants[i] = b.tenants[i]
	}
}

// carryOverClasses copies the statistics of classes that remain to the new settings, and applies stricter
// settings to requests in flight.
func (b *Balancer) carryOverClasses(next *settings) {
	for _, old := range b.classes {
		if class := next.classByName[old.name]; class != nil {
			class.meanLatency = old.meanLatency
			class.answers = old.answers
			class.firstArrivalTimeLeft = old.firstArrivalTimeLeft
		}
	}
	for _, request := range b.requests {
		if class := next.classByName[request.class.name]; class != nil {
			request.class.tighten(class)
		}
	}
}

// stricter returns the stricter value of each field of two slow start settings. The result stays in force
// until all windows that began before the change have ended: credit saved up or granted between two settings
// must not overload a cold server.
func (s slowStart) stricter(other slowStart) slowStart {
	return slowStart{initialFraction: min(s.initialFraction, other.initialFraction), multiple: min(s.multiple, other.multiple),
		window: min(s.window, other.window), warmupTime: max(s.warmupTime, other.warmupTime)}
}

// tighten applies those settings of the new class that are stricter to requests in flight.
func (c *class) tighten(next *class) {
	c.keyWindow = min(c.keyWindow, next.keyWindow)
	c.maxAttempts = min(c.maxAttempts, next.maxAttempts)
	c.maxClockSkew = max(c.maxClockSkew, next.maxClockSkew)
	c.maxRetryAfter = min(c.maxRetryAfter, next.maxRetryAfter)
	c.mayCancel = c.mayCancel && next.mayCancel
	c.mayDuplicate = c.mayDuplicate && next.mayDuplicate
	c.keyInZone = c.keyInZone || next.keyInZone
	c.keyInCell = c.keyInCell || next.keyInCell
	if c.effect != next.effect && next.effect != safe {
		c.effect = unsafe // even for a request that was safe and is now keyed: it was sent without a key
	}
}

// HandleWake handles a wake-up that was requested through Ports.Wake.
func (b *Balancer) HandleWake(now Micros, token Token) {
	b.now = now
	if token == tickToken {
		b.tick()
		b.ports.Wake(firstBackoff, tickToken)
		return
	}
	b.wakeAt = 0
	b.timers.RunDue(now)
	b.requestWake()
}

// tick decays all statistics and updates what is derived from them.
func (b *Balancer) tick() {
	b.recentFirstAttempts *= 1 - float64(firstBackoff)/float64(retryRatePeriod)
	b.updateServerStats()
	if b.now >= b.rampChangeAt {
		b.ramp = b.wantedRamp
	}
	b.idleLifetime = min(b.idleLifetime+Micros(float64(b.idleLifetime)/idleRecoveryTicks), b.micros("allowed.conn_idle_us"))
	b.updatePaces()
	b.updateDialCost()
	for i := range b.tenants {
		b.tenants[i].used *= decayPerTick
		b.tenants[i].collectedUse *= decayPerTick
	}
	b.ticks++
	if b.ticks%tenantReportTicks == 0 && len(b.tenants) > 0 && b.enabled("allowed.peer_messages") {
		b.reportTenantUse()
	}
	if b.listCalledAt != 0 && b.now-b.listCalledAt > b.micros("obligations.ask_every_us")/2 {
		b.subscribe() // the answer to the call was lost
	}
}

// decayPerTick is the factor by which decaying sums shrink in each tick.
const decayPerTick = 1 - 1/decayTicks

// updateServerStats decays the statistics of all servers, updates cold servers' credits and computes means
// over the servers in service.
func (b *Balancer) updateServerStats() {
	var sentWork, warmWeight, weights, inFlight float64
	b.serversInService = 0
	for _, server := range b.sortedServers {
		b.decayServer(server)
		b.growCredit(server)
		server.inFlightElsewhere *= 1 - 1/calmFallTicks // a lost end message must not be counted forever
		if !server.inService() {
			continue
		}
		b.serversInService++
		weights += server.weight
		inFlight += float64(server.inFlight)
		if server.coldSince == 0 {
			sentWork += server.ownWork
			warmWeight += server.weight
		}
	}
	b.meanWeight = cmp.Or(weights/max(b.serversInService, 1), b.meanWeight) // unchanged if no server is in service
	b.meanInFlight = inFlight / max(b.serversInService, 1)
	if warmWeight > 0 { // otherwise the last known value stays
		b.workPerWeight = sentWork / decayTicks / warmWeight
	}
}

// decayServer decays the sums of one server, unless they are negligible.
func (b *Balancer) decayServer(server *server) {
	if server.loadedWork <= b.meanWork/decayTicks/decayTicks && server.failures <= 1/decayTicks/decayTicks {
		return
	}
	server.latency *= decayPerTick
	server.loadedWork *= decayPerTick
	server.work *= decayPerTick
	server.ownWork *= decayPerTick
	server.successes *= decayPerTick
	server.failures *= decayPerTick
}

// updateDialCost computes the cost of a new connection: the cost of the handshake, and that of keeping it open
// for the idle time, which grows with the number of sidecars per server.
func (b *Balancer) updateDialCost() {
	idleShare := b.number("allowed.conn_idle_us") / 100 * b.recentFirstAttempts / float64(retryRatePeriod)
	b.dialCost = b.optionalNumber("tariffs.handshake") + b.optionalNumber("tariffs.connection")*idleShare*float64(b.sidecars)/max(b.serversInService, 1)
}
