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
