// Package internal_test tests the sidecar's packages together, over loopback sockets. Most tests record what
// happened as lines of text and compare them with the lines that they expect.
package internal_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
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

// trace records the lines of one test. Several goroutines may add to it.
type trace struct {
	mu    sync.Mutex
	lines []string
}

func (tr *trace) add(format string, args ...any) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.lines = append(tr.lines, fmt.Sprintf(format, args...))
}

// compare fails the test unless the recorded lines are those of want, which has one on each line.
func (tr *trace) compare(t *testing.T, want string) {
	t.Helper()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if diff := cmp.Diff(strings.Split(strings.TrimSpace(want), "\n"), tr.lines); diff != "" {
		t.Errorf("recorded lines differ (-want +got):\n%s", diff)
	}
}

// fakeServer is a backend server that answers its nth request with the bytes that a script returns. A trailing
// "!" closes the connection after them; "silence" means that it never answers.
type fakeServer struct {
	net.Listener
	mu          sync.Mutex
	requests    []string     // raw bytes of each request received
	closedConns atomic.Int64 // number of connections that have ended
}

// startFakeServer starts a fakeServer on a free port until the test ends.
func startFakeServer(t *testing.T, script func(n int, path string) string) *fakeServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s := &fakeServer{Listener: ln}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go s.serve(c, script)
		}
	}()
	return s
}

// requestLine returns the first line of the nth request, counted from 1.
func (s *fakeServer) requestLine(n int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	line, _, _ := strings.Cut(s.requests[n-1], "\r\n")
	return line
}

func (s *fakeServer) serve(conn net.Conn, script func(n int, path string) string) {
	defer s.closedConns.Add(1)
	defer conn.Close()
	var raw strings.Builder
	in := bufio.NewReader(io.TeeReader(conn, &raw))
	for {
		raw.Reset()
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		s.mu.Lock()
		s.requests = append(s.requests, raw.String())
		n := len(s.requests)
		s.mu.Unlock()
		answer := script(n, req.URL.Path)
		if answer == "silence" {
			io.Copy(io.Discard, in)
			return
		}
		io.WriteString(conn, strings.TrimSuffix(answer, "!"))
		if strings.HasSuffix(answer, "!") {
			return
		}
	}
}

func (s *fakeServer) requestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// unacceptingAddress returns the address of a listener with a full backlog: no connection to it can be established.
func unacceptingAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	t.Cleanup(fillBacklog(t, ln))
	return ln.Addr().String()
}

// fillBacklog fills a listener's backlog, so that no further connection is established until one is accepted.
// The returned function closes the connections that fill it.
func fillBacklog(t *testing.T, ln net.Listener) (release func()) {
	t.Helper()
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { syscall.Listen(int(fd), 0) })
	var fillers []net.Conn
	for range 3 {
		if c, err := net.DialTimeout("tcp", ln.Addr().String(), 50*time.Millisecond); err == nil {
			fillers = append(fillers, c)
		}
	}
	return func() {
		for _, c := range fillers {
			c.Close()
		}
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

// resultNames has the name of each result in the recorded lines.
var resultNames = [...]string{brain.Succeeded: "delivered", brain.AnsweredError: "errored", brain.Overloaded: "full",
	brain.TimedOut: "timed out", brain.ConnectFailed: "connect failed", brain.Reset: "reset",
	brain.Cancelled: "cancelled", brain.NeverSent: "never sent"}

const second = brain.Micros(1_000_000)

// newOutbound returns an outbound with a connect timeout of one second.
func newOutbound(idleTimeout brain.Micros, maxConns int, counts *counters.Set) *outbound.Outbound {
	return outbound.New(idleTimeout, second, maxConns, memory.New(4<<20), nil, counts, zerolog.Nop())
}

// deadlineAfter returns the time that is span from now.
func deadlineAfter(span brain.Micros) time.Time {
	return time.Now().Add(time.Duration(span) * time.Microsecond)
}

// sendAttempt sends one attempt, calls whileSent while it is outstanding, and returns a line that describes its result.
func sendAttempt(o *outbound.Outbound, path, address string, timeout brain.Micros, whileSent func(*outbound.Attempt)) string {
	x := exchange.New().SetContent([]byte("GET "+path+" HTTP/1.1\r\nHost: a\r\n"), nil, nil)
	end := make(chan string, 2)
	f := o.Send(x, 1, address, deadlineAfter(timeout), time.Time{}, func(a *exchange.Answer, reused bool, _ []float64, err error) {
		var body []byte
		if a != nil {
			body = a.Body
			if a.Rest != nil {
				rest, readErr := io.ReadAll(a.Rest)
				a.Rest.Close()
				body = fmt.Appendf(append(body, rest...), "| of %d, streamed: %v", a.Size, readErr)
			}
		}
		end <- fmt.Sprintf("%s reused=%v %q %v", resultNames[outbound.ResultOf(err)], reused, body, err)
	})
	whileSent(f)
	return <-end
}

func noAction(*outbound.Attempt) {}

func TestFetchEnds(t *testing.T) {
	server := startFakeServer(t, func(_ int, path string) string {
		return map[string]string{"/ok": okResponse, "/error": "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n",
			"/busy":   "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n",
			"/slow":   "HTTP/1.1 429 x\r\nContent-Length: 0\r\n\r\n",
			"/unseen": "HTTP/1.1 503 x\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
			"/over":   "HTTP/1.1 504 x\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
			"/short":  "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf!", "/closed": "!",
			"/chunks":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n!",
			"/long":     "HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000),
			"/garbage":  "what?\r\n\r\n",
			"/odd":      "HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nhi",
			"/other":    "ICY 200 OK\r\nContent-Length: 2\r\n\r\nhi",
			"/switch":   "HTTP/1.1 101 x\r\nContent-Length: 2\r\n\r\nhi",
			"/twice":    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nhi",
			"/negative": "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhi",
			"/huge":     "HTTP/1.1 200 OK\r\nContent-Length: 300000000\r\n\r\nhi!",
			"/both":     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			"/nolength": "HTTP/1.1 200 OK\r\n\r\nhi!",
			"/staying":  "HTTP/1.1 200 OK\r\n\r\nhi",
			"/chunked":  "HTTP/1.1 200 OK\r\ntransfer-encoding: CHUNKED\r\n\r\n2;a=\"b\"\r\nhi\r\n00000003 ; x\r\n, y\r\n0\r\nT: r\r\n\r\n",
			"/flows":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n" + strings.Repeat("x", 70000) + "\r\n0\r\n\r\n",
			"/breaks":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n" + strings.Repeat("x", 70000) + "\r\nzz\r\n",
			"/ends":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n" + strings.Repeat("x", 70000) + "\r\n5\r\nx!",
			"/barelf":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\nhi\r\n0\r\n\r\n",
			"/nocolon":  "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nhi",
			"/oddchunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\nzz\r\n",
			"/endless":  "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: pppppppppppp\r\n", 2000),
			"/informs":  "HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\nHTTP/1.1 102 x\r\n\r\n" + okResponse,
			"/report":   "HTTP/1.1 200 OK\r\nX-Server-Load: %%%\r\nContent-Length: 2\r\n\r\nhi",
			"/more":     okResponse + okResponse,
			"/silence":  "silence"}[path]
	})
	var tr trace
	for _, path := range []string{"/ok", "/error", "/busy", "/slow", "/unseen", "/over", "/short", "/closed",
		"/chunks", "/long", "/garbage", "/odd", "/other", "/switch", "/twice", "/negative", "/huge", "/both", "/nolength",
		"/staying", "/chunked", "/flows", "/breaks", "/ends", "/barelf", "/nocolon", "/oddchunk", "/endless", "/informs", "/report", "/silence"} {
		counts := &counters.Set{}
		end := sendAttempt(newOutbound(10*second, 9, counts), path, server.Addr().String(), second/10, noAction)
		tr.add("%s: %s", path, strings.Replace(end, strings.Repeat("x", 70000), "x times 70000", 1))
	}
	end := sendAttempt(newOutbound(10*second, 9, &counters.Set{}), "/silence", server.Addr().String(), 10*second,
		func(f *outbound.Attempt) {
			for server.requestCount() < 32 {
				time.Sleep(time.Millisecond)
			}
			f.Cancel()
		})
	tr.add("cancelled while it waits: %s", end)
	tr.add("the server saw %d", server.requestCount())
	full := unacceptingAddress(t)
	end = sendAttempt(newOutbound(10*second, 9, &counters.Set{}), "/ok", full, 5*second, func(f *outbound.Attempt) {
		time.Sleep(20 * time.Millisecond)
		f.CancelUnsent()
	})
	tr.add("its request ends while the connection is being established: %s", end)
	end = sendAttempt(outbound.New(10*second, second/20, 9, memory.New(4<<20), nil, &counters.Set{}, zerolog.Nop()), "/ok", full, 5*second, noAction)
	tr.add("the connection cannot be established: %s", strings.Split(end, ": dial")[0])
	server.Close()
	refused := sendAttempt(newOutbound(10*second, 9, &counters.Set{}), "/ok", server.Addr().String(), second, noAction)
	tr.add("no process listens: %s", strings.Split(refused, ": dial")[0])
	none := sendAttempt(newOutbound(10*second, 0, &counters.Set{}), "/ok", server.Addr().String(), second, noAction)
	tr.add("connection limit reached: %s", none)
	tr.compare(t, `
/ok: delivered reused=false "hi" <nil>
/error: errored reused=false "" answered with 500
/busy: errored reused=false "" answered with 503
/slow: errored reused=false "" answered with 429
/unseen: full reused=false "" answered with 503
/over: full reused=false "" answered with 504
/short: reset reused=false "" sent: unexpected EOF
/closed: reset reused=false "" sent: EOF
/chunks: reset reused=false "" sent: unexpected EOF
/long: delivered reused=false "x times 70000| of 70000, streamed: <nil>" <nil>
/garbage: errored reused=false "" spoilt: no HTTP
/odd: errored reused=false "" spoilt: no HTTP
/other: errored reused=false "" spoilt: no HTTP
/switch: errored reused=false "" spoilt: another protocol
/twice: errored reused=false "" spoilt: a field is given twice
/negative: errored reused=false "" spoilt: the length can't be read
/huge: delivered reused=false "hi| of 300000000, streamed: unexpected EOF" <nil>
/both: errored reused=false "" spoilt: both a length and a coding
/nolength: delivered reused=false "hi" <nil>
/staying: timed out reused=false "" sent: i/o timeout
/chunked: delivered reused=false "hi, y" <nil>
/flows: delivered reused=false "x times 70000| of -1, streamed: <nil>" <nil>
/breaks: delivered reused=false "x times 70000| of -1, streamed: a chunk can't be read" <nil>
/ends: delivered reused=false "x times 70000x| of -1, streamed: unexpected EOF" <nil>
/barelf: errored reused=false "" spoilt: a chunk can't be read
/nocolon: errored reused=false "" spoilt: a line of the head can't be read
/oddchunk: errored reused=false "" spoilt: a chunk can't be read
/endless: errored reused=false "" spoilt: a head without end
/informs: delivered reused=false "hi" <nil>
/report: delivered reused=false "hi" <nil>
/silence: timed out reused=false "" sent: i/o timeout
cancelled while it waits: cancelled reused=false "" sent: called off
the server saw 32
its request ends while the connection is being established: never sent reused=false "" not sent: called off
the connection cannot be established: connect failed reused=false "" not sent
no process listens: connect failed reused=false "" not sent
connection limit reached: connect failed reused=false "" not sent: all 0 connections are busy
`)
}

// An idle connection isn't reused once the server has closed it, its idle time is over, or more bytes than its
// answer have arrived on it. The request, of which nothing has been written, goes out on a new connection.
func TestIdleConnections(t *testing.T) {
	server := startFakeServer(t, func(n int, path string) string {
		return okResponse + map[string]string{"/last": "!", "/more": okResponse}[path]
	})
	counts := &counters.Set{}
	var tr trace
	o := newOutbound(second/5, 1, counts)
	for _, step := range []string{"/one", "/two", "/more", "/two", "wait for its idle time", "/three", "close idle", "/last",
		"wait until it is closed", "/five"} {
		switch step {
		case "wait for its idle time":
			time.Sleep(210 * time.Millisecond)
		case "close idle":
			o.CloseIdle(1)
		case "wait until it is closed":
			time.Sleep(20 * time.Millisecond)
		default:
			tr.add("%s: %s", step, sendAttempt(o, step, server.Addr().String(), second, noAction))
			continue
		}
		tr.add("%s", step)
	}
	tr.add("opened %d, reused %d, stale %d; the server saw %d", counts[counters.ConnectionsOpened].Load(),
		counts[counters.ConnectionsReused].Load(), counts[counters.ConnectionsStale].Load(), server.requestCount())
	tr.compare(t, `
/one: delivered reused=false "hi" <nil>
/two: delivered reused=true "hi" <nil>
/more: delivered reused=true "hi" <nil>
/two: delivered reused=false "hi" <nil>
wait for its idle time
/three: delivered reused=false "hi" <nil>
close idle
/last: delivered reused=false "hi" <nil>
wait until it is closed
/five: delivered reused=false "hi" <nil>
opened 5, reused 2, stale 2; the server saw 7
`)
}
