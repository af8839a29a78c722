package inbound

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"ledgespread/internal/counters"
	"ledgespread/internal/peek"
)

// listener accepts no more connections than it has places for. Where none is left, the client that has
// carried nothing for the longest loses its own.
type listener struct {
	*net.TCPListener
	places chan struct{}
	counts *counters.Sheet
	log    zerolog.Logger

	mu   sync.Mutex
	here map[*client]time.Time // since when it carries nothing; zero: it carries a visit
}

// client is an accepted connection. Closing it frees its place.
type client struct {
	*net.TCPConn
	leave   func()
	evicted bool // under the listener's lock
}

func (c *client) Close() error {
	c.leave()
	return c.TCPConn.Close()
}

// evict closes a connection for good; the listener's lock is held, so that whoever finds it evicted also
// finds it closed. Guards against an empty answer to a visit that came just then. Close is still to be
// called.
func (c *client) evict() {
	c.evicted = true
	c.TCPConn.Close()
}

func newListener(ln *net.TCPListener, most int, counts *counters.Sheet, log zerolog.Logger) *listener {
	return &listener{TCPListener: ln, places: make(chan struct{}, max(most, 1)), counts: counts, log: log,
		here: map[*client]time.Time{}}
}

// Accept waits for a place and a connection. Guards against the end of the server by a failed accept, and
// against spinning on it: for want of descriptors, or over a connection that broke in the backlog, it waits
// a little.
func (l *listener) Accept() (net.Conn, error) {
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

// seat finds a place for a new connection.
func (l *listener) seat(tcp *net.TCPConn) *client {
	select {
	case l.places <- struct{}{}:
	default:
		l.evictOldest()
		l.places <- struct{}{}
	}
	c := &client{TCPConn: tcp}
	c.leave = sync.OnceFunc(func() {
		l.mu.Lock()
		delete(l.here, c)
		l.mu.Unlock()
		<-l.places
	})
	l.mu.Lock()
	l.here[c] = time.Now()
	l.mu.Unlock()
	return c
}

// carries books whether a connection carries a visit. It is called between the visit's first byte and its
// taking.
func (l *listener) carries(conn net.Conn, state fasthttp.ConnState) {
	c, ok := conn.(*client)
	if !ok || state != fasthttp.StateActive && state != fasthttp.StateIdle {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, here := l.here[c]; here {
		l.here[c] = time.Time{}
		if state == fasthttp.StateIdle {
			l.here[c] = time.Now()
		}
	}
}

func (l *listener) evictOldest() {
	l.mu.Lock()
	var oldest *client
	for c, since := range l.here {
		if !since.IsZero() && (oldest == nil || since.Before(l.here[oldest])) {
			oldest = c
		}
	}
	if oldest != nil {
		oldest.evict()
	}
	l.mu.Unlock()
	if oldest != nil {
		l.counts.Add(counters.ClientsEvicted)
		oldest.Close()
	}
}

// evictIdle closes all connections that carry nothing.
func (l *listener) evictIdle() {
	var idle []*client
	l.mu.Lock()
	for c, since := range l.here {
		if !since.IsZero() {
			c.evict()
			idle = append(idle, c)
		}
	}
	l.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// isEvicted tells whether a connection was closed just as a visit came. Guards against taking one in that its
// client, which found the connection closed, sends again.
func (l *listener) isEvicted(conn net.Conn) bool {
	c, ok := conn.(*client)
	l.mu.Lock()
	defer l.mu.Unlock()
	return ok && c.evicted
}

// watch tells when the other side closes its connection, and eats no byte of a next visit. stop ends the
// watch; nothing reads the connection meanwhile.
func watch(c net.Conn) (gone <-chan struct{}, stop func()) {
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
