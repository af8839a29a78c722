package inbound

import (
	"context"
	"errors"
	"sync"
	"time"
)

// phase says whether this sidecar accepts clients. /-/ready, each answer and Stop depend on it:
//
//	serving       ready; connections are kept open
//	outOfService  not ready; requests are served, each answer closes its connection, idle connections are closed
//	stopping      like outOfService, and the listener closes; final
type phase uint8

const (
	serving phase = iota
	outOfService
	stopping
)

const (
	acceptAfterStop = 500 * time.Millisecond // a stop accepts new connections for this long

	// A drain starts after drainIdleAfter. At first it closes only connections that have been idle for as long:
	// the clients of others may be about to send a request. Later it closes all that have been idle for
	// briefIdle: after acceptAfterStop at a stop, after drainAllAfter when out of service.
	drainIdleAfter = acceptAfterStop / 2
	drainAllAfter  = 3 * acceptAfterStop
	pollInterval   = acceptAfterStop / 20 // between two checks of a drain or a stop
	briefIdle      = 4 * pollInterval

	// A client whose connection was closed just as it sent a request has this much longer to connect again at a
	// stop.
	reconnectGrace = 2 * briefIdle

	// A stopping process may be killed after the longest client timeout, or maxRequestWait if that is
	// shorter, plus killMargin. Requests that are unanswered finalAnswerTime before that get an error.
	maxRequestWait  = 3 * time.Second
	killMargin      = acceptAfterStop + reconnectGrace
	finalAnswerTime = 100 * time.Millisecond
	maxStreamWait   = 20 * time.Second // a stop waits up to this long for answers that are being streamed
)

// ErrStopping is returned where a stop does not allow what was asked for.
var ErrStopping = errors.New("this process is stopping")

// lifecycle holds the current phase. Concurrent calls are safe, and the last one wins, except that stopping
// is final.
type lifecycle struct {
	mu         sync.Mutex
	phase      phase
	since      time.Time
	generation int // number of phase changes; a task begun for one generation ends with it
}

// enter changes the phase and returns the new generation; 0 if nothing changed.
func (p *lifecycle) enter(next phase) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.phase == next || p.phase == stopping {
		return 0
	}
	p.phase, p.since = next, time.Now()
	p.generation++
	return p.generation
}

// current returns the time since the last phase change, and the generation.
func (p *lifecycle) current() (age time.Duration, generation int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.since), p.generation
}

// OutOfService makes the sidecar not ready and closes client connections as they become idle. Requests that
// still arrive are served.
func (in *Inbound) OutOfService() {
	if generation := in.lifecycle.enter(outOfService); generation > 0 {
		in.log.Info().Msg("out of service")
		go in.drain(generation, drainAllAfter)
	}
}

// InService ends OutOfService: the sidecar is ready again and keeps connections open. A stop is final: InService then returns
// ErrStopping.
func (in *Inbound) InService() error {
	if in.lifecycle.enter(serving) > 0 {
		in.log.Info().Msg("in service")
	}
	if !in.Ready() {
		return ErrStopping
	}
	return nil
}

// Ready reports whether the sidecar is in service.
func (in *Inbound) Ready() bool {
	in.lifecycle.mu.Lock()
	defer in.lifecycle.mu.Unlock()
	return in.lifecycle.phase == serving
}

// drain closes idle connections until the generation changes. It first spares connections that were idle only
// for a short time, so that few clients lose theirs while sending a request. After allAfter it closes those
// too, since no client may keep its connection forever.
func (in *Inbound) drain(generation int, allAfter time.Duration) {
	for {
		age, current := in.lifecycle.current()
		switch {
		case current != generation:
			return
		case age >= allAfter:
			in.listener.EvictIdle(briefIdle)
		case age >= drainIdleAfter:
			in.listener.EvictIdle(drainIdleAfter)
		}
		time.Sleep(pollInterval)
	}
}

// Stop shuts the server down. It accepts new connections for a short time, closes the listener, and returns
// when all requests have been answered or a time limit is reached.
func (in *Inbound) Stop() {
	generation := in.lifecycle.enter(stopping)
	if generation == 0 {
		return
	}
	go in.drain(generation, acceptAfterStop)
	// A client whose connection was closed just as it sent a request connects again. New connections are accepted
	// until no connection has been silent for briefIdle, or reconnectGrace has passed.
	for lastSilent := time.Now(); ; time.Sleep(pollInterval) {
		age, _ := in.lifecycle.current()
		if !in.listener.NoneSilent() {
			lastSilent = time.Now()
		}
		if age >= acceptAfterStop && time.Since(lastSilent) >= briefIdle || age >= acceptAfterStop+reconnectGrace {
			break
		}
	}
	listenerClosed := in.listener.CloseWhenBacklogEmpty()
	requestWait := min(time.Duration(in.longestTimeout.Load())*time.Microsecond, maxRequestWait) + killMargin
	for expired := false; ; {
		age, _ := in.lifecycle.current()
		if listenerClosed() && in.listener.OpenConnections() == 0 || age > requestWait && in.activeStreams.Load() == 0 || age > maxStreamWait {
			break
		}
		if !expired && age > requestWait-finalAnswerTime { // unanswered requests would be killed with the process
			expired = true
			close(in.stopExpired)
		}
		time.Sleep(pollInterval)
	}
	ctx, cancel := context.WithTimeout(context.Background(), finalAnswerTime)
	defer cancel()
	if err := in.server.ShutdownWithContext(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		in.log.Warn().Err(err).Msg("stop")
	}
}
