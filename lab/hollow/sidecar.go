package hollow

import (
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"ledgespread/brain"
	"ledgespread/brain/due"
	"ledgespread/decide/membership"
	"ledgespread/internal/counters"
	"ledgespread/internal/discovery"
	"ledgespread/internal/extensions"
	"ledgespread/internal/members"
	"ledgespread/internal/peers"
	"ledgespread/internal/site"
)

const (
	eventQueueCapacity = 4096    // capacity of the event queue
	maxListBytes       = 8 << 20 // maximum size in bytes of a discovery answer

	followInterval = 200 * time.Millisecond // minimum interval between membership updates to the balancer
)

// Sidecar is a hollow sidecar that sends and receives messages on its own loopback address, next to real sidecars.
type Sidecar struct {
	*Core
	Counts counters.Set
	Number int

	started            time.Time
	startMicros        brain.Micros // started as Unix time
	events             chan func()
	quit               chan struct{}
	once               sync.Once
	timers             *timerQueue
	peers              *peers.Peers
	watcher            *discovery.Watcher
	group              *members.Members
	account            *Account
	realCount          int            // sidecars with a lower number are real processes: the sender records messages to them
	dropHalf           bool           // drops every other message, to show that the checks detect the loss
	sendCount          int            // messages that the core asked to send
	messageAddress     netip.AddrPort // address that peers send messages to
	configuredSidecars int            // configured number of sidecars, at least 1
	silent             atomic.Bool    // sends no messages

	mu              sync.Mutex
	version         uint64               // of the server list in effect
	inEffectSince   map[uint64]time.Time // time at which each list version took effect
	memberTable     []membership.Member
	senders         int
	followScheduled bool // a call of updatePeers is scheduled
}

// Config is the configuration of a hollow sidecar.
type Config struct {
	Number    int
	Manifest  *site.Manifest
	Group     *extensions.Membership // nil: does not join the membership
	Fleet     *Fleet
	Load      Load
	Account   *Account
	Started   time.Time // start of the run, which is second 0 of the account
	RealCount int       // sidecars with a lower number are real processes
	DropHalf  bool      // drops every other message, to show that the checks detect the loss
}

// Open starts a hollow sidecar: its message socket, its discovery watcher and, if configured, its membership. Simulated
// requests start with the first call of SetRate.
func Open(config Config) (s *Sidecar, err error) {
	manifest := config.Manifest
	s = &Sidecar{Number: config.Number, started: config.Started, startMicros: brain.Micros(config.Started.UnixMicro()), events: make(chan func(), eventQueueCapacity), quit: make(chan struct{}),
		timers: due.New[brain.Micros](), account: config.Account, realCount: config.RealCount, dropHalf: config.DropHalf, inEffectSince: map[uint64]time.Time{}}
	if s.peers, err = peers.Open(manifest.PeerListen, false, manifest.Peers, &s.Counts, zerolog.Nop()); err != nil {
		return nil, err
	}
	if s.messageAddress, err = netip.ParseAddrPort(manifest.PeerListen); err != nil {
		s.peers.Close()
		return nil, err
	}
	s.configuredSidecars = max(1, int(manifest.Number("balancers")))
	zones := manifest.IndexesByName("azs")
	saved, err := discovery.Read(manifest.SavedList, zones)
	if err != nil {
		s.peers.Close()
		return nil, err
	}
	s.version = saved.Version
	s.watcher = discovery.New(manifest.Discovery, zones, saved.Version, manifest.Micros("obligations.ask_every_us"), int(manifest.Number("balancers")), maxListBytes, manifest.Seed,
		s.queueList, &s.Counts, zerolog.Nop())
	s.watcher.LoadSaved(saved)
	if s.Core, err = newCore(manifest, config.Fleet, config.Load, s, saved); err != nil {
		s.peers.Close()
		return nil, err
	}
	if config.Group != nil {
		if err := s.Join(config.Group); err != nil {
			s.peers.Close()
			return nil, err
		}
	}
	go s.run()
	go s.peers.Receive(func(from brain.Peer, kind brain.MessageKind, about brain.ServerID, figures []float64) {
		s.account.Record(s.sinceStart(), from, brain.Peer(s.Number), kind, len(figures))
		s.post(func() { s.handleMessage(from, kind, about, figures) })
	})
	return s, nil
}

// Join starts the membership protocol with these settings.
func (s *Sidecar) Join(settings *extensions.Membership) (err error) {
	s.group, err = members.Open(settings, members.Config{Name: Name(s.Number), Zone: settings.Zone, Version: "hollow", Number: uint16(s.Number), MessageAddress: s.messageAddress,
		Senders: s.configuredSidecars, LongestClientTimeout: time.Second, Seed: Seed(1, "member", s.Number) ^ uint64(time.Now().UnixNano())}, false,
		func(all []membership.Member, senders int) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.memberTable, s.senders = all, senders
			if !s.followScheduled {
				s.followScheduled = true
				time.AfterFunc(followInterval, s.updatePeers)
			}
		}, zerolog.Nop())
	return err
}

// updatePeers limits the message recipients to the live members. The shipped program does so at each membership change; here
// changes are batched, because a whole fleet joins in one process, which would handle each change once per sidecar.
func (s *Sidecar) updatePeers() {
	s.mu.Lock()
	all, senders := s.memberTable, s.senders
	s.followScheduled = false
	s.mu.Unlock()
	s.peers.SetPeers(peers.LiveAddresses(all))
	s.post(func() { s.balancer.SetActiveSidecars(senders) })
}

// Crash stops the sidecar's membership without announcing it, as if the machine had crashed.
func (s *Sidecar) Crash() {
	if s.group != nil {
		s.group.CloseForHandover()
	}
	s.mu.Lock()
	s.memberTable = nil
	s.mu.Unlock()
}

// AliveCount returns the number of other members that this sidecar considers alive.
func (s *Sidecar) AliveCount() (alive int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, member := range s.memberTable {
		if !member.Self && member.State == membership.Alive {
			alive++
		}
	}
	return alive
}

// DeadCount returns how many of the named members this sidecar considers dead or has removed from its table.
func (s *Sidecar) DeadCount(names map[string]bool) (dead int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	dead = len(names)
	for _, member := range s.memberTable {
		if names[string(member.Name)] && member.State <= membership.Suspect {
			dead--
		}
	}
	return dead
}

// MemberCounts returns the membership counters by name, or nil if the sidecar is not a member.
func (s *Sidecar) MemberCounts() map[string]int64 {
	if s.group == nil {
		return nil
	}
	var text strings.Builder
	s.group.WriteTo(&text)
	return ReadCounts(text.String())
}

// ReadCounts parses counters in text form, one name and value per line, and strips the prefix "ledgespread_".
// Lines without a value are skipped.
func ReadCounts(text string) map[string]int64 {
	out := map[string]int64{}
	for line := range strings.Lines(text) {
		name, value, ok := strings.Cut(strings.TrimSpace(line), " ")
		if !ok {
			continue
		}
		number, negative := int64(0), false
		for i, digit := range []byte(value) {
			if i == 0 && digit == '-' {
				negative = true
				continue
			}
			if digit < '0' || digit > '9' {
				break
			}
			number = 10*number + int64(digit-'0')
		}
		if negative {
			number = -number
		}
		out[strings.TrimPrefix(name, "ledgespread_")] = number
	}
	return out
}

// Name returns the member name of the sidecar with this number.
func Name(i int) string { return "n" + itoa(i) }

// SetRate sets the arrival rate in requests per second, from now on.
func (s *Sidecar) SetRate(rate float64) { s.post(func() { s.setRate(rate) }) }

// SetSilent turns the sending of messages to other sidecars off (true) or on again (false).
func (s *Sidecar) SetSilent(on bool) { s.silent.Store(on) }

// Snapshot returns a snapshot of the request counts.
func (s *Sidecar) Snapshot() Tally {
	got := make(chan Tally, 1)
	s.post(func() { got <- s.Tally })
	select {
	case t := <-got:
		return t
	case <-s.quit:
		return s.Tally
	}
}

// InEffectSince returns the earliest time at which this version of the server list, or a later one, was passed to the balancer.
// ok is false if none was.
func (s *Sidecar) InEffectSince(version uint64) (at time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for effective, since := range s.inEffectSince {
		if effective >= version && (!ok || since.Before(at)) {
			at, ok = since, true
		}
	}
	return at, ok
}

// Close stops the sidecar. Further calls do nothing.
func (s *Sidecar) Close() {
	s.once.Do(func() {
		close(s.quit)
		s.peers.Close()
		if s.group != nil {
			s.group.CloseForHandover()
		}
		s.watcher.SetAddress("127.0.0.1:1") // no service listens there, so its calls end
	})
}

func (s *Sidecar) sinceStart() brain.Micros {
	return brain.Micros(time.Since(s.started).Microseconds())
}

func (s *Sidecar) now() brain.Micros { return s.startMicros + s.sinceStart() }

func (s *Sidecar) schedule(t brain.Micros, do func()) { s.timers.Schedule(t, do) }

// send sends a message to a peer and, if that is a real sidecar, records it.
func (s *Sidecar) send(to brain.Peer, kind brain.MessageKind, about brain.ServerID, figures []float64) {
	if s.sendCount++; s.dropHalf && s.sendCount%2 == 0 || s.silent.Load() {
		return
	}
	if int(to) < s.realCount {
		s.account.Record(s.sinceStart(), brain.Peer(s.Number), to, kind, len(figures))
	}
	s.peers.Send(to, kind, about, figures...)
}

func (s *Sidecar) subscribe() { s.watcher.Watch() }

// post queues an event for the event loop; it is dropped once the sidecar is closed.
func (s *Sidecar) post(do func()) {
	select {
	case s.events <- do:
	case <-s.quit:
	}
}

// queueList queues an answer of the discovery service and records when its version took effect.
func (s *Sidecar) queueList(list *discovery.List) {
	s.post(func() {
		s.handleList(list)
		if list == nil {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.version = max(s.version, list.Version); s.inEffectSince[list.Version].IsZero() {
			s.inEffectSince[list.Version] = time.Now()
		}
	})
}

// run is the event loop: like the proxy it handles one event at a time and uses one timer for all wake-ups.
func (s *Sidecar) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	armed := brain.Micros(0)
	for {
		select {
		case <-s.quit:
			return
		case event := <-s.events:
			s.runEvent(event)
		case <-timer.C:
			armed = 0
		}
		s.runEvent(func() { s.timers.RunDue(s.time) })
		if at, ok := s.timers.Next(); ok && (armed == 0 || at < armed) {
			armed = max(at, 1)
			timer.Reset(time.Duration(max(at-s.now(), 0)) * time.Microsecond)
		}
	}
}

// LoopbackAddress returns a loopback address for a run, a purpose and a sidecar number. It depends on the process ID so that concurrent
// processes do not use each other's ports.
func LoopbackAddress(run, purpose, i int, pid int) netip.AddrPort {
	const perPort = 250
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(64 + pid%128), byte(pid >> 7), byte(1 + i%perPort)}),
		uint16(10_000+run%60*200+purpose*40+i/perPort))
}
