package relay

import (
	"ledgespread/brain"
	"ledgespread/internal/discovery"
)

// serverStart is the latest start of a server.
type serverStart struct {
	listed   brain.Micros // wall clock time from the list
	adjusted brain.Micros // the same in this process's clock
}

// startTime returns when a server started, in this process's clock; 0: long ago.
func (r *Relay) startTime(entry discovery.Entry) brain.Micros {
	if before, known := r.serverStarts[entry.ID]; known && before.listed == entry.Started {
		return before.adjusted
	}
	latest := serverStart{listed: entry.Started, adjusted: entry.Started}
	if latest.listed != 0 {
		// After the wall clock was set back, a new server's start seems older by that step. It would get too
		// many requests during its slow start.
		latest.adjusted += r.clock.wallSetBack()
		r.log.Debug().Str("server", entry.Host).Dur("ago", toDuration(r.now-latest.adjusted)).Msg("server started")
	}
	r.serverStarts[entry.ID] = latest
	return latest.adjusted
}
