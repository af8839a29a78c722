package clients

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// pool holds the connections of all clients to one sidecar. The idle connection that was used last is reused
// first.
type pool struct {
	address          string
	maxOpen          int         // maximum of open connections
	down             atomic.Bool // the sidecar is down
	noNewConnections atomic.Bool // no new connections are opened
	mu               sync.Mutex
	idle             []*connection
	open             int
}

// connection is one connection with its buffered reader.
type connection struct {
	tcp    net.Conn
	reader *bufio.Reader
}

// available reports whether a visit may be sent to this sidecar.
func (p *pool) available() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.down.Load() && (!p.noNewConnections.Load() || len(p.idle) > 0)
}

var errNoConnection = errors.New("the clients' connections to this sidecar are at their maximum, or it accepts no new ones")

// acquire returns an idle connection (reused is true) or opens a new one; with forceNew, always a new one.
func (p *pool) acquire(forceNew bool, timeout time.Duration) (conn *connection, reused bool, err error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 && !forceNew {
		conn, p.idle = p.idle[n-1], p.idle[:n-1]
		p.mu.Unlock()
		return conn, true, nil
	}
	if p.open >= p.maxOpen || p.noNewConnections.Load() {
		p.mu.Unlock()
		return nil, false, errNoConnection
	}
	p.open++
	p.mu.Unlock()
	tcp, err := net.DialTimeout("tcp", p.address, timeout)
	if err != nil {
		p.countClosed()
		return nil, false, err
	}
	return &connection{tcp, bufio.NewReaderSize(tcp, 4<<10)}, false, nil
}

// release returns a connection to the pool for reuse.
func (p *pool) release(conn *connection) {
	p.mu.Lock()
	p.idle = append(p.idle, conn)
	p.mu.Unlock()
}

// countClosed counts a connection as closed.
func (p *pool) countClosed() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle {
		conn.tcp.Close()
	}
	p.open -= len(p.idle)
	p.idle = nil
}
