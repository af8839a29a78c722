package relay

import (
	"time"

	"ledgespread/brain"
)

// clock tells the time in whole microseconds: the wall's at its start, and from then on what has passed, so that a server's start compares
// and nothing ever goes back.
type clock struct {
	start time.Time
	base  brain.Micros        // what the wall clock said then
	wall  func() brain.Micros // what it says now: it may be stepped
}

// startClock starts one by the machine's wall clock, or by another.
func startClock(wall func() brain.Micros) clock {
	start := time.Now()
	if wall != nil {
		return clock{start, wall(), wall}
	}
	return clock{start, brain.Micros(start.UnixMicro()), func() brain.Micros { return brain.Micros(time.Now().UnixMicro()) }}
}

// time is a moment of this clock as the runtime's timers take it.
func (c clock) time(at brain.Micros) time.Time {
	return c.start.Add(span(at - c.base))
}

func (c clock) now() brain.Micros {
	return c.base + brain.Micros(time.Since(c.start)/time.Microsecond)
}

// setBack is by how much the machine's wall clock was set back since this one started, and not forward again.
func (c clock) setBack() brain.Micros {
	wall := c.wall() // read first: what passes until the other is read makes the step seem larger, and the start later
	return max(c.now()-wall, 0)
}
