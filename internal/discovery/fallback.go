package discovery

import (
	"errors"
	"time"
)

// errUnanswered is the result of parallel calls none of which was answered in time.
var errUnanswered = errors.New("discovery accepts calls but does not answer")

// parallelCalls starts up to maxCalls calls, one per interval, without waiting for the earlier ones to be
// answered. It returns the first answer, or an error once the timeout is over or all calls have failed. The
// other calls stay in flight for the timeout of their own and deliver what they return. Parallel calls tolerate
// a lost answer where no further delay is acceptable: after an earlier call timed out, and after discovery moved.
func (w *Watcher) parallelCalls(at *endpoint, planned plannedCall, interval, timeout time.Duration, maxCalls int) result {
	results := make(chan result, maxCalls)
	over, next := time.NewTimer(timeout), time.NewTicker(interval)
	defer over.Stop()
	defer next.Stop()
	failed := result{err: errUnanswered}
	started := 0
	start := func() {
		started++
		c := w.startCall(at, planned, timeout)
		go func() { results <- <-c.done }()
	}
	start()
	for ended := 0; ended < maxCalls; {
		select {
		case r := <-results:
			if r.err == nil {
				return r
			}
			if !errors.Is(r.err, errCallTimeout) {
				failed = r
				if planned.purpose == pollAfterTimeout {
					return failed // what follows is a retry, and retries are spread over all sidecars
				}
			}
			ended++
		case <-next.C:
			if started < maxCalls {
				start()
			}
		case <-over.C:
			return failed
		}
	}
	return failed
}
