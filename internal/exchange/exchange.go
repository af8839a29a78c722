// Package exchange holds the one object in which the client's side and the servers' side meet: a request's
// bytes on their way out, and its one answer on the way back.
package exchange

import (
	"io"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"

	"ledgespread/brain"
)

// What is held of a message: its head on either side, and a body. Longer ones are passed on as they come.
const (
	MostHead = 16 << 10
	MostBody = 64 << 10
)

// Ending is how a request was answered.
type Ending uint8

const (
	Succeeded   Ending = iota + 1
	Rejected           // a retry is harmless
	Failed             // promises nothing
	Overdue            // as Errored, since the client's time is up
	DuplicateID        // as Errored, since a request of that name is open
)

// Exchange is one request. What the decisions need was taken out of it; the rest stays the bytes that came.
type Exchange struct {
	ID         brain.RequestID
	RequestID  string // the client's, new with every request
	Class      brain.ClassID
	Tenant     brain.TenantID
	Left, Work brain.Micros
	Repeated   bool

	Upload *Upload     // a body too long to be held, on its way; nil: the body is here
	Gone   func() bool // tells whether the client has closed its connection, as far as that shows at once; nil: nobody can tell

	head, body []byte   // what goes on, but for the time-out and the end of the head
	long       [][]byte // a long body, or its beginning, in pieces; body is empty then
	done       chan struct{}
	settled    atomic.Bool

	// The answer: set once, before done is closed.
	Ending     Ending
	Answer     *Answer // of a server
	RetryAfter brain.Micros
}

// Answer is what a server delivered: its fields and its body. Of a long one the rest comes as the server gives it; whoever
// has the answer then closes it.
type Answer struct {
	Fields [][2]string
	Body   []byte
	Size   int64         // of the whole body; -1: nobody knows yet
	Rest   io.ReadCloser // nil: Body is all
}

// Drop gives up an answer that goes nowhere.
func (a *Answer) Drop() {
	if a != nil && a.Rest != nil {
		a.Rest.Close()
	}
}

// hop holds the fields that go no further than one connection, or are written anew, by their lengths.
var hop = func(names ...string) (by [20][]string) {
	for _, name := range names {
		by[len(name)] = append(by[len(name)], name)
	}
	return by
}("connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect",
	"content-length", "x-timeout", "x-server-load", "x-not-processed")

// GoesOn tells whether a field passes from one side to the other; all others go on as they came.
func GoesOn(name []byte) bool {
	return len(name) >= len(hop) || !slices.ContainsFunc(hop[len(name)], func(kept string) bool {
		return strings.EqualFold(kept, string(name))
	})
}

// New makes the object for a request.
func New() *Exchange { return &Exchange{done: make(chan struct{})} }

// Holds gives it what goes on: a head (up to its last field), and a body or, of a long one, what is here of it in pieces. All
// are kept.
func (x *Exchange) Holds(head, body []byte, long [][]byte) *Exchange {
	x.head, x.body, x.long = head, body, long
	return x
}

// Outgoing is the request as a server gets it, told how long its answer is still waited for: its bytes, and those of a long body.
func (x *Exchange) Outgoing(wait brain.Micros) (out []byte, body [][]byte) {
	out = make([]byte, 0, len(x.head)+len(x.body)+40)
	out = append(out, x.head...)
	out = append(out, "X-Timeout: "...)
	out = strconv.AppendInt(out, int64(max(wait, 1)), 10)
	out = append(out, "u\r\n\r\n"...)
	return append(out, x.body...), x.long
}

// Wanted tells whether an answer is still waited for. No attempt begins for a client that has gone, or after the
// request's end, while word of it is on its way.
func (x *Exchange) Wanted() bool { return !x.Over() && (x.Gone == nil || !x.Gone()) }

// Over tells whether it has its answer, or needs none.
func (x *Exchange) Over() bool { return x.settled.Load() }

// Done is closed when the answer is there.
func (x *Exchange) Done() <-chan struct{} { return x.done }

// Deliver answers with what a server delivered.
func (x *Exchange) Deliver(a *Answer) bool {
	return x.settle(func() { x.Ending, x.Answer = Succeeded, a })
}

// Reject answers that a retry is harmless.
func (x *Exchange) Reject(comeBackIn brain.Micros) bool {
	return x.settle(func() { x.Ending, x.RetryAfter = Rejected, comeBackIn })
}

// Abandon ends a request whose client went away. An answer that came just then is given up.
func (x *Exchange) Abandon() {
	if !x.Fail(Failed) {
		<-x.done
		x.Answer.Drop()
	}
}

// Fail answers with an error page.
func (x *Exchange) Fail(how Ending) bool { return x.settle(func() { x.Ending = how }) }

// settle takes the first answer only. A request has one answer.
func (x *Exchange) settle(answer func()) bool {
	if !x.settled.CompareAndSwap(false, true) {
		return false
	}
	answer()
	close(x.done)
	return true
}
