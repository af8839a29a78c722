// Package machine distinguishes failures of the local machine from those of a peer, and retries operations
// that failed for a temporary shortage of local resources.
package machine

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Uptime returns the reading of the machine's monotonic clock, which all processes share; 0 if it can't be read.
func Uptime() time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &reading); err != nil {
		return 0
	}
	return time.Duration(reading.Nano())
}

const (
	initialBackoff = 2 * time.Millisecond // doubles with each attempt
	maxBackoff     = 32 * time.Millisecond
)

// listenTimeout limits the retries of Listen, since the sidecar exits if it cannot listen.
const listenTimeout = 5 * time.Second

// Listen opens a listener with the given function, and retries for a limited time as Retry does.
func Listen[T any](listen func() (T, error)) (T, error) {
	return Retry(context.Background(), time.Now().Add(listenTimeout), listen)
}

// shortageErrors are the errors of a system call that lacks an address, a route, memory or a descriptor on
// this machine, or that may simply be repeated.
var shortageErrors = []syscall.Errno{syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.ENFILE, syscall.EMFILE, syscall.EAGAIN, syscall.EINTR}

// IsLocalShortage reports whether a socket operation failed for a shortage of resources on this machine. Such an error
// says nothing about the peer.
func IsLocalShortage(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(shortageErrors, errno)
}

// Retry calls try with an exponential backoff until it succeeds, fails for another reason than a local
// shortage, or the time until or the context is over. It returns the result of the last call.
func Retry[T any](ctx context.Context, until time.Time, try func() (T, error)) (value T, err error) {
	for wait := initialBackoff; ; wait = min(2*wait, maxBackoff) {
		value, err = try()
		left := time.Until(until)
		if err == nil || !IsLocalShortage(err) || left <= 0 {
			return value, err
		}
		select {
		case <-time.After(min(wait, left)):
		case <-ctx.Done():
			return value, err
		}
	}
}
