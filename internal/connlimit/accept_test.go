package connlimit

import (
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"ledgespread/internal/counters"
)

// An accept fails for a moment: for want of descriptors or buffers, or since the connection that it was about to hand over broke. After
// some failures in a row the listener stayed away for 0.1 s at a time, and clients with short deadlines that had come meanwhile were answered
// too late. It looks again within milliseconds.
func TestAcceptFailsForAMoment(t *testing.T) {
	const failures, most = 40, 10 * time.Millisecond
	var got, want []string
	for _, errno := range []syscall.Errno{syscall.ECONNABORTED, syscall.EPROTO, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.EINTR,
		syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l := New(ln.(*net.TCPListener), 30, &counters.Sheet{}, zerolog.Nop())
		failed := 0
		var longest time.Duration // from one failure to the next look; a busy machine only makes it longer
		var sum time.Duration
		last := time.Now()
		l.accept = func() (*net.TCPConn, error) {
			if failed > 0 {
				longest, sum = max(longest, time.Since(last)), sum+time.Since(last)
			}
			last = time.Now()
			if failed++; failed <= failures {
				return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
			}
			return ln.(*net.TCPListener).AcceptTCP()
		}
		connected(t, l)
		ln.Close()
		got = append(got, fmt.Sprintf("%v: accepted after %d failures, %v on the average at most: %v", errno, failures, most, sum/failures <= 2*most))
		want = append(want, fmt.Sprintf("%v: accepted after %d failures, %v on the average at most: true", errno, failures, most))
		t.Logf("%v: longest %v, in all %v", errno, longest, sum)
	}
	if diff := cmp.Diff(strings.Join(want, "\n"), strings.Join(got, "\n")); diff != "" {
		t.Errorf("-kept +now:\n%s", diff)
	}
}
