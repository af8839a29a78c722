// Package relay drives the Balancer of the brain package. It makes all calls to the Balancer from one
// goroutine, provides its clock and timers, and carries out the actions that it asks for. The client side
// submits requests by HandleRequest, and reports those that end without the relay's answer by RequestEnded or RequestTimedOut.
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
	"ledgespread/internal/sharedids"
	"ledgespread/internal/site"
)

const (
	sweepsPerIdleTimeout = 20      // sweeps of idle connections per idle timeout
	listMemoryDivisor    = 32      // a discovery answer may use 1/32 of the memory,
	minListBytes         = 1 << 20 // or this many bytes if that is more: a small sidecar must not refuse a large fleet's list
	catchUpRounds        = 4       // of yielding to reader goroutines after the process was not scheduled

	lateThreshold brain.Micros = 10_000 // a timer this late means that the process was not scheduled
)

// request is a request that was passed to the Balancer.
type request struct {
	exchange    *exchange.Exchange
	class       *class
	deadline    brain.Micros
	attempts    []*attempt // nil: never sent
	outstanding int
	ended       bool
}

// class is a request class with the limits that the relay enforces itself, in addition to the Balancer's own
// checks.
type class struct {
	name        string
	effect      any
	keyWindow   time.Duration // servers remember an idempotency key for this long
	maxAttempts int
}

// attempt is an attempt that was handed to outbound.
type attempt struct {
	*outbound.Attempt
	requestedAt time.Time // when the Balancer asked for it
	neverRan    bool      // it ended, and is known not to have run
}

// server is a listed server.
type server struct {
	host  string
	place place
	ready bool
}

// place is where a list has a server: its address, and the groups that it belongs to.
type place struct {
	address string
	zone    brain.Zone
	cell    brain.Cell
}

// Relay connects a Balancer to clients, servers, discovery and other sidecars.
type Relay struct {
	balancer         *brain.Balancer
	clock            clock
	now              brain.Micros
	events           chan func()
	urgentCalls      chan func() // from operators and discovery, handled before events
	actions          []func()    // what the Balancer asked for in the call under way
	timers           *due.Queue[brain.Micros]
	timer            *time.Timer
	timerAt          brain.Micros // when the timer fires at the latest; 0: not set
	requests         map[brain.RequestID]*request
	requestIDs       *requestIDs
	longLivedIDs     map[string]bool // IDs reserved for longer than a generation of requestIDs lasts
	sharedIDs        *sharedids.Set  // IDs in use at all processes of this sidecar; nil: there is only this one
	openCount        int             // open requests
	maxOpen          int
	maxOpenBySockets int // limit of open requests by the number of sockets
	lastID           brain.RequestID
	servers          map[brain.ServerID]server
	serverStarts     map[brain.ServerID]serverStart
	takenOut         map[string]bool        // by an operator; may include servers that are not listed
	fleet            atomic.Pointer[[2]int] // listed servers, and how many of these are avoided
	firstList        chan struct{}          // closed when the first list has arrived
	listReceived     bool                   // the first list has arrived
	noneReady        bool                   // no listed server is ready
	repeated         map[string]*repeats    // lines that were logged within the last second
	classes          []*class               // indexed by brain.ClassID
	loadFields       []string               // fields of a load report, in order,
	loadFieldsSince  time.Time              // as set at this time
	idleTimeout      brain.Micros
	leavingGrace     brain.Micros // leaving servers may be sent requests for this long
	pushed           bool
	outbound         *outbound.Outbound
	peers            *peers.Peers        // nil if messages between sidecars are not allowed
	summaries        *summary.Aggregator // between the Balancer and the peers; nil: messages are sent unchanged
	watcher          *discovery.Watcher
	counts           *counters.Set
	log              zerolog.Logger
}

// Machine replaces parts of the operating system's interface. A nil field keeps the system's own.
type Machine struct {
	DialDiscovery discovery.Dial
	Wall          func() brain.Micros // returns the wall clock time
}

// New returns a Relay with a Balancer that holds the saved list. It has at most maxOpen open
// requests, or fewer if the settings say so.
func New(manifest *site.Manifest, maxOpen int, servers *outbound.Outbound, others *peers.Peers, counts *counters.Set,
	log zerolog.Logger) (*Relay, error) {
	return NewOn(Machine{}, manifest, maxOpen, servers, others, counts, log)
}

// NewOn is like New, with parts of the operating system's interface replaced by machine.
func NewOn(machine Machine, manifest *site.Manifest, maxOpen int, servers *outbound.Outbound, others *peers.Peers, counts *counters.Set,
	log zerolog.Logger) (*Relay, error) {
	relay := &Relay{clock: newClock(machine.Wall), events: make(chan func(), 1024), urgentCalls: make(chan func()), timers: due.New[brain.Micros](),
		timer: time.NewTimer(time.Hour), requests: map[brain.RequestID]*request{}, longLivedIDs: map[string]bool{},
		servers: map[brain.ServerID]server{}, serverStarts: map[brain.ServerID]serverStart{}, repeated: map[string]*repeats{}, takenOut: map[string]bool{}, firstList: make(chan struct{}),
		maxOpenBySockets: maxOpen, pushed: manifest.Settings["discovery"] == "pushed", requestIDs: newRequestIDs(0),
		outbound: servers, peers: others, counts: counts, log: log}
	relay.applySettings(manifest)
	zones := manifest.IndexesByName("azs")
	saved, err := discovery.Read(manifest.SavedList, zones)
	if err != nil {
		return nil, &site.FieldError{Name: "known", Err: fmt.Errorf("known: %w", err)}
	}
	relay.watcher = discovery.New(manifest.Discovery, zones, saved.Version, manifest.Micros("obligations.ask_every_us"),
		int(manifest.Number("balancers")), max(manifest.MemoryMB<<20/listMemoryDivisor, minListBytes), manifest.Seed,
		relay.receiveList, counts, log)
	relay.watcher.LoadSaved(saved)
	relay.watcher.OnTakenOver = relay.receiveTakenOver
	if machine.DialDiscovery != nil {
		relay.watcher.SetDial(machine.DialDiscovery)
	}
	relay.now = relay.clock.now()
	if relay.balancer, err = brain.New(relay.now, manifest.Settings, manifest.Seed, relay); err != nil {
		return nil, &site.FieldError{Name: "settings", Err: err}
	}
	relay.applyList(brain.SavedList, saved)
	relay.publishFleet()
	return relay, nil
}

// ShareIDs sets the set of request IDs that are in use at any process of this sidecar. It must be called before Run.
func (r *Relay) ShareIDs(ids *sharedids.Set) { r.sharedIDs = ids }

// Run handles events, calls and timers; it never returns.
func (r *Relay) Run() {
	r.sweepIdle()
	if r.pushed {
		r.watcher.WatchPushed(r.leavingGrace)
	}
	r.runTurn(func() {})
	r.armTimer()
	for {
		select {
		case call := <-r.urgentCalls: // ahead of all queued events
			r.runTurn(call)
		default:
			select {
			case call := <-r.urgentCalls:
				r.runTurn(call)
			case event := <-r.events:
				r.runTurn(event)
			case <-r.timer.C:
				r.timerAt = 0
			}
		}
		r.catchUp()
		r.runTurn(r.runDue)
		r.armTimer()
	}
}

// catchUp handles the queued events first if timers are late, which means that the process was not scheduled.
// Otherwise timers would count servers as silent, and requests would be rejected for it, although the answers
// are already queued here. A sidecar that has used up its CPU quota is not scheduled for hundreds of
// milliseconds.
func (r *Relay) catchUp() {
	at, ok := r.timers.Next()
	if !ok || r.clock.now()-at < lateThreshold {
		return
	}
	for range catchUpRounds { // lets readers run first, then handles what they queued
		runtime.Gosched()
		for n := len(r.events); n > 0; n-- {
			r.runTurn(<-r.events)
		}
	}
}

// post queues an event for the goroutine that calls the Balancer.
func (r *Relay) post(event func()) { r.events <- event }

// runTurn handles one event and then the actions that the Balancer asked for. A panic in one of them ends
// neither the sidecar nor its open requests.
func (r *Relay) runTurn(event func()) {
	r.now = r.clock.now()
	r.runRecovering(event)
	for len(r.actions) > 0 {
		next := r.actions
		r.actions = nil
		for _, do := range next {
			r.runRecovering(do)
		}
	}
}

// armTimer sets the timer for the earliest due time. A timer that fires too early is left as it is: it finds
// nothing due and is set again, which costs less than to reset it after each event.
func (r *Relay) armTimer() {
	if at, ok := r.timers.Next(); ok && (r.timerAt == 0 || at < r.timerAt) {
		r.timerAt = max(at, 1)
		r.timer.Reset(time.Duration(max(at-r.clock.now(), 0)) * time.Microsecond)
	}
}

// runRecovering runs a function, and logs and counts a panic in it.
func (r *Relay) runRecovering(do func()) {
	defer func() {
		if crash := recover(); crash != nil {
			r.counts.RecordPanic(r.log, "decision", crash)
		}
	}()
	do()
}

// failOnPanic makes a call to the Balancer on behalf of a request. If the call panics, the request fails at
// once, since nothing else would answer it.
func (r *Relay) failOnPanic(request *request, call func()) {
	defer func() {
		if crash := recover(); crash != nil {
			r.failRequest(request, reasonPanic)
			panic(crash)
		}
	}()
	call()
}

// schedule schedules a function for the given time.
func (r *Relay) schedule(at brain.Micros, do func()) { r.timers.Schedule(at, do) }

// runDue runs the functions that are due by now, except those that they schedule themselves.
func (r *Relay) runDue() { r.timers.RunDue(r.now) }

// sweepIdle closes idle connections that have timed out, and schedules the next sweep.
func (r *Relay) sweepIdle() {
	r.outbound.Sweep()
	r.schedule(r.clock.now()+max(r.idleTimeout/sweepsPerIdleTimeout, 1), r.sweepIdle)
}

// publishFleet stores the server counts for readers on other goroutines; see Fleet.
func (r *Relay) publishFleet() {
	listed, avoided := r.balancer.ServerCounts()
	r.fleet.Store(&[2]int{listed, avoided})
}

// Fleet returns how many servers are listed and how many of these are avoided, both of the same moment.
func (r *Relay) Fleet() (listed, avoided int) {
	now := r.fleet.Load()
	return now[0], now[1]
}

// Pushed reports whether an agent pushes the list to this sidecar, so that its list applies from the start.
func (r *Relay) Pushed() bool { return r.pushed }

// FirstList returns a channel that is closed once discovery has delivered a list.
func (r *Relay) FirstList() <-chan struct{} { return r.firstList }

// Tally logs all counters of the sidecar and of the Balancer at this interval. Fleet-wide totals are sums of
// these lines.
func (r *Relay) Tally(every brain.Micros) {
	r.post(func() { r.tally(every) })
}

func (r *Relay) tally(every brain.Micros) {
	r.log.Info().Object("counters", r.counts).Interface("decisions", r.balancer.Counters()).Msg("tally")
	r.schedule(r.clock.now()+every, func() { r.tally(every) })
}

// ReceiveMessage receives a message from another sidecar.
func (r *Relay) ReceiveMessage(from brain.Peer, kind brain.MessageKind, about brain.ServerID, figures []float64) {
	r.post(func() {
		if r.summaries != nil {
			r.summaries.HandleIncoming(r.now, from, kind, about, figures...)
			return
		}
		r.balancer.HandleMessage(r.now, from, kind, about, figures...)
	})
}

// LimitMessages limits the messages between this sidecar and the others to this many bytes per second. With 0 it
// takes part in the summaries of those that have a limit, but has none itself. It must be called before Run.
func (r *Relay) LimitMessages(manifest *site.Manifest, bytesPerSecond float64) {
	_, longest := manifest.ClientTimeouts()
	r.summaries = summary.New(summary.Config{BytesPerSecond: bytesPerSecond, Sidecars: int(manifest.Number("balancers")), Self: brain.Peer(manifest.Number("me")), Seed: manifest.Seed,
		MaxClientTimeout: longest}, summaryPorts{r})
}

// summaryPorts implements the ports of the summary aggregator: it sends summaries to peers and passes
// estimates to the Balancer.
type summaryPorts struct{ relay *Relay }

// Send sends a message to another sidecar.
func (ports summaryPorts) Send(to brain.Peer, kind brain.MessageKind, about brain.ServerID, figures ...float64) {
	switch kind {
	case summary.Summary:
		ports.relay.counts.Add(counters.SummariesSent)
	case summary.Estimate:
		ports.relay.counts.Add(counters.EstimatesSent)
	}
	ports.relay.peers.Send(to, kind, about, figures...)
}

// Deliver passes a message from another sidecar to the Balancer.
func (ports summaryPorts) Deliver(from brain.Peer, kind brain.MessageKind, about brain.ServerID, figures ...float64) {
	ports.relay.enqueue(func() { ports.relay.balancer.HandleMessage(ports.relay.now, from, kind, about, figures...) })
}

// Rejected logs and counts a message that could not be used.
func (ports summaryPorts) Rejected(from brain.Peer, reason string) {
	ports.relay.counts.Add(counters.SummariesRejected)
	ports.relay.log.Debug().Uint16("from", uint16(from)).Str("why", reason).Msg("summary refused")
}

// SetProcesses sets how many processes of this sidecar may be sending requests.
func (r *Relay) SetProcesses(count int) { r.post(func() { r.balancer.SetProcesses(count) }) }

// SetSenders sets how many sidecars may be sending requests.
func (r *Relay) SetSenders(count int) { r.post(func() { r.balancer.SetActiveSidecars(count) }) }
