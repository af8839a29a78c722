package outbound

import (
	"errors"
	"io"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"ledgespread/internal/exchange"
)

const (
	transferCheckInterval = 25 * time.Millisecond // between two checks whether a body that the server does not accept is still wanted
	earlyAnswerWait       = stallTimeout / 100    // for an answer that came before the body was written completely
)

// transfer sends a long body to a server: the buffered part, then the rest as the client sends it. It ends early
// when nobody waits for it any more, or after stallTimeout without progress.
type transfer struct {
	attempt    *Attempt
	connection *conn
	upload     *exchange.Upload // nil: the whole body is buffered
}

// check returns why the body must not be sent any further; nil: it may be.
func (t *transfer) check(lastProgress time.Time) error {
	switch {
	case t.attempt.cancelled.Load():
		return errCancelled
	case t.upload != nil && t.upload.Abandoned():
		return errClientStopped
	case time.Since(lastProgress) >= stallTimeout:
		return os.ErrDeadlineExceeded
	}
	return nil
}

// write writes data, however long the server takes to accept it, unless the transfer ends early.
func (t *transfer) write(data []byte) error {
	lastProgress := time.Now()
	for {
		if err := t.check(lastProgress); err != nil {
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
	if t.upload == nil {
		return t.writePieces(buffered)
	}
	piece := exchange.NewPiece() // buffer for what is read from the client
	defer piece.Free()
	chunks := !t.upload.Sized
	if chunks {
		for _, data := range buffered { // each fits into a Piece
			if err := t.write(piece.Bytes(copy(piece.Buffer(), data), true)); err != nil {
				return err
			}
		}
	} else if err := t.writePieces(buffered); err != nil {
		return err
	}
	return t.writeRest(piece, chunks)
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

// writeRest writes the rest of the body as it is read from the client.
func (t *transfer) writeRest(piece *exchange.Piece, chunks bool) error {
	for {
		n, err := t.upload.Read(piece.Buffer())
		if n > 0 {
			if failed := t.write(piece.Bytes(n, chunks)); failed != nil {
				return failed
			}
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
func (o *Outbound) readEarlyAnswer(connection *conn) error {
	until := time.Now().Add(earlyAnswerWait)
	connection.SetReadDeadline(until)
	answer, err := o.readAnswer(connection, until)
	if err != nil || answer.status == fasthttp.StatusOK {
		return nil
	}
	return &Failure{Progress: Answered, Status: answer.status, NotProcessed: true}
}
