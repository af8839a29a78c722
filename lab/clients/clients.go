// Package clients sends a plan's visits to sidecars as an open-loop load: each visit is sent when it is due,
// without waiting for earlier ones, and its latency counts from that time. A closed loop would send less to a
// slow sidecar and so underestimate its latency (coordinated omission).
package clients

import (
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ledgespread/lab/clock"
	"ledgespread/lab/plan"
	"ledgespread/lab/scenario"
)

type Micros = clock.Micros

// Outcome is the outcome of a try as its client saw it.
type Outcome string

const (
	Open        Outcome = ""
	Delivered   Outcome = "delivered"
	RetryLater  Outcome = "bounced"
	Errored     Outcome = "errored"
	Refused     Outcome = "refused" // a 4xx other than 429: the sidecar rejects the request as invalid
	WrongAnswer Outcome = "foreign" // a 200 whose body is not for this try
	Lost        Outcome = "lost"    // no complete answer on an open connection
	Unreachable Outcome = "unreachable"
	Abandoned   Outcome = "left" // the client closed the connection before the answer
	NotSent     Outcome = "never sent"
)

// Try is the record of one request that a client sent for a visit.
type Try struct {
	Visit      plan.VisitIndex
	Number     int // 0 for the visit's first try, then counting its retries
	ID, Tag    string
	Sidecar    int
	Due        Micros // when it was due to be sent
	Sent       Micros // when its last byte was written; -1: not sent
	Deadline   Micros // when its client stops waiting
	Ended      Micros
	Outcome    Outcome
	Status     int
	RetryAfter Micros // the answer's Retry-After; 0: none
	Why        string
}

// Clients are all clients of a run.
type Clients struct {
	scenario *scenario.Scenario
	plan     *plan.Plan
	clock    *clock.Clock
	alarms   *clock.Alarms
	pools    []*pool
	runID    string // prefix of IDs and tags, different for each run

	mu        sync.Mutex
	tries     []*Try
	Skip      int             // leaves out one in so many visits, to show that a proof then fails; 0: none
	Count     [6]atomic.Int64 // live counters, indexed by the constants CountSent and so on
	busy      sync.WaitGroup
	stopped   atomic.Bool
	malformed MalformedCounts
}

// Indices into Clients.Count.
const (
	CountSent = iota
	CountDelivered
	CountBounced
	CountErrored
	CountLost
	CountOpen
)

// New prepares the clients for sidecars at these addresses.
func New(spec *scenario.Scenario, planned *plan.Plan, addresses []string, labClock *clock.Clock, alarms *clock.Alarms) *Clients {
	clients := &Clients{scenario: spec, plan: planned, clock: labClock, alarms: alarms, runID: strconv.FormatInt(time.Now().UnixNano()&0xffffffff, 36)}
	for _, address := range addresses {
		clients.pools = append(clients.pools, &pool{address: address, maxOpen: max(4, spec.Sidecars.Sockets/3)})
	}
	return clients
}

// Begin starts to send the plan's visits, with times counted from begun. Wait returns when the last has
// ended.
func (c *Clients) Begin(begun Micros) {
	c.busy.Add(1)
	var next func(i int)
	next = func(i int) {
		if i == len(c.plan.Visits) || c.stopped.Load() {
			c.busy.Done()
			return
		}
		visit := c.plan.Visits[i]
		c.alarms.At(begun+visit.At, func() {
			if c.Skip == 0 || i%c.Skip != 0 {
				c.busy.Add(1)
				go c.visit(plan.VisitIndex(i), visit, begun+visit.At)
			}
			next(i + 1)
		})
	}
	next(0)
	c.scheduleMalformed(begun)
}

// StopSending stops sending new visits; those in flight continue.
func (c *Clients) StopSending() { c.stopped.Store(true) }

// Wait returns when every visit has ended for its client.
func (c *Clients) Wait() { c.busy.Wait() }

// SetDown marks a sidecar as down, or up again: visits due there go to the next available sidecar, as the
// application instance beside a sidecar stops with it.
func (c *Clients) SetDown(sidecar int, on bool) {
	c.pools[sidecar].down.Store(on)
	if on {
		c.pools[sidecar].closeIdle()
	}
}

// SetNoNewConnections stops or allows new connections to a sidecar. Without them, visits due there use an
// idle open connection, or go to the next available sidecar.
func (c *Clients) SetNoNewConnections(sidecar int, on bool) {
	c.pools[sidecar].noNewConnections.Store(on)
}

// availableSidecar returns the first available sidecar from this one on, or this one if none is.
func (c *Clients) availableSidecar(sidecar int) int {
	for k := range c.pools {
		if at := (sidecar + k) % len(c.pools); c.pools[at].available() {
			return at
		}
	}
	return sidecar
}

// Account returns the records of all tries, in no particular order. Call it after Wait.
func (c *Clients) Account() []*Try {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Try(nil), c.tries...)
}

// Close closes the idle connections.
func (c *Clients) Close() {
	for _, pool := range c.pools {
		pool.closeIdle()
	}
}

// visit sends a visit, and retries it as clients do by themselves, until it is answered or its time is up.
func (c *Clients) visit(number plan.VisitIndex, visit plan.Visit, due Micros) {
	defer c.busy.Done()
	prefix := c.scenario.Prefixes[visit.Prefix]
	deadline := due + prefix.Timeout.M()
	tag, firstSent := "", Micros(-1)
	if prefix.Effect == "tagged" {
		tag = fmt.Sprintf("%s-t%d", c.runID, number)
	}
	for attempt, sendTime := 0, due; ; attempt++ {
		try := &Try{Visit: number, Number: attempt, ID: fmt.Sprintf("%s-%d-%d", c.runID, number, attempt), Tag: tag, Sidecar: c.availableSidecar(visit.Sidecar), Due: sendTime, Deadline: deadline, Sent: -1}
		c.Count[CountOpen].Add(1)
		c.send(try, visit, prefix)
		c.Count[CountOpen].Add(-1)
		c.record(try)
		if firstSent < 0 {
			firstSent = max(try.Sent, 0)
		}
		if attempt >= c.scenario.Traffic.Retries {
			return
		}
		retry := false
		switch try.Outcome {
		case RetryLater, Unreachable:
			retry = true
		case Errored, Lost:
			retry = prefix.Effect == "read_like" || prefix.Effect == "tagged" && prefix.Group == "all" && c.clock.Now() < firstSent+prefix.Memory.M()
		}
		wait := c.scenario.Traffic.RetryWait.M() << attempt
		if visit.Heeds && try.RetryAfter > 0 {
			wait = try.RetryAfter
		}
		if sendTime = c.clock.Now() + wait; !retry || sendTime+prefix.Work.M() >= deadline {
			return
		}
		wake := make(chan struct{})
		c.alarms.At(sendTime, func() { close(wake) })
		<-wake
	}
}

// record records a try that has ended and counts its outcome.
func (c *Clients) record(try *Try) {
	c.mu.Lock()
	c.tries = append(c.tries, try)
	c.mu.Unlock()
	switch try.Outcome {
	case Delivered:
		c.Count[CountDelivered].Add(1)
	case RetryLater:
		c.Count[CountBounced].Add(1)
	case Lost, WrongAnswer:
		c.Count[CountLost].Add(1)
	default:
		c.Count[CountErrored].Add(1)
	}
}
