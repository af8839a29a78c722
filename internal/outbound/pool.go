package outbound

import (
	"bufio"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"ledgespread/brain"
	"ledgespread/internal/counters"
	"ledgespread/internal/peek"
)

// conn is one connection to a server.
type conn struct {
	net.Conn
	in      *bufio.Reader
	address string
	idle    time.Time // since when
	broke   error     // how reading from it ended; nil: what came, came whole
	until   time.Time // the deadline that is set on it
}

// by sets a deadline, unless one is set that comes no earlier and not much later: a busy connection is told once for
// many attempts. What it may be late by is no request's loss: that is answered by the module's own clock.
func (l *conn) by(until time.Time) {
	if left := time.Until(until); l.until.Before(until) || l.until.After(until.Add(left/deadlinePart)) {
		l.until = until.Add(left / deadlinePart / 2)
		l.SetDeadline(l.until)
	}
}

func (l *conn) Read(p []byte) (n int, err error) {
	if n, err = l.Conn.Read(p); err != nil {
		l.broke = err
	}
	return n, err
}

// alive tells whether the other side has neither closed a line nor sent anything unasked.
func (l *conn) alive() bool { return l.in.Buffered() == 0 && peek.Look(l.Conn, false) == peek.Quiet }

// pool holds the connections that carry nothing, and counts all that are open.
type pool struct {
	mu     sync.Mutex
	idle   map[brain.ServerID][]*conn // the one used last stands last
	keep   atomic.Int64               // nanoseconds for which one may stand idle
	open   int
	most   int
	counts *counters.Sheet
	log    zerolog.Logger
}

// Why a connection that carries nothing is closed, as the log has it.
const (
	reasonMoved     = "the server has another address"
	reasonIdle      = "idle for as long as it may"
	reasonStale     = "the server closed it, or sent something unasked"
	reasonRoom      = "another server needs its place"
	reasonForgotten = "its server left, or broke another one"
)

// logClosed tells at debug that a connection was closed, and why.
func (p *pool) logClosed(l *conn, reason string) {
	if entry := p.log.Debug(); entry.Enabled() {
		entry.Str("server", l.address).Dur("idle", time.Since(l.idle)).Str("reason", reason).Msg("server connection closed")
	}
}

// settles is how long a server's last word may be late: some milliseconds, by the platform's page.
const settles = 3 * time.Millisecond

// take finds an idle connection. It gives none that the server has closed, or is about to close. A second answer some milliseconds
// after the first, which the next request would get for its own, shows on a connection that had time to settle: that is waited for.
func (p *pool) take(server brain.ServerID, address string) *conn {
	for {
		l := p.next(server)
		if l == nil {
			return nil
		}
		time.Sleep(settles - time.Since(l.idle))
		reason := ""
		switch {
		case l.address != address:
			reason = reasonMoved
		case int64(time.Since(l.idle)) >= p.keep.Load():
			reason = reasonIdle
		case !l.alive():
			reason = reasonStale
		default:
			return l
		}
		p.counts.Add(counters.ConnectionsStale)
		p.logClosed(l, reason)
		l.Close()
		p.closed()
	}
}

// next takes out of the idle connections, of those that have settled, the one used last; if none has, the one that needs least.
func (p *pool) next(server brain.ServerID) (l *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lines := p.idle[server]
	if len(lines) == 0 {
		return nil
	}
	i := len(lines) - 1
	for i > 0 && time.Since(lines[i].idle) < settles {
		i--
	}
	l = lines[i]
	p.idle[server] = slices.Delete(lines, i, i+1)
	return l
}

// room books a new connection. At the bound the one that is idle for longest goes, so descriptors do not run out.
func (p *pool) room() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.most {
		var oldest brain.ServerID
		var since time.Time
		for server, lines := range p.idle {
			if len(lines) > 0 && (since.IsZero() || lines[0].idle.Before(since)) {
				oldest, since = server, lines[0].idle
			}
		}
		if since.IsZero() {
			return false
		}
		p.shut(p.idle[oldest][0], reasonRoom)
		p.idle[oldest] = p.idle[oldest][1:]
	}
	p.open++
	return true
}

func (p *pool) put(server brain.ServerID, l *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.idle = time.Now() // its deadline is set when it is used again
	p.idle[server] = append(p.idle[server], l)
}

func (p *pool) closed() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// shut closes a connection; the lock is held.
func (p *pool) shut(l *conn, reason string) {
	p.logClosed(l, reason)
	l.Close()
	p.open--
}

func (p *pool) drop(server brain.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.idle[server] {
		p.shut(l, reasonForgotten)
	}
	delete(p.idle, server)
}

// sweep closes what has stood idle for as long as it may.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for server, lines := range p.idle {
		n := 0
		for n < len(lines) && int64(time.Since(lines[n].idle)) >= p.keep.Load() {
			p.shut(lines[n], reasonIdle)
			n++
		}
		if p.idle[server] = lines[n:]; n == len(lines) {
			delete(p.idle, server)
		}
	}
}
