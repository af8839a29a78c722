// Package connlimit implements a TCP listener with a maximum number of open connections, its slots. It tracks
// whether each connection has a request. When all slots are taken and a client waits, it closes a connection
// that has none.
package connlimit

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"ledgespread/internal/counters"
)

// AcceptFunc waits for the next connection, like net.TCPListener.AcceptTCP.
type AcceptFunc func() (*net.TCPConn, error)

// Listener is a TCP listener that limits its open connections. When it is full, AcceptFunc evicts a connection
// without a request; see evictOne.
type Listener struct {
	*net.TCPListener
	accept AcceptFunc
	slots  chan struct{} // one element per open connection
	counts *counters.Set
	log    zerolog.Logger

	// FirstMessageGrace is how long a connection's first message may take before the connection can be evicted.
	FirstMessageGrace time.Duration

	// Charge, if it is set, is called with 1 when a connection takes its slot, and with -1 when it frees it.
	Charge func(connections int)

	// ChargeReadAhead, if it is set, is called with the change of the memory for bytes that are read ahead.
	ChargeReadAhead func(bytes int)

	draining, drained atomic.Bool // of the backlog, see CloseWhenBacklogEmpty

	mu    sync.Mutex
	conns map[*clientConn]bool
	idle  int // how many of conns are idle
}

const (
	minAcceptRetryWait = time.Millisecond       // after a failed accept; doubles with each further failure
	maxAcceptRetryWait = 8 * minAcceptRetryWait // the maximum of that wait

	// emptyPolls is how many accepts must time out before the backlog counts as empty. Two of them may not
	// have looked at it: the one that CloseWhenBacklogEmpty aborted, and one whose deadline had passed before it
	// began.
	emptyPolls = 3
)

// New returns a listener that holds at most maxConnections connections.
func New(ln *net.TCPListener, maxConnections int, counts *counters.Set, log zerolog.Logger) *Listener {
	return &Listener{TCPListener: ln, accept: ln.AcceptTCP, slots: make(chan struct{}, max(maxConnections, 1)), counts: counts, log: log,
		FirstMessageGrace: defaultFirstMessageGrace, conns: map[*clientConn]bool{}}
}

// WrapAccept replaces the accept function by wrap's result. It must be called before the first AcceptFunc.
func (l *Listener) WrapAccept(wrap func(AcceptFunc) AcceptFunc) { l.accept = wrap(l.accept) }

// CloseWhenBacklogEmpty makes the listener close once its backlog is empty; the function that it returns reports
// whether it has closed. Closing earlier would reset clients in the backlog that connected before the stop,
// and that a sidecar short of CPU time has not yet accepted.
func (l *Listener) CloseWhenBacklogEmpty() (drained func() bool) {
	l.draining.Store(true)
	l.SetDeadline(time.Unix(1, 0)) // aborts an accept that is blocked
	return l.drained.Load
}

// Accept waits for a connection and then for a slot. A failed accept (too few file descriptors, or a
// connection that broke in the backlog) must not end the server, so it is retried. The wait before a retry is
// short because clients with short deadlines may be in the backlog.
func (l *Listener) Accept() (net.Conn, error) {
	timeouts := 0
	for wait := minAcceptRetryWait; ; wait = min(2*wait, maxAcceptRetryWait) {
		draining := l.draining.Load()
		if draining {
			l.SetDeadline(time.Now().Add(pollInterval))
		}
		tcp, err := l.accept()
		switch {
		case err == nil:
			l.counts.Add(counters.ClientConnections)
			return l.admit(tcp), nil
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case errors.Is(err, os.ErrDeadlineExceeded):
			timeouts++
			if draining && timeouts >= emptyPolls {
				l.Close()
				l.drained.Store(true)
				return nil, net.ErrClosed
			}
			wait = minAcceptRetryWait / 2
		default:
			l.acceptFailed(err, wait)
		}
	}
}

// acceptFailed counts a failed accept, logs the first of several in a row, and waits.
func (l *Listener) acceptFailed(err error, wait time.Duration) {
	l.counts.Add(counters.AcceptFailures)
	if wait == minAcceptRetryWait {
		l.log.Warn().Err(err).Msg("accept failed")
	}
	time.Sleep(wait)
}

// admit waits for a slot and adds a new connection to the listener's connections.
func (l *Listener) admit(tcp *net.TCPConn) *clientConn {
	l.acquireSlot()
	l.charge(1)
	now := time.Now()
	conn := &clientConn{TCPConn: tcp, input: newReceiver(tcp), acceptedAt: now, since: now}
	conn.readAhead.charge = l.ChargeReadAhead
	conn.releaseSlot = sync.OnceFunc(func() {
		conn.readAhead.end()
		l.mu.Lock()
		delete(l.conns, conn)
		l.setState(conn, connClosing) // takes it out of the count of idle connections
		l.mu.Unlock()
		l.charge(-1)
		<-l.slots
	})
	conn.markLingering = func() {
		l.mu.Lock()
		l.setState(conn, connClosing)
		conn.since = time.Now()
		l.mu.Unlock()
	}
	l.mu.Lock()
	l.conns[conn] = true
	l.mu.Unlock()
	return conn
}

// charge tells Charge, if it is set, that connections took their slots or freed them.
func (l *Listener) charge(connections int) {
	if l.Charge != nil {
		l.Charge(connections)
	}
}

// acquireSlot takes a free slot. If there is none, it evicts a connection or waits until one is closed.
func (l *Listener) acquireSlot() {
	for {
		select {
		case l.slots <- struct{}{}:
			return
		default:
		}
		if l.evictOne() {
			continue
		}
		select {
		case l.slots <- struct{}{}:
			return
		case <-time.After(pollInterval):
		}
	}
}

// TooManyIdle reports whether idle connections hold more than half of the slots. The caller should then close
// connections after their answers, or clients that send one request and stay connected would keep others out.
func (l *Listener) TooManyIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return 2*l.idle > cap(l.slots)
}

// MaxConnections returns the maximum number of open connections.
func (l *Listener) MaxConnections() int { return cap(l.slots) }

// OpenConnections returns the number of open connections.
func (l *Listener) OpenConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// NoneSilent reports whether every connection has a request, is receiving one, or is being closed.
func (l *Listener) NoneSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.silentState() && !c.evicted {
			return false
		}
	}
	return true
}
