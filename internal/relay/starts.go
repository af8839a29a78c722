package relay

import (
	"ledgespread/brain"
	"ledgespread/internal/discovery"
)

// start is a server's last start.
type start struct {
	told    brain.Micros // by the list, in the wall clock's time
	counted brain.Micros // in this process's
}

// started is when a server started, in the time of this process; 0: long ago.
func (r *Relay) started(entry discovery.Entry) brain.Micros {
	if before, known := r.starts[entry.ID]; known && before.told == entry.Started {
		return before.counted
	}
	latest := start{told: entry.Started, counted: entry.Started}
	if latest.told != 0 {
		// A server that starts after the wall clock was set back seems older by the step, and would be sent too much while it warms up.
		latest.counted += r.clock.setBack()
		r.log.Debug().Str("server", entry.Host).Dur("ago", span(r.now-latest.counted)).Msg("server started")
	}
	r.starts[entry.ID] = latest
	return latest.counted
}
