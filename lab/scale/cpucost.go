package scale

// Estimates of the processor time of a visit and of a message, fitted over real processes.

import (
	"fmt"

	"ledgespread/lab/size"
)

// cpuSample is one real process at one size: the fraction of a core it used, and its visits and messages (sent
// and received) per second. Processes with equal visits differ in messages, because some own servers; that
// makes it possible to separate the cost of a visit from that of a message.
type cpuSample struct{ core, visits, messages float64 }

// cpuCosts is the processor time that a process uses without visits, for each visit, and for each message.
type cpuCosts struct {
	base, visit, message float64 // base is a fraction of a core; visit and message are seconds
	deviation            [3]float64
	n                    int
}

// fitCPUCosts estimates the costs from samples by least squares.
func fitCPUCosts(samples []cpuSample) (costs cpuCosts, err error) {
	var points []size.Point
	for _, x := range samples {
		points = append(points, size.Point{At: size.Conditions{"visits": x.visits, "messages": x.messages}, Mean: x.core})
	}
	coefficients, deviations, err := size.Fit(points, []string{"visits", "messages"})
	if err != nil {
		return costs, err
	}
	return cpuCosts{coefficients[size.Const], coefficients["visits"], coefficients["messages"], [3]float64{deviations[size.Const], deviations["visits"], deviations["messages"]}, len(samples)}, nil
}

// addSamples adds a sample for each real process and returns their messages per second.
func (runner *runner) addSamples(fleet *fleet, spanStart, spanEnd *snapshot, span float64) (messages []float64) {
	for k := range fleet.run.Real {
		in, out, total := spanEnd.in[k].Since(spanStart.in[k]), spanEnd.out[k].Since(spanStart.out[k]), 0.0
		for kind := range in.Messages {
			total += float64(in.Messages[kind]+out.Messages[kind]) / span
		}
		messages = append(messages, total)
		runner.samples = append(runner.samples, cpuSample{(spanEnd.sidecars[k].cpu - spanStart.sidecars[k].cpu).Seconds() / span, float64(spanEnd.sidecars[k].visits-spanStart.sidecars[k].visits) / span, total})
	}
	return messages
}

// updateControlCPU fits the processor costs and recomputes the cost of control at each size measured so far.
// Control includes all that a process uses without visits, and its messages.
func (runner *runner) updateControlCPU() {
	costs, err := fitCPUCosts(runner.samples)
	if err != nil {
		runner.progress("processor costs could not be fitted: %v", err)
		return
	}
	runner.cpuCosts = &costs
	for _, name := range []string{size.ControlCPU, size.Owner + ".cpu", size.Ledger + ".cpu"} {
		runner.points[name] = nil
	}
	for _, rates := range runner.messageRates {
		runner.addControlCPU(rates)
	}
}

// addControlCPU adds the estimated cost of control at one size: of the real sidecars, of the sidecar with the
// most messages (the owner), and of the one with the most tenant messages (the ledger).
func (runner *runner) addControlCPU(rates messageRates) {
	core := func(messages float64) float64 { return runner.cpuCosts.base + runner.cpuCosts.message*messages }
	runner.addPoint(size.ControlCPU, rates.at, summarize(len(rates.messages), len(rates.messages), func(k int) float64 { return core(rates.messages[k]) }))
	runner.addPoint(size.Owner+".cpu", rates.at, size.Point{Mean: core(rates.owner)})
	runner.addPoint(size.Ledger+".cpu", rates.at, size.Point{Mean: core(rates.ledger)})
}

// busiestRates returns the messages per second, in and out, of the sidecar with the most messages (owner) and
// of the one that receives the most tenant messages (ledger).
func busiestRates(spanStart, spanEnd *snapshot, span float64) (owner, ledger float64) {
	tenants := 0.0
	for i := range spanEnd.in {
		in, out, all := spanEnd.in[i].Since(spanStart.in[i]), spanEnd.out[i].Since(spanStart.out[i]), 0.0
		for kind := range in.Messages {
			all += float64(in.Messages[kind]+out.Messages[kind]) / span
		}
		_, ledgerPart := in.Split()
		if owner = max(owner, all); float64(ledgerPart[0]) > tenants {
			tenants, ledger = float64(ledgerPart[0]), all
		}
	}
	return owner, ledger
}

// reportCPUCosts adds the fitted processor costs to the report.
func (runner *runner) reportCPUCosts() {
	if runner.cpuCosts == nil {
		return
	}
	costs := *runner.cpuCosts
	for i, figure := range []struct {
		name, what, unit string
		of, times        float64
	}{{"control.cpu_us_a_message", "processor time of a message between sidecars, sent or heard", "us", costs.message, 1e6},
		{"visit.cpu_us_without_messages", "processor time of a visit, its messages left out", "us", costs.visit, 1e6},
		{"control.cpu_base", "processor time without a visit or a message: beats, the list, membership", "core", costs.base, 1}} {
		deviation := costs.deviation[[]int{2, 1, 0}[i]]
		runner.report.Events = append(runner.report.Events, size.Event{Name: figure.name, Unit: figure.unit, Account: accountRusage,
			At:     size.Conditions{},
			What:   fmt.Sprintf("%s; by least squares over real processes that differ in both, last is with two standard errors", figure.what),
			Median: max(figure.of*figure.times, 0), Last: max((figure.of+2*deviation)*figure.times, 0), N: costs.n})
	}
}

// messageRates holds the messages per second at one size: of each real process, of the owner and of the ledger
// (see busiestRates).
type messageRates struct {
	at            size.Conditions
	messages      []float64
	owner, ledger float64
}
