package scale

// Measurements at different rates and of the discovery service, and the evaluation of the claims.

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"ledgespread/brain"
	"ledgespread/decide/summary"
	"ledgespread/lab/hollow"
	"ledgespread/lab/size"
)

// compareHollow compares the hollow sidecars of a size with its real ones and adds the rows to the report.
func (runner *runner) compareHollow(fleet *fleet, spanStart, spanEnd *snapshot, span float64) {
	real := fleet.run.Real
	sumOver := func(from, to int, value func(i int) float64) (sum float64) {
		for i := from; i < to; i++ {
			sum += value(i)
		}
		return sum
	}
	addRow := func(name string, hollow, real float64) {
		if math.IsNaN(hollow) || math.IsNaN(real) || real == 0 && hollow == 0 {
			return
		}
		runner.report.Agree = append(runner.report.Agree, size.Agreement{Name: fmt.Sprintf("%s, %d sidecars, %d servers, %g visits/s", name, fleet.size.Sidecars, fleet.size.Servers, float64(fleet.size.Visits)),
			Hollow: hollow, Real: real, Within: runner.Tolerances.Agree, Holds: math.Abs(hollow-real) <= runner.Tolerances.Agree*math.Abs(real)})
	}
	outs, ins := make([]hollow.KindCounts, fleet.size.Sidecars), make([]hollow.KindCounts, fleet.size.Sidecars)
	for i := range outs {
		outs[i], ins[i] = spanEnd.out[i].Since(spanStart.out[i]), spanEnd.in[i].Since(spanStart.in[i])
	}
	visits := func(i int) float64 {
		if i < real {
			return float64(spanEnd.sidecars[i].visits - spanStart.sidecars[i].visits)
		}
		return float64(spanEnd.visits[i] - spanStart.visits[i])
	}
	count := fleet.size.Sidecars
	requestBytes := func(i int) (sum float64) {
		for _, kind := range []brain.MessageKind{brain.QuoteRequest, brain.AttemptStarted, brain.AttemptUnanswered, brain.AttemptEnded, summary.Summary} {
			sum += float64(outs[i].Bytes[kind])
		}
		return sum
	}
	if fewerServers(fleet.size.variables()) && sumOver(0, real, visits) > 0 {
		addRow("bytes that one tells owners, a visit", sumOver(real, count, requestBytes)/sumOver(real, count, visits), sumOver(0, real, requestBytes)/sumOver(0, real, visits))
		requests := func(i int) float64 {
			return float64(ins[i].Messages[brain.QuoteRequest] + ins[i].Messages[summary.Summary])
		}
		answers := func(i int) float64 {
			return float64(outs[i].Messages[brain.Quote] + outs[i].Messages[summary.Estimate])
		}
		addRow("answers of an owner, an ask", sumOver(real, count, answers)/sumOver(real, count, requests), sumOver(0, real, answers)/sumOver(0, real, requests))
	}
	addRate := func(name string, value func(i int) float64) {
		addRow(name, sumOver(real, count, value)/float64(count-real)/span, sumOver(0, real, value)/float64(real)/span)
	}
	if fleet.size.Tenants > 0 {
		addRate("tenants' messages out, a second", func(i int) float64 {
			return float64(outs[i].Messages[brain.TenantUse] + outs[i].Messages[summary.Usage])
		})
	}
	memberCount := func(name string) func(i int) float64 {
		return func(i int) float64 { return float64(spanEnd.members[i][name] - spanStart.members[i][name]) }
	}
	addRate("membership's messages out, a second", memberCount("sent"))
	if !fleet.unsettled {
		addRate("membership's bytes out, a second, without exchanges", memberCount("sent_bytes"))
	}
	addRate("calls of the list, a second", func(i int) float64 { return spanEnd.discovery[i].callRate * span })
}

// measureRates measures sidecars with different rates in one fleet, to separate the cost of a visit from the
// cost of control.
func (runner *runner) measureRates() error {
	rates := runner.Rates
	fleetSize := Size{rates.Sidecars, rates.Servers, 0, runner.Tenants}
	runner.progress("on sockets: %d sidecars with the rates %v in one fleet", fleetSize.Sidecars, rates.Visits)
	fleet, err := startFleet(runner.Run, runner.options, fleetSize, 0, 0, true)
	if err != nil {
		return err
	}
	defer fleet.close()
	rate := func(i int) float64 { return float64(rates.Visits[i%len(rates.Visits)]) }
	idle, spanStart, spanEnd, err := fleet.measure(rate)
	if err != nil {
		return err
	}
	_ = idle
	span := spanEnd.at.Sub(spanStart.at).Seconds()
	runner.addSamples(fleet, spanStart, spanEnd, span)
	core := func(k int) float64 { return (spanEnd.sidecars[k].cpu - spanStart.sidecars[k].cpu).Seconds() / span }
	for rateIndex, visitRate := range rates.Visits {
		meanCore := func(from, to int) (mean float64, n int) {
			for k := from; k < to; k++ {
				if (k-from)%len(rates.Visits) == rateIndex {
					mean, n = mean+core(k), n+1
				}
			}
			return mean / float64(max(n, 1)), n
		}
		memberCore, members := meanCore(0, runner.Real)
		silentCore, silent := meanCore(runner.Real, runner.Real+runner.Silent)
		if members == 0 || silent == 0 {
			continue
		}
		at := Size{fleetSize.Sidecars, fleetSize.Servers, visitRate, fleetSize.Tenants}.variables()
		runner.addPoint("control.cpu_by_rate", at, size.Point{Mean: memberCore - silentCore, Real: memberCore - silentCore})
		if visitRate > 0 {
			runner.addPoint(size.RequestCPU, at,
				size.Point{Mean: silentCore / float64(visitRate) * 1e6, Real: silentCore / float64(visitRate) * 1e6})
		}
	}
	fleet.size.Visits = 0 // rates differ; the rows are per visit, or don't depend on visits
	runner.compareHollow(fleet, spanStart, spanEnd, span)
	return nil
}

// measureHerd measures how long changes of the server list take to reach the sidecars. It then stops the
// discovery service and measures the burst of calls when the service returns.
func (runner *runner) measureHerd() error {
	herd := runner.Herd
	if herd == nil {
		return nil
	}
	fleetSize := Size{herd.Sidecars, herd.Servers, 0, runner.Tenants}
	runner.progress("discovery: %v, the service takes %v per answer", fleetSize, herd.AnswerTime.M().Duration())
	fleet, err := startFleet(runner.Run, runner.options, fleetSize, herd.AnswerTime.M().Duration(), herd.Queue, false)
	if err != nil {
		return err
	}
	defer fleet.close()
	defer func() { runner.timerLateness = max(runner.timerLateness, fleet.alarms.Lateness().Quantile(0.99)) }()
	if err := fleet.wait(2*time.Second + runner.Warmup.M().Duration()); err != nil {
		return err
	}
	conditions := fleetSize.variables()
	inForceTimes := func(version int, since time.Time) (hollowTook, realTook []float64, missing int) {
		for _, sidecar := range fleet.hollow {
			if inForceAt, ok := sidecar.InEffectSince(uint64(version)); ok {
				hollowTook = append(hollowTook, inForceAt.Sub(since).Seconds())
			} else {
				missing++
			}
		}
		for i := range runner.Real {
			if inForceAt, ok := fleet.readers[i].ServedAt(version); ok {
				realTook = append(realTook, inForceAt.Sub(since).Seconds())
			} else {
				missing++
			}
		}
		slices.Sort(hollowTook)
		slices.Sort(realTook)
		return hollowTook, realTook, missing
	}
	var hollowTimes, realTimes []float64
	lost := 0
	for k := range herd.Changes {
		server := fleet.hosts[k%len(fleet.hosts)]
		server.Health = []string{"terminating", "in_service"}[k/len(fleet.hosts)%2]
		since := time.Now()
		version := fleet.service.update(server)
		if err := fleet.wait(herd.ChangeInterval.M().Duration()); err != nil {
			return err
		}
		changeHollow, changeReal, missing := inForceTimes(version, since)
		hollowTimes, realTimes, lost = append(hollowTimes, changeHollow...), append(realTimes, changeReal...), lost+missing
	}
	event := func(name, what, account, unit string, all []float64) {
		if len(all) == 0 {
			return
		}
		slices.Sort(all)
		runner.report.Events = append(runner.report.Events, size.Event{Name: name, What: what, Account: account, At: conditions, Unit: unit, Median: all[len(all)/2], Last: all[len(all)-1], N: len(all)})
	}
	event(size.ListInForce, fmt.Sprintf("from a change of the list to its being in force at a hollow sidecar, %d changes, the service takes %v an answer and queues %d; %d never heard it before the next",
		herd.Changes, herd.AnswerTime.M().Duration(), herd.Queue, lost), "the hollow sidecars', when the module had it", "s", hollowTimes)
	event(size.ListInForce, "the same, to the service's answer to a real sidecar", "the list's service's", "s", realTimes)

	before, refusedBefore := fleet.service.callCounts()
	runner.progress("stopping the discovery service for %v", herd.OutageSpan.M().Duration())
	fleet.service.setDown(true)
	if err := fleet.wait(herd.OutageSpan.M().Duration()); err != nil {
		return err
	}
	server := fleet.hosts[0]
	server.Health = "in_service"
	version := fleet.service.update(server)
	restored := time.Now()
	fleet.service.setDown(false)
	if err := fleet.wait(herd.RecoverySpan.M().Duration()); err != nil {
		return err
	}
	calls, refused := fleet.service.callCounts()
	first, worst := int(restored.Sub(fleet.started)/time.Second), 0
	for second := first; second < countedSeconds; second++ {
		worst = max(worst, calls[second])
	}
	down := 0
	for second := range first {
		down = max(down, calls[second]-before[second])
	}
	runner.report.Events = append(runner.report.Events, size.Event{Name: size.ServiceCallsWorstSecond, At: conditions, Unit: "1/s", Median: float64(worst), Last: float64(worst), N: 1, Account: "the list's service's",
		What: fmt.Sprintf("calls in the worst second after the service was lost for %v and all come back; while it was lost %d in the worst second; %d refused in all",
			herd.OutageSpan.M().Duration(), down, refused-refusedBefore)})
	returnHollow, returnReal, missing := inForceTimes(version, restored)
	event("list.known_after_loss", fmt.Sprintf("from the service's return to the list in force, hollow sidecars; %d had it not after %v", missing, herd.RecoverySpan.M().Duration()),
		"the hollow sidecars', when the module had it", "s", returnHollow)
	event("list.known_after_loss", "the same, to the service's answer to a real sidecar", "the list's service's", "s", returnReal)
	return nil
}

// relativeDifference returns the difference as a fraction of all. Counters are read one after another, so up
// to two messages per sidecar may be in flight between the readings; these don't count as a difference.
func (s messageTotals) relativeDifference(difference, all int64) float64 {
	return max(math.Abs(float64(difference))-2*float64(s.size.Sidecars), 0) / math.Max(float64(all), 1)
}

// judgeClaims evaluates the claims of the run and adds them to the report.
func (runner *runner) judgeClaims() {
	report := runner.report
	claim := func(holds bool, claim, aim, account, measured string, values ...any) {
		report.Claims = append(report.Claims, size.Claim{Claim: claim, Aim: aim, Measured: fmt.Sprintf(measured, values...), Account: account, Holds: holds})
	}
	if len(runner.Sizes) == 0 {
		runner.reportLimits()
		return
	}
	worst, largest, failed := "", -1.0, 0
	for _, row := range report.Agree {
		if by := math.Abs(row.Hollow-row.Real) / math.Max(math.Abs(row.Real), 1e-9); by > largest {
			worst, largest = row.Name, by
		}
		if !row.Holds {
			failed++
		}
	}
	claim(failed == 0 && len(report.Agree) > 0, fmt.Sprintf("a hollow sidecar and a real one in the same run agree (%d real processes at each size)", runner.Real),
		fmt.Sprintf("within %.0f%%", 100*runner.Tolerances.Agree), "receivers', the list's service's, members' counters", "%d of %d rows, the furthest by %.1f%%: %s", len(report.Agree)-failed, len(report.Agree), 100*largest, worst)

	claimed := map[string]bool{}
	for _, spec := range runner.slopeSpecs() {
		claimed[spec.name] = spec.claimed
	}
	worst, largest, failed = "", -1, 0
	count := 0
	for _, slope := range report.Slopes {
		if !claimed[slope.Name] || slope.Largest == nil {
			continue
		}
		count++
		by := math.Abs(slope.Largest.Predicted-slope.Largest.Measured) / math.Max(math.Abs(slope.Largest.Measured), 1e-9)
		if by > largest {
			worst, largest = slope.Name, by
		}
		if by > runner.Tolerances.Predict {
			failed++
		}
	}
	claim(failed == 0 && count > 0, "slopes through the smaller sizes predict the largest, written down before it was run", fmt.Sprintf("within %.0f%%", 100*runner.Tolerances.Predict),
		"receivers', the list's service's, members' counters", "%d of %d slopes, the furthest by %.1f%%: %s", count-failed, count, 100*largest, worst)

	if len(runner.Simulated) > 0 {
		worst, largest, failed, count = "", -1, 0, 0
		for _, slope := range report.Slopes {
			for _, point := range slope.Points {
				// Full exchanges are too rare for a measured span on sockets, so only the messages of membership are compared.
				if !strings.HasPrefix(slope.Name, "peers.") && !strings.HasPrefix(slope.Name, "membership.messages") || point.Real == 0 {
					continue
				}
				count++
				by := math.Abs(point.Mean-point.Real) / point.Real
				if by > largest {
					worst, largest = fmt.Sprintf("%s, %s", slope.Name, formatVariables(point.At)), by
				}
				if by > runner.Tolerances.Agree {
					failed++
				}
			}
		}
		claim(failed == 0 && count > 0, "a size in simulated time and the same size on sockets agree", fmt.Sprintf("within %.0f%%", 100*runner.Tolerances.Agree),
			"receivers'", "%d of %d figures, the furthest by %.1f%%: %s", count-failed, count, 100*largest, worst)
	}

	if runner.Bound > 0 {
		claim(float64(runner.peak.bytes) <= float64(runner.Bound), "what any sidecar tells others and hears of them in any second stays within its bound, as owner and as ledger too",
			fmt.Sprintf("%g bytes, in and out, heads counted", float64(runner.Bound)), "receivers'", "%d at most: sidecar %d, %s", runner.peak.bytes, runner.peak.sidecar, runner.peak.size)
	}

	worst, largest = "", -1
	for _, totals := range runner.totals {
		by := totals.relativeDifference(totals.sent-totals.recorded-totals.dropped, totals.sent)
		if by > largest {
			largest, worst = by, fmt.Sprintf("%v: %d sent, %d in the account, %d dropped by the kernel (%d more that nobody was there for)", totals.size, totals.sent, totals.recorded, totals.dropped, totals.refused)
		}
	}
	claim(len(runner.totals) > 0 && largest <= runner.Tolerances.Account, "messages that were sent are those received and those that the kernel dropped", fmt.Sprintf("within %.1f%%", 100*runner.Tolerances.Account),
		"senders' counters, receivers' account, /proc/net/udp", "the furthest by %.2f%%: %s", 100*max(largest, 0), worst)
	worst, largest = "", -1
	for _, totals := range runner.totals {
		if by := totals.relativeDifference(totals.recordedForReal-totals.receivedByReal, totals.receivedByReal); by > largest {
			largest, worst = by, fmt.Sprintf("%v: %d booked for real ones, %d by their own counters", totals.size, totals.recordedForReal, totals.receivedByReal)
		}
	}
	claim(len(runner.totals) > 0 && largest <= runner.Tolerances.Account, "what was booked for real sidecars is what they heard by their own counters", fmt.Sprintf("within %.1f%%", 100*runner.Tolerances.Account),
		"the lab's account, the processes' counters", "the furthest by %.2f%%: %s", 100*max(largest, 0), worst)

	runner.reportLimits()
}

// reportLimits records which limits of the machine the run reached.
func (runner *runner) reportLimits() {
	dropped := int64(0)
	for _, totals := range runner.totals {
		dropped += totals.dropped
	}
	if len(runner.unsettled) > 0 {
		runner.report.Stubs = append(runner.report.Stubs, "sizes at which members still told each other who joined, as none would that are acquainted; processor time there is with it: "+strings.Join(runner.unsettled, "; "))
	}
	var reached []string
	if runner.timerLateness > 1000 {
		reached = append(reached, fmt.Sprintf("processor: the lab's alarms were %d µs late at p99", runner.timerLateness))
	}
	if dropped > 0 {
		reached = append(reached, fmt.Sprintf("socket buffers: the kernel dropped %d messages", dropped))
	}
	if len(reached) > 0 {
		runner.report.Bound = strings.Join(reached, "; ")
	} else {
		runner.report.Bound = fmt.Sprintf("none (the lab's alarms were %d µs late at p99)", runner.timerLateness)
	}
}
