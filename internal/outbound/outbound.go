// Package outbound is the servers' side: connections to them and attempts. It sends each
// attempt once and tells for each how far it came.
package outbound

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"ledgespread/brain"
	"ledgespread/internal/counters"
	"ledgespread/internal/exchange"
	"ledgespread/internal/machine"
)

const (
	usualHead = 4 << 10 // bytes: a line's buffer, until a longer head comes

	idleMargin  = 20 // a connection is left this part of its idle time before the server may close it
	crowdedPart = 4  // of what all may take: from there on less is held back of each
	holdPart    = 8  // an answer of unknown length is held back for this part of the time left, until it is long

	deadlinePart = 4 // a connection's deadline may be late by this part of the time left
)

// Dial makes a connection to a server.
type Dial func(ctx context.Context, dialer net.Dialer, address string) (net.Conn, error)

func dialTCP(ctx context.Context, dialer net.Dialer, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, "tcp", address)
}

// Outbound reaches the servers.
type Outbound struct {
	Dial    Dial // how connections are made; set before the first attempt
	pool    pool
	workers workers
	connect atomic.Int64             // nanoseconds
	room    int                      // bytes that answers may take together while they are read
	taken   atomic.Int64             // of these
	loads   atomic.Pointer[[]string] // what an answer's load report holds; none: answers carry none
	counts  *counters.Sheet
	log     zerolog.Logger
}

// New makes the servers' side: connections stand idle for so long at most, come up within connect, and are
// never more than most; answers take no more than room bytes together while they are read, and their load reports hold
// loads.
func New(idle, connect brain.Micros, most, room int, loads []string, counts *counters.Sheet, log zerolog.Logger) *Outbound {
	o := &Outbound{Dial: dialTCP, workers: make(workers), room: room, counts: counts, log: log,
		pool: pool{idle: map[brain.ServerID][]*conn{}, most: most, counts: counts, log: log}}
	o.Retune(idle, connect, loads)
	return o
}

// Retune takes over new settings: idle for connections that stand so already as well, connect for those that begin, loads for answers
// that come.
func (o *Outbound) Retune(idle, connect brain.Micros, loads []string) {
	o.pool.keep.Store(int64(span(idle - idle/idleMargin)))
	o.connect.Store(int64(span(connect)))
	o.loads.Store(&loads)
}

func span(t brain.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

// Ended hears how an attempt ended, once: with a delivery, or with the reason why there is none; and the server's load
// report, if one came.
type Ended func(a *exchange.Answer, reused bool, load []float64, err error)

// Attempt is an attempt that is out.
type Attempt struct {
	To     brain.ServerID
	before time.Time       // no byte goes out later; zero: it may at any time
	wrote  time.Time       // its last byte, where that took long
	ctx    context.Context // over: it must not be sent any more
	off    context.CancelFunc
	called atomic.Bool // off: nobody waits for it
	mu     sync.Mutex
	line   *conn
	ended  Ended
}

func newAttempt(to brain.ServerID, ended Ended) *Attempt {
	attempt := &Attempt{To: to, ended: ended}
	attempt.ctx, attempt.off = context.WithCancel(context.Background())
	return attempt
}

// Took is how long its answer took from its last byte on, where writing took long; else what the caller measured. It may be
// asked once the attempt has ended.
func (attempt *Attempt) Took(whole brain.Micros) brain.Micros {
	if attempt.wrote.IsZero() {
		return whole
	}
	return min(whole, brain.Micros(time.Since(attempt.wrote)/time.Microsecond))
}

// CancelUnsent keeps an attempt from being sent if it is not yet. A connection that comes up late must not send
// after the request's end. One that was sent goes on.
func (attempt *Attempt) CancelUnsent() { attempt.off() }

// Cancel stops waiting; the connection is closed.
func (attempt *Attempt) Cancel() {
	attempt.called.Store(true)
	attempt.off()
	attempt.mu.Lock()
	defer attempt.mu.Unlock()
	if attempt.line != nil {
		attempt.line.SetDeadline(time.Unix(1, 0)) // wakes its goroutine, which closes it
	}
}

// rides notes the connection, so that Cancel can progress it; nil: it is left.
func (attempt *Attempt) rides(l *conn) {
	attempt.mu.Lock()
	attempt.line = l
	attempt.mu.Unlock()
}

// Send sends a request to a server and waits until then at most. It returns at once. before is when its first byte is to have gone out, or
// it never does; zero: at any time.
func (o *Outbound) Send(x *exchange.Exchange, server brain.ServerID, address string, until, before time.Time, ended Ended) *Attempt {
	attempt := newAttempt(server, ended)
	attempt.before = before
	o.counts.Add(counters.FetchesSent)
	o.workers.do(func() { o.run(attempt, server, address, until, x) })
	return attempt
}

// CloseIdle gives back a server's connections that carry nothing.
func (o *Outbound) CloseIdle(server brain.ServerID) { o.pool.drop(server) }

// Forget gives back all connections to a server that carry nothing.
func (o *Outbound) Forget(server brain.ServerID) {
	o.pool.drop(server)
}

// Sweep closes connections that have stood idle for as long as they may.
func (o *Outbound) Sweep() { o.pool.sweep() }

func (o *Outbound) run(attempt *Attempt, server brain.ServerID, address string, until time.Time, x *exchange.Exchange) {
	var a *exchange.Answer
	var reused bool
	var load []float64
	err := error(&Failure{Progress: Sent, Cause: fmt.Errorf("crashed")})
	defer func() {
		// One attempt's panic must neither leave its request hanging nor end the sidecar.
		if crash := recover(); crash != nil {
			o.counts.Crashed(o.log, "attempt", crash)
		}
		attempt.off()
		attempt.ended(a, reused, load, err)
	}()
	a, reused, load, err = o.once(attempt, server, address, until, x)
}

// once does one attempt. On a reused connection that took less than all of it, it dials: nothing was sent.
func (o *Outbound) once(attempt *Attempt, server brain.ServerID, address string, until time.Time, x *exchange.Exchange) (a *exchange.Answer,
	reused bool, load []float64, err error) {
	for l := o.pool.take(server, address); l != nil; l = o.pool.take(server, address) {
		a, load, err = o.over(attempt, server, l, until, x)
		if failure, ok := err.(*Failure); !ok || failure.Progress != Nowhere || attempt.ctx.Err() != nil ||
			!time.Now().Before(until) || x.Upload != nil && x.Upload.Begun() {
			o.counts.Add(counters.ConnectionsReused)
			return a, true, load, err
		}
	}
	l, err := o.dial(attempt, address, until)
	if err != nil {
		return nil, false, nil, err
	}
	a, load, err = o.over(attempt, server, l, until, x)
	return a, false, load, err
}

func (o *Outbound) dial(attempt *Attempt, address string, until time.Time) (*conn, error) {
	if !o.pool.room() {
		return nil, &Failure{Progress: Nowhere, Cause: fmt.Errorf("all %d connections are busy", o.pool.most)}
	}
	tcp, err := o.connected(attempt, address, until)
	if err != nil {
		o.pool.closed()
		if attempt.ctx.Err() != nil {
			err = errCalledOff
		}
		return nil, &Failure{Progress: Nowhere, Cause: err}
	}
	o.counts.Add(counters.ConnectionsOpened)
	l := &conn{Conn: tcp, address: address}
	l.in = bufio.NewReaderSize(l, usualHead)
	return l, nil
}

// connected makes a connection. A failure of this machine says nothing of the server, so it is tried again until a connection would be late.
func (o *Outbound) connected(attempt *Attempt, address string, until time.Time) (net.Conn, error) {
	if by := time.Now().Add(time.Duration(o.connect.Load())); by.Before(until) {
		until = by
	}
	dialer := net.Dialer{Deadline: until, KeepAlive: -1}
	tcp, err := machine.Retry(attempt.ctx, until, func() (net.Conn, error) {
		tcp, err := o.Dial(attempt.ctx, dialer, address)
		if machine.Lacks(err) {
			o.counts.Add(counters.ConnectsFailedHere)
		}
		return tcp, err
	})
	if machine.Lacks(err) {
		err = fmt.Errorf("%w: %w", errHere, err)
	}
	return tcp, err
}

// over sends an attempt on a connection and reads the whole answer. The connection is kept or closed. What the server is told of the time
// is what is left just before the first byte: where the connection came up late, the server would else work for a client
// that has gone.
func (o *Outbound) over(attempt *Attempt, server brain.ServerID, l *conn, until time.Time, x *exchange.Exchange) (a *exchange.Answer,
	load []float64, err error) {
	keep, handed := false, false
	defer func() {
		attempt.rides(nil)
		if handed { // the line is the stream's
			return
		}
		if keep && !attempt.called.Load() { // one that Cancel reached has a deadline that has passed
			o.pool.put(server, l)
			return
		}
		l.Close()
		o.pool.closed()
	}()
	l.by(until)
	attempt.rides(l)
	progress := Nowhere
	fail := func(cause error) error {
		if attempt.called.Load() || progress == Nowhere && attempt.ctx.Err() != nil {
			cause = errCalledOff
		} else if !time.Now().Before(until) {
			cause = os.ErrDeadlineExceeded // the reader of answers words it in several ways
		}
		return &Failure{Progress: progress, Cause: cause}
	}
	told := brain.Micros(time.Until(until) / time.Microsecond)
	if told <= 0 {
		return nil, nil, fail(os.ErrDeadlineExceeded)
	}
	if x.Upload != nil { // the client's time runs from its last byte
		told = x.Upload.Patience
	}
	head, body := x.Outgoing(told)
	if !x.Wanted() || !attempt.before.IsZero() && !time.Now().Before(attempt.before) {
		attempt.off()
	}
	if attempt.ctx.Err() != nil {
		return nil, nil, fail(errCalledOff)
	}
	if n, err := l.Write(head); n < len(head) {
		return nil, nil, fail(err)
	}
	if len(body) > 0 || x.Upload != nil {
		if err := o.long(l, body, x.Upload); err != nil {
			if unheard := o.early(l); unheard != nil {
				return nil, nil, unheard
			}
			return nil, nil, fail(err)
		}
		if x.Upload != nil {
			until = time.Now().Add(span(x.Upload.Patience))
		}
		l.until = time.Time{}
		l.by(until)
		attempt.wrote = time.Now()
	}
	progress = Sent
	o.counts.Add(counters.FetchesWritten)
	answer, err := o.answer(l, until)
	if err != nil {
		if l.broke == nil {
			progress = Spoilt
			o.counts.Add(counters.FetchesSpoilt)
		}
		return nil, nil, fail(err)
	}
	keep = !answer.closes && l.in.Buffered() == 0 && answer.body == nil // of one that is no delivery the rest is not read
	if answer.status != fasthttp.StatusOK {
		unseen := answer.unseen && (answer.status == fasthttp.StatusServiceUnavailable ||
			answer.status == fasthttp.StatusGatewayTimeout)
		return nil, answer.load, &Failure{Progress: Answered, Status: answer.status, Unseen: unseen}
	}
	if answer.body != nil {
		attempt.rides(nil)
		if attempt.called.Load() {
			return nil, nil, fail(errCalledOff)
		}
		handed = true
		answer.Rest = &stream{body: answer.body, l: l, be: server, o: o, keeps: !answer.closes}
	}
	return &answer.Answer, answer.load, nil
}
