package connlimit

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// connState is what a connection is at.
type connState uint8

const (
	connNew     connState = iota // it has brought nothing yet
	connReading                  // part of its first message
	connActive                   // a request
	connIdle                     // none, after one
	connClosing                  // no more: its sending half is shut, see linger
)

// silentState tells whether a connection carries nothing by its state; the listener's lock is held.
func (c *client) silentState() bool { return c.at == connIdle || c.at == connNew }

// setState records a connection's state; the lock is held.
func (l *Listener) setState(c *client, at connState) {
	if c.at == connIdle {
		l.idle--
	}
	if at == connIdle {
		l.idle++
	}
	c.at = at
}

// State records what a connection is at. A client that is known carries something from its first byte on; a newcomer only once its message is
// whole.
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
		next := c.bytes > 0 || len(c.ahead) > 0 // part of its next message is here
		if next {
			l.setState(c, connReading)
		} else {
			l.setState(c, connIdle)
		}
		c.input.handled(next)
		c.since = time.Now()
	case c.at == connIdle:
		l.setState(c, connActive)
	case c.at == connNew:
		l.setState(c, connReading)
	}
}

// Carry records that a request is there. here is false for a connection that was closed just then: its client finds it closed and sends the
// request again, so it must not be taken in here.
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

// Came tells how many bytes came since the last message, and what was read last of them.
func (l *Listener) Came(conn net.Conn) (bytes int, last []byte) {
	if c, ok := conn.(*client); ok {
		return c.bytes, c.last
	}
	return 0, nil
}

// Next records that a message is over, and that so many bytes of the next one have been read.
func (l *Listener) Next(conn net.Conn, ahead int) {
	if c, ok := conn.(*client); ok {
		c.bytes, c.last, c.readAt = ahead, nil, time.Time{}
	}
}
