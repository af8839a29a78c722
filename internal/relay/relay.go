// Package relay owns the Balancer: it makes all its calls, one at a time, keeps its clock and wake-ups, and
// carries out what it asks for. A protocol for the application attaches here, by Take and Left.
package relay

import (
	"fmt"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"ledgespread/brain"
	"ledgespread/brain/due"
	"ledgespread/decide/summary"
	"ledgespread/internal/counters"
	"ledgespread/internal/discovery"
	"ledgespread/internal/exchange"
	"ledgespread/internal/outbound"
	"ledgespread/internal/peers"
	"ledgespread/internal/site"
)

const (
	sweepParts = 20      // idle connections are looked through so often in the time they may stand
	listPart   = 32      // an answer of discovery may take this part of the memory,
	listLeast  = 1 << 20 // or so many bytes, if that is more: a small sidecar must not refuse a large fleet's list
	rounds     = 4       // of giving way to those who read, after standing still

	lateLeast brain.Micros = 10_000 // what is due is late from then on
)

// request is one that the module knows of.
type request struct {
	exchange    *exchange.Exchange
	class       *class
	deadline    brain.Micros
	attempts    []*attempt // nil: never sent
	outstanding int
	ended       bool
}

// class is what the settings allow the requests of a class here, beside the module's own gate.
type class struct {
	name         string
	effect       any
	keyWindow    time.Duration // of keyed ones: servers know a mark for so long
	mostAttempts int
}

// attempt is one attempt of a request.
type attempt struct {
	*outbound.Attempt
	asked    time.Time // when the module asked for it
	neverRan bool      // it ended, and surely never ran
}

// server is how a server is called, and where it is reached.
type server struct {
	host, address string
	ready         bool
}

// Relay is the module's world.
type Relay struct {
	balancer  *brain.Balancer
	clock     clock
	now       brain.Micros
	events    chan func()
	calls     chan func() // of staff and of discovery: they go first
	actions   []func()    // what the module asked for in the call that goes on
	timers    *due.Times[brain.Micros]
	timer     *time.Timer
	wakeAt    brain.Micros // the timer comes by then; 0: it is not set
	requests  map[brain.RequestID]*request
	names     *names
	longNames map[string]bool // names to be kept for longer than a generation of those
	held      int             // requests not yet ended
	mostHeld  int
	mostEver  int // as many as there are sockets for
	ids       brain.RequestID
	servers   map[brain.ServerID]server
	starts    map[brain.ServerID]start
	takenOut  map[string]bool        // taken out by hand, listed or not
	fleet     atomic.Pointer[[2]int] // listed, and avoided of these
	listed    chan struct{}          // closed when the first list came
	heard     bool                   // it is
	emptied   bool                   // no server is ready
	repeated  map[string]*repeats    // lines that were logged less than a second ago
	classes   []*class               // by place
	loads     []string               // what a load report holds,
	loadsNow  time.Time              // since then
	idle      brain.Micros
	grace     brain.Micros // in which sends to a leaving server are no fault
	pushed    bool
	outbound  *outbound.Outbound
	peers     *peers.Peers        // nil where messages are not allowed
	summaries *summary.Aggregator // between the module and the peers; nil: what the module tells goes out as it is
	watcher   *discovery.Watcher
	counts    *counters.Sheet
	log       zerolog.Logger
}

// Machine is how a relay reaches the machine that it runs on. What is nil is as the operating system has it.
type Machine struct {
	DialDiscovery discovery.Dial
	Wall          func() brain.Micros // the wall clock
}

// New makes a relay with its Balancer, which then holds the saved list. It holds most requests at once, or
// fewer where the settings say so.
func New(b *site.Manifest, most int, out *outbound.Outbound, others *peers.Peers, counts *counters.Sheet,
	log zerolog.Logger) (*Relay, error) {
	return NewOn(Machine{}, b, most, out, others, counts, log)
}

// NewOn makes one that reaches its machine so.
func NewOn(machine Machine, b *site.Manifest, most int, out *outbound.Outbound, others *peers.Peers, counts *counters.Sheet,
	log zerolog.Logger) (*Relay, error) {
	r := &Relay{clock: startClock(machine.Wall), events: make(chan func(), 1024), calls: make(chan func()), timers: due.New[brain.Micros](),
		timer: time.NewTimer(time.Hour), requests: map[brain.RequestID]*request{}, longNames: map[string]bool{},
		servers: map[brain.ServerID]server{}, starts: map[brain.ServerID]start{}, repeated: map[string]*repeats{}, takenOut: map[string]bool{}, listed: make(chan struct{}),
		mostEver: most, pushed: b.Site["discovery"] == "pushed", names: newNames(0),
		outbound: out, peers: others, counts: counts, log: log}
	r.read(b)
	zones := b.Places("azs")
	saved, err := discovery.Read(b.Known, zones)
	if err != nil {
		return nil, &site.Odd{Name: "known", Err: fmt.Errorf("known: %w", err)}
	}
	r.watcher = discovery.New(b.Discovery, zones, saved.Version, b.Span("obligations.ask_every_us"),
		int(b.Figure("balancers")), max(b.MemoryMB<<20/listPart, listLeast), b.Seed,
		r.hear, counts, log)
	r.watcher.Hold(saved)
	if machine.DialDiscovery != nil {
		r.watcher.DialBy(machine.DialDiscovery)
	}
	r.now = r.clock.now()
	if r.balancer, err = brain.New(r.now, b.Site, b.Seed, r); err != nil {
		return nil, &site.Odd{Name: "settings", Err: err}
	}
	r.told(brain.Saved, saved)
	r.publish()
	return r, nil
}

// Run makes the calls, for ever.
func (r *Relay) Run() {
	r.sweep()
	if r.pushed {
		r.watcher.Keep(r.grace)
	}
	r.turn(func() {})
	r.arm()
	for {
		select {
		case call := <-r.calls: // ahead of the mail, however long that is
			r.turn(call)
		default:
			select {
			case call := <-r.calls:
				r.turn(call)
			case event := <-r.events:
				r.turn(event)
			case <-r.timer.C:
				r.wakeAt = 0
			}
		}
		r.catchUp()
		r.turn(r.lapse)
		r.arm()
	}
}

// catchUp hears first what came while the sidecar itself did not run, where what is due is late. Else
// servers would be called silent whose answers wait here, and requests rejected for it: a sidecar that has used up its
// part of the core stands still for hundreds of milliseconds.
func (r *Relay) catchUp() {
	at, ok := r.timers.First()
	if !ok || r.clock.now()-at < lateLeast {
		return
	}
	for range rounds { // readers first, then what they hand over
		runtime.Gosched()
		for n := len(r.events); n > 0; n-- {
			r.turn(<-r.events)
		}
	}
}

// post hands an event to the one goroutine that calls the module.
func (r *Relay) post(event func()) { r.events <- event }

// turn is one call of the module and what it asked for. One event's panic ends neither the sidecar nor
// the requests that it holds.
func (r *Relay) turn(event func()) {
	r.now = r.clock.now()
	r.guarded(event)
	for len(r.actions) > 0 {
		next := r.actions
		r.actions = nil
		for _, do := range next {
			r.guarded(do)
		}
	}
}

// arm sets the timer for what is due first. One that comes earlier stays as it is: it finds nothing due and is set
// again, which costs less than to set it anew with every turn.
func (r *Relay) arm() {
	if at, ok := r.timers.First(); ok && (r.wakeAt == 0 || at < r.wakeAt) {
		r.wakeAt = max(at, 1)
		r.timer.Reset(time.Duration(max(at-r.clock.now(), 0)) * time.Microsecond)
	}
}

func (r *Relay) guarded(do func()) {
	defer func() {
		if crash := recover(); crash != nil {
			r.counts.Crashed(r.log, "decision", crash)
		}
	}()
	do()
}

// orFail makes a call for a request. After a panic in the call nobody is left to answer it, so it fails
// at once.
func (r *Relay) orFail(request *request, call func()) {
	defer func() {
		if crash := recover(); crash != nil {
			r.fail(request, reasonPanic)
			panic(crash)
		}
	}()
	call()
}

// at puts something among the due times.
func (r *Relay) at(t brain.Micros, do func()) { r.timers.Put(t, do) }

// lapse does what is due by now, but nothing that this puts there.
func (r *Relay) lapse() { r.timers.Lapse(r.now) }

func (r *Relay) sweep() {
	r.outbound.Sweep()
	r.at(r.clock.now()+max(r.idle/sweepParts, 1), r.sweep)
}

// publish tells how many servers there are to those who may not wait for the module.
func (r *Relay) publish() {
	listed, avoided := r.balancer.Fleet()
	r.fleet.Store(&[2]int{listed, avoided})
}

// Fleet tells how many servers are listed, and how many of these are avoided, of one moment.
func (r *Relay) Fleet() (listed, avoided int) {
	now := r.fleet.Load()
	return now[0], now[1]
}

// Pushed tells whether what discovery's agent has counts as told from the first moment.
func (r *Relay) Pushed() bool { return r.pushed }

// Listed is closed once discovery has told a list.
func (r *Relay) Listed() <-chan struct{} { return r.listed }

// Tally logs all counters, and the module's own, every so often. A fleet is counted over by summing these lines.
func (r *Relay) Tally(every brain.Micros) {
	r.post(func() { r.tally(every) })
}

func (r *Relay) tally(every brain.Micros) {
	r.log.Info().Object("counters", r.counts).Interface("decisions", r.balancer.Tally()).Msg("tally")
	r.at(r.clock.now()+every, func() { r.tally(every) })
}

// Heard takes another sidecar's message.
func (r *Relay) Heard(from brain.Peer, kind brain.MessageKind, about brain.ServerID, figures []float64) {
	r.post(func() {
		if r.summaries != nil {
			r.summaries.Heard(r.now, from, kind, about, figures...)
			return
		}
		r.balancer.Heard(r.now, from, kind, about, figures...)
	})
}

// Bound keeps what this sidecar tells the others, and hears of them, within so many bytes a second; 0: it takes part with those that have a
// bound, and has none itself. It is called before Run.
func (r *Relay) Bound(b *site.Manifest, bytes float64) {
	_, longest := b.Timeouts()
	r.summaries = summary.New(summary.Limits{Bytes: bytes, Sidecars: int(b.Figure("balancers")), Me: brain.Peer(b.Figure("me")), Seed: b.Seed,
		Longest: longest}, wire{r})
}

// wire is what summaries go out by, and estimates come in.
type wire struct{ r *Relay }

func (w wire) Send(to brain.Peer, kind brain.MessageKind, about brain.ServerID, figures ...float64) {
	switch kind {
	case summary.Summary:
		w.r.counts.Add(counters.SummariesSent)
	case summary.Estimate:
		w.r.counts.Add(counters.EstimatesSent)
	}
	w.r.peers.Tell(to, kind, about, figures...)
}

func (w wire) Hear(from brain.Peer, kind brain.MessageKind, about brain.ServerID, figures ...float64) {
	w.r.later(func() { w.r.balancer.Heard(w.r.now, from, kind, about, figures...) })
}

func (w wire) Refused(from brain.Peer, why string) {
	w.r.counts.Add(counters.SummariesRefused)
	w.r.log.Debug().Uint16("from", uint16(from)).Str("why", why).Msg("summary refused")
}

// Senders tells how many sidecars may be sending, where that is known.
func (r *Relay) Senders(many int) { r.post(func() { r.balancer.Senders(many) }) }
