package backend

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"

	"ledgespread/lab/chance"
	"ledgespread/lab/clock"
	"ledgespread/lab/scenario"
	"ledgespread/lab/wire"
)

// Backend is a stand-in on a socket, with its account.
type Backend struct {
	Name, Zone, Model string
	Cell              int
	Make              scenario.Backend

	clock    *clock.Clock
	alarms   *clock.Alarms
	rules    scenario.Rules
	prefixes []scenario.Prefix
	marks    []*Marks // by path prefix, shared with its group
	markLock *sync.Mutex
	body     string
	draw     *chance.Source
	meanWork float64

	mu        sync.Mutex
	core      *Core
	address   string
	listener  net.Listener
	conns     map[*conn]bool
	draining  bool
	mute      bool
	errors    float64
	spoil     float64
	alarmAt   Micros
	report    string
	reportAt  Micros
	account   []*Entry
	Opened    int // connections, in all
	Most      int // at once
	Probed    int
	Unread    int // messages that were none
	Felled    []Felled
	BornAt    Micros
	Died      []Micros
	busy      Micros // of lives that are over
	probeBusy Micros
}

// Felled tells when a cold backend was pushed over, and by which visits.
type Felled struct {
	At Micros
	By []string
}

// Groups are the marks of a whole fleet: one for each path prefix and group.
type Groups struct {
	lock  sync.Mutex
	marks map[string]*Marks
}

// NewGroups knows no tags.
func NewGroups() *Groups { return &Groups{marks: map[string]*Marks{}} }

// GroupOf names the backends that know a backend's tags.
func GroupOf(p scenario.Prefix, zone string, cell int) string {
	switch p.Group {
	case "zone":
		return p.Name + "/" + zone
	case "cell":
		return p.Name + "/" + strconv.Itoa(cell)
	}
	return p.Name
}

// New makes a backend; Start puts it on its socket.
func New(name string, m scenario.Backend, s *scenario.Scenario, seed uint64, groups *Groups, c *clock.Clock, a *clock.Alarms) *Backend {
	b := &Backend{Name: name, Zone: m.Zone, Model: m.Model, Cell: m.Cell, Make: m, clock: c, alarms: a, rules: s.Rules,
		prefixes: s.Prefixes, meanWork: s.MeanWork(), markLock: &groups.lock, body: strings.Repeat("x", s.Traffic.BodyBytes),
		draw: chance.New(seed, "backend "+name), conns: map[*conn]bool{}}
	for _, p := range s.Prefixes {
		group := GroupOf(p, m.Zone, m.Cell)
		if groups.marks[group] == nil && p.Effect == "tagged" {
			groups.marks[group] = NewMarks(p.Memory.M())
		}
		b.marks = append(b.marks, groups.marks[group])
	}
	return b
}

// Start begins a life at an address of this machine, "" for any that is free; the address it got holds for all lives.
func (b *Backend) Start(at string, cold bool) error {
	if at == "" {
		at = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.core = NewCore(b.Make, b.rules, now, cold, func(by []string) {
		b.Felled = append(b.Felled, Felled{b.clock.Now(), by})
		go b.Kill()
	})
	b.core.MeanWork = b.meanWork
	b.listener, b.address, b.BornAt, b.draining, b.alarmAt = ln, ln.Addr().String(), now, false, -1
	go b.accept(ln)
	return nil
}

// Address is where it listens, or last did.
func (b *Backend) Address() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.address
}

// Kill ends a life: connections are reset, new ones refused.
func (b *Backend) Kill() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.listener == nil {
		return
	}
	b.listener.Close()
	b.listener = nil
	for c := range b.conns {
		c.tcp.SetLinger(0)
		c.tcp.Close()
	}
	b.core.Die(b.clock.Now())
	b.busy, b.probeBusy = b.busy+b.core.Busy, b.probeBusy+b.core.Probes
	b.Died = append(b.Died, b.clock.Now())
}

// Alive tells whether it listens.
func (b *Backend) Alive() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.listener != nil
}

// Trouble makes a change to a backend that runs: faults, and their end.
func (b *Backend) Trouble(change func(now Micros, c *Core)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.listener != nil {
		change(b.clock.Now(), b.core)
		b.arm()
	}
}

// SetDraining has a backend turn away what is new, unseen.
func (b *Backend) SetDraining(on bool) { b.mu.Lock(); b.draining = on; b.mu.Unlock() }

// SetMute has a backend take what comes and answer nothing.
func (b *Backend) SetMute(on bool) { b.mu.Lock(); b.mute = on; b.mu.Unlock() }

// SetErrors has a backend answer this part of all with an error.
func (b *Backend) SetErrors(part float64) { b.mu.Lock(); b.errors = part; b.mu.Unlock() }

// SetSpoil has a backend spoil this part of its answers.
func (b *Backend) SetSpoil(part float64) { b.mu.Lock(); b.spoil = part; b.mu.Unlock() }

// Account is what the backend saw by now, in the order it came.
func (b *Backend) Account() (out []*Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.listener != nil {
		b.core.Advance(b.clock.Now())
		b.arm()
	}
	for _, e := range b.account {
		line := *e
		if line.finished, line.at = nil, nil; line.Fate == Waiting {
			line.Ended = -1
		}
		out = append(out, &line)
	}
	return out
}

// Tally is what the backend counted beside its account: connections opened, the most at once, probes, messages that were none.
func (b *Backend) Tally() (opened, most, probed, unread int, felled []Felled) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Opened, b.Most, b.Probed, b.Unread, append([]Felled(nil), b.Felled...)
}

// Spent is the core time of all lives, and how much of it went into probes.
func (b *Backend) Spent() (all, probes Micros) {
	b.mu.Lock()
	defer b.mu.Unlock()
	all, probes = b.busy, b.probeBusy
	if b.listener != nil {
		all, probes = all+b.core.Busy, probes+b.core.Probes
	}
	return all, probes
}

// Now is a look at it: visits held, and whether it turned slow.
func (b *Backend) Now() (held int, slow, alive bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.listener == nil {
		return 0, false, false
	}
	b.core.Advance(b.clock.Now())
	b.arm()
	return b.core.Holds(), b.core.slow, true
}

// arm has the backend woken when its next visit is done. Called with the lock held.
func (b *Backend) arm() {
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
		b.arm()
	})
}

// conn is one connection: a goroutine reads it, ends of visits write to it.
type conn struct {
	tcp     *net.TCPConn
	fresh   bool
	open    *Entry // the visit on it
	backend *Backend
}

func (b *Backend) accept(ln net.Listener) {
	for {
		tcp, err := ln.Accept()
		if err != nil {
			return
		}
		c := &conn{tcp: tcp.(*net.TCPConn), fresh: true, backend: b}
		b.mu.Lock()
		if b.listener != ln {
			b.mu.Unlock()
			tcp.Close()
			return
		}
		b.Opened++
		b.conns[c] = true
		b.Most = max(b.Most, len(b.conns))
		over := len(b.conns) > b.Make.Connections
		b.core.Spend(b.clock.Now(), b.Make.HandshakeOf.M(), false)
		b.arm()
		b.mu.Unlock()
		go c.read(over)
	}
}

// read takes messages until the other side goes, and calls off what it left behind.
func (c *conn) read(over bool) {
	b := c.backend
	in := bufio.NewReaderSize(c.tcp, 8<<10)
	defer func() {
		c.tcp.Close()
		b.mu.Lock()
		delete(b.conns, c)
		if c.open != nil && b.listener != nil {
			b.core.CallOff(b.clock.Now(), c.open)
			b.arm()
		}
		b.mu.Unlock()
	}()
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		first := b.clock.Now()
		head, err := wire.ReadHead(in)
		if err != nil {
			b.unread()
			return
		}
		if _, err := head.Body(in); err != nil {
			b.unread()
			return
		}
		if c.fresh {
			if c.fresh = false; b.Make.Handshake > 0 {
				clock.Micros(b.Make.Handshake).Sleep()
			}
		}
		if !c.message(head, first, over) {
			return
		}
	}
}

// patience reads how long a sidecar says that it waits: a number and a unit.
func patience(text string) Micros {
	number, unit := strings.TrimRight(text, "mu"), Micros(1)
	if strings.HasSuffix(text, "m") {
		unit = clock.Milli
	}
	if value, err := strconv.ParseFloat(number, 64); err == nil {
		return Micros(value * float64(unit))
	}
	return -1
}

func (b *Backend) unread() {
	b.mu.Lock()
	b.Unread++
	b.mu.Unlock()
}

func (c *conn) write(bytes []byte) { c.tcp.Write(bytes) }

// message takes one; false ends the connection.
func (c *conn) message(head wire.Head, first Micros, over bool) bool {
	b := c.backend
	path, query, err := head.Target()
	if err != nil {
		b.unread()
		c.write(wire.Answer(400, "", "Connection: close"))
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if b.listener == nil || c.open != nil { // one visit at a time on a connection
		return false
	}
	if path == "/-/healthy" || path == "/-/load" {
		b.Probed++
		b.core.Spend(now, b.Make.ProbeWork.M(), true)
		b.arm()
		if !b.mute {
			c.write(b.health(now, path))
		}
		return true
	}
	prefix := -1
	for i, p := range b.prefixes {
		if strings.HasPrefix(path, "/"+p.Name+"/") || path == "/"+p.Name {
			prefix = i
		}
	}
	id := head.Fields["x-request-id"]
	if id == "" || prefix < 0 {
		c.write(wire.Answer(404, ""))
		return true
	}
	work, _ := strconv.ParseInt(query.Get("w"), 10, 64)
	key, _ := strconv.ParseUint(query.Get("k"), 10, 64)
	e := &Entry{Backend: b.Name, ID: id, Tag: head.Fields["idempotency-key"], Prefix: prefix,
		Tenant: head.Fields["x-tenant-id"], Key: key, Work: max(1, Micros(work)), First: first, Patience: patience(head.Fields["x-timeout"])}
	b.account = append(b.account, e)
	if b.draining || over {
		e.Came, e.Began, e.Ended, e.Fate = now, -1, now, TurnedAway
		c.write(wire.Answer(503, "", "X-Not-Processed: 1"))
		return true
	}
	if b.mute {
		e.Came, e.Began, e.Ended, e.Fate = now, -1, now, Mute
		return true
	}
	c.open = e
	b.core.Offer(now, e, c.finished)
	b.arm()
	return true
}

// finished is told the end of a visit, with the backend's lock held.
func (c *conn) finished(e *Entry) {
	b := c.backend
	if c.open == e {
		c.open = nil
	}
	switch e.Fate {
	case Died, CalledOff:
		return
	case TurnedAway:
		c.write(wire.Answer(503, "", "X-Not-Processed: 1"))
		return
	}
	b.markLock.Lock()
	if b.marks[e.Prefix].known(e.Tag, e.Began) {
		e.Fate = Repeat
	}
	b.markLock.Unlock()
	switch chance := b.draw.Float(); {
	case chance < b.errors:
		e.Fate = Errored
		c.write(wire.Answer(500, ""))
	case chance < b.errors+b.spoil:
		e.Fate = Spoilt
		c.write(spoilt[b.draw.Below(len(spoilt))])
	default:
		c.write(wire.Answer(200, e.ID+" "+b.Name+" "+b.body))
	}
}

// spoilt are answers that can't be believed; the connection stays open behind them.
var spoilt = [][]byte{
	[]byte("\x00\x17noise\xff\xfe\r\n\r\n"),
	[]byte("HTTP/1.1 200 OK\r\nContent-Length: twelve\r\n\r\nhello, world"),
	[]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 12\r\n\r\nhello, world"),
	[]byte("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand so on"),
	append([]byte("HTTP/1.1 200 OK\r\nX-Endless: "), bytes.Repeat([]byte("e"), 40<<10)...),
}

// health answers a probe; a load report is as old as its period.
func (b *Backend) health(now Micros, path string) []byte {
	if b.report == "" || now >= b.reportAt+b.Make.ReportEvery.M() {
		b.core.Advance(now)
		b.report, b.reportAt = fmt.Sprintf(`{"inflight":%d}`, b.core.Holds()), now
	}
	status := 200
	if b.draining {
		status = 503
	}
	if path == "/-/load" {
		return wire.Answer(status, b.report, "X-Server-Load: "+b.report)
	}
	return wire.Answer(status, "", "X-Server-Load: "+b.report)
}
