package discovery

import (
	"errors"
	"fmt"
	"time"
)

// errNextCallStarted is the result of a held call that is still in flight when the next call of the watch
// starts.
var errNextCallStarted = errors.New("the next call starts while this one is in flight")

// overlappingPoll makes a call with the long hold that a slow service is allowed. The next call starts before
// the hold ends, earlier by the time that calls take at this service. If this call is never answered, the
// next one then returns the missed changes soon after. A service that handles its calls in order also answers
// the next one only once it reaches it in its queue.
func (w *Watcher) overlappingPoll(at *endpoint, round int, now plannedCall) result {
	c := w.startPoll(at, now, now.hold+answerTimeout)
	next := time.NewTimer(now.hold - w.promptAnswerTimeout())
	defer next.Stop()
	select {
	case r := <-c.done:
		return r
	case <-next.C:
	}
	go func() {
		if r := <-c.done; errors.Is(r.err, errCallTimeout) { // any other failure shows in the next call as well
			w.finishCall(at, round, r, false)
		}
	}()
	return result{err: errNextCallStarted}
}

// checkDuringHold makes a call without a hold while a held call that follows a timeout is in flight, unless
// that one is answered soon. This detects a second timeout in a row in time. It also detects a service that
// accepts calls but never answers: timeouts of held calls alone do not count as failures of the service. over
// is closed once the held call has ended.
func (w *Watcher) checkDuringHold(at *endpoint, round int, over <-chan struct{}) {
	soon := time.NewTimer(w.promptAnswerTimeout())
	defer soon.Stop()
	select {
	case <-over:
		return
	case <-soon.C:
	}
	r := <-w.startPoll(at, plannedCall{purpose: checkBesideHeld}, callTimeout).done
	if errors.Is(r.err, errCallTimeout) {
		r.err = errors.New("discovery accepts calls but does not answer")
	}
	w.finishCall(at, round, r, false)
}

// parallelCalls starts up to maxCalls calls, one per interval, without waiting for the earlier ones to be
// answered. It returns the first answer, or an error once the timeout is over or all calls have failed. The
// other calls stay in flight for the timeout of their own and deliver what they return. whole requests the
// whole list. Parallel calls tolerate a lost answer where no further delay is acceptable: after an earlier
// call timed out, after discovery moved, and while the agent of a pushed list is unreachable.
func (w *Watcher) parallelCalls(at *endpoint, planned plannedCall, whole bool, interval, timeout time.Duration, maxCalls int) result {
	results := make(chan result, maxCalls)
	over, next := time.NewTimer(timeout), time.NewTicker(interval)
	defer over.Stop()
	defer next.Stop()
	failed := result{err: fmt.Errorf("no answer to %d calls", maxCalls)}
	started := 0
	start := func() {
		started++
		c := w.startCall(at, planned, whole, timeout)
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
