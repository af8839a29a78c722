package discovery_test

import (
	"net"
	"sync"
	"sync/atomic"
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

// With a pushed list, calls are made eight times a second until one is answered. The first of many was closed for a newer
// one after 2 s, and an agent that takes longer for an answer was not heard. However long it takes, up to 30 s, the list is
// heard within that time and half a second of the start, and the calls out at once stay bounded.
func TestSlowAgentIsHeard(t *testing.T) {
	const maxOpen = 32 + 1 // connections at once: one is opened before another is closed for it
	for _, answersAfter := range []time.Duration{2500 * time.Millisecond, 6 * time.Second, 15 * time.Second, 30 * time.Second} {
		for _, lost := range []int{0, 1} { // connections that never come up, which shows after 2 s
			synctest.Test(t, func(t *testing.T) {
				service := newSimulatedService()
				service.latency, service.lostDials = answersAfter, lost
				service.onWritten = func(receivedCall, *listAnswer) {}
				service.onProcessed = func(receivedCall) {}
				service.set(serverState{Host: "s0", Dial: "127.0.0.1:1000", Site: "here", Health: "terminating", Share: 1})
				var heard atomic.Bool
				var open, mostOpen atomic.Int64
				watcher := discovery.New("a0", map[string]int{"here": 0}, 0, 10e6, 1, 1<<20, 7, func(l *discovery.List) {
					if l != nil && len(l.Entries) > 0 {
						heard.Store(true)
					}
				}, &counters.Set{}, zerolog.Nop())
				watcher.SetDial(func(address string, timeout time.Duration) (net.Conn, error) {
					conn, err := service.dial(address, timeout)
					if err != nil {
						return nil, err
					}
					mostOpen.Store(max(mostOpen.Load(), open.Add(1)))
					return countedConn{conn.(memoryConn), sync.OnceFunc(func() { open.Add(-1) })}, nil
				})
				watcher.WatchPushed(500_000)
				time.Sleep(answersAfter + 500*time.Millisecond)
				if !heard.Load() {
					t.Errorf("answers after %v, %d connections lost: not heard in time", answersAfter, lost)
				}
				time.Sleep(time.Minute)
				if most := mostOpen.Load(); most > maxOpen {
					t.Errorf("answers after %v: %d connections at once, limit %d", answersAfter, most, maxOpen)
				}
				watcher.Close()
				service.close()
				time.Sleep(2 * time.Hour)
			})
		}
	}
}

// countedConn calls closed when it is closed.
type countedConn struct {
	memoryConn
	closed func()
}

func (c countedConn) Close() error {
	c.closed()
	return c.memoryConn.Close()
}
