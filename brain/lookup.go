package brain

import (
	"encoding/binary"
	"fmt"
)

// The look-up of settings, and chance. No decisions.

// need looks up a setting that the module can't do without; New turns its panic into an error.
func need[T any](b *Balancer, name string) T {
	x, ok := b.site[name].(T)
	if !ok {
		panic(fmt.Errorf("settings lack %s", name))
	}
	return x
}
func (b *Balancer) num(name string) float64   { return need[float64](b, name) }
func (b *Balancer) word(name string) string   { return need[string](b, name) }
func (b *Balancer) span(name string) Micros   { return Micros(b.num(name)) }
func (b *Balancer) maybe(name string) float64 { f, _ := b.site[name].(float64); return f }
func (b *Balancer) allows(name string) bool   { ok, _ := b.site[name].(bool); return ok }

// Tally tells, for counters, why visits were turned away so far, and how asking went.
func (b *Balancer) Tally() map[string]int { return b.tally }

// Fleet tells, for counters, how many servers are listed, and how many of these are avoided now, by hand or by choice.
func (b *Balancer) Fleet() (listed, avoided int) {
	for _, be := range b.row {
		if be.standing == Gone {
			continue
		}
		listed++
		if be.byHand || be.outUntil != 0 {
			avoided++
		}
	}
	return listed, avoided
}

// chance draws a number from 0 up to 1 out of the seed and a counter.
func (b *Balancer) chance() float64 {
	b.drawn++
	return float64(b.mix(b.seed, b.drawn)>>11) / (1 << 53)
}

func (b *Balancer) mix(a, c uint64) uint64 {
	var in [16]byte
	binary.BigEndian.PutUint64(in[:], a)
	binary.BigEndian.PutUint64(in[8:], c)
	b.hash.Reset()
	b.hash.Write(in[:])
	return scramble(b.hash.Sum64())
}

// scramble spreads a number's bits: FNV leaves the high bits of near counters alike.
func scramble(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// Senders tells how many sidecars may be sending, where the caller hears of it; fewer than the settings say are never counted.
func (b *Balancer) Senders(many int) { b.senders = many }
