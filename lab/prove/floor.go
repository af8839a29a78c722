package prove

import (
	"fmt"
	"os"
	"sort"
	"syscall"
	"time"

	"ledgespread/lab/baseline"
	"ledgespread/lab/clock"
	"ledgespread/lab/list"
	"ledgespread/lab/load"
	"ledgespread/lab/sidecars"
)

// steadyLoad is a scenario with constant load and one server; its length and its rate are filled in.
const steadyLoad = `
name = "floor"
length = "%dms"
warmup = "300ms"
[[backend]]
[[prefix]]
name = "lookup"
work = "1us"
target_latency = "150ms"
client_timeout = "750ms"
[traffic]
rate = "%d/s"
`

// figures are the measurements of one program in one round.
type figures struct {
	maxRate, cpuAtMaxRate         float64 // maximum requests/s on one core; CPU time per request then, in µs
	cpu                           float64 // CPU time per request at 2,000/s, in µs
	p50, p99, p999                float64 // latency at 2,000/s, in µs
	loaded50, loaded99, loaded999 float64 // latency at 70% of its maximum rate, in µs
	memoryIdle, memoryLoaded      float64 // resident memory before and under load, in MiB
	failed, failedLoaded          int     // requests not delivered, at 2,000/s and at 70%
}

// contender is a program under measurement, between the lab's clients and two servers that answer immediately.
type contender struct {
	name    string
	sidecar *sidecars.Sidecar
	rounds  []figures
}

// median returns the median of one figure over all rounds.
func median(rounds []figures, value func(figures) float64) float64 {
	var values []float64
	for _, f := range rounds {
		values = append(values, value(f))
	}
	sort.Float64s(values)
	return values[len(values)/2]
}

// playFloor measures the overhead of the sidecar: it compares the sidecar with a plain forwarder, and with an
// earlier build if one is given, in alternating rounds, and with clients that call the servers directly.
func playFloor(p *Proof) error {
	rounds, span := 3, 2*time.Second
	if !p.Quick {
		rounds, span = 7, 5*time.Second
	}
	folder, err := os.MkdirTemp("", "ledgelab-floor-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	labClock := clock.Start()
	serverList := list.New(labClock)
	defer serverList.Close()
	var echoes []string
	for i := range 2 {
		at, stop, err := baseline.Echo()
		if err != nil {
			return err
		}
		defer stop()
		echoes = append(echoes, at)
		serverList.Set(list.Host{Name: fmt.Sprintf("e%d", i), Zone: "a", Health: "in_service", Share: 1, Dial: func(string) string { return at }}, 0)
	}
	steadyScenario := p.parse(steadyLoad, 1000, 2000)
	contenders := []*contender{{name: "sidecar"}, {name: "bare"}}
	programs := []sidecars.Program{p.Sidecar, p.standIn("bare", "bare")}
	if p.EarlierBuild.Path != "" {
		contenders, programs = append(contenders, &contender{name: "earlier"}), append(programs, p.EarlierBuild)
	}
	for i, program := range programs {
		if p.Break == "decoy" && i == 0 { // the plain forwarder replaces the sidecar: the proof must detect that it makes no load balancing decision
			program = p.standIn("bare", "bare")
		}
		name := contenders[i].name
		if contenders[i].sidecar, err = sidecars.New(name, "a", program, folder, labClock, func(at string) ([]byte, error) {
			discovery, err := serverList.Address(name)
			if err != nil {
				return nil, err
			}
			return sidecars.Configuration{Scenario: steadyScenario, Name: name, Zone: steadyScenario.Zones[0], Listen: at, Discovery: discovery, Seed: p.Seed, Known: serverList.FullList(name, true)}.JSON()
		}); err != nil {
			return err
		}
		if err := contenders[i].sidecar.Start(10 * time.Second); err != nil {
			return err
		}
		defer contenders[i].sidecar.Kill()
	}
	time.Sleep(500 * time.Millisecond)
	idleMemory := make([]float64, len(contenders))
	for i, candidate := range contenders {
		idleMemory[i] = float64(sidecars.Memory(candidate.sidecar.Pid())) / 1024
	}
	direct := []figures{}
	for round := range rounds {
		for k := range contenders {
			i := (k + round) % len(contenders) // alternates the order
			candidate := contenders[i]
			p.progress("round %d of %d: %s", round+1, rounds, candidate.name)
			roundFigures, err := p.measure(candidate, span, p.Seed+uint64(round))
			if err != nil {
				return err
			}
			roundFigures.memoryIdle = idleMemory[i]
			candidate.rounds = append(candidate.rounds, roundFigures)
		}
		steadyScenario := p.parse(steadyLoad, 300+span.Milliseconds(), 2000)
		measured, err := load.RunOpenLoop(echoes[0], steadyScenario, p.Seed+uint64(round), p.Stop)
		if err != nil {
			return err
		}
		direct = append(direct, figures{p50: float64(measured.Latency.P50), p99: float64(measured.Latency.P99), p999: float64(measured.Latency.P999)})
	}
	sidecarRounds, bareRounds := contenders[0].rounds, contenders[1].rounds
	compare := func(what, unit string, get func(figures) float64) (sidecarMedian, bareMedian float64) {
		sidecarMedian, bareMedian = median(sidecarRounds, get), median(bareRounds, get)
		beside := ""
		if len(contenders) > 2 {
			earlierMedian := median(contenders[2].rounds, get)
			beside = fmt.Sprintf("; earlier %.1f, ratio to it %.2f", earlierMedian, sidecarMedian/earlierMedian)
		}
		p.note(what, "median of rounds, alternating", "sidecar %.1f, bare %.1f %s, ratio %.2f%s", sidecarMedian, bareMedian, unit, sidecarMedian/bareMedian, beside)
		return sidecarMedian, bareMedian
	}
	maxRate, bareMaxRate := compare("visits/s on one core", "/s", func(f figures) float64 { return f.maxRate })
	compare("CPU a visit at the most", "µs", func(f figures) float64 { return f.cpuAtMaxRate })
	cpuPerRequest, _ := compare("CPU a visit at 2,000/s", "µs", func(f figures) float64 { return f.cpu })
	added := func(name string, get func(figures) float64) float64 {
		sidecarMedian, bareMedian, directMedian := median(sidecarRounds, get), median(bareRounds, get), median(direct, get)
		p.note("added at 2,000/s, "+name, "clients, against the server asked directly", "sidecar %+.0f, bare %+.0f µs (direct %.0f)", sidecarMedian-directMedian, bareMedian-directMedian, directMedian)
		return sidecarMedian - directMedian
	}
	addedMedian := added("p50", func(f figures) float64 { return f.p50 })
	added("p99", func(f figures) float64 { return f.p99 })
	added("p99.9", func(f figures) float64 { return f.p999 })
	compare("p50 at 70% of what each carries", "µs", func(f figures) float64 { return f.loaded50 })
	compare("p99 at 70% of what each carries", "µs", func(f figures) float64 { return f.loaded99 })
	compare("p99.9 at 70% of what each carries", "µs", func(f figures) float64 { return f.loaded999 })
	compare("memory at rest", "MiB", func(f figures) float64 { return f.memoryIdle })
	compare("memory at load", "MiB", func(f figures) float64 { return f.memoryLoaded })
	failed, failedLoaded := 0, make([]int, len(contenders))
	for i, candidate := range contenders {
		for _, roundFigures := range candidate.rounds {
			failed, failedLoaded[i] = failed+roundFigures.failed, failedLoaded[i]+roundFigures.failedLoaded
		}
	}
	p.note("not delivered at 70%", "clients, all rounds", "sidecar %d, bare %d", failedLoaded[0], failedLoaded[1])
	p.claim(failed == 0, "all at 2,000/s is delivered", "0 otherwise", "clients", "%d otherwise", failed)
	// This claim sets no performance target: it only requires that there are measurements, and that a real
	// sidecar was measured.
	p.claim(maxRate > 0 && cpuPerRequest > 0 && addedMedian > 0 && madeDecisions(contenders[0].sidecar), "the sidecar was measured, and decided", "its own counters agree", "its /-/counters",
		"%.0f/s, %.0f%% of the bare one's", maxRate, 100*maxRate/bareMaxRate)
	return nil
}

// measure measures a contender: first its maximum rate, then its latency and CPU time at 2,000/s and at 70% of
// the maximum.
func (p *Proof) measure(program *contender, span time.Duration, seed uint64) (result figures, err error) {
	cpuTime := func() time.Duration { cpu, _ := program.sidecar.Usage(); return cpu }
	before := cpuTime()
	if result.maxRate, err = load.MeasureThroughput(program.sidecar.Address, "lookup", 64, span); err != nil {
		return result, fmt.Errorf("%s at the most: %w", program.name, err)
	}
	result.cpuAtMaxRate = float64((cpuTime() - before).Microseconds()) / (result.maxRate * span.Seconds())
	result.memoryLoaded = float64(sidecars.Memory(program.sidecar.Pid())) / 1024
	for _, step := range []struct {
		rate int
		high bool
	}{{2000, false}, {int(0.7 * result.maxRate), true}} {
		steadyScenario := p.parse(steadyLoad, 300+span.Milliseconds(), step.rate)
		before = cpuTime()
		measured, err := load.RunOpenLoop(program.sidecar.Address, steadyScenario, seed, p.Stop)
		if err != nil {
			return result, err
		}
		requests, failedBefore := 0, result.failed
		for how, n := range measured.Ends {
			if requests += n; how != "delivered" {
				result.failed += n
			}
		}
		p50, p99, p999 := float64(measured.Latency.P50), float64(measured.Latency.P99), float64(measured.Latency.P999)
		if step.high {
			result.failedLoaded = result.failed - failedBefore
			result.failed = failedBefore
			result.loaded50, result.loaded99, result.loaded999 = p50, p99, p999
			continue
		}
		result.cpu = float64((cpuTime() - before).Microseconds()) / float64(requests)
		result.p50, result.p99, result.p999 = p50, p99, p999
	}
	return result, nil
}

// madeDecisions reports whether the sidecar's own counters show that it balanced requests, and stops the sidecar.
func madeDecisions(sidecar *sidecars.Sidecar) bool {
	counted := sidecar.Counter("ledgespread_visits_delivered")
	sidecar.Signal(syscall.SIGTERM)
	return counted > 0
}
