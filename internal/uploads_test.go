package internal_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"ledgespread/internal/counters"
	"ledgespread/internal/exchange"
	"ledgespread/internal/inbound"
	"ledgespread/internal/relay"
)

// slowServer is a server that reads requests at a limited rate, and answers those that it has read whole.
type slowServer struct {
	net.Listener
	bytesPerSecond int // 0: it reads nothing
	executed       atomic.Int64
	requests       chan executedRequest
}

// executedRequest is a request that a slowServer has read whole.
type executedRequest struct {
	at   time.Time
	told time.Duration // its X-Timeout
}

func startSlowServer(t *testing.T, bytesPerSecond int) *slowServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s := &slowServer{Listener: ln, bytesPerSecond: bytesPerSecond, requests: make(chan executedRequest, 9)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			c.(*net.TCPConn).SetReadBuffer(64 << 10)
			go s.serve(c)
		}
	}()
	return s
}

// limit returns a reader of a connection that keeps to the rate.
func (s *slowServer) limit(c net.Conn) io.Reader {
	return readerFunc(func(p []byte) (int, error) {
		piece := s.bytesPerSecond / 50
		n, err := c.Read(p[:min(len(p), piece)])
		time.Sleep(time.Duration(n) * time.Second / time.Duration(s.bytesPerSecond))
		return n, err
	})
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

func (s *slowServer) serve(c net.Conn) {
	if s.bytesPerSecond == 0 {
		return // the connection stays open
	}
	in := bufio.NewReaderSize(s.limit(c), 64<<10)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		micros, _ := strconv.Atoi(strings.TrimSuffix(request.Header.Get("X-Timeout"), "u"))
		s.executed.Add(1)
		s.requests <- executedRequest{at: time.Now(), told: time.Duration(micros) * time.Microsecond}
		io.WriteString(c, okResponse)
	}
}

// startSidecarForSlowServer starts a sidecar whose only server is a slowServer, with client timeouts of at most
// 40 s.
func startSidecarForSlowServer(t *testing.T, s *slowServer) (*inbound.Inbound, string, *counters.Set) {
	t.Helper()
	entry := strings.NewReplacer("127.0.0.1:9", s.Addr().String(), `"born_ms":2`, `"born_ms":0`).Replace(serverEntry)
	manifest, counts := parseConfiguration(t, withLongTimeouts(entry)), &counters.Set{}
	out := newOutbound(10*second, 9, counts)
	out.Dial = func(ctx context.Context, dialer net.Dialer, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			err = c.(*net.TCPConn).SetWriteBuffer(64 << 10) // what it held would hide that the server hangs
		}
		return c, err
	}
	r, err := relay.New(manifest, 9, out, nil, counts, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	go r.Run()
	in, address := startInbound(t, manifest, 9, r, counts)
	return in, address, counts
}

// longBody describes a request with a long body.
type longBody struct {
	path    string
	timeout time.Duration
	size    int
	chunked bool
}

// sendLongBody sends a request in the background. The channel gets the time when this machine had acknowledged its
// last byte, if it ever has.
func (c *client) sendLongBody(b longBody) (lastByte chan time.Time) {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: api\r\nX-Request-ID: long%d\r\nX-Tenant-Id: acme\r\nX-Timeout: %dm\r\nIdempotency-Key: k%d\r\n",
		b.path, lastRequestID.Add(1), b.timeout.Milliseconds(), lastRequestID.Load())
	body := strings.Repeat("x", b.size)
	if b.chunked {
		head += "Transfer-Encoding: chunked\r\n\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", b.size, body)
	} else {
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", b.size)
	}
	lastByte = make(chan time.Time, 1)
	go func() {
		if _, err := io.WriteString(c, head+body); err == nil && c.waitAcknowledged() {
			lastByte <- time.Now()
		}
	}()
	return lastByte
}

// waitAcknowledged waits until the other side's machine has acknowledged all that was written.
func (c *client) waitAcknowledged() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	for pending := 1; pending > 0; time.Sleep(time.Millisecond) {
		err := raw.Control(func(fd uintptr) { pending, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
		if err != nil {
			return false
		}
	}
	return true
}

// A stop ends while a long body waits for a server that reads nothing. The end of the stop wasn't noticed there, and
// the request was lost with the process.
func TestLongBodyAtHangingServerIsAnsweredAtStop(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("in chunks %v", chunked), func(t *testing.T) {
			t.Parallel()
			in, address, _ := startSidecarForSlowServer(t, startSlowServer(t, 0))
			c := dial(t, address)
			c.sendLongBody(longBody{"/pay", 30 * time.Second, 4_700_000, chunked})
			waitUntil(t, "the request is taken", func() bool { return in.Accounts().Outstanding() == 1 })
			stopped := make(chan bool)
			go func() { in.Stop(); close(stopped) }()
			if answer := c.readAnswer(); !strings.HasPrefix(answer, "503 ") {
				t.Error(answer)
			}
			<-stopped
		})
	}
}

// A client leaves while the end of its long body lies in the sidecar's socket, since no attempt reads it. That wasn't
// noticed: the request was kept until its attempt ended.
func TestClientLeavesDuringLongBody(t *testing.T) {
	var tr trace
	taken := make(chan *exchange.Exchange, 1)
	counts := &counters.Set{}
	littleMemory := strings.Replace(withLongTimeouts(""), `"memory_mb":64`, `"memory_mb":4`, 1) // a body of this size isn't held
	in, address := startInbound(t, parseConfiguration(t, littleMemory), 9, fakeRelay{&tr, func(x *exchange.Exchange) { taken <- x }}, counts)
	c := dial(t, address)
	lastByte := c.sendLongBody(longBody{"/pay", 30 * time.Second, 100_000, true})
	x := <-taken
	<-lastByte
	c.Close()
	waitUntil(t, "the request has ended", func() bool { return in.Accounts().Outstanding() == 0 })
	_, err := x.Upload.Read(make([]byte, 1))
	tr.add("settled %v, left %d, a further read: %v", x.Settled(), counts[counters.RequestsAbandoned].Load(), err)
	tr.compare(t, `
the relay is notified that the client left
settled true, left 1, a further read: the request is over
`)
}
