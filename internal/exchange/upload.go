package exchange

import (
	"errors"
	"io"
	"sync"
	"time"

	"ledgespread/brain"
)

// Upload is the rest of a body that is too long to be held. One attempt takes it, piece by piece, as the client sends
// it; what has been taken is gone, so there is no second attempt. A server begins with the last byte: until that is written
// the request never ran.
type Upload struct {
	Sized    bool         // the head tells its length; else it goes on in chunks
	Patience brain.Micros // the client's time-out, from its last byte on

	from      io.Reader
	interrupt func(over bool) // ends a read that waits
	mu        sync.Mutex
	over      bool
	begun     bool
	fault     error         // of the client
	came      chan struct{} // closed when the last byte has come
}

var errStopped = errors.New("the request is over")

// NewUpload makes one that reads from a client's connection.
func NewUpload(from io.Reader, sized bool, patience brain.Micros, interrupt func(over bool)) *Upload {
	return &Upload{Sized: sized, Patience: patience, from: from, interrupt: interrupt, came: make(chan struct{})}
}

// Read takes the next piece; io.EOF with the last byte or after it.
func (u *Upload) Read(p []byte) (n int, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.over {
		return 0, errStopped
	}
	u.begun = true
	if n, err = u.from.Read(p); err != nil {
		u.over = true
		if err == io.EOF {
			close(u.came)
		} else {
			u.fault = err
		}
	}
	return n, err
}

// Begun tells whether some of it was taken.
func (u *Upload) Begun() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.begun
}

// Fault is why the client brought no more; nil: it did, or was not asked. It may be asked after Stop.
func (u *Upload) Fault() error { return u.fault }

// Came is closed when the last byte has come.
func (u *Upload) Came() <-chan struct{} { return u.came }

// Stop keeps it from being read any more, and tells whether it was read to its end. When it returns nobody reads the
// client's connection.
func (u *Upload) Stop() (whole bool) {
	select {
	case <-u.came:
		return true
	default:
	}
	for !u.mu.TryLock() { // a read that has just begun may have set its own deadline
		u.interrupt(false)
		time.Sleep(time.Millisecond)
	}
	u.over = true
	u.mu.Unlock()
	u.interrupt(true)
	select {
	case <-u.came:
		return true
	default:
		return false
	}
}
