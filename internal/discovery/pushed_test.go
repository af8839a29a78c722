package discovery_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"ledgespread/internal/counters"
	"ledgespread/internal/discovery"
)

// The agent of a pushed list that took over a second for a call was called eight times a second for good, since each
// call had been given up before its answer came. Late answers must lengthen the wait for the next calls.
func TestSlowAgentIsWatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newSimulatedService()
		service.latency = 1200 * time.Millisecond
		service.onWritten = func(receivedCall, *listAnswer) {}
		service.onProcessed = func(receivedCall) {}
		counts := &counters.Set{}
		watcher := discovery.New("a0", map[string]int{"here": 0}, 0, 10e6, 1, 1<<20, 7, func(*discovery.List) {}, counts, zerolog.Nop())
		watcher.SetDial(service.dial)
		watcher.WatchPushed(500_000)
		time.Sleep(20 * time.Second)
		before := counts[counters.ListCalls].Load()
		const observed = 20 * time.Second
		time.Sleep(observed)
		calls := counts[counters.ListCalls].Load() - before
		if limit := int64(observed / (2 * time.Second)); calls > limit {
			t.Errorf("%d calls in %v, limit %d", calls, observed, limit)
		}
		watcher.Close()
		service.close()
		time.Sleep(2 * time.Hour)
	})
}
