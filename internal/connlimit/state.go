package connlimit

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// connState is the state of a client connection.
type connState uint8

const (
	connNew     connState = iota // nothing has been received
	connReading                  // part of the first message, or of a pipelined one, has been received
	connActive                   // a request is being handled
	connIdle                     // between two requests
	connClosing                  // the sending half is shut down, see linger
)

// silentState reports whether the connection is silent: it waits for the first byte of a message. The
// listener's lock is held.
func (c *clientConn) silentState() bool { return c.state == connIdle || c.state == connNew }

// setState records a connection's state. The lock is held.
func (l *Listener) setState(c *clientConn, state connState) {
	if c.state == connIdle {
		l.idle--
	}
	if state == connIdle {
		l.idle++
	}
	c.state = state
}

// TrackState records that the HTTP server now regards a connection as active or idle; it is the server's ConnState
// hook. The server reports a connection as active at the first byte of a message. On a connection that has
// had a request before, that counts as a request; on a new one, only a whole message does (see BeginRequest).
func (l *Listener) TrackState(conn net.Conn, reported fasthttp.ConnState) {
	client, ok := conn.(*clientConn)
	if !ok || reported != fasthttp.StateActive && reported != fasthttp.StateIdle {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.conns[client] || client.state == connClosing: // closed: if it became idle, it would be counted as idle forever
	case reported == fasthttp.StateIdle:
		next := client.messageBytes > 0 || len(client.pipelined) > 0 // part of the next message has been received
		if next {
			l.setState(client, connReading)
		} else {
			l.setState(client, connIdle)
		}
		client.input.messageHandled(next)
		client.since = time.Now()
	case client.state == connIdle:
		l.setState(client, connActive)
	case client.state == connNew:
		l.setState(client, connReading)
	}
}

// BeginRequest records that a connection has a request. open is false if the connection has been closed in the
// meantime: the client sees that and sends the request again, so the caller must not handle it.
func (l *Listener) BeginRequest(conn net.Conn) (open bool) {
	c, ok := conn.(*clientConn)
	if !ok {
		return true
	}
	c.hadRequest = true
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.state != connClosing {
		l.setState(c, connActive)
	}
	return !c.writeClosed.Load() // also false for an evicted connection
}

// Received returns how many bytes have been read since the end of the last message, and what the last read
// returned.
func (l *Listener) Received(conn net.Conn) (messageBytes int, lastRead []byte) {
	if c, ok := conn.(*clientConn); ok {
		return c.messageBytes, c.lastRead
	}
	return 0, nil
}

// MessageArrival returns a function that returns how many bytes of the current message, and of what follows it,
// have arrived on this machine, read or not. The caller must not read the connection meanwhile. The function that
// it returns may be called at any time until the next message.
func MessageArrival(conn net.Conn) func() int {
	c, ok := conn.(*clientConn)
	if !ok {
		return func() int { return 0 }
	}
	messageStart := c.input.readSoFar() - len(c.pipelined) - c.messageBytes
	return func() int { return c.input.arrived() - messageStart }
}

// Backlogged returns a function that reports whether so many bytes lay unread, at the last call of the function that
// MessageArrival returned, that the client may have written more.
func Backlogged(conn net.Conn) func() bool {
	c, ok := conn.(*clientConn)
	if !ok {
		return func() bool { return false }
	}
	return c.input.backlogged
}

// EndMessage records that a message has been read to its end, and how many bytes of the next one have been
// passed on with it.
func (l *Listener) EndMessage(conn net.Conn, ahead int) {
	if c, ok := conn.(*clientConn); ok {
		c.boundaries.endMessage()
		c.messageBytes, c.lastRead, c.lastReadAt = ahead, nil, time.Time{}
	}
}

// Following returns the bytes of the next messages that have been received with this one, and are not passed on yet.
func (l *Listener) Following(conn net.Conn) []byte {
	if c, ok := conn.(*clientConn); ok {
		return c.pipelined
	}
	return nil
}
