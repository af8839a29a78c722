// Package places accepts connections, no more than there are places for, and knows what each is at.
package places

import (
	"cmp"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"ledgespread/internal/counters"
	"ledgespread/internal/peek"
)

// Listener accepts no more connections than it has places for. Where none is left, one that carries nothing
// loses its own; see evictOne.
type Listener struct {
	*net.TCPListener
	places chan struct{}
	counts *counters.Sheet
	log    zerolog.Logger

	Patience time.Duration // a newcomer's first message is let come for so long, whoever else waits

	mu   sync.Mutex
	here map[*client]bool
	idle int // of these
}

// stage is what a connection is at.
type stage uint8

const (
	silent   stage = iota // it has brought nothing yet
	bringing              // part of its first message
	carrying              // a visit
	idle                  // none, after one
)

// LastWord is how soon a message's head, and what is short of its body, is to be there after its client came, or its first
// byte. A client may take two seconds for a head.
const LastWord = 2600 * time.Millisecond

const (
	mayGo    = 2 * time.Second // an idle client's connection may be closed after this
	slowest  = LastWord / 2    // a listener's patience, if nothing else is said
	lookAway = LastWord / 200  // how often those who wait for a place look again

	slowestRate = 32 << 10         // bytes a second: a longer body is to come no slower, where it is read as fast as it comes
	short       = 8 << 10          // bytes of a message for which that is not looked at
	lateBy      = LastWord / 20    // a long body's deadline is moved on by this at least
	pause       = time.Millisecond // between two reads of a body: its client is not to blame for more

	deadlinePart = 8 // a read may end by this part earlier or later than its deadline
)

// client is an accepted connection. Closing it frees its place.
type client struct {
	*net.TCPConn
	leave func()
	came  time.Time
	bytes int  // read since the last whole message
	known bool // it has brought one

	readBy, wantBy, writeBy time.Time // deadlines that are set, and the one to be when it is next read
	lastBy, read            time.Time // a message's deadline, if it is short; when it was last read
	last                    []byte    // what was read last

	// Under the listener's lock:
	evicted bool
	at      stage
	since   time.Time
}

func (c *client) Close() error {
	c.leave()
	return c.TCPConn.Close()
}

func (c *client) Read(p []byte) (n int, err error) {
	if !c.wantBy.IsZero() {
		if slack := time.Until(c.wantBy) / deadlinePart; c.readBy.Before(c.wantBy.Add(-slack)) || c.readBy.After(c.wantBy.Add(slack)) {
			c.readBy = c.wantBy
			c.TCPConn.SetReadDeadline(c.readBy)
		}
		c.wantBy = time.Time{}
	}
	if c.bytes > short {
		c.moveOn()
	}
	n, err = c.TCPConn.Read(p)
	c.bytes, c.last = c.bytes+n, p[:n]
	if c.bytes > short {
		c.read = time.Now()
	}
	return n, err
}

// moveOn gives a long body the time that it needs at the slowest rate, and what it was kept waiting. Guards against cutting
// off clients that are merely slow, and against those that bring a byte at a time.
func (c *client) moveOn() {
	now := time.Now()
	if kept := now.Sub(c.read); !c.read.IsZero() && kept > pause {
		c.lastBy = c.lastBy.Add(kept)
	}
	if by := c.lastBy.Add(time.Duration(c.bytes) * time.Second / slowestRate); by.After(c.readBy.Add(lateBy)) {
		c.readBy = by
		c.TCPConn.SetReadDeadline(by)
	}
}

// SetReadDeadline keeps the first message's end where it is. Guards against a client that holds its place by
// saying nothing, or a byte at a time. A later message's is set when the connection is next read, if it differs by
// more than a part: most messages are whole by then, and a busy client's connection is told once for many.
func (c *client) SetReadDeadline(t time.Time) error {
	c.read = time.Time{}
	if last := c.came.Add(LastWord); !c.known && (t.IsZero() || t.After(last)) {
		t = last
	} else if c.known && time.Until(t) > 0 {
		c.wantBy, c.lastBy = t, t
		return nil
	}
	c.wantBy, c.readBy, c.lastBy = time.Time{}, t, t
	return c.TCPConn.SetReadDeadline(t)
}

// SetWriteDeadline leaves one that is set where it is, unless that comes more than half of a last word earlier.
func (c *client) SetWriteDeadline(t time.Time) error {
	if !t.IsZero() && c.writeBy.After(t.Add(-LastWord/2)) {
		return nil
	}
	c.writeBy = t
	return c.TCPConn.SetWriteDeadline(t)
}

// evict closes a connection for good; the listener's lock is held, so that whoever finds it evicted also
// finds it closed. Guards against an empty answer to a visit that came just then. Close is still to be
// called.
func (c *client) evict() {
	c.evicted = true
	c.TCPConn.Close()
}

// New makes a listener with so many places.
func New(ln *net.TCPListener, most int, counts *counters.Sheet, log zerolog.Logger) *Listener {
	return &Listener{TCPListener: ln, places: make(chan struct{}, max(most, 1)), counts: counts, log: log, Patience: slowest,
		here: map[*client]bool{}}
}

// Accept waits for a place and a connection. Guards against the end of the server by a failed accept, and
// against spinning on it: for want of descriptors, or over a connection that broke in the backlog, it waits
// a little.
func (l *Listener) Accept() (net.Conn, error) {
	for wait := time.Millisecond; ; wait = min(2*wait, 100*time.Millisecond) {
		tcp, err := l.AcceptTCP()
		if err == nil {
			l.counts.Add(counters.ClientConnections)
			return l.seat(tcp), nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		l.counts.Add(counters.AcceptFailures)
		if wait == time.Millisecond {
			l.log.Warn().Err(err).Msg("accept failed")
		}
		time.Sleep(wait)
	}
}

// seat finds a place for a new connection, or waits for one.
func (l *Listener) seat(tcp *net.TCPConn) *client {
	for taken := false; !taken; {
		select {
		case l.places <- struct{}{}:
			taken = true
			continue
		default:
		}
		if !l.evictOne() {
			select {
			case l.places <- struct{}{}:
				taken = true
			case <-time.After(lookAway):
			}
		}
	}
	now := time.Now()
	c := &client{TCPConn: tcp, came: now, since: now}
	c.leave = sync.OnceFunc(func() {
		l.mu.Lock()
		delete(l.here, c)
		l.puts(c, carrying) // no longer idle
		l.mu.Unlock()
		<-l.places
	})
	l.mu.Lock()
	l.here[c] = true
	l.mu.Unlock()
	return c
}

// puts books a connection's stage; the lock is held.
func (l *Listener) puts(c *client, at stage) {
	if c.at == idle {
		l.idle--
	}
	if at == idle {
		l.idle++
	}
	c.at = at
}

// State books what a connection is at. A client that is known carries something from its first byte on; a
// newcomer only once its message is whole.
func (l *Listener) State(conn net.Conn, state fasthttp.ConnState) {
	c, ok := conn.(*client)
	if !ok || state != fasthttp.StateActive && state != fasthttp.StateIdle {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.here[c]: // it has left: counted as idle it would be so for ever
	case state == fasthttp.StateIdle:
		l.puts(c, idle)
		c.since = time.Now()
	case c.at == idle:
		l.puts(c, carrying)
	case c.at == silent:
		l.puts(c, bringing)
	}
}

// Carry books that a visit is there. here is false for a connection that was closed just then; guards against taking in
// what its client, which found the connection closed, sends again.
func (l *Listener) Carry(conn net.Conn) (here bool) {
	c, ok := conn.(*client)
	if !ok {
		return true
	}
	c.known = true
	l.mu.Lock()
	defer l.mu.Unlock()
	l.puts(c, carrying)
	return !c.evicted
}

// Plain answers with a line of text.
func Plain(ctx *fasthttp.RequestCtx, status int, text string) {
	ctx.Response.ResetBody()
	ctx.SetStatusCode(status)
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(text + "\n")
}

// Interrupt ends a read of this connection that another goroutine waits in; over: nobody reads it any more.
func Interrupt(conn net.Conn, over bool) {
	c, ok := conn.(*client)
	switch {
	case !ok:
	case !over:
		c.TCPConn.SetReadDeadline(time.Unix(1, 0))
	default:
		c.SetReadDeadline(time.Time{})
	}
}

// Came tells how many bytes came since the last message, and what was read last of them.
func (l *Listener) Came(conn net.Conn) (bytes int, last []byte) {
	if c, ok := conn.(*client); ok {
		return c.bytes, c.last
	}
	return 0, nil
}

// Next books that a message is over, and that so many bytes of the next one have been read.
func (l *Listener) Next(conn net.Conn, ahead int) {
	if c, ok := conn.(*client); ok {
		c.bytes, c.last, c.read = ahead, nil, time.Time{}
	}
}

// evictOne closes a connection that carries nothing: the one that has been idle for longest, if it may go; else
// the newcomer that has said nothing for longest; else the one that brings its first message for longest, if that
// is slow; else any that is idle. Guards against silent clients that lock out others, and clients that ask once and
// stay, hundreds a second: waiting until they may go would let in only so many as there are places.
func (l *Listener) evictOne() bool {
	now := time.Now()
	old, slow := now.Add(-mayGo), now.Add(-l.Patience)
	l.mu.Lock()
	var out [4]*client
	for c := range l.here {
		rank := -1
		switch {
		case c.at == idle && c.since.Before(old):
			rank = 0
		case c.at == silent:
			rank = 1
		case c.at == bringing && c.since.Before(slow):
			rank = 2
		case c.at == idle:
			rank = 3
		}
		if rank >= 0 && !c.evicted && (out[rank] == nil || c.since.Before(out[rank].since)) {
			out[rank] = c
		}
	}
	chosen := cmp.Or(out[0], out[1], out[2], out[3])
	if chosen != nil {
		chosen.evict()
	}
	l.mu.Unlock()
	if chosen != nil {
		l.counts.Add(counters.ClientsEvicted)
		chosen.Close()
	}
	return chosen != nil
}

// Crowded tells whether idle connections take more than half of the places. Guards against clients that ask once and
// stay: they may hold only so many, and could ask no more.
func (l *Listener) Crowded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return 2*l.idle > cap(l.places)
}

// EvictIdle closes all connections that have carried nothing for so long. One whose client has sent what nobody read yet
// does carry something: guards against losing visits at a stop on a machine that is late.
func (l *Listener) EvictIdle(least time.Duration) {
	var out []*client
	since := time.Now().Add(-least)
	l.mu.Lock()
	for c := range l.here {
		if (c.at == idle || c.at == silent) && !c.since.After(since) && !peek.Sent(c.TCPConn) {
			c.evict()
			out = append(out, c)
		}
	}
	l.mu.Unlock()
	for _, c := range out {
		c.Close()
	}
}

// Most is how many places there are.
func (l *Listener) Most() int { return cap(l.places) }

// Here is how many connections there are.
func (l *Listener) Here() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.here)
}

// Watch tells when the other side closes its connection, and eats no byte of a next visit. stop ends the
// watch; nothing reads the connection meanwhile.
func Watch(c net.Conn) (gone <-chan struct{}, stop func()) {
	closed, over := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(over)
		if peek.Look(c, true) == peek.Closed { // bytes are a visit sent ahead: its client is there
			close(closed)
		}
	}()
	return closed, func() {
		c.SetReadDeadline(time.Unix(1, 0))
		<-over
		c.SetReadDeadline(time.Time{})
	}
}
