package discovery

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"ledgespread/internal/machine"
	"ledgespread/internal/peek"
)

const (
	maxConnections = 2 * maxSideBySide // to one address, calls that nobody waits for included
	maxIdle        = 10 * time.Second  // an older idle connection is not used again
)

// Dial makes a connection to discovery within this time.
type Dial func(address string, within time.Duration) (net.Conn, error)

// service is discovery at one address, with the connections to it that are open.
type service struct {
	address   string
	maxAnswer int // bytes
	dial      Dial

	// Under the watcher's lock:
	version   uint64 // of the newest list that was told
	silent    bool   // nothing was told from this address yet: its versions may count otherwise
	toldAt    uint64 // by the watcher's count, when that was told
	doubtedAt uint64 // likewise, when a lower version came to a call that began after that; 0: none did

	mu      sync.Mutex
	retired bool // no new connections
	open    map[*connection]bool
	idle    []*connection // of these, the one used last stands last
}

// connection is one to discovery; it carries one call at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	since  time.Time // its last call began, or it is idle; under the service's lock
}

// endSending tells the other side that its answer is not waited for any more. What it has written, or still writes, can be read.
func (c *connection) endSending() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		c.Conn.Close()
	}
}

// roundTrip sends a request and reads its answer.
func (c *connection) roundTrip(request *fasthttp.Request, response *fasthttp.Response, maxAnswer int) error {
	if err := request.Write(c.writer); err != nil {
		return err
	}
	if err := c.writer.Flush(); err != nil {
		return err
	}
	return response.ReadLimitBody(c.reader, maxAnswer)
}

func newService(address string, maxAnswer int, dial Dial) *service {
	return &service{address: address, maxAnswer: maxAnswer, dial: dial, open: map[*connection]bool{}}
}

// take books the version of an answer that holds, and when that was told; the watcher's lock is held.
func (s *service) take(version, at uint64) {
	s.version = version
	s.silent = false
	s.toldAt = at
	s.doubtedAt = 0
}

// acquire finds an idle connection, or opens one. Where there are too many, the one whose call is out for longest is closed.
func (s *service) acquire() (*connection, error) {
	if c := s.takeIdle(); c != nil {
		return c, nil
	}
	tcp, err := machine.Retry(context.Background(), time.Now().Add(waitMost), func() (net.Conn, error) {
		return s.dial(s.address, waitMost)
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errOutOfReach, err)
	}
	opened := &connection{Conn: tcp, reader: bufio.NewReader(tcp), writer: bufio.NewWriter(tcp), since: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retired {
		tcp.Close()
		return nil, net.ErrClosed
	}
	if len(s.open) >= maxConnections {
		oldest := s.oldest()
		delete(s.open, oldest)
		oldest.Close()
	}
	s.open[opened] = true
	return opened, nil
}

// takeIdle is the connection used last, if the other side has not closed it meanwhile.
func (s *service) takeIdle() *connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.idle) > 0 {
		c := s.idle[len(s.idle)-1]
		s.idle = s.idle[:len(s.idle)-1]
		if time.Since(c.since) < maxIdle && c.reader.Buffered() == 0 && peek.Look(c.Conn, false) == peek.Quiet {
			c.since = time.Now()
			return c
		}
		delete(s.open, c)
		c.Close()
	}
	return nil
}

// release gives a connection back, to be used again where its answer came whole.
func (s *service) release(c *connection, reusable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reusable && s.open[c] && !s.retired {
		c.since = time.Now()
		s.idle = append(s.idle, c)
		return
	}
	delete(s.open, c)
	c.Close()
}

// oldest is the connection whose last call began first; the lock is held.
func (s *service) oldest() (oldest *connection) {
	for c := range s.open {
		if oldest == nil || c.since.Before(oldest.since) {
			oldest = c
		}
	}
	return oldest
}

// retire ends the calls at an address that was left. What was written to them by then still comes.
func (s *service) retire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retired = true
	for _, c := range s.idle {
		delete(s.open, c)
		c.Close()
	}
	s.idle = nil
	for c := range s.open {
		c.endSending()
	}
}

// calls is how many calls are out, that have a connection.
func (s *service) calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open) - len(s.idle)
}

// close ends all connections; later calls get none.
func (s *service) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retired = true
	for c := range s.open {
		c.Close()
	}
}
