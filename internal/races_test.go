package internal_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ledgespread/internal/connlimit"
	"ledgespread/internal/counters"
	"ledgespread/internal/exchange"
	"ledgespread/internal/memory"
	"ledgespread/internal/outbound"
	"ledgespread/internal/relay"
)

// Each test here forces a race between two events into one order, which its comment states.

// withLongTimeouts returns a configuration whose client timeouts are longer than any test runs.
func withLongTimeouts(hosts string) string {
	return strings.NewReplacer(`"target_latency_us":400000`, `"target_latency_us":20000000`, `"client_timeout_us":800000`,
		`"client_timeout_us":40000000`).Replace(configuration(hosts, ""))
}

const longTimeoutFields = "Host: api\r\nX-Request-ID: 1\r\nX-Tenant-Id: acme\r\nX-Timeout: 30000m\r\n"

// waitUntil waits until a condition holds and fails the test after 20 s.
func waitUntil(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", condition)
		}
	}
}

// closeFirstRequest starts a server that closes the connection of its first request once released, and answers all
// others.
func closeFirstRequest(t *testing.T, release <-chan bool) *fakeServer {
	return startFakeServer(t, func(n int, path string) string {
		if n == 1 {
			<-release
			return "!"
		}
		return okResponse
	})
}

// entryFor returns the list entry of a fake server. Its start time of 0 makes it an old server, not a cold one.
func entryFor(server *fakeServer) string {
	return strings.NewReplacer("127.0.0.1:9", server.Addr().String(), `"born_ms":2`, `"born_ms":0`).Replace(serverEntry)
}

// A client leaves while its first attempt is outstanding; then the attempt's connection breaks. There is no retry,
// whatever the client timeout is and whatever the client pipelined before it left. A client that has pipelined a
// request and stays isn't taken for one that left.
func TestClientGone(t *testing.T) {
	var tr trace
	request := "GET /look HTTP/1.1\r\n" + longTimeoutFields + "\r\n"
	for _, test := range []struct{ name, ahead string }{
		{"at once", ""},
		{"after half a pipelined line", "GET /lo"},
		{"after a pipelined request", request},
		{"after more than is read ahead", "POST /pay HTTP/1.1\r\n" + longTimeoutFields + "Content-Length: 60000\r\n\r\n" + strings.Repeat("x", 50_000)},
	} {
		release := make(chan bool)
		server := closeFirstRequest(t, release)
		_, address, counts := startSidecarWithLog(t, parseConfiguration(t, withLongTimeouts(entryFor(server))), 9, logShownOnFailure(t))
		leaving := dial(t, address)
		io.WriteString(leaving, request)
		waitUntil(t, "the server has received the request", func() bool { return server.requestCount() == 1 })
		io.WriteString(leaving, test.ahead)
		leaving.Close()
		if test.ahead == "" {
			time.Sleep(300 * time.Millisecond) // three times the interval within which it has to be noticed
		} else {
			waitUntil(t, test.name+": the disconnect is noticed", func() bool { return counts[counters.RequestsAbandoned].Load() == 1 })
		}
		release <- true
		waitUntil(t, "the attempt has ended", func() bool { return server.closedConns.Load() == 1 })
		time.Sleep(200 * time.Millisecond) // as long as four retry delays
		tr.add("%s: %d attempts, dropped %d", test.name, server.requestCount(), counts[counters.RequestsAbandoned].Load())
	}

	release := make(chan bool)
	server := closeFirstRequest(t, release)
	_, address, counts := startSidecarWithLog(t, parseConfiguration(t, withLongTimeouts(entryFor(server))), 9, logShownOnFailure(t))
	staying := dial(t, address)
	io.WriteString(staying, request+strings.Replace(request, "ID: 1", "ID: 2", 1))
	waitUntil(t, "the server has received the request", func() bool { return server.requestCount() == 1 })
	time.Sleep(100 * time.Millisecond) // long enough for the sidecar to watch the connection
	release <- true
	tr.add("a client that pipelined and stays: %s, %s, dropped %d", staying.readAnswer(), staying.readAnswer(), counts[counters.RequestsAbandoned].Load())
	tr.compare(t, `
at once: 1 attempts, dropped 1
after half a pipelined line: 1 attempts, dropped 1
after a pipelined request: 1 attempts, dropped 1
after more than is read ahead: 1 attempts, dropped 1
a client that pipelined and stays: 200 "hi", 200 "hi", dropped 0
`)
}

// While the decision module is paused a client connects, sends a request and leaves; then the module resumes.
// Nothing is sent to a server for that request. The same holds if a connection to a server is established only
// after the client has left.
func TestClientGoneBeforeFirstAttempt(t *testing.T) {
	var tr trace
	server := startFakeServer(t, func(int, string) string { return okResponse })
	var log slowLog
	r, address, counts := startSidecarWithLog(t, parseConfiguration(t, withLongTimeouts(entryFor(server))), 9, zerolog.New(&log))
	invalid := exchange.New() // an invalid class makes the module panic, and it is paused while that is logged
	invalid.Class, invalid.TimeLeft = 99, second
	r.HandleRequest(invalid)
	<-invalid.Done()
	client := dial(t, address)
	io.WriteString(client, "GET /look HTTP/1.1\r\n"+longTimeoutFields+"\r\n")
	waitUntil(t, "the request is taken", func() bool { return counts[counters.RequestsAccepted].Load() == 1 })
	client.Close()
	waitUntil(t, "the module resumes", func() bool { return strings.Contains(log.String(), "crashed") })
	waitUntil(t, "the disconnect is noticed", func() bool { return counts[counters.RequestsAbandoned].Load() == 1 })
	time.Sleep(100 * time.Millisecond)
	tr.add("while the module was paused: %d at the server", server.requestCount())

	o, left := newOutbound(10*second, 9, counts), false
	for _, reused := range []bool{false, true} {
		x := exchange.New().SetContent([]byte("GET /x HTTP/1.1\r\nHost: a\r\n"), nil, nil)
		left = true
		x.ClientGone = func() bool { return left }
		end := make(chan string, 1)
		o.Send(x, 1, server.Addr().String(), deadlineAfter(second), time.Time{}, func(_ *exchange.Answer, _ bool, _ []float64, err error) {
			end <- resultNames[outbound.ResultOf(err)]
		})
		tr.add("on an established connection, reused %v: %s, %d at the server", reused, <-end, server.requestCount())
		if left = false; !reused {
			tr.add("%s", sendAttempt(o, "/here", server.Addr().String(), second, noAction))
			time.Sleep(50 * time.Millisecond)
		}
	}
	tr.compare(t, `
while the module was paused: 0 at the server
on an established connection, reused false: never sent, 0 at the server
delivered reused=false "hi" <nil>
on an established connection, reused true: never sent, 1 at the server
`)
}

// slowReader returns a client with a small receive buffer: bytes that it doesn't read stay in the sidecar's send
// buffer.
func slowReader(t *testing.T, address string) *client {
	t.Helper()
	d := net.Dialer{}
	c, err := d.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	c.(*net.TCPConn).SetReadBuffer(4 << 10)
	t.Cleanup(func() { c.Close() })
	return newClient(c)
}

// The sidecar writes an answer and closes the connection while unread bytes are in its receive buffer: a pipelined
// request, or a body that was refused. A close would then reset the connection and lose the answer; the client,
// which starts to read only afterwards, must get the whole of it.
func TestCloseWithUnreadBytes(t *testing.T) {
	var tr trace
	held := make(chan *exchange.Exchange, 1)
	counts := &counters.Set{}
	in, address := startInbound(t, parseConfiguration(t, withLongTimeouts("")), 9, fakeRelay{&tr, holdRepeats(held)}, counts)
	long := strings.Repeat("y", exchange.MaxBufferedBody-1)
	for _, test := range []struct{ name, ahead string }{
		{"nothing", ""},
		{"half a pipelined line", "GET /lo"},
		{"a long pipelined request", "POST /pay HTTP/1.1\r\n" + longTimeoutFields + "Content-Length: 60000\r\n\r\n" + strings.Repeat("x", 60_000)},
	} {
		slow := slowReader(t, address)
		io.WriteString(slow, "GET /look HTTP/1.1\r\n"+longTimeoutFields+"X-Retried: 1\r\n\r\n")
		x := <-held
		io.WriteString(slow, test.ahead)
		time.Sleep(100 * time.Millisecond) // it has arrived, and some of it has been read
		in.OutOfService()
		x.Deliver(&exchange.Answer{Body: []byte(long)})
		time.Sleep(150 * time.Millisecond) // as much as the client's receive buffer takes is written, and the connection is closed
		got := slow.readAnswer()
		tr.add("%s: complete %v", test.name, strings.Contains(got, long+`" close`) && strings.HasPrefix(got, "200"))
		in.InService()
	}
	refused := slowReader(t, address)
	io.WriteString(refused, "POST /pay HTTP/1.1\r\n"+longTimeoutFields+"Content-Length: 40000000\r\n\r\n")
	for piece := strings.Repeat("z", 16<<10); ; {
		refused.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		if _, err := io.WriteString(refused, piece); err != nil {
			tr.add("the refused body is no longer read: %v", strings.Contains(err.Error(), "i/o timeout"))
			break
		}
	}
	tr.add("its refusal: %s", refused.readAnswer())
	tr.compare(t, `
nothing: complete true
half a pipelined line: complete true
a long pipelined request: complete true
the refused body is no longer read: true
its refusal: 413 "Request Entity Too Large" close
`)
}

// A client pipelines a second request. The answer to the first is written as soon as it is available, not together
// with the answer to the second, and however late it is.
func TestPipelinedAnswerNotHeldBack(t *testing.T) {
	var tr trace
	held := make(chan *exchange.Exchange, 2)
	_, address := startInbound(t, parseConfiguration(t, withLongTimeouts("")), 9, fakeRelay{&tr, func(x *exchange.Exchange) { held <- x }}, &counters.Set{})
	for _, body := range []string{"Content-Length: 1\r\n\r\nx", "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"} {
		client := dial(t, address)
		request := "POST /pay HTTP/1.1\r\n" + longTimeoutFields + body
		io.WriteString(client, request+request)
		deliverDone(<-held)
		second := <-held
		tr.add("%q, the first while the second is held: %s", body[:5], client.readAnswer())
		deliverDone(second)
		tr.add("the second: %s", client.readAnswer())
		io.WriteString(client, request)
		late := <-held
		time.Sleep(connlimit.MessageTimeout + 100*time.Millisecond) // longer than the time limit of a write
		deliverDone(late)
		tr.add("an answer that took long: %s", client.readAnswer())
	}
	tr.compare(t, `
"Conte", the first while the second is held: 200 "done"
the second: 200 "done"
an answer that took long: 200 "done"
"Trans", the first while the second is held: 200 "done"
the second: 200 "done"
an answer that took long: 200 "done"
`)
}

// The connection limit is reached, clients wait in the backlog with their requests sent, and a stop begins. The
// request that is held is answered only after the time for new clients; then each client that waited gets its
// answer too.
func TestStopWithABacklog(t *testing.T) {
	var tr trace
	held := make(chan *exchange.Exchange, 1)
	in, address := startInbound(t, parseConfiguration(t, withLongTimeouts("")), 1, fakeRelay{&tr, holdRepeats(held)}, &counters.Set{})
	first := dial(t, address)
	io.WriteString(first, "GET /look HTTP/1.1\r\n"+longTimeoutFields+"X-Retried: 1\r\n\r\n")
	x := <-held
	var waiting []*client
	for i := range 4 {
		waiting = append(waiting, dial(t, address))
		io.WriteString(waiting[i], "GET /look HTTP/1.1\r\n"+longTimeoutFields+"\r\n")
	}
	stopped := make(chan bool)
	go func() { in.Stop(); close(stopped) }()
	time.Sleep(time.Second)
	deliverDone(x)
	tr.add("held: %s", first.readAnswer())
	first.Close()
	for _, c := range waiting {
		tr.add("waited: %s", c.readAnswer())
		c.Close()
	}
	<-stopped
	_, err := net.Dial("tcp", address)
	tr.add("after the end: %v", err != nil)
	tr.compare(t, `
held: 200 "done" close
waited: 200 "done" close
waited: 200 "done" close
waited: 200 "done" close
waited: 200 "done" close
after the end: true
`)
}

// A client connects late in a stop and sends nothing. The sidecar closes the connection at the moment in which the
// client sends its request; the client retries on a new connection and is answered.
func TestStopClosesWhileClientSends(t *testing.T) {
	for try := 0; ; try++ {
		var tr trace
		in, address := startInbound(t, parseConfiguration(t, withLongTimeouts("")), 9, fakeRelay{&tr, deliverDone}, &counters.Set{})
		stopped := make(chan bool)
		go func() { in.Stop(); close(stopped) }()
		waitUntil(t, "the stop has begun", func() bool { return !in.Ready() })
		time.Sleep(350 * time.Millisecond)
		client := dial(t, address)
		end := client.readAnswer()
		closed := time.Now()
		io.WriteString(client, "GET /look HTTP/1.1\r\n"+longTimeoutFields+"\r\n")
		again, err := net.Dial("tcp", address)
		late := time.Since(closed) > 30*time.Millisecond
		if err != nil {
			tr.add("retry: refused")
		} else {
			tr.add("closed: %s, retry: %s", end, newClient(again).roundTrip("GET /look HTTP/1.1\r\n"+longTimeoutFields+"\r\n"))
			again.Close()
		}
		<-stopped
		if late && try < 20 { // a run in which the test itself was delayed proves nothing
			continue
		}
		tr.compare(t, `
closed: unexpected EOF, retry: 200 "done" close
`)
		return
	}
}

// A stop begins while a request with a long client timeout is outstanding. The process may be killed before that
// timeout, so the client gets its answer while there is time, and nothing more is sent to servers for it.
func TestStopEndsWhatIsOut(t *testing.T) {
	var tr trace
	release := make(chan bool)
	server := startFakeServer(t, func(n int, path string) string {
		<-release
		return "!"
	})
	manifest := parseConfiguration(t, withLongTimeouts(entryFor(server)))
	counts := &counters.Set{}
	_, in, address := startSidecarWithCounters(t, manifest, 9, counts, logShownOnFailure(t))
	client := dial(t, address)
	io.WriteString(client, "GET /look HTTP/1.1\r\n"+longTimeoutFields+"\r\n")
	waitUntil(t, "the server has received the request", func() bool { return server.requestCount() == 1 })
	began, stopped := time.Now(), make(chan bool)
	go func() { in.Stop(); close(stopped) }()
	tr.add("answer: %s", client.readAnswer())
	tr.add("long before its client timeout: %v", time.Since(began) < 15*time.Second)
	client.Close()
	<-stopped
	release <- true
	time.Sleep(200 * time.Millisecond)
	tr.add("attempts %d, faults %d", server.requestCount(), counts[counters.Faults].Load())
	tr.compare(t, `
answer: 502 "no answer from the servers" close
long before its client timeout: true
attempts 1, faults 0
`)
}

// A server sends a second answer to one request, a millisecond after the first. The next request doesn't get it. A
// round in which the fake server itself was delayed proves nothing and is repeated.
func TestSecondAnswer(t *testing.T) {
	var tr trace
	interval := make(chan time.Duration, 1)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in := newClient(conn).in
				for {
					path := ""
					for line := "x"; strings.TrimSpace(line) != ""; {
						if line, err = in.ReadString('\n'); err != nil {
							return
						}
						if first, rest, _ := strings.Cut(line, " "); first == "GET" {
							path, _, _ = strings.Cut(rest, " ")
						}
					}
					answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(path), path)
					first := time.Now()
					io.WriteString(conn, answer)
					if path == "/twice" {
						time.Sleep(time.Millisecond)
						io.WriteString(conn, answer)
						interval <- time.Since(first)
					}
				}
			}()
		}
	}()
	out := newOutbound(10*second, 9, &counters.Set{})
	for rounds, tries := 0, 0; rounds < 5 && tries < 500; tries++ {
		twice := sendAttempt(out, "/twice", ln.Addr().String(), second, noAction)
		next := sendAttempt(out, "/next", ln.Addr().String(), second, noAction)
		if <-interval < 2500*time.Microsecond {
			rounds++
			tr.add("%v, the next got its own: %v", strings.Contains(twice, `"/twice"`), strings.Contains(next, `"/next"`))
		}
		time.Sleep(40 * time.Millisecond)
	}
	tr.compare(t, strings.Repeat("true, the next got its own: true\n", 5))
}

// An answer without a length ends when the server closes the connection; a reset means that it is incomplete. If
// nothing of it has reached the client, the attempt fails and the request may go to another server; if part of it
// has, the client's connection is cut, so that the client can detect the loss.
func TestResetTruncatesAnswer(t *testing.T) {
	var tr trace
	for _, size := range []int{10, 2 * exchange.MaxBufferedBody} {
		for _, reset := range []bool{false, true} {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { ln.Close() })
			read := make(chan bool)
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				newClient(c).in.ReadString('\n')
				io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+strings.Repeat("x", size))
				<-read
				if reset {
					c.(*net.TCPConn).SetLinger(0)
				}
				c.Close()
			}()
			x := exchange.New().SetContent([]byte("GET /x HTTP/1.1\r\nHost: a\r\n"), nil, nil)
			end := make(chan string, 1)
			newOutbound(10*second, 9, &counters.Set{}).Send(x, 1, ln.Addr().String(), deadlineAfter(40*second), time.Time{},
				func(a *exchange.Answer, _ bool, _ []float64, err error) {
					if a == nil || a.Rest == nil {
						end <- resultNames[outbound.ResultOf(err)]
						return
					}
					n, _ := io.CopyN(io.Discard, a.Rest, int64(size-len(a.Body)))
					read <- true // all bytes sent so far are read: let the server end
					_, readErr := io.ReadAll(a.Rest)
					a.Rest.Close()
					end <- fmt.Sprintf("%s, streamed: %d bytes, cut %v", resultNames[outbound.ResultOf(err)], int(n)+len(a.Body), readErr != nil)
				})
			if size < exchange.MaxBufferedBody { // the answer is buffered whole before it is delivered: wait until its bytes have been read
				time.Sleep(100 * time.Millisecond)
				read <- true
			}
			tr.add("%d bytes, reset %v: %s", size, reset, <-end)
		}
	}
	tr.compare(t, `
10 bytes, reset false: delivered
10 bytes, reset true: reset
131072 bytes, reset false: delivered, streamed: 131072 bytes, cut false
131072 bytes, reset true: delivered, streamed: 131072 bytes, cut true
`)
}

// The first attempt of a tagged request breaks after its last byte was sent, and the connection for the retry is
// established only when servers have forgotten its idempotency key: nothing is written there. A read-like request
// is sent, however late.
func TestIdempotencyKeyWindow(t *testing.T) {
	var tr trace
	for _, test := range []struct{ name, path string }{{"tagged", "/book"}, {"read-like", "/look"}} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		manifest := parseConfiguration(t, withLongTimeouts(strings.NewReplacer("127.0.0.1:9", ln.Addr().String(), `"born_ms":2`, `"born_ms":0`).Replace(serverEntry)))
		counts := &counters.Set{}
		r, err := relay.New(manifest, 9, outbound.New(10*second, 20*second, 9, memory.New(4<<20), nil, counts, zerolog.Nop()), nil, counts, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		go r.Run()
		_, address := startInbound(t, manifest, 9, r, counts)
		client := dial(t, address)
		if test.path == "/look" {
			io.WriteString(client, "GET /look HTTP/1.1\r\n"+longTimeoutFields+"\r\n")
		} else {
			io.WriteString(client, "POST "+test.path+" HTTP/1.1\r\n"+longTimeoutFields+"Idempotency-Key: k\r\nContent-Length: 0\r\n\r\n")
		}
		first, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		newClient(first).in.ReadString('\n')
		raw, _ := ln.(*net.TCPListener).SyscallConn()
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), 0) })
		filler, err := net.Dial("tcp", ln.Addr().String()) // takes the only slot of the backlog, so no further connection is established
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { filler.Close() })
		first.Close()
		waitUntil(t, "the retry's connection is being dialled", func() bool { return counts[counters.AttemptsStarted].Load() == 2 })
		time.Sleep(600 * time.Millisecond) // longer than the window of idempotency keys
		received := make(chan string, 9)
		go func() { // the connection can be established now
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					defer conn.Close()
					if line, err := newClient(conn).in.ReadString('\n'); err == nil {
						received <- strings.TrimSpace(line)
						io.WriteString(conn, okResponse)
					}
				}()
			}
		}()
		tr.add("%s: %s, %d written late", test.name, client.readAnswer(), len(received))
	}
	tr.compare(t, `
tagged: 502 "no answer from the servers", 0 written late
read-like: 200 "hi", 1 written late
`)
}

// receivedAttempt is one attempt as the server of TestAttemptTimeoutHeader received it.
type receivedAttempt struct {
	firstByte time.Time // when its first byte arrived
	timeout   time.Duration
	net.Conn
}

// acceptAttempt accepts connections until one carries a request; those that only fill the backlog carry none.
func acceptAttempt(t *testing.T, ln net.Listener) receivedAttempt {
	t.Helper()
	for {
		ln.(*net.TCPListener).SetDeadline(time.Now().Add(20 * time.Second))
		conn, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		in := bufio.NewReader(conn)
		if _, err := in.Peek(1); err != nil {
			continue
		}
		at := time.Now()
		visit, err := http.ReadRequest(in)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, visit.Body)
		timeout, err := time.ParseDuration(visit.Header.Get("X-Timeout") + "s")
		if err != nil {
			t.Fatal(err)
		}
		return receivedAttempt{at, timeout, conn}
	}
}

// blockingLog blocks a write that reports a crash until the test sends on the channel.
type blockingLog chan bool

func (l blockingLog) Write(p []byte) (int, error) {
	if strings.Contains(string(p), "crashed") {
		<-l
	}
	return len(p), nil
}

// The X-Timeout header of an attempt names no more time than its client has left when the first byte is sent, for
// first attempts and retries alike, whatever delayed them: a connection established late or a paused decision
// module. If no time is left by then, nothing is sent.
func TestAttemptTimeoutHeader(t *testing.T) {
	const clientTimeout, delay = 5 * time.Second, 900 * time.Millisecond // delay: minimum for a delayed attempt
	var tr trace
	runCase := func(name, request string, modulePaused, breakFirst bool, lateAttempt int) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		log := make(blockingLog)
		counts := &counters.Set{}
		manifest := parseConfiguration(t, strings.NewReplacer(`"connect_timeout_us":100000`, `"connect_timeout_us":3000000`,
			`"memory_span_us":500000`, `"memory_span_us":9000000`).Replace(withLongTimeouts(entryFor(&fakeServer{Listener: ln}))))
		r, err := relay.New(manifest, 9, outbound.New(10*second, 3*second, 9, memory.New(4<<20), nil, counts, zerolog.Nop()), nil, counts, zerolog.New(log))
		if err != nil {
			t.Fatal(err)
		}
		go r.Run()
		_, address := startInbound(t, manifest, 9, r, counts)
		if modulePaused {
			invalid := exchange.New() // an invalid class makes the module panic, and it is paused while that is logged
			invalid.Class, invalid.TimeLeft = 99, second
			r.HandleRequest(invalid)
			<-invalid.Done()
		}
		delayConnection := func(attempt int) func() { // delays this attempt's connection if it is the one to be late
			if attempt != lateAttempt {
				return func() {}
			}
			openBacklog := fillBacklog(t, ln)
			return func() {
				waitUntil(t, "the attempt has been requested", func() bool { return counts[counters.AttemptsStarted].Load() == int64(attempt) })
				time.Sleep(300 * time.Millisecond) // the first SYN has been dropped; the kernel repeats it 1 s after it
				openBacklog()
			}
		}
		openBacklog := delayConnection(1)
		client := dial(t, address)
		began := time.Now()
		io.WriteString(client, strings.Replace(request, "30000m", fmt.Sprintf("%dm", clientTimeout/time.Millisecond), 1))
		if modulePaused {
			waitUntil(t, "the request is taken", func() bool { return counts[counters.RequestsAccepted].Load() == 1 })
			time.Sleep(delay)
			log <- true
		}
		for attempt := 1; ; attempt++ {
			openBacklog()
			received := acceptAttempt(t, ln)
			took := received.firstByte.Sub(began)
			tr.add("%s, attempt %d: delayed %v, timeout above the time left %v, timeout set %v", name, attempt,
				(attempt == lateAttempt || modulePaused) && took >= delay, received.timeout > clientTimeout-took+delay/2, received.timeout > clientTimeout/50)
			if attempt == 2 || !breakFirst {
				io.WriteString(received.Conn, okResponse)
				break
			}
			openBacklog = delayConnection(2)
			received.Close()
		}
		tr.add("%s: %s", name, client.readAnswer())
	}
	get := "GET /look HTTP/1.1\r\n" + longTimeoutFields + "\r\n"
	long := "POST /book HTTP/1.1\r\n" + longTimeoutFields + "Idempotency-Key: k\r\nContent-Length: 90000\r\n\r\n" + strings.Repeat("x", 90_000)
	runCase("first connection late", get, false, false, 1)
	runCase("retry connection late", get, false, true, 2)
	runCase("retry connection late, a long body", long, false, true, 2)
	runCase("broken connection, nothing late", get, false, true, 0)
	runCase("the module is paused", get, true, true, 0)

	// Nothing is sent on a connection that is established after the deadline, nor on an idle one whose check for
	// unexpected bytes lasts past it.
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	openBacklog := fillBacklog(t, ln)
	o := outbound.New(10*second, 3*second, 9, memory.New(4<<20), nil, &counters.Set{}, zerolog.Nop())
	tr.add("no time left: %s", strings.SplitN(sendAttempt(o, "/late", ln.Addr().String(), second/2, noAction), ":", 2)[0])
	openBacklog()
	for begun := time.Now(); time.Since(begun) < time.Second; {
		ln.(*net.TCPListener).SetDeadline(time.Now().Add(200 * time.Millisecond))
		if c, err := ln.Accept(); err == nil {
			c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
			if n, _ := c.Read(make([]byte, 1)); n > 0 {
				tr.add("bytes were sent after the deadline")
			}
			c.Close()
		}
	}
	server := startFakeServer(t, func(int, string) string { return okResponse })
	tr.add("on a new connection: %s", sendAttempt(o, "/x", server.Addr().String(), second, noAction))
	tr.add("on a reused one, deadline within the check: %s, at the server %d", strings.SplitN(sendAttempt(o, "/x", server.Addr().String(), 500, noAction), ":", 2)[0], server.requestCount())
	tr.compare(t, `
first connection late, attempt 1: delayed true, timeout above the time left false, timeout set true
first connection late: 200 "hi"
retry connection late, attempt 1: delayed false, timeout above the time left false, timeout set true
retry connection late, attempt 2: delayed true, timeout above the time left false, timeout set true
retry connection late: 200 "hi"
retry connection late, a long body, attempt 1: delayed false, timeout above the time left false, timeout set true
retry connection late, a long body, attempt 2: delayed true, timeout above the time left false, timeout set true
retry connection late, a long body: 200 "hi"
broken connection, nothing late, attempt 1: delayed false, timeout above the time left false, timeout set true
broken connection, nothing late, attempt 2: delayed false, timeout above the time left false, timeout set true
broken connection, nothing late: 200 "hi"
the module is paused, attempt 1: delayed true, timeout above the time left false, timeout set true
the module is paused, attempt 2: delayed true, timeout above the time left false, timeout set true
the module is paused: 200 "hi"
no time left: connect failed reused=false "" not sent
on a new connection: delivered reused=false "hi" <nil>
on a reused one, deadline within the check: connect failed reused=true "" not sent, at the server 1
`)
}
