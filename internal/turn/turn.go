// Package turn bounds how long a goroutine that always finds data runs before others. On one processor the Go scheduler
// looks at the network only when no goroutine can run, or each 10 ms: a goroutine that never waits makes each step of
// all other requests take that long.
package turn

import "time"

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
		time.Sleep(pause)
		t.began = time.Now()
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
