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

// lostAfter is how long after its client timeout a request without an answer is lost, by the rules.
const lostAfter = 500 * time.Millisecond

// toldTimeSlack is how much more than its client has left a server may be told, by the rules.
const toldTimeSlack = 150 * time.Millisecond

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
		if !strings.HasPrefix(request.Header.Get("X-Request-ID"), "long") { // a watcher of another test still calls this port
			io.WriteString(c, "HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n")
			continue
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

// startInboundForUploads starts an inbound listener with so little memory that a body of 100 kB isn't held. Requests go
// to the channel, and nothing answers them.
func startInboundForUploads(t *testing.T, tr *trace) (*inbound.Inbound, string, chan *exchange.Exchange) {
	t.Helper()
	taken := make(chan *exchange.Exchange, 1)
	littleMemory := strings.Replace(withLongTimeouts(""), `"memory_mb":64`, `"memory_mb":4`, 1)
	in, address := startInbound(t, parseConfiguration(t, littleMemory), 9, fakeRelay{tr, func(x *exchange.Exchange) { taken <- x }}, &counters.Set{})
	return in, address, taken
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

// awaitStatus returns the status of the next answer, and 0 if there is none within a time that only a hang takes.
func (c *client) awaitStatus() int {
	c.SetReadDeadline(time.Now().Add(30 * time.Second))
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
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

// The end of a long body lies in the sidecar's socket and no attempt reads it. The client's timeout didn't begin there:
// no answer came. It is refused within the timeout, as it has not run.
func TestUnreadLongBodyIsAnsweredInTime(t *testing.T) {
	const timeout = time.Second
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("in chunks %v", chunked), func(t *testing.T) {
			_, address, _ := startInboundForUploads(t, &trace{})
			c := dial(t, address)
			lastByte := c.sendLongBody(longBody{"/pay", timeout, 100_000, chunked})
			status := c.awaitStatus()
			if took := time.Since(<-lastByte); status != 503 || took > timeout+lostAfter {
				t.Errorf("answered %d, %v after its last byte", status, took)
			}
		})
	}
}

// A server accepts a request with a long body and then reads nothing, or very slowly. The rest of the body waits in
// the sidecar's socket, and the client got no answer for 5 s, long after its timeout, which counted only from the
// read of the last byte. It is refused within its timeout: its last byte was never sent, so a retry is harmless.
func TestLongBodyAtHangingServerIsAnsweredInTime(t *testing.T) {
	const timeout = 2 * time.Second
	for _, test := range []struct {
		bytesPerSecond int
		path           string
		size           int
	}{{0, "/pay", 1_500_000}, {0, "/book", 4_700_000}, {300_000, "/pay", 1_500_000}, {300_000, "/book", 2_400_000}} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d bytes a second, %s, %d bytes, in chunks %v", test.bytesPerSecond, test.path, test.size, chunked), func(t *testing.T) {
				t.Parallel()
				server := startSlowServer(t, test.bytesPerSecond)
				_, address, _ := startSidecarForSlowServer(t, server)
				c := dial(t, address)
				lastByte := c.sendLongBody(longBody{test.path, timeout, test.size, chunked})
				status := c.awaitStatus()
				answeredAt := time.Now()
				select {
				case at := <-lastByte:
					if took := answeredAt.Sub(at); took > timeout+lostAfter {
						t.Errorf("answered %d, %v after its last byte", status, took)
					}
				default: // answered before its last byte was acknowledged
				}
				servedInTime := status == 200 && test.bytesPerSecond > 0
				if executed := server.executed.Load(); !servedInTime && (status != 503 || executed > 0) {
					t.Errorf("answered %d, executed %d times", status, executed)
				}
			})
		}
	}
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
	in, address, taken := startInboundForUploads(t, &tr)
	c := dial(t, address)
	lastByte := c.sendLongBody(longBody{"/pay", 30 * time.Second, 100_000, true})
	x := <-taken
	<-lastByte
	c.Close()
	waitUntil(t, "the request has ended", func() bool { return in.Accounts().Outstanding() == 0 })
	_, err := x.Upload.Read(make([]byte, 1))
	tr.add("settled %v, a further read: %v", x.Settled(), err)
	tr.compare(t, `
the relay is notified that the client left
settled true, a further read: the request is over
`)
}

// A server reads a long body slowly, but in time. It was told the whole client timeout, of which a part was over when
// it had the last byte: it worked on for a client that had gone.
func TestTimeToldWithLongBody(t *testing.T) {
	const timeout = 4 * time.Second
	for _, body := range []longBody{
		{"/pay", timeout, 60_000, false},    // short: told all that is left
		{"/pay", timeout, 1_000_000, false}, // held as a whole
		{"/pay", timeout, 1_800_000, false},
		{"/pay", timeout, 1_800_000, true},
	} {
		t.Run(fmt.Sprintf("%d bytes, in chunks %v", body.size, body.chunked), func(t *testing.T) {
			t.Parallel()
			server := startSlowServer(t, 2_000_000)
			_, address, _ := startSidecarForSlowServer(t, server)
			c := dial(t, address)
			lastByte := c.sendLongBody(body)
			if answer := c.readAnswer(); answer != `200 "hi"` {
				t.Fatal(answer)
			}
			executed := <-server.requests
			if left := (<-lastByte).Add(timeout).Sub(executed.at); executed.told > left+toldTimeSlack {
				t.Errorf("told %v, left %v", executed.told, left)
			}
			if short := body.size <= exchange.MaxBufferedBody; short != (executed.told > timeout/2) {
				t.Errorf("told %v of %v", executed.told, timeout)
			}
		})
	}
}

// A server reads a long body slowly, and its end waits in the client's own socket, which can't be seen. The client timeout
// moved on with each byte that arrived: the final answer came up to ten seconds after the client had written its last byte.
func TestAnswerInTimeWhileBodyWaitsAtClient(t *testing.T) {
	const (
		size    = 4 << 20
		timeout = 2 * time.Second
	)
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("in chunks %v", chunked), func(t *testing.T) {
			t.Parallel()
			server := startSlowServer(t, size/16)
			_, address, _ := startSidecarForSlowServer(t, server)
			c := dial(t, address)
			written := make(chan time.Time, 1)
			go func() {
				length, end := fmt.Sprintf("Content-Length: %d\r\n\r\n", size), ""
				if chunked {
					length, end = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size), "\r\n0\r\n\r\n"
				}
				fmt.Fprintf(c, "POST /pay HTTP/1.1\r\nHost: api\r\nX-Request-ID: longwait%d\r\nX-Tenant-Id: acme\r\nX-Timeout: %dm\r\n%s%s%s",
					lastRequestID.Add(1), timeout.Milliseconds(), length, make([]byte, size), end)
				written <- time.Now()
			}()
			status := c.awaitStatus()
			answeredAt := time.Now()
			select {
			case at := <-written:
				if took := answeredAt.Sub(at); took > timeout+lostAfter {
					t.Errorf("answered %d %v after the last byte was written", status, took)
				}
			default: // it was refused before that
			}
			if status != http.StatusServiceUnavailable {
				t.Errorf("answered %d", status)
			}
		})
	}
}
