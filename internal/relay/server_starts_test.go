package relay

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"ledgespread/brain"
	"ledgespread/internal/counters"
	"ledgespread/internal/discovery"
	"ledgespread/internal/memory"
	"ledgespread/internal/outbound"
	"ledgespread/internal/site"
)

const (
	millisecond brain.Micros = 1000
	oneSecond                = 1000 * millisecond
)

// The wall clock is stepped while a sidecar runs. Servers that start after that report the stepped time, but
// the sidecar keeps the clock of its own start. After a step back of two seconds, a server that had started
// half a second ago was logged as
//
//	server started ago=2500
//
// and was sent as many requests as one that had warmed up for two seconds more. The slow start has to depend
// on elapsed time.
func TestStartAfterWallClockStep(t *testing.T) {
	manifest, err := site.Parse([]byte(smallConfiguration))
	if err != nil {
		t.Fatal(err)
	}
	var got, want []string
	for _, step := range []brain.Micros{0, -2 * oneSecond, -3600 * oneSecond, 2 * oneSecond} {
		var log strings.Builder
		counts := &counters.Set{}
		relay, err := New(manifest, 9, outbound.New(1, 1, 9, memory.New(1), nil, counts, zerolog.Nop()), nil, counts, zerolog.New(&log))
		if err != nil {
			t.Fatal(err)
		}
		before := discovery.Entry{ID: 1, Host: "before", Started: relay.clock.now() - 500*millisecond}
		started := relay.startTime(before)
		relay.clock.wallNow = func() brain.Micros { return relay.clock.now() + step }
		relay.now = relay.clock.now()
		after := discovery.Entry{ID: 2, Host: "after", Started: relay.now + step - 500*millisecond}
		// A delay between two readings of the clock makes a start seem later, never earlier.
		ago := relay.now - relay.startTime(after)
		relay.startTime(after)
		got = append(got, fmt.Sprintf("step of %d s: time listed before it kept %v, age at most 0.5 s %v, logged as new %d times", step/oneSecond,
			relay.startTime(before) == started, ago <= 500*millisecond, strings.Count(log.String(), `"server":"after"`)))
		want = append(want, fmt.Sprintf("step of %d s: time listed before it kept true, age at most 0.5 s true, logged as new 1 times", step/oneSecond))
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("mismatch (-want +got):\n%s", diff)
	}
}
