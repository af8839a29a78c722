package outbound

import (
	"errors"
	"fmt"
	"os"

	"ledgespread/brain"
)

// Progress is how far an attempt got.
type Progress uint8

const (
	NotSent   Progress = iota // no connection, or the request was not written completely: it never ran
	Sent                      // the request was written completely: it may have run
	Malformed                 // a malformed or truncated answer began: the request has run
	Answered                  // a complete answer came, but not a successful one
)

func (p Progress) String() string { return [...]string{"not sent", "sent", "spoilt", "answered"}[p] }

// errClientStopped means that the client stopped sending the request's body, so that the attempt was not
// written completely. It never ran, and says nothing about the server.
var errClientStopped = fmt.Errorf("client stopped sending the request body: %w", errCancelled)

// errCancelled means that the attempt was cancelled.
var errCancelled = errors.New("called off")

// errNoTimeForBody means that the time for sending a long body was up before the attempt began.
var errNoTimeForBody = fmt.Errorf("no time left to send the request body: %w", errCancelled)

// errKeyExpired means that servers may have forgotten the idempotency key before they had the whole request. If it
// was not written completely, it says nothing about the server: the rest of the key's window was too short.
var errKeyExpired = fmt.Errorf("the window of the idempotency key ended before the last byte: %w", errCancelled)

// errLocalResource means that the connection failed for want of a resource of this machine, without the
// server's part.
var errLocalResource = errors.New("connection failed for want of a local resource")

// Failure is the error of an attempt without a successful answer. It says how far the attempt got.
type Failure struct {
	Progress     Progress
	Status       int  // of a complete answer
	NotProcessed bool // the answer says that the request did not run
	Cause        error
}

func (f *Failure) Error() string {
	if f.Progress == Answered {
		return fmt.Sprintf("answered with %d", f.Status)
	}
	return fmt.Sprintf("%s: %v", f.Progress, f.Cause)
}

func (f *Failure) Unwrap() error { return f.Cause }

// ResultOf classifies the error of an attempt for the Balancer. An attempt never ran only if its last byte was
// not written, or if the server's answer says so. A malformed answer counts as an error, not as a reset: a
// reset would eject the server, close its idle connections and allow a free retry, and any server may send a
// malformed answer.
func ResultOf(err error) brain.Result {
	var failure *Failure
	cancelled := errors.Is(err, errCancelled)
	switch {
	case err == nil:
		return brain.Succeeded
	case !errors.As(err, &failure):
		return brain.Reset
	case failure.Progress == Answered && failure.NotProcessed:
		return brain.Overloaded
	case failure.Progress == Answered || failure.Progress == Malformed:
		return brain.AnsweredError
	case failure.Progress == NotSent && (cancelled || errors.Is(err, errLocalResource)):
		return brain.NeverSent
	case failure.Progress == NotSent:
		return brain.ConnectFailed
	case cancelled:
		return brain.Cancelled
	case errors.Is(failure.Cause, os.ErrDeadlineExceeded):
		return brain.TimedOut
	}
	return brain.Reset
}
