// Package turn bounds how long goroutines that always find data run before others. On one processor the Go scheduler
// looks at the network only when no goroutine can run, or each 10 ms: goroutines that never wait make each step of
// all other requests take that long.
package turn

import (
	"runtime"
	"sync"
	"time"
)

const (
	maxLength  = time.Millisecond
	pause      = time.Millisecond // between two turns; in a shorter one the scheduler may not look at the network
	waitedFrom = maxLength / 4    // an operation that takes longer has let others run
)

// Turn is the time since a goroutine last let others run. Its zero value has not begun. It is not safe for concurrent use.
type Turn struct{ began time.Time }

// Waited begins a new turn: the goroutine has waited.
func (t *Turn) Waited() { t.began = time.Now() }

// Continue must be called again and again by a goroutine that has not waited. It pauses when the turn is over.
func (t *Turn) Continue() {
	now := time.Now()
	if t.began.IsZero() {
		t.began = now
	}
	if now.Sub(t.began) >= maxLength {
		t.began = next.wait(now, runtime.GOMAXPROCS(0))
	}
}

// ContinueAfter is Continue after an operation that took this long, and may have waited.
func (t *Turn) ContinueAfter(took time.Duration) {
	if took >= waitedFrom {
		t.Waited()
		return
	}
	t.Continue()
}

// schedule gives the turns of all goroutines that never wait a time each: if they only paused, some would always run in
// the pauses of the others.
type schedule struct {
	mu    sync.Mutex
	free  time.Time // the earliest time of the next turn that is given out
	began time.Time // when the latest turn began
	ended time.Time // when the latest turn ended that did not end with a wait
}

// next is the schedule of the process's processors, which all goroutines share.
var next schedule

// spacing returns how far apart turns begin.
func spacing(processors int) time.Duration { return (maxLength + pause) / time.Duration(processors) }

// wait ends a goroutine's turn, and returns when its next one has begun.
func (s *schedule) wait(now time.Time, processors int) (began time.Time) {
	s.mu.Lock()
	s.ended = now
	s.mu.Unlock()
	for {
		time.Sleep(s.reserve(now, processors).Sub(now))
		if now = time.Now(); s.begin(now, processors) {
			return now
		}
	}
}

// reserve returns when the next turn of a goroutine begins whose turn is over now. On each processor there is a pause
// between two turns.
func (s *schedule) reserve(now time.Time, processors int) (begins time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	begins = now.Add(pause)
	if begins.Before(s.free) {
		begins = s.free
	}
	s.free = begins.Add(spacing(processors))
	return begins
}

// begin begins a turn whose time has come. It reports false if another turn has only just begun or ended: where the
// process was not scheduled, the times of several turns come together.
func (s *schedule) begin(now time.Time, processors int) bool {
	const tolerance = 4 // a part of a span by which timers may be late
	s.mu.Lock()
	defer s.mu.Unlock()
	apart := spacing(processors)
	if now.Sub(s.began) < apart-apart/tolerance || processors == 1 && now.Sub(s.ended) < pause-pause/tolerance {
		return false
	}
	s.began = now
	return true
}
