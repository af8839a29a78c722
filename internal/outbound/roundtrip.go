package outbound

import (
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"ledgespread/brain"
	"ledgespread/internal/counters"
	"ledgespread/internal/exchange"
)

// roundTrip is one attempt on one connection.
type roundTrip struct {
	*Outbound
	attempt    *Attempt
	connection *conn
	request    *exchange.Exchange
	until      time.Time // when the client stops waiting
	progress   Progress
	reusable   bool // the connection can carry a further request
	streamed   bool // the rest of the answer is read later, and the connection belongs to its reader until then
}

// roundTrip sends an attempt on a connection, reads the answer, and then returns the connection to the pool
// or closes it.
func (o *Outbound) roundTrip(attempt *Attempt, connection *conn, until time.Time, request *exchange.Exchange) (delivered *exchange.Answer, load []float64, err error) {
	trip := &roundTrip{Outbound: o, attempt: attempt, connection: connection, request: request, until: until}
	defer trip.release()
	connection.ensureDeadline(until)
	attempt.setConnection(connection)
	if err := trip.send(); err != nil {
		return nil, nil, err
	}
	return trip.receive()
}

// release returns the connection to the pool or closes it.
func (trip *roundTrip) release() {
	trip.attempt.setConnection(nil)
	switch {
	case trip.streamed: // the stream does it
	case trip.reusable && !trip.attempt.interrupted(): // otherwise the connection's deadline has passed
		trip.pool.putIdle(trip.attempt.To, trip.connection)
	default:
		trip.connection.abandon()
		trip.pool.release()
	}
}

// fail returns the error of a round trip that ends here for a cause.
func (trip *roundTrip) fail(cause error) error {
	attempt := trip.attempt
	switch {
	case attempt.keyExpired.Load():
		cause = errKeyExpired
	case attempt.cancelled.Load() || trip.progress == NotSent && attempt.ctx.Err() != nil:
		cause = errCancelled
	case !time.Now().Before(trip.until):
		cause = os.ErrDeadlineExceeded // replaces the several errors that the reader returns for a deadline
	}
	return &Failure{Progress: trip.progress, Cause: cause}
}

// send writes the request. The time left that the server gets is taken just before the first byte: if the connection
// came up late, the server would otherwise work for a client that has gone.
func (trip *roundTrip) send() error {
	attempt, connection := trip.attempt, trip.connection
	body, told := newTransfer(attempt, connection, trip.account, trip.request, trip.until)
	switch {
	case told <= 0:
		return trip.fail(os.ErrDeadlineExceeded)
	case body != nil && body.expired():
		return trip.fail(errNoTimeForBody)
	}
	head, buffered := trip.request.Outgoing(brain.Micros(told / time.Microsecond))
	if !trip.request.AnswerWanted() || attempt.lastByteIsLate() {
		attempt.cancelSend()
	}
	if attempt.ctx.Err() != nil {
		return trip.fail(errCancelled)
	}
	if n, err := connection.Write(head); n < len(head) {
		return trip.fail(err)
	}
	if body != nil {
		if err := body.run(buffered); err != nil {
			if rejection := trip.readEarlyAnswer(attempt, connection, told); rejection != nil {
				return rejection
			}
			return trip.fail(err)
		}
		trip.until = body.answerBy(trip.until)
		connection.deadline = time.Time{}
		connection.ensureDeadline(trip.until)
		attempt.writtenAt = time.Now()
	}
	trip.progress = Sent
	attempt.setWritten()
	trip.counts.Add(counters.AttemptsWritten)
	if attempt.interrupted() { // the deadline that interrupted it may just have been replaced
		return trip.fail(errCancelled)
	}
	return nil
}

// receive reads the answer, or the beginning of a long one.
func (trip *roundTrip) receive() (delivered *exchange.Answer, load []float64, err error) {
	attempt, connection := trip.attempt, trip.connection
	answer, err := trip.readAnswer(connection, trip.until)
	if err != nil {
		if connection.readErr == nil {
			trip.progress = Malformed
			trip.counts.Add(counters.AttemptsMalformedAnswer)
		}
		return nil, nil, trip.fail(err)
	}
	trip.reusable = !answer.closes && connection.buffered() == 0 && answer.body == nil // the body of an unsuccessful answer is not read as a stream
	if answer.status != fasthttp.StatusOK {
		answer.FreeBody()
		notProcessed := answer.notProcessed && (answer.status == fasthttp.StatusServiceUnavailable ||
			answer.status == fasthttp.StatusGatewayTimeout)
		return nil, answer.load, &Failure{Progress: Answered, Status: answer.status, NotProcessed: notProcessed}
	}
	if answer.body != nil {
		attempt.setConnection(nil)
		if attempt.interrupted() {
			answer.FreeBody()
			return nil, nil, trip.fail(errCancelled)
		}
		trip.streamed = true
		answer.Rest = &stream{body: answer.body, conn: connection, server: attempt.To, outbound: trip.Outbound, reusable: !answer.closes}
	}
	return &answer.Answer, answer.load, nil
}
