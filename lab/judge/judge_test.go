package judge

import (
	"testing"

	"ledgespread/lab/backend"
	"ledgespread/lab/clients"
	"ledgespread/lab/clock"
	"ledgespread/lab/list"
	"ledgespread/lab/plan"
	"ledgespread/lab/scenario"
	"ledgespread/lab/sidecars"
	"ledgespread/lab/trace"
)

const ms = clock.Milli

const testScenario = `
name = "day"
length = "10s"
zones = ["a", "b"]
[[backend]]
count = 2
zone = "a"
[[backend]]
zone = "b"
[[prefix]]
name = "look"
work = "1ms"
target_latency = "100ms"
client_timeout = "400ms"
[[prefix]]
name = "book"
effect = "tagged"
group = "zone"
work = "1ms"
target_latency = "100ms"
client_timeout = "1s"
memory = "300ms"
[[prefix]]
name = "pay"
effect = "mutating"
work = "1ms"
target_latency = "100ms"
client_timeout = "1s"
[[prefix]]
name = "any"
effect = "tagged"
work = "1ms"
target_latency = "100ms"
client_timeout = "1s"
memory = "300ms"
[traffic]
rate = "1/s"
`

// Each case has one request with its attempts, and the trace shows the violations that the judge finds.
// Requests 0 to 3 are one of each prefix.
func TestJudge(t *testing.T) {
	var got trace.Trace
	parsed, err := scenario.Parse("day", []byte(testScenario))
	if err != nil {
		t.Fatal(err)
	}
	request := func(visit int, outcome clients.Outcome, ended Micros) *clients.Try {
		timeout := []Micros{400 * ms, 1000 * ms, 1000 * ms, 1000 * ms}[visit]
		return &clients.Try{Visit: plan.VisitIndex(visit), ID: "v", Outcome: outcome, Due: 1000 * ms, Sent: 1000 * ms, Deadline: 1000*ms + timeout, Ended: ended}
	}
	attemptAt := func(server string, first Micros, outcome backend.Outcome, ended Micros) *backend.Entry {
		attempt := &backend.Entry{Backend: server, ID: "v", First: first, Arrived: first, Started: first, Ended: ended, Outcome: outcome}
		if outcome == backend.Rejected || outcome == backend.Unanswered {
			attempt.Started = -1
		}
		return attempt
	}
	check := func(title string, try *clients.Try, attempts []*backend.Entry, changes ...func(*Accounts)) {
		accounts := &Accounts{Scenario: parsed, Plan: &plan.Plan{Visits: []plan.Visit{{Prefix: 0}, {Prefix: 1}, {Prefix: 2}, {Prefix: 3}}}, Ended: 10 * clock.Second,
			Requests: []*clients.Try{try}, Attempts: attempts,
			Backends: []BackendAccount{{Name: "b0", Zone: "a"}, {Name: "b1", Zone: "a"}, {Name: "b2", Zone: "b"}},
			Sidecars: []SidecarAccount{{Name: "n0", Zone: "a", Processes: []sidecars.Process{{Start: 0, Ready: 1, End: -1, StopRequested: -1}}}}}
		for _, change := range changes {
			change(accounts)
		}
		got.AddLine("%s", title)
		verdict := Judge(accounts)
		for _, violation := range verdict.Violations {
			suffix := ""
			if violation.Doubtful {
				suffix = " (doubtful)"
			}
			got.AddLine("    %s%s", violation, suffix)
		}
		for _, unmatched := range verdict.Unmatched {
			got.AddLine("    unmatched: %s", unmatched)
		}
	}
	type attempts = []*backend.Entry
	got.AddLine("rule 1, one final answer")
	check("delivered in time", request(0, clients.Delivered, 1050*ms), attempts{attemptAt("b0", 1001*ms, backend.Delivered, 1049*ms)})
	check("delivered by no backend", request(0, clients.Delivered, 1050*ms), nil)
	check("within the slack of its client timeout", request(0, clients.Errored, 1449*ms), nil)
	check("past it", request(0, clients.Errored, 1451*ms), nil)
	check("past it, and the machine stood still for the lab", request(0, clients.Errored, 1451*ms), nil,
		func(a *Accounts) { a.LabStalls = []clock.Interval{{From: 1300 * ms, To: 1450 * ms}} })
	check("lost", request(0, clients.Lost, 1100*ms), nil)
	check("lost, with the sidecar killed meanwhile", request(0, clients.Lost, 1100*ms), nil,
		func(a *Accounts) {
			a.Sidecars[0].Processes[0].End, a.Sidecars[0].Processes[0].Killed = 1101*ms, true
		})
	check("lost, with the sidecar standing still by plan", request(0, clients.Lost, 1500*ms), nil,
		func(a *Accounts) { a.Sidecars[0].Pauses = [][2]Micros{{900 * ms, 1600 * ms}} })
	check("lost, when the sidecar had been asked to end but had not", request(0, clients.Lost, 1100*ms), nil,
		func(a *Accounts) {
			a.Sidecars[0].Processes[0].StopRequested, a.Sidecars[0].Processes[0].End = 1050*ms, 1200*ms
		})
	check("sent on after its answer", request(0, clients.Errored, 1050*ms), attempts{attemptAt("b0", 1101*ms, backend.Delivered, 1110*ms)})
	check("sent on after its answer, but a way was silent and may have held it", request(0, clients.Errored, 1050*ms), attempts{attemptAt("b0", 1201*ms, backend.Delivered, 1210*ms)},
		func(a *Accounts) { a.Blocks = []Block{{"a", "b0", clock.Interval{From: 1020 * ms, To: 1200 * ms}}} })
	check("answered with something else", request(0, clients.WrongAnswer, 1050*ms), nil)
	got.AddLine("rule 2, no effect twice")
	check("read-like runs twice", request(0, clients.Delivered, 1050*ms), attempts{attemptAt("b0", 1001*ms, backend.Errored, 1010*ms), attemptAt("b1", 1011*ms, backend.Delivered, 1049*ms)})
	check("mutating, again after it was turned away", request(2, clients.Delivered, 1050*ms),
		attempts{attemptAt("b0", 1001*ms, backend.Rejected, 1002*ms), attemptAt("b1", 1011*ms, backend.Delivered, 1049*ms)})
	check("mutating, again before it was turned away", request(2, clients.Delivered, 1050*ms),
		attempts{attemptAt("b0", 1001*ms, backend.Rejected, 1020*ms), attemptAt("b1", 1011*ms, backend.Delivered, 1049*ms)})
	check("mutating, again after an error", request(2, clients.Delivered, 1050*ms),
		attempts{attemptAt("b0", 1001*ms, backend.Errored, 1002*ms), attemptAt("b1", 1011*ms, backend.Delivered, 1049*ms)})
	check("mutating, bounced after a backend fell silent", request(2, clients.RetryLater, 1500*ms), attempts{attemptAt("b0", 1001*ms, backend.Unanswered, 1001*ms)})
	check("mutating, bounced after it was turned away", request(2, clients.RetryLater, 1500*ms), attempts{attemptAt("b0", 1001*ms, backend.Rejected, 1002*ms)})
	check("mutating, an error page after an error", request(2, clients.Errored, 1500*ms), attempts{attemptAt("b0", 1001*ms, backend.Errored, 1002*ms)})
	check("tagged, again within its zone and window", request(1, clients.Delivered, 1300*ms),
		attempts{attemptAt("b0", 1001*ms, backend.Canceled, 1100*ms), attemptAt("b1", 1101*ms, backend.Delivered, 1299*ms)})
	check("tagged, again in the other zone", request(1, clients.Delivered, 1300*ms),
		attempts{attemptAt("b0", 1001*ms, backend.Canceled, 1100*ms), attemptAt("b2", 1101*ms, backend.Delivered, 1299*ms)})
	check("tagged, again beyond its window", request(1, clients.Delivered, 1500*ms),
		attempts{attemptAt("b0", 1001*ms, backend.Canceled, 1100*ms), attemptAt("b1", 1351*ms, backend.Delivered, 1499*ms)})
	for _, lastByte := range []Micros{1551 * ms, 1552 * ms} { // the window, 50 ms of slack and 200 ms for a pause
		repeat := attemptAt("b1", 1101*ms, backend.Delivered, 1599*ms)
		repeat.Arrived, repeat.Started = lastByte, lastByte
		check("tagged, again within its window, whole after it", request(1, clients.Delivered, 1600*ms), attempts{attemptAt("b0", 1001*ms, backend.Canceled, 1100*ms), repeat})
	}
	check("tagged, bounced when it may have run, known in a zone only", request(1, clients.RetryLater, 1200*ms), attempts{attemptAt("b0", 1001*ms, backend.Errored, 1100*ms)})
	check("tagged, the same, known to all", request(3, clients.RetryLater, 1200*ms), attempts{attemptAt("b0", 1001*ms, backend.Errored, 1100*ms)})
	check("tagged, the same, but its window is over", request(3, clients.RetryLater, 1400*ms), attempts{attemptAt("b0", 1001*ms, backend.Errored, 1100*ms)})
	got.AddLine("rule 3, drains kept")
	draining := func(deliveredAt Micros) func(*Accounts) {
		return func(a *Accounts) {
			a.ListChanges = []list.Change{{Seq: 4, Host: "b0", Health: "terminating", At: 100 * ms, Published: 100 * ms}}
			if deliveredAt > 0 {
				a.ListDeliveries = []list.Delivery{{Reader: "n0", Seq: 3, At: 1}, {Reader: "n0", Seq: 4, At: deliveredAt}}
			}
		}
	}
	oneAttempt := func(first Micros) attempts { return attempts{attemptAt("b0", first, backend.Delivered, first+ms)} }
	check("within the grace", request(0, clients.Delivered, 1050*ms), oneAttempt(1001*ms), draining(500*ms))
	check("after it", request(0, clients.Delivered, 1050*ms), oneAttempt(1001*ms), draining(440*ms))
	check("never told, since the list was out of reach", request(0, clients.Delivered, 1050*ms), oneAttempt(1001*ms), draining(0),
		func(a *Accounts) { a.DiscoveryOutages = []clock.Interval{{From: 0, To: 9000 * ms}} })
	publishedLongAgo := func(a *Accounts) {
		a.ListChanges = []list.Change{{Seq: 4, Host: "b0", Health: "terminating", At: -5600 * ms, Published: -5600 * ms}}
	}
	check("never told, 6 s and the grace after it was published", request(0, clients.Delivered, 1050*ms), oneAttempt(1001*ms), publishedLongAgo)
	check("the same, and discovery was disturbed until later", request(0, clients.Delivered, 1050*ms), oneAttempt(1001*ms), publishedLongAgo,
		func(a *Accounts) { a.DiscoveryDisturbances = []clock.Interval{{From: -500 * ms, To: 0}} })
	check("told long ago, but it is back", request(0, clients.Delivered, 1050*ms), oneAttempt(1001*ms), draining(200*ms),
		func(a *Accounts) {
			a.ListChanges = append(a.ListChanges, list.Change{Seq: 5, Host: "b0", Health: "in_service", At: 900 * ms})
		})
	stalled := func(from, to Micros) func(*Accounts) {
		return func(a *Accounts) { a.LabStalls = []clock.Interval{{From: from, To: to}} }
	}
	check("after it, and the machine stood still for the lab", request(0, clients.Delivered, 1050*ms), oneAttempt(1001*ms), draining(10*ms), stalled(700*ms, 720*ms))
	check("long after it, and the machine stood still only then", request(1, clients.Delivered, 1600*ms), oneAttempt(1501*ms), draining(10*ms), stalled(700*ms, 720*ms))
	check("long after it, and the machine stood still for as long", request(1, clients.Delivered, 1600*ms), oneAttempt(1501*ms), draining(10*ms), stalled(600*ms, 1100*ms))
	check("after it, and the machine had stood still long before", request(0, clients.Delivered, 1050*ms), oneAttempt(1001*ms), draining(10*ms), stalled(10*ms, 50*ms))
	got.AddLine("rule 4, no cold backend pushed over")
	overloaded := func(deliveredAt Micros) func(*Accounts) {
		return func(a *Accounts) {
			a.ListChanges = []list.Change{{Seq: 4, Host: "b0", Health: "in_service", At: 100 * ms, Published: 100 * ms}}
			a.ListDeliveries = []list.Delivery{{Reader: "n0", Seq: 4, At: deliveredAt}}
			a.Backends[0].Overloads = []backend.Collapse{{At: 1010 * ms, By: []string{"v", "v", "v", "w"}}}
		}
	}
	check("by a sidecar that knew", request(0, clients.Delivered, 1050*ms), oneAttempt(1001*ms), overloaded(500*ms))
	check("by one that could not know", request(0, clients.Delivered, 1050*ms), oneAttempt(1001*ms), overloaded(2000*ms))
	got.AssertMatchesFile(t)
}
