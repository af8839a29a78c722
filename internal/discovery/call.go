package discovery

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"ledgespread/internal/counters"
)

// errUnreachable is wrapped by the error of a call for which no connection could be made.
var errUnreachable = errors.New("cannot connect to discovery")

// errCallTimeout ends the wait for a call that asked for changes and got no answer in time.
var errCallTimeout = errors.New("the call got no answer in time")

// errReplaced is the error of a call whose connection was closed for that of a newer call.
var errReplaced = errors.New("the connection was closed for a newer call")

// errWholeListTimeout ends the wait for a call that asked for the whole list and got no answer in time.
var errWholeListTimeout = errors.New("no answer in time")

// gotNoAnswer reports whether a call failed because it, or its connection request, got no answer in time. It may have
// been lost on its way to a service that can be reached.
func gotNoAnswer(err error) bool {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, errUnanswered) || errors.Is(err, errWholeListTimeout) || errors.Is(err, fasthttp.ErrDialTimeout):
		return true
	case errors.As(err, &timeout):
		return timeout.Timeout()
	}
	return false
}

// call is one request for the list. By the protocol, discovery may regard the list as received as soon as it
// has written the answer. The call's own goroutine therefore passes every answer on, even if nobody waits for
// the call any more; see deliver.
type call struct {
	endpoint *endpoint
	purpose  purpose
	hold     time.Duration // for which the service may delay its answer until there is a change
	whole    bool          // requests the whole list instead of the changes after version from
	from     uint64
	sequence uint64 // the watcher's sequence number at the start of the call
	began    time.Time
	done     chan result // buffered; receives the result once

	mu         sync.Mutex
	abandoned  bool // the call timed out or is superseded; an answer that still arrives is delivered
	connection *connection
	number     int  // of the connection at its endpoint; 0: there was none yet
	reused     bool // the connection had carried a call before
}

// MarshalZerologObject adds the fields that every log line about a call has.
func (c *call) MarshalZerologObject(e *zerolog.Event) {
	e.Str("discovery", c.endpoint.address).Stringer("purpose", c.purpose).Uint64("call", c.sequence).Dur("hold", c.hold)
}

// result is the outcome of a call.
type result struct {
	list      *List
	err       error // why there is no list
	delivered bool  // the list had content and was passed on
	newer     bool  // delivered, with a newer version than the call asked from
}

// startCall starts a call in its own goroutine. After timeout the call is abandoned: its result is a timeout
// error and the service may drop it, but an answer that still arrives is delivered. The call asks for the changes
// since the last accepted version; it asks for the whole list if its purpose says so, or if no answer from this
// endpoint has been accepted yet.
func (w *Watcher) startCall(at *endpoint, planned plannedCall, timeout time.Duration) *call {
	w.mu.Lock()
	c := &call{endpoint: at, purpose: planned.purpose, hold: planned.hold, whole: planned.purpose.wantsWholeList() || at.unconfirmed, from: at.version,
		sequence: w.nextSequence(), began: time.Now(), done: make(chan result, 1)}
	lastContact := w.lastContact
	w.mu.Unlock()
	w.recordStart(c, lastContact)
	go w.run(c, time.AfterFunc(timeout, func() { w.abandon(c) }))
	return c
}

// recordStart counts a call that starts. It is logged at debug level only, unless it follows from a call that got
// no answer.
func (w *Watcher) recordStart(c *call, lastContact time.Time) {
	w.counts.Add(counters.ListCalls)
	level := zerolog.DebugLevel
	if c.purpose.followsSilence() {
		level = zerolog.InfoLevel
	}
	w.log.WithLevel(level).EmbedObject(c).Bool("whole", c.whole).Dur("since_contact", c.began.Sub(lastContact)).Msg("call to discovery begins")
}

// giveUp shows the service that nobody waits for the call any more. An answer that still arrives is delivered.
func (c *call) giveUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned = true
	if c.connection != nil {
		c.connection.endSending()
	}
}

// abandon ends the wait for a call that timed out.
func (w *Watcher) abandon(c *call) {
	c.giveUp()
	number, reused := c.connectionNumber()
	w.log.Info().EmbedObject(c).Bool("whole", c.whole).Time("began", c.began).Int("connection", number).Bool("connection_reused", reused).
		Msg("call to discovery timed out; a late answer is still accepted")
	if c.whole {
		c.done <- result{err: errWholeListTimeout}
		return
	}
	w.counts.Add(counters.ListCallsTimedOut)
	c.done <- result{err: errCallTimeout}
}

// attach records the connection that carries the call. It returns false if the call was abandoned before it
// got one, in which case the request must not be sent.
func (c *call) attach(conn *connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connection = conn
	if conn != nil {
		c.number, c.reused = conn.number, conn.calls > 0
		conn.calls++
	}
	return !c.abandoned
}

// connectionNumber returns the number of the connection that carries or carried the call, and whether it had carried
// another call before.
func (c *call) connectionNumber() (number int, reused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.number, c.reused
}

// answerDue returns when the answer should have come, whatever time up to callTimeout the service takes.
func (c *call) answerDue() time.Time { return c.began.Add(c.hold + callTimeout + schedulingReserve) }

func (c *call) isAbandoned() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.abandoned
}

// run makes the call, delivers the list that it returns, and sends the result unless the timeout did so
// before.
func (w *Watcher) run(c *call, timeout *time.Timer) {
	var outcome result
	defer func() {
		// A panic must neither end the sidecar nor leave the caller waiting for a result.
		if crash := recover(); crash != nil {
			w.counts.RecordPanic(w.log, "watch", crash)
			outcome = result{err: fmt.Errorf("crashed: %v", crash)}
		}
		if timeout.Stop() {
			c.done <- outcome
		}
	}()
	if outcome.list, outcome.err = w.request(c); outcome.err == nil {
		outcome.delivered = w.deliver(c, outcome.list)
		outcome.newer = outcome.delivered && (c.whole || outcome.list.Version != c.from)
		return
	}
	number, _ := c.connectionNumber()
	w.log.Info().Err(outcome.err).EmbedObject(c).Bool("whole", c.whole).Time("began", c.began).Int("connection", number).Bool("given_up", c.isAbandoned()).
		Msg("call of discovery failed")
}

// request sends the HTTP request of a call and reads the answer.
func (w *Watcher) request(c *call) (list *List, err error) {
	connection, err := c.endpoint.acquire(c.purpose == longPoll, c.answerDue())
	if err != nil {
		return nil, err
	}
	reusable := false
	defer func() {
		c.attach(nil)
		c.endpoint.release(connection, reusable && !c.isAbandoned())
	}()
	if !c.attach(connection) {
		return nil, errWholeListTimeout
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + c.endpoint.address + "/api/targets" + c.query())
	if err := connection.roundTrip(request, response, c.endpoint.maxAnswer); err != nil {
		if c.endpoint.wasReplaced(connection) {
			return nil, errReplaced
		}
		return nil, err
	}
	reusable = !response.ConnectionClose()
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, fmt.Errorf("discovery answered %d", response.StatusCode())
	}
	if list, err = Read(response.Body(), w.zones); err == nil && c.whole && !list.Whole {
		err = errors.New("the answer has only changes, but the whole list was requested")
	}
	if err != nil {
		w.counts.Add(counters.ListsMalformed)
		return nil, fmt.Errorf("malformed list: %w", err)
	}
	list.Source = c.endpoint.address
	w.recordLatency(c)
	return list, nil
}

// query returns the query string; a call for the whole list has none.
func (c *call) query() string {
	if c.whole {
		return ""
	}
	return fmt.Sprintf("?from=%d&hold_ms=%d", c.from, c.hold.Milliseconds())
}
