package internal_test

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ledgespread/brain"
	"ledgespread/internal/counters"
	"ledgespread/internal/discovery"
	"ledgespread/internal/peermessage"
	"ledgespread/internal/peers"
	"ledgespread/internal/relay"
	"ledgespread/internal/site"
)

// serverEntry is the list entry of one server.
const serverEntry = `{"host":"s","dial":"127.0.0.1:9","site":"here","class":"m","block":3,"health":"in_service",` +
	`"share":1.5,"born_ms":2}`

// listJSON returns a list of servers as discovery sends it.
func listJSON(version int, whole bool, entries ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, version, whole, strings.Join(entries, ","))
}

// A list that can't be parsed is an error. An entry that lacks what is needed to use its server is returned among
// the unusable ones, with the reason.
func TestListsRead(t *testing.T) {
	var tr trace
	edit := func(old, new string) string { return strings.Replace(serverEntry, old, new, 1) }
	for _, test := range []struct{ name, text string }{
		{"whole", listJSON(41, true, serverEntry, edit(`"s"`, `"other"`))},
		{"draining", listJSON(42, false, edit("in_service", "terminating"))},
		{"gone", listJSON(43, false, edit("in_service", "terminated"))},
		{"no JSON", "{"},
		{"no version", `{"whole":true,"hosts":[]}`},
		{"invalid version", listJSON(-1, true, serverEntry)},
		{"twice", listJSON(44, false, edit("in_service", "terminating"), edit("in_service", "terminated"))},
		{"unknown site", listJSON(1, true, edit("here", "nowhere"))},
		{"unknown health", listJSON(1, true, edit("in_service", "poorly"))},
		{"no address", listJSON(1, true, edit("127.0.0.1:9", "somewhere"))},
		{"an entry that is not an object", listJSON(1, true, serverEntry, "7")},
		{"no name", listJSON(1, true, edit(`"host":"s",`, ""), edit(`"s"`, `""`))},
		{"invalid numbers", listJSON(1, true, edit("3", "3.5"), edit("1.5", `"1.5"`), edit(`"born_ms":2`, `"born_ms":null`))},
		{"gone, without the rest", listJSON(44, false, `{"host":"s","health":"terminated"}`)},
		{"null for no servers", `{"seq":45,"whole":true,"hosts":null}`},
		{"hosts missing", `{"seq":45,"whole":true}`},
		{"hosts of another type", `{"seq":45,"whole":true,"hosts":{}}`},
		{"whole of another type", `{"seq":45,"whole":1,"hosts":[]}`},
		{"not an object", `[]`},
		{"truncated", listJSON(1, true, serverEntry)[:90]},
		{"empty", ""},
		{"more than one", listJSON(1, true) + "{}"},
	} {
		list, err := discovery.Read([]byte(test.text), map[string]int{"there": 0, "here": 1})
		tr.add("%s: %v", test.name, err)
		if list == nil {
			continue
		}
		for _, e := range list.Entries {
			tr.add("  %d whole=%v: %s %012x %s zone %d cell %d standing %d rating %g started %d", list.Version, list.Whole,
				e.Host, e.ID, e.Address, e.Zone, e.Cell, e.Standing, e.Weight, e.Started)
		}
		for _, u := range list.Unusable {
			tr.add("  unusable: %q gone %v: %v", u.Host, u.Gone, u.Err)
		}
		if list.Whole && len(list.Entries) == 0 {
			tr.add("  %d whole, without servers", list.Version)
		}
	}
	tr.compare(t, `
whole: <nil>
  41 whole=true: s ee4c8602a441 127.0.0.1:9 zone 1 cell 3 standing 2 rating 1.5 started 2000
  41 whole=true: other ad61c2562071 127.0.0.1:9 zone 1 cell 3 standing 2 rating 1.5 started 2000
draining: <nil>
  42 whole=false: s ee4c8602a441 127.0.0.1:9 zone 1 cell 3 standing 1 rating 1.5 started 2000
gone: <nil>
  43 whole=false: s ee4c8602a441 127.0.0.1:9 zone 1 cell 3 standing 0 rating 1.5 started 2000
no JSON: at byte 1: unexpected EOF
no version: seq is missing or malformed
invalid version: seq is no whole number
twice: <nil>
  44 whole=false: s ee4c8602a441 127.0.0.1:9 zone 1 cell 3 standing 1 rating 1.5 started 2000
  44 whole=false: s ee4c8602a441 127.0.0.1:9 zone 1 cell 3 standing 0 rating 1.5 started 2000
unknown site: <nil>
  unusable: "s" gone false: s: site is missing or unknown
  1 whole, without servers
unknown health: <nil>
  unusable: "s" gone false: s: health is missing or unknown
  1 whole, without servers
no address: <nil>
  unusable: "s" gone false: s: not an ip:port
  1 whole, without servers
an entry that is not an object: <nil>
  1 whole=true: s ee4c8602a441 127.0.0.1:9 zone 1 cell 3 standing 2 rating 1.5 started 2000
  unusable: "" gone false: hosts holds something that is no server
no name: <nil>
  unusable: "" gone false: host is missing or malformed
  unusable: "" gone false: host is missing or malformed
  1 whole, without servers
invalid numbers: <nil>
  unusable: "s" gone false: s: block is missing or malformed
  unusable: "s" gone false: s: share is missing or malformed
  unusable: "s" gone false: s: born_ms is missing or malformed
  1 whole, without servers
gone, without the rest: <nil>
  unusable: "s" gone true: s: not an ip:port
null for no servers: <nil>
  45 whole, without servers
hosts missing: hosts is missing or malformed
hosts of another type: at byte 32: hosts is missing or malformed
whole of another type: whole is missing or malformed
not an object: at byte 1: it is no object
truncated: at byte 31: unexpected EOF
empty: at byte 0: unexpected EOF
more than one: at byte 34: something follows the list
`)
}

// A watch first asks for changes without a hold, then makes calls that discovery holds until the list changes. It
// ends at the first failure, which is reported once.
func TestWatch(t *testing.T) {
	var tr trace
	answers := []string{listJSON(42, true, serverEntry), listJSON(42, false), listJSON(43, false, serverEntry), "gone",
		listJSON(43, false), "{"}
	asked, over := make(chan bool, 9), make(chan bool)
	server := startFakeServer(t, func(n int, path string) string {
		defer func() { asked <- true }()
		if n > len(answers) {
			<-over
		} else if answers[n-1] != "gone" {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answers[n-1]), answers[n-1])
		}
		return "!"
	})
	defer close(over)
	counts, reported := &counters.Set{}, make(chan bool, 9)
	var log strings.Builder
	watcher := discovery.New(server.Addr().String(), map[string]int{"here": 0}, 41, 4*second, 1, 1<<20, 7, func(l *discovery.List) {
		if l == nil {
			tr.add("reported: failed")
		} else {
			tr.add("reported: %d whole=%v empty=%v", l.Version, l.Whole, l.Empty())
		}
		reported <- l == nil
	}, counts, zerolog.New(&log).Level(zerolog.InfoLevel))
	for range 2 {
		watcher.Watch()
		for !<-reported {
		}
	}
	server.mu.Lock()
	for _, ask := range server.requests {
		tr.add("%s", strings.Split(ask, " HTTP")[0])
	}
	server.mu.Unlock()
	for line := range strings.Lines(log.String()) {
		_, message, _ := strings.Cut(strings.TrimSpace(line), `"message":`)
		tr.add("%s", message)
	}
	tr.add("taken %d, failed %d, malformed %d, outdated %d", counts[counters.ListsAccepted].Load(),
		counts[counters.ListCallsFailed].Load(), counts[counters.ListsMalformed].Load(), counts[counters.ListsOutdated].Load())
	tr.compare(t, `
reported: 42 whole=true empty=false
reported: 43 whole=false empty=false
reported: failed
reported: 43 whole=false empty=true
reported: failed
GET /api/targets?from=41&hold_ms=0
GET /api/targets?from=42&hold_ms=2000
GET /api/targets?from=42&hold_ms=2000
GET /api/targets?from=43&hold_ms=2000
GET /api/targets?from=43&hold_ms=0
GET /api/targets?from=43&hold_ms=2000
"list told"}
"list told"}
"call of discovery failed"}
"discovery out of reach"}
"discovery back"}
"call of discovery failed"}
"discovery out of reach"}
taken 3, failed 2, malformed 1, outdated 0
`)
}

// The first call of a watch that another has replaced still counts, but an older list that it returns does not
// replace a newer one.
func TestTwoWatches(t *testing.T) {
	var tr trace
	release := make(chan bool)
	server := startFakeServer(t, func(n int, path string) string {
		answer := map[int]string{1: listJSON(42, true, serverEntry), 2: listJSON(43, true, serverEntry), 5: listJSON(44, true, serverEntry)}[n]
		if n == 1 || n == 4 {
			<-release
		}
		if n == 4 {
			return "!"
		} else if answer == "" {
			return "silence"
		}
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
	})
	reported := make(chan bool, 9)
	watcher := discovery.New(server.Addr().String(), map[string]int{"here": 0}, 41, 40*second, 1, 1<<20, 7, func(l *discovery.List) {
		if l == nil {
			tr.add("reported: failed")
		} else {
			tr.add("reported: %d empty=%v", l.Version, l.Empty())
		}
		reported <- true
	}, &counters.Set{}, zerolog.Nop())
	for _, calls := range []int{1, 4} {
		watcher.Watch()
		for server.requestCount() < calls {
			time.Sleep(time.Millisecond)
		}
		watcher.Watch()
		<-reported
		for server.requestCount() < calls+2 {
			time.Sleep(time.Millisecond)
		}
		release <- true
		<-reported
	}
	tr.compare(t, `
reported: 43 empty=false
reported: 43 empty=true
reported: 44 empty=false
reported: failed
`)
}

// With the pushed list, a sidecar counts as informed of all that discovery holds. While discovery doesn't answer or
// breaks connections, calls to it therefore go on, several at once and without a growing delay, and the first list
// is reported.
func TestPushedListRetries(t *testing.T) {
	var tr trace
	server := startFakeServer(t, func(n int, path string) string {
		switch {
		case n <= 12:
			return "silence"
		case n <= 16:
			return "!"
		}
		return listResponse(42, serverEntry)
	})
	lists, late := make(chan *discovery.List, 99), time.After(20*time.Second)
	watcher := discovery.New(server.Addr().String(), map[string]int{"here": 0}, 41, 300*second, 300, 1<<20, 7,
		func(l *discovery.List) { lists <- l }, &counters.Set{}, zerolog.Nop())
	watcher.WatchPushed(second / 2)
	for over := false; !over; {
		select {
		case l := <-lists:
			if over = l != nil; over {
				tr.add("reported: %d", l.Version)
			}
		case <-late:
			over = true
			tr.add("nothing reported after %d calls", server.requestCount())
		}
	}
	tr.compare(t, `
reported: 42
`)
}

// The sender of a message is known by its address. Messages from unknown addresses, malformed ones and ones too long
// are ignored.
func TestPeers(t *testing.T) {
	var tr trace
	port := func() netip.AddrPort {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		return netip.MustParseAddrPort(c.LocalAddr().String())
	}
	address := []netip.AddrPort{port(), port()}
	open := func(i int) (*peers.Peers, *counters.Set) {
		counts := &counters.Set{}
		p, err := peers.Open(address[i].String(), false, address, counts, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Close)
		return p, counts
	}
	peerZero, counts := open(0)
	peerOne, sent := open(1)
	received := make(chan bool, 9)
	go peerZero.Receive(func(from brain.Peer, kind brain.MessageKind, about brain.ServerID, figures []float64) {
		tr.add("from %d: kind %d about %x: %v", from, kind, about, figures)
		received <- true
	})
	unknownSender, err := net.Dial("udp", address[0].String())
	if err != nil {
		t.Fatal(err)
	}
	defer unknownSender.Close()
	unknownSender.Write(peermessage.Append(nil, brain.QuoteRequest, 1))
	for counts[counters.MessagesRejected].Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	peerOne.Send(0, brain.AttemptEnded, 0xabcdef012345, 1, 2.5, 300)
	peerOne.Send(2, brain.QuoteRequest, 1)
	peerOne.Send(0, brain.TenantUse, 0, make([]float64, 200)...)
	peerOne.Send(0, brain.MessageKind(9), 5)
	<-received
	<-received
	tr.add("received %d, refused %d; sent %d, refused %d", counts[counters.MessagesReceived].Load(),
		counts[counters.MessagesRejected].Load(), sent[counters.MessagesSent].Load(), sent[counters.MessagesRejected].Load())
	for _, msg := range []string{"", "short", "\x01\x00\x00\x00\x00\x00\x01\x00", "\x01\x00\x00\x00\x00\x00\x01\xff\xff",
		"\x07\x00\x00\x00\x00\x00\x01\x7f\x80", "\x04\x00\x00\x00\x00\x00\x01\x7f\x80"} { // figures are infinite, which only a quote allows
		_, _, _, valid := peermessage.Decode([]byte(msg))
		tr.add("%q is a message: %v", msg, valid)
	}
	tr.compare(t, `
from 1: kind 7 about abcdef012345: [1 2.5 300]
from 1: kind 9 about 5: []
received 2, refused 1; sent 2, refused 2
"" is a message: false
"short" is a message: false
"\x01\x00\x00\x00\x00\x00\x01\x00" is a message: false
"\x01\x00\x00\x00\x00\x00\x01\xff\xff" is a message: false
"\a\x00\x00\x00\x00\x00\x01\x7f\x80" is a message: false
"\x04\x00\x00\x00\x00\x00\x01\x7f\x80" is a message: true
`)
}

// A configuration with a missing or malformed setting is refused, with a line that names the setting.
func TestManifest(t *testing.T) {
	var tr trace
	good := configuration(serverEntry, "")
	for _, c := range [][2]string{{"", ""}, {`"listen"`, `"listne"`}, {`"seed":"a1"`, `"seed":"zz"`},
		{`"sockets":64`, `"sockets":0`}, {`"known":`, `"unknown":`}, {`"settings"`, `"setting"`},
		{`127.0.0.1:0`, `nowhere`}, {`"discovery":"127`, `"discovery":"x`}, {`"in_service"`, `"sick"`}, {`"whole":true`, `"whole":1`},
		{`"seq":7`, `"seq":"7"`}, {`"target_latency_us":400000,`, ``}, {`"my_zone":0,`, ``}, {`{"name":"n0"`, `["n0"`}} {
		manifest, err := site.Parse([]byte(strings.Replace(good, c[0], c[1], 1)))
		if err == nil {
			_, err = relay.New(manifest, 9, newOutbound(second, 9, &counters.Set{}), nil, &counters.Set{}, zerolog.Nop())
		}
		tr.add("%s: %v", c[1], err)
	}
	_, err := site.ReadFile("")
	tr.add("no file named: %v", err)
	_, err = site.ReadFile("testdata/missing.json")
	tr.add("missing: %v", err)
	tr.compare(t, `
: <nil>
"listne": listen is missing
"seed":"zz": seed: strconv.ParseUint: parsing "zz": invalid syntax
"sockets":0: limits.sockets is missing
"unknown":: known is missing
"setting": settings is missing
nowhere: listen: not an ip:port
"discovery":"x: discovery: ParseAddr("x.0.0.1"): unexpected character (at "x.0.0.1")
"sick": <nil>
"whole":1: known: whole is missing or malformed
"seq":"7": known: seq is missing or malformed
: settings lack path_prefixes.0.target_latency_us
: settings lack my_zone
["n0": invalid character ':' after array element
no file named: no configuration file: RELAY_CONFIG is not set
missing: open testdata/missing.json: no such file or directory
`)
}

// Each counter is printed on one line, by its name.
func TestCounters(t *testing.T) {
	var sheet counters.Set
	sheet.Add(counters.RequestsAccepted)
	sheet.Add(counters.Faults)
	var out strings.Builder
	sheet.WriteTo(io.Writer(&out))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	var tr trace
	tr.add("%s", lines[counters.RequestsAccepted])
	tr.add("%s", lines[len(lines)-1])
	tr.compare(t, `
ledgespread_visits_taken 1
ledgespread_faults 1
`)
}

// When discovery's address changes, the new address is asked for the whole list at once, though a call to the old
// one is still held, and asked again if that fails. Its list is taken although its version is lower, and a later
// answer of the old address changes nothing.
func TestDiscoveryAddressChange(t *testing.T) {
	var tr trace
	release := make(chan bool)
	answer := func(list string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	}
	old := startFakeServer(t, func(n int, path string) string {
		if n == 2 {
			<-release
		}
		return answer(listJSON(41+n, true, serverEntry))
	})
	next := startFakeServer(t, func(n int, path string) string {
		switch n {
		case 1:
			return answer(listJSON(3, false))
		case 2:
			return answer(listJSON(3, true, serverEntry))
		}
		return "silence"
	})
	reported := make(chan bool, 9)
	watcher := discovery.New(old.Addr().String(), map[string]int{"here": 0}, 41, 40*second, 1, 1<<20, 7,
		func(l *discovery.List) {
			if l == nil {
				tr.add("reported: failed")
			} else {
				tr.add("reported: %d whole=%v", l.Version, l.Whole)
			}
			reported <- l != nil
		}, &counters.Set{}, zerolog.Nop())
	watcher.Watch()
	<-reported
	for old.requestCount() < 2 { // the second call is held now
		time.Sleep(time.Millisecond)
	}
	watcher.SetAddress(old.Addr().String()) // the same address: no change
	began := time.Now()
	watcher.SetAddress(next.Addr().String())
	if !<-reported {
		watcher.Watch()
		<-reported
	}
	tr.add("at once: %v", time.Since(began) < 5*time.Second)
	release <- true
	for next.requestCount() < 3 {
		time.Sleep(time.Millisecond)
	}
	for _, server := range []*fakeServer{old, next} {
		server.mu.Lock()
		for _, ask := range server.requests {
			tr.add("%s", strings.Split(ask, " HTTP")[0])
		}
		server.mu.Unlock()
	}
	tr.compare(t, `
reported: 42 whole=true
reported: 3 whole=true
at once: true
GET /api/targets?from=41&hold_ms=0
GET /api/targets?from=42&hold_ms=4000
GET /api/targets
GET /api/targets
GET /api/targets?from=3&hold_ms=4000
`)
}

// After a failed call the next call is held at once if there are many sidecars, however slowly discovery answers,
// since calls without a hold would keep it busy. That call is made without being asked for, and no second one is
// made beside it when one is asked for. The call after an answered one follows without a pause.
func TestRetryAfterDiscoveryFailure(t *testing.T) {
	var tr trace
	for _, test := range []struct {
		name       string
		answerTime time.Duration
		sidecars   int
	}{{"quick", 0, 80}, {"slow, for one", 40 * time.Millisecond, 1}, {"slow, for eighty", 40 * time.Millisecond, 80}} {
		var mu sync.Mutex
		var at []time.Time
		server := startFakeServer(t, func(n int, path string) string {
			mu.Lock()
			at = append(at, time.Now())
			mu.Unlock()
			if n == 1 {
				return "!"
			} else if n >= 3 {
				return "silence"
			}
			time.Sleep(test.answerTime)
			return listResponse(42)
		})
		reported := make(chan bool, 9)
		watcher := discovery.New(server.Addr().String(), nil, 41, 2*second, test.sidecars, 1<<20, 7, func(l *discovery.List) { reported <- l != nil },
			&counters.Set{}, zerolog.Nop())
		for watcher.Watch(); !<-reported; watcher.Watch() {
		}
		server.waitForRequests(3)
		mu.Lock()
		wait := at[2].Sub(at[1])
		mu.Unlock()
		server.mu.Lock()
		for _, ask := range server.requests[:3] {
			tr.add("%s: %s", test.name, randomHold.ReplaceAllString(strings.Split(ask, " HTTP")[0], "=random"))
		}
		server.mu.Unlock()
		tr.add("%s: pauses: %v", test.name, wait > 600*time.Millisecond)
	}
	tr.compare(t, `
quick: GET /api/targets?from=41&hold_ms=0
quick: GET /api/targets?from=41&hold_ms=random
quick: GET /api/targets?from=42&hold_ms=random
quick: pauses: false
slow, for one: GET /api/targets?from=41&hold_ms=0
slow, for one: GET /api/targets?from=41&hold_ms=0
slow, for one: GET /api/targets?from=42&hold_ms=1000
slow, for one: pauses: false
slow, for eighty: GET /api/targets?from=41&hold_ms=0
slow, for eighty: GET /api/targets?from=41&hold_ms=random
slow, for eighty: GET /api/targets?from=42&hold_ms=random
slow, for eighty: pauses: false
`)
}

// randomHold matches a hold of 750 to 999 ms at the end of a request line: with many sidecars the hold is random.
var randomHold = regexp.MustCompile(`=(7[5-9]|[89]\d)\d$`)

// listResponse returns discovery's HTTP response with a whole list.
func listResponse(version int, lines ...string) string {
	list := listJSON(version, true, lines...)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
}

// waitForRequests waits until the server has received n requests, for 5 s at most.
func (s *fakeServer) waitForRequests(n int) {
	for end := time.Now().Add(5 * time.Second); s.requestCount() < n && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// A held call is followed by the next one at once, even if a call of an earlier watch failed in the meantime: a pause
// in between would delay the changes of that time.
func TestNextCallAfterHeldCall(t *testing.T) {
	var tr trace
	var mu sync.Mutex
	var answered, next time.Time
	server := startFakeServer(t, func(n int, path string) string {
		switch n {
		case 1: // the earlier watch: its call breaks while a call of the next one is held
			time.Sleep(300 * time.Millisecond)
			return "!"
		case 2:
			return listResponse(42)
		case 3:
			time.Sleep(600 * time.Millisecond)
			mu.Lock()
			answered = time.Now()
			mu.Unlock()
			return listResponse(43)
		}
		mu.Lock()
		if next.IsZero() {
			next = time.Now()
		}
		mu.Unlock()
		return "silence"
	})
	watcher := discovery.New(server.Addr().String(), nil, 41, 2*second, 80, 1<<20, 7, func(l *discovery.List) {}, &counters.Set{}, zerolog.Nop())
	for i := range 2 {
		watcher.Watch()
		server.waitForRequests(i + 1)
	}
	server.waitForRequests(4)
	server.mu.Lock()
	for _, ask := range server.requests {
		tr.add("%s", randomHold.ReplaceAllString(strings.Split(ask, " HTTP")[0], "=random"))
	}
	server.mu.Unlock()
	mu.Lock()
	tr.add("pause after the held one: %v", next.Sub(answered) > 600*time.Millisecond)
	mu.Unlock()
	tr.compare(t, `
GET /api/targets?from=41&hold_ms=0
GET /api/targets?from=41&hold_ms=0
GET /api/targets?from=42&hold_ms=random
GET /api/targets?from=43&hold_ms=random
pause after the held one: false
`)
}

// A held call that is never answered is noticed soon after its hold ends, however long the asking interval of the
// settings is, since a sidecar counts as informed of a change within seconds. The new call made instead may stay
// unanswered too, another is made beside it soon after, and neither timeout counts as a failure of discovery.
func TestHeldCallUnanswered(t *testing.T) {
	var tr trace
	server := startFakeServer(t, func(n int, path string) string {
		switch n {
		case 1:
			return listResponse(42)
		case 4:
			return listResponse(43, serverEntry)
		}
		return "silence"
	})
	counts, reported, late := &counters.Set{}, make(chan *discovery.List, 9), time.After(20*time.Second)
	watcher := discovery.New(server.Addr().String(), map[string]int{"here": 0}, 41, 300*second, 1, 1<<20, 7, func(l *discovery.List) { reported <- l }, counts, zerolog.Nop())
	watcher.Watch()
	for range 2 {
		select {
		case l := <-reported:
			tr.add("reported: %v", l != nil)
		case <-late:
			t.Fatal("nothing reported")
		}
	}
	server.waitForRequests(5)
	server.mu.Lock()
	for _, ask := range server.requests[:min(5, len(server.requests))] {
		tr.add("%s", strings.Split(ask, " HTTP")[0])
	}
	server.mu.Unlock()
	for end := time.Now().Add(5 * time.Second); counts[counters.ListCallsTimedOut].Load() < 2 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	tr.add("silent %d, failed %d", counts[counters.ListCallsTimedOut].Load(), counts[counters.ListCallsFailed].Load())
	tr.compare(t, `
reported: true
reported: true
GET /api/targets?from=41&hold_ms=0
GET /api/targets?from=42&hold_ms=4000
GET /api/targets?from=42&hold_ms=0
GET /api/targets?from=42&hold_ms=0
GET /api/targets?from=43&hold_ms=4000
silent 2, failed 0
`)
}

// With a memory limit of 4 MB, an indented list of 1,100 servers and a configuration with 1,100 sidecars are read,
// stored and used, and each other sidecar can be sent messages by its number.
func TestLargeListAndConfiguration(t *testing.T) {
	const count = 1100
	var tr trace
	var lines, at []string
	for i := range count {
		lines = append(lines, "\n        "+strings.ReplaceAll(strings.Replace(serverEntry, `"s"`, fmt.Sprintf(`"s-%08x"`, i), 1), ",", ",\n            "))
		at = append(at, fmt.Sprintf(`"127.1.%d.%d:7946"`, i/250, i%250+1))
	}
	list := listJSON(8, true, append([]string{strings.Replace(lines[0], "in_service", "terminated", 1)}, lines[1:]...)...)
	server := startFakeServer(t, func(n int, path string) string {
		if n > 1 {
			return "silence"
		}
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	})
	text := strings.NewReplacer(`127.0.0.1:1"`, server.Addr().String()+`"`, `"memory_mb":64`, `"memory_mb":4`,
		`"settings":{`, `"peer_listen":"127.0.0.1:0","peers":[`+strings.Join(at, ",")+`],"settings":{"balancers":1100,"me":1099,`).
		Replace(configuration(strings.Join(lines, ","), `,"peer_messages":true`))
	manifest := parseConfiguration(t, text)
	counts := &counters.Set{}
	r, err := relay.New(manifest, 9, newOutbound(second, 9, counts), nil, counts, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	listed, _ := r.Fleet()
	tr.add("from the configuration: %d listed, %d peers", listed, len(manifest.Peers))
	r.PublishFleetEvery(5000)
	go r.Run()
	for end := time.Now().Add(20 * time.Second); listed != count-1 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		listed, _ = r.Fleet()
	}
	tr.add("reported: %d listed, malformed %d, failed %d", listed, counts[counters.ListsMalformed].Load(), counts[counters.ListCallsFailed].Load())
	others, err := peers.Open("127.0.0.1:0", false, manifest.Peers, counts, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer others.Close()
	for i := range count {
		others.Send(brain.Peer(i), brain.QuoteRequest, 1)
	}
	tr.add("messages sent: %d", counts[counters.MessagesSent].Load())
	tr.compare(t, `
from the configuration: 1100 listed, 1100 peers
reported: 1099 listed, malformed 0, failed 0
messages sent: 1100
`)
}

// After discovery's address has changed, the new address's list is needed soon: if its first call stays unanswered,
// a second one is made beside it.
func TestNewAddressDoesNotAnswer(t *testing.T) {
	old := startFakeServer(t, func(n int, path string) string {
		if n == 1 {
			return listResponse(42, serverEntry)
		}
		return "silence"
	})
	next := startFakeServer(t, func(n int, path string) string {
		if n == 2 {
			return listResponse(3, serverEntry)
		}
		return "silence"
	})
	versions := make(chan uint64, 9)
	watcher := discovery.New(old.Addr().String(), map[string]int{"here": 0}, 41, 300*second, 1, 1<<20, 7,
		func(l *discovery.List) {
			if l != nil {
				versions <- l.Version
			}
		}, &counters.Set{}, zerolog.Nop())
	watcher.Watch()
	var tr trace
	tr.add("reported %d", <-versions)
	old.waitForRequests(2)
	watcher.SetAddress(next.Addr().String())
	select {
	case v := <-versions:
		tr.add("reported %d", v)
	case <-time.After(20 * time.Second):
		tr.add("nothing reported")
	}
	tr.compare(t, `
reported 42
reported 3
`)
}

// A discovery service that accepts calls and never answers is logged as out of reach, once, and calls to it go on.
func TestDiscoveryNeverAnswers(t *testing.T) {
	var tr trace
	server := startFakeServer(t, func(n int, path string) string {
		if n == 1 {
			return listResponse(42, serverEntry)
		}
		return "silence"
	})
	counts, reported, late := &counters.Set{}, make(chan bool, 9), time.After(30*time.Second)
	var log slowLog
	watcher := discovery.New(server.Addr().String(), map[string]int{"here": 0}, 41, 2*second, 1, 1<<20, 7, func(l *discovery.List) { reported <- l != nil },
		counts, zerolog.New(&log).Level(zerolog.InfoLevel))
	watcher.Watch()
	for range 3 {
		select {
		case list := <-reported:
			tr.add("reported a list: %v", list)
		case <-late:
			t.Fatal("nothing reported")
		}
	}
	tr.add("logged as out of reach: %d", strings.Count(log.String(), "out of reach"))
	tr.compare(t, `
reported a list: true
reported a list: false
reported a list: false
logged as out of reach: 1
`)
}

// A new list reaches the sidecar in time, however long the asking interval of the settings is: calls go on when the
// address has changed and the first two calls to the new one stay unanswered, and a service that was busy isn't left
// without calls for part of a long interval.
func TestListReceivedInTime(t *testing.T) {
	var tr trace
	for _, test := range []struct {
		name     string
		interval brain.Micros
		sidecars int
		moved    bool
		script   func(n int) string
		want     uint64
	}{
		{"moved, two calls silent", 300 * second, 1, true, func(n int) string {
			return map[bool]string{true: "silence", false: listResponse(3, serverEntry)}[n <= 2]
		}, 3},
		{"busy, for many", 300 * second, 3000, false, func(n int) string {
			if n == 1 {
				return "!"
			}
			if n > 3 {
				return "silence"
			}
			time.Sleep(40 * time.Millisecond)
			return listResponse(40+n, serverEntry)
		}, 43},
	} {
		server := startFakeServer(t, func(n int, _ string) string { return test.script(n) })
		first := server
		if test.moved {
			first = startFakeServer(t, func(n int, _ string) string { return "silence" })
		}
		versions := make(chan uint64, 99)
		var watcher *discovery.Watcher
		var watchOnce sync.Once // once only: after the test the closed fake server would refuse watch after watch without a pause
		watcher = discovery.New(first.Addr().String(), map[string]int{"here": 0}, 41, test.interval, test.sidecars, 1<<20, 7, func(l *discovery.List) {
			switch {
			case l == nil && !test.moved:
				watchOnce.Do(func() { go watcher.Watch() })
			case l != nil:
				versions <- l.Version
			}
		}, &counters.Set{}, zerolog.Nop())
		if watcher.Watch(); test.moved {
			first.waitForRequests(1)
			watcher.SetAddress(server.Addr().String())
		}
		late := time.After(20 * time.Second)
		for version := uint64(0); version != test.want; {
			select {
			case version = <-versions:
			case <-late:
				t.Fatalf("%s: nothing reported after %d calls", test.name, server.requestCount())
			}
		}
		tr.add("%s: reported %d", test.name, test.want)
	}
	tr.compare(t, `
moved, two calls silent: reported 3
busy, for many: reported 43
`)
}
