// Package connlimit accepts connections, no more than there are places for, and knows what each is at. Where none is left, a connection that
// carries nothing loses its place.
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

// Accept waits for a connection.
type Accept func() (*net.TCPConn, error)

// Listener accepts no more connections than it has places for; see evictOne.
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

// Waits of an accept.
const (
	leastAcceptWait = time.Millisecond    // from a failed accept to the next, doubling
	mostAcceptWait  = 8 * leastAcceptWait // up to this

	emptyLooks = 3 // at a backlog that shows nobody: one that was due before it began has not looked, nor has the one that Finish ended
)

// New makes a listener with so many places.
func New(ln *net.TCPListener, most int, counts *counters.Sheet, log zerolog.Logger) *Listener {
	return &Listener{TCPListener: ln, accept: ln.AcceptTCP, places: make(chan struct{}, max(most, 1)), counts: counts, log: log, Patience: slowest,
		here: map[*client]bool{}}
}

// WrapAccept has connections accepted in another way. It is called before the first Accept.
func (l *Listener) WrapAccept(wrap func(Accept) Accept) { l.accept = wrap(l.accept) }

// Finish has the listener close once nobody waits at it any more: clients that came before the close, and that a sidecar short of its part of
// the core did not get round to accept, would be reset.
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
		switch {
		case err == nil:
			l.counts.Add(counters.ClientConnections)
			return l.admit(tcp), nil
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case errors.Is(err, os.ErrDeadlineExceeded):
			nobody++
			if finishing && nobody >= emptyLooks {
				l.Close()
				l.finished.Store(true)
				return nil, net.ErrClosed
			}
			wait = leastAcceptWait / 2
		default:
			l.acceptFailed(err, wait)
		}
	}
}

// acceptFailed counts a failed accept, logs the first of several, and waits.
func (l *Listener) acceptFailed(err error, wait time.Duration) {
	l.counts.Add(counters.AcceptFailures)
	if wait == leastAcceptWait {
		l.log.Warn().Err(err).Msg("accept failed")
	}
	time.Sleep(wait)
}

// admit gives a new connection a place.
func (l *Listener) admit(tcp *net.TCPConn) *client {
	l.acquire()
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

// acquire takes a free place, or waits for one.
func (l *Listener) acquire() {
	for {
		select {
		case l.places <- struct{}{}:
			return
		default:
		}
		if l.evictOne() {
			continue
		}
		select {
		case l.places <- struct{}{}:
			return
		case <-time.After(lookAway):
		}
	}
}

// Crowded tells whether idle connections take more than half of the places. Clients that ask once and stay may hold only so many, or others
// could ask no more.
func (l *Listener) Crowded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return 2*l.idle > cap(l.places)
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
		if c.silentState() && !c.evicted {
			return false
		}
	}
	return true
}
