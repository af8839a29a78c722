package discovery

import (
	"encoding/binary"
	"hash/fnv"
	"time"
)

// The protocol's clocks: what a watch that has fallen silent misses counts as told so long after it did, or so long after its
// call's wait is over, if that is later.
const (
	silence = 6 * time.Second
	beyond  = 2 * time.Second
)

const (
	holdMost = silence - beyond       // a call that is held for longer and falls silent late is found no sooner than its clock runs out
	lateMost = beyond / 4             // a watch whose answer is late by so much is silent; the rest of the clock is for asking anew
	waitMost = silence / 2            // a call that is not held is waited for so long
	holdLong = 2 * silence            // no call is held for longer than that at a slow service
	slowFrom = lateMost / 2           // a service that takes so long for a call that it does not hold is slow
	slowHold = 8                      // there a call is held for longer by so many times what a call takes
	spread   = 4                      // a hold is shorter by up to this part, drawn, since all watches may fall silent in one moment
	again    = silence * 3 / 4        // after a failure the next call begins before the last answer is so old: the rest is for its answer
	holdBack = again - waitMost       // a call that comes back after a failure is held for so long, and waited for till again
	goesOn   = 200 * time.Millisecond // a watch goes on if the next call comes within that
)

// The wait from a failed call to the next. A service that turns calls away has no room, and a sidecar that comes by more often finds it
// sooner; so the one that was told least lately comes by most often.
const (
	herdEach  = 50 * time.Millisecond // of the span over which the calls of all sidecars come back, for each of them
	herdTwice = 6                     // that span doubles so many times at the most
	leastEach = 10 * time.Millisecond // of the least mean wait, for each sidecar: 100 calls a second of them all
	leastBack = lateMost / 2          // that wait is this at least,
	mostBack  = waitMost / 2          // and this at most
)

// Parts of the time that the settings let a sidecar go without asking.
const (
	holdPart = 0.5  // a call may be held for so long
	pacePart = 0.01 // between two calls that bring nothing; the watch still goes on
	usual    = 10 * time.Second
)

// Where the list is pushed what discovery's agent has counts as told, a watch open or not.
const (
	stepPart      = 4                     // from one call to the next, of the grace that the settings give, while none is answered
	stepLeast     = 50 * time.Millisecond // but no sooner
	maxSideBySide = 8                     // so many calls at the most wait side by side
)

func (w *Watcher) part(of float64) time.Duration { return time.Duration(of * float64(w.every.Load())) }

// heldFor is how long the next call of a watch may wait at the service. The drawn part keeps all sidecars from calling anew in one moment
// where all watches fell silent in one, and began in one as well: with the last change. A slow service is asked less often, since calls that
// bring nothing keep it busy; what a silent watch misses counts so much later as its call may wait longer.
func (w *Watcher) heldFor() time.Duration {
	most := min(w.part(holdPart), holdMost)
	if took := w.lately(); took >= slowFrom {
		most = min(most+slowHold*took, holdLong)
	}
	return w.shorter(most)
}

// shorter is a hold of this at the most, and shorter among several sidecars.
func (w *Watcher) shorter(most time.Duration) time.Duration {
	if w.among > 1 {
		most -= w.scattered(most / spread)
	}
	return most.Round(time.Millisecond)
}

// lately is how long a call took that was not held.
func (w *Watcher) lately() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.took
}

// soon is when a call is answered that finds news. At a service that works through its calls in turn a second one only comes later.
func (w *Watcher) soon() time.Duration { return min(max(lateMost, 2*w.lately()), waitMost) }

// patience is how long the calls of a pushed list wait side by side: longer with the time for which none was answered, so that an agent
// or a sidecar that is slow for a while is heard at last. The calls begin half a grace apart at the most.
func (w *Watcher) patience() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.lost {
		return lateMost
	}
	return min(max(time.Since(w.lostAt)/maxSideBySide, lateMost), 2*maxSideBySide*time.Duration(w.step.Load()))
}

// wait is how long after a failed call began the next one may: drawn from a span over which all sidecars' calls are no herd, and then from half of what
// is left till the last answer is too old. So it is shorter each time at a service that turns calls away, and longer each time at one that is
// out of reach, since what that has counts from when it is back. A fleet's calls don't come back together, and none of its members is
// turned away by a busy service for ever.
func (w *Watcher) wait() time.Duration {
	w.mu.Lock()
	failed, left := w.failed, again-time.Since(w.heardAt)
	w.mu.Unlock()
	if failed <= 1 {
		left = again // a watch that breaks has told all till then
	}
	least := min(max(time.Duration(w.among)*leastEach, leastBack), mostBack)
	herd := max(time.Duration(w.among-1)*herdEach, leastBack) << min(max(failed-1, 0), herdTwice)
	return least/2 + w.scattered(max(min(herd, left/2), least))
}

// scattered draws a span below this one.
func (w *Watcher) scattered(most time.Duration) time.Duration {
	w.mu.Lock()
	w.drawn++
	drawn := w.drawn
	w.mu.Unlock()
	var in [16]byte
	binary.BigEndian.PutUint64(in[:], w.seed)
	binary.BigEndian.PutUint64(in[8:], drawn)
	hash := fnv.New64a()
	hash.Write(in[:])
	return time.Duration(hash.Sum64() % uint64(max(most, 1)))
}
