package backend

import (
	"net"
	"strconv"
	"strings"
	"sync"

	"ledgespread/lab/clock"
	"ledgespread/lab/rng"
	"ledgespread/lab/scenario"
)

// Backend serves a simulated machine on a socket and records each request.
type Backend struct {
	Name, Zone, Model string
	Cell              int
	Config            scenario.Backend

	clock     *clock.Clock
	alarms    *clock.Alarms
	rules     scenario.Rules
	prefixes  []scenario.Prefix
	knownKeys []*KnownKeys // by path prefix, shared with the backends of its group
	keysLock  *sync.Mutex
	padding   string
	random    *rng.Source
	meanWork  float64

	mu             sync.Mutex
	core           *Core
	address        string
	listener       net.Listener
	conns          map[*conn]bool
	draining       bool
	mute           bool
	errors         float64
	malformed      float64
	readRate       int     // bytes per second of a request that are read; 0: unlimited
	resets         float64 // fraction of the requests under which the connection is reset,
	resetAfter     Micros  // this long after their last byte
	alarmAt        Micros
	report         string
	reportAt       Micros
	account        []*Entry
	Opened         int // connections accepted
	MaxConnections int // maximum of concurrent connections
	Probed         int // probes received
	Unparsed       int // messages that could not be parsed
	Collapses      []Collapse
	BornAt         Micros
	Died           []Micros
	busy           Micros // core time of the runs that Kill has ended
	probeBusy      Micros // part of busy that was spent on probes
}

// Collapse records when a cold backend collapsed, and under which visits.
type Collapse struct {
	At Micros
	By []string
}

// Groups holds the KnownKeys of all backends, one for each path prefix and group.
type Groups struct {
	lock      sync.Mutex
	knownKeys map[string]*KnownKeys
}

// NewGroups returns empty Groups.
func NewGroups() *Groups { return &Groups{knownKeys: map[string]*KnownKeys{}} }

// GroupOf names the group of backends that remembers idempotency keys together with this one.
func GroupOf(prefix scenario.Prefix, zone string, cell int) string {
	switch prefix.Group {
	case "zone":
		return prefix.Name + "/" + zone
	case "cell":
		return prefix.Name + "/" + strconv.Itoa(cell)
	}
	return prefix.Name
}

// New creates a backend; Start opens its socket.
func New(name string, config scenario.Backend, definition *scenario.Scenario, seed uint64, groups *Groups, runClock *clock.Clock, alarms *clock.Alarms) *Backend {
	backend := &Backend{Name: name, Zone: config.Zone, Model: config.Model, Cell: config.Cell, Config: config, clock: runClock, alarms: alarms, rules: definition.Rules,
		prefixes: definition.Prefixes, meanWork: definition.MeanWork(), keysLock: &groups.lock,
		padding: strings.Repeat("x", definition.Traffic.BodyBytes),
		random:  rng.New(seed, "backend "+name), conns: map[*conn]bool{}}
	for _, prefix := range definition.Prefixes {
		group := GroupOf(prefix, config.Zone, config.Cell)
		if groups.knownKeys[group] == nil && prefix.Effect == "tagged" {
			groups.knownKeys[group] = NewKnownKeys(prefix.Memory.M())
		}
		backend.knownKeys = append(backend.knownKeys, groups.knownKeys[group])
	}
	return backend
}

// Start starts the backend at an address of this machine, "" for any free one. Address returns it.
func (b *Backend) Start(address string, cold bool) error {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.core = NewCore(b.Config, b.rules, now, cold, func(by []string) {
		b.Collapses = append(b.Collapses, Collapse{b.clock.Now(), by})
		go b.Kill()
	})
	b.core.MeanWork = b.meanWork
	b.listener, b.address, b.BornAt, b.draining, b.alarmAt = listener, listener.Addr().String(), now, false, -1
	go b.accept(listener)
	return nil
}

// Address is where it listens, or last did.
func (b *Backend) Address() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.address
}

// Kill stops the backend like a crash: connections are reset, new ones refused.
func (b *Backend) Kill() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.listener == nil {
		return
	}
	b.listener.Close()
	b.listener = nil
	for connection := range b.conns {
		connection.tcp.SetLinger(0)
		connection.tcp.Close()
	}
	b.core.Die(b.clock.Now())
	b.busy, b.probeBusy = b.busy+b.core.Busy, b.probeBusy+b.core.Probes
	b.Died = append(b.Died, b.clock.Now())
}

// Alive reports whether the backend listens.
func (b *Backend) Alive() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.listener != nil
}

// ChangeCore applies a change to a running backend's core, to begin or end a fault; it does nothing while it
// is stopped.
func (b *Backend) ChangeCore(change func(now Micros, core *Core)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.listener != nil {
		change(b.clock.Now(), b.core)
		b.scheduleWake()
	}
}

// SetDraining makes a backend reject new visits with a 503.
func (b *Backend) SetDraining(on bool) { b.mu.Lock(); b.draining = on; b.mu.Unlock() }

// SetMute makes a backend accept requests without answering.
func (b *Backend) SetMute(on bool) { b.mu.Lock(); b.mute = on; b.mu.Unlock() }

// SetErrors sets the fraction of visits that are answered with a 500.
func (b *Backend) SetErrors(part float64) { b.mu.Lock(); b.errors = part; b.mu.Unlock() }

// SetMalformed sets the fraction of visits that get a malformed answer.
func (b *Backend) SetMalformed(part float64) { b.mu.Lock(); b.malformed = part; b.mu.Unlock() }

// Account returns copies of the records so far, in order of arrival.
func (b *Backend) Account() (out []*Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.listener != nil {
		b.core.Advance(b.clock.Now())
		b.scheduleWake()
	}
	for _, entry := range b.account {
		line := *entry
		if line.onFinish, line.queued = nil, nil; line.Outcome == Waiting {
			line.Ended = -1
		}
		out = append(out, &line)
	}
	return out
}

// Tally returns the counters: connections accepted, their maximum at once, probes, messages that could not be
// parsed, and the collapses of a cold backend.
func (b *Backend) Tally() (opened, most, probed, unparsed int, collapses []Collapse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Opened, b.MaxConnections, b.Probed, b.Unparsed, append([]Collapse(nil), b.Collapses...)
}

// CoreTime returns the core time used since the first start, and the part of it that went into probes.
func (b *Backend) CoreTime() (all, probes Micros) {
	b.mu.Lock()
	defer b.mu.Unlock()
	all, probes = b.busy, b.probeBusy
	if b.listener != nil {
		all, probes = all+b.core.Busy, probes+b.core.Probes
	}
	return all, probes
}

// Now returns the current state: visits held, whether the backend is slow, and whether it is running.
func (b *Backend) Now() (held int, slow, alive bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.listener == nil {
		return 0, false, false
	}
	b.core.Advance(b.clock.Now())
	b.scheduleWake()
	return b.core.Visits(), b.core.slow, true
}

// scheduleWake sets a timer for the end of the next visit. b.mu is held.
func (b *Backend) scheduleWake() {
	next := b.core.Next()
	if next < 0 || b.alarmAt >= 0 && b.alarmAt <= next {
		return
	}
	b.alarmAt = next
	core := b.core
	b.alarms.At(next, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.core != core || b.listener == nil {
			return
		}
		if b.alarmAt <= b.clock.Now() {
			b.alarmAt = -1
		}
		b.core.Advance(b.clock.Now())
		b.scheduleWake()
	})
}
