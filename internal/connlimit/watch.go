package connlimit

import (
	"net"
	"slices"
	"time"

	"ledgespread/internal/peek"
)

const (
	aheadMost  = 16 << 10 // bytes of next messages that are taken in while a request is out
	aheadPiece = 1 << 10
)

// Watch tells when the other side closes its connection. Bytes that come are a request sent ahead, whose client is there: they are kept for
// whoever reads next, up to a bound, since the end is seen only behind them. stop ends the watch; nothing reads the connection meanwhile.
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
