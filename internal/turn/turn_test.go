package turn

import (
	"testing"
	"time"
)

// A goroutine that never waits pauses after each turn; one that waited has begun a new turn.
func TestContinuePausesAfterTurn(t *testing.T) {
	var busy, waiting Turn
	pauses, last := 0, time.Now()
	for began := last; time.Since(began) < 50*maxLength; {
		busy.Continue()
		if now := time.Now(); now.Sub(last) >= pause {
			pauses++
		}
		last = time.Now()
	}
	if pauses < 5 {
		t.Errorf("%d pauses in %v", pauses, 50*maxLength)
	}
	waiting.began = time.Now().Add(-2 * maxLength)
	waiting.ContinueAfter(waitedFrom)
	if length := time.Since(waiting.began); length >= 2*maxLength {
		t.Errorf("the turn goes on after a wait, for %v", length)
	}
}

// Turns that end together begin again one after another, with a pause between two of them on each processor.
func TestTurnsOfSeveralGoroutinesDoNotFollowAtOnce(t *testing.T) {
	for _, processors := range []int{1, 2} {
		var turns schedule
		now := time.Now()
		last := turns.reserve(now, processors)
		if last.Sub(now) != pause {
			t.Errorf("%d processors: a pause of %v before the first turn", processors, last.Sub(now))
		}
		for range 3 {
			begins := turns.reserve(now, processors)
			if apart := begins.Sub(last); apart != (maxLength+pause)/time.Duration(processors) {
				t.Errorf("%d processors: two turns begin %v apart", processors, apart)
			}
			last = begins
		}
		if later := last.Add(time.Second); turns.reserve(later, processors) != later.Add(pause) {
			t.Errorf("%d processors: a turn waits for others that are over", processors)
		}
	}
}

// Where the process was not scheduled, the times of several turns come together: one begins, the others get new times.
func TestLateTurnsDoNotBeginTogether(t *testing.T) {
	var turns schedule
	now := time.Now()
	for range 3 {
		turns.reserve(now, 1)
	}
	late := now.Add(time.Second)
	if !turns.begin(late, 1) || turns.begin(late, 1) {
		t.Error("of two late turns not exactly one began")
	}
	turns.ended = late.Add(maxLength)
	if turns.begin(turns.ended, 1) || !turns.begin(turns.ended.Add(pause), 1) {
		t.Error("a turn began without a pause, or not after it")
	}
}
