package summary

// pacer.go: fading levels, turns and chance.

import (
	"encoding/binary"
	"hash/fnv"
	"math"
)

// level is what this sidecar's own requests lately saw.
type level struct {
	took, work, mean float64 // latency; work; work of a request
	calm             float64 // answer time per unit of work when nothing is crowded, slowly followed
	at               Micros
}

// now is the answer time per unit of work by now.
func (l *level) now(now Micros) float64 {
	passed, slow := float64(now-l.at)/float64(beat), calmFall
	keep := math.Exp(-passed / fades)
	l.took, l.work, l.at = l.took*keep, l.work*keep, now
	pace := (l.took + firm*l.mean*l.calm) / max(l.work+firm*l.mean, 1e-9)
	if l.mean == 0 {
		return l.calm
	}
	if pace > l.calm {
		slow = calmRise
	}
	l.calm += (pace - l.calm) * (1 - math.Exp(-passed/slow))
	return pace
}

func (l *level) add(now Micros, took, work float64) {
	l.now(now)
	if l.mean == 0 {
		l.mean = work
	}
	l.mean += (work - l.mean) / enough
	l.took, l.work = l.took+took, l.work+work
}

// within draws a span below this one.
func (a *Aggregator) within(most Micros) Micros { return Micros(a.chance() * float64(most)) }

// chance draws a number from 0 up to 1 out of the seed and a counter.
func (a *Aggregator) chance() float64 {
	a.drawn++
	var in [16]byte
	binary.BigEndian.PutUint64(in[:], a.limits.Seed)
	binary.BigEndian.PutUint64(in[8:], a.drawn)
	h := fnv.New64a()
	h.Write(in[:])
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd // FNV leaves the high bits of near counters alike
	return float64((x^x>>33)>>11) / (1 << 53)
}

// pacer deals out turns, a span apart: a virtual schedule (GCRA).
type pacer struct{ next Micros }

// free tells whether a turn could begin now, where so much may be ahead of the schedule.
func (p *pacer) free(now, ahead Micros) bool { return p.next <= now+ahead }

// take is the next turn, at now at the earliest; the one after it comes a span later.
func (p *pacer) take(now, span Micros) (at Micros) {
	at = max(p.next, now)
	p.next = at + span
	return at
}
