package discovery

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// service is discovery at one address, with the connections to it that are open.
type service struct {
	address string
	client  *fasthttp.HostClient

	mu    sync.Mutex
	left  bool
	lines map[*conn]bool
}

// conn is a connection to discovery; its service forgets it when it closes.
type conn struct {
	net.Conn
	of *service
}

func (l *conn) Close() error {
	l.of.mu.Lock()
	delete(l.of.lines, l)
	l.of.mu.Unlock()
	return l.Conn.Close()
}

func (w *Watcher) service(address string) *service {
	s := &service{address: address, lines: map[*conn]bool{}}
	s.client = &fasthttp.HostClient{Addr: address, MaxConns: 2 * steps, MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader: true, MaxResponseBodySize: w.most,
		Dial: func(at string) (net.Conn, error) { return s.dial(at, waitMost) }}
	return s
}

func (s *service) dial(at string, wait time.Duration) (net.Conn, error) {
	c, err := fasthttp.DialTimeout(at, wait)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errOutOfReach, err)
	}
	l := &conn{c, s}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left {
		c.Close()
		return nil, net.ErrClosed
	}
	s.lines[l] = true
	return l, nil
}

// leave closes all connections, so that calls that hang end; later ones get none.
func (s *service) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left = true
	for l := range s.lines {
		l.Conn.Close()
	}
}
