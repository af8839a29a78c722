// Package machine tells failures of this machine from those of others, and tries again what failed for a moment.
package machine

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

// Waits between two tries.
const (
	LeastWait = 2 * time.Millisecond // doubling
	MostWait  = 32 * time.Millisecond
)

// StartWithin is for how long an address is tried for at the start: a start that fails is a crash.
const StartWithin = 5 * time.Second

// lacking are the errors by which a system call fails for want of an address, a route, memory or a descriptor here.
var lacking = []syscall.Errno{syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.ENFILE, syscall.EMFILE, syscall.EAGAIN, syscall.EINTR}

// Lacks tells whether a call on a socket failed for want of something on this machine. It says nothing of the other side.
func Lacks(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(lacking, errno)
}

// Retry tries until it succeeds, fails for another reason than a lack on this machine, or the time is over.
func Retry[T any](within time.Duration, try func() (T, error)) (value T, err error) {
	until := time.Now().Add(within)
	for wait := LeastWait; ; wait = min(2*wait, MostWait) {
		value, err = try()
		left := time.Until(until)
		if err == nil || !Lacks(err) || left <= 0 {
			return value, err
		}
		time.Sleep(min(wait, left))
	}
}
