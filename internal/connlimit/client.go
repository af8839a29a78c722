package connlimit

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// LastWord is how soon a message's head, and what is short of its body, is to be there after its client came, or its first byte. A client may
// take two seconds for a head.
const LastWord = 2600 * time.Millisecond

// Bounds of reading a message.
const (
	slowestRate = 32 << 10         // bytes a second: a longer body is to come no slower, where it is read as fast as it comes
	short       = 8 << 10          // bytes of a message for which that is not looked at
	lateBy      = LastWord / 20    // a long body's deadline is moved on by this at least
	pause       = time.Millisecond // between two reads of a body: its client is not to blame for more

	deadlinePart = 8 // a read may end by this part earlier or later than its deadline
)

// Bounds of a connection that this side has shut.
const (
	lingers    = LastWord / 8 // it is read for so long, and what comes is dropped,
	lingerMost = 256 << 10    // up to so many bytes,
	dropPiece  = 1 << 10      // in pieces of so many
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

// linger reads what still comes, and drops it, until the other side closes too. A close over bytes that nobody read, of a message sent ahead or
// the rest of a body, would reset the connection, and an answer that was already written would be lost. One that goes on sending is no longer
// read, but still has its time to find the answer.
func (c *client) linger() {
	defer c.TCPConn.Close()
	defer c.leave()
	end := time.Now().Add(lingers)
	c.TCPConn.SetReadDeadline(end)
	drop := make([]byte, dropPiece)
	for n := 0; n < lingerMost; {
		came, err := c.TCPConn.Read(drop)
		if err != nil {
			return
		}
		n += came
	}
	time.Sleep(time.Until(end))
}

// Read gives what comes, but nothing that came after this side's last word.
func (c *client) Read(p []byte) (n int, err error) {
	n, err = c.read(p)
	if c.shut.Load() {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *client) read(p []byte) (n int, err error) {
	if len(c.ahead) > 0 {
		return c.takeAhead(p), nil
	}
	c.applyDeadline()
	if c.bytes > short {
		c.moveOn()
	}
	n, err = c.input.Read(p)
	c.bytes += n
	c.last = p[:n]
	if c.bytes > short {
		c.readAt = time.Now()
	}
	c.ends(err)
	return n, err
}

// takeAhead gives what Watch read of next messages.
func (c *client) takeAhead(p []byte) (n int) {
	n = copy(p, c.ahead)
	c.ahead = c.ahead[n:]
	if len(c.ahead) == 0 {
		c.ahead = nil
	}
	c.bytes += n
	c.last = p[:n]
	return n
}

// applyDeadline sets the deadline that was asked for, if it differs by more than a part from the one that is set.
func (c *client) applyDeadline() {
	if c.wantBy.IsZero() {
		return
	}
	slack := time.Until(c.wantBy) / deadlinePart
	if c.readBy.Before(c.wantBy.Add(-slack)) || c.readBy.After(c.wantBy.Add(slack)) {
		c.readBy = c.wantBy
		c.TCPConn.SetReadDeadline(c.readBy)
	}
	c.wantBy = time.Time{}
}

// ends notes that nothing more can come.
func (c *client) ends(err error) {
	c.ended = c.ended || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// moveOn gives a long body the time that it needs at the slowest rate, and what it was kept waiting: clients that are merely slow are not cut
// off, those that bring a byte at a time are.
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

// SetReadDeadline keeps the first message's end where it is, so that no client holds its place by saying nothing, or a byte at a time. A later
// message's is set when the connection is next read, if it differs by more than a part: most messages are whole by then, and a busy client's
// connection is told once for many.
func (c *client) SetReadDeadline(t time.Time) error {
	c.readAt = time.Time{}
	if last := c.came.Add(LastWord); !c.known && (t.IsZero() || t.After(last)) {
		t = last
	} else if c.known && time.Until(t) > 0 {
		c.wantBy = t
		c.lastBy = t
		return nil
	}
	c.wantBy = time.Time{}
	c.readBy = t
	c.lastBy = t
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
