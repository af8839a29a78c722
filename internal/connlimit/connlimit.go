// Package connlimit accepts connections, no more than there are places for, and knows what each is at.
package connlimit

import (
	"cmp"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
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
	accept Accept
	places chan struct{}
	counts *counters.Sheet
	log    zerolog.Logger

	Patience time.Duration // a newcomer's first message is let come for so long, whoever else waits

	finishing, finished atomic.Bool

	mu   sync.Mutex
	here map[*client]bool
	idle int // of these
}

// Accept waits for a connection.
type Accept func() (*net.TCPConn, error)

// WrapAccept has connections accepted in another way. It is called before the first Accept.
func (l *Listener) WrapAccept(wrap func(Accept) Accept) { l.accept = wrap(l.accept) }

// connState is what a connection is at.
type connState uint8

const (
	connNew     connState = iota // it has brought nothing yet
	connReading                  // part of its first message
	connActive                   // a visit
	connIdle                     // none, after one
	connClosing                  // no more: its sending half is shut, see linger
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

	leastAcceptWait = time.Millisecond    // from a failed accept to the next, doubling
	mostAcceptWait  = 8 * leastAcceptWait // up to this

	deadlinePart = 8 // a read may end by this part earlier or later than its deadline

	lingers    = LastWord / 8 // a connection that this side shut is read for so long, and what comes is dropped,
	lingerMost = 256 << 10    // up to so many bytes
	lingered   = 2 * lookAway // from then on it goes first where others wait for a place
	aheadMost  = 16 << 10     // bytes of next messages that are taken in while a visit is out
	aheadPiece = 1 << 10
)

// client is an accepted connection. It frees its place once it is closed, which takes a moment: see Close.
type client struct {
	*net.TCPConn
	input *receiver
	leave func()
	parts func() // books that it lingers
	close sync.Once
	shut  atomic.Bool // this side said its last word: what is still read counts for nothing
	came  time.Time
	bytes int    // read since the last whole message
	known bool   // it has brought one
	ended bool   // the other side has closed it, or it broke
	ahead []byte // what Watch read of next messages

	readBy, wantBy, writeBy time.Time // deadlines that are set, and the one to be when it is next read
	lastBy, readAt          time.Time // a message's deadline, if it is short; when it was last read
	last                    []byte    // what was read last

	// Under the listener's lock:
	evicted bool
	at      connState
	since   time.Time
}

// Close ends a connection whose other side has ended. Else it shuts the sending half, and lets the rest come for a while.
func (c *client) Close() (err error) {
	c.close.Do(func() {
		if c.ended || !c.half() {
			c.leave()
			err = c.TCPConn.Close()
			return
		}
		c.parts()
		c.TCPConn.SetReadDeadline(time.Unix(1, 0)) // whoever still reads has it end
		go c.linger()
	})
	return err
}

// half shuts the sending half: what was written before still arrives, and then the end.
func (c *client) half() bool {
	c.shut.Store(true)
	return c.CloseWrite() == nil
}

// linger reads what still comes, and drops it, until the other side closes too. Guards against a close over bytes that nobody
// read, of a message sent ahead or the rest of a body: it resets the connection, and an answer that was already written is lost. One
// that goes on sending is no longer read, but still has its time to find the answer.
func (c *client) linger() {
	defer c.TCPConn.Close()
	defer c.leave()
	end := time.Now().Add(lingers)
	c.TCPConn.SetReadDeadline(end)
	drop := make([]byte, aheadPiece)
	for n := 0; n < lingerMost; {
		came, err := c.TCPConn.Read(drop)
		if err != nil {
			return
		}
		n += came
	}
	time.Sleep(time.Until(end))
}

func (c *client) Read(p []byte) (n int, err error) {
	if n, err = c.read(p); c.shut.Load() { // guards against taking in what came after the last word
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *client) read(p []byte) (n int, err error) {
	if len(c.ahead) > 0 {
		n = copy(p, c.ahead)
		if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
			c.ahead = nil
		}
		c.bytes, c.last = c.bytes+n, p[:n]
		return n, nil
	}
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
	n, err = c.input.Read(p)
	c.bytes, c.last = c.bytes+n, p[:n]
	if c.bytes > short {
		c.readAt = time.Now()
	}
	c.ends(err)
	return n, err
}

// ends notes that nothing more can come.
func (c *client) ends(err error) {
	c.ended = c.ended || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// moveOn gives a long body the time that it needs at the slowest rate, and what it was kept waiting. Guards against cutting
// off clients that are merely slow, and against those that bring a byte at a time.
func (c *client) moveOn() {
	now := time.Now()
	if kept := now.Sub(c.readAt); !c.readAt.IsZero() && kept > pause {
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
	c.readAt = time.Time{}
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

// evict shuts a connection for good; the listener's lock is held, so that whoever finds it evicted also finds that nothing can
// be written to it any more. Guards against an empty answer to a visit that came just then. Close is still to be called.
func (c *client) evict() {
	c.evicted = true
	c.half()
}

// New makes a listener with so many places.
func New(ln *net.TCPListener, most int, counts *counters.Sheet, log zerolog.Logger) *Listener {
	return &Listener{TCPListener: ln, accept: ln.AcceptTCP, places: make(chan struct{}, max(most, 1)), counts: counts, log: log, Patience: slowest,
		here: map[*client]bool{}}
}

// Finish has the listener close once nobody waits at it any more. Guards against resetting clients that came before the close,
// and that a sidecar short of its part of the core did not get round to accept.
func (l *Listener) Finish() (finished func() bool) {
	l.finishing.Store(true)
	l.SetDeadline(time.Unix(1, 0)) // ends an accept that waits
	return l.finished.Load
}

// Accept waits for a place and a connection. A failed accept, for want of descriptors or over a connection that broke in the backlog, must
// not end the server: it is tried again after a little wait. Clients with short deadlines may wait meanwhile, so that wait stays short.
func (l *Listener) Accept() (net.Conn, error) {
	nobody := 0
	for wait := leastAcceptWait; ; wait = min(2*wait, mostAcceptWait) {
		finishing := l.finishing.Load()
		if finishing {
			l.SetDeadline(time.Now().Add(lookAway))
		}
		tcp, err := l.accept()
		if err == nil {
			l.counts.Add(counters.ClientConnections)
			return l.acquire(tcp), nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			// One that was due before it began has not looked, nor has the one that Finish ended: it takes three.
			if nobody++; finishing && nobody > 2 {
				l.Close()
				l.finished.Store(true)
				return nil, net.ErrClosed
			}
			wait = leastAcceptWait / 2
			continue
		}
		l.counts.Add(counters.AcceptFailures)
		if wait == leastAcceptWait {
			l.log.Warn().Err(err).Msg("accept failed")
		}
		time.Sleep(wait)
	}
}

// acquire finds a place for a new connection, or waits for one.
func (l *Listener) acquire(tcp *net.TCPConn) *client {
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
	c := &client{TCPConn: tcp, input: newReceiver(tcp), came: now, since: now}
	c.leave = sync.OnceFunc(func() {
		l.mu.Lock()
		delete(l.here, c)
		l.setState(c, connClosing) // no longer idle
		l.mu.Unlock()
		<-l.places
	})
	c.parts = func() {
		l.mu.Lock()
		l.setState(c, connClosing)
		c.since = time.Now()
		l.mu.Unlock()
	}
	l.mu.Lock()
	l.here[c] = true
	l.mu.Unlock()
	return c
}

// setState books a connection's state; the lock is held.
func (l *Listener) setState(c *client, at connState) {
	if c.at == connIdle {
		l.idle--
	}
	if at == connIdle {
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
	case !l.here[c] || c.at == connClosing: // it has left: counted as idle it would be so for ever
	case state == fasthttp.StateIdle:
		if l.setState(c, connIdle); c.bytes > 0 || len(c.ahead) > 0 {
			l.setState(c, connReading) // part of its next message is here
		}
		c.input.handled(c.at == connReading)
		c.since = time.Now()
	case c.at == connIdle:
		l.setState(c, connActive)
	case c.at == connNew:
		l.setState(c, connReading)
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
	if c.at != connClosing {
		l.setState(c, connActive)
	}
	return !c.shut.Load() // as one is that was evicted
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
		c.bytes, c.last, c.readAt = ahead, nil, time.Time{}
	}
}

// evictOne closes a connection that carries nothing: one that lingers, if it had its moment; the one that has been idle for
// longest, if it may go; else the newcomer that has said nothing for longest; else the one that brings its first message for longest, if
// that is slow; else any that is idle. Where one lingers, that moment is waited for first. Guards against silent clients that lock out
// others, and clients that ask once and stay, hundreds a second: waiting until they may go would let in only so many as there are
// places. One whose client has sent what nobody read yet stays: it carries something.
func (l *Listener) evictOne() bool {
	now := time.Now()
	old, slow, had := now.Add(-mayGo), now.Add(-l.Patience), now.Add(-lingered)
	l.mu.Lock()
	var out [5]*client
	soon := false
	for c := range l.here {
		rank := -1
		switch {
		case c.at == connClosing:
			if rank = 0; !c.since.Before(had) {
				soon = true
				continue
			}
		case c.evicted || c.at == connActive:
			continue
		case c.at == connIdle && c.since.Before(old):
			rank = 1
		case c.at == connNew:
			rank = 2
		case c.at == connReading && c.since.Before(slow):
			rank = 3
		case c.at == connIdle:
			rank = 4
		}
		if rank < 0 || out[rank] != nil && !c.since.Before(out[rank].since) {
			continue
		}
		if rank == 0 || rank == 3 || c.input.ifSilent(func() {}) {
			out[rank] = c
		}
	}
	if soon {
		out[2], out[3], out[4] = nil, nil, nil
	}
	chosen := cmp.Or(out[0], out[1], out[2], out[3], out[4])
	switch {
	case chosen == nil:
	case chosen == out[0]:
		chosen.evict()
	case chosen == out[3]:
		l.counts.Add(counters.ClientsEvicted)
		chosen.evict()
	case chosen.input.ifSilent(chosen.evict):
		l.counts.Add(counters.ClientsEvicted)
	default: // its message came just now
		chosen = nil
	}
	l.mu.Unlock()
	if chosen == nil {
		return false
	}
	chosen.close.Do(func() {}) // its place is wanted now: no lingering
	chosen.leave()
	chosen.TCPConn.Close()
	return true
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
		if (c.at == connIdle || c.at == connNew) && !c.since.After(since) && c.input.ifSilent(c.evict) {
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

// Quiet tells whether no connection is here that carries nothing and was not ended.
func (l *Listener) Quiet() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.here {
		if (c.at == connIdle || c.at == connNew) && !c.evicted {
			return false
		}
	}
	return true
}

// Watch tells when the other side closes its connection. Bytes that come are a visit sent ahead, whose client is there: they are
// kept for whoever reads next, up to a bound, since the end is seen only behind them. stop ends the watch; nothing reads the
// connection meanwhile.
func Watch(conn net.Conn) (gone <-chan struct{}, stop func()) {
	closed, over, enough := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(over)
		for {
			switch peek.Look(conn, true) {
			case peek.Closed:
				if c, ok := conn.(*client); ok {
					c.ended = true
				}
				close(closed)
				return
			case peek.Waiting:
				if c, ok := conn.(*client); ok && len(c.ahead) < aheadMost {
					c.readAhead()
					continue
				}
				if ended(conn, enough) {
					close(closed)
				}
				return
			default:
				return
			}
		}
	}()
	return closed, func() {
		close(enough)
		conn.SetReadDeadline(time.Unix(1, 0))
		<-over
		conn.SetReadDeadline(time.Time{})
	}
}

// readAhead takes in some of what has come.
func (c *client) readAhead() {
	n := len(c.ahead)
	c.ahead = slices.Grow(c.ahead, aheadPiece)
	came, err := c.TCPConn.Read(c.ahead[n : n+aheadPiece])
	c.ahead = c.ahead[:n+came]
	c.ends(err)
}

// ended looks now and then whether the other side has closed a connection on which more has come than is taken in; it ends with
// enough.
func ended(conn net.Conn, enough <-chan struct{}) bool {
	every := time.NewTicker(lookAway)
	defer every.Stop()
	for {
		select {
		case <-enough:
			return false
		case <-every.C:
			if peek.Gone(conn) {
				return true
			}
		}
	}
}
