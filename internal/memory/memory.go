// Package memory accounts for the memory that connections and messages use, so that many of them together stay
// within the memory limit of the process.
package memory

import (
	"fmt"
	"io"
	"sync/atomic"
)

// Kind says what memory is used for.
type Kind uint8

// The kinds of memory.
const (
	ClientConnections Kind = iota // buffers and stacks
	ServerConnections             // buffers and stacks
	Heads                         // of requests, as far as they are longer than usual
	RequestBodies                 // held for a retry
	AnswerBodies                  // held before they are passed on
	Pieces                        // buffers of bodies that are passed on as they arrive
	kindCount
)

var kindNames = [kindCount]string{"client_connections", "server_connections", "heads", "request_bodies", "answer_bodies", "pieces"}

// FreeBytes is how much of a body or of a piece is not reserved: it is a part of the connection's own memory. A message
// thus never has to wait for memory, however little is left.
const FreeBytes = 4 << 10

const (
	runtimeBytes   = 3 << 20 // used by a process without connections
	garbageDivisor = 3       // 1/3 of the heap is left to garbage: with less the collector would take too much time
	spareDivisor   = 2       // ReserveSpare leaves 1/2 of the account to Reserve
)

// Account is the memory that connections and messages may use. It is safe for concurrent use.
type Account struct {
	limit atomic.Int64
	used  [kindCount]atomic.Int64
	total atomic.Int64
	peak  atomic.Int64 // highest total so far
}

// New returns an Account of this many bytes.
func New(limitBytes int64) *Account {
	account := &Account{}
	account.limit.Store(limitBytes)
	return account
}

// Available returns how many bytes of a heap connections and messages may use.
func Available(heapBytes int64) int64 {
	return max(heapBytes-heapBytes/garbageDivisor-runtimeBytes, 0)
}

// SetLimit changes the limit. What is used already stays reserved.
func (a *Account) SetLimit(limitBytes int64) { a.limit.Store(limitBytes) }

// Add records memory that is used whether or not the limit allows it, as by a connection. It leaves less to Reserve.
func (a *Account) Add(kind Kind, bytes int64) {
	a.used[kind].Add(bytes)
	a.raisePeak(a.total.Add(bytes))
}

// Reserve reserves memory, and reports whether the limit allows it.
func (a *Account) Reserve(kind Kind, bytes int64) bool { return a.reserve(kind, bytes, a.limit.Load()) }

// ReserveSpare is like Reserve for memory that a message can do without: a part of the account is left to others.
func (a *Account) ReserveSpare(kind Kind, bytes int64) bool {
	return a.reserve(kind, bytes, a.limit.Load()/spareDivisor)
}

func (a *Account) reserve(kind Kind, bytes, limit int64) bool {
	total := a.total.Add(bytes)
	if total > limit {
		a.total.Add(-bytes)
		return false
	}
	a.used[kind].Add(bytes)
	a.raisePeak(total)
	return true
}

// Release gives back memory that was added or reserved.
func (a *Account) Release(kind Kind, bytes int64) {
	a.used[kind].Add(-bytes)
	a.total.Add(-bytes)
}

func (a *Account) raisePeak(total int64) {
	for peak := a.peak.Load(); total > peak; peak = a.peak.Load() {
		if a.peak.CompareAndSwap(peak, total) {
			return
		}
	}
}

// Used returns how many bytes are used in all.
func (a *Account) Used() int64 { return a.total.Load() }

// WriteTo writes one line for each kind of memory, and for the total, its peak and the limit, in bytes.
func (a *Account) WriteTo(w io.Writer) (written int64, err error) {
	line := func(name string, bytes int64) {
		if err == nil {
			var n int
			n, err = fmt.Fprintf(w, "ledgespread_memory_%s_bytes %d\n", name, bytes)
			written += int64(n)
		}
	}
	for kind, name := range kindNames {
		line(name, a.used[kind].Load())
	}
	line("used", a.total.Load())
	line("peak", a.peak.Load())
	line("limit", a.limit.Load())
	return written, err
}

// Reservation is the memory that one message has reserved of one kind. Its zero value is empty, and has no account. It
// is not safe for concurrent use.
type Reservation struct {
	account *Account
	kind    Kind
	bytes   int64
}

// NewReservation returns an empty Reservation.
func NewReservation(account *Account, kind Kind) Reservation {
	return Reservation{account: account, kind: kind}
}

// Grow reserves further bytes, and reports whether the limit allows it.
func (r *Reservation) Grow(bytes int64) bool {
	if !r.account.Reserve(r.kind, bytes) {
		return false
	}
	r.bytes += bytes
	return true
}

// GrowSpare is like Grow for memory that the message can do without.
func (r *Reservation) GrowSpare(bytes int64) bool {
	if !r.account.ReserveSpare(r.kind, bytes) {
		return false
	}
	r.bytes += bytes
	return true
}

// Free gives back all that was reserved. Further calls have no effect.
func (r *Reservation) Free() {
	if r.bytes > 0 {
		r.account.Release(r.kind, r.bytes)
		r.bytes = 0
	}
}
