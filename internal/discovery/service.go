package discovery

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// maxConnections bounds the connections to one address, calls that nobody waits for included.
const maxConnections = 2 * maxSideBySide

// service is discovery at one address, with the connections to it that are open.
type service struct {
	address string
	client  *fasthttp.HostClient

	// Under the watcher's lock:
	version uint64 // of the newest list that was told
	silent  bool   // nothing was told from this address yet: its versions may count otherwise

	mu          sync.Mutex
	retired     bool // no new connections
	connections map[*connection]bool
}

// connection is one to discovery; its service forgets it when it closes.
type connection struct {
	net.Conn
	service *service
	asked   time.Time // the last call on it was written; under the service's lock
}

func (c *connection) Write(text []byte) (int, error) {
	c.service.mu.Lock()
	c.asked = time.Now()
	c.service.mu.Unlock()
	return c.Conn.Write(text)
}

func (c *connection) Close() error {
	c.service.mu.Lock()
	delete(c.service.connections, c)
	c.service.mu.Unlock()
	return c.Conn.Close()
}

func newService(address string, maxAnswer int) *service {
	s := &service{address: address, connections: map[*connection]bool{}}
	s.client = &fasthttp.HostClient{Addr: address, MaxConns: 2 * maxConnections, MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader: true, MaxResponseBodySize: maxAnswer, Dial: s.dial}
	return s
}

// dial opens a connection. Where there are too many, the one whose call is out for longest is closed.
func (s *service) dial(address string) (net.Conn, error) {
	tcp, err := fasthttp.DialTimeout(address, waitMost)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errOutOfReach, err)
	}
	opened := &connection{Conn: tcp, service: s, asked: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retired {
		tcp.Close()
		return nil, net.ErrClosed
	}
	if len(s.connections) >= maxConnections {
		oldest := s.oldest()
		delete(s.connections, oldest)
		oldest.Conn.Close()
	}
	s.connections[opened] = true
	return opened, nil
}

// oldest is the connection whose last call was written first; the lock is held.
func (s *service) oldest() (oldest *connection) {
	for c := range s.connections {
		if oldest == nil || c.asked.Before(oldest.asked) {
			oldest = c
		}
	}
	return oldest
}

// retire ends the calls at an address that was left, by ending the sending on their connections. What was written to them by then
// still comes.
func (s *service) retire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retired = true
	for c := range s.connections {
		if half, ok := c.Conn.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
			c.Conn.Close()
		}
	}
}

// close ends all connections; later calls get none.
func (s *service) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retired = true
	for c := range s.connections {
		c.Conn.Close()
	}
}
