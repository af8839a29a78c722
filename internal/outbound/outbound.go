// Package outbound is the servers' side: connections to them and backend fetches. It sends each
// fetch once and tells for each how far it came.
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
		pool: pool{idle: map[brain.Backend][]*conn{}, most: most, counts: counts, log: log}}
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

// Ended hears how a fetch ended, once: with a delivery, or with the reason why there is none; and the server's load
// report, if one came.
type Ended func(a *exchange.Answer, reused bool, load []float64, err error)

// Attempt is a fetch that is out.
type Attempt struct {
	To     brain.Backend
	before time.Time       // no byte goes out later; zero: it may at any time
	wrote  time.Time       // its last byte, where that took long
	ctx    context.Context // over: it must not be sent any more
	off    context.CancelFunc
	called atomic.Bool // off: nobody waits for it
	mu     sync.Mutex
	line   *conn
	ended  Ended
}

func newAttempt(to brain.Backend, ended Ended) *Attempt {
	f := &Attempt{To: to, ended: ended}
	f.ctx, f.off = context.WithCancel(context.Background())
	return f
}

// Took is how long its answer took from its last byte on, where writing took long; else what the caller measured. It may be
// asked once the fetch has ended.
func (f *Attempt) Took(whole brain.Micros) brain.Micros {
	if f.wrote.IsZero() {
		return whole
	}
	return min(whole, brain.Micros(time.Since(f.wrote)/time.Microsecond))
}

// CancelUnsent keeps a fetch from being sent if it is not yet. Guards against a send after the visit's end by a
// connection that comes up late. One that was sent goes on.
func (f *Attempt) CancelUnsent() { f.off() }

// Cancel stops waiting; the connection is closed.
func (f *Attempt) Cancel() {
	f.called.Store(true)
	f.off()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.line != nil {
		f.line.SetDeadline(time.Unix(1, 0)) // wakes its goroutine, which closes it
	}
}

// rides notes the connection, so that Cancel can progress it; nil: it is left.
func (f *Attempt) rides(l *conn) {
	f.mu.Lock()
	f.line = l
	f.mu.Unlock()
}

// Fetch sends a visit to a server and waits until then at most. It returns at once. before is when its first byte is to have gone out, or
// it never does; zero: at any time.
func (o *Outbound) Fetch(x *exchange.Exchange, be brain.Backend, address string, until, before time.Time, ended Ended) *Attempt {
	f := newAttempt(be, ended)
	f.before = before
	o.counts.Add(counters.FetchesSent)
	o.workers.do(func() { o.run(f, be, address, until, x) })
	return f
}

// CloseIdle gives back a server's connections that carry nothing.
func (o *Outbound) CloseIdle(be brain.Backend) { o.pool.drop(be) }

// Forget gives back all connections to a server that carry nothing.
func (o *Outbound) Forget(be brain.Backend) {
	o.pool.drop(be)
}

// Sweep closes connections that have stood idle for as long as they may.
func (o *Outbound) Sweep() { o.pool.sweep() }

func (o *Outbound) run(f *Attempt, be brain.Backend, address string, until time.Time, x *exchange.Exchange) {
	var a *exchange.Answer
	var reused bool
	var load []float64
	err := error(&Failure{Progress: Sent, Cause: fmt.Errorf("crashed")})
	defer func() {
		// Guards against a visit that hangs, and a sidecar that dies, by one fetch's panic.
		if crash := recover(); crash != nil {
			o.counts.Crashed(o.log, "backend fetch", crash)
		}
		f.off()
		f.ended(a, reused, load, err)
	}()
	a, reused, load, err = o.once(f, be, address, until, x)
}

// once does one fetch. On a reused connection that took less than all of it, it dials: nothing was sent.
func (o *Outbound) once(f *Attempt, be brain.Backend, address string, until time.Time, x *exchange.Exchange) (a *exchange.Answer,
	reused bool, load []float64, err error) {
	for l := o.pool.take(be, address); l != nil; l = o.pool.take(be, address) {
		a, load, err = o.over(f, be, l, until, x)
		if failure, ok := err.(*Failure); !ok || failure.Progress != Nowhere || f.ctx.Err() != nil ||
			!time.Now().Before(until) || x.Upload != nil && x.Upload.Begun() {
			o.counts.Add(counters.ConnectionsReused)
			return a, true, load, err
		}
	}
	l, err := o.dial(f, address, until)
	if err != nil {
		return nil, false, nil, err
	}
	a, load, err = o.over(f, be, l, until, x)
	return a, false, load, err
}

func (o *Outbound) dial(f *Attempt, address string, until time.Time) (*conn, error) {
	if !o.pool.room() {
		return nil, &Failure{Progress: Nowhere, Cause: fmt.Errorf("all %d connections are busy", o.pool.most)}
	}
	tcp, err := o.connected(f, address, until)
	if err != nil {
		o.pool.closed()
		if f.ctx.Err() != nil {
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
func (o *Outbound) connected(f *Attempt, address string, until time.Time) (net.Conn, error) {
	if by := time.Now().Add(time.Duration(o.connect.Load())); by.Before(until) {
		until = by
	}
	dialer := net.Dialer{Deadline: until, KeepAlive: -1}
	tcp, err := machine.Retry(f.ctx, until, func() (net.Conn, error) {
		tcp, err := o.Dial(f.ctx, dialer, address)
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

// over sends a fetch on a connection and reads the whole answer. The connection is kept or closed. What the server is told of the time
// is what is left just before the first byte: guards against a server that works for a client that has gone, where the connection
// came up late.
func (o *Outbound) over(f *Attempt, be brain.Backend, l *conn, until time.Time, x *exchange.Exchange) (a *exchange.Answer,
	load []float64, err error) {
	keep, handed := false, false
	defer func() {
		f.rides(nil)
		if handed { // the line is the stream's
			return
		}
		if keep && !f.called.Load() { // one that Cancel reached has a deadline that has passed
			o.pool.put(be, l)
			return
		}
		l.Close()
		o.pool.closed()
	}()
	l.by(until)
	f.rides(l)
	progress := Nowhere
	fail := func(cause error) error {
		if f.called.Load() || progress == Nowhere && f.ctx.Err() != nil {
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
	if !x.Wanted() || !f.before.IsZero() && !time.Now().Before(f.before) {
		f.off()
	}
	if f.ctx.Err() != nil {
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
		f.wrote = time.Now()
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
		f.rides(nil)
		if f.called.Load() {
			return nil, nil, fail(errCalledOff)
		}
		handed = true
		answer.Rest = &stream{body: answer.body, l: l, be: be, o: o, keeps: !answer.closes}
	}
	return &answer.Answer, answer.load, nil
}
