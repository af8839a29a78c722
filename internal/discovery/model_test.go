package discovery_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"ledgespread/brain"
	"ledgespread/internal/counters"
	"ledgespread/internal/discovery"
)

// model computes, by the rules of the protocol, which servers a sidecar must regard as ready after the
// answers that were written to it.
type model struct {
	ready     map[string]bool
	current   string                   // the current address of discovery
	addresses map[string]*addressModel // those that wrote an answer
}

type addressModel struct {
	version        int
	writtenAt      time.Time // when the answer with this version was written
	lowerVersionAt time.Time // when a later call was first answered with a lower version; zero: none was
}

// write updates the model with an answer that is written now. By the protocol, a server that a whole list
// does not name is gone, and an answer counts as received when it is written.
func (m *model) write(call receivedCall, list *listAnswer) {
	at := m.addresses[call.address]
	switch {
	case list == nil || call.whole && !list.Whole: // a call without a version must be answered with the whole list
		return
	case at != nil && list.Seq < at.version:
		m.writeLower(call, list, at)
		return
	}
	m.accept(call, list)
}

// accept applies an answer: in full if it is from the current address, else for departing servers only.
func (m *model) accept(call receivedCall, list *listAnswer) {
	m.addresses[call.address] = &addressModel{version: list.Seq, writtenAt: time.Now()}
	if call.address != m.current { // the protocol does not cover this: a former address may not return a server to service
		m.depart(list)
		return
	}
	if list.Whole {
		clear(m.ready)
	}
	for _, server := range list.Hosts {
		m.ready[server.Host] = server.Health == "in_service" && server.Site == "here"
	}
}

// writeLower applies an answer with a lower version than one before. By the protocol versions only grow, so
// the service has lost its version counter, or a replica that lags behind has answered. Departing servers are
// taken from such an answer.
func (m *model) writeLower(call receivedCall, list *listAnswer, at *addressModel) {
	switch {
	case call.began.Before(at.writtenAt): // a newer answer was written while this call was in flight
		return
	case call.address == m.current && list.Whole && !at.lowerVersionAt.IsZero() && !call.began.Before(at.lowerVersionAt):
		m.accept(call, list) // the second in a row
		return
	case at.lowerVersionAt.IsZero():
		at.lowerVersionAt = time.Now()
	}
	m.depart(list)
}

// depart removes the servers that are departing according to a list.
func (m *model) depart(list *listAnswer) {
	named := map[string]bool{}
	for _, server := range list.Hosts {
		named[server.Host] = true
		if server.Health != "in_service" {
			m.ready[server.Host] = false
		}
	}
	for host := range m.ready {
		if list.Whole && !named[host] {
			m.ready[host] = false
		}
	}
}

// readyNames returns the names of the ready servers in order.
func readyNames(ready map[string]bool) string {
	var names []string
	for _, host := range slices.Sorted(maps.Keys(ready)) {
		if ready[host] {
			names = append(names, host)
		}
	}
	return strings.Join(names, " ")
}

// step is one action of a test sequence. Which other fields it uses depends on the action.
type step struct {
	action   string
	servers  []int
	encoding string
	fault    string
	duration time.Duration
}

// Actions.
const (
	drain           = "drain"
	leave           = "leave"
	returnToService = "return to service" // without a restart
	restartServer   = "restart server"
	changeAddress   = "change address" // of a server that keeps its name
	setEncoding     = "set encoding"   // of all answers from now on
	setFault        = "set fault"      // of all calls from now on
	moveService     = "move service"   // to another address
	resetVersions   = "reset versions"
	silence         = "silence"      // of all open connections
	setLatency      = "set latency"  // of all calls from now on
	requestList     = "request list" // a call of Watch
	wait            = "wait"
)

// serverSubsets are the choices of servers for an action: none, one, some and all of them.
var serverSubsets = [][]int{{}, {0}, {3}, {1, 2, 4}, {0, 1, 2, 3, 4, 5}}

var (
	latencies = []time.Duration{0, 5 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond}
	// The agent of a pushed list may take up to the time for which a call without a hold is waited for, 3 s.
	pushedLatencies = append([]time.Duration{1800 * time.Millisecond, 2500 * time.Millisecond, 2950 * time.Millisecond}, latencies...)
	encodings       = []string{byChanges, whole, withoutDraining, unknownZone, unknownHealth, nullHosts}
	faults          = []string{noFault, noFault, noFault, late, stale, rejected, reset, truncated, garbage, unanswered, noHosts, unreachable}
	durations       = []time.Duration{time.Millisecond, 40 * time.Millisecond, 250 * time.Millisecond, time.Second, 3200 * time.Millisecond, 20 * time.Second}
)

// stepsWith returns a generator of steps that have these actions beside those of all sequences. Latencies are drawn from those
// given.
func stepsWith(latencies []time.Duration, further ...string) *rapid.Generator[step] {
	actions := append(further, drain, leave, returnToService, restartServer, changeAddress, setEncoding, setFault, moveService, requestList,
		wait, wait, wait)
	return rapid.Custom(func(t *rapid.T) step { return drawStep(t, actions, latencies) })
}

func drawStep(t *rapid.T, actions []string, latencies []time.Duration) step {
	s := step{action: rapid.SampledFrom(actions).Draw(t, "action")}
	switch s.action {
	case setEncoding:
		s.encoding = rapid.SampledFrom(encodings).Draw(t, "encoding")
	case setFault:
		s.fault = rapid.SampledFrom(faults).Draw(t, "fault")
		s.duration = rapid.SampledFrom(durations).Draw(t, "delay")
	case wait:
		s.duration = rapid.SampledFrom(durations).Draw(t, "duration")
	case setLatency:
		s.duration = rapid.SampledFrom(latencies).Draw(t, "latency")
	case moveService, resetVersions, requestList, silence:
	default:
		s.servers = rapid.SampledFrom(serverSubsets).Draw(t, "servers")
	}
	return s
}

// sequenceRun runs a sequence of steps against a real watcher in virtual time.
type sequenceRun struct {
	service               *simulatedService
	watcher               *discovery.Watcher
	model                 model
	mu                    sync.Mutex
	received              map[string]bool // which servers are ready by the lists passed to onList; protected by mu
	moves                 int
	pushed, versionsReset bool
	restarts              int64
	failure               string
	log                   strings.Builder
}

// newSequenceRun returns a run whose watcher makes no calls yet.
func newSequenceRun(pushed bool, sidecars int) *sequenceRun {
	run := &sequenceRun{service: newSimulatedService(), received: map[string]bool{}, pushed: pushed}
	run.model = model{ready: map[string]bool{}, current: "a0", addresses: map[string]*addressModel{}}
	run.service.onWritten = func(call receivedCall, list *listAnswer) {
		fmt.Fprintf(&run.log, "  %v written at %s to a call of %s, from %d, hold %v: %+v\n", time.Now().Format("05.000"), call.address,
			call.began.Format("05.000"), call.from, call.hold, list)
		run.model.write(call, list)
	}
	run.service.onProcessed = func(call receivedCall) { run.checkReceived("after an answer of " + call.address) }
	run.service.set(run.serverStates(serverSubsets[4], "in_service", "")...)
	run.watcher = discovery.New("a0", map[string]int{"here": 0}, 0, 10e6, sidecars, 1<<20, 7, run.onList, &counters.Set{}, zerolog.Nop())
	run.watcher.SetDial(run.service.dial)
	return run
}

// start starts the watch, which has the list a second later.
func (r *sequenceRun) start() {
	if r.pushed {
		r.watcher.WatchPushed(500_000)
	} else {
		r.watcher.Watch()
	}
	time.Sleep(time.Second)
}

// runSequence runs the steps and returns a description of the first failure, or "".
func runSequence(t *testing.T, pushed bool, sidecars int, steps []step) (failure string) {
	synctest.Test(t, func(t *testing.T) {
		run := newSequenceRun(pushed, sidecars)
		run.start()
		for _, s := range steps {
			run.service.withLock(func() { fmt.Fprintf(&run.log, "%v %+v\n", time.Now().Format("05.000"), s) })
			run.runStep(s)
			synctest.Wait()
		}
		run.checkRecovery()
		run.watcher.Close()
		run.service.close()
		time.Sleep(2 * time.Hour)
		if failure = run.failure; failure != "" {
			failure += "\n" + run.log.String()
		}
	})
	return failure
}

// serverStates returns the new states of the servers with these numbers. change is restartServer,
// changeAddress or anything else for neither.
func (r *sequenceRun) serverStates(numbers []int, health, change string) (servers []serverState) {
	for _, i := range numbers {
		host := fmt.Sprintf("s%d", i)
		server, known := r.service.servers[host]
		if !known {
			server = serverState{Host: host, Dial: fmt.Sprintf("127.0.0.1:%d", 1000+i), Site: "here", Share: 1}
		}
		server.Health = health
		switch change {
		case restartServer:
			r.restarts++
			server.Born = r.restarts
		case changeAddress:
			r.restarts++
			server.Dial = fmt.Sprintf("127.0.0.1:%d", 2000+r.restarts%1000)
		}
		servers = append(servers, server)
	}
	return servers
}

func (r *sequenceRun) runStep(s step) {
	switch s.action {
	case wait:
		time.Sleep(s.duration)
	case requestList:
		r.watcher.Watch()
	case moveService:
		r.moves++
		r.service.withLock(func() {
			r.model.current = fmt.Sprintf("a%d", r.moves)
			r.watcher.SetAddress(r.model.current)
		})
	case resetVersions:
		r.versionsReset = true
		r.service.withLock(r.service.restart)
	case silence:
		r.service.withLock(r.service.silence)
	case setLatency:
		r.service.withLock(func() { r.service.latency = s.duration })
	case setEncoding:
		r.service.withLock(func() { r.service.encoding = s.encoding })
	case setFault:
		r.service.withLock(func() { r.service.fault, r.service.delay = s.fault, s.duration })
	default:
		health := map[string]string{drain: "terminating", leave: "terminated"}[s.action]
		if health == "" {
			health = "in_service"
		}
		r.service.withLock(func() { r.service.set(r.serverStates(s.servers, health, s.action)...) })
	}
}

// onList applies a list to the received state. After a failed call it calls Watch again with a delay, as a
// sidecar does unless the list is pushed.
func (r *sequenceRun) onList(l *discovery.List) {
	if l == nil {
		if !r.pushed {
			time.AfterFunc(2*time.Second, r.watcher.Watch)
		}
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.Whole {
		clear(r.received)
	}
	for _, entry := range l.Entries {
		r.received[entry.Host] = entry.Standing == brain.Ready
	}
}

// receivedNames returns the names of the servers that are ready by the lists received.
func (r *sequenceRun) receivedNames() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return readyNames(r.received)
}

// checkReceived compares the received state with the model.
func (r *sequenceRun) checkReceived(when string) {
	want, got := readyNames(r.model.ready), r.receivedNames()
	if want != got && r.failure == "" {
		r.failure = fmt.Sprintf("%s %s: written %q, received %q", time.Now().Format("05.000000"), when, want, got)
	}
}

// afterHoldDeadline is the protocol's other deadline for a change, after the end of the hold of an unanswered call. It
// is later, and applies here only after versions were reset, for which the protocol gives no deadline.
const afterHoldDeadline = 2 * time.Second

// checkRecovery ends all faults, makes all open connections silent, changes all servers and checks that the change is
// received by the protocol's deadline, which counts from then whatever became of earlier calls. It leaves out the
// silence if versions were reset, since two more answers are needed then.
func (r *sequenceRun) checkRecovery() {
	within := deliveryTimeout
	r.service.withLock(func() {
		r.service.fault, r.service.encoding = noFault, byChanges
		if r.versionsReset {
			within = max(within, time.Until(r.service.latestHoldEnd)+afterHoldDeadline)
		} else {
			r.service.silence()
		}
		r.service.set(append(r.serverStates([]int{0, 2, 4}, "in_service", restartServer), r.serverStates([]int{1, 3, 5}, "terminating", "")...)...)
	})
	time.Sleep(within)
	if got, want := r.receivedNames(), "s0 s2 s4"; got != want && r.failure == "" {
		r.failure = fmt.Sprintf("%v after the end of all faults: the list has %q, received %q", within, want, got)
	}
}

// The received lists must match the model after every answer of any sequence of changes and faults, and a
// change must be received in time once discovery can be reached.
func TestReceivedListsMatchModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		pushed := rapid.Bool().Draw(r, "pushed")
		sidecars := rapid.SampledFrom([]int{1, 3, 300}).Draw(r, "sidecars")
		agentLatencies := latencies
		if pushed {
			agentLatencies = pushedLatencies
		}
		steps := rapid.SliceOfN(stepsWith(nil, resetVersions), 1, 30)
		if rapid.Bool().Draw(r, "silence") {
			steps = rapid.SliceOfN(stepsWith(agentLatencies, silence, setLatency), 1, 30)
		}
		if failure := runSequence(t, pushed, sidecars, steps.Draw(r, "steps")); failure != "" {
			r.Fatal(failure)
		}
	})
}

var allServers = serverSubsets[4]

// regressions are sequences that failed once, each named after the failure.
var regressions = []struct {
	name     string
	pushed   bool
	sidecars int
	steps    []step
}{
	{"all servers leave in one version without having drained, and return", false, 4, []step{
		{action: drain, servers: allServers}, {action: wait, duration: 6 * time.Second}, {action: leave, servers: allServers},
		{action: wait, duration: 2 * time.Second}, {action: returnToService, servers: allServers},
		{action: wait, duration: 14 * time.Second},
		{action: setEncoding, encoding: whole}, {action: leave, servers: allServers},
		{action: setEncoding, encoding: byChanges}, {action: wait, duration: 6 * time.Second},
		{action: restartServer, servers: allServers}, {action: wait, duration: time.Second}}},
	{"the same with a pushed list, and null for no servers", true, 4, []step{
		{action: setEncoding, encoding: nullHosts}, {action: leave, servers: allServers}, {action: moveService},
		{action: wait, duration: time.Second}}},
	{"a former address leaves servers out", false, 1, []step{
		{action: setEncoding, encoding: whole},
		{action: setFault, fault: late, duration: 250 * time.Millisecond}, {action: leave, servers: []int{1, 2, 4}},
		{action: wait, duration: time.Millisecond}, {action: setFault, fault: unanswered},
		{action: moveService}, {action: wait, duration: time.Second}}},
	{"an unusable entry beside a drain", false, 3, []step{
		{action: setEncoding, encoding: unknownZone}, {action: drain, servers: []int{0}}, {action: wait, duration: time.Second}}},
	{"a listed server whose entry is unusable", false, 3, []step{
		{action: setEncoding, encoding: unknownHealth}, {action: returnToService, servers: []int{3}},
		{action: wait, duration: time.Second}}},
	{"the version counter is reset while a server leaves", false, 3, []step{
		{action: resetVersions}, {action: leave, servers: []int{0}}, {action: wait, duration: 3200 * time.Millisecond}}},
	{"an outdated answer arrives after a newer one", false, 3, []step{
		{action: setFault, fault: stale, duration: 3200 * time.Millisecond}, {action: requestList},
		{action: drain, servers: []int{0}}}},
}

func TestRegressionSequences(t *testing.T) {
	for _, c := range regressions {
		t.Run(c.name, func(t *testing.T) {
			if failure := runSequence(t, c.pushed, c.sidecars, c.steps); failure != "" {
				t.Error(failure)
			}
		})
	}
}

// A change is received in time from an address that first rejects calls and then does not answer, whenever it
// recovers. The delay between two calls was once counted from the end of the first one's timeout, so they
// were up to 6.75 s apart.
func TestHungAddressRecovers(t *testing.T) {
	for after := 20 * time.Second; after < 26*time.Second; after += 100 * time.Millisecond {
		steps := []step{{action: setFault, fault: rejected}, {action: moveService},
			{action: wait, duration: 20 * time.Second}, {action: moveService}, {action: setFault, fault: unanswered},
			{action: wait, duration: after}}
		if failure := runSequence(t, false, 300, steps); failure != "" {
			t.Fatalf("recovered after %v: %s", after, failure)
		}
	}
}
