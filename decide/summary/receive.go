package summary

// This file processes messages of other sidecars.

import (
	"math"
	"slices"

	"ledgespread/brain"
)

// HandleIncoming processes a message received from another sidecar.
func (a *Aggregator) HandleIncoming(now Micros, from brain.Peer, kind brain.MessageKind, about brain.ServerID, figures ...float64) {
	a.expectedReplies = a.expectedReplies[:0] // the balancer answers at once, or not at all if it does not know the server
	switch {
	case kind == Summary && len(figures) == summaryFigures:
		a.handleSummary(now, from, about, figures)
	case kind == Estimate && len(figures) == estimateFigures:
		a.handleEstimate(now, about, figures)
	case kind == Usage:
		a.handleUsage(now, from, figures)
	case kind == Totals:
		a.handleTotals(now, figures)
	case kind < Summary:
		a.host.Deliver(from, kind, about, figures...)
	default:
		a.host.Rejected(from, "unknown kind or wrong number of figures")
	}
}

// handleEstimate stores an owner's answer to a summary.
func (a *Aggregator) handleEstimate(now Micros, id brain.ServerID, figures []float64) {
	s := a.servers[id]
	if s == nil {
		return
	}
	pace, untilNext := figures[0], max(Micros(figures[2]), 1)
	s.unanswered, s.nextInterval, s.nextSummary = 0, untilNext, now+untilNext
	a.nextDue = min(a.nextDue, s.nextSummary)
	s.estimate = estimate{pace: pace, inFlight: max(figures[1], float64(s.inFlight)), ownInFlight: float64(s.inFlight),
		tieFactor:  minTieFactor * math.Pow(maxTieFactor/minTieFactor, a.random()),
		validUntil: now + estimateIntervals*max(untilNext, a.round())}
	if pace == 0 { // the server is ejected, at least until the next summary
		s.estimate.pace, s.estimate.validUntil = math.Inf(1), s.nextSummary
	}
	var paces []float64
	for _, s := range a.serverList {
		if s.estimate.validUntil > now && !math.IsInf(s.estimate.pace, 1) {
			paces = append(paces, s.estimate.pace)
		}
	}
	if len(paces) > 0 {
		slices.Sort(paces)
		a.medianPace = paces[(len(paces)-1)/2]
	}
}

// handleSummary replays another sidecar's summary to the balancer of this owner, as messages about single
// requests, and then asks the balancer for a quote in that sidecar's name.
func (a *Aggregator) handleSummary(now Micros, from brain.Peer, id brain.ServerID, figures []float64) {
	sum, inFlightTime, span := results{figures[0], figures[1], figures[2], figures[3], figures[4], figures[5], figures[6], figures[7]}, figures[8], figures[9]
	longest := float64(a.limits.MaxClientTimeout)
	// Figures that no attempts can have caused would distort the balancer's state for a long time.
	if !(sum.succeeded+sum.errors+sum.broken+sum.overloaded+sum.waiting <= maxSummaryRequests) || !(inFlightTime <= maxSummaryRequests*span) ||
		sum.succeeded > 0 && !(sum.work > 0 && max(sum.latency, sum.work)/sum.succeeded <= longest && sum.load/sum.work <= longest) {
		a.host.Rejected(from, "impossible figures in a summary")
		return
	}
	replay := func(count float64, result brain.Result, latency, work, load float64) {
		for range int(math.Round(count)) {
			a.host.Deliver(from, brain.AttemptStarted, id)
			a.host.Deliver(from, brain.AttemptEnded, id, float64(result), latency, work, load)
		}
	}
	brokenResult := brain.AnsweredError
	if sum.succeeded+sum.errors == 0 { // the sender got no response at all
		if brokenResult = brain.ConnectFailed; sum.waiting > 0 {
			a.host.Deliver(from, brain.AttemptUnanswered, id, span)
		}
	}
	replay(sum.broken, brokenResult, 0, 1, 1)
	replay(sum.errors, brain.AnsweredError, 0, 1, 1)
	if work, load := sum.work/max(sum.succeeded, 1), sum.load/max(sum.succeeded, 1); sum.succeeded > 0 {
		replay(sum.succeeded, brain.Succeeded, sum.latency/sum.succeeded, work, load)
		replay(sum.overloaded, brain.Overloaded, 0, work, load)
	}
	a.updateReplayed(now, from, id, inFlightTime, span)
	a.expectedReplies = append(a.expectedReplies, reply{from, brain.Quote, id})
	a.host.Deliver(from, brain.QuoteRequest, id)
}

// updateReplayed adjusts how many requests of other sidecars the balancer counts in flight at a server, by
// replaying beginnings or ends of requests. The number is the requests in flight that summaries report,
// averaged over the usual time between two summaries of a sender.
func (a *Aggregator) updateReplayed(now Micros, from brain.Peer, id brain.ServerID, inFlightTime, span float64) {
	entry := a.owned[id]
	if entry == nil {
		entry = &owned{updatedAt: now, fadeTime: span}
		a.owned[id] = entry
	}
	elapsed := float64(now - entry.updatedAt)
	entry.fadeTime += (max(span, float64(tick)) - entry.fadeTime) / 8
	entry.inFlightTime = entry.inFlightTime*math.Exp(-elapsed/max(entry.fadeTime, 1)) + inFlightTime*min(1, entry.fadeTime/max(span, 1))
	entry.replayed *= math.Pow(1-1/basePaceRise, elapsed/float64(tick))
	entry.updatedAt = now
	wanted := math.Round(entry.inFlightTime / max(entry.fadeTime, 1))
	for ; entry.replayed+0.5 < wanted; entry.replayed++ {
		a.host.Deliver(from, brain.AttemptStarted, id)
	}
	for ; entry.replayed-0.5 > wanted; entry.replayed-- {
		a.host.Deliver(from, brain.AttemptEnded, id, float64(brain.NeverSent), 0, 1, 1)
	}
	entry.replayed = max(entry.replayed, 0)
}

// sendEstimate sends the balancer's quote as the answer to a summary, with the time until the sender's next
// summary.
func (a *Aggregator) sendEstimate(now Micros, to brain.Peer, about brain.ServerID, quote []float64) {
	pace, interval := quote[0], a.interval(exchangeBytes, ownedShare)
	if math.IsInf(pace, 1) {
		pace = 0
	}
	if a.replyPacer.next == 0 { // at the start, reserve time for one unscheduled summary of each sidecar
		a.replyPacer.next = now + Micros(a.limits.Sidecars)*interval
	}
	a.host.Send(to, Estimate, about, pace, quote[1], float64(a.replyPacer.take(now, interval)-now))
}
