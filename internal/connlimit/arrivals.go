package connlimit

import (
	"net"
	"time"
)

const (
	arrivalStep = time.Millisecond // bytes that came within it share the first one's time
	maxArrivals = 64               // times that are kept; beyond that the last bytes share the latest one
)

// arrivals records when the bytes were read from a connection's socket that wait for the end of the message before them.
type arrivals []arrival

// arrival is the time by which a number of bytes, counted since the accept, had been read.
type arrival struct {
	bytes int
	at    time.Time
}

// note records that so many bytes have been read by now.
func (a *arrivals) note(bytes int, now time.Time) {
	if n := len(*a); n > 0 {
		if last := &(*a)[n-1]; n == maxArrivals {
			*last = arrival{bytes, now}
			return
		} else if now.Sub(last.at) < arrivalStep {
			last.bytes = bytes
			return
		}
	}
	*a = append(*a, arrival{bytes, now})
}

// of returns when so many bytes had been read, and forgets those before; zero: they have only just been read.
func (a *arrivals) of(bytes int) time.Time {
	for len(*a) > 0 && (*a)[0].bytes < bytes {
		*a = (*a)[1:]
	}
	if len(*a) == 0 {
		*a = nil
		return time.Time{}
	}
	return (*a)[0].at
}

// ArrivedAt returns when the last byte of the message came that has been passed on last, which may be now. A message that was
// sent behind another one may have waited for that one's answer since then.
func ArrivedAt(conn net.Conn, now time.Time) time.Time {
	if c, ok := conn.(*clientConn); ok && c.sentAhead {
		if at := c.arrivals.of(c.input.readSoFar() - len(c.pipelined)); !at.IsZero() {
			return at
		}
	}
	return now
}

// noteArrival records when the bytes were read that are kept for later, if there are any.
func (c *clientConn) noteArrival() {
	if len(c.pipelined) > 0 {
		c.arrivals.note(c.input.readSoFar(), time.Now())
	}
}
