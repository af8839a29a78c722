package machine

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// What fails for a moment for want of something on this machine is tried again, for no longer than it may take; what fails otherwise is an
// error at once.
func TestRetry(t *testing.T) {
	var got []string
	for _, c := range []struct {
		errno    syscall.Errno
		failures int
		within   time.Duration
	}{{syscall.ENOBUFS, 5, 20 * time.Second}, {syscall.EADDRNOTAVAIL, 5, 20 * time.Second}, {syscall.EMFILE, 5, 20 * time.Second},
		{syscall.ENFILE, 1 << 30, 100 * time.Millisecond}, {syscall.EADDRINUSE, 1, 20 * time.Second}, {syscall.ECONNREFUSED, 1, 20 * time.Second}} {
		tries := 0
		_, err := Retry(t.Context(), time.Now().Add(c.within), func() (int, error) {
			if tries++; tries <= c.failures {
				return 0, &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("bind", c.errno)}
			}
			return tries, nil
		})
		got = append(got, fmt.Sprintf("%v: fails %v, tried again %v", c.errno, err != nil, tries > 1))
	}
	want := []string{"no buffer space available: fails false, tried again true", "cannot assign requested address: fails false, tried again true",
		"too many open files: fails false, tried again true", "too many open files in system: fails true, tried again true",
		"address already in use: fails true, tried again false", "connection refused: fails true, tried again false"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("-kept +now:\n%s", diff)
	}
}
