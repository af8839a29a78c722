package membersim

import (
	"runtime"

	"ledgespread/decide/membership"
)

// Figures are the measurements of one simulated run.
type Figures struct {
	Members           int     `json:"members"`
	LossRate          float64 `json:"lost"`           // share of datagrams lost
	KnownByAll        Micros  `json:"death_known_us"` // from the death until all members know it; -1: not within the run
	KnownByFirst      Micros  `json:"death_first_us"` // from the death until one member knows it
	FalseDeaths       int     `json:"false_deaths"`   // how often one member declared a live one dead
	MemberMinutes     float64 `json:"member_minutes"` // simulated time of all members in which false deaths were counted
	BytesPerSecond    float64 `json:"bytes_a_second"` // sent per member before the death
	MessagesPerSecond float64 `json:"messages_a_second"`
	TableBytes        int     `json:"table_bytes"`  // of a full exchange, in one direction
	MemoryBytes       float64 `json:"memory_bytes"` // heap per member
}

// Measure simulates a group whose members know each other. Nothing happens for the time calm, then one member
// dies.
func Measure(count int, lost float64, config membership.Config, seed uint64, calm Micros) (figures Figures) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	sim := New(seed, count, config, true)
	runtime.GC()
	runtime.ReadMemStats(&after)
	sim.Network.LossRate = lost
	figures = Figures{Members: count, LossRate: lost, KnownByAll: -1, MemoryBytes: float64(after.HeapAlloc-before.HeapAlloc) / float64(count), TableBytes: len(sim.Members[0].EncodeTable(64 << 20))}
	victim, unaware := Name(count/2), count-1
	diedAt := Micros(-1)
	sim.OnChange = func(at Micros, _ *Member, change membership.Change) {
		switch {
		case change.To != membership.Dead && change.From == membership.Dead && change.Name == victim && diedAt >= 0:
			unaware++
		case change.To != membership.Dead:
		case change.Name != victim || diedAt < 0:
			figures.FalseDeaths++
		default:
			if unaware--; figures.KnownByFirst == 0 {
				figures.KnownByFirst = at - diedAt
			}
			if unaware == 0 {
				figures.KnownByAll = at - diedAt
			}
		}
	}
	sim.RunFor(calm / 4)
	sent, bytes := sim.Datagrams, sim.DatagramBytes
	sim.RunFor(calm)
	figures.MessagesPerSecond, figures.BytesPerSecond = float64(sim.Datagrams-sent)/float64(count)/float64(calm)*1e6, float64(sim.DatagramBytes-bytes)/float64(count)/float64(calm)*1e6
	sim.Members[count/2].Kill()
	diedAt = sim.Now
	sim.RunUntil(30_000_000, func() bool { return unaware == 0 })
	figures.MemberMinutes = float64(count) * float64(sim.Now-1_000_000) / 60e6
	runtime.KeepAlive(sim)
	return figures
}
