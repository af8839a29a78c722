package discovery

import (
	"errors"
	"fmt"
	"time"
)

// errGoesOn is why a held call is waited for no longer: the next one begins beside it.
var errGoesOn = errors.New("the next call begins before it is over")

// ahead makes a call that a slow service may hold for longer. The next one begins before its wait is over, by as much as calls take there: if
// this one fell silent, what it missed counts soon after, and at a service that works through its calls in turn the next is answered
// only when its turn comes.
func (w *Watcher) ahead(at *service, round int, hold time.Duration) result {
	c := w.start(at, hold, hold+lateMost)
	next := time.NewTimer(hold - w.soon())
	defer next.Stop()
	select {
	case r := <-c.ended:
		return r
	case <-next.C:
	}
	go func() {
		if r := <-c.ended; errors.Is(r.err, errSilent) { // how else it failed, the next one finds out as well
			w.conclude(at, round, r, false)
		}
	}()
	return result{err: errGoesOn}
}

// check asks beside a held call that follows a silence, unless that is answered soon: two silences in a row are found in time, and so is a
// service that answers nothing at all, which would never be called lost.
func (w *Watcher) check(at *service, round int, over <-chan struct{}) {
	soon := time.NewTimer(w.soon())
	defer soon.Stop()
	select {
	case <-over:
		return
	case <-soon.C:
	}
	r := <-w.start(at, 0, waitMost).ended
	if errors.Is(r.err, errSilent) {
		r.err = errors.New("it answers nothing")
	}
	w.conclude(at, round, r, false)
}

// sideBySide makes up to most calls, one after another though none is answered yet, and waits for the first answer until patience is over.
// The others stay out, each for its own patience, and tell what they bring. whole: the whole list is asked for.
// So a call that falls silent is no loss where another watch did before, where discovery was moved, or while discovery's agent is.
func (w *Watcher) sideBySide(at *service, whole bool, every, patience time.Duration, most int) result {
	results := make(chan result, most)
	over, next := time.NewTimer(patience), time.NewTicker(every)
	defer over.Stop()
	defer next.Stop()
	failed := result{err: fmt.Errorf("no answer to %d calls", most)}
	begun := 0
	begin := func() {
		begun++
		c := w.call(at, whole, 0, patience)
		go func() { results <- <-c.ended }()
	}
	begin()
	for ended := 0; ended < most; {
		select {
		case r := <-results:
			if r.err == nil {
				return r
			}
			if !errors.Is(r.err, errSilent) {
				failed = r
			}
			ended++
		case <-next.C:
			if begun < most {
				begin()
			}
		case <-over.C:
			return failed
		}
	}
	return failed
}
