package relay

import (
	"io"
	"testing"

	"github.com/rs/zerolog"

	"ledgespread/brain"
	"ledgespread/internal/exchange"
)

// Where debug is off, the lines about a request cost no memory.
func TestReasonsCostNothingWhenOff(t *testing.T) {
	r := &Relay{clock: startClock(nil), log: zerolog.New(io.Discard).Level(zerolog.InfoLevel)}
	v := &visit{x: exchange.New()}
	allocations := testing.AllocsPerRun(100, func() {
		r.logAttempt(v, 0, "s", 1)
		r.logAttemptEnded(v, 0, brain.Delivered, 1, nil)
		r.logAnswer(v, "request rejected", brain.TurnedLate)
		r.logRefused("id", reasonTwice)
	})
	if allocations != 0 {
		t.Errorf("%v allocations", allocations)
	}
}
