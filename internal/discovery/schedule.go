package discovery

import (
	"encoding/binary"
	"hash/fnv"
	"time"
)

// deliveryTimeout is the protocol's deadline: a change counts as known to each sidecar that long after discovery has
// it and can be reached, whatever became of the sidecar's calls.
const deliveryTimeout = 6 * time.Second

// All holds, timeouts and delays keep to one rule, from which changes arrive by that deadline. All connections that
// are open at some moment may fall silent at that moment. So at any moment, however calls end, a call that
//
//   - starts later than the last answer, and
//   - uses a connection that was opened for it,
//
// must have time to be answered before the last answer is deliveryTimeout old. A call that directly follows an answer
// may use the same connection, since the answer shows that nothing was missed until then. Therefore the next call
// starts at most a call interval after the start of one that is not answered, whatever that one waits for, and what is
// left of deliveryTimeout after the interval is for its answer.
//
// A pushed list keeps to the same rule more strictly, in pushed.go: its agent may take up to callTimeout for any call, one
// call may be lost beside those that fall silent, and what is known at the start of a call is all that its answer shows.
// So calls start at most a call interval apart, answered or not, and no call is given up while its answer may still come.
const (
	// maxCallInterval is the longest time from the start of an unanswered call to the start of the next.
	maxCallInterval = deliveryTimeout * 3 / 4
	// minCallInterval limits the call rate at a service so slow that its answers come after the deadline anyway.
	minCallInterval = deliveryTimeout * 5 / 8
	// answerTimeout is how late a quick service may answer before the sidecar makes another call.
	answerTimeout = deliveryTimeout / 12
	// maxAnswerTimeout limits the same for a slow service.
	maxAnswerTimeout = deliveryTimeout / 4
	// schedulingReserve is left for delays of the sidecar itself.
	schedulingReserve = answerTimeout / 2
	// callTimeout is the timeout of a call without a hold.
	callTimeout = deliveryTimeout / 2
	// connectTimeout leaves time for two further connections within deliveryTimeout.
	connectTimeout = deliveryTimeout / 3
	// holdJitterDivisor gives the jitter: up to 1/holdJitterDivisor of a hold is taken off at random.
	holdJitterDivisor = 4
	// latencyDecayDivisor gives how fast the latency follows quicker answers. It follows slower ones at once.
	latencyDecayDivisor = 4
	// retryDeadline is the age of the last answer by which the next call after a failure starts.
	retryDeadline = maxCallInterval
	// maxRetryHold limits the hold of a retry, whose timeout is retryDeadline.
	maxRetryHold = retryDeadline - callTimeout
	// continuationGap is the time after an answer within which the service regards the next call as part of
	// the same watch.
	continuationGap = 200 * time.Millisecond
)

// Limits of the delay from a failed call to the next. A service that rejects calls is overloaded, and a
// sidecar that retries more often is accepted sooner; so the sidecar whose last answer is the oldest retries
// most often.
const (
	retrySpreadPerSidecar   = 50 * time.Millisecond // added for each sidecar to the span over which all of them retry
	maxRetrySpreadDoublings = 6                     // how often that span doubles in a series of failures
	minDelayPerSidecar      = 10 * time.Millisecond // of the minimum delay, for each sidecar: 100 calls/s from all of them
	minDelayLowerLimit      = answerTimeout / 2
	minDelayUpperLimit      = callTimeout / 2
)

const (
	maxHoldFraction     = 0.5  // of the poll interval: the longest hold of a call
	emptyAnswerFraction = 0.01 // of the poll interval: the pause after an answer without changes
	defaultPollInterval = 10 * time.Second
)

// Parameters for a pushed list. All that discovery's agent knows counts as delivered, whether or not a call is in flight.
const (
	searchIntervalDivisor = 4 // fraction of the configured grace period from one call to the next while none is answered
	minSearchInterval     = 50 * time.Millisecond
	maxSearchInterval     = deliveryTimeout / 24
	// maxSearchIntervalGrowth is the factor by which that interval grows while no call is answered. At most half of the
	// grace period passes between two calls, so that an agent that returns is heard within the grace period.
	maxSearchIntervalGrowth = 2
	// searchGrowthDivisor gives how fast it grows: to this fraction of the time without an answer.
	searchGrowthDivisor = 12
	// maxPushedCallInterval is the longest call interval. It leaves time for a lost call and for one that takes callTimeout.
	maxPushedCallInterval = deliveryTimeout - schedulingReserve - callTimeout - maxSearchInterval
	// openCallsInTurn limits the calls that an agent has at a time if it handles them one after another.
	openCallsInTurn = 8
	// maxCallAge is how long a call of a pushed list stays open: an agent that is overloaded may answer late.
	maxCallAge = 5 * deliveryTimeout
	// FirstListTimeout is how long after a start the agent of a pushed list may take to answer, with one call lost.
	FirstListTimeout = callTimeout + maxSearchInterval + schedulingReserve
)

func (w *Watcher) pollIntervalFraction(fraction float64) time.Duration {
	return time.Duration(fraction * float64(w.pollInterval.Load()))
}

// callInterval returns the longest time from the start of an unanswered call to the start of the next. It leaves time
// for the next call, and for one that is made beside that one if it is not answered either.
func (w *Watcher) callInterval() time.Duration {
	if w.isPushed() {
		return w.pushedCallInterval()
	}
	return min(max(deliveryTimeout-schedulingReserve-answerTimeout-w.currentLatency(), minCallInterval), maxCallInterval)
}

// answerDelayLimit returns how long after its hold a call may be answered before it counts as unanswered.
func (w *Watcher) answerDelayLimit() time.Duration {
	limit := max(w.currentLatency()+schedulingReserve, answerTimeout)
	if w.isPushed() {
		return limit
	}
	return min(limit, maxAnswerTimeout)
}

// longestHold returns the longest hold with which an unanswered call is noticed within the call interval.
func (w *Watcher) longestHold() time.Duration {
	return max(min(w.callInterval()-w.answerDelayLimit(), w.pollIntervalFraction(maxHoldFraction)), 0).Round(time.Millisecond)
}

// jitteredHold returns a hold that is shortened at random if there are several sidecars. It is for calls that all
// sidecars may make at the same moment, after a change or after their connections fell silent: without the jitter,
// their holds would all end at the same moment, too.
func (w *Watcher) jitteredHold() time.Duration {
	hold := w.longestHold()
	if w.sidecars > 1 {
		hold -= w.randomDuration(hold / holdJitterDivisor)
	}
	return hold.Round(time.Millisecond)
}

// checkDelay returns how long a call that follows an unanswered one may wait for its answer before another is made
// beside it. It allows for a service that handles calls in order, as far as the deadline leaves time for the other call.
func (w *Watcher) checkDelay() time.Duration {
	latency := w.currentLatency()
	timeLeft := deliveryTimeout - schedulingReserve - w.callInterval() - latency
	return max(min(2*latency, timeLeft), answerTimeout)
}

// currentLatency returns how long the service currently takes for a call, apart from its hold, as far as it is waited for.
func (w *Watcher) currentLatency() time.Duration { return min(w.longestLatency(), callTimeout) }

// longestLatency is the same for an agent that takes longer than any call is waited for.
func (w *Watcher) longestLatency() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.latency
}

// recordLatency records how long the service took to answer a call: the time beyond its hold. A held call that was
// answered sooner waited for a change and says nothing.
func (w *Watcher) recordLatency(c *call) {
	latency := time.Since(c.began) - c.hold
	if latency < 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.pushed {
		latency = min(latency, callTimeout)
	}
	w.latency = max(latency, w.latency-(w.latency-latency)/latencyDecayDivisor)
}

// promptAnswerTimeout returns the time within which a call that finds a change is answered. It allows for two
// calls, since a service that handles calls in order answers a second one only after the first.
func (w *Watcher) promptAnswerTimeout() time.Duration {
	return min(max(answerTimeout, 2*w.currentLatency()), callTimeout)
}

// pushedCallInterval returns the longest time between the starts of two calls of a pushed list. Of two calls that start in
// time one may be lost, and the other one's answer still comes by the deadline. An agent that is overloaded gets fewer calls.
func (w *Watcher) pushedCallInterval() time.Duration {
	forTwoCalls := (deliveryTimeout - schedulingReserve - w.currentLatency()) / 2
	return min(max(forTwoCalls, w.longestLatency()/openCallsInTurn), maxPushedCallInterval)
}

// searchInterval returns the time between the starts of two calls of a pushed list after none was answered for some time.
func (w *Watcher) searchInterval(silence time.Duration) time.Duration {
	shortest := time.Duration(w.shortestSearchInterval.Load())
	return min(max(shortest, silence/searchGrowthDivisor), maxSearchIntervalGrowth*shortest)
}

// retryDelay returns the delay from the start of a failed call to the start of the next. It is random within
// a span that is wide enough to spread the calls of all sidecars, but at most half of the time left until the
// last answer reaches retryDeadline. With a service that rejects calls this time shrinks, so the delays get
// shorter. With one that refuses connections they get longer, since that resets lastContact: what a service that
// is down knows counts only from its return on. Together this keeps the sidecars from retrying in
// step, and a busy service from rejecting the same sidecar every time.
func (w *Watcher) retryDelay() time.Duration {
	w.mu.Lock()
	failures, left := w.failures, retryDeadline-time.Since(w.lastContact)
	w.mu.Unlock()
	if failures <= 1 {
		left = retryDeadline // the broken watch had delivered everything until now
	}
	minimum := min(max(time.Duration(w.sidecars)*minDelayPerSidecar, minDelayLowerLimit), minDelayUpperLimit)
	spread := max(time.Duration(w.sidecars-1)*retrySpreadPerSidecar, minDelayLowerLimit) << min(max(failures-1, 0), maxRetrySpreadDoublings)
	return minimum/2 + w.randomDuration(max(min(spread, left/2), minimum))
}

// randomDuration returns a pseudorandom duration below limit, derived from the watcher's seed.
func (w *Watcher) randomDuration(limit time.Duration) time.Duration {
	w.mu.Lock()
	w.draws++
	draw := w.draws
	w.mu.Unlock()
	var input [16]byte
	binary.BigEndian.PutUint64(input[:], w.seed)
	binary.BigEndian.PutUint64(input[8:], draw)
	hash := fnv.New64a()
	hash.Write(input[:])
	return time.Duration(hash.Sum64() % uint64(max(limit, 1)))
}
