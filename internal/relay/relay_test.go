package relay

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"ledgespread/internal/counters"
	"ledgespread/internal/discovery"
	"ledgespread/internal/exchange"
	"ledgespread/internal/memory"
	"ledgespread/internal/outbound"
	"ledgespread/internal/site"
)

const smallConfiguration = `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"a1","limits":{"cores":1,"memory_mb":64,
	"sockets":64},"known":{"seq":7,"whole":true,"hosts":[]},"settings":{"my_zone":0,"azs":["here"],"discovery":"on_request",
	"step_us":1000,"path_prefixes":[{"name":"look","effect":"read_like","group":"all","target_latency_us":400000,
	"client_timeout_us":800000,"memory_span_us":500000,"value":1,"late_value":0}],"allowed":{"max_backend_fetches":5,
	"conn_idle_us":10000000,"connect_timeout_us":100000,"multiplex":1},"obligations":{"cold_from":0.3,"cold_us":8000000,
	"fall_multiple":3,"fall_us":1500000,"ask_every_us":10000000}}}`

// newSmallRelay returns a relay with smallConfiguration, which does not run yet, and its counters.
func newSmallRelay(t *testing.T, log zerolog.Logger) (*Relay, *counters.Set) {
	t.Helper()
	manifest, err := site.Parse([]byte(smallConfiguration))
	if err != nil {
		t.Fatal(err)
	}
	counts := &counters.Set{}
	r, err := New(manifest, 9, outbound.New(1, 1, 9, memory.New(1), nil, counts, zerolog.Nop()), nil, counts, log)
	if err != nil {
		t.Fatal(err)
	}
	return r, counts
}

// A load report is ignored if its attempt began while other report fields were configured; other changes of
// settings invalidate no report.
func TestReportsAfterFieldChange(t *testing.T) {
	counts := &counters.Set{}
	withFields := func(fields string) *site.Manifest {
		manifest, err := site.Parse([]byte(strings.Replace(smallConfiguration, `"allowed"`, `"telemetry":{"how":"inline","fields":[`+fields+`]},"allowed"`, 1)))
		if err != nil {
			t.Fatal(err)
		}
		return manifest
	}
	manifest := withFields(`"concurrent"`)
	r, err := New(manifest, 9, outbound.New(1, 1, 9, memory.New(1), manifest.LoadFields(), counts, zerolog.Nop()), nil, counts, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	go r.Run()
	before := &attempt{requestedAt: time.Now()}
	if r.Retune(withFields(`"concurrent"`)) != nil || r.usableReport(before, []float64{3}) == nil {
		t.Error("same fields: a report was ignored")
	}
	if r.Retune(withFields(`"tps","concurrent"`)) != nil || r.usableReport(before, []float64{3}) != nil {
		t.Error("other fields: a report with the old fields was used")
	}
	if r.usableReport(&attempt{requestedAt: time.Now()}, []float64{9, 3}) == nil || r.usableReport(nil, nil) != nil {
		t.Error("a report with the new fields was ignored")
	}
}

// A list is applied before queued events, however many there are.
func TestListBeforeQueuedEvents(t *testing.T) {
	relay, _ := newSmallRelay(t, zerolog.Nop())
	list, err := discovery.Read([]byte(`{"seq":8,"whole":true,"hosts":[]}`), nil)
	if err != nil {
		t.Fatal(err)
	}
	eventsBefore := make(chan int, 1)
	handled, reported := 0, false
	var event func()
	event = func() {
		time.Sleep(time.Millisecond)
		if handled++; relay.listReceived && !reported {
			reported = true
			eventsBefore <- handled
		}
		if !reported {
			go relay.post(event)
		}
	}
	for range cap(relay.events) {
		relay.post(event)
	}
	go relay.receiveList(list)
	go relay.Run()
	if n := <-eventsBefore; n > cap(relay.events)/2 {
		t.Errorf("the list was applied after %d events, %d were queued", n, cap(relay.events))
	}
}

// During an outage the line "retry denied" was logged hundreds of times a second. Such a line is logged at
// once, and its repeats once a second with their number.
func TestRepeatsAreLoggedOnceASecond(t *testing.T) {
	var log strings.Builder
	r, _ := newSmallRelay(t, zerolog.New(&log))
	for range 5 {
		r.Print("retry denied")
		r.Print("another line")
	}
	for range 3 {
		r.now += repeatInterval
		r.runDue()
	}
	r.Print("retry denied")
	want := `{"level":"info","message":"retry denied"}
{"level":"info","message":"another line"}
{"level":"info","times":4,"message":"retry denied"}
{"level":"info","times":4,"message":"another line"}
{"level":"info","message":"retry denied"}
`
	if diff := cmp.Diff(want, log.String()); diff != "" {
		t.Errorf("mismatch (-want +got):\n%s", diff)
	}
}

// The last byte of an attempt is limited by the keys of the request's other attempts that may have run, later ones
// included: only the earlier ones counted, and only for the first byte.
func TestLastByteLimits(t *testing.T) {
	began := time.Now()
	ranNever, mayHaveRun, later := &attempt{requestedAt: began, neverRan: true}, &attempt{requestedAt: began.Add(time.Second)}, &attempt{requestedAt: began.Add(3 * time.Second)}
	attempts := []*attempt{ranNever, mayHaveRun, nil, later}
	for _, test := range []struct {
		keyWindow time.Duration
		attempts  []*attempt
		want      string // for each attempt and the next one, in seconds
	}{
		{10 * time.Second, attempts, "11 13 11 11 11"},
		{10 * time.Second, attempts[:2], "11 none 11"},
		{10 * time.Second, attempts[:1], "none none"},
		{0, attempts, "none none none none none"},
	} {
		keyed := &request{class: &class{keyWindow: test.keyWindow}, attempts: test.attempts}
		var got []string
		for number := range len(test.attempts) + 1 {
			limit := "none"
			if by := keyed.lastByteBy(number); !by.IsZero() {
				limit = fmt.Sprint(by.Sub(began).Seconds())
			}
			got = append(got, limit)
		}
		if diff := cmp.Diff(test.want, strings.Join(got, " ")); diff != "" {
			t.Errorf("window %v (-want +got):\n%s", test.keyWindow, diff)
		}
	}
}

// A request that is open although its deadline and all timers up to it have passed is a fault, and it is ended.
func TestForgottenRequestIsFault(t *testing.T) {
	var log strings.Builder
	r, counts := newSmallRelay(t, zerolog.New(&log).Level(zerolog.ErrorLevel))
	forgotten := exchange.New()
	forgotten.ID = 7
	r.requests[7] = &request{exchange: forgotten, class: &class{}, deadline: r.now}
	r.openCount = 1
	r.RequestTimedOut(forgotten)
	r.runTurn(<-r.events)
	r.runTurn(r.runDue)
	got := fmt.Sprintf("faults %d, open %d, requests %d\n%s", counts[counters.Faults].Load(), r.openCount, len(r.requests), log.String())
	want := "faults 1, open 0, requests 0\n" + `{"level":"error","message":"request not ended at its client timeout"}` + "\n"
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("mismatch (-want +got):\n%s", diff)
	}
}
