// Package discovery follows the list of servers: it calls the service that has it, reads the answers, and tells them.
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

// Watcher follows the list at one address at a time, by rounds of calls: a round is one watch, which ends when another takes its place.
type Watcher struct {
	zones     map[string]int
	every     atomic.Int64 // nanoseconds that the settings let a sidecar go without asking
	step      atomic.Int64 // where the list is pushed: nanoseconds from one call to the next, while none is answered
	among     int          // sidecars that ask the same service
	maxAnswer int          // bytes
	seed      uint64
	dial      Dial
	tell      func(*List)
	counts    *counters.Sheet
	log       zerolog.Logger

	telling sync.Mutex // held while an answer is told
	mu      sync.Mutex
	held    fleet  // what was told adds up to; under both locks, or telling alone to read
	count   uint64 // of calls that began and answers that were told: which came first
	at      *service
	retired []*service    // addresses that were left: their calls end, and what they write until then is heard
	pushed  bool          // the watch goes on by itself after a failure
	took    time.Duration // what a call took that was not held, lately
	round   int           // of the watch that goes on
	drawn   uint64        // times that chance was asked
	lost    bool
	lostAt  time.Time
	heardAt time.Time // the last answer came, or the service was out of reach
	failed  int       // calls, since then
	back    int       // the round that comes back by itself after a failed call
	closed  bool
}

// New makes a watcher that holds the list of this version. tell hears each list that brings something, and nil for a
// call that failed; askEvery is how long the settings let a sidecar go without asking, among how many; no answer
// may have more than maxAnswer bytes.
func New(address string, zones map[string]int, version uint64, askEvery brain.Micros, among, maxAnswer int, seed uint64,
	tell func(*List), counts *counters.Sheet, log zerolog.Logger) *Watcher {
	w := &Watcher{zones: zones, among: max(among, 1), maxAnswer: maxAnswer, seed: seed, dial: fasthttp.DialTimeout, tell: tell,
		counts: counts, log: log, heardAt: time.Now(), held: fleet{}}
	w.at = newService(address, maxAnswer, w.dial)
	w.at.version = version
	w.Retune(askEvery, 0)
	return w
}

// Hold has the watcher know the servers of the saved list, which the decisions hold. It is called before the first call.
func (w *Watcher) Hold(saved *List) {
	w.held.apply(saved)
	if len(saved.Unusable) > 0 {
		w.recordUnusable(saved)
	}
}

// tick counts a call that begins, or an answer that is told; the lock is held.
func (w *Watcher) tick() uint64 {
	w.count++
	return w.count
}

// DialBy has connections to discovery made in another way. It is called before the first call.
func (w *Watcher) DialBy(dial Dial) { w.dial, w.at.dial = dial, dial }

// Retune takes over new settings, for calls that begin: askEvery as for New, grace as for Keep.
func (w *Watcher) Retune(askEvery, grace brain.Micros) {
	every := time.Duration(askEvery) * time.Microsecond
	if every <= 0 { // a list that is pushed: the settings need not say
		every = usual
	}
	w.every.Store(int64(every))
	w.step.Store(int64(max(time.Duration(grace)*time.Microsecond/stepPart, stepLeast)))
}

// Watch begins a watch in place of the one that goes on. The first call asks for what is new by now, and its end is always told; those
// that follow tell only what they bring. Among several sidecars one whose call failed comes back by itself.
func (w *Watcher) Watch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.back == w.round && w.round > 0 {
		return // it comes back, and what it hears first is told
	}
	w.begin(starting)
}

// Keep watches without being asked, and comes back after a failure: the list is pushed, and what the agent has counts as told,
// after this grace.
func (w *Watcher) Keep(grace brain.Micros) {
	w.Retune(brain.Micros(time.Duration(w.every.Load())/time.Microsecond), grace)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pushed = true
	w.begin(starting)
}

// Move follows the list at another address from now on, and asks there for the whole of it. Calls at the old address end; what that
// writes until it notices still counts.
func (w *Watcher) Move(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.at.address {
		return
	}
	w.retire(w.at)
	w.at = newService(address, w.maxAnswer, w.dial)
	w.at.silent = true
	w.failed, w.heardAt = 0, time.Now()
	w.log.Info().Str("discovery", address).Msg("discovery moved")
	w.begin(moved)
}

// maxRetiredCalls is how many calls at addresses that were left are still heard; each holds a connection.
const maxRetiredCalls = 32

// retire leaves an address; the lock is held.
func (w *Watcher) retire(left *service) {
	left.retire()
	w.retired = slices.DeleteFunc(append(w.retired, left), func(s *service) bool { return s.calls() == 0 })
	calls := 0
	for _, s := range w.retired {
		calls += s.calls()
	}
	for len(w.retired) > 1 && calls > maxRetiredCalls {
		calls -= w.retired[0].calls()
		w.retired[0].close()
		w.retired = w.retired[1:]
	}
}

// Close ends the watch and all calls; nothing is told any more once they have ended.
func (w *Watcher) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.round++
	w.at.close()
	for _, left := range w.retired {
		left.close()
	}
}

// begin starts the next round; the lock is held.
func (w *Watcher) begin(from state) {
	if w.closed {
		return
	}
	w.round++
	go w.follow(w.at, w.round, from)
}

// state is what a round's next call is made for.
type state uint8

const (
	ended      state = iota
	starting         // a watch begins: what is new by now
	moved            // the address is new: what it has counts before long, so no call may fall silent
	unanswered       // the same, after its first calls got no answer
	watching         // a watch goes on: a call is held until there is something new
	asking           // the watch before fell silent: what it missed counts before long
	returning        // after a failed call, by itself
)

// step is the next call of a round.
type step struct {
	state state
	hold  time.Duration
}

// owed tells whether whoever began the watch is told how this call ended, whatever it brought.
func (s step) owed() bool { return s.state == starting || s.state == moved || s.state == returning }

// follow makes the calls of one round.
func (w *Watcher) follow(at *service, round int, from state) {
	for next := (step{state: from}); next.state != ended; {
		next = w.advance(at, round, next)
	}
}

// advance makes one call and is the step that follows.
func (w *Watcher) advance(at *service, round int, now step) step {
	began := time.Now()
	over := make(chan struct{})
	if now.state == asking && now.hold > 0 {
		go w.check(at, round, over)
	}
	r := w.ask(at, round, now)
	close(over)
	took := time.Since(began)
	if errors.Is(r.err, errGoesOn) {
		return step{watching, w.heldFor()}
	}
	next := w.next(now, r, took)
	if next.state == returning && !w.comesBack(round) {
		next.state = ended
	}
	current := w.conclude(at, round, r, now.owed())
	w.log.Debug().Err(r.err).Int("round", round).Uint8("state", uint8(now.state)).Bool("current", current).Bool("brought", r.brought).
		Dur("hold", now.hold).Dur("took", took).Time("began", began).Msg("discovery called")
	if !current {
		return step{}
	}
	if r.err == nil && !r.news && now.hold > 0 { // a service may answer at once, and nothing new, for ever
		time.Sleep(min(w.part(pacePart), goesOn/2) - time.Since(began))
	}
	return w.rest(round, next, took)
}

// next is the step that follows a call which ended so.
func (w *Watcher) next(now step, r result, took time.Duration) step {
	switch {
	case r.err == nil:
		return step{watching, w.heldFor()}
	case errors.Is(r.err, errSilent) && w.pushed:
		return step{asking, 0}
	case errors.Is(r.err, errSilent): // no failure of the service; with news it answers at once, so a slow one holds for no longer
		return step{asking, w.shorter(min(w.part(holdPart), holdMost))}
	case w.pushed:
		return step{state: starting}
	case (now.state == moved || now.state == unanswered) && took >= waitMost:
		return step{state: unanswered} // what it may have by now counts before the module asks again
	}
	return step{returning, w.shorter(min(w.part(holdPart), holdBack))}
}

// rest waits after a call that failed and took so long, for as long as is due before the next step.
func (w *Watcher) rest(round int, next step, took time.Duration) step {
	switch next.state {
	case starting: // again: the list is pushed
		time.Sleep(time.Duration(w.step.Load()))
	case returning:
		time.Sleep(w.wait() - took)
		if !w.comesBack(round) {
			return step{}
		}
	}
	return next
}

// ask makes the call of a step, or several side by side.
func (w *Watcher) ask(at *service, round int, now step) result {
	switch {
	case now.state == returning: // it may wait its turn first
		return <-w.start(at, now.hold, again).ended
	case now.hold > holdMost:
		return w.ahead(at, round, now.hold)
	case now.hold > 0:
		return <-w.start(at, now.hold, now.hold+lateMost).ended
	case w.pushed:
		every := max(time.Duration(w.step.Load()), w.patience()/maxSideBySide)
		return w.sideBySide(at, now.state == moved, every, maxSideBySide*every, maxSideBySide)
	case now.state == moved || now.state == unanswered:
		return w.sideBySide(at, true, w.soon(), waitMost, 2)
	}
	return <-w.start(at, 0, waitMost).ended
}

// comesBack tells whether this round still goes on, by itself, after a failed call. A lone sidecar is no herd, and comes when it is asked to.
func (w *Watcher) comesBack(round int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if round != w.round || w.among == 1 {
		return false
	}
	w.back = round
	return true
}
