package clients

// pool.go: connections that clients keep to a sidecar.

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// pool is the connections to one sidecar: those kept are used again, the last one first.
type pool struct {
	address string
	most    int
	shut    atomic.Bool
	fades   atomic.Bool // only connections that are open are used
	mu      sync.Mutex
	idle    []*line
	open    int
}

type line struct {
	tcp net.Conn
	in  *bufio.Reader
}

// takes tells whether something may be sent there.
func (p *pool) takes() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.shut.Load() && (!p.fades.Load() || len(p.idle) > 0)
}

var errNoPlace = errors.New("the clients of this sidecar hold all the connections they may, or it gets no new ones")

func (p *pool) take(fresh bool, most time.Duration) (c *line, kept bool, err error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 && !fresh {
		c, p.idle = p.idle[n-1], p.idle[:n-1]
		p.mu.Unlock()
		return c, true, nil
	}
	if p.open >= p.most || p.fades.Load() {
		p.mu.Unlock()
		return nil, false, errNoPlace
	}
	p.open++
	p.mu.Unlock()
	tcp, err := net.DialTimeout("tcp", p.address, most)
	if err != nil {
		p.gone()
		return nil, false, err
	}
	return &line{tcp, bufio.NewReaderSize(tcp, 4<<10)}, false, nil
}

func (p *pool) keep(c *line) {
	p.mu.Lock()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

func (p *pool) gone() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.tcp.Close()
	}
	p.open -= len(p.idle)
	p.idle = nil
}
