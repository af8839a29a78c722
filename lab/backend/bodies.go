package backend

import (
	"io"
	"slices"
	"time"

	"ledgespread/lab/clock"
	"ledgespread/lab/scenario"
)

// receiveBuffer is how much of a long request the backend's machine takes unread, in bytes. The kernel may double it.
const receiveBuffer = 32 << 10

// SetReadRate sets the rate at which the backend reads requests, in bytes per second on each connection; 0: as they
// come. A request that is being read keeps its rate.
func (b *Backend) SetReadRate(bytesPerSecond int) {
	b.mu.Lock()
	b.readRate = bytesPerSecond
	b.mu.Unlock()
}

// SetResets has the backend reset the connection under a fraction of its requests, after a time from their last byte.
func (b *Backend) SetResets(part float64, after Micros) {
	b.mu.Lock()
	b.resets, b.resetAfter = part, after
	b.mu.Unlock()
}

// limitedReader reads at the backend's rate.
type limitedReader struct {
	source  io.Reader
	backend *Backend
}

// Read reads a part of a second's bytes, and waits as long as it takes at the rate.
func (r limitedReader) Read(p []byte) (int, error) {
	const readsPerSecond = 50
	r.backend.mu.Lock()
	rate := r.backend.readRate
	r.backend.mu.Unlock()
	if rate == 0 {
		return r.source.Read(p)
	}
	n, err := r.source.Read(p[:min(len(p), max(rate/readsPerSecond, 1))])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(rate))
	return n, err
}

// scheduleReset draws whether the connection is reset under a request that has just arrived, and does so at its time.
// The caller holds b.mu.
func (c *conn) scheduleReset(entry *Entry) {
	backend := c.backend
	if backend.resets == 0 || backend.random.Float() >= backend.resets {
		return
	}
	entry.unanswered = true
	time.AfterFunc(backend.resetAfter.Duration(), func() {
		c.tcp.SetLinger(0)
		c.tcp.Close()
	})
}

// requestSource returns what requests are read from. Where there are long ones, the backend's machine takes little of a
// request that the backend doesn't read, and reads keep to the backend's rate.
func (c *conn) requestSource() io.Reader {
	hasLongRequests := slices.ContainsFunc(c.backend.prefixes, func(prefix scenario.Prefix) bool { return prefix.RequestBytes > 0 })
	if !hasLongRequests {
		return c.tcp
	}
	c.tcp.SetReadBuffer(receiveBuffer)
	return limitedReader{c.tcp, c.backend}
}

// ReadDelay returns how long a machine's unread bytes take at most at the slowest rate at which a backend reads.
func ReadDelay(slowestRate int) Micros {
	const doubled = 2 * receiveBuffer
	if slowestRate == 0 {
		return 0
	}
	return Micros(doubled) * clock.Second / Micros(slowestRate)
}
