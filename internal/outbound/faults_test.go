package outbound_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"ledgespread/brain"
	"ledgespread/internal/counters"
	"ledgespread/internal/exchange"
	"ledgespread/internal/memory"
	"ledgespread/internal/outbound"
)

var resultNames = map[brain.Result]string{brain.Succeeded: "delivered", brain.AnsweredError: "error", brain.Overloaded: "full",
	brain.TimedOut: "timed out", brain.ConnectFailed: "connect failed", brain.Reset: "reset", brain.Cancelled: "cancelled",
	brain.NeverSent: "never sent"}

// attempt makes one attempt and returns its result, and the answer's body if that was streamed.
func attempt(o *outbound.Outbound, address string, wait time.Duration) string {
	x := exchange.New().SetContent([]byte("GET /look HTTP/1.1\r\nHost: a\r\n"), nil, nil)
	ended := make(chan string, 1)
	o.Send(x, 1, address, time.Now().Add(wait), time.Time{}, func(answer *exchange.Answer, _ bool, _ []float64, err error) {
		text := resultNames[outbound.ResultOf(err)]
		if answer != nil && answer.Rest != nil {
			rest, cut := io.ReadAll(answer.Rest)
			answer.Rest.Close()
			text = fmt.Sprintf("%s, passed on %q until: %v", text, append(answer.Body, rest...), cut)
		}
		ended <- text
	})
	return <-ended
}

func newOutbound(connectTimeout time.Duration) *outbound.Outbound {
	return outbound.New(1_000_000, brain.Micros(connectTimeout/time.Microsecond), 9, memory.New(4<<20), nil, &counters.Set{}, zerolog.Nop())
}

func serve(t *testing.T) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "done") }))
	return ln.Addr().String()
}

// A connection that fails for want of a resource of the sidecar's own machine says nothing about the server.
// It used to count as the server's failure: the server was ejected, and the request lost an attempt for each
// failure. Such a connection is retried at once, until the connect timeout, and if it still fails the attempt
// counts as never sent. A failure on the server's side still counts at once.
func TestConnectFailsOnThisMachine(t *testing.T) {
	const connectTimeout = 300 * time.Millisecond
	address := serve(t)
	var got []string
	for _, test := range []struct {
		errno syscall.Errno
		times int
	}{{syscall.ENETUNREACH, 3}, {syscall.EADDRNOTAVAIL, 3}, {syscall.ENOBUFS, 3}, {syscall.ENFILE, 3}, {syscall.EMFILE, 3},
		{syscall.EAGAIN, 3}, {syscall.ENOMEM, 3}, {syscall.ENOBUFS, 1 << 30}, {syscall.ECONNREFUSED, 1}, {syscall.EHOSTUNREACH, 1}} {
		o, failed := newOutbound(connectTimeout), 0
		o.Dial = func(ctx context.Context, dialer net.Dialer, address string) (net.Conn, error) {
			if failed++; failed <= test.times {
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", test.errno)}
			}
			return dialer.DialContext(ctx, "tcp", address)
		}
		began := time.Now()
		ended := attempt(o, address, 20*time.Second)
		always := test.times > 3
		got = append(got, fmt.Sprintf("%v, always %v: %s, after the time to connect %v", test.errno, always, ended, time.Since(began) >= connectTimeout))
	}
	want := strings.Split(`network is unreachable, always false: delivered, after the time to connect false
cannot assign requested address, always false: delivered, after the time to connect false
no buffer space available, always false: delivered, after the time to connect false
too many open files in system, always false: delivered, after the time to connect false
too many open files, always false: delivered, after the time to connect false
resource temporarily unavailable, always false: delivered, after the time to connect false
cannot allocate memory, always false: delivered, after the time to connect false
no buffer space available, always true: never sent, after the time to connect true
connection refused, always false: connect failed, after the time to connect false
no route to host, always false: connect failed, after the time to connect false`, "\n")
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("mismatch (-want +got):\n%s", diff)
	}
}

// brokenConn returns text from its reads and then fails them with cause.
type brokenConn struct {
	net.Conn
	text  *strings.Reader
	cause error
}

func (c *brokenConn) Read(p []byte) (int, error) {
	if c.text.Len() > 0 {
		return c.text.Read(p)
	}
	return 0, c.cause
}

// The kernel reports a peer that no longer acknowledges data as ETIMEDOUT, which implements Timeout() like a
// deadline that was set here. The reader of answers took it for the end of the time for which it holds back
// an answer of unknown length, and passed on a truncated answer, although a safe request could still have
// been retried.
func TestBrokenConnectionIsNoDeadline(t *testing.T) {
	var got []string
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET} {
		for _, text := range []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", "HTTP/1.1 200 OK\r\n\r\nhalf",
			"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", "HTTP/1.1 200 OK\r\nConte", ""} {
			o := newOutbound(time.Second)
			o.Dial = func(context.Context, net.Dialer, string) (net.Conn, error) {
				near, far := net.Pipe()
				t.Cleanup(func() { near.Close(); far.Close() })
				go io.Copy(io.Discard, bufio.NewReader(far))
				cause := &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", errno)}
				return &brokenConn{Conn: near, text: strings.NewReader(text), cause: cause}, nil
			}
			got = append(got, fmt.Sprintf("%v after %d bytes: %s", errno, len(text), attempt(o, "127.0.0.1:9", 20*time.Second)))
		}
	}
	var want []string
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET} {
		for _, length := range []int{56, 23, 42, 22, 0} {
			want = append(want, fmt.Sprintf("%v after %d bytes: reset", errno, length))
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("mismatch (-want +got):\n%s", diff)
	}
}
