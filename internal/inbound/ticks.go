package inbound

import (
	"sync"
	"sync/atomic"
	"time"
)

// ticks wakes all who wait, now and then, by one timer for all of them. A timer for each request
// would nearly always be stopped before it fires: most requests are answered sooner than a tick.
type ticks struct {
	every atomic.Int64 // nanoseconds
	mu    sync.Mutex
	next  chan struct{} // closed when the tick comes; nil: nobody waits for one
}

func (t *ticks) apart() time.Duration { return time.Duration(t.every.Load()) }

// wait is closed at the next tick, which comes within every.
func (t *ticks) wait() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.next == nil {
		t.next = make(chan struct{})
		time.AfterFunc(t.apart(), t.come)
	}
	return t.next
}

func (t *ticks) come() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.next)
	t.next = nil
}
