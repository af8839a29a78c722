package outbound

import (
	"errors"
	"fmt"
	"os"

	"ledgespread/brain"
)

// Progress is how far an attempt had come.
type Progress uint8

const (
	Nowhere  Progress = iota // no connection, or none that took the last byte: it never ran
	Sent                     // the last byte was written: it may have run
	Spoilt                   // an answer began that can't be read: it has run
	Answered                 // a whole answer came, but no delivery
)

func (r Progress) String() string { return [...]string{"not sent", "sent", "spoilt", "answered"}[r] }

// errClient is why an attempt was not written whole: its client brought no more. It never ran, and says nothing of its server.
var errClient = fmt.Errorf("its client brought no more: %w", errCalledOff)

// errCalledOff is why an attempt ended that nobody waits for any more.
var errCalledOff = errors.New("called off")

// errHere is why no connection came up though the server was never asked: this machine lacked something.
var errHere = errors.New("no connection from this machine")

// Failure tells why an attempt brought no delivery, and how far it had come.
type Failure struct {
	Progress Progress
	Status   int  // of a whole answer
	Unseen   bool // that answer says it never ran
	Cause    error
}

func (f *Failure) Error() string {
	if f.Progress == Answered {
		return fmt.Sprintf("answered with %d", f.Status)
	}
	return fmt.Sprintf("%s: %v", f.Progress, f.Cause)
}

func (f *Failure) Unwrap() error { return f.Cause }

// Result is what the module hears of an attempt that ended so. Only an attempt whose last byte was never
// written, or that the server itself calls unseen, counts as one that never ran. A spoilt
// answer is an error and no reset: a reset would eject the server, close its idle connections and draw a free
// retry, and any server may spoil an answer.
func Result(err error) brain.Result {
	var f *Failure
	off := errors.Is(err, errCalledOff)
	switch {
	case err == nil:
		return brain.Succeeded
	case !errors.As(err, &f):
		return brain.Reset
	case f.Progress == Answered && f.Unseen:
		return brain.Overloaded
	case f.Progress == Answered || f.Progress == Spoilt:
		return brain.AnsweredError
	case f.Progress == Nowhere && (off || errors.Is(err, errHere)):
		return brain.NeverSent
	case f.Progress == Nowhere:
		return brain.ConnectFailed
	case off:
		return brain.Cancelled
	case errors.Is(f.Cause, os.ErrDeadlineExceeded):
		return brain.TimedOut
	}
	return brain.Reset
}
