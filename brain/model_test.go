package brain

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// caller simulates the relay in randomly generated runs, and checks the decisions against the lists and
// answers that it passed to the Balancer.
type caller struct {
	balancer   *Balancer
	now        Micros
	wakeUps    []wakeUp
	ready      map[ServerID]bool // according to the lists so far
	inFlight   []sentAttempt     // attempts in flight
	deadlines  map[RequestID]Micros
	attempts   map[RequestID]int
	uploads    []RequestID // streamed requests whose last byte has not arrived
	queue      []func()    // calls to make after the current call into the Balancer returns
	violations []string
	requests   RequestID
}

// sentAttempt is an attempt in flight.
type sentAttempt struct {
	request RequestID
	index   AttemptIndex
	server  ServerID
	sentAt  Micros
}

func (c *caller) recordViolation(format string, values ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%.1f ms: ", float64(c.now)/1000)+fmt.Sprintf(format, values...))
}

func (c *caller) Dispatch(request RequestID, server ServerID, _ Micros) {
	if !c.ready[server] {
		c.recordViolation("request %d is sent to server %d, which is not ready", request, server)
	}
	if deadline, open := c.deadlines[request]; !open || c.now >= deadline {
		c.recordViolation("request %d is sent after it was answered or its deadline passed", request)
	}
	c.inFlight = append(c.inFlight, sentAttempt{request, AttemptIndex(c.attempts[request]), server, c.now})
	c.attempts[request]++
}

// answer records the final answer of a request.
func (c *caller) answer(request RequestID) {
	if _, open := c.deadlines[request]; !open {
		c.recordViolation("request %d is answered twice", request)
	}
	delete(c.deadlines, request)
}

func (c *caller) Reject(request RequestID, _ Micros, _ Reason) { c.answer(request) }
func (c *caller) Fail(request RequestID, _ Reason)             { c.answer(request) }

func (c *caller) Cancel(request RequestID, index AttemptIndex) {
	c.queue = append(c.queue, func() {
		position := slices.IndexFunc(c.inFlight, func(a sentAttempt) bool { return a.request == request && a.index == index })
		if position >= 0 {
			c.end(position, Cancelled)
		}
	})
}

func (c *caller) Wake(in Micros, t Token)                             { c.wakeUps = append(c.wakeUps, wakeUp{c.now + in, t}) }
func (c *caller) CloseIdle(ServerID)                                  {}
func (c *caller) Subscribe()                                          {}
func (c *caller) Print(string)                                        {}
func (c *caller) SendMessage(Peer, MessageKind, ServerID, ...float64) {}

// settle makes the queued calls, and checks that every request that must have been answered has been.
func (c *caller) settle() {
	for len(c.queue) > 0 {
		next := c.queue
		c.queue = nil
		for _, do := range next {
			do()
		}
	}
	anyReady := false
	for _, ready := range c.ready {
		anyReady = anyReady || ready
	}
	for request, deadline := range c.deadlines {
		out := slices.ContainsFunc(c.inFlight, func(a sentAttempt) bool { return a.request == request })
		if !anyReady && !out {
			c.recordViolation("request %d still waits although no server is left", request)
		}
		if c.now > deadline {
			c.recordViolation("request %d has no answer by its deadline", request)
		}
	}
}

// The time for which clients wait after a request's last byte, and for which the slowest client may send a body.
const (
	modelClientTimeout = 2000 * ms
	modelUploadTime    = 60_000 * ms
)

// send passes a request. The deadline of a streamed one is known only once its last byte has arrived.
func (c *caller) send(class ClassID, streamed bool) {
	c.requests++
	timeLeft := modelClientTimeout
	if streamed {
		timeLeft += modelUploadTime
		c.uploads = append(c.uploads, c.requests)
	}
	c.deadlines[c.requests] = c.now + timeLeft
	c.balancer.HandleRequest(c.now, c.requests, class, 0, timeLeft, 0, false, streamed)
}

// bodiesArrive reports the last bytes of those streamed requests for which arrives returns true.
func (c *caller) bodiesArrive(arrives func() bool) {
	c.uploads = slices.DeleteFunc(c.uploads, func(request RequestID) bool {
		if !arrives() {
			return false
		}
		if deadline, open := c.deadlines[request]; open {
			c.deadlines[request] = min(deadline, c.now+modelClientTimeout)
		}
		c.balancer.HandleBodyArrived(c.now, request, modelClientTimeout)
		return true
	})
	c.settle()
}

// end reports the end of an attempt in flight.
func (c *caller) end(at int, result Result) {
	attempt := c.inFlight[at]
	c.inFlight = slices.Delete(c.inFlight, at, at+1)
	if result == Succeeded {
		delete(c.deadlines, attempt.request)
	}
	_, open := c.deadlines[attempt.request]
	c.balancer.HandleOutcome(c.now, attempt.request, attempt.index, result, c.now-attempt.sentAt, !open)
}

// sendList passes a list. Some of the attempts to servers that leave end without having been sent.
func (c *caller) sendList(t *rapid.T, kind ListKind, state ServerState, servers []ServerID, started Micros) {
	before := c.balancer.spentTokens
	isWhole := kind != ListChanges
	if isWhole && state == Ready {
		clear(c.ready)
	}
	c.balancer.BeginList(c.now, kind)
	listed := map[ServerID]bool{}
	for _, server := range servers {
		listed[server] = true
		c.ready[server] = state == Ready
	}
	if isWhole && state != Ready { // the other servers keep their state
		for server, ready := range c.ready {
			if !listed[server] && ready {
				c.balancer.ListServer(c.now, server, Zone(server%2), Cell(server%3), Ready, 1, 0)
			}
		}
	} else {
		for _, server := range servers {
			c.balancer.ListServer(c.now, server, Zone(server%2), Cell(server%3), state, 1, started)
		}
	}
	c.balancer.EndList(c.now)
	for at := len(c.inFlight) - 1; at >= 0; at-- {
		if !c.ready[c.inFlight[at].server] && rapid.Bool().Draw(t, "unsent") {
			a := c.inFlight[at]
			c.queue = append(c.queue, func() {
				if at := slices.Index(c.inFlight, a); at >= 0 {
					c.end(at, NeverSent)
				}
			})
		}
	}
	c.settle()
	if !slices.Contains(readiness(c.ready), true) && c.balancer.spentTokens > before {
		c.recordViolation("the retry bucket is charged while no server is left: %.0f tokens missing, %.0f before", c.balancer.spentTokens, before)
	}
}

func readiness(ready map[ServerID]bool) (all []bool) {
	for _, is := range ready {
		all = append(all, is)
	}
	return all
}

// advance advances the clock and delivers the wake-ups that become due.
func (c *caller) advance(span Micros) {
	for end := c.now + span; ; {
		first := -1
		for i, w := range c.wakeUps {
			if w.at <= end && (first < 0 || w.at < c.wakeUps[first].at) {
				first = i
			}
		}
		if first < 0 {
			c.now = end
			break
		}
		due := c.wakeUps[first]
		c.wakeUps = slices.Delete(c.wakeUps, first, first+1)
		c.now = max(c.now, due.at)
		c.balancer.HandleWake(c.now, due.token)
		c.settle()
	}
	c.settle()
}

// TestDecisionsKeepToTheList generates random sequences of events. In any order of events nothing is sent
// to a server that is not ready according to the lists, and each request has exactly one answer by its
// deadline. Without any server left, requests are answered at once and the retry bucket is not charged.
func TestDecisionsKeepToTheList(t *testing.T) {
	everyone := []ServerID{1, 2, 3, 4, 5, 6}
	serverSets := [][]ServerID{{}, {1}, {4}, {2, 3, 5}, everyone}
	results := []Result{Succeeded, Succeeded, Succeeded, AnsweredError, Overloaded, TimedOut, ConnectFailed, Reset}
	rapid.Check(t, func(t *rapid.T) {
		caller := &caller{now: 1e9, ready: map[ServerID]bool{}, deadlines: map[RequestID]Micros{}, attempts: map[RequestID]int{}}
		settings := testSettings(rapid.SampledFrom([]string{"all", "zone", "cell"}).Draw(t, "group"), "balancers",
			float64(rapid.SampledFrom([]int{1, 3, 40}).Draw(t, "sidecars")), "me", 0.0, "allowed.may_duplicate", rapid.Bool().Draw(t, "copies"),
			"allowed.peer_messages", rapid.Bool().Draw(t, "messages"))
		var err error
		if caller.balancer, err = New(caller.now, settings, 7, caller); err != nil {
			t.Fatal(err)
		}
		caller.sendList(t, SavedList, Ready, serverSets[rapid.IntRange(0, 4).Draw(t, "saved")], 0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				caller.send(ClassID(rapid.IntRange(0, 2).Draw(t, "class")), rapid.IntRange(0, 9).Draw(t, "streamed") == 0)
			case 3, 4, 5:
				if len(caller.inFlight) > 0 {
					caller.end(rapid.IntRange(0, len(caller.inFlight)-1).Draw(t, "attempt"), rapid.SampledFrom(results).Draw(t, "result"))
				}
			case 6:
				caller.sendList(t, ListChanges, Ready, rapid.SampledFrom(serverSets).Draw(t, "return"),
					rapid.SampledFrom([]Micros{0, caller.now}).Draw(t, "started"))
			case 7:
				kind := rapid.SampledFrom([]ListKind{ListChanges, FullList, TakenOverList}).Draw(t, "news")
				caller.sendList(t, kind, rapid.SampledFrom([]ServerState{Draining, Gone}).Draw(t, "standing"),
					rapid.SampledFrom(serverSets).Draw(t, "leave"), 0)
			case 8:
				caller.sendList(t, rapid.SampledFrom([]ListKind{FullList, TakenOverList}).Draw(t, "kind"), Ready, rapid.SampledFrom(serverSets).Draw(t, "whole"),
					rapid.SampledFrom([]Micros{0, caller.now}).Draw(t, "started"))
			case 9:
				caller.bodiesArrive(func() bool { return rapid.Bool().Draw(t, "arrives") })
				caller.advance(rapid.SampledFrom([]Micros{1 * ms, 60 * ms, 400 * ms, 9000 * ms}).Draw(t, "span"))
			}
			caller.settle()
		}
		caller.bodiesArrive(func() bool { return true })
		caller.advance(2100 * ms)
		if len(caller.violations) > 0 {
			t.Fatalf("%d violations; the first one: %s", len(caller.violations), caller.violations[0])
		}
	})
}
