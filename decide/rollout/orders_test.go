package rollout_test

import (
	"fmt"
	"strings"
	"testing"

	"ledgespread/decide/rollout"
	"ledgespread/lab/trace"
)

// testGroup is three members whose messages, disk writes and clocks advance only when the test says so. The test
// can therefore produce every order of events.
type testGroup struct {
	t          *testing.T
	now        Micros
	harmful    rollout.Number // no request succeeds under this configuration
	unreadable rollout.Number // the third member can't read this configuration
	sidecars   [3]*sidecar
	waited     Micros // total time for which messages may have been held back
	violation  string // first invariant that was violated
}

type sidecar struct {
	*rollout.Node
	group         *testGroup
	index         int
	processNumber int
	saved         rollout.SavedState
	pending       []func() // pending actions
	pendingNames  []string // descriptions of the pending actions
	applied       rollout.Version
	inForce       rollout.Version
	known         map[rollout.Version]bool
	counts        rollout.RequestCounts
	countedUntil  Micros
}

var names = [3]rollout.Name{"n0", "n1", "n2"}

func version(number rollout.Number, digest byte) rollout.Version {
	return rollout.Version{Number: number, Digest: rollout.Digest{digest}}
}

var policy = rollout.CanaryPolicy{Canaries: 5, Watch: 1_500_000}

func newTestGroup(t *testing.T) *testGroup {
	g := &testGroup{t: t, now: second}
	for i := range g.sidecars {
		g.sidecars[i] = &sidecar{group: g, index: i, countedUntil: g.now, known: map[rollout.Version]bool{}}
		g.sidecars[i].start()
	}
	g.advance(12 * second) // gives the nodes request results to compare with
	return g
}

// start starts a new process from the saved state.
func (s *sidecar) start() {
	s.processNumber++
	s.pending, s.pendingNames, s.Node = nil, nil, nil
	s.applied, s.inForce = s.saved.InForce, s.saved.InForce
	s.counts = rollout.RequestCounts{}
	s.Node = rollout.New(s.group.now, names[s.index], rollout.Config{ProbeInterval: 250_000}, s.saved, 7, s)
}

// addPending adds a pending action.
func (s *sidecar) addPending(name string, do func()) {
	s.pending = append(s.pending, do)
	s.pendingNames = append(s.pendingNames, name)
}

func (s *sidecar) Fetch(from rollout.Name, _ rollout.Address, v rollout.Version) {
	s.addPending(fmt.Sprint("fetch ", from, v.Number, v.Digest[0]), func() {
		other := s.group.sidecars[from[1]-'0']
		switch {
		case !other.MayServe(s.group.now, v):
			s.FetchFailed(s.group.now, v, from, false)
		case v.Number == s.group.unreadable && s.index == 2:
			s.FetchDone(s.group.now, v, policy, from, "fleet.json:3: no such name")
		default:
			s.saved.Newest, s.saved.Policy, s.saved.Trials = v, policy, 0
			s.FetchDone(s.group.now, v, policy, from, "")
		}
	})
}

func (s *sidecar) SaveTrial(v rollout.Version, trials int, baseline rollout.Results) {
	s.addPending(fmt.Sprint("try ", v.Number, v.Digest[0]), func() {
		s.saved.Trials, s.saved.Baseline = trials, baseline
		s.TrialSaved(s.group.now, v, "")
	})
}

func (s *sidecar) SaveOutcome(outcome rollout.Outcome) {
	s.addPending(fmt.Sprint("outcome ", outcome.Number, outcome.Digest[0]), func() { s.saved.Outcome = outcome })
}

func (s *sidecar) Apply(v rollout.Version, trial bool) {
	s.addPending(fmt.Sprint("apply ", v.Number, v.Digest[0], trial), func() {
		s.updateCounts()
		if s.applied = v; !trial {
			if v.Number < s.inForce.Number {
				s.group.violation = "the number in force fell"
			}
			s.inForce, s.saved.InForce = v, v
		}
		s.ApplyDone(s.group.now, v, trial, "")
	})
}

func (s *sidecar) SendTo(rollout.Name)     {}
func (s *sidecar) SendToRandom(int)        {}
func (s *sidecar) OnEvent(e rollout.Event) {}
func (s *sidecar) EachLive(each func(rollout.Name)) {
	for i, name := range names {
		if i != s.index {
			each(name)
		}
	}
}

// updateCounts adds the requests since the last call, one each 25 ms.
func (s *sidecar) updateCounts() {
	requests := uint64((s.group.now - s.countedUntil) / 25_000)
	s.countedUntil += Micros(requests) * 25_000
	s.counts.Started += requests
	s.counts.Ended += requests
	if s.applied.Number != s.group.harmful || s.group.harmful == 0 {
		s.counts.Succeeded += requests
	}
}

func (s *sidecar) RequestCounts() rollout.RequestCounts {
	s.updateCounts()
	return s.counts
}

// advance advances the clock of all members.
func (g *testGroup) advance(span Micros) {
	for end := g.now + span; g.now < end; {
		g.now += 125_000
		for _, sidecar := range g.sidecars {
			sidecar.Tick(g.now)
		}
	}
}

func (g *testGroup) publish(at int, v rollout.Version) {
	sidecar := g.sidecars[at]
	previous := sidecar.saved
	sidecar.saved.Newest, sidecar.saved.Policy, sidecar.saved.Trials = v, policy, 0
	if sidecar.Publish(g.now, v, policy) != nil {
		sidecar.saved = previous
		return
	}
	sidecar.known[v] = true
}

// action is one event that the exploration can apply to the group.
type action struct {
	name string
	do   func(*testGroup)
}

// deliverMessage delivers a message from one member to another.
func (g *testGroup) deliverMessage(from, to int) {
	if message := g.sidecars[from].EncodeMessage(200); message != nil {
		status := g.sidecars[from].Status()
		g.sidecars[to].known[status.Newest] = true
		g.sidecars[to].Receive(g.now, names[from], rollout.Address(names[from]), message)
	}
}

// actions lists all events: a message between each pair, the pending actions of a member, and the passing of
// time.
func actions(more ...action) (all []action) {
	for i := range 3 {
		for j := range 3 {
			if i != j {
				all = append(all, action{fmt.Sprint(i, ">", j), func(g *testGroup) { g.deliverMessage(i, j) }})
			}
		}
		all = append(all, action{fmt.Sprint("do", i), func(g *testGroup) { g.sidecars[i].runPending() }})
	}
	all = append(all, action{"wait", func(g *testGroup) { g.advance(1_750_000); g.waited += 1_750_000 }})
	return append(all, more...)
}

// runPending runs the actions that are pending now, not those that they add.
func (s *sidecar) runPending() {
	todo := s.pending
	s.pending, s.pendingNames = nil, nil
	process := s.processNumber
	for _, do := range todo {
		if s.processNumber == process {
			do()
		}
	}
}

// fingerprint returns a string that is equal only for equal states.
func (g *testGroup) fingerprint() string {
	var b strings.Builder
	for _, sidecar := range g.sidecars {
		status := sidecar.Status()
		status.Since = 0
		fmt.Fprintf(&b, "%+v %v %v %v|", status, sidecar.pendingNames, sidecar.saved, sidecar.processNumber)
	}
	return b.String()
}

// settle exchanges messages and runs pending actions for long enough that nothing changes any more.
func (g *testGroup) settle() {
	for range 120 {
		for i := range 3 {
			for j := range 3 {
				if i != j {
					g.deliverMessage(i, j)
				}
			}
			g.sidecars[i].runPending()
		}
		g.advance(250_000)
	}
}

// explore applies every sequence of up to maxDepth events, calls check after each sequence has
// settled, and returns the number of distinct states.
func explore(t *testing.T, begin func(*testGroup), all []action, maxDepth int, check func(g *testGroup) string) (states int) {
	t.Helper()
	replay := func(order []int) *testGroup {
		g := newTestGroup(t)
		begin(g)
		for _, i := range order {
			all[i].do(g)
		}
		return g
	}
	describe := func(order []int) string {
		var out []string
		for _, i := range order {
			out = append(out, all[i].name)
		}
		return strings.Join(out, " ")
	}
	seen := map[string]bool{}
	frontier := [][]int{nil}
	for range maxDepth {
		var next [][]int
		for _, order := range frontier {
			for i := range all {
				now := append(append([]int{}, order...), i)
				g := replay(now)
				if state := g.fingerprint(); seen[state] {
					continue
				} else {
					seen[state] = true
				}
				next = append(next, now)
				if g.settle(); g.violation == "" {
					g.violation = check(g)
				}
				if g.violation != "" {
					t.Fatalf("%s: %s\n%s", describe(now), g.violation, g.fingerprint())
				}
			}
		}
		frontier = next
	}
	return len(seen)
}

// allInForce returns a check that all members have v in force.
func allInForce(v rollout.Version) func(g *testGroup) string {
	return func(g *testGroup) string {
		for i, sidecar := range g.sidecars {
			if sidecar.inForce != v {
				return fmt.Sprintf("n%d has %d in force", i, sidecar.inForce.Number)
			}
		}
		return ""
	}
}

// For every order of three members' messages, disk writes and clocks: a good configuration comes into force
// everywhere. A harmful or unreadable one is applied by one member, plus one more for each wait in which no
// report of the canary arrived; a harmful one is in force nowhere, also where all processes end and start again. Of two contents with one number neither is applied by a member that knows
// both. No number in force falls.
func TestOrders(t *testing.T) {
	maxDepth := 7
	if testing.Short() {
		maxDepth = 4
	}
	var tr trace.Trace
	one, two, other := version(1, 'a'), version(2, 'a'), version(1, 'b')
	publish := func(g *testGroup) { g.publish(0, one) }
	tr.AddLine("one that is good: %d states", explore(t, publish, actions(), maxDepth, allInForce(one)))
	tr.AddLine("a higher one meanwhile: %d states", explore(t, publish, actions(action{"publish2", func(g *testGroup) { g.publish(1, two) }}), maxDepth-1, func(g *testGroup) string {
		want := one
		for _, sidecar := range g.sidecars {
			if sidecar.known[two] {
				want = two
			}
		}
		return allInForce(want)(g)
	}))
	tr.AddLine("one restarts: %d states", explore(t, publish, actions(action{"restart1", func(g *testGroup) { g.sidecars[1].start() }}), maxDepth-1, func(g *testGroup) string {
		// A member whose process ended twice during the trial refuses the configuration, and no other applies
		// it.
		for _, sidecar := range g.sidecars {
			if sidecar.processNumber > 2 && sidecar.Status().Stage == rollout.Stopped {
				return ""
			}
		}
		return allInForce(one)(g)
	}))
	tr.AddLine("one that harms: %d states", explore(t, func(g *testGroup) { g.harmful = 1; publish(g) }, actions(), maxDepth, func(g *testGroup) string {
		applied := 0
		for _, sidecar := range g.sidecars {
			if sidecar.applied == one {
				applied++
			}
			if sidecar.inForce == one {
				return "in force"
			}
		}
		if applied > 1+int(g.waited/1_500_000) { // one more for each wait without a report of the canary
			return "too many members applied it"
		}
		return ""
	}))
	restartAll := action{"restart all", func(g *testGroup) {
		for _, sidecar := range g.sidecars {
			sidecar.start()
		}
	}}
	tr.AddLine("one that harms, and all restart: %d states", explore(t, func(g *testGroup) { g.harmful = 1; publish(g) }, actions(restartAll), maxDepth-1, func(g *testGroup) string {
		for _, sidecar := range g.sidecars {
			if sidecar.inForce == one {
				return "in force"
			}
		}
		return ""
	}))
	tr.AddLine("one that a member can't read: %d states", explore(t, func(g *testGroup) { g.unreadable = 1; publish(g) }, actions(), maxDepth, func(g *testGroup) string {
		if g.sidecars[2].applied.Number != 0 {
			return "applied by the member that can't read it"
		}
		for i, sidecar := range g.sidecars {
			if sidecar.Status().Stage != rollout.Stopped {
				return fmt.Sprintf("n%d does not know that it was refused", i)
			}
		}
		return ""
	}))
	tr.AddLine("two of one number: %d states", explore(t, func(g *testGroup) { publish(g); g.publish(1, other) }, actions(), maxDepth, func(g *testGroup) string {
		for i, sidecar := range g.sidecars {
			if status := sidecar.Status(); !status.Contested {
				return fmt.Sprintf("n%d does not know of the conflict", i)
			}
		}
		if a, b := g.sidecars[0].inForce, g.sidecars[1].inForce; a.Number != 0 && b.Number != 0 && a == b {
			return "two members have the same contested version in force"
		}
		return ""
	}))
	tr.AssertMatchesFile(t)
}
