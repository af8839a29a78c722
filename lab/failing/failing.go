// Package failing runs the production sidecar with injected faults: system calls fail with errors that Linux documents,
// and the wall clock is stepped. A seed determines the faults and their times. The released sidecar does not contain it.
package failing

import (
	"context"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"ledgespread/brain"
	"ledgespread/internal/connlimit"
	"ledgespread/internal/sidecar"
	"ledgespread/lab/rng"
)

// Errors by which accept and connect calls fail during an episode.
var (
	acceptErrors = []syscall.Errno{syscall.ECONNABORTED, syscall.EPROTO, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.EINTR, syscall.EMFILE,
		syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}
	connectErrors = []syscall.Errno{syscall.ENETUNREACH, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE,
		syscall.EINTR, syscall.EAGAIN}
)

// Bounds of an episode, during which all calls of one kind fail, and of the calm period before it.
const (
	minCalm    = 500 * time.Millisecond
	maxCalm    = 3 * time.Second
	minEpisode = 10 * time.Millisecond
	maxEpisode = 60 * time.Millisecond // half of the shortest deadlines
)

// Serve runs a sidecar with injected faults by the given configuration file until SIGTERM. wallOffsetFile contains
// the offset of the wall clock in microseconds.
func Serve(file, wallOffsetFile string, seed uint64, level zerolog.Level) error {
	options, err := sidecar.Read(file, "", level)
	if err != nil {
		return err
	}
	options.Version = "failing"
	options.Machine = New(seed, wallOffsetFile)
	return sidecar.Run(options)
}

// New returns a machine with injected faults. wallOffsetFile contains the offset of the wall clock.
func New(seed uint64, wallOffsetFile string) sidecar.Machine {
	accepts := newEpisodes(seed, "accept", acceptErrors)
	connects := newEpisodes(seed, "connect", connectErrors)
	connectionBreaker := newBreaker(seed, breakFraction, breakErrors...)
	dial := func(call func() (net.Conn, error)) (net.Conn, error) {
		if errno, fails := connects.fails(); fails {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
		}
		return call()
	}
	return sidecar.Machine{
		Dial: func(ctx context.Context, dialer net.Dialer, address string) (net.Conn, error) {
			return connectionBreaker.wrap(dial(func() (net.Conn, error) { return dialer.DialContext(ctx, "tcp", address) }))
		},
		DialDiscovery: func(address string, timeout time.Duration) (net.Conn, error) {
			return dial(func() (net.Conn, error) { return net.DialTimeout("tcp", address, timeout) })
		},
		Accept: func(accept connlimit.AcceptFunc) connlimit.AcceptFunc {
			return func() (*net.TCPConn, error) {
				if errno, fails := accepts.fails(); fails {
					return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
				}
				return accept()
			}
		},
		Wall: func() brain.Micros { return brain.Micros(time.Now().UnixMicro()) + readClockOffset(wallOffsetFile) },
	}
}

// readClockOffset reads the offset of the wall clock from a file. It is 0 if the file does not exist.
func readClockOffset(file string) brain.Micros {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0
	}
	offset, _ := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
	return brain.Micros(offset)
}

// episodes draws successive periods in which calls of one kind fail.
type episodes struct {
	errors []syscall.Errno

	mu       sync.Mutex
	draw     *rng.Source
	errno    syscall.Errno // of the current or next episode
	from, to time.Time
}

func newEpisodes(seed uint64, kind string, errors []syscall.Errno) *episodes {
	e := &episodes{errors: errors, draw: rng.New(seed, kind)}
	e.next(time.Now())
	return e
}

// next draws the next episode. The caller holds the lock, or e is not shared yet.
func (e *episodes) next(now time.Time) {
	e.errno = e.errors[e.draw.Below(len(e.errors))]
	e.from = now.Add(e.drawDuration(minCalm, maxCalm))
	e.to = e.from.Add(e.drawDuration(minEpisode, maxEpisode))
}

// drawDuration draws a duration between shortest and longest.
func (e *episodes) drawDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(e.draw.Float()*float64(longest-shortest))
}

// fails reports whether a call made now fails, and by which error.
func (e *episodes) fails() (errno syscall.Errno, fails bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.After(e.to) {
		e.next(now)
	}
	return e.errno, now.After(e.from)
}
