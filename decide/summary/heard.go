package summary

// heard.go: what other sidecars tell.

import (
	"math"
	"slices"

	"ledgespread/brain"
)

// Heard takes a message of another sidecar.
func (a *Aggregator) Heard(now Micros, from brain.Peer, kind brain.MessageKind, about brain.ServerID, figures ...float64) {
	a.replies = a.replies[:0] // what the module did not answer it won't: it has no such server
	switch {
	case kind == Summary && len(figures) == summaryFigures:
		a.summed(now, from, about, figures)
	case kind == Estimate && len(figures) == estimateFigures:
		a.estimated(now, about, figures)
	case kind == Usage:
		a.usage(now, from, figures)
	case kind == Totals:
		a.totals(now, figures)
	case kind < Summary:
		a.out.Hear(from, kind, about, figures...)
	default:
		a.out.Refused(from, "of no known form")
	}
}

// estimated takes an owner's word.
func (a *Aggregator) estimated(now Micros, id brain.ServerID, f []float64) {
	s := a.known[id]
	if s == nil {
		return
	}
	pace, turn := f[0], max(Micros(f[2]), 1)
	s.missed, s.turn, s.turnAt = 0, turn, now+turn
	a.nextDue = min(a.nextDue, s.turnAt)
	s.estimate = estimate{pace: pace, held: max(f[1], float64(s.out)), mine: float64(s.out), tie: tieLeast * math.Pow(tieMost/tieLeast, a.chance()),
		until: now + lives*max(turn, a.round())}
	if pace == 0 { // it sits out, till the next turn
		s.estimate.pace, s.estimate.until = math.Inf(1), s.turnAt
	}
	var all []float64
	for _, s := range a.row {
		if s.estimate.until > now && !math.IsInf(s.estimate.pace, 1) {
			all = append(all, s.estimate.pace)
		}
	}
	if len(all) > 0 {
		slices.Sort(all)
		a.median = all[(len(all)-1)/2]
	}
}

// summed takes, as an owner, what another sidecar saw, and has the module hear of it as of so many requests. Then the module is asked in that
// sidecar's name.
func (a *Aggregator) summed(now Micros, from brain.Peer, id brain.ServerID, f []float64) {
	v, spent, span := seen{f[0], f[1], f[2], f[3], f[4], f[5], f[6], f[7]}, f[8], f[9]
	longest := float64(a.limits.Longest)
	// This prevents figures that no attempts can have, and that would stay in the module's books.
	if !(v.good+v.bad+v.broken+v.full+v.silent <= fetchesMost) || !(spent <= fetchesMost*span) ||
		v.good > 0 && !(v.work > 0 && max(v.took, v.work)/v.good <= longest && v.load/v.work <= longest) {
		a.out.Refused(from, "figures that no attempts can have")
		return
	}
	ended := func(many float64, rc brain.Result, took, work, load float64) {
		for range int(math.Round(many)) {
			a.out.Hear(from, brain.Began, id)
			a.out.Hear(from, brain.Ended, id, float64(rc), took, work, load)
		}
	}
	broken := brain.AnsweredError
	if v.good+v.bad == 0 { // no sign of life
		if broken = brain.ConnectFailed; v.silent > 0 {
			a.out.Hear(from, brain.Waits, id, span)
		}
	}
	ended(v.broken, broken, 0, 1, 1)
	ended(v.bad, brain.AnsweredError, 0, 1, 1)
	if work, load := v.work/max(v.good, 1), v.load/max(v.good, 1); v.good > 0 {
		ended(v.good, brain.Succeeded, v.took/v.good, work, load)
		ended(v.full, brain.Overloaded, 0, work, load)
	}
	a.held(now, from, id, spent, span)
	a.replies = append(a.replies, reply{from, brain.Quote, id})
	a.out.Hear(from, brain.Ask, id)
}

// held brings the module's count of others' requests at a server to what summaries say: the requests held there, over the usual time from one
// summary to the next of each who sends them.
func (a *Aggregator) held(now Micros, from brain.Peer, id brain.ServerID, spent, span float64) {
	o := a.owned[id]
	if o == nil {
		o = &owned{at: now, span: span}
		a.owned[id] = o
	}
	passed := float64(now - o.at)
	o.span += (max(span, float64(beat)) - o.span) / 8
	o.spent = o.spent*math.Exp(-passed/max(o.span, 1)) + spent*min(1, o.span/max(span, 1))
	o.away *= math.Pow(1-1/calmRise, passed/float64(beat))
	o.at = now
	there := math.Round(o.spent / max(o.span, 1))
	for ; o.away+0.5 < there; o.away++ {
		a.out.Hear(from, brain.Began, id)
	}
	for ; o.away-0.5 > there; o.away-- {
		a.out.Hear(from, brain.Ended, id, float64(brain.NeverSent), 0, 1, 1)
	}
	o.away = max(o.away, 0)
}

// answer sends what the module answers to a summary, with a turn for the next one.
func (a *Aggregator) answer(now Micros, to brain.Peer, about brain.ServerID, quote []float64) {
	pace, each := quote[0], a.span(exchangeBytes, ownedPart)
	if math.IsInf(pace, 1) {
		pace = 0
	}
	if a.gives.next == 0 { // those come that were not given a turn yet, each once
		a.gives.next = now + Micros(a.limits.Sidecars)*each
	}
	a.out.Send(to, Estimate, about, pace, quote[1], float64(a.gives.take(now, each)-now))
}
