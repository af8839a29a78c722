package inbound

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"ledgespread/internal/counters"
	"ledgespread/internal/exchange"
	"ledgespread/internal/memory"
	"ledgespread/internal/peek"
	"ledgespread/internal/turn"
)

const (
	streamWriteTimeout = 6 * time.Second       // a client that takes nothing of a long answer for this long is disconnected
	streamSendBuffer   = 2 * exchange.MaxPiece // of the kernel; a larger one would hide a slow client's progress
)

// answerStream is the body of a long answer. It is read from the server in pieces, each of which is written
// to the client before the next one is read.
type answerStream struct {
	bodyWriter
	received   []byte // the beginning of the body, read before the stream began
	conn       net.Conn
	in         *Inbound
	endRequest func(int)
	complete   bool // the whole body has been written
	turn       turn.Turn
	closeOnce  sync.Once
}

// streamAnswer makes the server write a long answer as a stream.
func (in *Inbound) streamAnswer(ctx *fasthttp.RequestCtx, writing bodyWriter, endRequest func(int)) {
	in.activeStreams.Add(1)
	if c, ok := ctx.Conn().(interface{ SetWriteBuffer(int) error }); ok {
		c.SetWriteBuffer(streamSendBuffer)
	}
	conn, a := ctx.Conn(), writing.answer
	a.Rest.StopIf(func() bool { return peek.PeerClosed(conn) })
	ctx.Response.ImmediateHeaderFlush = true
	ctx.Response.SetBodyStream(&answerStream{bodyWriter: writing, received: a.Body, conn: conn, in: in, endRequest: endRequest}, int(a.Size))
}

// readPiece reads the next piece of the body and sets the deadline for writing it.
func (s *answerStream) readPiece(p []byte) (n int, err error) {
	if len(s.received) > 0 {
		n = copy(p, s.received)
		s.received = s.received[n:]
	} else {
		n, err = s.answer.Rest.Read(p)
	}
	s.conn.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
	return n, err
}

// writePiece writes the first n bytes of a piece to the client.
func (s *answerStream) writePiece(piece *exchange.Piece, n int) error {
	began := time.Now()
	if _, err := s.conn.Write(piece.Bytes(n, s.answer.Size < 0)); err != nil {
		return err
	}
	if s.received != nil && len(s.received) == 0 {
		s.received = nil
		s.answer.FreeBody()
	}
	piece.Adapt(n, time.Since(began))
	return nil
}

// WriteTo writes the body directly to the connection, in chunks if its length is unknown. fasthttp's buffer
// is small and would delay a body that is received slowly. fasthttp has written the head before; it writes
// the last chunk only if WriteTo returns no error, so an answer that the server truncated is truncated for
// the client too.
func (s *answerStream) WriteTo(io.Writer) (sent int64, err error) {
	s.freeHead()
	piece := exchange.NewPiece(s.in.account)
	defer piece.Free()
	for {
		began := time.Now()
		n, err := s.readPiece(piece.Buffer())
		if n > 0 {
			if writeErr := s.writePiece(piece, n); writeErr != nil {
				return sent, writeErr
			}
			sent += int64(n)
		}
		s.turn.ContinueAfter(time.Since(began))
		switch {
		case err == io.EOF && (s.answer.Size < 0 || sent == s.answer.Size):
			s.complete = true
			return sent, nil
		case err == io.EOF:
			return sent, io.ErrUnexpectedEOF
		case err != nil:
			return sent, err
		}
	}
}

// Close counts the request as succeeded, or as aborted if the client did not get the whole body. Further
// calls have no effect.
func (s *answerStream) Close() error {
	s.closeOnce.Do(func() {
		s.in.activeStreams.Add(-1)
		if s.complete {
			s.endRequest(counters.Succeeded)
		} else {
			s.endRequest(counters.Aborted)
		}
		s.answer.Drop()
	})
	return nil
}

// bodyWriter writes the body of an answer to its client, behind the head that fasthttp has written or buffered.
type bodyWriter struct {
	answer     *exchange.Answer
	header     *fasthttp.ResponseHeader // fasthttp's copy of the answer's head
	fieldCount int                      // of the head
}

// Read only satisfies io.Reader: fasthttp calls WriteTo instead.
func (w *bodyWriter) Read([]byte) (int, error) { return 0, errors.ErrUnsupported }

// SupportsBodyWriteTo makes fasthttp call WriteTo, for bodies of known length and for chunked ones.
func (w *bodyWriter) SupportsBodyWriteTo() bool { return true }

// hasManyFields reports whether fasthttp's copy of the head takes much memory: it keeps each field apart.
func (w *bodyWriter) hasManyFields() bool { return w.fieldCount > manyFields }

// freeHead frees the memory of the answer's head, which has been written.
func (w *bodyWriter) freeHead() {
	if w.hasManyFields() {
		*w.header = fasthttp.ResponseHeader{}
	}
	w.answer.Head = nil
}

// writeWhole makes the server write an answer whose body is held whole.
func (w bodyWriter) writeWhole(ctx *fasthttp.RequestCtx) {
	if len(w.answer.Body) <= memory.FreeBytes && !w.hasManyFields() {
		ctx.Response.SetBodyRaw(w.answer.Body)
		w.answer.Reserved.Free()
		return
	}
	ctx.Response.SetBodyStream(&wholeAnswer{w}, len(w.answer.Body))
}

// wholeAnswer is the body of an answer that is held whole. Its memory is given back once it has been written.
type wholeAnswer struct{ bodyWriter }

// WriteTo writes the body behind the head that fasthttp has buffered.
func (w *wholeAnswer) WriteTo(to io.Writer) (int64, error) {
	w.freeHead()
	n, err := to.Write(w.answer.Body)
	return int64(n), err
}

// Close gives back the memory of the body.
func (w *wholeAnswer) Close() error {
	w.answer.FreeBody()
	return nil
}
