package inbound

import (
	"sync"
	"sync/atomic"
	"time"
)

// sharedTicker wakes all waiting requests at the same tick, with one timer. A timer for each request would
// nearly always be stopped before it fires, since most requests are answered before a tick.
type sharedTicker struct {
	intervalNanos atomic.Int64
	mu            sync.Mutex
	tick          chan struct{} // closed at the next tick; nil if nobody waits for it
}

func (t *sharedTicker) interval() time.Duration { return time.Duration(t.intervalNanos.Load()) }

// next returns a channel that is closed at the next tick, after one interval at most.
func (t *sharedTicker) next() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tick == nil {
		t.tick = make(chan struct{})
		time.AfterFunc(t.interval(), t.fire)
	}
	return t.tick
}

// fire wakes all waiting requests.
func (t *sharedTicker) fire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.tick)
	t.tick = nil
}
