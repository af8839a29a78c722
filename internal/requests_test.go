package internal_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ledgespread/brain"
	"ledgespread/internal/counters"
	"ledgespread/internal/exchange"
	"ledgespread/internal/inbound"
	"ledgespread/internal/memory"
	"ledgespread/internal/relay"
	"ledgespread/internal/site"
)

// configuration returns a configuration file with three classes: "look" is read-like, "book" tagged with an
// idempotency key, and "pay" mutating. hosts holds the entries of the known servers, allowed further settings
// under "allowed".
func configuration(hosts, allowed string) string {
	prefix := `{"name":"%s","effect":"%s","group":"all","target_latency_us":400000,"client_timeout_us":800000,
		"memory_span_us":500000,"value":1,"late_value":0}`
	return `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"a1",
		"limits":{"cores":1,"memory_mb":64,"sockets":64},"known":{"seq":7,"whole":true,"hosts":[` + hosts + `]},
		"settings":{"my_zone":0,"azs":["here","there"],"discovery":"pushed","step_us":1000,
		"realms":[{"name":"acme","quota_per_s":99}],"path_prefixes":[` + fmt.Sprintf(prefix, "look", "read_like") +
		`,` + fmt.Sprintf(prefix, "book", "idempotency_key") + `,` + fmt.Sprintf(prefix, "pay", "non_idempotent") +
		`],"allowed":{"max_backend_fetches":5,"conn_idle_us":10000000,"connect_timeout_us":100000,"cancel":true,
		"multiplex":1` + allowed + `},"obligations":{"cold_from":0.3,"cold_us":8000000,"fall_multiple":3,
		"fall_us":1500000,"ask_every_us":10000000}}}`
}

// parseConfiguration parses a configuration and fails the test on an error.
func parseConfiguration(t *testing.T, text string) *site.Manifest {
	t.Helper()
	manifest, err := site.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return manifest
}

// fakeRelay takes requests from inbound in place of the relay.
type fakeRelay struct {
	tr   *trace
	take func(*exchange.Exchange)
}

func (tk fakeRelay) HandleRequest(x *exchange.Exchange)        { tk.take(x) }
func (tk fakeRelay) BodyArrived(*exchange.Exchange, time.Time) {}
func (tk fakeRelay) RequestEnded(*exchange.Exchange) {
	tk.tr.add("the relay is notified that the client left")
}
func (tk fakeRelay) RequestTimedOut(*exchange.Exchange) {
	tk.tr.add("the relay is notified of the client timeout")
}

func deliverDone(x *exchange.Exchange) { x.Deliver(&exchange.Answer{Body: []byte("done")}) }

// holdRepeats answers a request at once, unless it is marked as a client's retry: that one is sent to held, and
// the test answers it.
func holdRepeats(held chan *exchange.Exchange) func(*exchange.Exchange) {
	return func(x *exchange.Exchange) {
		if x.Repeated {
			held <- x
			return
		}
		deliverDone(x)
	}
}

// startInbound starts an inbound listener on a free port, which it returns. Requests go to requestTaker.
func startInbound(t *testing.T, manifest *site.Manifest, maxConns int, requestTaker inbound.RequestHandler,
	counts *counters.Set) (*inbound.Inbound, string) {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	manifest.Listen = free.Addr().String()
	free.Close()
	in, err := inbound.Listen(manifest, maxConns, requestTaker, memory.New(4<<20), counts, logShownOnFailure(t))
	if err != nil {
		t.Fatal(err)
	}
	go in.Serve()
	return in, manifest.Listen
}

// client is a connection from the application to its sidecar.
type client struct {
	net.Conn
	in *bufio.Reader
}

func dial(t *testing.T, address string) *client {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return newClient(c)
}

func newClient(c net.Conn) *client { return &client{c, bufio.NewReader(c)} }

// readAnswer returns the next answer as a line: status, body, the headers that tests check, and whether the
// connection closes. If there is none it returns the error.
func (c *client) readAnswer() string {
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return strings.Split(err.Error(), ": ")[0]
	}
	body, err := io.ReadAll(resp.Body)
	line := fmt.Sprintf("%d %q", resp.StatusCode, strings.TrimSpace(string(body)))
	for _, name := range []string{"Retry-After", "Allow", "X-Kept", "X-Server-Load"} {
		if v := resp.Header.Get(name); v != "" {
			line += fmt.Sprintf(" %s=%s", name, v)
		}
	}
	if resp.Close {
		line += " close"
	}
	if err != nil {
		line += " " + err.Error()
	}
	return line
}

const requestFields = "Host: api\r\nX-Request-ID: 1\r\nX-Tenant-Id: acme\r\nX-Timeout: 500m\r\n"

var lastRequestID atomic.Int64

// roundTrip sends a request under a request ID of its own and returns the answer.
func (c *client) roundTrip(raw string) string {
	io.WriteString(c, strings.Replace(raw, "X-Request-ID: 1\r", fmt.Sprintf("X-Request-ID: %d\r", lastRequestID.Add(1)), 1))
	return c.readAnswer()
}

func TestBadInput(t *testing.T) {
	var tr trace
	counts := &counters.Set{}
	_, address := startInbound(t, parseConfiguration(t, configuration("", "")), 9, fakeRelay{&tr, deliverDone}, counts)
	without := func(name string) string {
		var kept string
		for line := range strings.Lines(requestFields) {
			if !strings.HasPrefix(line, name) {
				kept += line
			}
		}
		return kept
	}
	for _, test := range []struct{ name, raw string }{
		{"valid", "GET /look/x HTTP/1.1\r\n" + requestFields + "\r\n"},
		{"ready", "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"},
		{"unknown path prefix", "GET /other HTTP/1.1\r\n" + requestFields + "\r\n"},
		{"no request ID", "GET /look HTTP/1.1\r\n" + without("X-Request-ID") + "\r\n"},
		{"no timeout", "GET /look HTTP/1.1\r\n" + without("X-Timeout") + "\r\n"},
		{"malformed timeout", "GET /look HTTP/1.1\r\n" + without("X-Timeout") + "X-Timeout: 5s\r\n\r\n"},
		{"timeout of zero", "GET /look HTTP/1.1\r\n" + without("X-Timeout") + "X-Timeout: 0m\r\n\r\n"},
		{"unknown tenant", "GET /look HTTP/1.1\r\n" + without("X-Tenant") + "X-Tenant-Id: who\r\n\r\n"},
		{"no idempotency key", "POST /book HTTP/1.1\r\n" + requestFields + "Content-Length: 0\r\n\r\n"},
		{"tagged by GET", "GET /book HTTP/1.1\r\n" + requestFields + "\r\n"},
		{"read-like by POST", "POST /look HTTP/1.1\r\n" + requestFields + "Content-Length: 0\r\n\r\n"},
		{"too long", "POST /pay HTTP/1.1\r\n" + requestFields + "Content-Length: 40000000\r\n\r\nx"},
		{"long head", "GET /look HTTP/1.1\r\n" + requestFields + "A: " + strings.Repeat("a", 12000) + "\r\n\r\n"},
		{"head too long", "GET /look HTTP/1.1\r\n" + requestFields + "A: " + strings.Repeat("a", 20000) + "\r\n\r\n"},
		{"no HTTP", "hello\r\n\r\n"},
		{"length and transfer coding", "POST /pay HTTP/1.1\r\n" + requestFields + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{"transfer coding and length", "POST /pay HTTP/1.1\r\n" + requestFields + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n"},
		{"other transfer coding", "POST /pay HTTP/1.1\r\n" + requestFields + "Transfer-Encoding: identity\r\n\r\n"},
		{"two lengths", "POST /pay HTTP/1.1\r\n" + requestFields + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx"},
		{"negative length", "POST /pay HTTP/1.1\r\n" + requestFields + "Content-Length: -1\r\n\r\n"},
		{"signed length", "POST /pay HTTP/1.1\r\n" + requestFields + "Content-Length: +1\r\n\r\nx"},
		{"length too small", "POST /pay HTTP/1.1\r\n" + requestFields + "Content-Length: 1\r\n\r\nxGETT /look HTTP/1.1\r\n\r\n"},
		{"no length", "POST /pay HTTP/1.1\r\n" + requestFields + "\r\nx"},
		{"read-like with a body", "GET /look HTTP/1.1\r\n" + requestFields + "Content-Length: 1\r\n\r\nx"},
		{"folded", "GET /look HTTP/1.1\r\n" + requestFields + "A: b\r\n c\r\n\r\n"},
		{"blank before the colon", "GET /look HTTP/1.1\r\n" + requestFields + "A : b\r\n\r\n"},
		{"no colon", "GET /look HTTP/1.1\r\n" + requestFields + "a line\r\n\r\n"},
		{"bare line end", "GET /look HTTP/1.1\r\n" + requestFields + "A: b\n\r\n"},
		{"control byte", "GET /look HTTP/1.1\r\n" + requestFields + "A: b\x01\r\n\r\n"},
		{"two request IDs", "GET /look HTTP/1.1\r\n" + requestFields + "x-request-id: 2\r\n\r\n"},
		{"another path prefix named", "GET /look HTTP/1.1\r\n" + requestFields + "X-Priority-Class: pay\r\n\r\n"},
		{"escaped path prefix", "GET /%6cook HTTP/1.1\r\n" + requestFields + "\r\n"},
		{"path goes to its parent", "GET /look/%2E./pay HTTP/1.1\r\n" + requestFields + "\r\n"},
		{"absolute URI", "GET http://a/look HTTP/1.1\r\n" + requestFields + "\r\n"},
		{"other protocol", "GET /look HTTP/2.0\r\n" + requestFields + "\r\n"},
	} {
		tr.add("%s: %s", test.name, dial(t, address).roundTrip(test.raw))
	}
	began, silent := time.Now(), map[string]*client{}
	parts := []string{"", "GET /look HT", "POST /pay HTTP/1.1\r\n" + requestFields + "Content-Length: 2\r\n\r\nx"}
	for _, part := range parts {
		silent[part] = dial(t, address)
		io.WriteString(silent[part], part)
	}
	for _, part := range parts {
		tr.add("%q and silence: %s", part[:min(len(part), 9)], silent[part].readAnswer())
	}
	tr.add("all within 3 s: %v", time.Since(began) < 3*time.Second)
	tr.add("taken %d, bad %d", counts[counters.RequestsAccepted].Load(), counts[counters.RequestsMalformed].Load())
	tr.compare(t, `
valid: 200 "done"
ready: 200 "ready"
unknown path prefix: 404 "unknown path prefix" close
no request ID: 400 "X-Request-ID is missing" close
no timeout: 400 "X-Timeout is missing or malformed" close
malformed timeout: 400 "X-Timeout is missing or malformed" close
timeout of zero: 400 "X-Timeout is missing or malformed" close
unknown tenant: 400 "unknown tenant" close
no idempotency key: 400 "Idempotency-Key is missing" close
tagged by GET: 405 "the path prefix has another method" Allow=POST close
read-like by POST: 405 "the path prefix has another method" Allow=GET close
too long: 413 "Request Entity Too Large" close
long head: 200 "done"
head too long: 431 "Request Header Fields Too Large" close
no HTTP: 400 "Bad Request" close
length and transfer coding: 400 "both a length and a coding" close
transfer coding and length: 400 "both a length and a coding" close
other transfer coding: 400 "the coding is not chunked" close
two lengths: 400 "Bad Request" close
negative length: 400 "Bad Request" close
signed length: 400 "Bad Request" close
length too small: 400 "the length does not fit" close
no length: 400 "the length does not fit" close
read-like with a body: 400 "GET has no body" close
folded: 400 "a line of the head can't be read" close
blank before the colon: 400 "Bad Request" close
no colon: 400 "Bad Request" close
bare line end: 408 "Request Timeout" close
control byte: 400 "Bad Request" close
two request IDs: 400 "X-Request-ID is given twice" close
another path prefix named: 400 "X-Priority-Class names another path prefix" close
escaped path prefix: 404 "unknown path prefix" close
path goes to its parent: 400 "the target can't be read" close
absolute URI: 200 "done"
other protocol: 400 "unknown protocol" close
"" and silence: 408 "Request Timeout" close
"GET /look" and silence: 408 "Request Timeout" close
"POST /pay" and silence: 408 "Request Timeout" close
all within 3 s: true
taken 3, bad 34
`)
}

// A class whose name needs percent-encoding in a path is recognised there in its encoded form only, and the path
// is forwarded unchanged.
func TestEscapedNames(t *testing.T) {
	var tr trace
	text := strings.Replace(configuration("", ""), `"name":"look"`, `"name":"look up/é"`, 1)
	_, address := startInbound(t, parseConfiguration(t, text), 9, fakeRelay{&tr, func(x *exchange.Exchange) {
		first, _, _ := strings.Cut(string(outgoingBytes(x)), "\r\n")
		tr.add("%s, prefix %d", first, x.Class)
		deliverDone(x)
	}}, &counters.Set{})
	for _, path := range []string{"/look%20up%2F%C3%A9/x", "/look%20up%2f%c3%a9", "/look%20up/%C3%A9", "/l%6fok%20up%2F%C3%A9", "/b%6fok"} {
		for _, named := range []string{"", "X-Priority-Class: look up/é\r\n", "X-Priority-Class: book\r\n"} {
			tr.add("%s", dial(t, address).roundTrip("GET "+path+" HTTP/1.1\r\n"+requestFields+named+"\r\n"))
		}
	}
	tr.compare(t, `
GET /look%20up%2F%C3%A9/x HTTP/1.1, prefix 0
200 "done"
GET /look%20up%2F%C3%A9/x HTTP/1.1, prefix 0
200 "done"
400 "X-Priority-Class names another path prefix" close
GET /look%20up%2f%c3%a9 HTTP/1.1, prefix 0
200 "done"
GET /look%20up%2f%c3%a9 HTTP/1.1, prefix 0
200 "done"
400 "X-Priority-Class names another path prefix" close
404 "unknown path prefix" close
404 "unknown path prefix" close
404 "unknown path prefix" close
404 "unknown path prefix" close
404 "unknown path prefix" close
404 "unknown path prefix" close
404 "unknown path prefix" close
404 "unknown path prefix" close
404 "unknown path prefix" close
`)
}

// Headers and body that no decision needs are forwarded byte for byte, and the relay's rejection reaches the client.
func TestForwardedBytes(t *testing.T) {
	var tr trace
	_, address := startInbound(t, parseConfiguration(t, configuration("", "")), 9, fakeRelay{&tr, func(x *exchange.Exchange) {
		for line := range strings.Lines(string(outgoingBytes(x))) {
			tr.add("%s", strings.TrimRight(line, "\r\n"))
		}
		tr.add("prefix %d, tenant %d, left %d, work %d, retried %v", x.Class, x.Tenant, x.TimeLeft, x.Work, x.Repeated)
		x.Reject(37_400)
	}}, &counters.Set{})
	tr.add("answer: %s", dial(t, address).roundTrip("POST /book/a%2Fb?q=%20x&Y HTTP/1.1\r\nhost: Api\r\nX-REQUEST-id: 9b1f\r\n"+
		"X-Tenant-Id: acme\r\nx-timeout: 75.5m\r\nConnection: keep-alive\r\nX-Retried: 1\r\nX-Cost: 1200\r\n"+
		"Idempotency-Key:  5c0f \r\nX-Odd: A:b\r\nX-Attrs: depth=3,target_key=77\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na\nb\r\n1\r\nc\r\n0\r\n\r\n"))
	tr.compare(t, `
POST /book/a%2Fb?q=%20x&Y HTTP/1.1
host: Api
X-REQUEST-id: 9b1f
X-Tenant-Id: acme
X-Retried: 1
X-Cost: 1200
Idempotency-Key:  5c0f 
X-Odd: A:b
X-Attrs: depth=3,target_key=77
Content-Length: 4
X-Timeout: 70000u

a
bc
prefix 1, tenant 0, left 75500, work 1200, retried true
answer: 503 "not now; a retry does no harm" Retry-After=0.038
`)
}

// The sidecar notices a client that leaves while its request is outstanding, without consuming bytes of a
// pipelined request. A request that gets no answer ends at its client timeout, and a panic ends only its own
// connection.
func TestConnections(t *testing.T) {
	var tr trace
	n := 0
	held := make(chan *exchange.Exchange, 1)
	counts := &counters.Set{}
	_, address := startInbound(t, parseConfiguration(t, configuration("", "")), 9, fakeRelay{&tr, func(x *exchange.Exchange) {
		if n++; n == 3 {
			panic("in a connection")
		} else if n > 3 {
			held <- x
			return
		}
		go func() {
			time.Sleep(30 * time.Millisecond)
			deliverDone(x)
		}()
	}}, counts)
	request := "GET /look HTTP/1.1\r\n" + requestFields + "\r\n"
	client := dial(t, address)
	tr.add("first of two: %s", client.roundTrip(request))
	tr.add("second: %s", client.roundTrip(request))
	tr.add("panic: %s", client.roundTrip(request))
	tr.add("no answer from the relay: %s", dial(t, address).roundTrip(request))
	answered := <-held
	client = dial(t, address)
	io.WriteString(client, request)
	x := <-held
	client.Close()
	for counts[counters.RequestsAbandoned].Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(10 * time.Millisecond)
	client = dial(t, address)
	io.WriteString(client, request)
	<-held
	client.Conn.(*net.TCPConn).CloseWrite()
	tr.add("closed its own half: %s", client.readAnswer())
	tr.add("second answers accepted: %v %v", answered.Reject(0), x.Fail(exchange.Failed) && x.Reject(0))
	tr.add("faults %d, overdue %d", counts[counters.Faults].Load(), counts[counters.RequestsTimedOut].Load())
	tr.compare(t, `
first of two: 200 "done"
second: 200 "done"
panic: 500 "this sidecar failed" close
the relay is notified of the client timeout
no answer from the relay: 504 "no answer in time"
the relay is notified that the client left
the relay is notified that the client left
closed its own half: 502 "the client left" close
second answers accepted: false false
faults 1, overdue 1
`)
}

// At the connection limit, a new client that has sent nothing is disconnected first, then the client that has been
// idle longest. At a stop idle clients are disconnected, new ones are served for a while, and requests that are
// held get their answers.
func TestConnectionLimitAndStop(t *testing.T) {
	tr, late := runConnectionLimitAndStop(t)
	for try := 0; late && try < 20; try++ { // new clients are served for half a second: a run that was delayed so long proves nothing
		tr, late = runConnectionLimitAndStop(t)
	}
	tr.compare(t, `
one: 200 "done"
two: 200 "done"
three: 200 "done"
three had to wait: false
one, idle for longest: unexpected EOF
three, idle at the stop: unexpected EOF
new after the stop: 200 "done" close
two, held at the stop: 200 "done" close
after the end: true
`)
}

// runConnectionLimitAndStop plays the test once and reports whether the run was too slow to count.
func runConnectionLimitAndStop(t *testing.T) (tr *trace, late bool) {
	tr = &trace{}
	held := make(chan *exchange.Exchange, 1)
	in, address := startInbound(t, parseConfiguration(t, configuration("", "")), 2, fakeRelay{tr, holdRepeats(held)}, &counters.Set{})
	request := "GET /look HTTP/1.1\r\n" + requestFields + "\r\n"
	dial(t, address)
	one := dial(t, address)
	tr.add("one: %s", one.roundTrip(request))
	two := dial(t, address)
	tr.add("two: %s", two.roundTrip(request))
	three, began := dial(t, address), time.Now()
	tr.add("three: %s", three.roundTrip(request))
	tr.add("three had to wait: %v", time.Since(began) > time.Second)
	tr.add("one, idle for longest: %s", one.readAnswer())
	io.WriteString(two, "GET /look HTTP/1.1\r\n"+requestFields+"X-Retried: 1\r\n\r\n")
	x := <-held
	done, stopped := make(chan bool), time.Now()
	go func() { in.Stop(); close(done) }()
	tr.add("three, idle at the stop: %s", three.readAnswer())
	tr.add("new after the stop: %s", dial(t, address).roundTrip(request))
	late = time.Since(stopped) > 400*time.Millisecond
	deliverDone(x)
	tr.add("two, held at the stop: %s", two.readAnswer())
	<-done
	_, err := net.Dial("tcp", address)
	tr.add("after the end: %v", err != nil)
	return tr, late
}

// startSidecar starts a relay and its inbound listener, with the given servers in the list.
func startSidecar(t *testing.T, allowed string, maxConns int, servers ...*fakeServer) (*relay.Relay, string, *counters.Set) {
	t.Helper()
	var hosts []string
	for i, s := range servers {
		hosts = append(hosts, fmt.Sprintf(`{"host":"s%d","dial":"%s","site":"here","class":"m","block":0,
			"health":"in_service","share":1,"born_ms":0}`, i, s.Addr()))
	}
	return startSidecarWithLog(t, parseConfiguration(t, configuration(strings.Join(hosts, ","), allowed)), maxConns, logShownOnFailure(t))
}

// startSidecarWithLog starts a sidecar with the given configuration and logger.
func startSidecarWithLog(t *testing.T, manifest *site.Manifest, maxConns int, log zerolog.Logger) (*relay.Relay, string, *counters.Set) {
	t.Helper()
	counts := &counters.Set{}
	r, _, address := startSidecarWithCounters(t, manifest, maxConns, counts, log)
	return r, address, counts
}

// startSidecarWithCounters also takes the counters, and returns the inbound listener as well.
func startSidecarWithCounters(t *testing.T, manifest *site.Manifest, maxConns int, counts *counters.Set, log zerolog.Logger) (*relay.Relay, *inbound.Inbound, string) {
	t.Helper()
	r, err := relay.New(manifest, maxConns, newOutbound(10*second, 9, counts), nil, counts, log)
	if err != nil {
		t.Fatal(err)
	}
	go r.Run()
	in, address := startInbound(t, manifest, 9, r, counts)
	return r, in, address
}

// The decision module's results reach the client: an answer, retries with and without charge to the retry budget,
// and the two results that end a request without an answer (errored and rejected).
func TestVisitsRoundTheModule(t *testing.T) {
	var tr trace
	post := func(path string) string {
		return "POST " + path + " HTTP/1.1\r\n" + requestFields + "Idempotency-Key: k\r\nContent-Length: 1\r\n\r\nx"
	}
	server := startFakeServer(t, func(n int, path string) string {
		switch {
		case n == 2 || strings.HasSuffix(path, "/broken"):
			return "!"
		case strings.HasSuffix(path, "/unseen"):
			return "HTTP/1.1 503 x\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
		case strings.HasSuffix(path, "/silent"):
			return "silence"
		}
		return "HTTP/1.1 200 OK\r\nx-kept: a b\r\nX-Server-Load: {}\r\nContent-Length: 2\r\n\r\nhi"
	})
	relay, address, counts := startSidecar(t, "", 9, server)
	client := dial(t, address)
	for _, step := range []struct{ name, raw string }{
		{"delivered", "GET /look HTTP/1.1\r\n" + requestFields + "\r\n"},
		{"its reused connection broke: one free retry", "GET /look HTTP/1.1\r\n" + requestFields + "\r\n"},
		{"mutating, broken on a reused connection: no retry", post("/pay/broken")},
		{"mutating, unanswered until its timeout", post("/pay/silent")},
		{"mutating, rejected unprocessed more than once", post("/pay/unseen")},
	} {
		before := server.requestCount()
		line := client.roundTrip(step.raw)
		attempts := server.requestCount() - before
		if strings.HasSuffix(step.name, "more than once") { // the number of attempts depends on the machine's speed
			attempts = min(attempts, 2)
		}
		tr.add("%s: %s after %d", step.name, line, attempts)
	}
	tr.add("delivered %d, bounced %d, errored %d, faults %d", counts[counters.RequestsDelivered].Load(),
		counts[counters.RequestsRejected].Load(), counts[counters.RequestsErrored].Load(), counts[counters.Faults].Load())
	_, full, fullCounts := startSidecar(t, "", 0, server)
	tr.add("no connection allowed to servers: %s", dial(t, full).roundTrip("GET /look HTTP/1.1\r\n"+requestFields+"\r\n"))
	tr.add("over the limit of held requests %d", fullCounts[counters.RequestsOverLimit].Load())
	invalid := exchange.New()
	invalid.Class, invalid.TimeLeft = 99, second
	relay.HandleRequest(invalid)
	<-invalid.Done()
	tr.add("the module panics on a request: errored at once %v", invalid.Ending == exchange.Failed)
	after := client.roundTrip("GET /look HTTP/1.1\r\n" + requestFields + "\r\n") // delivered, or rejected on a slow machine
	tr.add("after that the module answers: %v, faults %d", strings.HasPrefix(after, "200") ||
		strings.HasPrefix(after, "503"), counts[counters.Faults].Load())
	tr.compare(t, `
delivered: 200 "hi" X-Kept=a b after 1
its reused connection broke: one free retry: 200 "hi" X-Kept=a b after 2
mutating, broken on a reused connection: no retry: 502 "no answer from the servers" after 1
mutating, unanswered until its timeout: 504 "no answer in time" after 1
mutating, rejected unprocessed more than once: 503 "not now; a retry does no harm" after 2
delivered 2, bounced 1, errored 2, faults 0
no connection allowed to servers: 503 "not now; a retry does no harm"
over the limit of held requests 1
the module panics on a request: errored at once true
after that the module answers: true, faults 1
`)
}

// When idle connections make up more than half of the connection limit, an answer closes its own connection.
func TestIdleConnectionLimit(t *testing.T) {
	var tr trace
	_, address := startInbound(t, parseConfiguration(t, configuration("", "")), 4, fakeRelay{&tr, deliverDone}, &counters.Set{})
	for i := range 4 {
		tr.add("client %d: %s", i, dial(t, address).roundTrip("GET /look HTTP/1.1\r\n"+requestFields+"\r\n"))
		time.Sleep(10 * time.Millisecond) // wait until it counts as idle
	}
	tr.compare(t, `
client 0: 200 "done"
client 1: 200 "done"
client 2: 200 "done"
client 3: 200 "done" close
`)
}

// slowLog keeps what is logged and blocks for 400 ms at a line that reports a crash. The decision goroutine writes
// that line, so the write pauses it as a suspended process would be.
type slowLog struct{ lockedBuffer }

func (l *slowLog) Write(p []byte) (int, error) {
	if strings.Contains(string(p), "crashed") {
		time.Sleep(400 * time.Millisecond)
	}
	return l.lockedBuffer.Write(p)
}

// A sidecar that was paused handles the answers that arrived in the meantime before it reports their server as
// silent.
func TestAnswersReadAfterPause(t *testing.T) {
	var tr trace
	server := startFakeServer(t, func(int, string) string {
		time.Sleep(150 * time.Millisecond)
		return okResponse
	})
	var log slowLog
	entry := strings.NewReplacer("127.0.0.1:9", server.Addr().String(), `"born_ms":2`, `"born_ms":0`).Replace(serverEntry)
	r, address, _ := startSidecarWithLog(t, parseConfiguration(t, configuration(entry, "")), 9, zerolog.New(&log))
	answers := make(chan string)
	for range 2 {
		c := dial(t, address)
		go func() { answers <- c.roundTrip("GET /look HTTP/1.1\r\n" + requestFields + "\r\n") }()
	}
	for server.requestCount() < 2 {
		time.Sleep(time.Millisecond)
	}
	invalid := exchange.New() // an invalid class makes the module panic, which is logged
	invalid.Class, invalid.TimeLeft = 99, second
	r.HandleRequest(invalid)
	tr.add("%s, %s", <-answers, <-answers)
	<-invalid.Done()
	time.Sleep(20 * time.Millisecond)
	tr.add("reported silent: %v", strings.Contains(log.String(), "silent"))
	tr.compare(t, `
200 "hi", 200 "hi"
reported silent: false
`)
}

// Connections to a server are closed once the list reports it as terminated.
func TestServerGone(t *testing.T) {
	var tr trace
	server, release := startFakeServer(t, func(int, string) string { return okResponse }), make(chan bool)
	entry := strings.NewReplacer("127.0.0.1:9", server.Addr().String(), `"born_ms":2`, `"born_ms":0`).Replace(serverEntry)
	list := startFakeServer(t, func(n int, path string) string {
		if n > 1 {
			return "silence"
		}
		<-release
		gone := listJSON(8, false, strings.Replace(entry, "in_service", "terminated", 1))
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(gone), gone)
	})
	manifest := parseConfiguration(t, configuration(entry, ""))
	manifest.Discovery = list.Addr().String()
	_, address, _ := startSidecarWithLog(t, manifest, 9, zerolog.Nop())
	tr.add("delivered: %s, connections ended %d", dial(t, address).roundTrip("GET /look HTTP/1.1\r\n"+requestFields+"\r\n"), server.closedConns.Load())
	release <- true
	for server.closedConns.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	tr.compare(t, `
delivered: 200 "hi", connections ended 0
`)
}

// A request with the ID of another whose timeout isn't over is treated as another client's: it gets no server's
// answer, and no server receives it.
func TestDuplicateRequestID(t *testing.T) {
	var tr trace
	release := make(chan bool)
	server := startFakeServer(t, func(n int, path string) string {
		if n == 1 {
			<-release
		}
		return okResponse
	})
	_, address, counts := startSidecar(t, "", 9, server)
	first, request := dial(t, address), "GET /look HTTP/1.1\r\n"+strings.Replace(requestFields, "ID: 1", "ID: same", 1)+"\r\n"
	for io.WriteString(first, request); server.requestCount() == 0; time.Sleep(time.Millisecond) {
	}
	tr.add("duplicate: %s", dial(t, address).roundTrip(request))
	release <- true
	tr.add("the outstanding one: %s", first.readAnswer())
	tr.add("duplicate after its answer: %s", dial(t, address).roundTrip(request))
	time.Sleep(550 * time.Millisecond)
	tr.add("after its timeout: %s", dial(t, address).roundTrip(request))
	tr.add("the server received %d, duplicates %d", server.requestCount(), counts[counters.RequestsDuplicate].Load())
	tr.compare(t, `
duplicate: 409 "this X-Request-ID is not new" close
the outstanding one: 200 "hi"
duplicate after its answer: 409 "this X-Request-ID is not new" close
after its timeout: 200 "hi"
the server received 2, duplicates 2
`)
}

var _ brain.Ports = (*relay.Relay)(nil)

// outgoingBytes returns head and body of a request as they are sent to a server.
func outgoingBytes(x *exchange.Exchange) []byte {
	head, body := x.Outgoing(70_000)
	return append(head, bytes.Join(body, nil)...)
}
