package membership

// chance.go: chance, by seed and counter.

import (
	"encoding/binary"
	"hash/fnv"
)

// scatter is about a span, by chance.
func (n *Node) scatter(span Micros) Micros { return Micros(float64(span) * (0.9 + 0.2*n.chance())) }

// chance draws a number from 0 up to 1 out of the seed and a counter.
func (n *Node) chance() float64 {
	n.drawn++
	return Draw(n.seed, n.drawn)
}

// Draw is a number from 0 up to 1 that a seed and a counter give.
func Draw(seed, count uint64) float64 { return float64(Mix(seed, count)>>11) / (1 << 53) }

// Mix is the 64 bits under it.
func Mix(seed, count uint64) uint64 {
	var in [16]byte
	binary.BigEndian.PutUint64(in[:], seed)
	binary.BigEndian.PutUint64(in[8:], count)
	h := fnv.New64a()
	h.Write(in[:])
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// below draws a whole number under most.
func (n *Node) below(most int) int { return int(n.chance() * float64(most)) }
