package inbound

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"ledgespread/internal/counters"
)

// listener accepts no more connections than it has places for; the others wait in the backlog.
type listener struct {
	*net.TCPListener
	places chan struct{}
	counts *counters.Sheet
	log    zerolog.Logger
}

// client is an accepted connection. Closing it frees its place.
type client struct {
	*net.TCPConn
	leave func()
}

func (c *client) Close() error {
	c.leave()
	return c.TCPConn.Close()
}

// Accept waits for a place and a connection. Guards against the end of the server by a failed accept, and against
// spinning on it: for want of descriptors, or over a connection that broke in the backlog, it waits a little.
func (l *listener) Accept() (net.Conn, error) {
	l.places <- struct{}{}
	for wait := time.Millisecond; ; wait = min(2*wait, 100*time.Millisecond) {
		c, err := l.AcceptTCP()
		if err == nil {
			l.counts.Add(counters.ClientConnections)
			return &client{c, sync.OnceFunc(func() { <-l.places })}, nil
		}
		if errors.Is(err, net.ErrClosed) {
			<-l.places
			return nil, err
		}
		l.counts.Add(counters.AcceptFailures)
		if wait == time.Millisecond {
			l.log.Warn().Err(err).Msg("accept failed")
		}
		time.Sleep(wait)
	}
}

// watch tells when the other side closes its connection, and eats no byte of a next visit. stop ends the watch;
// nothing reads the connection meanwhile.
func watch(c net.Conn) (gone <-chan struct{}, stop func()) {
	closed, over := make(chan struct{}), make(chan struct{})
	sc, ok := c.(syscall.Conn)
	if !ok {
		return closed, func() {}
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return closed, func() {}
	}
	go func() {
		defer close(over)
		left := false
		raw.Read(func(fd uintptr) bool {
			var one [1]byte
			n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if err == syscall.EAGAIN || err == syscall.EINTR {
				return false
			}
			left = n <= 0 // more than nothing is a visit sent ahead: its client is there
			return true
		})
		if left {
			close(closed)
		}
	}()
	return closed, func() {
		c.SetReadDeadline(time.Unix(1, 0))
		<-over
		c.SetReadDeadline(time.Time{})
	}
}
