package discovery_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"ledgespread/internal/counters"
	"ledgespread/internal/discovery"
)

// agentBehavior says how a slowAgent handles calls.
type agentBehavior struct {
	latency     time.Duration
	early       bool // an answer has the list as it was when its call arrived or, if the call is held, when its hold ended
	inTurn      bool // calls are handled one after another
	dropsEnded  bool // a call is dropped once its sidecar has ended its sending
	losesFirst  int  // so many calls get no answer
	losesSecond bool // every second call gets no answer
}

// slowAgent is the agent of a pushed list that takes time for each call, in virtual time. Its connections can fall silent
// at one moment.
type slowAgent struct {
	agentBehavior

	lock      chan struct{} // a mutex as a channel: synctest advances time while goroutines wait for it; protects the fields below
	turn      chan struct{} // held by the call that is handled, if calls are handled in turn
	version   int
	silenced  time.Time // connections that were opened before get no answer any more
	began     []time.Time
	open, max int // connections that the sidecar has open
}

// agentConnection is the sidecar's end of a connection to a slowAgent.
type agentConnection struct {
	memoryConn
	agent *slowAgent
	once  sync.Once
}

func (c *agentConnection) Close() error {
	c.once.Do(func() { c.agent.withLock(func() { c.agent.open-- }) })
	return c.memoryConn.Close()
}

func newSlowAgent(behavior agentBehavior) *slowAgent {
	return &slowAgent{agentBehavior: behavior, lock: make(chan struct{}, 1), turn: make(chan struct{}, 1), version: 2}
}

func (a *slowAgent) withLock(do func()) {
	a.lock <- struct{}{}
	defer func() { <-a.lock }()
	do()
}

func (a *slowAgent) currentVersion() (version int) {
	a.withLock(func() { version = a.version })
	return version
}

func (a *slowAgent) dial(string, time.Duration) (net.Conn, error) {
	near, far := connect()
	a.withLock(func() {
		a.open++
		a.max = max(a.max, a.open)
	})
	go a.serve(far, time.Now())
	return &agentConnection{memoryConn: near, agent: a}, nil
}

// serve answers the one call of a connection. It returns when the sidecar has closed the connection.
func (a *slowAgent) serve(conn memoryConn, opened time.Time) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	ended := make(chan struct{}) // the sidecar has ended its sending
	go func() {
		io.Copy(io.Discard, reader)
		close(ended)
	}()
	answer := a.handle(request, ended)
	silent := false
	a.withLock(func() { silent = opened.Before(a.silenced) })
	if answer == "" || silent {
		<-ended
		return
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(answer), answer)
}

// handle returns the answer to a call; empty: there is none.
func (a *slowAgent) handle(request *http.Request, ended chan struct{}) (answer string) {
	from, err := strconv.Atoi(request.URL.Query().Get("from"))
	if err != nil {
		from = -1
	}
	hold, _ := strconv.Atoi(request.URL.Query().Get("hold_ms"))
	number := 0
	a.withLock(func() {
		a.began = append(a.began, time.Now())
		number = len(a.began)
	})
	if number <= a.losesFirst || a.losesSecond && number%2 == 0 {
		return ""
	}
	version := a.hold(from, time.Duration(hold)*time.Millisecond)
	if a.inTurn {
		a.turn <- struct{}{}
		defer func() { <-a.turn }()
	}
	select {
	case <-time.After(a.latency):
	case <-a.droppedAt(ended):
		return ""
	}
	if !a.early {
		version = a.currentVersion()
	}
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[]}`, version, from < version)
}

// droppedAt returns the channel that is closed when a call is dropped.
func (a *slowAgent) droppedAt(ended chan struct{}) chan struct{} {
	if a.dropsEnded {
		return ended
	}
	return nil
}

// hold waits until there is a newer version than from, or the hold is over, and returns the version then.
func (a *slowAgent) hold(from int, hold time.Duration) (version int) {
	const interval = 5 * time.Millisecond
	for end := time.Now().Add(hold); ; time.Sleep(interval) {
		if version = a.currentVersion(); version > from || !time.Now().Before(end) {
			return version
		}
	}
}

// callRate returns the calls in a second between two moments.
func (a *slowAgent) callRate(from, to time.Time) (rate float64) {
	a.withLock(func() {
		for _, began := range a.began {
			if began.After(from) && !began.After(to) {
				rate++
			}
		}
	})
	return rate / to.Sub(from).Seconds()
}

// watchAgent starts the watch of a pushed list at an agent. received is the version that was received last, and when. The
// log of the watch is in log.
func watchAgent(agent *slowAgent, log *strings.Builder) (watcher *discovery.Watcher, received *atomic.Int64) {
	received = &atomic.Int64{}
	received.Store(1)
	watcher = discovery.New("a0", map[string]int{"here": 0}, 1, 10e6, 1, 1<<20, 7, func(l *discovery.List) {
		if l != nil {
			received.Store(int64(l.Version))
		}
	}, &counters.Set{}, zerolog.New(zerolog.SyncWriter(log)))
	watcher.SetDial(agent.dial)
	watcher.WatchPushed(500_000)
	return watcher, received
}

// The agents of TestSlowAgentIsHeard, by name.
var slowAgents = []struct {
	name string
	agentBehavior
}{
	{"answers", agentBehavior{}},
	{"answers as of the call's arrival", agentBehavior{early: true}},
	{"handles calls in turn", agentBehavior{inTurn: true}},
	{"drops calls whose sidecar has ended its sending", agentBehavior{dropsEnded: true}},
	{"handles calls in turn, and drops those", agentBehavior{inTurn: true, dropsEnded: true}},
	{"loses the first call", agentBehavior{losesFirst: 1}},
	{"loses two calls, and answers as of the call's arrival", agentBehavior{losesFirst: 2, early: true}},
	{"loses every second call, and answers as of the call's arrival", agentBehavior{losesSecond: true, early: true}},
}

// maxLatencyInTurn is how long an agent that handles calls in turn may take for one, so that it has time for those that
// follow a silence: it still handles the calls whose answers are lost.
const maxLatencyInTurn = time.Second

// agentLatencies are the times that an agent takes for a call. The last one is just within the time for which a call is
// waited for.
var agentLatencies = []time.Duration{0, 300 * time.Millisecond, time.Second, 2 * time.Second, 2500 * time.Millisecond, 2950 * time.Millisecond}

// A sidecar that was started while a server drained sent to it for 12 s: its agent took 2.5 s for each call, and each call
// was closed after 2 s for a newer one. What an agent has must be in force in time after a start, and after a change at any
// moment, whatever time up to 3 s it takes, if single calls or all that are open get no answer, too.
func TestSlowAgentIsHeard(t *testing.T) {
	for _, behavior := range slowAgents {
		t.Run(behavior.name, func(t *testing.T) {
			t.Parallel()
			for _, latency := range agentLatencies {
				behavior.latency = latency
				silences := !behavior.inTurn || latency <= maxLatencyInTurn
				for moment := range agentMoments {
					changeAt := agentQuietTime + time.Duration(moment)*agentMomentStep
					playAgent(t, behavior.agentBehavior, changeAt, false)
					if silences {
						playAgent(t, behavior.agentBehavior, changeAt, true)
					}
				}
				if t.Failed() {
					return
				}
			}
		})
	}
}

// Moments of the change in TestSlowAgentIsHeard, from deliveryTimeout after the start on.
const (
	agentQuietTime  = 20 * time.Second
	agentMomentStep = 210 * time.Millisecond
	agentMoments    = 12
)

const (
	maxQuietRate       = 0.75 // calls a second while nothing happens, to an agent that answers all of them at once
	maxOpenConnections = 40
)

// playAgent starts a watch of an agent that has a list, and changes the list once. Each must be received in time. silence
// makes all connections silent that are open at the change.
func playAgent(t *testing.T, behavior agentBehavior, changeAt time.Duration, silence bool) {
	t.Helper()
	var log strings.Builder
	var failures []string
	fail := func(format string, arguments ...any) { failures = append(failures, fmt.Sprintf(format, arguments...)) }
	synctest.Test(t, func(t *testing.T) {
		agent := newSlowAgent(behavior)
		watcher, received := watchAgent(agent, &log)
		time.Sleep(deliveryTimeout)
		if got := received.Load(); got != 2 {
			fail("%v after the start: version %d", deliveryTimeout, got)
		}
		time.Sleep(changeAt)
		rate := agent.callRate(time.Now().Add(-agentQuietTime), time.Now())
		if rate > maxQuietRate && !behavior.losesSecond && !behavior.inTurn {
			fail("%.2f calls a second, limit %v", rate, maxQuietRate)
		}
		agent.withLock(func() {
			agent.version++
			if silence {
				agent.silenced = time.Now()
			}
		})
		time.Sleep(deliveryTimeout)
		if got := received.Load(); got != 3 {
			fail("%v after a change: version %d", deliveryTimeout, got)
		}
		watcher.Close()
		time.Sleep(2 * time.Hour)
		agent.withLock(func() {
			if agent.max > maxOpenConnections {
				fail("%d connections at once, limit %d", agent.max, maxOpenConnections)
			}
		})
	})
	if len(failures) > 0 {
		t.Errorf("takes %v, change at %v, silence %v: %s; the log of its calls:\n%s", behavior.latency, changeAt, silence, strings.Join(failures, "; "), log.String())
	}
}
