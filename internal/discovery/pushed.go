package discovery

import (
	"errors"
	"slices"
	"time"

	"ledgespread/internal/counters"
)

// pushedRound makes the calls of one round for a pushed list, until another round replaces it. Calls overlap: the next one
// starts when there is an answer to the one before, or a call interval after its start. While no answer comes in time, the
// round searches: it starts calls at shorter intervals, so that it hears soon of an agent that returns.
//
// An answer supersedes the calls that started before the one that it answers, since they can't bring anything newer, and
// of those after it the ones that are not needed to keep the starts a call interval apart. An agent that handles calls one
// after another may drop them.
type pushedRound struct {
	watcher *Watcher
	at      *endpoint
	number  int
	first   plannedCall // repeated until it is answered

	waiting    []*call   // for an answer, by their starts; those that are superseded are left out
	lastStart  time.Time // of a call
	answered   bool      // a call of this round was answered
	lastAnswer time.Time
	silentFrom time.Time // since when the round searches; zero: it doesn't
	reported   bool      // discovery was reported to be unreachable since then

	ends chan callEnd
	over chan struct{} // closed when the round is over
}

// callEnd is the end of a call.
type callEnd struct {
	call   *call
	result result
}

func newPushedRound(w *Watcher, at *endpoint, number int, first purpose) *pushedRound {
	return &pushedRound{watcher: w, at: at, number: number, first: plannedCall{purpose: first}, silentFrom: time.Now(),
		ends: make(chan callEnd), over: make(chan struct{})}
}

// run makes calls until the round is over.
func (r *pushedRound) run() {
	defer close(r.over)
	r.start(r.first)
	for r.watcher.isCurrent(r.number) {
		timer := time.NewTimer(time.Until(r.nextStart()))
		select {
		case ended := <-r.ends:
			r.handleEnd(ended)
		case <-timer.C:
			r.startUnanswered()
		}
		timer.Stop()
	}
}

// start starts a call, whose end is sent to ends.
func (r *pushedRound) start(planned plannedCall) {
	c := r.watcher.startCall(r.at, planned, planned.hold+maxCallAge)
	r.waiting = append(r.waiting, c)
	r.lastStart = c.began
	go func() {
		select {
		case r.ends <- callEnd{c, <-c.done}:
		case <-r.over:
		}
	}()
}

// nextStart returns when the next call starts if there is no answer before.
func (r *pushedRound) nextStart() time.Time {
	regular := r.lastStart.Add(r.watcher.callInterval())
	answerDue := r.answerDue()
	search := r.lastStart.Add(r.watcher.searchInterval(time.Since(answerDue)))
	if search.Before(answerDue) {
		search = answerDue
	}
	if search.Before(regular) {
		return search
	}
	return regular
}

// answerDue returns the time after which the round searches unless there is an answer. An agent that handles calls one
// after another answers the next call some time after the one before.
func (r *pushedRound) answerDue() time.Time {
	if !r.silentFrom.IsZero() || len(r.waiting) == 0 {
		return r.silentFrom
	}
	handledFrom := r.waiting[0].began.Add(r.waiting[0].hold)
	if handledFrom.Before(r.lastAnswer) {
		handledFrom = r.lastAnswer
	}
	return handledFrom.Add(r.watcher.answerDelayLimit())
}

// startUnanswered starts a call beside those that are not answered yet.
func (r *pushedRound) startUnanswered() {
	planned := plannedCall{purpose: besideUnanswered}
	if answerDue := r.answerDue(); r.silentFrom.IsZero() && !time.Now().Before(answerDue) {
		r.silentFrom = answerDue
		r.watcher.counts.Add(counters.ListCallsTimedOut)
		planned.purpose = pollAfterTimeout
	}
	if !r.answered {
		planned = r.first
	}
	if r.isUnreachable() && !r.reported {
		r.reported = true
		r.watcher.finishCall(r.at, r.number, result{err: errUnanswered}, false)
	}
	r.start(planned)
}

// isUnreachable reports whether the answers have been missing for longer than any call may take.
func (r *pushedRound) isUnreachable() bool {
	return !r.silentFrom.IsZero() && time.Since(r.silentFrom) >= callTimeout
}

// handleEnd handles the end of a call.
func (r *pushedRound) handleEnd(ended callEnd) {
	i := slices.Index(r.waiting, ended.call)
	err := ended.result.err
	switch {
	case err == nil:
		r.lastAnswer = time.Now()
		if i >= 0 {
			r.handleAnswer(ended, i)
		}
		return
	case i < 0:
		return
	}
	r.waiting = slices.Delete(r.waiting, i, i+1)
	if errors.Is(err, errCallTimeout) || errors.Is(err, errWholeListTimeout) || errors.Is(err, errReplaced) {
		return // not a failure of the agent
	}
	if r.silentFrom.IsZero() {
		r.silentFrom = time.Now()
	}
	r.watcher.finishCall(r.at, r.number, ended.result, false)
}

// handleAnswer handles the answer to a call that is waiting at this index.
func (r *pushedRound) handleAnswer(ended callEnd, index int) {
	r.supersede(index)
	mustReport := !r.answered && r.first.mustReport()
	r.answered, r.silentFrom, r.reported = true, time.Time{}, false
	if !r.watcher.finishCall(r.at, r.number, ended.result, mustReport) || len(r.waiting) > 0 {
		return
	}
	hold := r.watcher.jitteredHold()
	if ended.call.hold > 0 && !ended.result.newer {
		time.Sleep(r.watcher.emptyAnswerPause(ended.call.began))
		hold = r.watcher.longestHold()
	}
	r.start(plannedCall{longPoll, hold})
}

// supersede gives up the calls that are no longer needed once the one that is waiting at this index is answered.
func (r *pushedRound) supersede(index int) {
	interval := r.watcher.callInterval()
	before := r.waiting[index].began
	var needed []*call
	for i, c := range r.waiting {
		isLast := i == len(r.waiting)-1
		switch {
		case i == index:
		case i < index || !isLast && r.waiting[i+1].began.Sub(before) <= interval:
			c.giveUp()
		default:
			needed = append(needed, c)
			before = c.began
		}
	}
	r.waiting = needed
}
