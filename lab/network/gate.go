// Package network simulates the network between the processes of a run: gates on loopback forward TCP
// connections and datagrams and can delay, throttle, reset or silently drop them. It doesn't interpret the
// data.
package network

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"ledgespread/lab/clock"
	"ledgespread/lab/rng"
)

type Micros = clock.Micros

// Path is the network path between two places. All gates on a path share its state.
type Path struct {
	mu            sync.Mutex
	delay, spread Micros // fixed delay in each direction, and the mean of an exponential delay on top
	bandwidth     int    // bandwidth in bytes per second; 0: unlimited
	silent        bool   // nothing passes and new connections hang
	cutIn, cutOut bool   // nothing passes towards the target; nothing passes back
	refuse        bool   // new connections are reset
	random        *rng.Source
	gates         []*Gate
	changed       chan struct{} // closed and replaced at each Change
}

// NewPath returns a path with this delay in each direction, plus an exponentially distributed one with mean
// spread.
func NewPath(delay, spread Micros, bytesPerSecond int, seed uint64, name string) *Path {
	return &Path{delay: delay, spread: spread, bandwidth: bytesPerSecond, random: rng.New(seed, "way "+name),
		changed: make(chan struct{})}
}

// Change applies a change and wakes the connections that wait for one.
func (p *Path) Change(do func(*Path)) {
	p.mu.Lock()
	before := p.silent
	do(p)
	close(p.changed)
	p.changed = make(chan struct{})
	after, gates := p.silent, append([]*Gate(nil), p.gates...)
	p.mu.Unlock()
	if before != after {
		for _, gate := range gates {
			gate.setSilent(after)
		}
	}
}

// SetDelay sets the delay of the path. The setters may be called only by the function passed to Change.
// SetBandwidth takes bytes per second. SetSilent drops all packets while connections stay open, SetCutIn those
// towards the target, SetCutOut those from it. SetRefuse resets new connections.
func (p *Path) SetDelay(delay Micros)  { p.delay = delay }
func (p *Path) SetBandwidth(bytes int) { p.bandwidth = bytes }
func (p *Path) SetSilent(on bool)      { p.silent = on }
func (p *Path) SetCutIn(on bool)       { p.cutIn = on }
func (p *Path) SetCutOut(on bool)      { p.cutOut = on }
func (p *Path) SetRefuse(on bool)      { p.refuse = on }

// Reset resets all open connections on the path.
func (p *Path) Reset() {
	p.mu.Lock()
	gates := append([]*Gate(nil), p.gates...)
	p.mu.Unlock()
	for _, gate := range gates {
		gate.reset()
	}
}

// transit returns the delay for data of this size, and whether it is blocked until the channel changed
// closes.
func (p *Path) transit(inbound bool, size int) (delay Micros, blocked bool, changed chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	blocked = p.silent || inbound && p.cutIn || !inbound && p.cutOut
	if delay = p.delay; p.spread > 0 {
		delay += Micros(p.random.Exp(float64(p.spread)))
	}
	if p.bandwidth > 0 {
		delay += Micros(float64(size) / float64(p.bandwidth) * float64(clock.Second))
	}
	return delay, blocked, p.changed
}

// Gate is a TCP proxy in front of a target.
type Gate struct {
	path           *Path
	target         string
	listener       *net.TCPListener
	mu             sync.Mutex
	pairs          map[*pair]bool
	backlogFillers []net.Conn // fills the backlog while the path is silent
	silent         bool
	resume         chan struct{} // closed when the silence ends
	closed         bool
}

// pair is a client's connection and the one to the target that belongs to it.
type pair struct{ client, target *net.TCPConn }

// Open opens a gate in front of a target, at a free address.
func Open(target string, path *Path) (*Gate, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return newGate(target, path, listener.(*net.TCPListener)), nil
}

// newGate starts a gate that accepts connections from an open listener.
func newGate(target string, path *Path, listener *net.TCPListener) *Gate {
	gate := &Gate{path: path, target: target, listener: listener, pairs: map[*pair]bool{}, resume: make(chan struct{})}
	path.mu.Lock()
	path.gates = append(path.gates, gate)
	path.mu.Unlock()
	go gate.accept()
	return gate
}

// SetTarget sets the target for new connections.
func (g *Gate) SetTarget(target string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.target = target
}

// Address is where the gate listens.
func (g *Gate) Address() string { return g.listener.Addr().String() }

// Close closes the gate and its connections.
func (g *Gate) Close() {
	g.mu.Lock()
	g.closed = true
	for _, conn := range g.backlogFillers {
		conn.Close()
	}
	g.mu.Unlock()
	g.listener.Close()
	g.reset()
}

// setBacklog sets how many connections the kernel keeps before they are accepted.
func (g *Gate) setBacklog(size int) {
	raw, err := g.listener.SyscallConn()
	if err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), size) })
	}
}

// setSilent starts or ends a silence. It simulates a machine that has vanished, so new connections must hang
// rather than be refused: the backlog is reduced to zero and filled, after which the kernel drops connection
// attempts.
func (g *Gate) setSilent(on bool) {
	g.mu.Lock()
	if g.silent = on; on {
		g.resume = make(chan struct{})
		g.listener.SetDeadline(time.Now())
	}
	g.mu.Unlock()
	if on {
		time.Sleep(time.Millisecond) // lets the accept loop leave the listener
		g.setBacklog(0)
		for range 4 {
			if conn, err := net.DialTimeout("tcp", g.Address(), 10*time.Millisecond); err == nil {
				g.mu.Lock()
				g.backlogFillers = append(g.backlogFillers, conn)
				g.mu.Unlock()
			}
		}
		return
	}
	g.mu.Lock()
	for _, conn := range g.backlogFillers {
		conn.Close()
	}
	g.backlogFillers = nil
	g.listener.SetDeadline(time.Time{})
	close(g.resume)
	g.mu.Unlock()
	g.setBacklog(1024)
}

// accept serves connections until the gate closes, and pauses during a silence.
func (g *Gate) accept() {
	for {
		client, err := g.listener.AcceptTCP()
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
			go g.proxy(client)
		}
	}
}

// resetConnection resets a connection.
func resetConnection(conn *net.TCPConn) {
	conn.SetLinger(0)
	conn.Close()
}

// proxy forwards a client's connection to the target until both ends are closed.
func (g *Gate) proxy(client *net.TCPConn) {
	g.path.mu.Lock()
	refuse := g.path.refuse
	g.path.mu.Unlock()
	if refuse {
		resetConnection(client)
		return
	}
	g.mu.Lock()
	target := g.target
	g.mu.Unlock()
	conn, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		resetConnection(client)
		return
	}
	connections := &pair{client, conn.(*net.TCPConn)}
	g.mu.Lock()
	g.pairs[connections] = true
	closed := g.closed
	g.mu.Unlock()
	if closed {
		resetConnection(client)
		resetConnection(connections.target)
	}
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); g.forward(connections.target, client, true) }()
	go func() { defer both.Done(); g.forward(client, connections.target, false) }()
	both.Wait()
	client.Close()
	connections.target.Close()
	g.mu.Lock()
	delete(g.pairs, connections)
	g.mu.Unlock()
}

// reset resets the gate's open connections.
func (g *Gate) reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for connections := range g.pairs {
		resetConnection(connections.client)
		resetConnection(connections.target)
	}
}

// chunk is data in transit.
type chunk struct {
	bytes []byte
	due   time.Time // when it is delivered
	end   error     // in place of bytes: how the sender ended the connection
}

// forward forwards data in one direction, in order and each piece when it is due. The sender's close or reset
// is delayed like data.
func (g *Gate) forward(receiver, sender *net.TCPConn, inbound bool) {
	inTransit := make(chan chunk, 256)
	go func() {
		defer close(inTransit)
		lastDue := time.Time{}
		for {
			buffer := make([]byte, 16<<10)
			count, err := sender.Read(buffer)
			delay, _, _ := g.path.transit(inbound, count)
			due := time.Now().Add(delay.Duration())
			if due.Before(lastDue) {
				due = lastDue
			}
			if lastDue = due; count > 0 {
				inTransit <- chunk{bytes: buffer[:count], due: due}
			}
			if err != nil {
				inTransit <- chunk{end: err, due: due}
				return
			}
		}
	}()
	for item := range inTransit {
		time.Sleep(time.Until(item.due))
		for {
			_, blocked, changed := g.path.transit(inbound, 0)
			if !blocked {
				break
			}
			<-changed
		}
		if item.end == nil {
			if _, err := receiver.Write(item.bytes); err != nil {
				resetConnection(sender) // the receiver is gone: resets the sender's side, too
				resetConnection(receiver)
			}
			continue
		}
		if errors.Is(item.end, io.EOF) {
			receiver.CloseWrite()
		} else {
			resetConnection(receiver)
			resetConnection(sender)
		}
	}
}
