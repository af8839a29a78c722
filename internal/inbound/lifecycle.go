package inbound

import (
	"context"
	"errors"
	"sync"
	"time"
)

// phase is what this sidecar is there for. There is one, read by /-/ready, by every answer and by the stop:
//
//	serving       ready; connections are kept
//	outOfService  not ready; what comes is served, each answer closes its connection, idle ones are closed
//	stopping      the same, and the listener closes; for good
type phase uint8

const (
	serving phase = iota
	outOfService
	stopping
)

const (
	acceptFor     = 500 * time.Millisecond // new connections may come for so long after clients were sent away
	drainAfter    = acceptFor / 2          // idle connections are left alone for so long: their clients may be about to write
	drainAllAfter = 3 * acceptFor          // from then on those go too that were idle only for a moment; at a stop, after acceptFor
	look          = acceptFor / 20         // idle connections are looked through so often
	moment        = 4 * look
	crossing      = 2 * moment             // whoever finds its connection closed under a request may come again for so long
	longest       = 3 * time.Second        // a stopping process may be killed after the longest client timeout, this at the most,
	killed        = acceptFor + crossing   // and so much more
	lastAnswer    = 100 * time.Millisecond // before that what has no answer yet gets one
	lastStream    = 20 * time.Second       // or for so long, where answers are still being passed on
)

// lifecycle keeps the phase. Calls may cross: the last one holds, but that a stop is for good.
type lifecycle struct {
	mu    sync.Mutex
	now   phase
	since time.Time
	turns int // of phase, so that what was begun for one ends with it
}

// turn takes up a phase, and tells which turn this is; 0: nothing changed.
func (p *lifecycle) turn(to phase) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.now == to || p.now == stopping {
		return 0
	}
	p.now, p.since = to, time.Now()
	p.turns++
	return p.turns
}

// is tells for how long the phase has been what it is, and which turn this is.
func (p *lifecycle) is() (lasts time.Duration, turn int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.since), p.turns
}

// OutOfService sends clients away: not ready, what comes is served, connections are closed one by one.
func (in *Inbound) OutOfService() {
	if turn := in.lifecycle.turn(outOfService); turn > 0 {
		in.log.Info().Msg("out of service")
		go in.drain(turn, drainAllAfter)
	}
}

// InService takes clients again.
func (in *Inbound) InService() {
	if in.lifecycle.turn(serving) > 0 {
		in.log.Info().Msg("in service")
	}
}

// Ready tells whether clients may come.
func (in *Inbound) Ready() bool {
	in.lifecycle.mu.Lock()
	defer in.lifecycle.mu.Unlock()
	return in.lifecycle.now == serving
}

// drain closes idle connections as long as this turn of phase goes on: first those that have been idle for a while, so
// that few clients find theirs closed under a request, then all. No client may hold a connection for ever.
func (in *Inbound) drain(turn int, all time.Duration) {
	for {
		since, now := in.lifecycle.is()
		switch {
		case now != turn:
			return
		case since >= all:
			in.listener.EvictIdle(moment)
		case since >= drainAfter:
			in.listener.EvictIdle(drainAfter)
		}
		time.Sleep(look)
	}
}

// Stop sends clients away for good: it lets new connections come for a while, and returns when all that was taken has
// its answer.
func (in *Inbound) Stop() {
	turn := in.lifecycle.turn(stopping)
	if turn == 0 {
		return
	}
	go in.drain(turn, acceptFor)
	// A client whose connection was closed under its request a moment ago comes again: it is still let in.
	for quiet := time.Now(); ; time.Sleep(look) {
		since, _ := in.lifecycle.is()
		if !in.listener.Quiet() {
			quiet = time.Now()
		}
		if since >= acceptFor && time.Since(quiet) >= moment || since >= acceptFor+crossing {
			break
		}
	}
	finished := in.listener.Finish()
	longestRequest := min(time.Duration(in.longest.Load())*time.Microsecond, longest) + killed
	for ended := false; ; {
		since, _ := in.lifecycle.is()
		if finished() && in.listener.Here() == 0 || since > longestRequest && in.streams.Load() == 0 || since > lastStream {
			break
		}
		if !ended && since > longestRequest-lastAnswer { // what has no answer by now would be killed with the process
			ended = true
			close(in.expired)
		}
		time.Sleep(look)
	}
	ctx, done := context.WithTimeout(context.Background(), lastAnswer)
	defer done()
	if err := in.server.ShutdownWithContext(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		in.log.Warn().Err(err).Msg("stop")
	}
}
