package crowd

import (
	"runtime"

	"ledgespread/decide/membership"
)

// Figures are what a run in simulated time measures.
type Figures struct {
	Members  int     `json:"members"`
	Lost     float64 `json:"lost"`
	Known    Micros  `json:"death_known_us"` // to all; -1: not in time
	First    Micros  `json:"death_first_us"` // to one
	False    int     `json:"false_deaths"`   // words of one member about another, in that time
	Minutes  float64 `json:"member_minutes"` // in which those were looked for
	Bytes    float64 `json:"bytes_a_second"` // sent, a member, when calm
	Messages float64 `json:"messages_a_second"`
	Table    int     `json:"table_bytes"`  // of a full exchange, one way
	Memory   float64 `json:"memory_bytes"` // a member's, for all that it holds
}

// Measure plays a crowd that is acquainted: calm for a while, then one dies.
func Measure(many int, lost float64, terms membership.Terms, seed uint64, calm Micros) (f Figures) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	c := New(seed, many, terms, true)
	runtime.GC()
	runtime.ReadMemStats(&after)
	c.Weather.Lost = lost
	f = Figures{Members: many, Lost: lost, Known: -1, Memory: float64(after.HeapAlloc-before.HeapAlloc) / float64(many), Table: len(c.Members[0].Table(64 << 20))}
	victim, left := Name(many/2), many-1
	died := Micros(-1)
	c.Said = func(at Micros, _ *Member, ch membership.Change) {
		switch {
		case ch.To != membership.Dead && ch.From == membership.Dead && ch.Name == victim && died >= 0:
			left++
		case ch.To != membership.Dead:
		case ch.Name != victim || died < 0:
			f.False++
		default:
			if left--; f.First == 0 {
				f.First = at - died
			}
			if left == 0 {
				f.Known = at - died
			}
		}
	}
	c.Run(calm / 4)
	sent, bytes := c.Sent, c.Bytes
	c.Run(calm)
	f.Messages, f.Bytes = float64(c.Sent-sent)/float64(many)/float64(calm)*1e6, float64(c.Bytes-bytes)/float64(many)/float64(calm)*1e6
	c.Members[many/2].Kill()
	died = c.Now
	c.Until(30_000_000, func() bool { return left == 0 })
	f.Minutes = float64(many) * float64(c.Now-1_000_000) / 60e6
	runtime.KeepAlive(c)
	return f
}
