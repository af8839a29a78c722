// Package clients sends a plan's visits to sidecars, open-loop: a visit is sent when it is due, whatever became of those
// before it, and its latency counts from then. This prevents a load that waits politely for a slow sidecar and so
// never sees how slow it is (coordinated omission).
package clients

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ledgespread/lab/clock"
	"ledgespread/lab/plan"
	"ledgespread/lab/scenario"
	"ledgespread/lab/wire"
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

// crossing is the most that may lie between a message's last byte and the end of a kept connection for the two to have
// crossed. One that was closed later had its message read: what was on it is lost.
const crossing = 10 * clock.Milli

// grace is waited beyond the client timeout, so that the account tells a late answer from none.
const grace = 60 * clock.Milli

// try sends once and waits for the answer. Where a kept connection turns out to be closed before a byte of an answer
// came, the message crossed the closing and goes once more on a new one, as the protocol says.
func (cs *Clients) try(t *Try, v plan.Visit, p scenario.Prefix) {
	pool := cs.pools[t.Sidecar]
	end := func(how How, why string) { t.How, t.Why, t.Ended = how, why, cs.clock.Now() }
	for again := false; ; again = true {
		now := cs.clock.Now()
		until := t.Until
		if v.Leaves > 0 {
			until = min(until, t.Due+v.Leaves)
		}
		if now >= until {
			end(Never, "its time was up before it could be sent")
			return
		}
		c, kept, err := pool.take(again, (until - now).Duration())
		if err != nil {
			end(Unreachable, err.Error())
			return
		}
		cs.Count[CountSent].Add(1)
		now = cs.clock.Now()
		c.tcp.SetDeadline(time.Now().Add((until + grace - now).Duration()))
		if v.Leaves > 0 {
			c.tcp.SetDeadline(time.Now().Add((until - now).Duration()))
		}
		_, err = c.tcp.Write(cs.message(t, v, p, pool.address, t.Until-now))
		t.Sent = cs.clock.Now()
		var head wire.Head
		var body []byte
		if err == nil {
			if head, err = wire.ReadHead(c.in); err == nil {
				body, err = head.Body(c.in)
			}
		}
		if err != nil {
			c.tcp.Close()
			pool.gone()
			switch {
			case errors.Is(err, os.ErrDeadlineExceeded) && v.Leaves > 0:
				end(Left, "")
			case errors.Is(err, os.ErrDeadlineExceeded):
				end(Lost, "no answer in time")
			case kept && !again && head.Bytes == 0 && cs.clock.Now() < t.Sent+crossing && !errors.Is(err, io.ErrUnexpectedEOF):
				continue
			default:
				end(Lost, err.Error())
			}
			return
		}
		t.Ended = cs.clock.Now()
		t.Status = head.Status()
		if seconds, err := strconv.ParseFloat(head.Fields["retry-after"], 64); err == nil {
			t.ComeBack = Micros(seconds * float64(clock.Second))
		}
		switch {
		case t.Status == 200 && bytes.HasPrefix(body, []byte(t.ID+" ")):
			t.How = Delivered
		case t.Status == 200:
			t.How, t.Why = Foreign, fmt.Sprintf("%.60q", body)
		case t.Status == 429 || t.Status == 503:
			t.How = Bounced
		case t.Status >= 400 && t.Status < 500:
			t.How, t.Why = Refused, fmt.Sprintf("%d %.60q", t.Status, body)
		default:
			t.How = Errored
		}
		if head.Closes() || t.Status >= 400 && t.Status < 500 {
			c.tcp.Close()
			pool.gone()
		} else {
			pool.keep(c)
		}
		return
	}
}

// message is a visit's bytes. What backends need to know of it stands in the query, which goes on unchanged.
func (cs *Clients) message(t *Try, v plan.Visit, p scenario.Prefix, host string, left Micros) []byte {
	var b bytes.Buffer
	method, body := "GET", ""
	if p.Effect != "read_like" {
		method, body = "POST", "bay=7&until=18:30"
	}
	fmt.Fprintf(&b, "%s /%s/x?w=%d&k=%d HTTP/1.1\r\nHost: %s\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Timeout: %du\r\n",
		method, p.Name, v.Work, v.Key, host, t.ID, p.Name, max(1, left))
	if t.Tag != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", t.Tag)
	}
	if v.Tenant >= 0 {
		fmt.Fprintf(&b, "X-Tenant-Id: %s\r\n", cs.s.Tenants[v.Tenant].Name)
	}
	if v.Key != 0 {
		fmt.Fprintf(&b, "X-Attrs: target_key=%d\r\n", v.Key)
	}
	if cs.s.Traffic.Hints {
		fmt.Fprintf(&b, "X-Cost: %d\r\n", v.Work)
	}
	if t.No > 0 {
		b.WriteString("X-Retried: 1\r\n")
	}
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	return b.Bytes()
}

// Ready asks a sidecar until it answers, for so long at most.
func Ready(address string, most time.Duration, stop <-chan struct{}) error {
	var last error
	for end := time.Now().Add(most); time.Now().Before(end); {
		status, _, err := Ask(address, "/-/ready")
		if err == nil && status == 200 {
			return nil
		}
		if last = err; err == nil {
			last = fmt.Errorf("it answers %d", status)
		}
		select {
		case <-stop:
			return errors.New("it ended")
		case <-time.After(5 * time.Millisecond):
		}
	}
	return fmt.Errorf("not ready within %v: %w", most, last)
}

// Ask sends a plain GET on a connection of its own.
func Ask(address, path string) (status int, body string, err error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, address)
	in := bufio.NewReader(c)
	head, err := wire.ReadHead(in)
	if err != nil {
		return 0, "", err
	}
	text, err := head.Body(in)
	return head.Status(), string(text), err
}

// pool is the connections to one sidecar: those kept are used again, the last one first.
type pool struct {
	address string
	most    int
	shut    atomic.Bool
	fades   atomic.Bool // only connections that are open are used
	mu      sync.Mutex
	idle    []*line
	open    int
}

type line struct {
	tcp net.Conn
	in  *bufio.Reader
}

// takes tells whether something may be sent there.
func (p *pool) takes() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.shut.Load() && (!p.fades.Load() || len(p.idle) > 0)
}

var errNoPlace = errors.New("the clients of this sidecar hold all the connections they may, or it gets no new ones")

func (p *pool) take(fresh bool, most time.Duration) (c *line, kept bool, err error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 && !fresh {
		c, p.idle = p.idle[n-1], p.idle[:n-1]
		p.mu.Unlock()
		return c, true, nil
	}
	if p.open >= p.most || p.fades.Load() {
		p.mu.Unlock()
		return nil, false, errNoPlace
	}
	p.open++
	p.mu.Unlock()
	tcp, err := net.DialTimeout("tcp", p.address, most)
	if err != nil {
		p.gone()
		return nil, false, err
	}
	return &line{tcp, bufio.NewReaderSize(tcp, 4<<10)}, false, nil
}

func (p *pool) keep(c *line) {
	p.mu.Lock()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

func (p *pool) gone() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.tcp.Close()
	}
	p.open -= len(p.idle)
	p.idle = nil
}

// Rudeness is the account of the rude clients.
type Rudeness struct {
	Sent, Closed, Errors int // of all: ended by a close, answered with an error
	Unanswered           int // neither within 3 s
	Served               int // answered with a 200
	Which                []string
	mu                   sync.Mutex
}

// rudeWays are messages that are no visit, each owed an error or a close.
var rudeWays = []struct{ name, bytes string }{
	{"noise", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n"},
	{"no id", "GET /%s/x?w=1 HTTP/1.1\r\nHost: a\r\nX-Timeout: 100m\r\n\r\n"},
	{"no timeout", "GET /%s/x?w=1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: rude-%d\r\n\r\n"},
	{"a timeout that is no number", "GET /%s/x?w=1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: rude-%d\r\nX-Timeout: soon\r\n\r\n"},
	{"an unknown prefix", "GET /no%s/x?w=1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: rude-%d\r\nX-Timeout: 100m\r\n\r\n"},
	{"length and coding", "POST /%s/x?w=1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: rude-%d\r\nX-Timeout: 100m\r\nIdempotency-Key: r%[2]d\r\n" +
		"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /%[1]s/y HTTP/1.1\r\n\r\n"},
	{"a negative length", "POST /%s/x?w=1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: rude-%d\r\nX-Timeout: 100m\r\nContent-Length: -5\r\n\r\nhello"},
	{"a head without end", "GET /%s/x?w=1 HTTP/1.1\r\nX-Long: " + strings.Repeat("l", 70<<10)},
	{"half a message", "GET /%s/x?w=1 HTTP/1.1\r\nHost: a\r\nX-Requ"},
	{"silence", ""},
}

// rudely sends what is no visit, at the plan's times.
func (cs *Clients) rudely(begun Micros) {
	for i, at := range cs.plan.Rude {
		cs.busy.Add(1)
		cs.alarms.At(begun+at, func() {
			go func() {
				defer cs.busy.Done()
				cs.rudeOne(i)
			}()
		})
	}
}

func (cs *Clients) rudeOne(i int) {
	way := rudeWays[i%len(rudeWays)]
	text := way.bytes
	switch strings.Count(text, "%") {
	case 0:
	case 1:
		text = fmt.Sprintf(text, cs.s.Prefixes[0].Name)
	default:
		text = fmt.Sprintf(text, cs.s.Prefixes[0].Name, i)
	}
	p := cs.pools[i%len(cs.pools)]
	c, err := net.DialTimeout("tcp", p.address, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(3*time.Second + grace.Duration()))
	io.WriteString(c, text)
	head, err := wire.ReadHead(bufio.NewReader(c))
	r := &cs.rude
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Sent++
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		r.Unanswered++
		r.Which = append(r.Which, way.name)
	case err != nil:
		r.Closed++
	case head.Status() >= 400:
		r.Errors++
	default:
		r.Served++
		r.Which = append(r.Which, way.name+" was served")
	}
}

// Rude is the account of the rude clients. To be read after Wait.
func (cs *Clients) Rude() *Rudeness { return &cs.rude }
