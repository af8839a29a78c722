// Package members carries decide/membership out on sockets: one address for datagrams and connections, one timer, the log
// and the counters. It decides nothing. Its messages never pass the relay's mail, so they go out however long that is.
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
	tableMost     = 4 << 20 // bytes of a full exchange, one way
	exchangesIn   = 8       // at once
	exchangesOut  = 2
	asksOut       = 4 // questions at once
	exchangeParts = 8 // of the time between two probes that a full exchange may take
	readBuffer    = 1 << 20
	datagramMost  = 2048 // read; what is longer than a message may be is refused
	inOneGo       = 64   // datagrams read at a time
	floodOf       = 4    // of these dropped: a flood; it is left to gather for so long
	floodRest     = time.Millisecond
	floodsMost    = 32 // such readings, then the kernel keeps out what it can tell
	handoverLook  = 50 * time.Millisecond
	sourcesMost   = 4096 // addresses that are counted within a second
)

// Self is what this sidecar says of itself, and what its node has to know.
type Self struct {
	Name, Zone, Version string
	Number              uint16
	Notes               netip.AddrPort // where it hears the module's messages; none: not valid
	Senders             int
	Linger              time.Duration // its longest client timeout
	Seed                uint64
	Rider               Rider // nil: nothing rides on its messages
}

// Rider is another module, whose words ride on membership's messages and whose contents go over its connections. It is called with the
// lock held, but for Answer.
type Rider interface {
	Begin(now membership.Micros, m *Members)
	Word(room int) []byte
	Heard(now membership.Micros, from membership.Name, at membership.Address, word []byte)
	Due() membership.Micros
	Tick(now membership.Micros)
	Answer(msg []byte, from netip.Addr) (reply []byte, mine bool)
}

// Members is this sidecar's membership.
type Members struct {
	terms    *extensions.Membership
	self     Self
	log      zerolog.Logger
	start    time.Time
	conn     *net.UDPConn
	listener *net.TCPListener
	wake     chan struct{}
	out, in  chan bool // places for exchanges
	asks     chan bool // and for questions
	closed   chan struct{}
	told     func([]membership.Member, int) // who there is, and how many may be sending

	mu      sync.Mutex
	node    *membership.Node
	changed bool
	counts  map[string]int64
	noSeed  bool // that none answers is told

	rates   map[netip.Addr]int // the reader's
	second  int64
	dropped [len(drops)]atomic.Int64
}

// drops are the kinds that are dropped before anything is decoded; the reader counts them alone.
var drops = [...]string{"strangers", "over_rate", "version", "group", "malformed", "too_long", "flood"}

const flooded = len(drops) - 1

// Open takes the address and begins. told hears who is there, at each change. patient: the address is another process's of
// this sidecar still; it is waited for.
func Open(t *extensions.Membership, self Self, patient bool, told func([]membership.Member, int), log zerolog.Logger) (*Members, error) {
	m := &Members{terms: t, self: self, log: log.With().Str("part", "membership").Logger(), start: time.Now(), wake: make(chan struct{}, 1),
		out: make(chan bool, exchangesOut), in: make(chan bool, exchangesIn), asks: make(chan bool, asksOut), closed: make(chan struct{}), told: told,
		counts: map[string]int64{}, rates: map[netip.Addr]int{}}
	about := m.about()
	if !about.Fits() {
		return nil, errors.New("membership: a name is at most 32 bytes long, a zone 24, a version 16")
	}
	if err := m.listen(); err != nil {
		if !patient {
			return nil, err
		}
		go func() {
			for m.listen() != nil {
				select {
				case <-m.closed:
					return
				case <-time.After(handoverLook):
				}
			}
			m.begin()
		}()
		return m, nil
	}
	m.begin()
	return m, nil
}

func (m *Members) about() membership.About {
	a := membership.About{Name: membership.Name(m.self.Name), Address: address(m.terms.At.Advertise), Zone: m.self.Zone, Version: m.self.Version,
		Life: membership.Life(m.self.Seed ^ uint64(time.Now().UnixNano())), Number: m.self.Number}
	if m.self.Notes.IsValid() {
		a.Notes = address(m.self.Notes)
	}
	return a
}

func (m *Members) listen() error {
	ln, err := net.Listen("tcp", m.terms.Listen)
	if err != nil {
		return fmt.Errorf("membership.listen: %w", err)
	}
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(m.terms.At.Listen))
	if err != nil {
		ln.Close()
		return fmt.Errorf("membership.listen: %w", err)
	}
	c.SetReadBuffer(readBuffer) // as far as the kernel allows
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listener, m.conn = ln.(*net.TCPListener), c
	return nil
}

func (m *Members) begin() {
	t := m.terms
	m.mu.Lock()
	m.node = membership.New(m.now(), m.about(), membership.Terms{Group: t.Group, Every: membership.Micros(t.Every), Exchange: membership.Micros(t.Exchange),
		Forget: membership.Micros(t.Forget), Linger: membership.Micros(m.self.Linger.Microseconds()), Senders: m.self.Senders, Most: t.Most}, m.self.Seed, m)
	if rider := m.self.Rider; rider != nil {
		rider.Begin(m.now(), m)
		m.node.Piggyback(rider.Word, func(from membership.Name, at membership.Address, word []byte) { rider.Heard(m.now(), from, at, word) })
	}
	var seeds []membership.Address
	for _, at := range t.SeedsAt {
		if at != t.At.Advertise && at != t.At.Listen { // itself
			seeds = append(seeds, address(at))
		}
	}
	m.mu.Unlock()
	go m.hear()
	go m.accept()
	go m.run(len(seeds) > 0)
	m.turn(func(now membership.Micros) { m.node.Join(now, seeds) })
	m.log.Info().Str("listen", t.Listen).Str("group", t.Group).Msg("a member")
}

// Linger hears that clients may wait for so long from now on; for less than before counts for nothing.
func (m *Members) Linger(longest time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.self.Linger = max(m.self.Linger, longest); m.node != nil {
		m.node.Lingers(membership.Micros(m.self.Linger.Microseconds()))
	}
}

func (m *Members) now() membership.Micros {
	return membership.Micros(time.Since(m.start).Microseconds())
}

// turn makes one call of the node. One message's panic does not end the sidecar.
func (m *Members) turn(call func(now membership.Micros)) {
	var all []membership.Member
	senders := 0
	func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		defer func() {
			if crash := recover(); crash != nil {
				m.counts["crashes"]++
				m.log.Error().Msgf("membership crashed: %v", crash)
			}
		}()
		if m.node == nil { // it waits for its address
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
	if all != nil && m.told != nil {
		m.told(all, senders)
	}
}

// run has the node do what is due: the one timer.
func (m *Members) run(seeded bool) {
	timer := time.NewTimer(0)
	look := m.start.Add(40 * time.Duration(m.terms.Every) * time.Microsecond)
	for {
		select {
		case <-m.closed:
			return
		case <-m.wake:
		case <-timer.C:
			m.turn(m.tick)
		}
		m.mu.Lock()
		in := m.due() - m.now()
		if part, _ := m.node.Part(); seeded && !m.noSeed && part == membership.Alone && time.Now().After(look) {
			m.noSeed = true
			m.log.Warn().Strs("seeds", m.terms.Seeds).Msg("no seed answers; going on alone, and asking now and then")
		}
		m.mu.Unlock()
		timer.Reset(max(time.Duration(in)*time.Microsecond, 0))
	}
}

// due is when tick is to be called.
func (m *Members) due() membership.Micros {
	if m.self.Rider == nil {
		return m.node.Due()
	}
	return min(m.node.Due(), m.self.Rider.Due())
}

func (m *Members) tick(now membership.Micros) {
	m.node.Tick(now)
	if m.self.Rider != nil {
		m.self.Rider.Tick(now)
	}
}

// hear takes datagrams, as many at a time as wait. What is foreign is dropped before it is decoded, and before the lock. A
// flood is left to gather for a moment between two readings, so that one waking serves for many.
func (m *Members) hear() {
	floods := 0
	batch := make([]ipv4.Message, inOneGo)
	for i := range batch {
		batch[i].Buffers = [][]byte{make([]byte, datagramMost)}
	}
	conn, dam := ipv4.NewPacketConn(m.conn), dam{}
	dam.socket, _ = m.conn.SyscallConn()
	for {
		if !dam.until.IsZero() && time.Now().After(dam.until) {
			m.dropped[flooded].Add(int64(dam.open()))
		}
		many, err := conn.ReadBatch(batch, 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		dropped := 0
		for _, one := range batch[:max(many, 0)] {
			from, known := one.Addr.(*net.UDPAddr)
			if !known {
				continue
			}
			at, msg := from.AddrPort(), one.Buffers[0][:one.N]
			at = netip.AddrPortFrom(at.Addr().Unmap(), at.Port())
			if kind := m.foreign(at.Addr(), msg); kind >= 0 {
				m.dropped[kind].Add(1)
				dropped++
				continue
			}
			msg = slices.Clone(msg)
			m.turn(func(now membership.Micros) {
				if m.node.Heard(now, address(at), msg) {
					m.counts["heard"]++
					m.counts["heard_bytes"] += int64(len(msg))
				}
			})
		}
		if dropped > floodOf && dam.until.IsZero() {
			if floods++; floods >= floodsMost { // again and again: the kernel is asked to keep it out for a while
				floods = 0
				if err := dam.close(m.node.Opening()); err != nil {
					m.log.Debug().Err(err).Msg("the kernel takes no filter")
				}
			}
			time.Sleep(floodRest)
		}
	}
}

// foreign tells which kind of drop a datagram is, -1: none. Its rate counts for an address only once it is in a network that
// may speak. A flood must not take this member's time.
func (m *Members) foreign(from netip.Addr, msg []byte) int {
	if !m.may(from) {
		return 0
	}
	if now := int64(m.now()) / 1_000_000; now != m.second {
		m.second = now
		clear(m.rates)
	}
	if m.rates[from]++; float64(m.rates[from]) > float64(m.terms.PerSource) || len(m.rates) > sourcesMost {
		return 1
	}
	if len(msg) > membership.Longest {
		return 5
	}
	return slices.Index(drops[:], m.node.Foreign(msg))
}

func (m *Members) may(from netip.Addr) bool {
	return slices.ContainsFunc(m.terms.Networks, func(n netip.Prefix) bool { return n.Contains(from) })
}

// Send is the node's: one datagram.
func (m *Members) Send(to membership.Name, at membership.Address, msg []byte) {
	where, ok := m.where(to, at)
	if !ok {
		return
	}
	if _, err := m.conn.WriteToUDPAddrPort(msg, where); err == nil {
		m.counts["sent"]++
		m.counts["sent_bytes"] += int64(len(msg))
	}
}

// where a member is reached: by this one's own book, or else where it says.
func (m *Members) where(to membership.Name, at membership.Address) (netip.AddrPort, bool) {
	if where, known := m.terms.Book[string(to)]; known {
		return where, true
	}
	var where netip.AddrPort
	err := where.UnmarshalBinary([]byte(at))
	return where, err == nil && where.IsValid() && m.may(where.Addr())
}

func address(at netip.AddrPort) membership.Address {
	b, _ := at.MarshalBinary()
	return membership.Address(b)
}

// spell is the way back.
func spell(at membership.Address) string {
	var where netip.AddrPort
	if where.UnmarshalBinary([]byte(at)) != nil {
		return ""
	}
	return where.String()
}

func (m *Members) count(what string) { m.add(what, 1) }

func (m *Members) add(what string, many int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[what] += int64(many)
}

// Leave says that this sidecar goes for good. Hand gives the address to a new process of the same sidecar, without a word.
func (m *Members) Leave() { m.close(true) }
func (m *Members) Hand()  { m.close(false) }

func (m *Members) close(leave bool) {
	m.mu.Lock()
	select {
	case <-m.closed:
		m.mu.Unlock()
		return
	default:
	}
	close(m.closed)
	node, conn, ln := m.node, m.conn, m.listener
	if node != nil && leave {
		node.Leave(m.now())
	}
	m.mu.Unlock()
	if conn != nil {
		conn.Close()
		ln.Close()
	}
}
