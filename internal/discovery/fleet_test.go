package discovery_test

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"ledgespread/internal/counters"
	"ledgespread/internal/discovery"
)

// queueingService is a discovery service that works through calls one after another, in virtual time. It rejects a
// call that would wait for longer than maxQueueDelay.
type queueingService struct {
	work time.Duration // for each call

	lock        chan struct{} // see simulatedService
	version     int
	madeAt      map[int]time.Time
	nextVersion chan struct{}
	freeAt      time.Time
	silenced    time.Time // connections that were opened before are silent
	calls       int
	received    []int // by sidecar: the version that it was sent last
	maxDelay    time.Duration
	late        int // versions that reached a sidecar after deliveryTimeout
}

func (s *queueingService) withLock(do func()) {
	s.lock <- struct{}{}
	defer func() { <-s.lock }()
	do()
}

// change makes a new version.
func (s *queueingService) change() {
	s.withLock(func() {
		s.version++
		s.madeAt[s.version] = time.Now()
		close(s.nextVersion)
		s.nextVersion = make(chan struct{})
	})
}

// dialAs returns the function by which a sidecar connects.
func (s *queueingService) dialAs(sidecar int) discovery.Dial {
	return func(string, time.Duration) (net.Conn, error) {
		near, far := connect()
		go s.serve(sidecar, far, time.Now())
		return near, nil
	}
}

func (s *queueingService) serve(sidecar int, conn memoryConn, began time.Time) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	from, _ := strconv.Atoi(request.URL.Query().Get("from"))
	milliseconds, _ := strconv.Atoi(request.URL.Query().Get("hold_ms"))
	var handledAt time.Time
	rejects := false
	s.withLock(func() {
		s.calls++
		handledAt = s.freeAt
		if handledAt.Before(began) {
			handledAt = began
		}
		handledAt = handledAt.Add(s.work)
		if rejects = handledAt.Sub(began) > maxQueueDelay; !rejects {
			s.freeAt = handledAt
		}
	})
	if rejects {
		io.WriteString(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return
	}
	time.Sleep(time.Until(handledAt))
	s.hold(from, began.Add(time.Duration(milliseconds)*time.Millisecond))
	answer, silent := "", false
	s.withLock(func() {
		silent = began.Before(s.silenced)
		if !silent {
			s.recordDelivery(sidecar)
		}
		answer = fmt.Sprintf(`{"seq":%d,"whole":false,"hosts":[{"host":"s","dial":"127.0.0.1:9","site":"here","class":"m","block":0,`+
			`"health":"in_service","share":1,"born_ms":%d}]}`, s.version, s.version)
		if from == s.version {
			answer = fmt.Sprintf(`{"seq":%d,"whole":false,"hosts":[]}`, s.version)
		}
	})
	if silent {
		time.Sleep(time.Minute)
		return
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
}

// recordDelivery records that a sidecar is sent the newest version.
func (s *queueingService) recordDelivery(sidecar int) {
	for version := s.received[sidecar] + 1; version <= s.version; version++ {
		if made, changed := s.madeAt[version]; changed {
			delay := time.Since(made)
			s.maxDelay = max(s.maxDelay, delay)
			if delay > deliveryTimeout {
				s.late++
			}
		}
	}
	s.received[sidecar] = s.version
}

// hold waits until there is a newer version than from, or the hold is over.
func (s *queueingService) hold(from int, end time.Time) {
	for time.Now().Before(end) {
		var nextVersion chan struct{}
		s.withLock(func() {
			if s.version == from {
				nextVersion = s.nextVersion
			}
		})
		if nextVersion == nil {
			return
		}
		select {
		case <-nextVersion:
		case <-time.After(time.Until(end)):
		}
	}
}

// fleetResult says how a fleet follows the list.
type fleetResult struct {
	quietRate float64       // calls per second while nothing happens
	maxDelay  time.Duration // of a change
	late      float64       // share of deliveries after deliveryTimeout
}

// delays returns the longest delay of a change and the share of late deliveries. A change that was not received counts
// as late. The caller holds the lock.
func (s *queueingService) delays(changes int) (longest time.Duration, late float64) {
	longest = s.maxDelay.Round(10 * time.Millisecond)
	missing := 0
	for _, version := range s.received {
		missing += s.version - version
	}
	if missing > 0 {
		longest = time.Minute
	}
	return longest, float64(s.late+missing) / float64(changes*len(s.received))
}

// runFleet starts sidecars before a service that takes workForAll for one call of each. After a quiet time all open
// connections fall silent, if silence is set, and three changes follow.
func runFleet(t *testing.T, sidecars int, workForAll time.Duration, silence bool) (result fleetResult) {
	synctest.Test(t, func(t *testing.T) {
		const (
			changes   = 3
			quietTime = 12 * time.Second
		)
		s := &queueingService{work: workForAll / time.Duration(sidecars), lock: make(chan struct{}, 1), version: 8, madeAt: map[int]time.Time{},
			nextVersion: make(chan struct{}), received: make([]int, sidecars)}
		random := rand.New(rand.NewPCG(uint64(sidecars), 83))
		startSpread := min(time.Duration(sidecars-1)*50*time.Millisecond, 2500*time.Millisecond)
		var watchers []*discovery.Watcher
		for i := range sidecars {
			var w *discovery.Watcher
			w = discovery.New("a", map[string]int{"here": 0}, 7, 10e6, sidecars, 1<<20, uint64(i), func(l *discovery.List) {
				if l == nil && sidecars == 1 {
					time.AfterFunc(time.Second, w.Watch)
				}
			}, &counters.Set{}, zerolog.Nop())
			w.SetDial(s.dialAs(i))
			watchers = append(watchers, w)
			time.AfterFunc(time.Duration(random.Float64()*float64(startSpread)), w.Watch)
		}
		time.Sleep(30 * time.Second)
		before := 0
		s.withLock(func() { before = s.calls })
		time.Sleep(quietTime)
		s.withLock(func() {
			result.quietRate = float64(s.calls-before) / quietTime.Seconds()
			if silence {
				s.silenced = time.Now()
			}
		})
		for range changes {
			time.Sleep(500 * time.Millisecond)
			s.change()
		}
		time.Sleep(40 * time.Second)
		s.withLock(func() { result.maxDelay, result.late = s.delays(changes) })
		for _, w := range watchers {
			w.Close()
		}
		time.Sleep(5 * time.Minute)
	})
	return result
}

var fleetTable = flag.Bool("fleet-table", false, "play larger fleets and slower services too, and print how they follow the list")

// feasibleWork is how long a service may take for one call of each sidecar so that every change is received in time,
// also after a silence, when each sidecar makes two calls, and while three changes are made.
const feasibleWork = 1500 * time.Millisecond

// Every sidecar of a fleet receives every change within the protocol's deadline, also if all open connections fall
// silent just before, wherever the service is fast enough. While nothing happens each sidecar makes one call per hold.
func TestFleetReceivesChangesInTime(t *testing.T) {
	fleets, works := []int{3, 30, 300}, []time.Duration{300 * time.Millisecond, feasibleWork}
	if *fleetTable {
		fleets, works = append(fleets, 900), append(works, 2*time.Second, 3*time.Second, 4*time.Second, 6*time.Second)
	}
	for _, sidecars := range fleets {
		for _, work := range works {
			quiet, silent := runFleet(t, sidecars, work, false), runFleet(t, sidecars, work, true)
			t.Logf("| %d | %.1f s | %.1f | %.1f s, %.1f%% | %.1f s, %.1f%% |", sidecars, work.Seconds(), quiet.quietRate, quiet.maxDelay.Seconds(), 100*quiet.late,
				silent.maxDelay.Seconds(), 100*silent.late)
			if work > feasibleWork {
				continue
			}
			if quiet.late > 0 || silent.late > 0 {
				t.Errorf("%d sidecars, %v for all: changes received after up to %v and, with a silence, %v", sidecars, work, quiet.maxDelay, silent.maxDelay)
			}
			if limit := float64(sidecars) / 3; quiet.quietRate > limit {
				t.Errorf("%d sidecars, %v for all: %.1f calls/s, limit %.1f", sidecars, work, quiet.quietRate, limit)
			}
		}
	}
}
