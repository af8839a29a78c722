// Package chance draws from a seed and a counter: one seed gives one plan, bit for bit, on any machine.
package chance

import (
	"encoding/binary"
	"hash/fnv"
	"math"
)

// Source is one stream of draws. Streams of other names share nothing, so that a draw more in one of them moves
// no other.
type Source struct{ seed, n uint64 }

// New is the stream of this seed and name.
func New(seed uint64, name string) *Source {
	h := fnv.New64a()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	h.Write(b[:])
	h.Write([]byte(name))
	return &Source{seed: h.Sum64()}
}

// Bits are the next 64.
func (s *Source) Bits() uint64 {
	s.n++
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], s.n)
	binary.LittleEndian.PutUint64(b[8:], s.seed)
	h := fnv.New64a()
	h.Write(b[:])
	x := h.Sum64() // its upper bits move less than its lower ones
	x ^= x >> 32
	x *= 0x9e3779b97f4a7c15
	return x ^ x>>29
}

// Float is the next in [0, 1).
func (s *Source) Float() float64 { return float64(s.Bits()>>11) / (1 << 53) }

// Below is the next whole number under n.
func (s *Source) Below(n int) int { return int(s.Float() * float64(n)) }

// Exp is the next of an exponential distribution.
func (s *Source) Exp(mean float64) float64 { return -mean * math.Log(1-s.Float()) }

// Heavy is the next of a Pareto distribution of this mean; shape over 1, the smaller the heavier the tail. It is
// cut at a thousand times the mean.
func (s *Source) Heavy(mean, shape float64) float64 {
	least := mean * (shape - 1) / shape
	return min(least/math.Pow(1-s.Float(), 1/shape), 1000*mean)
}

// Pick is the next place, by weight.
func (s *Source) Pick(weights []float64) int {
	all := 0.0
	for _, w := range weights {
		all += w
	}
	at := s.Float() * all
	for i, w := range weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return len(weights) - 1
}
