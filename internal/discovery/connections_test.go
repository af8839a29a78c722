package discovery_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"ledgespread/internal/counters"
	"ledgespread/internal/discovery"
)

// Two calls beside each other left two idle connections. When all connections fell silent, the call after the silence
// went out on one of those, which was as silent, and got no answer. Only a call that directly follows an answer may use
// a connection again, and only that of the answer.
func TestCallAfterSilenceUsesNewConnection(t *testing.T) {
	const checkAfter = 500 * time.Millisecond // until another call is made beside one that follows a silence
	var got []string
	calls := make(chan string, 99)
	var mu sync.Mutex
	connections := map[string]int{}
	silence := make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		n, reused := connections[r.RemoteAddr]
		if !reused {
			n = len(connections)
		}
		connections[r.RemoteAddr] = n
		calls <- fmt.Sprintf("hold %v on connection %d", r.URL.Query().Get("hold_ms") != "0", n)
		number := len(calls)
		mu.Unlock()
		switch number {
		case 3: // after the first silence: answered so late that another call is made beside it
			time.Sleep(checkAfter * 5 / 4)
		case 2, 5, 6:
			<-silence
		}
		io.WriteString(w, `{"seq":8,"whole":false,"hosts":[]}`)
	})}
	go server.Serve(listener)
	defer server.Close()
	defer close(silence)
	watcher := discovery.New(listener.Addr().String(), nil, 8, 1e6, 1, 1<<20, 7, func(*discovery.List) {}, &counters.Set{}, zerolog.Nop())
	defer watcher.Close()
	watcher.Watch()
	for end := time.Now().Add(20 * time.Second); len(calls) < 7 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	for range min(len(calls), 7) {
		got = append(got, <-calls)
	}
	if diff := cmp.Diff([]string{
		"hold false on connection 0",
		"hold true on connection 0", // silent
		"hold false on connection 1",
		"hold false on connection 2",
		"hold true on connection 2",  // silent
		"hold false on connection 3", // silent, too
		"hold false on connection 4",
	}, got); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
}

// startWatcher starts a watcher of a simulated service, in virtual time. received is the version received last.
func startWatcher(sidecars int, seed uint64) (service *simulatedService, watcher *discovery.Watcher, received *atomic.Int64) {
	service, received = newSimulatedService(), &atomic.Int64{}
	service.onWritten = func(receivedCall, *listAnswer) {}
	service.onProcessed = func(receivedCall) {}
	watcher = discovery.New("a0", map[string]int{"here": 0}, 0, 10e6, sidecars, 1<<20, seed, func(l *discovery.List) {
		if l != nil {
			received.Store(int64(l.Version))
		}
	}, &counters.Set{}, zerolog.Nop())
	watcher.SetDial(service.dial)
	watcher.Watch()
	return service, watcher, received
}

// A connection request that is lost shows nothing about the service. Two in a row used to cost 3 s each, and each
// counted as contact with a service that is down, so that the next call was not urgent: the sidecar received a change
// over 6 s late.
func TestLostConnectionRequests(t *testing.T) {
	for _, sidecars := range []int{3, 300} {
		for seed := range uint64(20) {
			synctest.Test(t, func(t *testing.T) {
				service, watcher, received := startWatcher(sidecars, seed)
				time.Sleep(time.Second)
				want := 0
				service.withLock(func() {
					service.lostDials, service.latency = 2, 300*time.Millisecond
					service.set(serverState{Host: "s0", Dial: "127.0.0.1:1000", Site: "here", Health: "in_service", Share: 1})
				})
				time.Sleep(time.Millisecond) // the first change is received, and the next call's connection request is lost
				service.withLock(func() {
					service.set(serverState{Host: "s0", Dial: "127.0.0.1:1000", Site: "here", Health: "terminating", Share: 1})
					want = service.version
				})
				time.Sleep(deliveryTimeout)
				if got := int(received.Load()); got != want {
					t.Errorf("%d sidecars, seed %d: received version %d, want %d", sidecars, seed, got, want)
				}
				watcher.Close()
				service.close()
				time.Sleep(2 * time.Hour)
			})
		}
	}
}

// If the connection requests to a new address get no answer, the sidecar goes on asking there: what was known there
// counts as received soon after the move.
func TestLostConnectionRequestsAtNewAddress(t *testing.T) {
	const receivedWithin = 4 * time.Second // of the move
	for _, sidecars := range []int{1, 3, 300} {
		synctest.Test(t, func(t *testing.T) {
			service, watcher, received := startWatcher(sidecars, 7)
			time.Sleep(time.Second)
			want := 0
			service.withLock(func() {
				service.lostDials = 2
				service.silence()
				service.set(serverState{Host: "s0", Dial: "127.0.0.1:1000", Site: "here", Health: "terminating", Share: 1})
				want = service.version
			})
			watcher.SetAddress("a1")
			time.Sleep(receivedWithin)
			if got := int(received.Load()); got != want {
				t.Errorf("%d sidecars: received version %d, want %d", sidecars, got, want)
			}
			watcher.Close()
			service.close()
			time.Sleep(2 * time.Hour)
		})
	}
}
