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
	maxConnections = 2 * maxParallelCalls // to one address, including those of abandoned calls
	maxIdle        = 10 * time.Second     // an idle connection older than that is not reused
)

// Dial connects to discovery within a timeout.
type Dial func(address string, timeout time.Duration) (net.Conn, error)

// endpoint is discovery at one address, with a pool of connections to it.
type endpoint struct {
	address   string
	maxAnswer int // bytes
	dial      Dial

	// Protected by the watcher's lock:
	version        uint64 // of the list accepted last
	unconfirmed    bool   // no list from this address was accepted yet, so its versions may not be comparable
	acceptedAt     uint64 // the watcher's sequence number when version was accepted
	lowerVersionAt uint64 // likewise, when a later call was first answered with a lower version; 0: none was

	mu      sync.Mutex
	retired bool // opens no new connections
	open    map[*connection]bool
	idle    []*connection // the idle ones among open; the one used last is at the end
}

// connection is an HTTP connection to discovery that carries one call at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	calls  int       // carried so far; only the call that it carries changes it
	since  time.Time // the start of its last call, or of its idle time; protected by the endpoint's lock
}

// endSending closes the sending side to show the service that nobody waits for its answer any more. What the
// service has written, or still writes, can be read.
func (c *connection) endSending() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		c.Conn.Close()
	}
}

// roundTrip sends a request and reads the response.
func (c *connection) roundTrip(request *fasthttp.Request, response *fasthttp.Response, maxAnswer int) error {
	if err := request.Write(c.writer); err != nil {
		return err
	}
	if err := c.writer.Flush(); err != nil {
		return err
	}
	return response.ReadLimitBody(c.reader, maxAnswer)
}

func newEndpoint(address string, maxAnswer int, dial Dial) *endpoint {
	return &endpoint{address: address, maxAnswer: maxAnswer, dial: dial, open: map[*connection]bool{}}
}

// acceptVersion records the version of an accepted list, and the sequence number of its acceptance. The
// caller holds the watcher's lock.
func (e *endpoint) acceptVersion(version, sequence uint64) {
	e.version = version
	e.unconfirmed = false
	e.acceptedAt = sequence
	e.lowerVersionAt = 0
}

// acquire returns an idle connection, or opens one. If that makes too many, it closes the connection whose
// call started first.
func (e *endpoint) acquire() (*connection, error) {
	if c := e.takeIdle(); c != nil {
		return c, nil
	}
	tcp, err := machine.Retry(context.Background(), time.Now().Add(callTimeout), func() (net.Conn, error) {
		return e.dial(e.address, callTimeout)
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUnreachable, err)
	}
	opened := &connection{Conn: tcp, reader: bufio.NewReader(tcp), writer: bufio.NewWriter(tcp), since: time.Now()}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.retired {
		tcp.Close()
		return nil, net.ErrClosed
	}
	if len(e.open) >= maxConnections {
		oldest := e.oldest()
		delete(e.open, oldest)
		oldest.Close()
	}
	e.open[opened] = true
	return opened, nil
}

// takeIdle returns the idle connection used last that the service has not closed in the meantime, or nil. It
// closes those that it finds unusable.
func (e *endpoint) takeIdle() *connection {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.idle) > 0 {
		c := e.idle[len(e.idle)-1]
		e.idle = e.idle[:len(e.idle)-1]
		if time.Since(c.since) < maxIdle && c.reader.Buffered() == 0 && peek.Inspect(c.Conn, false) == peek.Empty {
			c.since = time.Now()
			return c
		}
		delete(e.open, c)
		c.Close()
	}
	return nil
}

// release returns a connection to the pool if its answer was read completely, and closes it otherwise.
func (e *endpoint) release(c *connection, reusable bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reusable && e.open[c] && !e.retired {
		c.since = time.Now()
		e.idle = append(e.idle, c)
		return
	}
	delete(e.open, c)
	c.Close()
}

// oldest returns the open connection with the earliest start of its last call. The caller holds the lock.
func (e *endpoint) oldest() (oldest *connection) {
	for c := range e.open {
		if oldest == nil || c.since.Before(oldest.since) {
			oldest = c
		}
	}
	return oldest
}

// retire ends the calls at an address that is no longer used. Answers that the service writes until it
// notices are still read.
func (e *endpoint) retire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retired = true
	for _, c := range e.idle {
		delete(e.open, c)
		c.Close()
	}
	e.idle = nil
	for c := range e.open {
		c.endSending()
	}
}

// activeCalls returns how many connections carry a call.
func (e *endpoint) activeCalls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.open) - len(e.idle)
}

// close closes all connections. Later calls fail.
func (e *endpoint) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retired = true
	for c := range e.open {
		c.Close()
	}
}
