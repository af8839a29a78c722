package relay

import (
	"time"

	"ledgespread/brain"
	"ledgespread/internal/discovery"
)

// started is when a server started, in time of this process's clock; 0: long ago.
func (r *Relay) started(entry discovery.Entry) brain.Micros {
	if before, known := r.starts[entry.ID]; known && before == entry.Started {
		return before
	}
	r.starts[entry.ID] = entry.Started
	if entry.Started != 0 {
		r.log.Debug().Str("server", entry.Host).Dur("ago", time.Duration(r.now-entry.Started)*time.Microsecond).Msg("server started")
	}
	return entry.Started
}
