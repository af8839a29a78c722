package scale

// The figures of a size, computed from snapshots.

import (
	"os"

	"ledgespread/brain"
	"ledgespread/decide/summary"
	"ledgespread/lab/hollow"
	"ledgespread/lab/sidecars"
	"ledgespread/lab/size"
)

// recordSize adds the figures of a size on sockets to the points. first is true for the first size of a fleet.
func (runner *runner) recordSize(fleet *fleet, idle, spanStart, spanEnd *snapshot, first bool) error {
	fleetSize, conditions := fleet.size, fleet.size.variables()
	count, span := fleetSize.Sidecars, spanEnd.at.Sub(spanStart.at).Seconds()
	late := fleet.alarms.Lateness()
	runner.timerLateness = max(runner.timerLateness, late.Quantile(0.99))
	from, to := brain.Micros(spanStart.at.Sub(fleet.started).Microseconds()), brain.Micros(spanEnd.at.Sub(fleet.started).Microseconds())
	worstIn, worstOut := fleet.account.MaxPerSecond(from, to)
	runner.peak.update(fleet.account, from, to, "on sockets, "+fleetSize.String())
	for name, p := range runner.messagePoints(fleetSize, span, spanStart.in, spanStart.out, spanEnd.in, spanEnd.out, fleet.run.Real) {
		switch name {
		case "peers.bytes_in":
			p.WorstSecond = float64(worstIn)
		case "peers.bytes_out":
			p.WorstSecond = float64(worstOut)
		}
		runner.addPoint("sockets."+name, conditions, p)
	}
	addSpread := func(name string, value func(i int) float64) {
		runner.addPoint(name, conditions, summarize(count, fleet.run.Real, value))
	}
	memberRate := func(name string) func(i int) float64 {
		return func(i int) float64 { return float64(spanEnd.members[i][name]-spanStart.members[i][name]) / span }
	}
	if fleet.unsettled {
		runner.unsettled = append(runner.unsettled, fleetSize.String())
	} else {
		memberCount := size.Conditions{"sidecars": float64(count)}
		runner.addPoint("sockets.membership.messages_in", memberCount, summarize(count, fleet.run.Real, memberRate("heard")))
		runner.addPoint("sockets.membership.messages_out", memberCount, summarize(count, fleet.run.Real, memberRate("sent")))
		runner.addPoint("sockets.membership.bytes_in", memberCount, summarize(count, fleet.run.Real, func(i int) float64 {
			return memberRate("heard_bytes")(i) + hollow.DatagramHeaderBytes*memberRate("heard")(i) + memberRate("exchanged_bytes_in")(i)
		}))
		runner.addPoint("sockets.membership.bytes_out", memberCount, summarize(count, fleet.run.Real, func(i int) float64 {
			return memberRate("sent_bytes")(i) + hollow.DatagramHeaderBytes*memberRate("sent")(i) + memberRate("exchanged_bytes_out")(i)
		}))
	}
	calls, bytes := 0.0, 0.0
	for _, stats := range spanEnd.discovery {
		calls, bytes = calls+stats.callRate, bytes+stats.callRate*stats.perCall(stats.out)
	}
	addSpread("list.messages_out", func(i int) float64 { return spanEnd.discovery[i].callRate })
	addSpread("list.messages_in", func(i int) float64 { return spanEnd.discovery[i].callRate })
	addSpread("list.bytes_out", func(i int) float64 {
		return spanEnd.discovery[i].callRate * spanEnd.discovery[i].perCall(spanEnd.discovery[i].in)
	})
	addSpread("list.bytes_in", func(i int) float64 {
		return spanEnd.discovery[i].callRate * spanEnd.discovery[i].perCall(spanEnd.discovery[i].out)
	})
	runner.addPoint(size.ServiceCallsCalm, conditions, size.Point{Mean: calls})
	runner.addPoint(size.ServiceBytesOut, conditions, size.Point{Mean: bytes})

	runner.recordProcesses(fleet, idle, spanStart, spanEnd, span, first)

	end, err := fleet.takeSnapshot()
	if err != nil {
		return err
	}
	totals := messageTotals{size: fleetSize, sent: end.sent - idle.sent, refused: end.refused - idle.refused, dropped: end.drops.peerMessages - idle.drops.peerMessages}
	for i := range end.in {
		for kind := range end.in[i].Messages {
			messages := end.in[i].Messages[kind] - idle.in[i].Messages[kind]
			totals.recorded += messages
			if i < fleet.run.Real {
				totals.recordedForReal += messages
			}
		}
	}
	totals.receivedByReal = end.receivedByReal - idle.receivedByReal
	runner.totals = append(runner.totals, totals)
	runner.compareHollow(fleet, spanStart, spanEnd, span)
	return nil
}

// recordProcesses adds processor time, memory and open files of the real sidecars, compared with the silent ones.
func (runner *runner) recordProcesses(fleet *fleet, idle, spanStart, spanEnd *snapshot, span float64, first bool) {
	conditions, real, silent := fleet.size.variables(), fleet.run.Real, fleet.run.Silent
	core := func(k int) float64 { return (spanEnd.sidecars[k].cpu - spanStart.sidecars[k].cpu).Seconds() / span }
	memberCore, silentCore := summarize(real, real, core), summarize(silent, 0, func(k int) float64 { return core(real + k) })
	if silent > 0 {
		runner.addPoint("control.cpu_over_silent", conditions, size.Point{Mean: memberCore.Mean - silentCore.Mean, Most: memberCore.Most - silentCore.Mean, Real: memberCore.Mean - silentCore.Mean})
	}
	rates := messageRates{at: conditions, messages: runner.addSamples(fleet, spanStart, spanEnd, span)}
	rates.owner, rates.ledger = busiestRates(spanStart, spanEnd, span)
	runner.messageRates = append(runner.messageRates, rates)
	runner.addPoint("process.cpu", conditions, memberCore)
	const mb = 1024.0 / 1e6
	memory := summarize(real, real, func(k int) float64 { return float64(spanEnd.sidecars[k].memory) * mb })
	runner.addPoint(size.Memory, conditions, memory)
	for _, role := range []string{size.Owner, size.Ledger} {
		runner.addPoint(role+".memory_mb", conditions, size.Point{Mean: memory.Most, Real: memory.Most})
	}
	if first { // the fleet has not received any visit yet
		runner.addPoint("memory.idle_mb", conditions, summarize(real, real, func(k int) float64 { return float64(idle.sidecars[k].memory) * mb }))
	}
	runner.addPoint(size.Descriptors, conditions, summarize(real, real, func(k int) float64 { return float64(spanEnd.sidecars[k].files) }))
	labMemory := float64(sidecars.Memory(os.Getpid())) * mb
	runner.addPoint("hollow.memory_mb", conditions, size.Point{Mean: labMemory / float64(max(len(fleet.hollow), 1))})
}

// summarize summarizes a figure over n sidecars: its mean, its maximum, and its mean over the real sidecars,
// which have the lowest numbers.
func summarize(n, real int, value func(i int) float64) (point size.Point) {
	for i := range n {
		figure := value(i)
		point.Mean += figure / float64(n)
		if i == 0 || figure > point.Most {
			point.Most = figure
		}
		if i < real {
			point.Real += figure / float64(real)
		}
	}
	return point
}

// addPoint adds a point to the figure of this name.
func (runner *runner) addPoint(name string, at size.Conditions, point size.Point) {
	point.At = at
	runner.points[name] = append(runner.points[name], point)
}

// messagePoints returns the figures for the messages between sidecars from two readings of an account that are
// span seconds apart.
func (runner *runner) messagePoints(fleetSize Size, span float64,
	inBefore, outBefore, inAfter, outAfter []hollow.KindCounts, real int) map[string]size.Point {
	all := map[string]size.Point{}
	count := fleetSize.Sidecars
	part := func(kinds func(i int) hollow.KindCounts, tenants bool, index int) func(i int) float64 {
		return func(i int) float64 {
			peers, ledger := kinds(i).Split()
			if tenants {
				peers = ledger
			}
			return float64(peers[index]) / span
		}
	}
	ins := func(i int) hollow.KindCounts { return inAfter[i].Since(inBefore[i]) }
	outs := func(i int) hollow.KindCounts { return outAfter[i].Since(outBefore[i]) }
	for direction, of := range map[string]func(i int) hollow.KindCounts{"in": ins, "out": outs} {
		for what, unit := range []string{"messages", "bytes"} {
			all["peers."+unit+"_"+direction] = summarize(count, real, part(of, false, what))
			tenantPart := part(of, true, what)
			all["tenants."+unit+"_"+direction] = summarize(count, real, tenantPart)
			ledger := 0.0
			for i := range count {
				ledger = max(ledger, tenantPart(i))
			}
			all["ledger."+unit+"_"+direction] = size.Point{Mean: ledger}
		}
	}
	// The owner of one server: its share of the requests and answers of all owners, plus the traffic of an ordinary
	// sidecar.
	sum := func(of func(i int) hollow.KindCounts, kinds ...brain.MessageKind) (messages, bytes float64) {
		for i := range count {
			counts := of(i)
			for _, kind := range kinds {
				messages, bytes = messages+float64(counts.Messages[kind])/span, bytes+float64(counts.Bytes[kind])/span
			}
		}
		return messages, bytes
	}
	ownerKinds := []brain.MessageKind{brain.QuoteRequest, brain.AttemptStarted, brain.AttemptUnanswered, brain.AttemptEnded, summary.Summary}
	for direction, of := range map[string]func(i int) hollow.KindCounts{"in": ins, "out": outs} {
		ownerPart, ordinary := ownerKinds, []brain.MessageKind{brain.Quote, summary.Estimate}
		if direction == "out" {
			ownerPart, ordinary = ordinary, ownerPart
		}
		ownerMessages, ownerBytes := sum(of, ownerPart...)
		ordinaryMessages, ordinaryBytes := sum(of, ordinary...)
		servers, sidecars := float64(fleetSize.Servers), float64(count)
		all["owner.messages_"+direction] = size.Point{Mean: ownerMessages/servers + ordinaryMessages/sidecars}
		all["owner.bytes_"+direction] = size.Point{Mean: ownerBytes/servers + ordinaryBytes/sidecars}
		if runner.Bound > 0 { // an owner's traffic does not grow with its servers, so the busiest sidecar represents it
			for _, unit := range []string{"messages_", "bytes_"} {
				all["owner."+unit+direction] = size.Point{Mean: all["peers."+unit+direction].Most}
			}
		}
	}
	return all
}
