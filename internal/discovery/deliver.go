package discovery

import (
	"errors"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"ledgespread/internal/counters"
)

// outcome says what was done with an answer of discovery. Its text is the log message.
type outcome string

const (
	acceptedInFull       outcome = "list told"
	acceptedDepartures   outcome = "list told for the servers that leave: its address was left"
	acceptedLowerVersion outcome = "list told for the servers that leave: its version is lower than the one before; the whole list is asked for"
	acceptedVersionReset outcome = "list told: versions count anew"
	ignoredEmpty         outcome = "list not told: it says nothing"
	ignoredOutdated      outcome = "list not told: older than the one held"
	ignoredOldAddress    outcome = "list not told: its address was left"
)

// accepted reports whether any part of the answer is passed on to onList.
func (o outcome) accepted() bool {
	return o != ignoredEmpty && o != ignoredOutdated && o != ignoredOldAddress
}

// needsRecheck reports whether the whole list has to be requested after this outcome.
func (o outcome) needsRecheck() bool { return o == acceptedDepartures || o == acceptedLowerVersion }

// deliver passes an answer on to onList, whichever round made the call and whether or not the call was
// abandoned. It returns false if there was nothing to pass on. Answers are delivered one at a time, so an
// older answer never follows a newer one.
func (w *Watcher) deliver(c *call, answer *List) (delivered bool) {
	w.delivery.Lock()
	defer w.delivery.Unlock()
	w.mu.Lock()
	list, outcome := w.accept(c, answer)
	w.mu.Unlock()
	w.record(c, answer, outcome)
	if !outcome.accepted() {
		return false
	}
	w.takenOver = false
	w.servers.Apply(list)
	w.onList(list)
	w.noteUpdate(list)
	if outcome.needsRecheck() {
		w.recheck()
	}
	return true
}

// accept decides what to do with an answer and returns the part of it that is to be passed on. The caller
// holds both locks.
func (w *Watcher) accept(c *call, answer *List) (*List, outcome) {
	from := c.endpoint
	left := from != w.current
	if left && !slices.Contains(w.retired, from) {
		return nil, ignoredOldAddress
	}
	if !left {
		w.recordReachability(nil)
	}
	list := w.servers.resolve(answer)
	if list.Version < from.version && !from.unconfirmed {
		return w.acceptLower(c, list)
	}
	from.acceptVersion(list.Version, w.nextSequence())
	if left { // a former address may still remove servers, but not return one to service
		list = w.servers.departures(list)
	}
	switch {
	case list.Empty():
		return nil, ignoredEmpty
	case left:
		return list, acceptedDepartures
	}
	return list, acceptedInFull
}

// acceptLower decides about an answer whose version is lower than one that was accepted from the same
// endpoint. If that one was accepted while the call was in flight, the answer is outdated. Otherwise the
// service may have lost its version counter, or a replica that lags behind has answered: then only departing
// servers are taken from the answer, and a second whole list in a row with a lower version is accepted in
// full. The caller holds both locks.
func (w *Watcher) acceptLower(c *call, list *List) (*List, outcome) {
	from := c.endpoint
	if c.sequence < from.acceptedAt {
		return nil, ignoredOutdated
	}
	if from == w.current && list.Whole && from.lowerVersionAt != 0 && c.sequence > from.lowerVersionAt {
		from.acceptVersion(list.Version, w.nextSequence())
		w.epoch++
		return list, acceptedVersionReset
	}
	first := from.lowerVersionAt == 0
	if first {
		from.lowerVersionAt = w.nextSequence()
	}
	list = w.servers.departures(list)
	switch {
	case from != w.current:
		return list, acceptedDepartures
	case first || !list.Empty():
		return list, acceptedLowerVersion
	}
	return nil, ignoredEmpty
}

// record counts and logs the outcome of an answer. An empty answer, such as that of a call whose hold ran out
// without a change, is logged at debug level only.
func (w *Watcher) record(c *call, answer *List, outcome outcome) {
	level := zerolog.InfoLevel
	if outcome == ignoredEmpty {
		level = zerolog.DebugLevel
	}
	w.log.WithLevel(level).Uint64("version", answer.Version).Bool("whole", answer.Whole).Int("servers", len(answer.Entries)).
		EmbedObject(c).Time("began", c.began).Bool("connection_reused", c.reused).Bool("given_up", c.isAbandoned()).Msg(string(outcome))
	if outcome == ignoredOutdated {
		w.counts.Add(counters.ListsOutdated)
	}
	if outcome.accepted() {
		w.counts.Add(counters.ListsAccepted)
	}
	if outcome.accepted() && c.isAbandoned() {
		w.counts.Add(counters.ListsLate)
	}
	if len(answer.Unusable) > 0 {
		w.recordUnusable(answer)
	}
}

// maxLoggedEntries is how many unusable entries of one answer are logged with their errors.
const maxLoggedEntries = 8

// recordUnusable counts and logs the unusable entries of an answer.
func (w *Watcher) recordUnusable(answer *List) {
	var errs []error
	for _, unusable := range answer.Unusable {
		w.counts.Add(counters.ListEntriesSkipped)
		errs = append(errs, unusable.Err)
	}
	w.log.Warn().Uint64("version", answer.Version).Str("discovery", answer.Source).Int("entries", len(errs)).
		Errs("why", errs[:min(len(errs), maxLoggedEntries)]).Msg("entries of the list skipped: their servers are not used")
}

// recheck starts a new round that requests the whole list from the current address. It follows an answer that
// was accepted for its departures only: the answer to a call that begins now is more recent and overrides it.
// Nothing is started if no list from the current address has been accepted yet, since the whole list is being
// requested then.
func (w *Watcher) recheck() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.current.unconfirmed {
		w.beginRound(addressChanged)
	}
}

// finishCall handles the result of a round's call as far as deliver has not done so: it counts failures and
// calls onList with nil for a failed call or, if mustReport is set, with an empty list for a call without
// changes. It returns false if another round has replaced this one.
func (w *Watcher) finishCall(at *endpoint, round int, outcome result, mustReport bool) (isCurrent bool) {
	w.delivery.Lock()
	defer w.delivery.Unlock()
	w.mu.Lock()
	if at != w.current {
		w.mu.Unlock()
		return false
	}
	isCurrent = round == w.round
	if errors.Is(outcome.err, errCallTimeout) {
		if isCurrent {
			w.retryingRound = 0
		}
		w.mu.Unlock()
		return isCurrent
	}
	if outcome.err != nil {
		w.recordReachability(outcome.err)
	}
	lastVersion := at.version
	w.mu.Unlock()
	switch {
	case outcome.err != nil:
		w.counts.Add(counters.ListCallsFailed)
		if isCurrent || mustReport {
			w.onList(nil)
		}
	case mustReport && !outcome.delivered:
		w.counts.Add(counters.ListsAccepted)
		w.onList(&List{Version: lastVersion})
	}
	return isCurrent
}

// recordReachability records the result of a call: err is nil if discovery answered. It logs only when
// discovery becomes unreachable and when it is back. The caller holds w.mu.
func (w *Watcher) recordReachability(err error) {
	switch {
	case err != nil && !w.unreachable:
		w.log.Warn().Err(err).Msg("discovery out of reach")
		w.unreachableSince = time.Now()
	case err == nil && w.unreachable:
		w.log.Info().Msg("discovery back")
	}
	w.unreachable = err != nil
	w.failures++
	if err == nil {
		w.failures, w.retryingRound = 0, 0
	}
	if err == nil || errors.Is(err, errUnreachable) && !gotNoAnswer(err) {
		w.lastContact = time.Now()
	}
}
