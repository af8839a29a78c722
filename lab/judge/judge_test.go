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

const day = `
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

// One account at a time, as a story: who sent what when, and what the judge says of it. Visits 0 to 3 are one of each prefix.
func TestJudge(t *testing.T) {
	var tr trace.Trace
	s, err := scenario.Parse("day", []byte(day))
	if err != nil {
		t.Fatal(err)
	}
	try := func(visit int, how clients.How, ended Micros) *clients.Try {
		timeout := []Micros{400 * ms, 1000 * ms, 1000 * ms, 1000 * ms}[visit]
		return &clients.Try{Visit: plan.VisitNo(visit), ID: "v", How: how, Due: 1000 * ms, Sent: 1000 * ms, Until: 1000*ms + timeout, Ended: ended}
	}
	at := func(where string, first Micros, fate backend.Fate, ended Micros) *backend.Entry {
		e := &backend.Entry{Backend: where, ID: "v", First: first, Came: first, Began: first, Ended: ended, Fate: fate}
		if fate == backend.TurnedAway || fate == backend.Mute {
			e.Began = -1
		}
		return e
	}
	story := func(title string, t *clients.Try, es []*backend.Entry, more ...func(*Accounts)) {
		a := &Accounts{Scenario: s, Plan: &plan.Plan{Visits: []plan.Visit{{Prefix: 0}, {Prefix: 1}, {Prefix: 2}, {Prefix: 3}}}, Ended: 10 * clock.Second,
			Tries: []*clients.Try{t}, Entries: es,
			Backends: []BackendAccount{{Name: "b0", Zone: "a"}, {Name: "b1", Zone: "a"}, {Name: "b2", Zone: "b"}},
			Sidecars: []SidecarAccount{{Name: "n0", Zone: "a", Lives: []sidecars.Life{{Start: 0, Ready: 1, End: -1, Asked: -1}}}}}
		for _, change := range more {
			change(a)
		}
		tr.Add("%s", title)
		v := Judge(a)
		for _, b := range v.Broken {
			word := ""
			if b.Doubtful {
				word = " (doubtful)"
			}
			tr.Add("    %s%s", b, word)
		}
		for _, u := range v.Unmatched {
			tr.Add("    unmatched: %s", u)
		}
	}
	type es = []*backend.Entry
	tr.Add("rule 1, one final answer")
	story("delivered in time", try(0, clients.Delivered, 1050*ms), es{at("b0", 1001*ms, backend.Delivered, 1049*ms)})
	story("delivered by no backend", try(0, clients.Delivered, 1050*ms), nil)
	story("within the slack of its client timeout", try(0, clients.Errored, 1449*ms), nil)
	story("past it", try(0, clients.Errored, 1451*ms), nil)
	story("past it, and the machine stood still for the lab", try(0, clients.Errored, 1451*ms), nil,
		func(a *Accounts) { a.Still = []clock.Stretch{{From: 1300 * ms, To: 1450 * ms}} })
	story("lost", try(0, clients.Lost, 1100*ms), nil)
	story("lost, with the sidecar killed meanwhile", try(0, clients.Lost, 1100*ms), nil,
		func(a *Accounts) {
			a.Sidecars[0].Lives[0].End, a.Sidecars[0].Lives[0].Killed = 1101*ms, true
		})
	story("lost, with the sidecar standing still by plan", try(0, clients.Lost, 1500*ms), nil,
		func(a *Accounts) { a.Sidecars[0].Stills = [][2]Micros{{900 * ms, 1600 * ms}} })
	story("lost, when the sidecar had been asked to end but had not", try(0, clients.Lost, 1100*ms), nil,
		func(a *Accounts) {
			a.Sidecars[0].Lives[0].Asked, a.Sidecars[0].Lives[0].End = 1050*ms, 1200*ms
		})
	story("sent on after its answer", try(0, clients.Errored, 1050*ms), es{at("b0", 1101*ms, backend.Delivered, 1110*ms)})
	story("sent on after its answer, but a way was silent and may have held it", try(0, clients.Errored, 1050*ms), es{at("b0", 1201*ms, backend.Delivered, 1210*ms)},
		func(a *Accounts) { a.Blocked = []Block{{"a", "b0", clock.Stretch{From: 1020 * ms, To: 1200 * ms}}} })
	story("answered with something else", try(0, clients.Foreign, 1050*ms), nil)
	tr.Add("rule 2, no effect twice")
	story("read-like runs twice", try(0, clients.Delivered, 1050*ms), es{at("b0", 1001*ms, backend.Errored, 1010*ms), at("b1", 1011*ms, backend.Delivered, 1049*ms)})
	story("mutating, again after it was turned away", try(2, clients.Delivered, 1050*ms),
		es{at("b0", 1001*ms, backend.TurnedAway, 1002*ms), at("b1", 1011*ms, backend.Delivered, 1049*ms)})
	story("mutating, again before it was turned away", try(2, clients.Delivered, 1050*ms),
		es{at("b0", 1001*ms, backend.TurnedAway, 1020*ms), at("b1", 1011*ms, backend.Delivered, 1049*ms)})
	story("mutating, again after an error", try(2, clients.Delivered, 1050*ms),
		es{at("b0", 1001*ms, backend.Errored, 1002*ms), at("b1", 1011*ms, backend.Delivered, 1049*ms)})
	story("mutating, bounced after a backend fell silent", try(2, clients.Bounced, 1500*ms), es{at("b0", 1001*ms, backend.Mute, 1001*ms)})
	story("mutating, bounced after it was turned away", try(2, clients.Bounced, 1500*ms), es{at("b0", 1001*ms, backend.TurnedAway, 1002*ms)})
	story("mutating, an error page after an error", try(2, clients.Errored, 1500*ms), es{at("b0", 1001*ms, backend.Errored, 1002*ms)})
	story("tagged, again within its zone and window", try(1, clients.Delivered, 1300*ms),
		es{at("b0", 1001*ms, backend.CalledOff, 1100*ms), at("b1", 1101*ms, backend.Delivered, 1299*ms)})
	story("tagged, again in the other zone", try(1, clients.Delivered, 1300*ms),
		es{at("b0", 1001*ms, backend.CalledOff, 1100*ms), at("b2", 1101*ms, backend.Delivered, 1299*ms)})
	story("tagged, again beyond its window", try(1, clients.Delivered, 1500*ms),
		es{at("b0", 1001*ms, backend.CalledOff, 1100*ms), at("b1", 1351*ms, backend.Delivered, 1499*ms)})
	story("tagged, bounced when it may have run, known in a zone only", try(1, clients.Bounced, 1200*ms), es{at("b0", 1001*ms, backend.Errored, 1100*ms)})
	story("tagged, the same, known to all", try(3, clients.Bounced, 1200*ms), es{at("b0", 1001*ms, backend.Errored, 1100*ms)})
	story("tagged, the same, but its window is over", try(3, clients.Bounced, 1400*ms), es{at("b0", 1001*ms, backend.Errored, 1100*ms)})
	tr.Add("rule 3, drains kept")
	drains := func(told Micros) func(*Accounts) {
		return func(a *Accounts) {
			a.Changes = []list.Changed{{Seq: 4, Host: "b0", Health: "terminating", At: 100 * ms, Shown: 100 * ms}}
			if told > 0 {
				a.Told = []list.Told{{Reader: "n0", Seq: 3, At: 1}, {Reader: "n0", Seq: 4, At: told}}
			}
		}
	}
	sent := func(first Micros) es { return es{at("b0", first, backend.Delivered, first+ms)} }
	story("within the grace", try(0, clients.Delivered, 1050*ms), sent(1001*ms), drains(500*ms))
	story("after it", try(0, clients.Delivered, 1050*ms), sent(1001*ms), drains(440*ms))
	story("never told, since the list was out of reach", try(0, clients.Delivered, 1050*ms), sent(1001*ms), drains(0),
		func(a *Accounts) { a.Downs = []clock.Stretch{{From: 0, To: 9000 * ms}} })
	story("told long ago, but it is back", try(0, clients.Delivered, 1050*ms), sent(1001*ms), drains(200*ms),
		func(a *Accounts) {
			a.Changes = append(a.Changes, list.Changed{Seq: 5, Host: "b0", Health: "in_service", At: 900 * ms})
		})
	still := func(from, to Micros) func(*Accounts) {
		return func(a *Accounts) { a.Still = []clock.Stretch{{From: from, To: to}} }
	}
	story("after it, and the machine stood still for the lab", try(0, clients.Delivered, 1050*ms), sent(1001*ms), drains(10*ms), still(700*ms, 720*ms))
	story("long after it, and the machine stood still only then", try(1, clients.Delivered, 1600*ms), sent(1501*ms), drains(10*ms), still(700*ms, 720*ms))
	story("long after it, and the machine stood still for as long", try(1, clients.Delivered, 1600*ms), sent(1501*ms), drains(10*ms), still(600*ms, 1100*ms))
	story("after it, and the machine had stood still long before", try(0, clients.Delivered, 1050*ms), sent(1001*ms), drains(10*ms), still(10*ms, 50*ms))
	tr.Add("rule 4, no cold backend pushed over")
	fell := func(told Micros) func(*Accounts) {
		return func(a *Accounts) {
			a.Changes = []list.Changed{{Seq: 4, Host: "b0", Health: "in_service", At: 100 * ms, Shown: 100 * ms}}
			a.Told = []list.Told{{Reader: "n0", Seq: 4, At: told}}
			a.Backends[0].Felled = []backend.Felled{{At: 1010 * ms, By: []string{"v", "v", "v", "w"}}}
		}
	}
	story("by a sidecar that knew", try(0, clients.Delivered, 1050*ms), sent(1001*ms), fell(500*ms))
	story("by one that could not know", try(0, clients.Delivered, 1050*ms), sent(1001*ms), fell(2000*ms))
	tr.Same(t)
}
