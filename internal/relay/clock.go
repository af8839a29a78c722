package relay

import (
	"time"

	"ledgespread/brain"
)

// clock tells the time in whole microseconds: the wall's at its start, and from then on what has passed, so
// that a server's start compares and nothing ever goes back.
type clock struct {
	start time.Time
	wall  func() brain.Micros // what the machine's wall clock says, which may be stepped
}

func startClock() clock {
	return clock{time.Now(), func() brain.Micros { return brain.Micros(time.Now().UnixMicro()) }}
}

// time is a moment of this clock as the runtime's timers take it.
func (c clock) time(at brain.Micros) time.Time {
	return c.start.Add(time.Duration(at-brain.Micros(c.start.UnixMicro())) * time.Microsecond)
}

func (c clock) now() brain.Micros {
	return brain.Micros(c.start.UnixMicro()) + brain.Micros(time.Since(c.start)/time.Microsecond)
}

// setBack is by how much the machine's wall clock was set back since this one started, and not forward again.
func (c clock) setBack() brain.Micros {
	wall := c.wall() // read first: what passes until the other is read makes the step seem larger, and the start later
	return max(c.now()-wall, 0)
}

// ReadWallBy has the wall clock read by this. It is called before Run.
func (r *Relay) ReadWallBy(wall func() brain.Micros) { r.clock.wall = wall }
