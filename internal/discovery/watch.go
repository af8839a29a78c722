// Package discovery follows the list of servers: it requests the list and its changes from the discovery
// service by long polling, validates the answers and passes them on to a callback. The hold of a call is the
// time for which the service may delay its answer until there is a change.
package discovery

import (
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"ledgespread/brain"
	"ledgespread/internal/counters"
)

// Watcher follows the list at one address at a time, in rounds of calls. A round is one watch: a sequence of
// calls, each for the changes since the one before, that ends when another round replaces it.
type Watcher struct {
	// OnTakenOver is called with the whole list after that of another process was taken over, and OnUpdate with each list
	// that was delivered or taken over; it may be nil, and must not block. Both are set before the first call to discovery.
	OnTakenOver func(*List)
	OnUpdate    func(Update)

	zones                  map[string]int // numbers of the known zones by name
	pollInterval           atomic.Int64   // nanoseconds; the longest time that the settings allow between two requests for the list
	shortestSearchInterval atomic.Int64   // nanoseconds from one call to the next while none is answered, if the list is pushed
	sidecars               int            // that use the same service
	maxAnswer              int            // bytes
	seed                   uint64
	dial                   Dial
	onList                 func(*List)
	counts                 *counters.Set
	log                    zerolog.Logger

	delivery         sync.Mutex // held while onList runs; locked before mu
	mu               sync.Mutex
	servers          ServerSet // after all lists delivered; written under both locks, read under delivery
	sequence         uint64    // orders the starts of calls and the acceptance of answers
	current          *endpoint
	epoch            int           // how often versions began to count anew
	takenOver        bool          // the list is that of another process, and no answer was accepted since; protected by delivery
	retired          []*endpoint   // former addresses with calls in flight, whose answers are still read
	pushed           bool          // the list is pushed: the watch continues after a failure
	latency          time.Duration // of answers, beyond the holds of their calls
	round            int           // the current one
	draws            uint64        // random durations drawn so far
	unreachable      bool
	unreachableSince time.Time
	lastContact      time.Time // the last answer, or the last connection that was refused
	failures         int       // failed calls since the last answer
	retryingRound    int       // the round that retries after a failed call, without being asked to
	closed           bool
}

// New returns a watcher that starts from the given version of the list and makes no call before a watch is
// started. onList is called with each list that has content, and with nil after a failed call. pollInterval
// is the longest time that the settings allow a sidecar to go without asking, and sidecars is how many use
// the service. An answer with more than maxAnswer bytes is an error.
func New(address string, zones map[string]int, version uint64, pollInterval brain.Micros, sidecars, maxAnswer int, seed uint64,
	onList func(*List), counts *counters.Set, log zerolog.Logger) *Watcher {
	w := &Watcher{zones: zones, sidecars: max(sidecars, 1), maxAnswer: maxAnswer, seed: seed, dial: fasthttp.DialTimeout, onList: onList,
		counts: counts, log: log, lastContact: time.Now(), servers: ServerSet{}}
	w.current = newEndpoint(address, maxAnswer, w.dial)
	w.current.version = version
	w.UpdateSettings(pollInterval, 0)
	return w
}

// LoadSaved initializes the watcher's servers from the saved list that the sidecar started with. It must be called
// before the first call to discovery.
func (w *Watcher) LoadSaved(saved *List) {
	w.servers.Apply(saved)
	if len(saved.Unusable) > 0 {
		w.recordUnusable(saved)
	}
}

// nextSequence returns the sequence number for a call that starts or an answer that is accepted. The caller
// holds w.mu.
func (w *Watcher) nextSequence() uint64 {
	w.sequence++
	return w.sequence
}

// SetDial replaces the function that connects to discovery. It must be called before the first call to
// discovery.
func (w *Watcher) SetDial(dial Dial) { w.dial, w.current.dial = dial, dial }

// UpdateSettings applies new settings to calls that start from now on. pollInterval is the same as in New; grace is
// the grace period of the protocol for a pushed list.
func (w *Watcher) UpdateSettings(pollInterval, grace brain.Micros) {
	interval := time.Duration(pollInterval) * time.Microsecond
	if interval <= 0 { // optional in the settings if the list is pushed
		interval = defaultPollInterval
	}
	w.pollInterval.Store(int64(interval))
	searchInterval := time.Duration(grace) * time.Microsecond / searchIntervalDivisor
	w.shortestSearchInterval.Store(int64(min(max(searchInterval, minSearchInterval), maxSearchInterval)))
}

// Watch starts a round in place of the current one. Its first call asks for the changes so far, and its
// result is always reported to onList; later calls report only changes and failures. It does nothing if the
// current round is retrying after a failed call, as rounds do by themselves if there are several sidecars;
// the result of the retry is reported.
func (w *Watcher) Watch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.retryingRound == w.round && w.round > 0 {
		return // the current round retries and reports its first result
	}
	w.beginRound(watchStart)
}

// WatchPushed starts a watch of a pushed list: discovery pushes the list to an agent, which the watcher calls. The
// watch continues after failures without further calls of Watch. By the protocol, what the agent knows counts
// as delivered after the grace period.
func (w *Watcher) WatchPushed(grace brain.Micros) {
	w.UpdateSettings(brain.Micros(time.Duration(w.pollInterval.Load())/time.Microsecond), grace)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pushed = true
	w.beginRound(watchStart)
}

// SetAddress switches to another address and requests the whole list there. It ends the calls at the old address;
// answers that the service writes there until it notices are still delivered.
func (w *Watcher) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.current.address {
		return
	}
	w.retire(w.current)
	w.current = newEndpoint(address, w.maxAnswer, w.dial)
	w.current.unconfirmed = true
	w.failures, w.lastContact = 0, time.Now()
	w.log.Info().Str("discovery", address).Msg("discovery moved")
	w.beginRound(addressChanged)
}

// maxRetiredCalls limits the calls at former addresses that are kept in flight; each occupies a connection.
const maxRetiredCalls = 32

// retire stops the use of an address. The caller holds w.mu.
func (w *Watcher) retire(former *endpoint) {
	former.retire()
	w.retired = slices.DeleteFunc(append(w.retired, former), func(e *endpoint) bool { return e.activeCalls() == 0 })
	calls := 0
	for _, e := range w.retired {
		calls += e.activeCalls()
	}
	for len(w.retired) > 1 && calls > maxRetiredCalls {
		calls -= w.retired[0].activeCalls()
		w.retired[0].close()
		w.retired = w.retired[1:]
	}
}

// Close ends the watch and all calls. onList may still be running when Close returns, but is not called again
// once the calls have ended.
func (w *Watcher) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.round++
	w.current.close()
	for _, former := range w.retired {
		former.close()
	}
}

// beginRound starts the next round with a call for the given purpose. The caller holds w.mu.
func (w *Watcher) beginRound(first purpose) {
	if w.closed {
		return
	}
	w.round++
	if w.pushed {
		go newPushedRound(w, w.current, w.round, first).run()
		return
	}
	go w.runRound(w.current, w.round, first)
}

// isPushed reports whether the list is pushed.
func (w *Watcher) isPushed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pushed
}

// isCurrent reports whether no other round has replaced this one.
func (w *Watcher) isCurrent(round int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return round == w.round
}

// purpose says what the next call of a round is for.
type purpose uint8

const (
	roundOver         purpose = iota
	watchStart                // get the changes so far
	addressChanged            // get the whole list from a new address, soon enough that no call may go unanswered
	addressUnanswered         // the same, after the first calls got no answer
	longPoll                  // wait for the next change
	pollAfterTimeout          // after a call of the watch timed out: get the changes that it missed
	retryAfterFailure         // without being asked to
	besideUnanswered          // beside calls for a pushed list that are not answered yet: get the changes so far
)

// purposeNames are the names of the purposes in the log, in the same order.
var purposeNames = [...]string{"none", "start of a watch", "new address", "new address, again", "watch", "anew after a timeout", "retry after a failure",
	"beside an unanswered call"}

func (p purpose) String() string { return purposeNames[p] }

// followsSilence reports whether a call is made because another one got no answer.
func (p purpose) followsSilence() bool {
	return p == addressUnanswered || p == pollAfterTimeout
}

// wantsWholeList reports whether a call asks for the whole list in place of the changes.
func (p purpose) wantsWholeList() bool {
	return p == addressChanged || p == addressUnanswered
}

// plannedCall is the next call of a round.
type plannedCall struct {
	purpose purpose
	hold    time.Duration
}

// mustReport reports whether the result of the call is passed to onList even if it has no changes.
func (p plannedCall) mustReport() bool {
	return p.purpose == watchStart || p.purpose == addressChanged || p.purpose == retryAfterFailure
}

// runRound makes the calls of one round until it is over.
func (w *Watcher) runRound(at *endpoint, round int, first purpose) {
	for next := (plannedCall{purpose: first}); next.purpose != roundOver; {
		next = w.advance(at, round, next)
	}
}

// advance makes one call, waits as long as is due after it, and returns the next one.
func (w *Watcher) advance(at *endpoint, round int, now plannedCall) plannedCall {
	began := time.Now()
	result := w.makeCall(at, now)
	took := time.Since(began)
	next := w.nextCall(now, result)
	if next.purpose == retryAfterFailure && !w.startRetrying(round) {
		next.purpose = roundOver
	}
	isCurrent := w.finishCall(at, round, result, now.mustReport())
	w.log.Debug().Err(result.err).Int("round", round).Stringer("purpose", now.purpose).Bool("current", isCurrent).Bool("brought", result.delivered).
		Dur("hold", now.hold).Dur("took", took).Time("began", began).Msg("discovery called")
	if !isCurrent {
		return plannedCall{}
	}
	if result.err == nil && !result.newer && now.hold > 0 {
		time.Sleep(w.emptyAnswerPause(began))
	}
	return w.waitBefore(round, next, took)
}

// emptyAnswerPause returns the pause after an answer without changes to a held call that began at the given time. It limits
// the call rate at a service that ignores the hold.
func (w *Watcher) emptyAnswerPause(began time.Time) time.Duration {
	return min(w.pollIntervalFraction(emptyAnswerFraction), continuationGap/2) - time.Since(began)
}

// nextCall returns the call that follows one with the given result.
func (w *Watcher) nextCall(now plannedCall, r result) plannedCall {
	switch {
	case r.err == nil && now.purpose == longPoll && !r.newer:
		return plannedCall{longPoll, w.longestHold()}
	case r.err == nil:
		return plannedCall{longPoll, w.jitteredHold()}
	case errors.Is(r.err, errCallTimeout) && now.purpose == retryAfterFailure:
		return plannedCall{purpose: retryAfterFailure} // without a hold, to be answered as soon as the service answers
	case errors.Is(r.err, errCallTimeout):
		return plannedCall{purpose: pollAfterTimeout} // not a failure of the service
	case errors.Is(r.err, errUnanswered) && now.purpose == pollAfterTimeout && w.sidecars == 1:
		return now
	case now.purpose.wantsWholeList() && gotNoAnswer(r.err):
		return plannedCall{purpose: addressUnanswered} // the changes known there are due before Watch is called again
	}
	return plannedCall{retryAfterFailure, min(w.jitteredHold(), maxRetryHold)}
}

// waitBefore waits for the delay due before the next call. took is the duration of the call before.
func (w *Watcher) waitBefore(round int, next plannedCall, took time.Duration) plannedCall {
	if next.purpose == retryAfterFailure {
		time.Sleep(w.retryDelay() - took)
		if !w.startRetrying(round) {
			return plannedCall{}
		}
	}
	return next
}

// makeCall makes a planned call, or several in parallel, and returns the result.
func (w *Watcher) makeCall(at *endpoint, now plannedCall) result {
	switch {
	case now.purpose == retryAfterFailure: // allows for time in the service's queue
		return <-w.startCall(at, now, retryDeadline).done
	case now.hold > 0:
		return <-w.startCall(at, now, now.hold+w.answerDelayLimit()).done
	case now.purpose.wantsWholeList():
		return w.parallelCalls(at, now, w.promptAnswerTimeout(), callTimeout, 2)
	case now.purpose == pollAfterTimeout:
		return w.parallelCalls(at, now, w.checkDelay(), callTimeout, 2)
	}
	return <-w.startCall(at, now, callTimeout).done
}

// startRetrying marks a round as retrying after a failed call. It returns false if the round has been
// replaced, or if there is only one sidecar: its calls need not be spread, and it calls again when Watch is
// called.
func (w *Watcher) startRetrying(round int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if round != w.round || w.sidecars == 1 {
		return false
	}
	w.retryingRound = round
	return true
}
