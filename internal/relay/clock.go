package relay

import (
	"time"

	"ledgespread/brain"
)

// clock is a monotonic clock in whole microseconds that starts at the wall clock's time. Times of day, such
// as a server's start, can be compared with its readings, and it never goes back when the wall clock is
// stepped.
type clock struct {
	start       time.Time
	wallAtStart brain.Micros        // the wall clock's time at start
	wallNow     func() brain.Micros // the current wall clock time, which may be stepped
}

// newClock returns a clock that begins at the current time of wall, or of the machine's wall clock if wall
// is nil.
func newClock(wall func() brain.Micros) clock {
	start := time.Now()
	if wall != nil {
		return clock{start, wall(), wall}
	}
	return clock{start, brain.Micros(start.UnixMicro()), func() brain.Micros { return brain.Micros(time.Now().UnixMicro()) }}
}

// toTime converts a reading of this clock to a time.Time for timers and deadlines.
func (c clock) toTime(at brain.Micros) time.Time {
	return c.start.Add(toDuration(at - c.wallAtStart))
}

func (c clock) now() brain.Micros {
	return c.wallAtStart + brain.Micros(time.Since(c.start)/time.Microsecond)
}

// wallSetBack returns how far the wall clock has been set back since this clock started, or 0 if it has not been
// set back.
func (c clock) wallSetBack() brain.Micros {
	wall := c.wallNow() // read first: any delay before the next reading makes the server's start later, never earlier
	return max(c.now()-wall, 0)
}
