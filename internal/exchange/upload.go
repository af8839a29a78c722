package exchange

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"ledgespread/brain"
)

// UploadSource is where the rest of a long body comes from.
type UploadSource struct {
	Body io.Reader

	// MessageSize is the size of the whole message, head and body, in bytes; 0 if the head doesn't give it.
	MessageSize int

	// Interrupt ends a read of Body that is blocked. With finished set nobody reads any more.
	Interrupt func(finished bool)
}

// Upload is the rest of a request body that is too long to buffer. One attempt reads it as the client sends
// it; what has been read is not kept, so there is no second attempt. A server starts on a request with its
// last byte: until that is written the request has not run.
type Upload struct {
	Sized         bool          // the head gives its length; otherwise it is sent in chunks
	ClientTimeout time.Duration // counted from the last byte

	source    UploadSource
	mu        sync.Mutex // held while the body is read
	stopped   bool
	started   bool
	clientErr error         // error of reading from the client
	received  chan struct{} // closed when the last byte has been read
	abandoned atomic.Bool   // Stop was called before the last byte was read
}

var errStopped = errors.New("the request is over")

// NewUpload returns an Upload of a request whose client stops waiting clientTimeout after its last byte.
func NewUpload(source UploadSource, clientTimeout brain.Micros) *Upload {
	return &Upload{Sized: source.MessageSize > 0, ClientTimeout: time.Duration(clientTimeout) * time.Microsecond, source: source,
		received: make(chan struct{})}
}

// Read reads the next data. It returns io.EOF with the last byte or after it.
func (u *Upload) Read(p []byte) (n int, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopped {
		return 0, errStopped
	}
	u.started = true
	n, err = u.source.Body.Read(p)
	switch {
	case err == io.EOF:
		u.stopped = true
		close(u.received)
	case err != nil:
		u.stopped = true
		if !u.abandoned.Load() { // otherwise Stop caused the error
			u.clientErr = err
		}
	}
	return n, err
}

// Started reports whether any of the body has been read.
func (u *Upload) Started() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.started
}

// ClientErr returns the error of reading from the client; nil if there was none. It must be called after Stop.
func (u *Upload) ClientErr() error { return u.clientErr }

// Received returns a channel that is closed once the last byte has been read.
func (u *Upload) Received() <-chan struct{} { return u.received }

// FullyRead reports whether the last byte has been read.
func (u *Upload) FullyRead() bool {
	select {
	case <-u.received:
		return true
	default:
		return false
	}
}

// Abandoned reports whether Stop has ended the upload before its last byte was read.
func (u *Upload) Abandoned() bool { return u.abandoned.Load() && !u.FullyRead() }

// Stop prevents further reads, and reports whether the body was read completely. If not, its last byte was never
// sent to a server, so the request has not run. Once Stop returns, nothing reads from the client's connection.
func (u *Upload) Stop() (complete bool) {
	if u.FullyRead() {
		return true
	}
	u.abandoned.Store(true)
	for !u.mu.TryLock() { // a read that has just begun may have replaced the deadline set by Interrupt
		u.source.Interrupt(false)
		time.Sleep(time.Millisecond)
	}
	u.stopped = true
	u.mu.Unlock()
	u.source.Interrupt(true)
	return u.FullyRead()
}
