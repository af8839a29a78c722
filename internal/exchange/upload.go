package exchange

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"ledgespread/brain"
)

// transferDivisor is the part of the client timeout within which a server must have been sent a whole long body.
// The server is told the rest of it. A request that is refused after more than half of its time leaves its client
// too little for a retry.
const transferDivisor = 2

// TransferTime returns how much of the time left for an answer may be spent on sending a long body to a server.
func TransferTime(timeLeft time.Duration) time.Duration { return timeLeft / transferDivisor }

// assumptionGrace is how much later a body has to be sent, and answered, whose last byte is only assumed to have been
// written. An answer is lost half a second after its time; most clients wrote that byte later than is assumed.
const assumptionGrace = 400 * time.Millisecond

// UploadSource is where the rest of a long body comes from.
type UploadSource struct {
	Body io.Reader

	// MessageSize is the size of the whole message, head and body, in bytes; 0 if the head doesn't give it.
	MessageSize int

	// Arrived returns how many bytes of the message have arrived on this machine, read or not. It may be called
	// at any time.
	Arrived func() int

	// Backlogged reports whether so many of these lay unread, at the last call of Arrived, that the client may have
	// written more, which waits in its own socket. nil: never.
	Backlogged func() bool

	// Interrupt ends a read of Body that is blocked. With finished set nobody reads any more.
	Interrupt func(finished bool)
}

// Upload is the rest of a request body that is too long to buffer. One attempt reads it as the client sends
// it; what has been read is not kept, so there is no second attempt. A server starts on a request with its
// last byte: until that is written the request has not run.
//
// The client timeout counts from the arrival of the last byte on this machine, which may be long before it is
// read: while a server accepts nothing, nothing is read, and the body waits in the socket. Observe looks for it.
// Where that doesn't show, since the head gives no length or the rest may wait in the client's own socket, the
// timeout counts from the latest time at which the client is known not to have written all of it.
type Upload struct {
	Sized         bool          // the head gives its length; otherwise it is sent in chunks
	ClientTimeout time.Duration // counted from the time at which the client wrote the last byte

	source    UploadSource
	mu        sync.Mutex // held while the body is read
	stopped   bool
	started   bool
	clientErr error         // error of reading from the client
	received  chan struct{} // closed when the last byte has been read
	reading   atomic.Bool   // a read of the body is in progress
	abandoned atomic.Bool   // Stop was called before the last byte was read

	arrivalMu      sync.Mutex
	complete       bool      // the last byte has arrived
	bytesSeen      int       // bytes that had arrived at the last call of Observe
	lastIncomplete time.Time // the client wrote the last byte after this time
	assumed        bool      // since then it may have written the last byte; nothing shows that it has
	arrivals       arrivalHistory
}

var errStopped = errors.New("the request is over")

// NewUpload returns an Upload of a request whose client stops waiting clientTimeout after its last byte.
func NewUpload(source UploadSource, clientTimeout brain.Micros) *Upload {
	began := time.Now() // before the call of Arrived: the last byte may come in between
	return &Upload{Sized: source.MessageSize > 0, ClientTimeout: time.Duration(clientTimeout) * time.Microsecond, source: source,
		received: make(chan struct{}), bytesSeen: source.Arrived(), lastIncomplete: began}
}

// Read reads the next data. It returns io.EOF with the last byte or after it.
func (u *Upload) Read(p []byte) (n int, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopped {
		return 0, errStopped
	}
	u.started = true
	u.reading.Store(true)
	n, err = u.source.Body.Read(p)
	u.reading.Store(false)
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

// Observe checks whether the last byte has arrived, at the time now, which must be taken before the call.
func (u *Upload) Observe(now time.Time) {
	u.arrivalMu.Lock()
	defer u.arrivalMu.Unlock()
	if u.complete {
		return
	}
	if u.FullyRead() {
		u.complete = true
		return
	}
	bytes := u.source.Arrived()
	if u.Sized && bytes >= u.source.MessageSize {
		u.complete = true
		return
	}
	u.arrivals.add(now, bytes)
	backlogged := u.source.Backlogged != nil && u.source.Backlogged()
	switch {
	case u.clientIsBehind(bytes, backlogged):
		u.lastIncomplete, u.assumed = now, false
		u.arrivals.clear()
	case backlogged:
		u.assumed = true
		if since := u.arrivals.incompleteAt(bytes); since.After(u.lastIncomplete) {
			u.lastIncomplete = since
		}
	}
	u.bytesSeen = bytes
}

// clientIsBehind reports whether the client can't have written the last byte yet, when so many have arrived: it does
// not fill the socket, or more is missing than its own can hold.
func (u *Upload) clientIsBehind(arrived int, backlogged bool) bool {
	if u.Sized && u.source.MessageSize-arrived > maxClientBacklog {
		return true
	}
	return !backlogged && (arrived > u.bytesSeen || u.reading.Load())
}

// Deadline returns when the client stops waiting, by what Observe has seen. Until the last byte has arrived it
// moves on with each further byte.
func (u *Upload) Deadline() time.Time {
	u.arrivalMu.Lock()
	defer u.arrivalMu.Unlock()
	deadline := u.lastIncomplete.Add(u.ClientTimeout)
	if u.assumed {
		deadline = deadline.Add(assumptionGrace)
	}
	return deadline
}

// Arrived reports whether Observe has found that the last byte has arrived.
func (u *Upload) Arrived() bool {
	u.arrivalMu.Lock()
	defer u.arrivalMu.Unlock()
	return u.complete
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
