package discovery

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"ledgespread/internal/machine"
	"ledgespread/internal/peek"
)

// Limits of the connections to one address. The schedule keeps the number of calls that may still be answered in time
// below maxConnections.
const (
	maxConnections        = 40
	maxOverdueConnections = 16          // whose calls should have been answered by now
	maxIdle               = time.Second // an idle connection older than that is not reused
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
	opened  int  // connections so far
	open    map[*connection]bool
	idle    *connection // the one among open that carried the last answer, if nothing has used it since
}

// connection is an HTTP connection to discovery that carries one call at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	number int // at its endpoint, from 1 on
	calls  int // carried so far; only the call that it carries changes it

	// Protected by the endpoint's lock:
	since     time.Time // the start of its last call, or of its idle time
	answerDue time.Time // of its last call
	replaced  bool      // it was closed for a newer one
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
// many, acquire closes another one. answerDue is when the answer to the call should have come.
func (e *endpoint) acquire(mayReuse bool, answerDue time.Time) (*connection, error) {
	if c := e.takeIdle(mayReuse, answerDue); c != nil {
		return c, nil
	}
	tcp, err := machine.Retry(context.Background(), time.Now().Add(connectTimeout), func() (net.Conn, error) {
		return e.dial(e.address, connectTimeout)
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUnreachable, err)
	}
	opened := &connection{Conn: tcp, reader: bufio.NewReader(tcp), writer: bufio.NewWriter(tcp), since: time.Now(), answerDue: answerDue}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.retired {
		tcp.Close()
		return nil, net.ErrClosed
	}
	if excess := e.dispensable(); excess != nil {
		excess.replaced = true
		delete(e.open, excess)
		excess.Close()
	}
	e.opened++
	opened.number = e.opened
	e.open[opened] = true
	return opened, nil
}

// wasReplaced reports whether the connection was closed for a newer one.
func (e *endpoint) wasReplaced(c *connection) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.replaced
}

// takeIdle ends the idle time of the idle connection. It returns the connection if it may be reused and is usable,
// and closes it otherwise.
func (e *endpoint) takeIdle(mayReuse bool, answerDue time.Time) *connection {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.idle
	if c == nil {
		return nil
	}
	if mayReuse && c.isUsable() {
		e.idle = nil
		c.since, c.answerDue = time.Now(), answerDue
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

// dispensable returns the connection to be closed before another one is opened, or nil if there are few enough. A call
// that may still be answered in time is not closed. Of the overdue ones the first are the next that a service answers which
// handles calls one after another, so the last one is closed, unless the first has waited for too long. The caller holds
// the lock.
func (e *endpoint) dispensable() *connection {
	now := time.Now()
	connections := slices.SortedFunc(maps.Keys(e.open), func(a, b *connection) int { return a.since.Compare(b.since) })
	var overdue []*connection
	for _, c := range connections {
		if c != e.idle && c.answerDue.Before(now) {
			overdue = append(overdue, c)
		}
	}
	switch {
	case len(overdue) >= maxOverdueConnections && now.Sub(overdue[0].since) > maxCallAge:
		return overdue[0]
	case len(overdue) >= maxOverdueConnections:
		return overdue[len(overdue)-1]
	case len(connections) >= maxConnections:
		return connections[0]
	}
	return nil
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
