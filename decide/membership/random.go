package membership

// This file draws pseudo-random numbers from a seed and a counter, so that a simulation can be repeated
// exactly.

import (
	"encoding/binary"
	"hash/fnv"
)

// jitter returns span, randomly changed by up to a tenth.
func (n *Node) jitter(span Micros) Micros { return Micros(float64(span) * (0.9 + 0.2*n.random())) }

// random returns the next pseudo-random number in [0, 1).
func (n *Node) random() float64 {
	n.randomDraws++
	return RandomFloat(n.randomSeed, n.randomDraws)
}

// RandomFloat returns the pseudo-random number in [0, 1) that belongs to a seed and a counter.
func RandomFloat(seed, count uint64) float64 { return float64(RandomBits(seed, count)>>11) / (1 << 53) }

// RandomBits returns 64 pseudo-random bits that depend on a seed and a counter only: their FNV-1a hash, mixed
// further because FNV leaves the high bits of near counters alike.
func RandomBits(seed, count uint64) uint64 {
	var input [16]byte
	binary.BigEndian.PutUint64(input[:], seed)
	binary.BigEndian.PutUint64(input[8:], count)
	hash := fnv.New64a()
	hash.Write(input[:])
	bits := hash.Sum64()
	bits ^= bits >> 33
	bits *= 0xff51afd7ed558ccd
	bits ^= bits >> 33
	bits *= 0xc4ceb9fe1a85ec53
	return bits ^ bits>>33
}

// randomIndex returns a pseudo-random integer in [0, limit).
func (n *Node) randomIndex(limit int) int { return int(n.random() * float64(limit)) }
