package exchange

import "time"

const (
	maxClientBacklog = 4 << 20               // bytes written by a client that its own socket may hold, by Linux's default
	arrivalStep      = maxClientBacklog >> 4 // bytes between two entries of an arrivalHistory
)

// arrival is how many bytes of a message had arrived at a time.
type arrival struct {
	at    time.Time
	bytes int
}

// arrivalHistory tells, while a client fills its sockets, when it had not written all of its message yet: what came later
// than its own socket can hold was not written then. It holds few entries, since older ones are dropped.
type arrivalHistory struct {
	entries []arrival
	latest  time.Time
}

// clear forgets what has arrived: all of it is known not to have been the whole message.
func (h *arrivalHistory) clear() { h.entries, h.latest = h.entries[:0], time.Time{} }

// add records how many bytes have arrived.
func (h *arrivalHistory) add(at time.Time, bytes int) {
	if last := len(h.entries) - 1; last < 0 || bytes-h.entries[last].bytes >= arrivalStep {
		h.entries = append(h.entries, arrival{at, bytes})
	}
}

// incompleteAt returns the latest time at which the client had not written all that has arrived by now; zero: none is
// known.
func (h *arrivalHistory) incompleteAt(bytes int) time.Time {
	for len(h.entries) > 0 && bytes-h.entries[0].bytes > maxClientBacklog {
		h.latest = h.entries[0].at
		h.entries = h.entries[1:]
	}
	return h.latest
}
