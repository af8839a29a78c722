// Package network is the network between any two processes of a run: gates on loopback that delay, narrow, reset, silence
// or cut what passes. It knows nothing of what it carries.
package network

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"ledgespread/lab/chance"
	"ledgespread/lab/clock"
)

type Micros = clock.Micros

// Way is how things pass between two places; gates that share one change together.
type Way struct {
	mu            sync.Mutex
	delay, spread Micros
	narrow        int // bytes a second
	silent        bool
	cutIn, cutOut bool // what goes in to the target is lost; what comes out of it
	refuse        bool
	draw          *chance.Source
	gates         []*Gate
	changed       chan struct{}
}

// NewWay has this delay one way, and on top an exponential one of this mean.
func NewWay(delay, spread Micros, bytesPerSecond int, seed uint64, name string) *Way {
	return &Way{delay: delay, spread: spread, narrow: bytesPerSecond, draw: chance.New(seed, "way "+name),
		changed: make(chan struct{})}
}

// Change makes a change, and tells the connections that wait for it.
func (w *Way) Change(do func(*Way)) {
	w.mu.Lock()
	before := w.silent
	do(w)
	close(w.changed)
	w.changed = make(chan struct{})
	after, gates := w.silent, append([]*Gate(nil), w.gates...)
	w.mu.Unlock()
	if before != after {
		for _, g := range gates {
			g.mute(after)
		}
	}
}

// Delay sets the delay, Narrow the bytes a second, Silence whether packets vanish while connections stay; CutIn and
// CutOut the same for one way; Refuse whether new connections are. For use in Change.
func (w *Way) Delay(d Micros)   { w.delay = d }
func (w *Way) Narrow(bytes int) { w.narrow = bytes }
func (w *Way) Silence(on bool)  { w.silent = on }
func (w *Way) CutIn(on bool)    { w.cutIn = on }
func (w *Way) CutOut(on bool)   { w.cutOut = on }
func (w *Way) Refuse(on bool)   { w.refuse = on }

// Reset ends all connections of the way that are open.
func (w *Way) Reset() {
	w.mu.Lock()
	gates := append([]*Gate(nil), w.gates...)
	w.mu.Unlock()
	for _, g := range gates {
		g.reset()
	}
}

// passage is how a piece passes now: after how long, or that it waits for a change.
func (w *Way) passage(in bool, size int) (after Micros, blocked bool, changed chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	blocked = w.silent || in && w.cutIn || !in && w.cutOut
	if after = w.delay; w.spread > 0 {
		after += Micros(w.draw.Exp(float64(w.spread)))
	}
	if w.narrow > 0 {
		after += Micros(float64(size) / float64(w.narrow) * float64(clock.Second))
	}
	return after, blocked, w.changed
}

// Gate listens in front of a target.
type Gate struct {
	way      *Way
	target   string
	listener *net.TCPListener
	mu       sync.Mutex
	pairs    map[*pair]bool
	stuffing []net.Conn // fills the backlog while the way is silent
	silent   bool
	resume   chan struct{}
	closed   bool
}

type pair struct{ near, far *net.TCPConn }

// Open puts a gate before a target, at a free address.
func Open(target string, way *Way) (*Gate, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return before(target, way, ln.(*net.TCPListener)), nil
}

// before has a listener be a gate before a target.
func before(target string, way *Way, ln *net.TCPListener) *Gate {
	g := &Gate{way: way, target: target, listener: ln, pairs: map[*pair]bool{}, resume: make(chan struct{})}
	way.mu.Lock()
	way.gates = append(way.gates, g)
	way.mu.Unlock()
	go g.accept()
	return g
}

// Aim has new connections led to another target.
func (g *Gate) Aim(target string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.target = target
}

func (g *Gate) Address() string { return g.listener.Addr().String() }

// Close ends the gate and what passes it.
func (g *Gate) Close() {
	g.mu.Lock()
	g.closed = true
	for _, c := range g.stuffing {
		c.Close()
	}
	g.mu.Unlock()
	g.listener.Close()
	g.reset()
}

// backlog sets how many connections the kernel takes that nobody accepted.
func (g *Gate) backlog(n int) {
	raw, err := g.listener.SyscallConn()
	if err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
	}
}

// mute begins or ends a silence: a machine that vanished says nothing, so new connections must hang, not be refused.
// The kernel drops them once the backlog, cut to nothing, is full.
func (g *Gate) mute(on bool) {
	g.mu.Lock()
	if g.silent = on; on {
		g.resume = make(chan struct{})
		g.listener.SetDeadline(time.Now())
	}
	g.mu.Unlock()
	if on {
		time.Sleep(time.Millisecond) // the accepting goroutine is off the listener
		g.backlog(0)
		for range 4 {
			if c, err := net.DialTimeout("tcp", g.Address(), 10*time.Millisecond); err == nil {
				g.mu.Lock()
				g.stuffing = append(g.stuffing, c)
				g.mu.Unlock()
			}
		}
		return
	}
	g.mu.Lock()
	for _, c := range g.stuffing {
		c.Close()
	}
	g.stuffing = nil
	g.listener.SetDeadline(time.Time{})
	close(g.resume)
	g.mu.Unlock()
	g.backlog(1024)
}

func (g *Gate) accept() {
	for {
		near, err := g.listener.AcceptTCP()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			g.mu.Lock()
			wait, silent := g.resume, g.silent
			g.mu.Unlock()
			if silent {
				<-wait
			}
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go g.pass(near)
		}
	}
}

func kill(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}

func (g *Gate) pass(near *net.TCPConn) {
	g.way.mu.Lock()
	refuse := g.way.refuse
	g.way.mu.Unlock()
	if refuse {
		kill(near)
		return
	}
	g.mu.Lock()
	target := g.target
	g.mu.Unlock()
	conn, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		kill(near)
		return
	}
	p := &pair{near, conn.(*net.TCPConn)}
	g.mu.Lock()
	g.pairs[p] = true
	closed := g.closed
	g.mu.Unlock()
	if closed {
		kill(near)
		kill(p.far)
	}
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); g.carry(p.far, near, true) }()
	go func() { defer both.Done(); g.carry(near, p.far, false) }()
	both.Wait()
	near.Close()
	p.far.Close()
	g.mu.Lock()
	delete(g.pairs, p)
	g.mu.Unlock()
}

func (g *Gate) reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for p := range g.pairs {
		kill(p.near)
		kill(p.far)
	}
}

type piece struct {
	bytes []byte
	due   time.Time
	end   error // instead of bytes: how the sending side ended
}

// carry brings bytes from one side to the other, each piece when it is due and in order; an end or a reset goes
// through like bytes.
func (g *Gate) carry(to, from *net.TCPConn, in bool) {
	under := make(chan piece, 256)
	go func() {
		defer close(under)
		last := time.Time{}
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			after, _, _ := g.way.passage(in, n)
			due := time.Now().Add(after.Duration())
			if due.Before(last) {
				due = last
			}
			if last = due; n > 0 {
				under <- piece{bytes: buffer[:n], due: due}
			}
			if err != nil {
				under <- piece{end: err, due: due}
				return
			}
		}
	}()
	for p := range under {
		time.Sleep(time.Until(p.due))
		for {
			_, blocked, changed := g.way.passage(in, 0)
			if !blocked {
				break
			}
			<-changed
		}
		if p.end == nil {
			if _, err := to.Write(p.bytes); err != nil {
				kill(from) // the target is gone: its sender is to hear of it
				kill(to)
			}
			continue
		}
		if errors.Is(p.end, io.EOF) {
			to.CloseWrite()
		} else {
			kill(to)
			kill(from)
		}
	}
}
