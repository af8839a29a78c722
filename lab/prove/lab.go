package prove

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"

	"ledgespread/lab/backend"
	"ledgespread/lab/clock"
	"ledgespread/lab/faulty"
	"ledgespread/lab/judge"
	"ledgespread/lab/plan"
	"ledgespread/lab/report"
	"ledgespread/lab/rng"
	"ledgespread/lab/runner"
	"ledgespread/lab/scenario"
	"ledgespread/lab/sidecars"
)

// faultScenario is a short scenario in which each rule can be broken: servers answer with errors, one drains,
// one is killed and restarts cold.
const faultScenario = `
name = "troubled"
seed = 5
length = "%dms"
zones = ["a", "b"]
[sidecars]
count = 1
[rules]
cold = "5s"
fall = "400ms"
[list]
notice = "100ms"
[[backend]]
count = 3
zone = "a"
[[backend]]
count = 3
zone = "b"
speed = 0.8
[[prefix]]
name = "lookup"
share = 0.4
work = "4ms"
target_latency = "100ms"
client_timeout = "400ms"
[[prefix]]
name = "booking"
effect = "tagged"
group = "zone"
share = 0.3
work = "4ms"
target_latency = "100ms"
client_timeout = "400ms"
memory = "400ms"
[[prefix]]
name = "payout"
effect = "mutating"
share = 0.3
work = "4ms"
target_latency = "100ms"
client_timeout = "400ms"
[traffic]
rate = "300/s"
[[fault]]
at = "300ms"
for = "%dms"
what = "errors"
part = 0.1
backends = ["b0", "b3"]
[[fault]]
at = "400ms"
for = "%dms"
what = "drain"
backends = "b1"
[[fault]]
at = "500ms"
for = "900ms"
what = "kill_cold"
backends = "b4"
[expect]
broken_rules = [1, 2, 3, 4]
`

// parse fills values into a scenario text and parses it. It panics on an error, as the texts are constants of
// this package.
func (p *Proof) parse(text string, values ...any) *scenario.Scenario {
	s, err := scenario.Parse("(proof)", []byte(fmt.Sprintf(text, values...)))
	if err != nil {
		panic(err)
	}
	return s
}

// standIn describes how to start this program as one of the stand-in sidecars.
func (p *Proof) standIn(name string, args ...string) sidecars.Program {
	return sidecars.Program{Path: p.Self, Args: args, Name: name}
}

// progress reports progress, if anybody listens.
func (p *Proof) progress(format string, values ...any) {
	if p.Progress != nil {
		p.Progress(fmt.Sprintf(format, values...))
	}
}

// playLab checks the lab itself: the judge, the simulated servers, the generated load and its timing.
func playLab(p *Proof) error {
	if err := p.checkJudge(); err != nil {
		return err
	}
	p.checkQueueModel()
	if err := p.checkSocketQueue(); err != nil {
		return err
	}
	if err := p.checkArrivals(); err != nil {
		return err
	}
	return p.checkLateness()
}

// checkJudge runs faultScenario with each rule-breaking sidecar, and with one that breaks none, and checks that
// the judge finds exactly the rule that each one breaks.
func (p *Proof) checkJudge() error {
	length := 4000
	if !p.Quick {
		length = 12_000
	}
	withFaults := p.parse(faultScenario, length, length-600, length-1500)
	var modes []string
	for mode := range faulty.RuleByMode {
		modes = append(modes, mode)
	}
	slices.Sort(modes)
	reports, errs := make([]*report.Report, len(modes)), make([]error, len(modes))
	var running sync.WaitGroup
	slots := make(chan bool, 4)
	for i, mode := range modes {
		running.Add(1)
		slots <- true
		go func() {
			defer running.Done()
			p.progress("the rule-breaking sidecar %q", mode)
			reports[i], errs[i] = runner.Play(withFaults, runner.Options{Program: p.standIn(mode, "faulty", "--break", mode), Seed: p.Seed, Stop: p.Stop, Break: p.Break})
			<-slots
		}()
	}
	running.Wait()
	unmatched, visits := 0, 0
	for i, mode := range modes {
		if errs[i] != nil {
			return fmt.Errorf("%s: %w", mode, errs[i])
		}
		rules, certain := map[int]int{}, reports[i].Verdict.Certain()
		for _, violation := range certain {
			rules[violation.Rule]++
		}
		aim, holds := "no rule broken", len(rules) == 0
		if rule := faulty.RuleByMode[mode]; rule > 0 {
			aim = fmt.Sprintf("only rule %d", rule)
			holds = rules[rule] > 0 && len(rules) == 1
		}
		if !holds && len(certain) > 0 {
			at := max(0, slices.IndexFunc(certain, func(violation judge.Violation) bool { return violation.Rule != faulty.RuleByMode[mode] }))
			p.progress("the rule-breaking sidecar %q: %s", mode, certain[at])
		}
		p.claim(holds, fmt.Sprintf("the sidecar %q is judged rightly", mode), aim, "judge, by all accounts", "%s", formatVerdict(rules, len(reports[i].Verdict.Violations)-len(certain)))
		unmatched, visits = unmatched+len(reports[i].Verdict.Unmatched), visits+reports[i].Tries
	}
	p.claim(unmatched == 0, "accounts of backends and clients agree to the visit", "0 differ", "backends against clients", "%d of %d differ", unmatched, visits)
	return nil
}

// formatVerdict formats a verdict: the number of violations of each rule, and of doubtful ones.
func formatVerdict(rules map[int]int, doubtful int) string {
	var out []string
	for rule := 1; rule <= 4; rule++ {
		if rules[rule] > 0 {
			out = append(out, fmt.Sprintf("rule %d ×%d", rule, rules[rule]))
		}
	}
	if out == nil {
		out = []string{"none"}
	}
	if doubtful > 0 {
		out = append(out, fmt.Sprintf("%d doubtful", doubtful))
	}
	return strings.Join(out, ", ")
}

// erlang returns the mean wait in an M/M/c queue, in mean service times (Erlang's C formula).
func erlang(servers int, load float64) float64 {
	offered, term, sum := load*float64(servers), 1.0, 0.0
	for k := range servers {
		sum += term
		term *= offered / float64(k+1)
	}
	waits := term / (1 - load) / (sum + term/(1-load))
	return waits / (float64(servers) * (1 - load))
}

// checkQueueModel compares the mean wait in the queue model of the simulated servers, run in simulated time,
// with theory.
func (p *Proof) checkQueueModel() {
	visits := 600_000
	if !p.Quick {
		visits = 4_000_000
	}
	for _, cores := range []int{1, 4} {
		for _, load := range []float64{0.5, 0.7, 0.85} {
			p.progress("a queue with %d cores at %.0f%%", cores, 100*load)
			got := p.meanWait(cores, load, visits)
			want := erlang(cores, load)
			deviation := got/want - 1
			p.claim(math.Abs(deviation) <= 0.03, fmt.Sprintf("mean wait of M/M/%d at %.0f%% load", cores, 100*load), fmt.Sprintf("%.4f service times ± 3%%", want),
				"a backend's machine in its own time", "%.4f (%+.1f%%)", got, 100*deviation)
		}
	}
}

// meanWait simulates an M/M/c queue and returns the mean wait in mean service times. It averages a run with one
// whose service draws are mirrored (antithetic variates), which brings the variance well below the tolerance of
// the claim.
func (p *Proof) meanWait(cores int, load float64, visits int) float64 {
	const mean = 10_000.0
	sum := 0.0
	for _, mirrored := range []bool{false, true} {
		draw, serve := rng.New(p.Seed, fmt.Sprint("arrivals ", cores, load)), rng.New(p.Seed, fmt.Sprint("services ", cores, load))
		core := backend.NewCore(scenario.Backend{Cores: cores, Speed: 1, Queue: 1 << 30, WarmPart: 1, SlowFactor: 1}, scenario.Rules{}, 0, false, nil)
		at, waited := 0.0, 0.0
		for range visits {
			at += draw.Exp(mean / load / float64(cores))
			uniform := serve.Float()
			if mirrored {
				uniform = 1 - uniform
			}
			work := -mean * math.Log(1-min(uniform, 1-1e-12))
			if p.Break == "slow-core" {
				work *= 1.05
			}
			entry := &backend.Entry{Work: max(1, backend.Micros(work))}
			core.Enqueue(backend.Micros(at), entry, func(entry *backend.Entry) { waited += float64(entry.Started - entry.Arrived) })
		}
		core.Advance(math.MaxInt64 / 2)
		sum += waited / float64(visits) / mean
	}
	return sum / 2
}

// singleServer is a scenario with one server at 70% load; its length is filled in.
const singleServer = `
name = "lone"
length = "%ds"
[sidecars]
count = 1
[[backend]]
queue = 100000
[[prefix]]
name = "lookup"
work = "2ms"
work_spread = "exp"
target_latency = "2s"
client_timeout = "20s"
[traffic]
rate = "350/s"
`

// checkSocketQueue compares the recorded waits of a server on a real socket with Lindley's recursion over the
// same arrivals.
func (p *Proof) checkSocketQueue() error {
	oneServer := p.parse(singleServer, map[bool]int{true: 5, false: 30}[p.Quick])
	p.progress("the queue of one backend on a socket")
	rig, err := runner.NewRig(oneServer, runner.Options{Program: p.standIn("honest", "faulty", "--break", "honest"), Seed: p.Seed, Stop: p.Stop})
	if err != nil {
		return err
	}
	defer rig.Close()
	if _, err := rig.Run(); err != nil {
		return err
	}
	wait, expected, free := 0.0, 0.0, 0.0
	entries := rig.Entries()
	for _, entry := range entries {
		wait += float64(entry.Started - entry.Arrived)
		expected += max(0, free-float64(entry.Arrived))
		free = max(free, float64(entry.Arrived)) + float64(entry.Work)
	}
	count := float64(max(len(entries), 1))
	deviation := wait/max(expected, 1) - 1
	p.claim(math.Abs(deviation) <= 0.03 && len(entries) > 1000, "mean wait of a backend on a socket at 70% load", "Lindley's recursion ± 3%", "the backend's account, its own arrivals",
		"%.0f µs, recursion %.0f µs, %d visits (%+.2f%%)", wait/count, expected/count, len(entries), 100*deviation)
	return nil
}

// checkArrivals checks that plans are reproducible and that the requests sent are those planned, at the planned
// times.
func (p *Proof) checkArrivals() error {
	withFaults := p.parse(faultScenario, 3000, 2400, 1500)
	planned, err := plan.Draw(withFaults, p.Seed)
	if err != nil {
		return err
	}
	again, _ := plan.Draw(withFaults, p.Seed)
	other, _ := plan.Draw(withFaults, p.Seed+1)
	p.claim(planned.Hash == again.Hash && planned.Hash != other.Hash, "one seed gives one plan, another seed another", "equal, and not", "the plan's hash",
		"%016x %016x, other %016x", planned.Hash, again.Hash, other.Hash)
	p.progress("the planned arrivals")
	rig, err := runner.NewRig(withFaults, runner.Options{Program: p.standIn("honest", "faulty", "--break", "honest"), Seed: p.Seed, Stop: p.Stop, Break: p.Break})
	if err != nil {
		return err
	}
	defer rig.Close()
	if _, err := rig.Run(); err != nil {
		return err
	}
	sent, wrong := map[plan.VisitIndex]bool{}, 0
	begun := rig.PlanStart()
	for _, try := range rig.Tries() {
		if try.Number == 0 && try.Due != begun+planned.Visits[try.Visit].At {
			wrong++
		}
		sent[try.Visit] = true
	}
	workByID := map[string]clock.Micros{}
	for _, try := range rig.Tries() {
		workByID[try.ID] = planned.Visits[try.Visit].Work
	}
	for _, entry := range rig.Entries() {
		if workByID[entry.ID] != entry.Work {
			wrong++
		}
	}
	p.claim(wrong == 0 && len(sent) == len(planned.Visits), "the planned arrivals are those sent", strconv.Itoa(len(planned.Visits))+" visits, none otherwise",
		"clients and backends against the plan", "%d visits, %d otherwise", len(sent), wrong)
	return nil
}

// fullLoad is a scenario at 5,000 requests/s; its length is filled in.
const fullLoad = `
name = "busy"
length = "%ds"
[sidecars]
count = 4
[[backend]]
count = 20
cores = 4
[[prefix]]
name = "lookup"
work = "2ms"
target_latency = "100ms"
client_timeout = "500ms"
[traffic]
rate = "5000/s"
`

// checkLateness measures how far the load generator falls behind its plan at full load.
func (p *Proof) checkLateness() error {
	s := p.parse(fullLoad, map[bool]int{true: 4, false: 15}[p.Quick])
	p.progress("5,000 visits per second")
	result, err := runner.Play(s, runner.Options{Program: p.standIn("bare", "bare"), Seed: p.Seed, Stop: p.Stop})
	if err != nil {
		return err
	}
	suffix := ""
	if result.RanLate {
		suffix = ", and the report says so"
	}
	p.claim(result.LateP99 <= clock.Milli || result.RanLate, "the lab's own lateness at 5,000 visits/s", "p99 under 1 ms, else the report says that it ran late", "the lab's alarms",
		"p99 %d µs, most %d µs%s", result.LateP99, result.LateMax, suffix)
	p.note("what it carried meanwhile", "clients", "%d of %d delivered, p50 %.2f ms", result.Ends["delivered"], result.Visits, float64(result.Latency.P50)/1000)
	return nil
}
