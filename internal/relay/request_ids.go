package relay

import "ledgespread/brain"

// requestIDs is the set of request IDs in use. An ID stays in use until the deadline of its request, even
// once that is answered. Expired IDs are dropped by generation, because a timer for each ID cost more than
// all other work on it.
type requestIDs struct {
	lifetime          brain.Micros // the length of a generation; no ID in the set is reserved for longer
	rotatedAt         brain.Micros // when the current generation began
	current, previous map[string]brain.Micros
}

func newRequestIDs(lifetime brain.Micros) *requestIDs {
	return &requestIDs{lifetime: max(lifetime, 1), current: map[string]brain.Micros{}, previous: map[string]brain.Micros{}}
}

// inUse reports whether a request with this ID may still be open.
func (ids *requestIDs) inUse(id string, at brain.Micros) bool {
	return ids.current[id] > at || ids.previous[id] > at
}

// reserve reserves an ID until the given time. It returns false, and reserves nothing, if that is further
// away than a generation lasts. The generation that is dropped holds only expired IDs, since they were
// reserved before the current one began.
func (ids *requestIDs) reserve(id string, at, until brain.Micros) bool {
	if until-at > ids.lifetime {
		return false
	}
	if at-ids.rotatedAt >= ids.lifetime {
		if at-ids.rotatedAt >= 2*ids.lifetime { // both generations have expired
			clear(ids.current)
		}
		ids.previous, ids.current = ids.current, ids.previous
		clear(ids.current)
		ids.rotatedAt = at
	}
	ids.current[id] = until
	return true
}
