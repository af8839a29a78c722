// Package outbound is the server side of the sidecar: it keeps connections to servers, sends each attempt
// once, and reports how far the attempt got and what the server answered.
package outbound

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"ledgespread/brain"
	"ledgespread/internal/counters"
	"ledgespread/internal/exchange"
	"ledgespread/internal/machine"
	"ledgespread/internal/memory"
)

const (
	// readBufferSize is the size of a connection's read buffer, until a longer head arrives. A body is read directly
	// into a larger piece, and not copied.
	readBufferSize = exchange.MinPiece - 64

	idleMarginDivisor = 20 // close idle connections 1/20 of their idle time before the server may
	holdDivisor       = 8  // hold an answer of unknown length back for 1/8 of the time left, unless it gets too long

	deadlineSlackDivisor = 4 // a connection's deadline may be late by 1/4 of the time left
)

// Dial opens a connection to a server.
type Dial func(ctx context.Context, dialer net.Dialer, address string) (net.Conn, error)

func dialTCP(ctx context.Context, dialer net.Dialer, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, "tcp", address)
}

// Outbound sends attempts to servers.
type Outbound struct {
	Dial           Dial // opens connections; set before the first attempt
	pool           pool
	workers        workers
	connectTimeout atomic.Int64 // timeout in nanoseconds
	account        *memory.Account
	loadFields     atomic.Pointer[[]string] // fields of the servers' load reports; empty: there are no reports
	counts         *counters.Set
	log            zerolog.Logger
}

// New returns an Outbound that opens at most maxConnections connections and closes those that were
// idle for idleTimeout. New connections time out after connectTimeout. The memory of connections and of bodies is
// charged to the account. Load reports have the fields loadFields, in this order.
func New(idleTimeout, connectTimeout brain.Micros, maxConnections int, account *memory.Account, loadFields []string, counts *counters.Set, log zerolog.Logger) *Outbound {
	o := &Outbound{Dial: dialTCP, workers: make(workers), account: account, counts: counts, log: log,
		pool: pool{idle: map[brain.ServerID][]*conn{}, maxOpen: maxConnections, account: account, counts: counts, log: log}}
	o.Retune(idleTimeout, connectTimeout, loadFields)
	return o
}

// Retune applies new settings: idleTimeout also to connections that are idle already, connectTimeout to new
// connections, and loadFields to answers that are read from now on.
func (o *Outbound) Retune(idleTimeout, connectTimeout brain.Micros, loadFields []string) {
	o.pool.idleTimeout.Store(int64(toDuration(idleTimeout - idleTimeout/idleMarginDivisor)))
	o.connectTimeout.Store(int64(toDuration(connectTimeout)))
	o.loadFields.Store(&loadFields)
}

func toDuration(micros brain.Micros) time.Duration { return time.Duration(micros) * time.Microsecond }

// Send sends a request to a server and returns at once; onEnd is called with the result, at the latest soon
// after until. lastByteBy is as for Attempt.LimitLastByte.
func (o *Outbound) Send(request *exchange.Exchange, server brain.ServerID, address string, until, lastByteBy time.Time, onEnd EndFunc) *Attempt {
	attempt := newAttempt(server, onEnd)
	attempt.LimitLastByte(lastByteBy)
	o.counts.Add(counters.AttemptsStarted)
	o.workers.do(func() { o.run(attempt, server, address, until, request) })
	return attempt
}

// CloseIdle closes a server's idle connections.
func (o *Outbound) CloseIdle(server brain.ServerID) { o.pool.closeIdle(server) }

// Forget closes all idle connections to a server that left the list.
func (o *Outbound) Forget(server brain.ServerID) {
	o.pool.closeIdle(server)
}

// Sweep closes connections that have reached the idle timeout.
func (o *Outbound) Sweep() { o.pool.closeExpired() }

// run makes an attempt and calls its onEnd.
func (o *Outbound) run(attempt *Attempt, server brain.ServerID, address string, until time.Time, request *exchange.Exchange) {
	var answer *exchange.Answer
	var reused bool
	var load []float64
	err := error(&Failure{Progress: Sent, Cause: fmt.Errorf("crashed")})
	defer func() {
		// A panic in one attempt must neither leave its request open nor end the sidecar.
		if crash := recover(); crash != nil {
			o.counts.RecordPanic(o.log, "attempt", crash)
		}
		attempt.finish()
		attempt.onEnd(answer, reused, load, err)
	}()
	answer, reused, load, err = o.attemptOnce(attempt, server, address, until, request)
}

// attemptOnce makes an attempt. If an idle connection accepts less than the whole request, nothing has run,
// so it goes on with the next idle connection and finally with a new one.
func (o *Outbound) attemptOnce(attempt *Attempt, server brain.ServerID, address string, until time.Time, request *exchange.Exchange) (answer *exchange.Answer,
	reused bool, load []float64, err error) {
	for connection := o.pool.takeIdle(server, address); connection != nil; connection = o.pool.takeIdle(server, address) {
		answer, load, err = o.roundTrip(attempt, connection, until, request)
		if failure, ok := err.(*Failure); !ok || failure.Progress != NotSent || attempt.ctx.Err() != nil ||
			errors.Is(err, os.ErrDeadlineExceeded) || request.Upload != nil && request.Upload.Started() {
			o.counts.Add(counters.ConnectionsReused)
			return answer, true, load, err
		}
	}
	connection, err := o.dial(attempt, address, until)
	if err != nil {
		return nil, false, nil, err
	}
	answer, load, err = o.roundTrip(attempt, connection, until, request)
	return answer, false, load, err
}

// dial opens a connection, if the limit allows one more.
func (o *Outbound) dial(attempt *Attempt, address string, until time.Time) (*conn, error) {
	if !o.pool.reserve() {
		return nil, &Failure{Progress: NotSent, Cause: fmt.Errorf("all %d connections are busy", o.pool.maxOpen)}
	}
	tcp, err := o.dialWithRetry(attempt, address, until)
	if err != nil {
		o.pool.release()
		if attempt.ctx.Err() != nil {
			err = errCancelled
		}
		return nil, &Failure{Progress: NotSent, Cause: err}
	}
	o.counts.Add(counters.ConnectionsOpened)
	connection := &conn{Conn: tcp, address: address}
	connection.reader = bufio.NewReaderSize(connection, readBufferSize)
	return connection, nil
}

// dialWithRetry opens a connection. A failure for want of a local resource says nothing about the server, so
// it is retried until the connect timeout.
func (o *Outbound) dialWithRetry(attempt *Attempt, address string, until time.Time) (net.Conn, error) {
	if connectBy := time.Now().Add(time.Duration(o.connectTimeout.Load())); connectBy.Before(until) {
		until = connectBy
	}
	dialer := net.Dialer{Deadline: until, KeepAlive: -1}
	tcp, err := machine.Retry(attempt.ctx, until, func() (net.Conn, error) {
		tcp, err := o.Dial(attempt.ctx, dialer, address)
		if machine.IsLocalShortage(err) {
			o.counts.Add(counters.ConnectsFailedLocally)
		}
		return tcp, err
	})
	if machine.IsLocalShortage(err) {
		err = fmt.Errorf("%w: %w", errLocalResource, err)
	}
	return tcp, err
}
