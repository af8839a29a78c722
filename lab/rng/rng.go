// Package rng is a seeded random number generator. A seed gives the same sequence on any machine, bit for bit,
// because each number is a hash of the seed and a counter.
package rng

import (
	"encoding/binary"
	"hash/fnv"
	"math"
)

// Source is one random stream. Streams with different names are independent: drawing more from one leaves the
// sequences of the others unchanged.
type Source struct{ seed, counter uint64 }

// New returns the stream of a seed and name.
func New(seed uint64, name string) *Source {
	hash := fnv.New64a()
	var bytes [8]byte
	binary.LittleEndian.PutUint64(bytes[:], seed)
	hash.Write(bytes[:])
	hash.Write([]byte(name))
	return &Source{seed: hash.Sum64()}
}

// Bits returns the next 64 random bits.
func (s *Source) Bits() uint64 {
	s.counter++
	var bytes [16]byte
	binary.LittleEndian.PutUint64(bytes[:], s.counter)
	binary.LittleEndian.PutUint64(bytes[8:], s.seed)
	hash := fnv.New64a()
	hash.Write(bytes[:])
	bits := hash.Sum64() // FNV mixes its upper bits less well than its lower ones
	bits ^= bits >> 32
	bits *= 0x9e3779b97f4a7c15
	return bits ^ bits>>29
}

// Float returns the next number, uniform in [0, 1).
func (s *Source) Float() float64 { return float64(s.Bits()>>11) / (1 << 53) }

// Below returns the next integer, uniform in [0, n).
func (s *Source) Below(n int) int { return int(s.Float() * float64(n)) }

// Exp returns the next number of an exponential distribution with this mean.
func (s *Source) Exp(mean float64) float64 { return -mean * math.Log(1-s.Float()) }

// Heavy returns the next number of a Pareto distribution with this mean before capping. Shape must be over 1; a
// smaller shape gives a heavier tail. Numbers are capped at 1000 times the mean.
func (s *Source) Heavy(mean, shape float64) float64 {
	minimum := mean * (shape - 1) / shape
	return min(minimum/math.Pow(1-s.Float(), 1/shape), 1000*mean)
}

// Pick returns a random index into weights, with a probability proportional to its weight.
func (s *Source) Pick(weights []float64) int {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	position := s.Float() * total
	for i, weight := range weights {
		if position -= weight; position < 0 {
			return i
		}
	}
	return len(weights) - 1
}
