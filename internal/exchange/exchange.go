// Package exchange defines the object that the client side and the server side of the sidecar share for each
// request: the request's bytes on their way to a server, and the one answer on its way back.
package exchange

import (
	"bytes"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"

	"ledgespread/brain"
	"ledgespread/internal/memory"
)

// Limits of what is buffered of a message: its head, in either direction, and its body. A longer body is
// streamed.
const (
	MaxHeadBytes    = 16 << 10
	MaxBufferedBody = 64 << 10
)

// Ending says how a request was answered.
type Ending uint8

const (
	Succeeded   Ending = iota + 1
	Rejected           // the request did not run, so a retry is safe
	Failed             // the request may have run
	Overdue            // like Failed, after the client timeout
	DuplicateID        // like Failed, because a request with the same ID is open
)

// Exchange is one request. The fields that decisions need are parsed; the rest is kept as the bytes that
// arrived.
type Exchange struct {
	ID             brain.RequestID
	RequestID      string // from the client, unique to each request
	Class          brain.ClassID
	Tenant         brain.TenantID
	TimeLeft, Work brain.Micros // time left for the answer; expected work, 0 if the client doesn't state it
	Repeated       bool         // the client marks it as a retry

	Upload     *Upload     // the rest of a body too long to buffer; nil: the body is complete here
	ClientGone func() bool // reports whether the client is known to have closed its connection; nil: this can't be checked

	head, body []byte   // what is sent to the server, except for X-Timeout and the end of the head
	bodyPieces [][]byte // buffered pieces of a body that is too long for body, which is empty then
	freePieces func()   // gives back the memory of bodyPieces; nil: there is none
	done       chan struct{}
	settled    atomic.Bool

	// The answer. It is set once, before done is closed.
	Ending     Ending
	Answer     *Answer // from a server
	RetryAfter brain.Micros
}

// Answer is a successful answer of a server: its head and its body. The rest of a long body is read
// from the server as it arrives; whoever holds the answer then has to close Rest.
type Answer struct {
	Head     []byte // the fields that are passed on, each a line with its end
	Body     []byte
	Size     int64              // length of the whole body; -1: unknown
	Rest     Rest               // nil: Body is complete
	Reserved memory.Reservation // the memory of Body
}

// Rest is the rest of a long answer.
type Rest interface {
	io.ReadCloser
	// StopIf sets a function that is asked now and then while a read waits. If it returns true, the read ends.
	StopIf(unwanted func() bool)
}

// EachField calls take with each field of the head, and returns their number.
func (a *Answer) EachField(take func(name, value []byte)) (count int) {
	for line := range bytes.Lines(a.Head) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		take(name, bytes.Trim(value, " \t\r\n"))
		count++
	}
	return count
}

// FreeBody gives back the memory of Body, which has been passed on.
func (a *Answer) FreeBody() {
	a.Body = nil
	a.Reserved.Free()
}

// Drop discards an answer that is not passed on, or no further.
func (a *Answer) Drop() {
	if a == nil {
		return
	}
	a.FreeBody()
	if a.Rest != nil {
		a.Rest.Close()
	}
}

// hopByHopFields holds the header fields that apply to one connection only, or that each side writes itself,
// indexed by length.
var hopByHopFields = func(names ...string) (byLength [20][]string) {
	for _, name := range names {
		byLength[len(name)] = append(byLength[len(name)], name)
	}
	return byLength
}("connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect",
	"content-length", "x-timeout", "x-server-load", "x-not-processed")

// IsForwarded reports whether a header field is passed on between client and server, unchanged.
func IsForwarded(name []byte) bool {
	return len(name) >= len(hopByHopFields) || !slices.ContainsFunc(hopByHopFields[len(name)], func(field string) bool {
		return strings.EqualFold(field, string(name))
	})
}

// New returns an Exchange for a request.
func New() *Exchange { return &Exchange{done: make(chan struct{})} }

// SetContent sets what is sent to a server: a head up to its last field, and a body or, if that is long, its
// buffered pieces. The slices are kept, not copied.
func (x *Exchange) SetContent(head, body []byte, bodyPieces [][]byte) *Exchange {
	x.head, x.body, x.bodyPieces = head, body, bodyPieces
	return x
}

// OnPiecesFreed sets the function that gives back the memory of the buffered pieces. It may be called more than once,
// and by several goroutines.
func (x *Exchange) OnPiecesFreed(free func()) { x.freePieces = free }

// FreePieces drops the buffered pieces of a streamed body, which have been sent and can't be sent again.
func (x *Exchange) FreePieces() {
	x.bodyPieces = nil
	if x.freePieces != nil {
		x.freePieces()
	}
}

// Outgoing returns the request as it is sent to a server, with the time for which its answer is awaited, and
// the pieces of a long body.
func (x *Exchange) Outgoing(wait brain.Micros) (out []byte, body [][]byte) {
	out = make([]byte, 0, len(x.head)+len(x.body)+40)
	out = append(out, x.head...)
	out = append(out, "X-Timeout: "...)
	out = strconv.AppendInt(out, int64(max(wait, 1)), 10)
	out = append(out, "u\r\n\r\n"...)
	return append(out, x.body...), x.bodyPieces
}

// BodyFollowsHead reports whether the body, or a part of it, is sent after the head and not with it.
func (x *Exchange) BodyFollowsHead() bool { return x.Upload != nil || len(x.bodyPieces) > 0 }

// HasLongBody reports whether the body is longer than MaxBufferedBody, or may be.
func (x *Exchange) HasLongBody() bool {
	size := len(x.body)
	for _, piece := range x.bodyPieces {
		size += len(piece)
	}
	return x.Upload != nil || size > MaxBufferedBody
}

// AnswerWanted reports whether somebody still waits for an answer. It becomes false as soon as the client has
// gone or the request is settled, so that no attempt begins while that event is still queued.
func (x *Exchange) AnswerWanted() bool {
	return !x.Settled() && (x.ClientGone == nil || !x.ClientGone())
}

// Settled reports whether the request has its answer, or needs none.
func (x *Exchange) Settled() bool { return x.settled.Load() }

// Done returns a channel that is closed once the request is settled.
func (x *Exchange) Done() <-chan struct{} { return x.done }

// Deliver answers the request with a server's answer. Like Reject and Fail it returns false if the request
// was already settled.
func (x *Exchange) Deliver(answer *Answer) bool {
	return x.settle(func() { x.Ending, x.Answer = Succeeded, answer })
}

// Reject answers that the request did not run, and after which time it may be sent again.
func (x *Exchange) Reject(retryAfter brain.Micros) bool {
	return x.settle(func() { x.Ending, x.RetryAfter = Rejected, retryAfter })
}

// Abandon settles a request whose client has gone. If an answer arrived just before, it is discarded.
func (x *Exchange) Abandon() {
	if !x.Fail(Failed) {
		<-x.done
		x.Answer.Drop()
	}
}

// Fail answers with an error.
func (x *Exchange) Fail(ending Ending) bool { return x.settle(func() { x.Ending = ending }) }

// settle sets the answer if there is none yet: only the first one counts.
func (x *Exchange) settle(setAnswer func()) bool {
	if !x.settled.CompareAndSwap(false, true) {
		return false
	}
	setAnswer()
	close(x.done)
	return true
}
