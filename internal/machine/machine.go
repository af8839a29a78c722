// Package machine tells failures of this machine from those of others, and tries again what failed for a moment.
package machine

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"
)

// Waits between two tries.
const (
	leastWait = 2 * time.Millisecond // doubling
	mostWait  = 32 * time.Millisecond
)

// startWithin is for how long an address is tried for at the start: a start that fails is a crash.
const startWithin = 5 * time.Second

// Listen takes an address by this call, as Retry does, for as long as a start may wait.
func Listen[T any](listen func() (T, error)) (T, error) {
	return Retry(context.Background(), time.Now().Add(startWithin), listen)
}

// lacking are the errors by which a system call fails for want of an address, a route, memory or a descriptor here.
var lacking = []syscall.Errno{syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.ENFILE, syscall.EMFILE, syscall.EAGAIN, syscall.EINTR}

// Lacks tells whether a call on a socket failed for want of something on this machine. It says nothing of the other side.
func Lacks(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(lacking, errno)
}

// Retry tries until it succeeds, fails for another reason than a lack on this machine, its time is over, or nobody waits for it any more.
func Retry[T any](ctx context.Context, until time.Time, try func() (T, error)) (value T, err error) {
	for wait := leastWait; ; wait = min(2*wait, mostWait) {
		value, err = try()
		left := time.Until(until)
		if err == nil || !Lacks(err) || left <= 0 {
			return value, err
		}
		select {
		case <-time.After(min(wait, left)):
		case <-ctx.Done():
			return value, err
		}
	}
}
