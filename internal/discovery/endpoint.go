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
	maxIdle        = time.Second          // an idle connection older than that is not reused
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
	idle    *connection // the one among open that carried the last answer, if nothing has used it since
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

// acquire returns a connection for a call. A call that directly follows an answer may reuse the connection of that
// answer; any other one gets a new connection, since those that are open may have fallen silent. If that makes too
// many, acquire closes the connection whose call started first.
func (e *endpoint) acquire(mayReuse bool) (*connection, error) {
	if c := e.takeIdle(mayReuse); c != nil {
		return c, nil
	}
	tcp, err := machine.Retry(context.Background(), time.Now().Add(connectTimeout), func() (net.Conn, error) {
		return e.dial(e.address, connectTimeout)
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

// takeIdle ends the idle time of the idle connection. It returns the connection if it may be reused and is usable,
// and closes it otherwise.
func (e *endpoint) takeIdle(mayReuse bool) *connection {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.idle
	if c == nil {
		return nil
	}
	if mayReuse && c.isUsable() {
		e.idle = nil
		c.since = time.Now()
		return c
	}
	e.closeIdle()
	return nil
}

// isUsable reports whether an idle connection may carry another call: it was used just now, and the service has
// neither closed it nor written anything unasked. The caller holds the endpoint's lock.
func (c *connection) isUsable() bool {
	return time.Since(c.since) < maxIdle && c.reader.Buffered() == 0 && peek.Inspect(c.Conn, false) == peek.Empty
}

// closeIdle closes the idle connection, if there is one. The caller holds the lock.
func (e *endpoint) closeIdle() {
	if e.idle == nil {
		return
	}
	delete(e.open, e.idle)
	e.idle.Close()
	e.idle = nil
}

// release ends the use of a connection by a call. The connection becomes the idle one if the answer was read
// completely. The one that was idle before is closed: its last answer is older.
func (e *endpoint) release(c *connection, reusable bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closeIdle()
	if reusable && e.open[c] && !e.retired {
		c.since = time.Now()
		e.idle = c
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
	e.closeIdle()
	for c := range e.open {
		c.endSending()
	}
}

// activeCalls returns how many connections carry a call.
func (e *endpoint) activeCalls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.idle != nil {
		return len(e.open) - 1
	}
	return len(e.open)
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
