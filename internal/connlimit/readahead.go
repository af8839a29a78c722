package connlimit

import (
	"bytes"
	"slices"
	"sync"
)

const (
	maxPipelinedBytes = 16 << 10 // bytes of the next messages that are buffered while a request is in progress
	pipelinedReadSize = 1 << 10  // bytes of one read into that buffer
)

// bufferCharge charges the memory of a connection's buffer until the connection has freed its slot.
type bufferCharge struct {
	mu      sync.Mutex
	charge  func(bytes int) // nil: nobody counts
	charged int
	ended   bool
}

// set charges for a buffer of this size, in place of the one before.
func (b *bufferCharge) set(size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended || b.charge == nil || size == b.charged {
		return
	}
	b.charge(size - b.charged)
	b.charged = size
}

// end gives back what was charged.
func (b *bufferCharge) end() {
	b.set(0)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
}

// keepPipelined keeps a copy of bytes that were read from the socket for the next readers.
func (c *clientConn) keepPipelined(received []byte) {
	if len(received) == 0 {
		return
	}
	c.pipelined = bytes.Clone(received)
	c.readAhead.set(cap(c.pipelined))
}

// passOnPipelined returns what of the kept bytes is to be passed on, and frees the buffer once that is all.
func (c *clientConn) passOnPipelined(p []byte) (n int, err error) {
	n, c.pipelined, err = c.passOn(c.pipelined, p)
	if len(c.pipelined) == 0 {
		c.pipelined = nil
		c.readAhead.set(0)
	}
	return n, err
}

// readPipelined reads bytes of the next messages into the buffer for the next reader.
func (c *clientConn) readPipelined() {
	n := len(c.pipelined)
	c.pipelined = slices.Grow(c.pipelined, pipelinedReadSize)
	c.readAhead.set(cap(c.pipelined))
	read, err := c.TCPConn.Read(c.pipelined[n : n+pipelinedReadSize])
	c.pipelined = c.pipelined[:n+read]
	c.input.countRead(read)
	c.noteReadError(err)
}
