package internal_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ledgespread/internal/counters"
	"ledgespread/internal/discovery"
	"ledgespread/internal/exchange"
	"ledgespread/internal/inbound"
	"ledgespread/internal/memory"
	"ledgespread/internal/outbound"
	"ledgespread/internal/relay"
	"ledgespread/internal/reload"
	"ledgespread/internal/site"
)

// liveSidecar is a running sidecar whose configuration can be reloaded.
type liveSidecar struct {
	t             *testing.T
	configuration string // text of the file that it started with
	*reload.Reloader
	inbound *inbound.Inbound
	address string
	counts  *counters.Set
}

// startLiveSidecar starts a sidecar with the text of a configuration file.
func startLiveSidecar(t *testing.T, configuration string) *liveSidecar {
	t.Helper()
	manifest, live := parseConfiguration(t, configuration), &liveSidecar{t: t, counts: &counters.Set{}}
	out := outbound.New(manifest.Micros("allowed.conn_idle_us"), manifest.Micros("allowed.connect_timeout_us"), 99, memory.New(4<<20), manifest.LoadFields(), live.counts, zerolog.Nop())
	r, err := relay.New(manifest, 99, out, nil, live.counts, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	go r.Run()
	live.inbound, live.address = startInbound(t, manifest, 99, r, live.counts)
	live.configuration = strings.Replace(configuration, `"listen":"127.0.0.1:0"`, fmt.Sprintf(`"listen":"%s"`, live.address), 1)
	live.Reloader = reload.New(manifest, r, live.inbound, live.counts, zerolog.Nop())
	return live
}

// reload applies the configuration that the sidecar started with, changed by pairs of old and new text.
func (s *liveSidecar) reload(oldnew ...string) reload.Outcome {
	s.t.Helper()
	text := strings.NewReplacer(oldnew...).Replace(s.configuration)
	if text == s.configuration && len(oldnew) > 0 {
		s.t.Fatalf("the configuration contains none of %q", oldnew)
	}
	out, err := s.Apply("n0.json", []byte(text))
	if err != nil {
		s.t.Fatal(err)
	}
	return out
}

// replaceClassSetting returns the pair of old and new text that sets one setting of one class.
func replaceClassSetting(text, name, setting, value string) (oldnew []string) {
	var tree map[string]any
	if json.Unmarshal([]byte(text), &tree) != nil {
		panic("the configuration is not valid JSON")
	}
	start := strings.Index(text, `{"name":"`+name+`"`)
	end := start + strings.Index(text[start:], "}")
	before := text[start:end]
	key := `"` + setting + `":`
	i := strings.Index(before, key) + len(key)
	n := strings.IndexAny(before[i:]+",", ",")
	return []string{before, before[:i] + value + before[i+n:]}
}

const taggedRequest = "POST /book HTTP/1.1\r\n" + longTimeoutFields + "Idempotency-Key: k\r\nContent-Length: 0\r\n\r\n"

// A request's first attempt breaks after its last byte, and the settings change before the connection for the retry
// is established. If they became stricter, nothing is sent on that connection; if they are unchanged or became
// looser, the retry is sent.
func TestLiveWhileDialling(t *testing.T) {
	var tr trace
	for _, test := range []struct {
		name, request string
		changes       func(text string) []string
	}{
		{"unchanged", taggedRequest, func(string) []string { return nil }},
		{"a longer window", taggedRequest, func(text string) []string { return replaceClassSetting(text, "book", "memory_span_us", "20000000") }},
		{"a shorter window", taggedRequest, func(text string) []string { return replaceClassSetting(text, "book", "memory_span_us", "1000") }},
		{"tagged becomes mutating", taggedRequest, func(text string) []string { return replaceClassSetting(text, "book", "effect", `"non_idempotent"`) }},
		{"read-like becomes tagged", "GET /look HTTP/1.1\r\n" + longTimeoutFields + "\r\n",
			func(text string) []string { return replaceClassSetting(text, "look", "effect", `"idempotency_key"`) }},
		{"one attempt", taggedRequest, func(string) []string { return []string{`"max_backend_fetches":5`, `"max_backend_fetches":1`} }},
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		text := withLongTimeouts(strings.NewReplacer("127.0.0.1:9", ln.Addr().String(), `"born_ms":2`, `"born_ms":0`).Replace(serverEntry))
		live := startLiveSidecar(t, strings.NewReplacer(`"connect_timeout_us":100000`, `"connect_timeout_us":20000000`, `"memory_span_us":500000`, `"memory_span_us":10000000`).Replace(text))
		client := dial(t, live.address)
		target, rest, _ := strings.Cut(test.request, " HTTP")
		requestLine := fmt.Sprintf("%s/%d HTTP/1.1", target, lastRequestID.Add(1)) // unique, since clients of other tests may still call this port
		io.WriteString(client, requestLine+strings.TrimPrefix(rest, "/1.1"))
		firstConn, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		newClient(firstConn).in.ReadString('\n')
		raw, _ := ln.(*net.TCPListener).SyscallConn()
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), 0) })
		filler, err := net.Dial("tcp", ln.Addr().String()) // takes the only slot of the backlog, so no further connection is established
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { filler.Close() })
		firstConn.Close()
		waitUntil(t, "the retry's connection is being dialled", func() bool { return live.counts[counters.AttemptsStarted].Load() == 2 })
		time.Sleep(10 * time.Millisecond)
		live.reload(test.changes(live.configuration)...)
		received := make(chan string, 9)
		go func() { // the connection can be established now
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					defer conn.Close()
					if line, err := newClient(conn).in.ReadString('\n'); err == nil && strings.TrimSpace(line) == requestLine {
						received <- line
						io.WriteString(conn, okResponse)
					}
				}()
			}
		}()
		answer := client.readAnswer()
		time.Sleep(100 * time.Millisecond)
		tr.add("%s: %s, %d written", test.name, answer, len(received))
	}
	tr.compare(t, `
unchanged: 200 "hi", 1 written
a longer window: 200 "hi", 1 written
a shorter window: 502 "no answer from the servers", 0 written
tagged becomes mutating: 502 "no answer from the servers", 0 written
read-like becomes tagged: 502 "no answer from the servers", 0 written
one attempt: 503 "not now; a retry does no harm", 0 written
`)
}

// The settings change while a request is outstanding; then its attempt breaks. Stricter settings apply to that
// request, looser ones don't, and the next request is handled by the new settings.
func TestLiveWhileOutstanding(t *testing.T) {
	var tr trace
	for _, test := range []struct {
		name, path, window string
		changes            func(text string) []string
	}{
		{"a longer window", "book", "20000", func(text string) []string { return replaceClassSetting(text, "book", "memory_span_us", "10000000") }},
		{"a shorter window", "book", "10000000", func(text string) []string { return replaceClassSetting(text, "book", "memory_span_us", "20000") }},
		{"mutating becomes tagged", "pay", "10000000", func(text string) []string { return replaceClassSetting(text, "pay", "effect", `"idempotency_key"`) }},
		{"tagged becomes mutating", "book", "10000000", func(text string) []string { return replaceClassSetting(text, "book", "effect", `"non_idempotent"`) }},
		{"its prefix is gone", "book", "10000000", func(text string) []string { return []string{`{"name":"book"`, `{"name":"other"`} }},
	} {
		release, seen := make(chan bool), sync.Map{}
		server := startFakeServer(t, func(n int, path string) string {
			if _, again := seen.LoadOrStore(path, true); !again { // the first attempt of each request breaks
				<-release
				return "!"
			}
			return okResponse
		})
		live := startLiveSidecar(t, strings.ReplaceAll(withLongTimeouts(entryFor(server)), `"memory_span_us":500000`, `"memory_span_us":`+test.window))
		request := func() *client {
			client := dial(t, live.address)
			n := lastRequestID.Add(1)
			io.WriteString(client, strings.NewReplacer("/book", fmt.Sprintf("/%s/%d", test.path, n), "X-Request-ID: 1\r", fmt.Sprintf("X-Request-ID: live%d\r", n)).Replace(taggedRequest))
			return client
		}
		before := request()
		waitUntil(t, "the first attempt is at the server", func() bool { return server.requestCount() == 1 })
		live.reload(test.changes(live.configuration)...)
		time.Sleep(30 * time.Millisecond)
		release <- true
		first := before.readAnswer()
		attempts := server.requestCount()
		after := request()
		close(release)
		second := after.readAnswer()
		tr.add("%s: outstanding %s after %d; the next %s after %d more", test.name, first, attempts, second, server.requestCount()-attempts)
	}
	tr.compare(t, `
a longer window: outstanding 502 "no answer from the servers" after 1; the next 200 "hi" after 2 more
a shorter window: outstanding 502 "no answer from the servers" after 1; the next 503 "not now; a retry does no harm" after 1 more
mutating becomes tagged: outstanding 502 "no answer from the servers" after 1; the next 200 "hi" after 2 more
tagged becomes mutating: outstanding 502 "no answer from the servers" after 1; the next 502 "no answer from the servers" after 1 more
its prefix is gone: outstanding 200 "hi" after 2; the next 404 "unknown path prefix" close after 0 more
`)
}

// The client timeout of a class changes in either direction while a request is outstanding: that request keeps the
// timeout that its client sent.
func TestLiveTimeouts(t *testing.T) {
	var tr trace
	for _, test := range []struct{ name, clientTimeout, newTimeoutMicros string }{{"shorter", "5000m", "50000"}, {"longer", "300m", "90000000"}} {
		server := startFakeServer(t, func(int, string) string {
			time.Sleep(600 * time.Millisecond)
			return okResponse
		})
		live := startLiveSidecar(t, withLongTimeouts(entryFor(server)))
		client := dial(t, live.address)
		io.WriteString(client, strings.Replace("GET /look HTTP/1.1\r\n"+longTimeoutFields+"\r\n", "30000m", test.clientTimeout, 1))
		waitUntil(t, "the request is at the server", func() bool { return server.requestCount() == 1 })
		live.reload(`"client_timeout_us":40000000`, `"client_timeout_us":`+test.newTimeoutMicros, `"target_latency_us":20000000`, `"target_latency_us":`+test.newTimeoutMicros)
		began := time.Now()
		answer := client.readAnswer()
		tr.add("%s: %s, in time %v", test.name, answer, (time.Since(began) < 500*time.Millisecond) == (test.name == "longer"))
	}
	tr.compare(t, `
shorter: 200 "hi", in time true
longer: 504 "no answer in time", in time true
`)
}

// Classes change while a request's body is arriving. The request is accepted by the settings at the time when its
// body is complete, and its class is looked up by name, not by its position in the list.
func TestLiveWhileBodyArrives(t *testing.T) {
	var tr trace
	server := startFakeServer(t, func(int, string) string { return okResponse })
	for _, test := range []struct {
		name    string
		changes func(text string) []string
	}{
		{"another order", func(text string) []string {
			return []string{`{"name":"look"`, `{"name":"pay2"`, `{"name":"pay"`, `{"name":"look"`}
		}},
		{"gone", func(text string) []string { return []string{`{"name":"book"`, `{"name":"other"`} }},
		{"read-like now", func(text string) []string { return replaceClassSetting(text, "book", "effect", `"read_like"`) }},
		{"one more before it", func(text string) []string {
			i := strings.Index(text, `{"name":"look"`)
			one := text[i : i+strings.Index(text[i:], "}")+1]
			return []string{one, strings.Replace(one, "look", "new", 1) + "," + one}
		}},
		{"its tenant is gone", func(string) []string { return []string{`{"name":"acme","quota_per_s":99}`, ``} }},
	} {
		live := startLiveSidecar(t, withLongTimeouts(entryFor(server)))
		client := dial(t, live.address)
		io.WriteString(client, "POST /book HTTP/1.1\r\n"+longTimeoutFields+"Idempotency-Key: k\r\nContent-Length: 60000\r\n\r\n"+strings.Repeat("x", 30000))
		time.Sleep(50 * time.Millisecond) // the head has been read, and what fasthttp reads before it calls the handler
		live.reload(test.changes(live.configuration)...)
		io.WriteString(client, strings.Repeat("x", 30000))
		tr.add("%s: %s; %s", test.name, client.readAnswer(), nonZeroAccounts(live.inbound))
	}
	tr.compare(t, `
another order: 200 "hi"; succeeded.book=1
gone: 404 "unknown path prefix" close; 
read-like now: 405 "the path prefix has another method" Allow=GET close; 
one more before it: 200 "hi"; succeeded.book=1
its tenant is gone: 200 "hi"; succeeded.book=1
`)
}

// A request arrives after the decision module has accepted new settings and before inbound has. It waits and is
// handled by the new settings, or by the old ones if the module refuses the new ones.
func TestLiveRequestDuringReload(t *testing.T) {
	var tr trace
	classes := make(chan int, 9)
	in, address := startInbound(t, parseConfiguration(t, configuration("", "")), 9, fakeRelay{&tr, func(x *exchange.Exchange) {
		classes <- int(x.Class)
		deliverDone(x)
	}}, &counters.Set{})
	reordered := parseConfiguration(t, strings.NewReplacer(`"name":"look"`, `"name":"else"`, `"name":"book"`, `"name":"look"`, `"effect":"idempotency_key"`, `"effect":"read_like"`).Replace(configuration("", "")))
	for _, moduleErr := range []error{errors.New("lacking"), nil} {
		answer := make(chan string, 1)
		err := in.UpdateSettings(reordered, func() error {
			go func() { answer <- dial(t, address).roundTrip("GET /look HTTP/1.1\r\n" + requestFields + "\r\n") }()
			time.Sleep(100 * time.Millisecond)
			tr.add("requests taken meanwhile: %d", len(classes))
			return moduleErr
		})
		tr.add("%v: %s, class %d", err, <-answer, <-classes)
	}
	tr.compare(t, `
requests taken meanwhile: 0
lacking: 200 "done", class 0
requests taken meanwhile: 0
<nil>: 200 "done", class 1
`)
}

// The request budget of a cold server is reduced while the server is cold: the lower budget applies from then on.
// When the budget is raised again, the higher one applies only after a whole window.
func TestLiveColdBudget(t *testing.T) {
	var tr trace
	slowAnswer := func(int, string) string { time.Sleep(5 * time.Millisecond); return okResponse }
	warm, cold := startFakeServer(t, slowAnswer), startFakeServer(t, slowAnswer)
	hosts := entryFor(warm) + "," + strings.NewReplacer(`"host":"s"`, `"host":"cold"`, "127.0.0.1:9", cold.Addr().String(),
		`"born_ms":2`, fmt.Sprintf(`"born_ms":%d`, time.Now().UnixMilli())).Replace(serverEntry)
	live := startLiveSidecar(t, strings.NewReplacer(`"cold_from":0.3`, `"cold_from":0.9`, `"cold_us":8000000`, `"cold_us":60000000`).Replace(configuration(hosts, "")))
	sendRequests := func(span time.Duration) (coldRequests int) {
		before := cold.requestCount()
		var all sync.WaitGroup
		for range 6 { // in parallel, so that the warm server is rarely idle
			all.Go(func() {
				client := dial(t, live.address)
				for end := time.Now().Add(span); time.Now().Before(end); {
					client.roundTrip("GET /look HTTP/1.1\r\n" + requestFields + "X-Cost: 5000\r\n\r\n")
				}
			})
		}
		all.Wait()
		return cold.requestCount() - before
	}
	coldServerUsed := func() bool {
		for range 40 {
			if sendRequests(100*time.Millisecond) > 0 {
				return true
			}
		}
		return false
	}
	tr.add("requests at first: %v", coldServerUsed())
	live.reload(`"fall_multiple":3`, `"fall_multiple":0`)
	tr.add("budget of zero: %d", sendRequests(500*time.Millisecond))
	live.reload()
	tr.add("budget raised again, within a window: %d", sendRequests(500*time.Millisecond))
	tr.add("requests after the window: %v", coldServerUsed())
	tr.compare(t, `
requests at first: true
budget of zero: 0
budget raised again, within a window: 0
requests after the window: true
`)
}

// The limit of held requests falls below the number that are held: those are answered, and new ones are rejected
// until fewer are held. A new asking interval applies to the calls of discovery.
func TestLiveLimits(t *testing.T) {
	var tr trace
	release := make(chan bool)
	server := startFakeServer(t, func(n int, path string) string {
		<-release
		return okResponse
	})
	live := startLiveSidecar(t, withLongTimeouts(entryFor(server)))
	var out []*client
	for range 2 {
		c := dial(t, live.address)
		io.WriteString(c, strings.Replace("GET /look HTTP/1.1\r\n"+longTimeoutFields+"\r\n", "X-Request-ID: 1\r", fmt.Sprintf("X-Request-ID: %d\r", lastRequestID.Add(1)), 1))
		out = append(out, c)
	}
	waitUntil(t, "two requests are at the server", func() bool { return server.requestCount() == 2 })
	live.reload(`"allowed":{`, `"allowed":{"most_held":1,`)
	third := dial(t, live.address)
	tr.add("a third: %s", third.roundTrip("GET /look HTTP/1.1\r\n"+longTimeoutFields+"\r\n"))
	close(release)
	for _, c := range out {
		tr.add("held: %s", c.readAnswer())
	}
	tr.add("then: %s", third.roundTrip("GET /look HTTP/1.1\r\n"+longTimeoutFields+"\r\n"))

	list := startFakeServer(t, func(n int, path string) string {
		time.Sleep(20 * time.Millisecond)
		return "HTTP/1.1 200 OK\r\nContent-Length: 36\r\n\r\n" + `{"seq":42,"whole":false,"hosts":[]}` + " "
	})
	watcher := discovery.New(list.Addr().String(), nil, 41, 4*second, 1, 1<<20, 7, func(*discovery.List) {}, &counters.Set{}, zerolog.Nop())
	heldFor := func(millis string) func() bool {
		return func() bool {
			list.mu.Lock()
			defer list.mu.Unlock()
			return len(list.requests) > 0 && strings.Contains(list.requests[len(list.requests)-1], "hold_ms="+millis+" ")
		}
	}
	watcher.Watch()
	waitUntil(t, "calls are held for half of the asking interval", heldFor("2000"))
	watcher.UpdateSettings(1*second, 0)
	waitUntil(t, "calls are held for half of the new asking interval", heldFor("500"))
	tr.compare(t, `
a third: 503 "not now; a retry does no harm"
held: 200 "hi"
held: 200 "hi"
then: 200 "hi"
`)
}

// Changed settings of outbound: the idle time applies to connections that are already idle, the connect timeout to
// those dialled afterwards, and load reports are read by the new field names.
func TestLiveOutbound(t *testing.T) {
	var tr trace
	server := startFakeServer(t, func(int, string) string {
		return "HTTP/1.1 200 OK\r\nX-Server-Load: {\"concurrent\":3,\"tps\":9}\r\nContent-Length: 2\r\n\r\nhi"
	})
	telemetryJSON := func(names string) string {
		return `"multiplex":1},"telemetry":{"how":"inline","fields":[` + names + `]}`
	}
	live := startLiveSidecar(t, strings.Replace(configuration(entryFor(server), ""), `"multiplex":1}`, telemetryJSON(`"concurrent"`), 1))
	client := dial(t, live.address)
	sendRequest := func(name string) {
		line := client.roundTrip("GET /look HTTP/1.1\r\n" + requestFields + "\r\n")
		tr.add("%s: %s, connections %d, reports read %d, unreadable %d", name, strings.Split(line, " X-")[0], live.counts[counters.ConnectionsOpened].Load(),
			live.counts[counters.LoadReportsRead].Load(), live.counts[counters.LoadReportsMalformed].Load())
	}
	sendRequest("first")
	sendRequest("second")
	time.Sleep(60 * time.Millisecond)
	live.reload(`"conn_idle_us":10000000`, `"conn_idle_us":50000`)
	sendRequest("idle for longer than the new idle time")
	live.reload(telemetryJSON(`"concurrent"`), telemetryJSON(`"tps","concurrent"`))
	sendRequest("two fields")
	live.reload(telemetryJSON(`"concurrent"`), telemetryJSON(`"depth"`))
	sendRequest("another field")
	live.reload(telemetryJSON(`"concurrent"`), `"multiplex":1}`)
	sendRequest("no telemetry")
	tr.compare(t, `
first: 200 "hi", connections 1, reports read 1, unreadable 0
second: 200 "hi", connections 1, reports read 2, unreadable 0
idle for longer than the new idle time: 200 "hi", connections 2, reports read 3, unreadable 0
two fields: 200 "hi", connections 2, reports read 4, unreadable 0
another field: 200 "hi", connections 2, reports read 4, unreadable 1
no telemetry: 200 "hi", connections 2, reports read 4, unreadable 1
`)
	connecting := startLiveSidecar(t, strings.Replace(withLongTimeouts(strings.NewReplacer("127.0.0.1:9", unacceptingAddress(t), `"born_ms":2`, `"born_ms":0`).Replace(serverEntry)),
		`"connect_timeout_us":100000`, `"connect_timeout_us":15000000`, 1))
	connecting.reload(`"connect_timeout_us":15000000`, `"connect_timeout_us":30000`)
	began := time.Now()
	go dial(t, connecting.address).roundTrip("GET /look HTTP/1.1\r\n" + longTimeoutFields + "\r\n")
	waitUntil(t, "the connection attempt times out", func() bool { return connecting.counts[counters.AttemptsConnectFailed].Load() > 0 })
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("the connection attempt timed out only after %v", took)
	}
}

// A reload lists the changed settings that need a restart, which keep their values, and those that nothing reads.
// All other changes of the file are applied.
func TestLiveChangedSettings(t *testing.T) {
	var tr trace
	server := startFakeServer(t, func(int, string) string { return okResponse })
	text := strings.Replace(configuration(entryFor(server), `,"peer_messages":false`), `"my_zone":0`, `"my_zone":0,"balancers":1,"me":0,"cores_for_decisions":1`, 1)
	live := startLiveSidecar(t, text)
	record := func(name string, out reload.Outcome) {
		tr.add("%s: live %v, restart %v, unread %v", name, out.Live, out.Restart, out.Unknown)
	}
	record("the same", live.reload())
	record("what needs a restart", live.reload(`"name":"n0"`, `"name":"n1"`, live.address, "127.0.0.1:1", `"seed":"a1"`, `"seed":"a2"`, `"memory_mb":64,`, `"memory_mb":65,`,
		`"sockets":64}`, `"sockets":65},"peer_listen":"127.0.0.1:2","peers":["127.0.0.1:2"],"console":"127.0.0.1:3"`, `"my_zone":0`, `"my_zone":1`, `"here","there"`, `"here","there","nowhere"`,
		`"discovery":"pushed"`, `"discovery":"on_request"`, `"balancers":1,"me":0`, `"balancers":3,"me":1`, `"peer_messages":false`, `"peer_messages":true`, `"multiplex":1`, `"multiplex":3`))
	record("the same again", live.reload())
	record("both, and what nothing reads", live.reload(`"discovery":"127.0.0.1:1"`, `"discovery":"127.0.0.1:4"`, `"cores":1`, `"cores":2`, `"balancers":1`, `"balancers":2`, `"cores_for_decisions":1`, `"cores_for_decisions":2`,
		`"cancel":true`, `"cancel":false`, `"cold_us":8000000`, `"cold_us":9000000`))
	live.reload()
	one := `{"name":"acme","quota_per_s":99}`
	record("a quota", live.reload(`"quota_per_s":99`, `"quota_per_s":9`))
	record("a tenant added", live.reload(one, one+`,{"name":"best","quota_per_s":1}`))
	record("a tenant inserted first", live.reload(one, `{"name":"zero","quota_per_s":5},`+one+`,{"name":"best","quota_per_s":1}`))
	for _, tenant := range []string{"acme", "best", "zero"} {
		tr.add("%s: %s", tenant, dial(t, live.address).roundTrip(strings.Replace("GET /look HTTP/1.1\r\n"+requestFields+"\r\n", "acme", tenant, 1)))
	}
	record("tenants removed", live.reload())
	tr.add("best: %s", dial(t, live.address).roundTrip(strings.Replace("GET /look HTTP/1.1\r\n"+requestFields+"\r\n", "acme", "best", 1)))
	tr.add("taken %d, refused %d", live.counts[counters.Reloads].Load(), live.counts[counters.ReloadsRejected].Load())
	tr.compare(t, `
the same: live [], restart [], unread []
what needs a restart: live [], restart [console limits.memory_mb limits.sockets listen name peer_listen peers settings.allowed.multiplex settings.allowed.peer_messages settings.azs settings.balancers settings.discovery settings.me settings.my_zone], unread []
the same again: live [], restart [], unread []
both, and what nothing reads: live [discovery limits.cores settings.allowed.cancel settings.obligations.cold_us], restart [settings.balancers], unread [settings.cores_for_decisions]
a quota: live [settings.realms.*.quota_per_s], restart [], unread []
a tenant added: live [settings.realms settings.realms.*.quota_per_s], restart [], unread []
a tenant inserted first: live [], restart [settings.realms.*.name], unread []
acme: 200 "hi"
best: 200 "hi"
zero: 400 "unknown tenant" close
tenants removed: live [settings.realms], restart [], unread []
best: 400 "unknown tenant" close
taken 9, refused 0
`)
}

// An invalid file changes nothing and is counted, and its error names the line and the reason.
func TestLiveInvalidFiles(t *testing.T) {
	var tr trace
	server := startFakeServer(t, func(int, string) string { return okResponse })
	live := startLiveSidecar(t, configuration(entryFor(server), ""))
	for _, replacement := range [][2]string{{`"settings":`, `"setting":`}, {`"cold_us":8000000`, `"cold_us":`}, {`"effect":"non_idempotent"`, `"effect":"nothing"`},
		{`"name":"book"`, `"name":"look"`},
		{`"azs":["here","there"]`, `"azs":123456789012`}, {`"cold_us":8000000`, `"cold_us":-1`}, {`"cold_us":8000000,`, ``}, {`"fall_us":1500000`, `"fall_us":"1.5 s"`}, {`"seed":"a1"`, `"seed":"z"`}, {`"cores":1`, `"cores":0`},
		{`"whole":true`, `"whole":1`}, {`"discovery":"127.0.0.1:1"`, `"discovery":"elsewhere"`}, {`"name":"n0"`, `"name":5`},
		{`"max_backend_fetches":5`, `"max_backend_fetches":1.5`}, {`"obligations":{`, `"obligations":{}},"x":{"y":{`}} {
		// Put each setting on a line of its own, so that the line in the error shows which setting is meant.
		text := strings.NewReplacer("{", "{\n", ",", ",\n", "[", "[\n").Replace(strings.Replace(strings.ReplaceAll(live.configuration, "\n\t\t", ""), replacement[0], replacement[1], 1))
		_, err := live.Apply("n0.json", []byte(text))
		line, address := "", 0
		if err == nil {
			t.Fatalf("%s was accepted", replacement[1])
		}
		fmt.Sscanf(err.Error(), "n0.json:%d:", &address)
		if lines := strings.Split(text, "\n"); address > 0 && address <= len(lines) {
			line = strings.TrimSpace(lines[address-1])
		}
		_, reason, _ := strings.Cut(err.Error(), ": ")
		tr.add("%s | %s", strings.ReplaceAll(line, server.Addr().String(), ""), strings.ReplaceAll(reason, server.Addr().String(), ""))
	}
	tr.add("refused %d, taken %d: %s", live.counts[counters.ReloadsRejected].Load(), live.counts[counters.Reloads].Load(),
		dial(t, live.address).roundTrip("GET /look HTTP/1.1\r\n"+requestFields+"\r\n"))
	outcome := live.reload()
	tr.add("the old configuration is in force: live %v, restart %v", outcome.Live, outcome.Restart)
	tr.compare(t, `
{ | settings is missing
"cold_us":, | invalid character ',' looking for beginning of value
"effect":"nothing", | settings: path_prefixes.2.effect: nothing is none of [mutating read_like tagged]
"name":"look", | settings: path_prefixes.1.name: look is no name of its own
"azs":123456789012, | settings: azs: 1.23456789012e+11 is no list
"cold_us":-1, | settings: obligations.cold_us: -1 is no number from 1
"settings":{ | settings lack obligations.cold_us
"fall_us":"1.5 s", | settings: obligations.fall_us: 1.5 s is no number
"seed":"z", | seed: strconv.ParseUint: parsing "z": invalid syntax
"cores":0, | limits.cores is missing
"known":{ | known: whole is missing or malformed
"discovery":"elsewhere", | discovery: not an ip:port
"name":5, | name: json: cannot unmarshal number into Go value of type string
"max_backend_fetches":1.5, | settings: allowed.max_backend_fetches: 1.5 is no whole number from 1
"settings":{ | settings lack obligations.cold_from
refused 15, taken 0: 200 "hi"
the old configuration is in force: live [], restart []
`)
}

// The configuration changes 200 times, each time with the classes in another order, while clients send requests.
// Each request is answered as one of its own class, and servers receive it exactly once.
func TestLiveManyReloads(t *testing.T) {
	var served atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, r.URL.Path)
	}))
	t.Cleanup(server.Close)
	live := startLiveSidecar(t, withLongTimeouts(strings.NewReplacer("127.0.0.1:9", server.Listener.Addr().String(), `"born_ms":2`, `"born_ms":0`).Replace(serverEntry)))
	done, clients := make(chan bool), sync.WaitGroup{}
	var asked, wrong atomic.Int64
	for i := range 6 {
		clients.Go(func() {
			client := dial(t, live.address)
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				name := fmt.Sprintf("X-Request-ID: storm-%d-%d\r", i, n)
				ask := "GET /look HTTP/1.1\r\n" + longTimeoutFields + "\r\n"
				want := `200 "/look"`
				switch (i + n) % 3 {
				case 1:
					ask, want = "POST /book HTTP/1.1\r\n"+longTimeoutFields+"Idempotency-Key: k\r\nContent-Length: 1\r\n\r\nx", `200 "/book"`
				case 2:
					ask, want = "POST /pay HTTP/1.1\r\n"+longTimeoutFields+"Content-Length: 1\r\n\r\nx", `200 "/pay"`
				}
				io.WriteString(client, strings.Replace(ask, "X-Request-ID: 1\r", name, 1))
				asked.Add(1)
				if line := client.readAnswer(); line != want {
					wrong.Add(1)
					t.Errorf("answer %s, want %s", line, want)
					return
				}
			}
		})
	}
	items := strings.SplitAfter(live.configuration[strings.Index(live.configuration, `{"name":"look"`):strings.Index(live.configuration, `],"allowed"`)], "}")
	for i := range items {
		items[i] = strings.TrimPrefix(items[i], ",")
	}
	list := strings.Join(items[:3], ",")
	orders := [][3]int{{0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}}
	for i := range 200 {
		order := orders[i%len(orders)]
		live.reload(list, strings.Join([]string{items[order[0]], items[order[1]], items[order[2]]}, ","))
		if i%20 == 0 {
			live.Apply("n0.json", []byte("{"))
		}
		time.Sleep(2 * time.Millisecond)
	}
	close(done)
	clients.Wait()
	if served.Load() != asked.Load() || live.counts[counters.Faults].Load() != 0 || live.counts[counters.Reloads].Load() != 200 || live.counts[counters.ReloadsRejected].Load() != 10 {
		t.Errorf("requests sent %d, served %d, faults %d, reloads %d, reloads refused %d", asked.Load(), served.Load(), live.counts[counters.Faults].Load(), live.counts[counters.Reloads].Load(),
			live.counts[counters.ReloadsRejected].Load())
	}
	t.Logf("%d requests during 200 changes: %s", asked.Load(), nonZeroAccounts(live.inbound))
}

// Any bytes are either accepted as a configuration or refused with an error that starts with the file name and an
// existing line number.
func FuzzConfiguration(f *testing.F) {
	f.Add([]byte(configuration(serverEntry, "")))
	f.Add([]byte("{"))
	f.Add([]byte(`{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:1","seed":"1","limits":{"cores":[1]}}`))
	f.Add([]byte(strings.Replace(configuration(serverEntry, ""), `"cold_us":8000000`, "\n\n\"cold_us\":[{}]", 1)))
	line := regexp.MustCompile(`^n0\.json:(\d+): .`)
	f.Fuzz(func(t *testing.T, text []byte) {
		manifest, err := site.ParseFile("n0.json", text)
		if err == nil {
			if _, c := manifest.MergeLive(manifest); len(c.Live)+len(c.Restart)+len(c.Unknown) > 0 {
				t.Errorf("the configuration differs from itself: %+v", c)
			}
			if err = reload.CheckStart(manifest); err == nil {
				return
			}
			err = site.WithPosition("n0.json", text, err)
		}
		at := line.FindStringSubmatch(err.Error())
		if at == nil {
			t.Fatalf("%q does not name a line", err)
		}
		if n, _ := strconv.Atoi(at[1]); n < 1 || n > 1+bytes.Count(text, []byte("\n")) {
			t.Errorf("%q: the file has %d lines", err, 1+bytes.Count(text, []byte("\n")))
		}
	})
}
