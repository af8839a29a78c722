package failing

// connection.go: connections with short reads and injected errors.

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"

	"ledgespread/lab/rng"
)

// breakErrors are the errors by which a read or write on an established connection may fail.
var breakErrors = []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ECONNRESET, syscall.EPIPE}

const (
	breakFraction     = 0.002 // fraction of reads and writes that break the connection
	shortReadFraction = 0.3   // fraction of reads that are short
	maxShortRead      = 16    // maximum bytes of a short read
)

// breaker decides at random which reads and writes fail or are short.
type breaker struct {
	errors   []syscall.Errno // errors to choose from
	fraction float64         // fraction of reads and writes that break the connection

	mu   sync.Mutex
	draw *rng.Source
}

func newBreaker(seed uint64, fraction float64, errors ...syscall.Errno) *breaker {
	return &breaker{errors: errors, fraction: fraction, draw: rng.New(seed, "break")}
}

// wrap wraps a newly opened connection so that it can break. It passes on a dial error.
func (b *breaker) wrap(opened net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	return &connection{TCPConn: opened.(*net.TCPConn), breaker: b}, nil
}

// drawError returns the error that breaks the connection in this call, or 0 for none.
func (b *breaker) drawError() syscall.Errno {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.draw.Float() >= b.fraction {
		return 0
	}
	return b.errors[b.draw.Below(len(b.errors))]
}

// drawReadSize returns how many bytes a read into a buffer of the given size may return.
func (b *breaker) drawReadSize(size int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if size <= 1 || b.draw.Float() >= shortReadFraction {
		return size
	}
	return 1 + b.draw.Below(min(size, maxShortRead))
}

// Dialer returns a dial function for connections with occasional short reads, of whose reads and writes the given
// fraction fails with errno and breaks the connection.
func Dialer(seed uint64, errno syscall.Errno, fraction float64) func(ctx context.Context, network, address string) (net.Conn, error) {
	connectionBreaker := newBreaker(seed, fraction, errno)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		var dialer net.Dialer
		return connectionBreaker.wrap(dialer.DialContext(ctx, network, address))
	}
}

// connection is a TCP connection with occasional short reads that breaks at random.
type connection struct {
	*net.TCPConn
	breaker *breaker
}

// Read reads at most part of the buffer, or breaks the connection.
func (c *connection) Read(p []byte) (n int, err error) {
	if errno := c.breaker.drawError(); errno != 0 {
		return 0, c.fail("read", errno)
	}
	return c.TCPConn.Read(p[:c.breaker.drawReadSize(len(p))])
}

// Write writes all of p, or half of it and then breaks the connection.
func (c *connection) Write(p []byte) (n int, err error) {
	errno := c.breaker.drawError()
	if errno == 0 {
		return c.TCPConn.Write(p)
	}
	n, _ = c.TCPConn.Write(p[:len(p)/2])
	return n, c.fail("write", errno)
}

// fail resets the connection for both sides and returns the error as package net reports it.
func (c *connection) fail(call string, errno syscall.Errno) error {
	c.TCPConn.SetLinger(0)
	c.TCPConn.Close()
	return &net.OpError{Op: call, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError(call, errno)}
}
