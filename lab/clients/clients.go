// Package clients sends a plan's visits to sidecars, open-loop: a visit is sent when it is due, whatever became of those
// before it, and its latency counts from then. This prevents a load that waits politely for a slow sidecar and so
// never sees how slow it is (coordinated omission).
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

// How a try ended, as its client saw it.
type How string

const (
	Open        How = ""
	Delivered   How = "delivered"
	Bounced     How = "bounced"
	Errored     How = "errored"
	Refused     How = "refused" // a 4xx: the sidecar says that this was no visit
	Foreign     How = "foreign" // a 200 that no server made for it
	Lost        How = "lost"    // no whole answer, on a connection that was taken
	Unreachable How = "unreachable"
	Left        How = "left" // the client went away
	Never       How = "never sent"
)

// Try is one line of the clients' account.
type Try struct {
	Visit    plan.VisitNo
	No       int // of the visit's tries
	ID, Tag  string
	Sidecar  int
	Due      Micros // when it was to be sent
	Sent     Micros // its last byte was written
	Until    Micros // so long it waits
	Ended    Micros
	How      How
	Status   int
	ComeBack Micros // Retry-After
	Why      string
}

// Clients are all of a run.
type Clients struct {
	s      *scenario.Scenario
	plan   *plan.Plan
	clock  *clock.Clock
	alarms *clock.Alarms
	pools  []*pool
	run    string // makes ids and tags new with each run

	mu    sync.Mutex
	tries []*Try
	Skip  int             // one in so many is left out, so that a proof can be shown to fail; 0: none
	Count [6]atomic.Int64 // a live look: sent, delivered, bounced, errored, lost, open
	busy  sync.WaitGroup
	cease atomic.Bool
	rude  Rudeness
}

// Places in Count.
const (
	CountSent = iota
	CountDelivered
	CountBounced
	CountErrored
	CountLost
	CountOpen
)

// New prepares clients of sidecars at these addresses.
func New(s *scenario.Scenario, p *plan.Plan, addresses []string, c *clock.Clock, a *clock.Alarms) *Clients {
	cs := &Clients{s: s, plan: p, clock: c, alarms: a, run: strconv.FormatInt(time.Now().UnixNano()&0xffffffff, 36)}
	for _, at := range addresses {
		cs.pools = append(cs.pools, &pool{address: at, most: max(4, s.Sidecars.Sockets/3)})
	}
	return cs
}

// Begin has all that the plan holds sent, with times counted from begun. Wait returns when the last has ended.
func (cs *Clients) Begin(begun Micros) {
	cs.busy.Add(1)
	var next func(i int)
	next = func(i int) {
		if i == len(cs.plan.Visits) || cs.cease.Load() {
			cs.busy.Done()
			return
		}
		v := cs.plan.Visits[i]
		cs.alarms.At(begun+v.At, func() {
			if cs.Skip == 0 || i%cs.Skip != 0 {
				cs.busy.Add(1)
				go cs.visit(plan.VisitNo(i), v, begun+v.At)
			}
			next(i + 1)
		})
	}
	next(0)
	cs.rudely(begun)
}

// Cease has no more visits sent than were; those under way end as they do.
func (cs *Clients) Cease() { cs.cease.Store(true) }

// Wait returns when every visit has ended for its client.
func (cs *Clients) Wait() { cs.busy.Wait() }

// Shut has what is due at a sidecar go to the next that is not shut: its copy of the application stopped with it.
func (cs *Clients) Shut(sidecar int, on bool) {
	cs.pools[sidecar].shut.Store(on)
	if on {
		cs.pools[sidecar].closeIdle()
	}
}

// Fade has a sidecar get no new connections: what is due there goes out on those that are open, or to the next one.
func (cs *Clients) Fade(sidecar int, on bool) { cs.pools[sidecar].fades.Store(on) }

func (cs *Clients) open(sidecar int) int {
	for k := range cs.pools {
		if at := (sidecar + k) % len(cs.pools); cs.pools[at].takes() {
			return at
		}
	}
	return sidecar
}

// Account is every try, in no order. To be read after Wait.
func (cs *Clients) Account() []*Try {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return append([]*Try(nil), cs.tries...)
}

// Close drops the connections.
func (cs *Clients) Close() {
	for _, p := range cs.pools {
		p.closeIdle()
	}
}

// visit carries one through, with the retries that clients do by themselves.
func (cs *Clients) visit(no plan.VisitNo, v plan.Visit, due Micros) {
	defer cs.busy.Done()
	p := cs.s.Prefixes[v.Prefix]
	last := due + p.Timeout.M()
	tag, first := "", Micros(-1)
	if p.Effect == "tagged" {
		tag = fmt.Sprintf("%s-t%d", cs.run, no)
	}
	for k, at := 0, due; ; k++ {
		t := &Try{Visit: no, No: k, ID: fmt.Sprintf("%s-%d-%d", cs.run, no, k), Tag: tag, Sidecar: cs.open(v.Sidecar), Due: at, Until: last, Sent: -1}
		cs.Count[CountOpen].Add(1)
		cs.try(t, v, p)
		cs.Count[CountOpen].Add(-1)
		cs.note(t)
		if first < 0 {
			first = max(t.Sent, 0)
		}
		if k >= cs.s.Traffic.Retries {
			return
		}
		again := false
		switch t.How {
		case Bounced, Unreachable:
			again = true
		case Errored, Lost:
			again = p.Effect == "read_like" || p.Effect == "tagged" && p.Group == "all" && cs.clock.Now() < first+p.Memory.M()
		}
		wait := cs.s.Traffic.RetryWait.M() << k
		if v.Heeds && t.ComeBack > 0 {
			wait = t.ComeBack
		}
		if at = cs.clock.Now() + wait; !again || at+p.Work.M() >= last {
			return
		}
		wake := make(chan struct{})
		cs.alarms.At(at, func() { close(wake) })
		<-wake
	}
}

func (cs *Clients) note(t *Try) {
	cs.mu.Lock()
	cs.tries = append(cs.tries, t)
	cs.mu.Unlock()
	switch t.How {
	case Delivered:
		cs.Count[CountDelivered].Add(1)
	case Bounced:
		cs.Count[CountBounced].Add(1)
	case Lost, Foreign:
		cs.Count[CountLost].Add(1)
	default:
		cs.Count[CountErrored].Add(1)
	}
}
