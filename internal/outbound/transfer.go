package outbound

import (
	"errors"
	"io"
	"os"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"ledgespread/internal/exchange"
	"ledgespread/internal/memory"
	"ledgespread/internal/peek"
	"ledgespread/internal/turn"
)

const (
	transferCheckInterval = 25 * time.Millisecond // between two checks whether a body that the server does not accept may still be sent
	unsentCheckInterval   = time.Millisecond      // between two checks whether the kernel has sent what was written
	maxUnsentBytes        = 32 << 10              // of a long body that the kernel holds for the server; more would hide that it accepts nothing
	maxEarlyAnswerWait    = stallTimeout / 100    // for an answer that came before the body was written completely,
	earlyAnswerDivisor    = 8                     // or this part of the time that is left, if that is shorter
)

// transfer sends a body to a server, after the head: the buffered part, then the rest as the client sends it. It
// ends early when its time is up: for a long body the part of the time left that exchange.TransferTime grants, or
// stallTimeout without progress.
type transfer struct {
	attempt    *Attempt
	connection *conn
	account    *memory.Account
	request    *exchange.Exchange
	upload     *exchange.Upload // of the request; nil: the whole body is buffered
	long       bool             // longer than exchange.MaxBufferedBody
	writeBy    time.Time        // for a buffered body: when it must have been written
}

// newTransfer returns the transfer of a request's body, and the time that the server is told: with a long body, what
// is left when the transfer ends at its latest. A request whose body is sent with the head has no transfer.
func newTransfer(attempt *Attempt, connection *conn, account *memory.Account, request *exchange.Exchange, until time.Time) (t *transfer, told time.Duration) {
	timeLeft := time.Until(until)
	if !request.BodyFollowsHead() {
		return nil, timeLeft
	}
	t = &transfer{attempt: attempt, connection: connection, account: account, request: request, upload: request.Upload, long: request.HasLongBody(), writeBy: until}
	if !t.long {
		return t, timeLeft
	}
	if t.upload != nil { // the client timeout begins with the last byte of its body
		timeLeft = t.upload.ClientTimeout
	}
	told = timeLeft - exchange.TransferTime(timeLeft)
	t.writeBy = until.Add(-told)
	return t, told
}

// expired reports whether the time for sending the body is up.
func (t *transfer) expired() bool {
	now := time.Now()
	if t.upload == nil {
		return !now.Before(t.writeBy)
	}
	t.upload.Observe(now)
	told := t.upload.ClientTimeout - exchange.TransferTime(t.upload.ClientTimeout)
	return !now.Before(t.upload.Deadline().Add(-told))
}

// answerBy returns when the client stops waiting, once the body has been written; until is that time for a
// buffered body.
func (t *transfer) answerBy(until time.Time) time.Time {
	if t.upload == nil {
		return until
	}
	t.upload.Observe(time.Now())
	return t.upload.Deadline()
}

// checkTime returns why the body must not be sent any further; nil: it may be.
func (t *transfer) checkTime(lastProgress time.Time) error {
	switch {
	case t.attempt.lastByteIsLate():
		return errKeyExpired
	case t.attempt.cancelled.Load():
		return errCancelled
	case t.upload != nil && t.upload.Abandoned():
		return errClientStopped
	case t.expired() || time.Since(lastProgress) >= stallTimeout:
		return os.ErrDeadlineExceeded
	}
	return nil
}

// write writes data, however long the server takes to accept it, unless the time is up.
func (t *transfer) write(data []byte) error {
	lastProgress := time.Now()
	for {
		if err := t.checkTime(lastProgress); err != nil {
			return err
		}
		t.connection.SetWriteDeadline(time.Now().Add(transferCheckInterval))
		n, err := t.connection.Write(data)
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if data = data[n:]; n > 0 {
			lastProgress = time.Now()
		}
	}
}

// run writes the body. If it returns an error, the body's last byte has not been written.
func (t *transfer) run(buffered [][]byte) error {
	if t.long {
		t.connection.limitUnsent()
	}
	if t.upload == nil {
		return t.writeWhole(buffered)
	}
	piece := exchange.NewPiece(t.account) // buffer for what is read from the client
	defer piece.Free()
	chunks := !t.upload.Sized
	if err := t.writeBuffered(piece, buffered, chunks); err != nil {
		return err
	}
	clear(buffered)
	t.request.FreePieces()
	return t.writeRest(piece, chunks)
}

// writeWhole writes a body that is buffered completely. If there is a limit for its last byte, that one is held back
// until the kernel has sent all others: it would wait behind them, and the limit may pass meanwhile.
func (t *transfer) writeWhole(pieces [][]byte) error {
	last := len(pieces) - 1
	end := len(pieces[last]) - 1
	if err := t.writePieces(append(slices.Clone(pieces[:last]), pieces[last][:end])); err != nil {
		return err
	}
	if t.attempt.hasLimit() {
		if err := t.awaitSent(); err != nil {
			return err
		}
	}
	return t.write(pieces[last][end:])
}

// awaitSent waits until the kernel has sent what was written.
func (t *transfer) awaitSent() error {
	lastProgress, unsent := time.Now(), peek.Unsent(t.connection.Conn)
	for unsent > 0 {
		if err := t.checkTime(lastProgress); err != nil {
			return err
		}
		time.Sleep(unsentCheckInterval)
		before := unsent
		if unsent = peek.Unsent(t.connection.Conn); unsent < before {
			lastProgress = time.Now()
		}
	}
	return nil
}

// writePieces writes a body, or its beginning, as it is.
func (t *transfer) writePieces(pieces [][]byte) error {
	for _, data := range pieces {
		if err := t.write(data); err != nil {
			return err
		}
	}
	return nil
}

// writeBuffered writes the buffered beginning of a body.
func (t *transfer) writeBuffered(piece *exchange.Piece, buffered [][]byte, chunks bool) error {
	if !chunks {
		return t.writePieces(buffered)
	}
	for _, data := range buffered {
		for len(data) > 0 {
			n := copy(piece.Buffer(), data)
			if err := t.write(piece.Bytes(n, true)); err != nil {
				return err
			}
			data = data[n:]
		}
	}
	return nil
}

// writeRest writes the rest of the body as it is read from the client.
func (t *transfer) writeRest(piece *exchange.Piece, chunks bool) error {
	var passing turn.Turn
	for {
		reading := time.Now()
		n, err := t.upload.Read(piece.Buffer())
		if n > 0 {
			began := time.Now()
			if failed := t.write(piece.Bytes(n, chunks)); failed != nil {
				return failed
			}
			piece.Adapt(n, time.Since(began))
			passing.ContinueAfter(time.Since(reading))
		}
		switch {
		case err == io.EOF && chunks:
			return t.write(piece.Bytes(0, true)) // the chunk that ends the body
		case err == io.EOF:
			return nil
		case err != nil:
			return errClientStopped
		}
	}
}

// readEarlyAnswer looks for an answer that came before the request was written completely: a server may
// reject a request and close the connection without reading all of it. The request has not run then.
func (o *Outbound) readEarlyAnswer(attempt *Attempt, connection *conn, timeLeft time.Duration) error {
	if attempt.interrupted() { // whoever interrupted it doesn't wait for an answer
		return nil
	}
	until := time.Now().Add(min(maxEarlyAnswerWait, timeLeft/earlyAnswerDivisor))
	connection.SetReadDeadline(until)
	answer, err := o.readAnswer(connection, until)
	if err != nil {
		return nil
	}
	answer.FreeBody()
	if answer.status == fasthttp.StatusOK {
		return nil
	}
	return &Failure{Progress: Answered, Status: answer.status, NotProcessed: true}
}
