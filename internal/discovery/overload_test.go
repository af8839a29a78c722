package discovery_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"ledgespread/internal/counters"
	"ledgespread/internal/memory"
	"ledgespread/internal/outbound"
	"ledgespread/internal/relay"
	"ledgespread/internal/site"
)

const (
	deliveryTimeout = 6 * time.Second        // protocol deadline for a change to reach a sidecar while the service is reachable
	maxQueueDelay   = 2 * time.Second        // the service rejects a call that would wait longer in its queue
	continuationGap = 200 * time.Millisecond // a call within that time after an answer continues its watch
)

// slowService simulates a discovery service that handles calls one after another, each of which takes time,
// and rejects calls when its queue is full. It listens at a separate address for each sidecar to tell the
// sidecars apart.
type slowService struct {
	startCost    time.Duration // of one start of a watch by every sidecar together; a call for the whole list costs half as much again
	continueCost time.Duration // of one further call of every sidecar together
	clients      []clientState

	mu            sync.Mutex
	latestVersion int
	madeAt        []time.Time   // by version: when it was made, or became reachable again
	idleAt        time.Time     // when the queue will be empty
	fault         string        // "refuses": rejects new calls and breaks held ones; "hangs": never answers either
	changed       chan struct{} // closed with each change

	begun                           time.Time
	callsBySecond                   map[int]int
	calls, rejected, unheld         int
	maxDelay                        time.Duration // of any change on its way to any sidecar
	maxDelayClient, maxDelayVersion int           // the sidecar and the version of that change
	stalled                         time.Duration
	stop                            chan struct{}
}

// clientState is what the service knows of one sidecar.
type clientState struct {
	knownVersion int       // that it was sent last
	answered     time.Time // when its last call was answered
	heldAt       int       // version at which a call of it was held last
}

func newSlowService(t *testing.T, sidecars int, startCost, continueCost time.Duration) (s *slowService, addresses []string) {
	t.Helper()
	s = &slowService{startCost: startCost, continueCost: continueCost, clients: make([]clientState, sidecars), changed: make(chan struct{}),
		begun: time.Now(), callsBySecond: map[int]int{}, stop: make(chan struct{})}
	for range 8 {
		s.madeAt = append(s.madeAt, s.begun)
	}
	s.latestVersion = len(s.madeAt) - 1
	for i := range sidecars {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(i, w, r) })}
		t.Cleanup(func() { server.Close() })
		go server.Serve(listener)
		addresses = append(addresses, listener.Addr().String())
	}
	t.Cleanup(func() { close(s.stop) })
	go s.measureStalls()
	return s, addresses
}

// measureStalls adds up the scheduling delays of the machine: a sidecar that gets no CPU time cannot receive
// a change in time.
func (s *slowService) measureStalls() {
	const interval, tolerance = 5 * time.Millisecond, 20 * time.Millisecond
	for {
		select {
		case <-s.stop:
			return
		default:
		}
		from := time.Now()
		time.Sleep(interval)
		if late := time.Since(from) - interval; late > tolerance {
			s.mu.Lock()
			s.stalled += late
			s.mu.Unlock()
		}
	}
}

func (s *slowService) serve(i int, w http.ResponseWriter, r *http.Request) {
	from, holdMillis := -1, 0
	fmt.Sscan(r.URL.Query().Get("from"), &from)
	fmt.Sscan(r.URL.Query().Get("hold_ms"), &holdMillis)
	began := time.Now()
	s.mu.Lock()
	client := &s.clients[i]
	s.calls++
	s.callsBySecond[int(began.Sub(s.begun)/time.Second)]++
	if holdMillis == 0 {
		s.unheld++
	}
	cost := s.startCost
	switch {
	case from < 0:
		cost += cost / 2
	case from >= client.knownVersion && began.Sub(client.answered) < continuationGap:
		cost = s.continueCost
	}
	cost /= time.Duration(len(s.clients))
	handledAt := s.idleAt
	if handledAt.Before(began) {
		handledAt = began
	}
	handledAt = handledAt.Add(cost)
	hold := time.Duration(holdMillis) * time.Millisecond
	if s.fault == "hangs" {
		s.mu.Unlock()
		<-r.Context().Done()
		return
	}
	if s.fault != "" || handledAt.Sub(began) > maxQueueDelay {
		s.rejected++
		s.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.idleAt = handledAt
	s.mu.Unlock()
	time.Sleep(time.Until(handledAt))
	holdOver := time.NewTimer(time.Until(began.Add(hold)))
	defer holdOver.Stop()
	s.mu.Lock()
	for waiting := holdMillis > 0; waiting && from >= s.latestVersion && s.fault == ""; {
		changed := s.changed
		client.heldAt = s.latestVersion
		s.mu.Unlock()
		select {
		case <-changed:
		case <-holdOver.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		s.mu.Lock()
	}
	switch s.fault {
	case "refuses":
		s.mu.Unlock()
		panic(http.ErrAbortHandler) // resets the connection
	case "hangs":
		s.mu.Unlock()
		<-r.Context().Done()
		return
	}
	for version := client.knownVersion + 1; version <= s.latestVersion; version++ {
		if delay := time.Since(s.madeAt[version]); delay > s.maxDelay {
			s.maxDelay, s.maxDelayClient, s.maxDelayVersion = delay, i, version
		}
	}
	client.knownVersion, client.answered = s.latestVersion, time.Now()
	text := fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[{"host":"s","dial":"127.0.0.1:9","site":"here","class":"m","block":0,`+
		`"health":"in_service","share":1,"born_ms":%d}]}`, s.latestVersion, from < 0, s.latestVersion)
	if from == s.latestVersion {
		text = fmt.Sprintf(`{"seq":%d,"whole":false,"hosts":[]}`, s.latestVersion)
	}
	s.mu.Unlock()
	io.WriteString(w, text)
}

// change makes a new version.
func (s *slowService) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latestVersion++
	s.madeAt = append(s.madeAt, time.Now())
	close(s.changed)
	s.changed = make(chan struct{})
}

// setFault starts a fault, or ends it if kind is empty. The deadlines for all versions count from now on.
func (s *slowService) setFault(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = kind
	for version := range s.madeAt {
		s.madeAt[version] = time.Now()
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// counts returns how many calls were made, how many of them were rejected, and how many had no hold.
func (s *slowService) counts() (calls, rejected, unheld int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.rejected, s.unheld
}

// notWatching returns the number of sidecars that have not had a call held since the newest version was made.
func (s *slowService) notWatching() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, client := range s.clients {
		if client.heldAt < s.latestVersion {
			n++
		}
	}
	return n
}

// awaitWatches waits until all sidecars watch or the timeout is over, and returns how many do not watch.
func (s *slowService) awaitWatches(timeout time.Duration) (left int) {
	for end := time.Now().Add(timeout); ; time.Sleep(10 * time.Millisecond) {
		if left = s.notWatching(); left == 0 || time.Now().After(end) {
			return left
		}
	}
}

// startSidecars starts a sidecar for each address of discovery, without the listeners for client requests.
func startSidecars(t *testing.T, addresses []string) {
	t.Helper()
	for i, discovery := range addresses {
		text := fmt.Sprintf(`{"name":"n%d","listen":"127.0.0.1:0","discovery":"%s","seed":"a%d","limits":{"cores":1,"memory_mb":64,"sockets":64},
			"known":{"seq":7,"whole":true,"hosts":[]},"settings":{"balancers":%d,"me":%d,"my_zone":0,"azs":["here"],"discovery":"on_request",
			"step_us":1000,"path_prefixes":[{"name":"look","effect":"read_like","group":"all","target_latency_us":400000,
			"client_timeout_us":800000,"memory_span_us":500000,"value":1,"late_value":0}],"allowed":{"max_backend_fetches":5,
			"conn_idle_us":10000000,"connect_timeout_us":100000,"cancel":true,"multiplex":1},"obligations":{"cold_from":0.3,
			"cold_us":8000000,"fall_multiple":3,"fall_us":1500000,"ask_every_us":10000000}}}`, i, discovery, i, len(addresses), i)
		manifest, err := site.Parse([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		counts := &counters.Set{}
		r, err := relay.New(manifest, 9, outbound.New(1e6, 1e6, 9, memory.New(4<<20), nil, counts, zerolog.Nop()), nil, counts, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		go r.Run()
	}
}

// A service that needs seconds for one call of each sidecar, and rejects calls when its queue is full, is
// overloaded when all sidecars start at once, and after it has rejected all calls, or answered none, for a
// while. The sidecars must return to watches, which cost it little, without intervention. Each must receive
// each change in time. Once all of them watch, no call may be rejected, and none may be made without a hold.
// While calls are rejected, their rate must hardly grow with the number of sidecars.
func TestOverloadedService(t *testing.T) {
	slow, half := 4*time.Second, 2*time.Second
	for _, test := range []struct {
		sidecars                int
		startCost, continueCost time.Duration
		fault                   string
	}{{5, slow, 0, "refuses"}, {32, slow, 0, "refuses"}, {300, slow, 0, "refuses"}, {32, half, half, "refuses"}, {300, half, half, "refuses"},
		{32, half, 0, "hangs"}, {300, slow, 0, "hangs"}, {32, half, half, "hangs"}, {300, half, half, "hangs"}} {
		t.Run(fmt.Sprintf("%s, %d sidecars, %v for all, %v to go on", test.fault, test.sidecars, test.startCost, test.continueCost), func(t *testing.T) {
			t.Parallel()
			service, addresses := newSlowService(t, test.sidecars, test.startCost, test.continueCost)
			startSidecars(t, addresses)
			var got []string
			add := func(format string, args ...any) { got = append(got, fmt.Sprintf(format, args...)) }
			add("after the start: %d not watching", service.awaitWatches(25*time.Second))
			service.setFault(test.fault)
			time.Sleep(deliveryTimeout / 2)
			service.change()
			before, _, _ := service.counts()
			time.Sleep(deliveryTimeout / 2)
			calls, _, _ := service.counts()
			rate := float64(calls-before) / (deliveryTimeout / 2).Seconds()
			add("while it %s: too many calls: %v", test.fault, rate > 1.5*min(4*float64(test.sidecars), max(100, float64(test.sidecars)/1.5)))
			service.setFault("")
			back := time.Now()
			for range 4 { // changes while the sidecars return
				time.Sleep(deliveryTimeout / 4)
				service.change()
			}
			add("after that: %d not watching", service.awaitWatches(25*time.Second))
			recovery := time.Since(back)
			calls, rejected, unheld := service.counts()
			time.Sleep(deliveryTimeout)
			lastCalls, lastRejected, lastUnheld := service.counts()
			add("from then on: %d rejected, %d not held", lastRejected-rejected, lastUnheld-unheld)
			service.mu.Lock()
			maxPerSecond := 0
			for _, n := range service.callsBySecond {
				maxPerSecond = max(maxPerSecond, n)
			}
			span := time.Since(service.begun).Seconds()
			t.Logf("all sidecars watch %v after the fault ended; %d calls in %.0f s, %.1f/s, at most %d in one second, %.0f/s while it %s, %.1f/s in the end; %d rejected, %d not held",
				recovery.Round(10*time.Millisecond), lastCalls, span, float64(lastCalls)/span, maxPerSecond, rate, test.fault,
				float64(lastCalls-calls)/deliveryTimeout.Seconds(), lastRejected, lastUnheld)
			t.Logf("longest delay of a change %v (sidecar %d, version %d); scheduling delays of the machine %v", service.maxDelay.Round(10*time.Millisecond),
				service.maxDelayClient, service.maxDelayVersion, service.stalled.Round(time.Millisecond))
			add("each change received in time: %v", service.maxDelay <= deliveryTimeout+service.stalled)
			service.mu.Unlock()
			want := strings.Split(fmt.Sprintf(`after the start: 0 not watching
while it %s: too many calls: false
after that: 0 not watching
from then on: 0 rejected, 0 not held
each change received in time: true`, test.fault), "\n")
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("-want +got:\n%s", diff)
			}
		})
	}
}
