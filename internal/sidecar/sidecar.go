// Package sidecar assembles the parts of a sidecar process and runs them until the process is asked to stop.
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
	"ledgespread/internal/handover"
	"ledgespread/internal/inbound"
	"ledgespread/internal/members"
	"ledgespread/internal/memory"
	"ledgespread/internal/outbound"
	"ledgespread/internal/peers"
	"ledgespread/internal/relay"
	"ledgespread/internal/reload"
	"ledgespread/internal/rollouts"
	"ledgespread/internal/site"
)

// Shares of the configured limits. The remaining sockets are for listeners, discovery and the runtime; the
// remaining memory is for stacks, buffers and the kernel.
const (
	clientSocketsShare = 0.45 // of the sockets, for clients
	serverSocketsShare = 0.4  // of the sockets, for servers: requests of clients that hold a third of the sockets fit in, and others beside them
	openRequestsShare  = 0.9  // of the servers' sockets: how many requests may be open at once
	heapShare          = 0.65 // of the memory; half of that while an old and a new process of the sidecar share the limits
	gcPercent          = 400  // GOGC percentage, while the memory limit allows it
)

// firstListTimeout is how long to wait for the first list if an old process still serves.
const firstListTimeout = 2 * time.Second

// Options are the inputs of a sidecar process.
type Options struct {
	File           string // the configuration file, read again at SIGHUP
	ExtensionsFile string // empty: none
	Manifest       *site.Manifest
	Extensions     *extensions.Extensions
	Version        string
	Tally          time.Duration // interval at which all counters are logged; 0: only at the end
	Signals        Signals
	Machine        Machine
	Log            zerolog.Logger
}

// Machine replaces parts of the operating system's interface. A nil field keeps the system's own.
type Machine struct {
	Dial          outbound.Dial         // opens connections to servers
	DialDiscovery discovery.Dial        // opens connections to discovery
	Accept        inbound.AcceptWrapper // accepts connections of clients
	Wall          func() brain.Micros   // returns the wall clock time
}

// Signals are the signals that the process handles.
type Signals struct {
	reload chan os.Signal // buffers one signal: the file is read after the last of several
	stop   chan os.Signal
}

// NotifySignals starts to receive signals, so that one that arrives while the configuration is read doesn't
// end the process.
func NotifySignals() Signals {
	signals := Signals{make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(signals.reload, syscall.SIGHUP)
	signal.Notify(signals.stop, syscall.SIGTERM, syscall.SIGINT)
	return signals
}

// Read reads the files that a process is started with and logs to standard error from this level on. It
// receives signals from its first step.
func Read(file, extensionsFile string, level zerolog.Level) (o Options, err error) {
	o = Options{File: file, ExtensionsFile: extensionsFile, Signals: NotifySignals()}
	if o.Manifest, err = site.ReadFile(file); err != nil {
		return o, err
	}
	if o.Extensions, err = extensions.ReadFile(extensionsFile); err != nil {
		return o, err
	}
	o.Log = zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("sidecar", o.Manifest.Name).Logger()
	return o, nil
}

// process is a running sidecar.
type process struct {
	Options
	counts        *counters.Set
	account       *memory.Account
	rollouts      *rollouts.Rollouts // nil: members don't distribute configurations
	peers         *peers.Peers       // nil: messages are not allowed
	relay         *relay.Relay
	members       *members.Members // nil: membership is off
	inbound       atomic.Pointer[inbound.Inbound]
	availability  availability
	reloader      *reload.Reloader
	reloaderReady chan struct{}    // closed when reloader is set
	predecessor   handover.Process // an old process that still serves for this sidecar; zero: none
	state         *handover.State  // shared with other processes of this sidecar; nil: there is no console
	told          toldList         // what discovery told this process, for the others
	replaced      func() bool      // reports whether a newer process of this sidecar has started
	closeState    func()           // writes what other processes need before the process ends
}

// hasPredecessor reports whether an old process served for this sidecar when this one was started.
func (p *process) hasPredecessor() bool { return p.predecessor != handover.Process{} }

// Run starts the parts and returns when the process was asked to stop, or can't go on.
func Run(o Options) error {
	proc := &process{Options: o, counts: &counters.Set{}, account: memory.New(0), reloaderReady: make(chan struct{}), replaced: func() bool { return false }, closeState: func() {}}
	reload.SetCores(proc.Manifest)
	proc.limitHeap(1)
	debug.SetGCPercent(gcPercent)
	for _, start := range []func() error{proc.carryConfigurations, proc.openPeers, proc.openState, proc.openRelay, proc.openConsole, proc.joinMembers} {
		if err := start(); err != nil {
			return err
		}
	}
	if proc.peers != nil {
		defer proc.peers.Close()
	}
	go proc.relay.Run()
	if proc.Tally > 0 {
		proc.relay.Tally(brain.Micros(proc.Tally.Microseconds()))
	}
	if !proc.waitForFirstList() {
		return nil
	}
	broken, err := proc.serveClients()
	if err != nil {
		return err
	}
	return proc.runUntilStopped(broken)
}

// openPeers opens the socket for messages between sidecars, if the settings allow them.
func (p *process) openPeers() (err error) {
	manifest := p.Manifest
	if allowed, _ := manifest.Settings["allowed.peer_messages"].(bool); !allowed || manifest.PeerListen == "" {
		return nil
	}
	p.peers, err = peers.Open(manifest.PeerListen, manifest.Console != "", manifest.Peers, p.counts, p.Log)
	return err
}

// openRelay creates the relay and the connections to servers that it uses.
func (p *process) openRelay() (err error) {
	manifest := p.Manifest
	sockets := serverSocketsShare * float64(manifest.Sockets)
	servers := outbound.New(manifest.Micros("allowed.conn_idle_us"), manifest.Micros("allowed.connect_timeout_us"), int(sockets), p.account,
		manifest.LoadFields(), p.counts, p.Log)
	if p.Machine.Dial != nil {
		servers.Dial = p.Machine.Dial
	}
	machine := relay.Machine{DialDiscovery: p.Machine.DialDiscovery, Wall: p.Machine.Wall}
	if p.relay, err = relay.NewOn(machine, manifest, int(openRequestsShare*sockets), servers, p.peers, p.counts, p.Log); err != nil {
		return err
	}
	p.told.begin(p.relay)
	if p.Extensions.Messages != nil && p.peers != nil {
		p.relay.LimitMessages(manifest, float64(p.Extensions.Messages.BytesPerSecond))
	}
	return nil
}

// waitForFirstList waits for the first list, for a limited time, in two cases. While an old process still
// serves there is no hurry, and this process should know the servers that the old one was given. If an agent
// pushes the list, the saved one would send requests to servers that have left since, and what the agent has counts as
// known from the first moment on; if the agent is silent for longer than it may take for an answer, it is out of reach.
// goOn is false if the process was asked to stop meanwhile.
func (p *process) waitForFirstList() (goOn bool) {
	timeout := firstListTimeout
	switch {
	case p.relay.Pushed():
		timeout = discovery.FirstListTimeout
	case !p.hasPredecessor():
		return true
	}
	select {
	case <-p.relay.FirstList():
	case <-time.After(timeout):
	case received := <-p.Signals.stop: // no client has been accepted yet
		p.Log.Info().Stringer("signal", received).Msg("stopped before serving")
		return false
	}
	return true
}

// serveClients starts to accept clients. broken receives the error if that fails later.
func (p *process) serveClients() (broken chan error, err error) {
	manifest := p.Manifest
	if p.peers != nil {
		go p.peers.Receive(p.relay.ReceiveMessage)
	}
	clients, err := inbound.Listen(manifest, int(clientSocketsShare*float64(manifest.Sockets)), p.relay, p.account, p.counts, p.Log)
	if err != nil {
		return nil, err
	}
	if p.Machine.Accept != nil {
		clients.WrapAccept(p.Machine.Accept)
	}
	if p.members != nil {
		clients.ExtraCounters = p.members
	}
	if p.rollouts != nil {
		clients.ExtraCounters = twoParts{p.members, p.rollouts}
	}
	p.availability.serve(clients)
	broken = make(chan error, 1)
	go func() { broken <- clients.Serve() }()
	p.steerClients(clients)
	p.inbound.Store(clients)
	p.reloader = reload.New(manifest, p.relay, clients, p.counts, p.Log)
	if p.members != nil {
		p.reloader.BeforeApply = func(next *site.Manifest) {
			_, longest := next.ClientTimeouts()
			p.members.RaiseClientTimeout(time.Duration(longest) * time.Microsecond)
		}
	}
	close(p.reloaderReady)
	if manifest.StreamsPerConnection > 1 {
		p.Log.Info().Int("told", manifest.StreamsPerConnection).Msg("allowed.multiplex is limited to 1: a connection carries one request at a time")
	}
	p.Log.Info().Str("listen", manifest.Listen).Str("discovery", manifest.Discovery).Msg("serving")
	return broken, nil
}

// steerClients directs new connections at a shared address to this process, if an old process listens
// there too.
func (p *process) steerClients(clients *inbound.Inbound) {
	if !p.hasPredecessor() {
		return
	}
	if err := clients.Steer(); err != nil {
		p.Log.Warn().Err(err).Msg("new clients can't be kept from the old process")
	}
	if p.peers != nil {
		p.peers.TakeOverAddress()
	}
}

// runUntilStopped handles signals. After a signal to stop it returns once all requests that were taken in are
// answered.
func (p *process) runUntilStopped(broken chan error) error {
	ended := make(chan error, 1)
	stop := p.Signals.stop
	for {
		select {
		case <-p.Signals.reload:
			p.reload()
		case received := <-stop:
			p.Log.Info().Stringer("signal", received).Msg("stopping")
			stop, broken = nil, nil
			p.leaveMembers()
			if p.Manifest.Console != "" { // a new process may be running
				p.limitHeap(2)
			}
			go func() {
				p.inbound.Load().Stop()
				ended <- nil
			}()
		case err := <-broken:
			ended <- err
		case err := <-ended:
			p.closeState()
			p.Log.Info().Object("counters", p.counts).Msg("ended")
			return err
		}
	}
}

// limitHeap sets the garbage collector's memory limit and the limit of the account, if this many processes share the
// configured memory.
func (p *process) limitHeap(processes float64) {
	heapBytes := int64(heapShare / processes * float64(p.Manifest.MemoryMB) * (1 << 20))
	debug.SetMemoryLimit(heapBytes)
	p.account.SetLimit(memory.Available(heapBytes))
}
