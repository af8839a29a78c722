package summary

// This file holds the latency average, the scheduling of messages and the random numbers of an Aggregator.

import (
	"encoding/binary"
	"hash/fnv"
	"math"
)

// latencyAverage follows the pace of this sidecar's own requests: their latency per unit of work.
type latencyAverage struct {
	latency, work float64 // fading sums over requests
	meanWork      float64 // of a request
	basePace      float64 // pace without overload: follows the recent pace slowly, upwards more slowly than downwards
	updatedAt     Micros
}

// pace returns the recent pace. The fewer recent requests there are, the closer it is to the base pace.
func (l *latencyAverage) pace(now Micros) float64 {
	ticks, followTicks := float64(now-l.updatedAt)/float64(tick), basePaceFall
	decay := math.Exp(-ticks / latencyDecay)
	l.latency, l.work, l.updatedAt = l.latency*decay, l.work*decay, now
	pace := (l.latency + baseWeight*l.meanWork*l.basePace) / max(l.work+baseWeight*l.meanWork, 1e-9)
	if l.meanWork == 0 {
		return l.basePace
	}
	if pace > l.basePace {
		followTicks = basePaceRise
	}
	l.basePace += (pace - l.basePace) * (1 - math.Exp(-ticks/followTicks))
	return pace
}

// add adds a succeeded request.
func (l *latencyAverage) add(now Micros, latency, work float64) {
	l.pace(now)
	if l.meanWork == 0 {
		l.meanWork = work
	}
	l.meanWork += (work - l.meanWork) / meanRequests
	l.latency, l.work = l.latency+latency, l.work+work
}

// randomSpan returns a random duration below the limit.
func (a *Aggregator) randomSpan(limit Micros) Micros { return Micros(a.random() * float64(limit)) }

// random returns the next pseudo-random number in [0, 1), which depends on the seed and a counter only.
func (a *Aggregator) random() float64 {
	a.randomDraws++
	var input [16]byte
	binary.BigEndian.PutUint64(input[:], a.limits.Seed)
	binary.BigEndian.PutUint64(input[8:], a.randomDraws)
	hash := fnv.New64a()
	hash.Write(input[:])
	bits := hash.Sum64()
	bits ^= bits >> 33
	bits *= 0xff51afd7ed558ccd // FNV leaves the high bits of near counters alike
	return float64((bits^bits>>33)>>11) / (1 << 53)
}

// pacer schedules messages at an interval, as a rate limiter by virtual scheduling (GCRA).
type pacer struct{ next Micros }

// available reports whether a message may be sent now, at most the time ahead before its scheduled time.
func (p *pacer) available(now, ahead Micros) bool { return p.next <= now+ahead }

// take returns the time of the next message, not before now, and schedules the one after it an interval later.
func (p *pacer) take(now, interval Micros) (at Micros) {
	at = max(p.next, now)
	p.next = at + interval
	return at
}
