// Package sidecar puts the parts of a sidecar together and runs them until the process is told to stop. What each part does is a matter of
// its own package.
package sidecar

import (
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"ledgespread/brain"
	"ledgespread/internal/counters"
	"ledgespread/internal/discovery"
	"ledgespread/internal/extensions"
	"ledgespread/internal/inbound"
	"ledgespread/internal/live"
	"ledgespread/internal/members"
	"ledgespread/internal/outbound"
	"ledgespread/internal/peers"
	"ledgespread/internal/relay"
	"ledgespread/internal/rollouts"
	"ledgespread/internal/site"
)

// The parts of the limits that each side may use. What is left of the sockets is for the listeners, discovery and the runtime; what is left
// of the memory, for stacks, buffers and the kernel's share.
const (
	clientsPart = 0.45 // of the sockets
	serversPart = 0.35
	heldPart    = 0.9  // of the servers' part, as requests held at once
	heapPart    = 0.65 // of the memory; half of that while two processes of one sidecar live, which share the limits
	answersPart = 4    // of the memory, for answers while they are read
	calmHeap    = 400  // percent the heap may grow between collections, as long as memory lasts
)

const firstList = 2 * time.Second // beside an old process, or where it is pushed, the first list is waited for so long

// Options are what a process is started with.
type Options struct {
	File           string // the configuration's, read again at SIGHUP
	ExtensionsFile string // "": there is none
	Manifest       *site.Manifest
	Extensions     *extensions.Extensions
	Version        string
	Tally          time.Duration // all counters are logged so often; 0: only at the end
	Signals        Signals
	Machine        Machine
	Log            zerolog.Logger
}

// Machine is how the process reaches the machine that it runs on. What is nil is as the operating system has it.
type Machine struct {
	Dial          outbound.Dial         // connections to servers
	DialDiscovery discovery.Dial        // connections to discovery
	Accept        inbound.AcceptWrapper // connections of clients
	Wall          func() brain.Micros   // the wall clock
}

// Signals are those that the program hears.
type Signals struct {
	reload chan os.Signal // several close together are one: the file is read after the last
	stop   chan os.Signal
}

// HearSignals has signals heard from now on, also while the configuration is read: one that came before would end the process.
func HearSignals() Signals {
	heard := Signals{make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(heard.reload, syscall.SIGHUP)
	signal.Notify(heard.stop, syscall.SIGTERM, syscall.SIGINT)
	return heard
}

// Read reads what a process is started with, and logs to standard error from this level on. Signals are heard from its first step.
func Read(file, extensionsFile string, level zerolog.Level) (o Options, err error) {
	o = Options{File: file, ExtensionsFile: extensionsFile, Signals: HearSignals()}
	if o.Manifest, err = site.Read(file); err != nil {
		return o, err
	}
	if o.Extensions, err = extensions.Read(extensionsFile); err != nil {
		return o, err
	}
	o.Log = zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("sidecar", o.Manifest.Name).Logger()
	return o, nil
}

// process is a sidecar that runs.
type process struct {
	Options
	counts   *counters.Sheet
	rollouts *rollouts.Rollouts // nil: configurations are not carried
	peers    *peers.Peers       // nil: messages are not allowed
	relay    *relay.Relay
	members  *members.Members // nil: it is no member
	inbound  atomic.Pointer[inbound.Inbound]
	live     *live.Sidecar
	isLive   chan struct{} // closed when live is there
	before   int           // the process that serves at this sidecar's place still; 0: there is none
	replaced func() bool   // whether another process has come to this place since
}

// Run puts the parts together and stays until the process is told to stop.
func Run(o Options) error {
	p := &process{Options: o, counts: &counters.Sheet{}, isLive: make(chan struct{}), replaced: func() bool { return false }}
	live.Cores(p.Manifest)
	p.boundHeap(1)
	debug.SetGCPercent(calmHeap)
	for _, start := range []func() error{p.carryConfigurations, p.openPeers, p.openRelay, p.openConsole, p.joinMembers} {
		if err := start(); err != nil {
			return err
		}
	}
	if p.peers != nil {
		defer p.peers.Close()
	}
	go p.relay.Run()
	if p.Tally > 0 {
		p.relay.Tally(brain.Micros(p.Tally.Microseconds()))
	}
	if !p.waitForList() {
		return nil
	}
	broken, err := p.serveClients()
	if err != nil {
		return err
	}
	return p.untilStopped(broken)
}

// openPeers opens the socket for other sidecars' messages, where the settings allow them.
func (p *process) openPeers() (err error) {
	b := p.Manifest
	if allowed, _ := b.Site["allowed.peer_messages"].(bool); !allowed || b.PeerListen == "" {
		return nil
	}
	p.peers, err = peers.Open(b.PeerListen, b.Console != "", b.Peers, p.counts, p.Log)
	return err
}

// openRelay makes the module and what it reaches the servers by.
func (p *process) openRelay() (err error) {
	b := p.Manifest
	sockets := serversPart * float64(b.Sockets)
	servers := outbound.New(b.Span("allowed.conn_idle_us"), b.Span("allowed.connect_timeout_us"), int(sockets), b.MemoryMB<<20/answersPart,
		b.Loads(), p.counts, p.Log)
	if p.Machine.Dial != nil {
		servers.Dial = p.Machine.Dial
	}
	machine := relay.Machine{DialDiscovery: p.Machine.DialDiscovery, Wall: p.Machine.Wall}
	if p.relay, err = relay.NewOn(machine, b, int(heldPart*sockets), servers, p.peers, p.counts, p.Log); err != nil {
		return err
	}
	if p.Extensions.Messages != nil && p.peers != nil {
		p.relay.Bound(b, float64(p.Extensions.Messages.Bytes))
	}
	return nil
}

// waitForList waits for the first list where an old process serves meanwhile: there is no hurry, but what that one was told counts here too.
// So does what an agent has that pushes the list: by the saved one, requests would go to servers that left since. goOn is false if the
// process is told to stop before it served.
func (p *process) waitForList() (goOn bool) {
	if p.before == 0 && !p.relay.Pushed() {
		return true
	}
	select {
	case <-p.relay.Listed():
	case <-time.After(firstList):
	case s := <-p.Signals.stop: // nobody was let in yet
		p.Log.Info().Stringer("signal", s).Msg("ended before it served")
		return false
	}
	return true
}

// serveClients lets clients in. broken tells why they can't be served any more.
func (p *process) serveClients() (broken chan error, err error) {
	b := p.Manifest
	if p.peers != nil {
		go p.peers.Hear(p.relay.Heard)
	}
	clients, err := inbound.Listen(b, int(clientsPart*float64(b.Sockets)), p.relay, p.counts, p.Log)
	if err != nil {
		return nil, err
	}
	if p.Machine.Accept != nil {
		clients.WrapAccept(p.Machine.Accept)
	}
	if p.members != nil {
		clients.More = p.members
	}
	if p.rollouts != nil {
		clients.More = both{p.members, p.rollouts}
	}
	broken = make(chan error, 1)
	go func() { broken <- clients.Serve() }()
	p.takeOverAddresses(clients)
	p.inbound.Store(clients)
	p.live = live.New(b, p.relay, clients, p.counts, p.Log)
	if p.members != nil {
		p.live.Ahead = func(next *site.Manifest) {
			_, longest := next.Timeouts()
			p.members.Linger(time.Duration(longest) * time.Microsecond)
		}
	}
	close(p.isLive)
	if b.Streams > 1 {
		p.Log.Info().Int("told", b.Streams).Msg("allowed.multiplex is kept to one: a connection carries one request at a time")
	}
	p.Log.Info().Str("listen", b.Listen).Str("discovery", b.Discovery).Msg("serving")
	return broken, nil
}

// takeOverAddresses has what newly comes at a shared address come here, where an old process listens there too.
func (p *process) takeOverAddresses(clients *inbound.Inbound) {
	if p.before == 0 {
		return
	}
	if err := clients.Steer(); err != nil {
		p.Log.Warn().Err(err).Msg("new clients can't be kept from the old process")
	}
	if p.peers != nil {
		p.peers.Steer()
	}
}

// untilStopped hears signals until all that was taken after the first one to stop has its answer.
func (p *process) untilStopped(broken chan error) error {
	ended := make(chan error, 1)
	stop := p.Signals.stop
	for {
		select {
		case <-p.Signals.reload:
			p.reload()
		case s := <-stop:
			p.Log.Info().Stringer("signal", s).Msg("stopping")
			stop, broken = nil, nil
			p.leaveMembers()
			if p.Manifest.Console != "" { // a new process may be here
				p.boundHeap(2)
			}
			go func() {
				p.inbound.Load().Stop()
				ended <- nil
			}()
		case err := <-broken:
			ended <- err
		case err := <-ended:
			p.Log.Info().Object("counters", p.counts).Msg("ended")
			return err
		}
	}
}

// boundHeap bounds what the collector lets stand, where so many processes share the memory.
func (p *process) boundHeap(processes float64) {
	debug.SetMemoryLimit(int64(heapPart / processes * float64(p.Manifest.MemoryMB) * (1 << 20)))
}
