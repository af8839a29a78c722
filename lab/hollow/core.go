// Package hollow implements hollow sidecars: sidecars that run the shipped balancer, peer messages, discovery watcher and
// membership, but serve no client traffic. Hundreds of them run in one process, each on its own loopback address.
//
// Client requests are replaced by a seeded arrival process, and requests to servers by a queueing model of the servers
// (Fleet). In place of the proxy, an event loop calls the balancer one event at a time, carries out the actions that it
// requested after the call returns, and keeps its wake-ups in one ordered queue. All traffic to other sidecars and to the
// discovery service comes from the shipped code.
package hollow

import (
	"ledgespread/brain"
	"ledgespread/brain/due"
	"ledgespread/decide/summary"
	"ledgespread/internal/discovery"
	"ledgespread/internal/site"
	"ledgespread/lab/rng"
)

// Stubs lists for reports which parts of a sidecar are simulated or missing in a hollow one.
var Stubs = []string{
	"visits of hollow sidecars: arrivals by seed, no clients, no sockets, no bytes of visits",
	"backend fetches of hollow sidecars: a model of the servers (cores, a bounded queue, a trip), no sockets, no load reports",
	"the relay of hollow sidecars: the lab's own loop (no limits of memory or sockets, no console, no handover)",
	"what hollow sidecars hear of their membership reaches those who tell things 200 ms late, once for many changes",
}

// Load describes the simulated client requests of one sidecar.
type Load struct {
	Rate  float64      // requests per second
	Work  brain.Micros // mean processing time, exponentially distributed; passed to the balancer with each request
	Share []float64    // probability of each path prefix
	Seed  uint64
	Bound float64 // limit on message traffic in bytes per second, received and sent; 0 sets no limit
}

// Tally counts a hollow sidecar's requests by outcome.
type Tally struct{ Visits, Delivered, Bounced, Errored, Fetches, Refused int }

// world is the environment of a Core: its clock, its timers and its connections to peers and discovery.
type world interface {
	now() brain.Micros
	schedule(t brain.Micros, do func()) // do runs on the core's event loop
	send(to brain.Peer, kind brain.MessageKind, about brain.ServerID, figures []float64)
	subscribe()
}

type request struct {
	deadline      brain.Micros
	work          brain.Micros
	inFlight      []bool // per attempt: still in flight
	ended         bool
	inFlightCount int // number of attempts in flight
}

// Core runs a balancer against simulated requests and servers; its world carries messages and timers.
// All its methods run on its event loop.
type Core struct {
	Tally Tally

	balancer          *brain.Balancer
	world             world
	fleet             *Fleet
	load              Load
	random            *rng.Source
	timeouts          []brain.Micros
	maxAttempts       int
	lastID            brain.RequestID
	time              brain.Micros
	pending           []func()
	requests          map[brain.RequestID]*request
	aggregator        *summary.Aggregator // nil: messages are sent without aggregation
	arrivalGeneration int                 // incremented at each change of the rate, which cancels the arrivals scheduled before it
	tenants           int
}

func newCore(manifest *site.Manifest, fleet *Fleet, load Load, environment world, saved *discovery.List) (c *Core, err error) {
	c = &Core{world: environment, fleet: fleet, load: load, random: rng.New(load.Seed, "arrivals"), requests: map[brain.RequestID]*request{},
		maxAttempts: int(manifest.Number("allowed.max_backend_fetches")), tenants: int(manifest.Number("realms"))}
	for i := range int(manifest.Number("path_prefixes")) {
		c.timeouts = append(c.timeouts, manifest.Micros("path_prefixes."+itoa(i)+".client_timeout_us"))
	}
	c.time = environment.now()
	if load.Bound > 0 {
		_, longest := manifest.ClientTimeouts()
		c.aggregator = summary.New(summary.Config{BytesPerSecond: load.Bound, Sidecars: int(manifest.Number("balancers")), Self: brain.Peer(manifest.Number("me")), Seed: manifest.Seed,
			MaxClientTimeout: longest}, c)
	}
	if c.balancer, err = brain.New(c.time, manifest.Settings, manifest.Seed, c); err != nil {
		return nil, err
	}
	c.passList(brain.SavedList, saved)
	c.runPending()
	return c, nil
}

// runEvent runs one event at the current time, then the actions that the balancer requested in it.
func (c *Core) runEvent(do func()) {
	c.time = c.world.now()
	do()
	c.runPending()
}

// runPending runs the pending actions, and those that they request, until none is left.
func (c *Core) runPending() {
	for len(c.pending) > 0 {
		next := c.pending
		c.pending = nil
		for _, do := range next {
			do()
		}
	}
}

// passList passes a server list, or a failed call (nil), to the balancer.
func (c *Core) passList(kind brain.ListKind, list *discovery.List) {
	c.balancer.BeginList(c.time, kind)
	if list != nil {
		for _, entry := range list.Entries {
			c.balancer.ListServer(c.time, entry.ID, entry.Zone, entry.Cell, entry.Standing, entry.Weight, entry.Started)
		}
	}
	c.balancer.EndList(c.time)
}

// handleList handles an answer of the discovery service; nil means that the call failed.
func (c *Core) handleList(list *discovery.List) {
	switch {
	case list == nil:
		c.passList(brain.ListCallFailed, nil)
	case list.Whole:
		c.passList(brain.FullList, list)
	default:
		c.passList(brain.ListChanges, list)
	}
}

// setRate sets the arrival rate in requests per second, from now on.
func (c *Core) setRate(rate float64) {
	c.load.Rate = rate
	c.arrivalGeneration++
	c.scheduleArrival(c.arrivalGeneration)
}

// scheduleArrival schedules the next arrival of the Poisson process, unless the rate has changed since.
func (c *Core) scheduleArrival(generation int) {
	if c.load.Rate <= 0 {
		return
	}
	wait := brain.Micros(c.random.Exp(1e6 / c.load.Rate))
	c.world.schedule(c.time+max(wait, 1), func() {
		if c.arrivalGeneration != generation {
			return
		}
		c.arrive()
		c.scheduleArrival(generation)
	})
}

// arrive draws a new request and passes it to the balancer.
func (c *Core) arrive() {
	c.lastID++
	id, class := c.lastID, c.random.Pick(c.load.Share)
	req := &request{deadline: c.time + c.timeouts[class], work: max(1, brain.Micros(c.random.Exp(float64(c.load.Work))))}
	c.requests[id] = req
	c.Tally.Visits++
	tenant := brain.TenantID(0)
	if c.tenants > 0 {
		tenant = brain.TenantID(c.random.Below(c.tenants))
	}
	c.balancer.HandleRequest(c.time, id, brain.ClassID(class), tenant, c.timeouts[class], req.work, false, false)
}

// removeIfDone removes a request that has ended and has no attempt in flight.
func (c *Core) removeIfDone(id brain.RequestID, req *request) {
	if req.ended && req.inFlightCount == 0 {
		delete(c.requests, id)
	}
}

// endRequest marks a request as ended and increments the counter of that outcome.
func (c *Core) endRequest(id brain.RequestID, counter *int) {
	if req := c.requests[id]; req != nil && !req.ended {
		req.ended = true
		*counter++
		c.removeIfDone(id, req)
	}
}

// endAttempt ends an attempt and reports its result to the balancer. Only the first call for an attempt counts.
func (c *Core) endAttempt(id brain.RequestID, req *request, attempt brain.AttemptIndex, result brain.Result, sent brain.Micros) {
	if !req.inFlight[attempt] {
		return
	}
	req.inFlight[attempt] = false
	req.inFlightCount--
	if result == brain.Succeeded && !req.ended {
		req.ended = true
		c.Tally.Delivered++
	}
	c.balancer.HandleOutcome(c.time, id, attempt, result, c.time-sent, req.ended)
	c.removeIfDone(id, req)
}

// The methods below implement brain.Ports. Like the proxy's, they queue the requested actions and carry them out after the
// balancer's call returns.

func (c *Core) enqueue(do func()) { c.pending = append(c.pending, do) }

func (c *Core) Dispatch(id brain.RequestID, server brain.ServerID, _ brain.Micros) {
	c.enqueue(func() {
		req := c.requests[id]
		if req == nil {
			return
		}
		attempt, sent := brain.AttemptIndex(len(req.inFlight)), c.time
		req.inFlight = append(req.inFlight, true)
		req.inFlightCount++
		if req.ended || c.time >= req.deadline || int(attempt) >= c.maxAttempts {
			c.enqueue(func() { c.endAttempt(id, req, attempt, brain.NeverSent, sent) })
			return
		}
		c.Tally.Fetches++
		result, endTime := c.fleet.offer(c.time, server, req.work)
		if endTime > req.deadline {
			result, endTime = brain.TimedOut, req.deadline
		}
		c.world.schedule(endTime, func() { c.endAttempt(id, req, attempt, result, sent) })
	})
}

func (c *Core) Reject(id brain.RequestID, _ brain.Micros, _ brain.Reason) {
	c.enqueue(func() { c.endRequest(id, &c.Tally.Bounced) })
}

func (c *Core) Fail(id brain.RequestID, _ brain.Reason) {
	c.enqueue(func() { c.endRequest(id, &c.Tally.Errored) })
}

func (c *Core) Cancel(id brain.RequestID, attempt brain.AttemptIndex) {
	c.enqueue(func() {
		if req := c.requests[id]; req != nil && int(attempt) < len(req.inFlight) && req.inFlight[attempt] {
			c.endAttempt(id, req, attempt, brain.Cancelled, c.time)
		}
	})
}

func (c *Core) Wake(in brain.Micros, token brain.Token) {
	c.world.schedule(c.time+max(in, 1), func() { c.balancer.HandleWake(c.time, token) })
}

func (c *Core) CloseIdle(brain.ServerID) {}

func (c *Core) Subscribe() { c.enqueue(c.world.subscribe) }

func (c *Core) SendMessage(to brain.Peer, kind brain.MessageKind, about brain.ServerID, figures ...float64) {
	c.enqueue(func() {
		if c.aggregator != nil {
			c.aggregator.HandleOutgoing(c.time, to, kind, about, figures...)
			return
		}
		c.world.send(to, kind, about, figures)
	})
}

// handleMessage handles a message from another sidecar.
func (c *Core) handleMessage(from brain.Peer, kind brain.MessageKind, about brain.ServerID, figures []float64) {
	if c.aggregator != nil {
		c.aggregator.HandleIncoming(c.time, from, kind, about, figures...)
		return
	}
	c.balancer.HandleMessage(c.time, from, kind, about, figures...)
}

// Send transmits a message that the aggregator emits.
func (c *Core) Send(to brain.Peer, kind brain.MessageKind, about brain.ServerID, figures ...float64) {
	c.world.send(to, kind, about, figures)
}

// Deliver passes a message that the aggregator received to the balancer.
func (c *Core) Deliver(from brain.Peer, kind brain.MessageKind, about brain.ServerID, figures ...float64) {
	c.enqueue(func() { c.balancer.HandleMessage(c.time, from, kind, about, figures...) })
}

// Rejected counts a received message that the aggregator found invalid.
func (c *Core) Rejected(brain.Peer, string) { c.Tally.Refused++ }

func (c *Core) Print(string) {}

var _ brain.Ports = (*Core)(nil)

type timerQueue = due.Queue[brain.Micros]
