package outbound

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"ledgespread/brain"
	"ledgespread/internal/exchange"
	"ledgespread/internal/peek"
)

// EndFunc is called once, when an attempt has ended: with the answer or with the reason why there is none,
// and with the server's load report if one came.
type EndFunc func(answer *exchange.Answer, reused bool, load []float64, err error)

// Attempt is an attempt that was handed to Send.
type Attempt struct {
	To         brain.ServerID
	writtenAt  time.Time       // when a long body was written completely; zero for a short one
	ctx        context.Context // when it is done, the attempt must not be sent any more
	cancelSend context.CancelFunc
	cancelled  atomic.Bool // by Cancel: nobody waits for the result
	keyExpired atomic.Bool // the last byte could not be sent in time; see LimitLastByte
	onEnd      EndFunc

	mu         sync.Mutex
	connection *conn       // nil: there is none yet, or the answer has come
	written    bool        // the last byte was handed to the kernel
	ended      bool        // the result is known
	lastByteBy time.Time   // see LimitLastByte; zero: no limit
	expiry     *time.Timer // fires at lastByteBy; nil: no limit was set
}

func newAttempt(to brain.ServerID, onEnd EndFunc) *Attempt {
	attempt := &Attempt{To: to, onEnd: onEnd}
	attempt.ctx, attempt.cancelSend = context.WithCancel(context.Background())
	return attempt
}

// Latency returns the latency of an attempt that has ended. For a long body it counts from the last byte that
// was written; otherwise it is measured, the caller's own measurement.
func (attempt *Attempt) Latency(measured brain.Micros) brain.Micros {
	if attempt.writtenAt.IsZero() {
		return measured
	}
	return min(measured, brain.Micros(time.Since(attempt.writtenAt)/time.Microsecond))
}

// CancelUnsent stops an attempt of which nothing has been sent yet; others go on. A connection that comes up
// late must not send a request that is over.
func (attempt *Attempt) CancelUnsent() { attempt.cancelSend() }

// Cancel stops the attempt, and closes its connection.
func (attempt *Attempt) Cancel() {
	attempt.cancelled.Store(true)
	attempt.mu.Lock()
	defer attempt.mu.Unlock()
	attempt.interrupt()
}

// LimitLastByte sets the latest time for the request's last byte, with which a server begins to process it; zero:
// no limit. At that time the attempt ends, unless the server's machine has acknowledged the whole request. What the
// kernel has not sent by then is discarded with the connection. A later call replaces the limit, unless the
// attempt has ended by it.
func (attempt *Attempt) LimitLastByte(by time.Time) {
	attempt.mu.Lock()
	defer attempt.mu.Unlock()
	if attempt.ended || by.Equal(attempt.lastByteBy) {
		return
	}
	if attempt.expiry != nil {
		attempt.expiry.Stop()
	}
	attempt.lastByteBy, attempt.expiry = by, nil
	if !by.IsZero() {
		attempt.expiry = time.AfterFunc(time.Until(by), attempt.expire)
	}
}

// expire ends the attempt if its limit has passed and the server's machine may lack a part of the request.
func (attempt *Attempt) expire() {
	attempt.mu.Lock()
	defer attempt.mu.Unlock()
	if attempt.ended || !attempt.limitPassed() || attempt.received() {
		return
	}
	attempt.keyExpired.Store(true)
	attempt.interrupt()
}

// received reports whether the server's machine has acknowledged the whole request. The caller holds the lock.
func (attempt *Attempt) received() bool {
	return attempt.written && (attempt.connection == nil || peek.Unacknowledged(attempt.connection.Conn) == 0)
}

// lastByteIsLate reports whether the limit of LimitLastByte has passed, and if so ends the attempt.
func (attempt *Attempt) lastByteIsLate() bool {
	attempt.mu.Lock()
	defer attempt.mu.Unlock()
	if attempt.limitPassed() {
		attempt.keyExpired.Store(true)
		attempt.cancelSend()
	}
	return attempt.keyExpired.Load()
}

// limitPassed reports whether the last byte is due. The caller holds the lock.
func (attempt *Attempt) limitPassed() bool {
	return !attempt.lastByteBy.IsZero() && !time.Now().Before(attempt.lastByteBy)
}

// hasLimit reports whether LimitLastByte has set a limit.
func (attempt *Attempt) hasLimit() bool {
	attempt.mu.Lock()
	defer attempt.mu.Unlock()
	return !attempt.lastByteBy.IsZero()
}

// interrupt wakes the attempt's goroutine, which closes the connection. The caller holds the lock.
func (attempt *Attempt) interrupt() {
	attempt.cancelSend()
	if attempt.connection != nil {
		attempt.connection.SetDeadline(time.Unix(1, 0))
	}
}

// interrupted reports whether interrupt was called, so that the connection can't be used any further.
func (attempt *Attempt) interrupted() bool {
	return attempt.cancelled.Load() || attempt.keyExpired.Load()
}

// setConnection sets the connection that is used now; nil: none.
func (attempt *Attempt) setConnection(connection *conn) {
	attempt.mu.Lock()
	attempt.connection = connection
	attempt.mu.Unlock()
}

// setWritten records that the last byte was handed to the kernel.
func (attempt *Attempt) setWritten() {
	attempt.mu.Lock()
	attempt.written = true
	attempt.mu.Unlock()
}

// finish records that the attempt has ended. Nothing can interrupt it from then on.
func (attempt *Attempt) finish() {
	attempt.cancelSend()
	attempt.mu.Lock()
	defer attempt.mu.Unlock()
	attempt.ended = true
	if attempt.expiry != nil {
		attempt.expiry.Stop()
	}
}
