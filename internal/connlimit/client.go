package connlimit

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// MessageTimeout is the time limit for receiving a message's head and a short body. It runs from the accept for a
// connection's first message and from the first byte for a later one. It also limits a write. It exceeds the
// two seconds that a client may take to send a head.
const MessageTimeout = 2600 * time.Millisecond

// Limits for reading a message.
const (
	minBodyRate      = 32 << 10            // bytes per second that a long body must reach while it is being read
	shortMessage     = 8 << 10             // bytes of a message to which minBodyRate does not apply
	minDeadlineStep  = MessageTimeout / 20 // a long body's deadline is moved by this at least
	maxSilence       = 2 * time.Second     // of a client in a long body
	maxClientReadGap = time.Millisecond    // a longer gap between two reads of a body is not the client's fault

	deadlineSlackDivisor = 8 // a read may time out early or late by this part of the time left
)

// Limits for a connection whose sending half this side has shut down.
const (
	lingerTime       = MessageTimeout / 8 // how long received bytes are read and discarded
	maxLingerBytes   = 256 << 10          // how many bytes are discarded in that time
	lingerBufferSize = 1 << 10            // bytes discarded by one read
)

// clientConn is an accepted connection. It holds a slot of its listener until it is closed; Close may return
// before the slot is free.
type clientConn struct {
	*net.TCPConn
	input         *receiver
	releaseSlot   func()
	markLingering func() // records in the listener that the connection lingers
	closeOnce     sync.Once
	writeClosed   atomic.Bool // this side has shut down its sending half; bytes read from then on are ignored
	acceptedAt    time.Time
	messageBytes  int         // bytes read since the end of the last message
	hadRequest    bool        // a request has been received on this connection
	peerClosed    atomic.Bool // the peer has closed the connection, or it broke; a drain asks for it as well
	boundaries    boundaries
	pipelined     []byte // bytes that have been read from the socket, but not passed on; most are of the next messages
	readAhead     bufferCharge

	// The deadlines in force, and a read deadline that the next read sets (zero: none).
	readDeadline, nextReadDeadline, writeDeadline time.Time
	// The deadline of the current message if it is short, and when the last read of a long one ended.
	messageDeadline, lastReadAt time.Time
	lastRead                    []byte // bytes returned by the last read

	// Guarded by the listener's lock:
	evicted bool // shut down in favor of a new connection or by a drain
	state   connState
	since   time.Time // when the connection was accepted, ended its last request, or began to linger
}

// Close closes the connection at once if the peer has closed it. Otherwise it shuts down the sending half and
// discards received bytes in the background for a while, see linger.
func (c *clientConn) Close() (err error) {
	c.closeOnce.Do(func() {
		if c.peerClosed.Load() || !c.shutdownWrite() {
			c.releaseSlot()
			err = c.TCPConn.Close()
			return
		}
		c.markLingering()
		c.TCPConn.SetReadDeadline(time.Unix(1, 0)) // aborts a read that is blocked
		go c.linger()
	})
	return err
}

// SyscallConn returns the socket.
func (c *clientConn) SyscallConn() (syscall.RawConn, error) { return c.input.SyscallConn() }

// shutdownWrite shuts down the sending half: the client receives what was written before, and then the end of
// the stream.
func (c *clientConn) shutdownWrite() bool {
	c.writeClosed.Store(true)
	return c.CloseWrite() == nil
}

// linger reads and discards bytes until the client closes its side or lingerTime has passed. Closing a socket
// with unread bytes, of a pipelined message or the rest of a body, would reset the connection, and the client
// could lose an answer that was already written. After maxLingerBytes linger stops reading, but waits for the
// rest of lingerTime so that the client can still receive the answer.
func (c *clientConn) linger() {
	defer c.TCPConn.Close()
	defer c.releaseSlot()
	end := time.Now().Add(lingerTime)
	c.TCPConn.SetReadDeadline(end)
	buffer := make([]byte, lingerBufferSize)
	for discarded := 0; discarded < maxLingerBytes; {
		n, err := c.TCPConn.Read(buffer)
		if err != nil {
			return
		}
		discarded += n
	}
	time.Sleep(time.Until(end))
}

// Read returns received bytes, and net.ErrClosed once this side has shut down its sending half.
func (c *clientConn) Read(p []byte) (n int, err error) {
	n, err = c.read(p)
	if c.writeClosed.Load() {
		return 0, net.ErrClosed
	}
	return n, err
}

// read returns bytes to pass on. It goes on until there are some, since all that was received may be skipped.
func (c *clientConn) read(p []byte) (n int, err error) {
	for n == 0 && err == nil && len(p) > 0 {
		if len(c.pipelined) > 0 {
			n, err = c.passOnPipelined(p)
		} else {
			n, err = c.receive(p)
		}
	}
	return n, err
}

// receive reads the socket, and returns what of the received bytes is to be passed on. It keeps the rest.
func (c *clientConn) receive(p []byte) (n int, err error) {
	c.applyReadDeadline()
	if c.messageBytes > shortMessage {
		c.moveDeadline()
	}
	n, err = c.input.Read(p)
	c.noteReadError(err)
	if n > 0 {
		var rest []byte
		n, rest, err = c.passOn(p[:n], p)
		c.keepPipelined(rest)
	}
	if c.messageBytes > shortMessage {
		c.lastReadAt = time.Now()
	}
	return n, err
}

// passOn copies those of the received bytes to p that are to be passed on now, skips those in front of them that never are,
// and returns the rest.
func (c *clientConn) passOn(received, p []byte) (n int, rest []byte, err error) {
	skipped, err := c.boundaries.skip(received)
	c.messageBytes += skipped
	received = received[skipped:]
	if err != nil || len(received) == 0 {
		return 0, nil, err
	}
	n = copy(p, received[:c.boundaries.next(received, len(p))])
	c.messageBytes += n
	c.lastRead = p[:n]
	return n, received[n:], nil
}

// applyReadDeadline sets the read deadline that was requested last, if it differs noticeably from the one in
// force.
func (c *clientConn) applyReadDeadline() {
	if c.nextReadDeadline.IsZero() {
		return
	}
	slack := time.Until(c.nextReadDeadline) / deadlineSlackDivisor
	if c.readDeadline.Before(c.nextReadDeadline.Add(-slack)) || c.readDeadline.After(c.nextReadDeadline.Add(slack)) {
		c.readDeadline = c.nextReadDeadline
		c.TCPConn.SetReadDeadline(c.readDeadline)
	}
	c.nextReadDeadline = time.Time{}
}

// noteReadError records that the peer has closed or broken the connection, which any read error but a timeout
// means.
func (c *clientConn) noteReadError(err error) {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.peerClosed.Store(true)
	}
}

// moveDeadline moves the read deadline of a long body, before a read. The client has the time that the bytes so far take at
// minBodyRate, besides that during which this side did not read; slow clients can complete their bodies, and clients that
// send a byte at a time are cut off. Whatever it has sent so far, a client that stops is cut off after maxSilence.
func (c *clientConn) moveDeadline() {
	now := time.Now()
	if gap := now.Sub(c.lastReadAt); !c.lastReadAt.IsZero() && gap > maxClientReadGap {
		c.messageDeadline = c.messageDeadline.Add(gap)
	}
	end := c.messageDeadline.Add(time.Duration(c.messageBytes) * time.Second / minBodyRate)
	if silentEnd := now.Add(maxSilence); silentEnd.Before(end) {
		end = silentEnd
	}
	if end.Sub(c.readDeadline).Abs() > minDeadlineStep {
		c.readDeadline = end
		c.TCPConn.SetReadDeadline(end)
	}
}

// SetReadDeadline never moves the deadline of a connection's first message beyond MessageTimeout after the accept,
// so that a client cannot hold its slot by sending nothing, or a byte at a time. For later messages it only
// records the deadline, and the next read sets it if it differs noticeably: most messages are complete by
// then, so a busy connection sets its deadline once for many messages.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.lastReadAt = time.Time{}
	if last := c.acceptedAt.Add(MessageTimeout); !c.hadRequest && (t.IsZero() || t.After(last)) {
		t = last
	} else if c.hadRequest && time.Until(t) > 0 {
		c.nextReadDeadline = t
		c.messageDeadline = t
		return nil
	}
	c.nextReadDeadline = time.Time{}
	c.readDeadline = t
	c.messageDeadline = t
	return c.TCPConn.SetReadDeadline(t)
}

// SetWriteDeadline does nothing if the deadline in force is at most MessageTimeout/2 earlier than t, to save calls.
func (c *clientConn) SetWriteDeadline(t time.Time) error {
	if !t.IsZero() && c.writeDeadline.After(t.Add(-MessageTimeout/2)) {
		return nil
	}
	c.writeDeadline = t
	return c.TCPConn.SetWriteDeadline(t)
}

// ContinueTurn lets others run if the connection's client has had its messages handled for long without a wait for it.
// The goroutine that reads the connection must call it.
func ContinueTurn(conn net.Conn) {
	if c, ok := conn.(*clientConn); ok {
		c.input.turn.Continue()
	}
}

// BeginTurn is to be called in place of ContinueTurn after a wait.
func BeginTurn(conn net.Conn) {
	if c, ok := conn.(*clientConn); ok {
		c.input.turn.Waited()
	}
}

// InterruptRead aborts a read of the connection that another goroutine is blocked in. With finished set,
// nobody reads the connection any more: InterruptRead then only clears the deadline that aborted the read.
func InterruptRead(conn net.Conn, finished bool) {
	c, ok := conn.(*clientConn)
	switch {
	case !ok:
	case !finished:
		c.TCPConn.SetReadDeadline(time.Unix(1, 0))
	default:
		c.SetReadDeadline(time.Time{})
	}
}
