package outbound

import (
	"bufio"
	"bytes"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"ledgespread/brain"
	"ledgespread/internal/counters"
	"ledgespread/internal/memory"
	"ledgespread/internal/peek"
)

// conn is a connection to a server.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	unread    []byte // what a former reader had buffered; it is read again first
	address   string
	idleSince time.Time // since when it has been idle
	readErr   error     // error of the last read; nil: none failed
	deadline  time.Time // the deadline that is set on the connection
}

// ensureDeadline sets a deadline, unless the one that is set is no earlier and only a little later: a busy
// connection then sets a deadline once for many attempts. No client waits for the late deadline, since the
// Balancer's own timers answer the request.
func (c *conn) ensureDeadline(deadline time.Time) {
	if left := time.Until(deadline); c.deadline.Before(deadline) || c.deadline.After(deadline.Add(left/deadlineSlackDivisor)) {
		c.deadline = deadline.Add(left / deadlineSlackDivisor / 2)
		c.SetDeadline(c.deadline)
	}
}

// Read reads from the connection and records an error.
func (c *conn) Read(p []byte) (n int, err error) {
	if len(c.unread) > 0 {
		n = copy(p, c.unread)
		c.unread = c.unread[n:]
		return n, nil
	}
	if n, err = c.Conn.Read(p); err != nil {
		c.readErr = err
	}
	return n, err
}

// buffered returns how many bytes have been received and not been consumed.
func (c *conn) buffered() int { return c.reader.Buffered() + len(c.unread) }

// replaceReader takes a reader with a buffer of another size.
func (c *conn) replaceReader(size int) {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.unread = append(bytes.Clone(buffered), c.unread...)
	c.reader = bufio.NewReaderSize(c, size)
}

// shrinkReader takes a reader of the usual size again once a long head has been consumed.
func (c *conn) shrinkReader() {
	if c.reader.Size() > readBufferSize {
		c.replaceReader(readBufferSize)
	}
}

// isQuiet reports whether the server has neither closed the connection nor sent unexpected data.
func (c *conn) isQuiet() bool {
	return c.buffered() == 0 && peek.Inspect(c.Conn, false) == peek.Empty
}

// connectionBytes is the memory of a connection: its buffer, the smallest piece of a body, and the stack of an attempt.
const connectionBytes = 12 << 10

// pool holds the idle connections and counts all open ones.
type pool struct {
	mu          sync.Mutex
	idle        map[brain.ServerID][]*conn // most recently used last
	idleTimeout atomic.Int64               // idle timeout in nanoseconds
	openCount   int
	maxOpen     int
	account     *memory.Account
	counts      *counters.Set
	log         zerolog.Logger
}

// Reasons for which an idle connection is closed, as they are logged.
const (
	reasonMoved     = "the server has another address"
	reasonIdle      = "idle timeout reached"
	reasonStale     = "closed by the server, or unexpected data received"
	reasonEvicted   = "connection limit reached; closed for another server"
	reasonForgotten = "server left the list, or another connection to it broke"
)

// logClosed logs at debug level that a connection was closed, and why.
func (p *pool) logClosed(connection *conn, reason string) {
	if entry := p.log.Debug(); entry.Enabled() {
		entry.Str("server", connection.address).Dur("idle", time.Since(connection.idleSince)).Str("reason", reason).Msg("server connection closed")
	}
}

// settleTime is how long after an answer the server may still close the connection or send unexpected data:
// the platform allows some milliseconds.
const settleTime = 3 * time.Millisecond

// takeIdle returns an idle connection, or nil. It skips those that the server has closed or is about to
// close. A server may send a second answer some milliseconds after the first, and the next request would take
// it for its own. takeIdle therefore waits until the connection has been idle for settleTime, by which such
// an answer has arrived.
func (p *pool) takeIdle(server brain.ServerID, address string) *conn {
	for {
		connection := p.removeIdle(server)
		if connection == nil {
			return nil
		}
		time.Sleep(settleTime - time.Since(connection.idleSince))
		reason := ""
		switch {
		case connection.address != address:
			reason = reasonMoved
		case int64(time.Since(connection.idleSince)) >= p.idleTimeout.Load():
			reason = reasonIdle
		case !connection.isQuiet():
			reason = reasonStale
		default:
			return connection
		}
		p.counts.Add(counters.ConnectionsStale)
		p.logClosed(connection, reason)
		connection.Close()
		p.release()
	}
}

// removeIdle removes an idle connection and returns it: the most recently used one that has been idle for
// settleTime, or the one that has been idle longest if there is none.
func (p *pool) removeIdle(server brain.ServerID) (connection *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	connections := p.idle[server]
	if len(connections) == 0 {
		return nil
	}
	i := len(connections) - 1
	for i > 0 && time.Since(connections[i].idleSince) < settleTime {
		i--
	}
	connection = connections[i]
	p.idle[server] = slices.Delete(connections, i, i+1)
	return connection
}

// reserve reserves a new connection. At the limit it closes the connection that has been idle longest, so
// that the process does not run out of descriptors; it returns false if none is idle.
func (p *pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openCount >= p.maxOpen {
		var oldest brain.ServerID
		var since time.Time
		for server, connections := range p.idle {
			if len(connections) > 0 && (since.IsZero() || connections[0].idleSince.Before(since)) {
				oldest, since = server, connections[0].idleSince
			}
		}
		if since.IsZero() {
			return false
		}
		p.closeLocked(p.idle[oldest][0], reasonEvicted)
		p.idle[oldest] = p.idle[oldest][1:]
	}
	p.openCount++
	p.account.Add(memory.ServerConnections, connectionBytes)
	return true
}

// putIdle keeps a connection for reuse.
func (p *pool) putIdle(server brain.ServerID, connection *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	connection.idleSince = time.Now() // its deadline is set when it is reused
	p.idle[server] = append(p.idle[server], connection)
}

// release records that a connection was closed, or could not be opened.
func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countClosed()
}

// countClosed records that a connection was closed; the caller holds the lock.
func (p *pool) countClosed() {
	p.openCount--
	p.account.Release(memory.ServerConnections, connectionBytes)
}

// closeLocked closes an idle connection; the caller holds the lock.
func (p *pool) closeLocked(connection *conn, reason string) {
	p.logClosed(connection, reason)
	connection.Close()
	p.countClosed()
}

// closeIdle closes a server's idle connections.
func (p *pool) closeIdle(server brain.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, connection := range p.idle[server] {
		p.closeLocked(connection, reasonForgotten)
	}
	delete(p.idle, server)
}

// closeExpired closes connections that have reached the idle timeout.
func (p *pool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for server, connections := range p.idle {
		expired := 0
		for expired < len(connections) && int64(time.Since(connections[expired].idleSince)) >= p.idleTimeout.Load() {
			p.closeLocked(connections[expired], reasonIdle)
			expired++
		}
		if p.idle[server] = connections[expired:]; expired == len(connections) {
			delete(p.idle, server)
		}
	}
}
