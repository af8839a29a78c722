package failing

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"

	"ledgespread/lab/chance"
)

// breakErrors are what a read or a write of a connection may fail by that carried bytes before.
var breakErrors = []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ECONNRESET, syscall.EPIPE}

const (
	breakPart = 0.002 // of the reads and writes break their connection
	shortPart = 0.3   // of the reads are short,
	shortMost = 16    // by at most so many bytes read
)

// breaker draws what becomes of reads and writes.
type breaker struct {
	errors []syscall.Errno // by which connections break
	part   float64         // of the reads and writes that break theirs

	mu   sync.Mutex
	draw *chance.Source
}

func newBreaker(seed uint64, part float64, errors ...syscall.Errno) *breaker {
	return &breaker{errors: errors, part: part, draw: chance.New(seed, "break")}
}

// over is a connection that was just opened, as one that breaks; err is why there is none.
func (b *breaker) over(opened net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	return &connection{TCPConn: opened.(*net.TCPConn), breaks: b}, nil
}

// errno is what a call breaks its connection by; 0: it does not.
func (b *breaker) errno() syscall.Errno {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.draw.Float() >= b.part {
		return 0
	}
	return b.errors[b.draw.Below(len(b.errors))]
}

// short is how many bytes a read takes of so many.
func (b *breaker) short(of int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if of <= 1 || b.draw.Float() >= shortPart {
		return of
	}
	return 1 + b.draw.Below(min(of, shortMost))
}

// Dialer makes connections whose reads are short now and then, and that break by this error in a part of their reads and writes.
func Dialer(seed uint64, errno syscall.Errno, part float64) func(ctx context.Context, network, address string) (net.Conn, error) {
	breaks := newBreaker(seed, part, errno)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		var dialer net.Dialer
		return breaks.over(dialer.DialContext(ctx, network, address))
	}
}

// connection is one to a server whose reads are short now and then, and that breaks.
type connection struct {
	*net.TCPConn
	breaks *breaker
}

// Read takes part of what there is, or breaks the connection.
func (c *connection) Read(p []byte) (n int, err error) {
	if errno := c.breaks.errno(); errno != 0 {
		return 0, c.fail("read", errno)
	}
	return c.TCPConn.Read(p[:c.breaks.short(len(p))])
}

// Write breaks the connection after a part now and then.
func (c *connection) Write(p []byte) (n int, err error) {
	errno := c.breaks.errno()
	if errno == 0 {
		return c.TCPConn.Write(p)
	}
	n, _ = c.TCPConn.Write(p[:len(p)/2])
	return n, c.fail("write", errno)
}

// fail has the connection broken for both sides, as the kernel leaves it.
func (c *connection) fail(call string, errno syscall.Errno) error {
	c.TCPConn.SetLinger(0)
	c.TCPConn.Close()
	return &net.OpError{Op: call, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError(call, errno)}
}
