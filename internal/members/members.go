// Package members runs the membership protocol of decide/membership on the network: a UDP socket and a TCP listener
// on the same address, one timer, the log and the counters. All protocol decisions are made in decide/membership.
// Membership messages bypass the relay's queue, so a long queue does not delay them.
package members

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/net/ipv4"

	"ledgespread/decide/membership"
	"ledgespread/internal/extensions"
)

const (
	maxTableBytes         = 4 << 20 // of a full exchange, per direction
	maxInboundExchanges   = 8       // concurrent
	maxOutboundExchanges  = 2
	maxOutboundQueries    = 4 // concurrent
	exchangeTimeoutProbes = 8 // timeout of a full exchange, in probe intervals
	readBufferBytes       = 1 << 20
	maxDatagramBytes      = 2048             // above membership.MaxDatagram, to notice oversized ones
	readBatchSize         = 64               // datagrams per system call
	floodThreshold        = 4                // a batch with more dropped datagrams than this is part of a flood
	floodPause            = time.Millisecond // wait after such a batch, so that the next read returns more at once
	filterAfterFloods     = 32               // such batches, before the kernel filter is attached
	seedWarningProbes     = 40               // probe intervals without an answer from a seed, before the warning
	listenRetryInterval   = 50 * time.Millisecond
	maxRateSources        = 4096 // source addresses per second; beyond it, all datagrams until the next second are dropped
)

// Config describes this sidecar to the other members and configures its node.
type Config struct {
	Name, Zone, Version  string
	Number               uint16         // this sidecar's index within the installation
	MessageAddress       netip.AddrPort // where it receives messages between sidecars; the zero value if it doesn't
	Senders              int            // how many sidecars send requests, as configured
	LongestClientTimeout time.Duration  // its longest client timeout; requests may outlast a departed member for as long
	Seed                 uint64
	Delegate             Delegate // nil: no other module attaches messages
}

// Members is this sidecar's membership in the group.
type Members struct {
	settings          *extensions.Membership
	self              Config
	log               zerolog.Logger
	startTime         time.Time
	conn              *net.UDPConn
	listener          *net.TCPListener
	wake              chan struct{}
	outbound, inbound chan bool // semaphores for full exchanges
	queries           chan bool // semaphore for queries
	closed            chan struct{}
	onChange          func([]membership.Member, int) // all members, and how many may be sending requests

	mu              sync.Mutex
	node            *membership.Node
	changed         bool
	counts          map[string]int64
	seedWarningDone bool // the warning about unreachable seeds has been logged

	sourceCounts  map[netip.Addr]int // datagrams in countedSecond; used by receiveDatagrams only
	countedSecond int64
	dropped       [len(dropKinds)]atomic.Int64
}

// dropKinds names the reasons for dropping a datagram before it is decoded. receiveDatagrams counts them without
// taking the lock.
var dropKinds = [...]string{"strangers", "over_rate", "version", "group", "malformed", "too_long", "flood"}

// Indexes into dropKinds of the kinds that this package decides; the node names the others.
const (
	strangerKind = 0
	overRateKind = 1
	tooLongKind  = 5
	floodKind    = len(dropKinds) - 1
)

// Open listens on the configured address and joins the group. onChange is called after each change of the members.
// With waitForAddress, an address that an earlier process of this sidecar still holds is retried in the background.
func Open(settings *extensions.Membership, self Config, waitForAddress bool, onChange func([]membership.Member, int), log zerolog.Logger) (*Members, error) {
	members := &Members{settings: settings, self: self, log: log.With().Str("part", "membership").Logger(), startTime: time.Now(), wake: make(chan struct{}, 1),
		outbound: make(chan bool, maxOutboundExchanges), inbound: make(chan bool, maxInboundExchanges), queries: make(chan bool, maxOutboundQueries), closed: make(chan struct{}), onChange: onChange,
		counts: map[string]int64{}, sourceCounts: map[netip.Addr]int{}}
	about := members.about()
	if !about.Fits() {
		return nil, errors.New("membership: a name is at most 32 bytes long, a zone 24, a version 16")
	}
	if err := members.listen(); err != nil {
		if !waitForAddress {
			return nil, err
		}
		go func() {
			for members.listen() != nil {
				select {
				case <-members.closed:
					return
				case <-time.After(listenRetryInterval):
				}
			}
			members.startNode()
		}()
		return members, nil
	}
	members.startNode()
	return members, nil
}

// about returns what this sidecar announces to the group. Its Life distinguishes processes with the same name.
func (m *Members) about() membership.MemberInfo {
	about := membership.MemberInfo{Name: membership.Name(m.self.Name), Address: encodeAddress(m.settings.Addresses.Advertise), Zone: m.self.Zone, Version: m.self.Version,
		Instance: membership.Instance(m.self.Seed ^ uint64(time.Now().UnixNano())), Number: m.self.Number}
	if m.self.MessageAddress.IsValid() {
		about.BrainAddress = encodeAddress(m.self.MessageAddress)
	}
	return about
}

// listen opens the TCP listener and the UDP socket.
func (m *Members) listen() error {
	listener, err := net.Listen("tcp", m.settings.Listen)
	if err != nil {
		return fmt.Errorf("membership.listen: %w", err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(m.settings.Addresses.Listen))
	if err != nil {
		listener.Close()
		return fmt.Errorf("membership.listen: %w", err)
	}
	conn.SetReadBuffer(readBufferBytes) // as far as the kernel allows
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listener, m.conn = listener.(*net.TCPListener), conn
	return nil
}

// startNode creates the node, starts the goroutines and joins by the seeds.
func (m *Members) startNode() {
	settings := m.settings
	m.mu.Lock()
	m.node = membership.New(m.now(), m.about(), membership.Config{Group: settings.Group, ProbeInterval: membership.Micros(settings.ProbeInterval), ExchangeInterval: membership.Micros(settings.ExchangeInterval),
		DeadRetention: membership.Micros(settings.ForgetAfter), LeaveLinger: membership.Micros(m.self.LongestClientTimeout.Microseconds()), MinSenders: m.self.Senders, MaxMembers: settings.MaxMembers}, m.self.Seed, m)
	if rider := m.self.Delegate; rider != nil {
		rider.Begin(m.now(), m)
		m.node.Piggyback(rider.NextMessage, func(from membership.Name, at membership.Address, message []byte) {
			rider.Receive(m.now(), from, at, message)
		})
	}
	var seeds []membership.Address
	for _, seed := range settings.SeedAddresses {
		if seed != settings.Addresses.Advertise && seed != settings.Addresses.Listen { // skip this sidecar itself
			seeds = append(seeds, encodeAddress(seed))
		}
	}
	m.mu.Unlock()
	go m.receiveDatagrams()
	go m.accept()
	go m.run(len(seeds) > 0)
	m.update(func(now membership.Micros) { m.node.Join(now, seeds) })
	m.log.Info().Str("listen", settings.Listen).Str("group", settings.Group).Msg("membership started")
}

// RaiseClientTimeout raises the longest client timeout. A lower value than before is ignored, since requests with the old timeout
// may be in progress.
func (m *Members) RaiseClientTimeout(longest time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.self.LongestClientTimeout = max(m.self.LongestClientTimeout, longest); m.node != nil {
		m.node.RaiseLinger(membership.Micros(m.self.LongestClientTimeout.Microseconds()))
	}
}

// now returns the time since the start, the clock of the node.
func (m *Members) now() membership.Micros {
	return membership.Micros(time.Since(m.startTime).Microseconds())
}

// update runs call on the node with the lock held, wakes the timer if the next deadline became earlier, and reports
// changed members to onChange. A panic over one message is logged and does not end the sidecar.
func (m *Members) update(call func(now membership.Micros)) {
	var all []membership.Member
	senders := 0
	func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		defer func() {
			if panicked := recover(); panicked != nil {
				m.counts["crashes"]++
				m.log.Error().Msgf("membership crashed: %v", panicked)
			}
		}()
		if m.node == nil { // still waiting for the address
			return
		}
		before := m.due()
		call(m.now())
		if m.due() < before {
			select {
			case m.wake <- struct{}{}:
			default:
			}
		}
		if m.changed {
			m.changed = false
			senders = m.node.Senders()
			m.node.Each(func(x membership.Member) { all = append(all, x) })
		}
	}()
	if all != nil && m.onChange != nil {
		m.onChange(all, senders)
	}
}

// run calls tick whenever it is due, and warns once if no seed has answered for a while.
func (m *Members) run(seeded bool) {
	timer := time.NewTimer(0)
	seedDeadline := m.startTime.Add(seedWarningProbes * time.Duration(m.settings.ProbeInterval) * time.Microsecond)
	for {
		select {
		case <-m.closed:
			return
		case <-m.wake:
		case <-timer.C:
			m.update(m.tick)
		}
		m.mu.Lock()
		delay := m.due() - m.now()
		if part, _ := m.node.Side(); seeded && !m.seedWarningDone && part == membership.Isolated && time.Now().After(seedDeadline) {
			m.seedWarningDone = true
			m.log.Warn().Strs("seeds", m.settings.Seeds).Msg("no seed answers; going on alone, and asking now and then")
		}
		m.mu.Unlock()
		timer.Reset(max(time.Duration(delay)*time.Microsecond, 0))
	}
}

// due returns the time of the next tick. The caller holds the lock.
func (m *Members) due() membership.Micros {
	if m.self.Delegate == nil {
		return m.node.Due()
	}
	return min(m.node.Due(), m.self.Delegate.Due())
}

// tick runs the due work of the node and the delegate.
func (m *Members) tick(now membership.Micros) {
	m.node.Tick(now)
	if m.self.Delegate != nil {
		m.self.Delegate.Tick(now)
	}
}

// receiveDatagrams reads datagrams in batches until the socket is closed. Unwanted ones are dropped before
// decoding and before taking the lock. During a flood it pauses between two reads, so that one wakeup handles many datagrams.
func (m *Members) receiveDatagrams() {
	floods := 0
	batch := make([]ipv4.Message, readBatchSize)
	for i := range batch {
		batch[i].Buffers = [][]byte{make([]byte, maxDatagramBytes)}
	}
	conn, filter := ipv4.NewPacketConn(m.conn), kernelFilter{}
	filter.socket, _ = m.conn.SyscallConn()
	for {
		if !filter.attachedUntil.IsZero() && time.Now().After(filter.attachedUntil) {
			m.dropped[floodKind].Add(int64(filter.detach()))
		}
		received, err := conn.ReadBatch(batch, 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		dropped := 0
		for _, datagram := range batch[:max(received, 0)] {
			from, isUDP := datagram.Addr.(*net.UDPAddr)
			if !isUDP {
				continue
			}
			at, msg := from.AddrPort(), datagram.Buffers[0][:datagram.N]
			at = netip.AddrPortFrom(at.Addr().Unmap(), at.Port())
			if kind := m.dropKind(at.Addr(), msg); kind >= 0 {
				m.dropped[kind].Add(1)
				dropped++
				continue
			}
			msg = slices.Clone(msg)
			m.update(func(now membership.Micros) {
				if m.node.HandleDatagram(now, encodeAddress(at), msg) {
					m.counts["heard"]++
					m.counts["heard_bytes"] += int64(len(msg))
				}
			})
		}
		if dropped > floodThreshold && filter.attachedUntil.IsZero() {
			if floods++; floods >= filterAfterFloods {
				floods = 0
				if err := filter.attach(m.node.MessagePrefix()); err != nil {
					m.log.Debug().Err(err).Msg("kernel rejected the socket filter")
				}
			}
			time.Sleep(floodPause)
		}
	}
}

// dropKind returns the index in dropKinds of the reason to drop a datagram, or -1 to keep it. It decodes
// nothing, since a flood must not take up this member's time. Only addresses in allowed networks count for the rate
// limit.
func (m *Members) dropKind(from netip.Addr, msg []byte) int {
	if !m.allowed(from) {
		return strangerKind
	}
	if now := int64(m.now()) / 1_000_000; now != m.countedSecond {
		m.countedSecond = now
		clear(m.sourceCounts)
	}
	if m.sourceCounts[from]++; float64(m.sourceCounts[from]) > float64(m.settings.RatePerAddress) || len(m.sourceCounts) > maxRateSources {
		return overRateKind
	}
	if len(msg) > membership.MaxDatagram {
		return tooLongKind
	}
	return slices.Index(dropKinds[:], m.node.CheckHeader(msg))
}

// allowed reports whether an address is in one of the configured networks.
func (m *Members) allowed(from netip.Addr) bool {
	return slices.ContainsFunc(m.settings.SourcePrefixes, func(n netip.Prefix) bool { return n.Contains(from) })
}

// Send sends one datagram for the node, which holds the lock. Failures are ignored, as datagrams may be lost anyway.
func (m *Members) Send(to membership.Name, at membership.Address, msg []byte) {
	target, ok := m.resolve(to, at)
	if !ok {
		return
	}
	if _, err := m.conn.WriteToUDPAddrPort(msg, target); err == nil {
		m.counts["sent"]++
		m.counts["sent_bytes"] += int64(len(msg))
	}
}

// resolve returns the address of a member: from the configured address book, or else the one it announced, if allowed.
func (m *Members) resolve(to membership.Name, at membership.Address) (netip.AddrPort, bool) {
	if configured, known := m.settings.ReachAddresses[string(to)]; known {
		return configured, true
	}
	var where netip.AddrPort
	err := where.UnmarshalBinary([]byte(at))
	return where, err == nil && where.IsValid() && m.allowed(where.Addr())
}

// encodeAddress converts an address to the form that messages carry.
func encodeAddress(at netip.AddrPort) membership.Address {
	b, _ := at.MarshalBinary()
	return membership.Address(b)
}

// formatAddress returns an encoded address as text, empty if malformed.
func formatAddress(at membership.Address) string {
	var where netip.AddrPort
	if where.UnmarshalBinary([]byte(at)) != nil {
		return ""
	}
	return where.String()
}

// Leave announces that this sidecar leaves the group for good, and closes its sockets.
func (m *Members) Leave() { m.close(true) }

// CloseForHandover closes the sockets without an announcement, so that a new process of the same sidecar takes over the address.
func (m *Members) CloseForHandover() { m.close(false) }

// close stops the timer and closes the sockets, which ends the receiving goroutines. Further calls do nothing.
func (m *Members) close(leave bool) {
	m.mu.Lock()
	select {
	case <-m.closed:
		m.mu.Unlock()
		return
	default:
	}
	close(m.closed)
	node, conn, listener := m.node, m.conn, m.listener
	if node != nil && leave {
		node.Leave(m.now())
	}
	m.mu.Unlock()
	if conn != nil {
		conn.Close()
		listener.Close()
	}
}
