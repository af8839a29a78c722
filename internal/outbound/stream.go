package outbound

import (
	"errors"
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"ledgespread/brain"
	"ledgespread/internal/counters"
	"ledgespread/internal/exchange"
)

const (
	stalled  = 5 * time.Second // a server that brings nothing of a long answer, or takes nothing of a long request, is given up
	heldBack = stalled / 5     // nothing that a server gives is held back for longer, whatever it may turn out to be
)

// stream is the rest of a long answer: it goes on to the client as it comes, at the client's pace. Its reader closes it.
type stream struct {
	body  io.Reader
	l     *conn
	be    brain.ServerID
	o     *Outbound
	keeps bool // the connection may be used again
	whole bool
	cause error // why it is not whole; nil: its reader closed it
	once  sync.Once
}

// Read reads a piece. What it is short of is an error, never io.EOF: what is not whole must not be passed on as whole.
func (s *stream) Read(p []byte) (n int, err error) {
	s.l.until = time.Now().Add(stalled)
	s.l.SetReadDeadline(s.l.until)
	if n, err = s.body.Read(p); err == io.EOF {
		s.whole = true
	} else if err != nil {
		s.cause = err
	}
	return n, err
}

// Close gives the connection back, or closes it where the answer did not come whole.
func (s *stream) Close() error {
	s.once.Do(func() {
		if s.cause != nil {
			s.o.counts.Add(counters.AnswersCut)
			s.o.log.Debug().Err(s.cause).Msg("an answer was cut short")
		}
		if s.whole && s.keeps && s.l.in.Buffered() == 0 {
			s.o.pool.put(s.be, s.l)
			return
		}
		s.l.Close()
		s.o.pool.closed()
	})
	return nil
}

// begin reads a body of unknown length until it is whole, or long, or has kept its reader waiting for so long; then the rest
// comes by a stream. By the last moment it is late. What the client could have is not held back, and no
// retry is given up for an answer that is short.
func (l *conn) begin(body io.Reader, most int, hold, last time.Time) (first []byte, whole bool, err error) {
	first = make([]byte, 0, 4<<10)
	l.SetReadDeadline(hold)
	l.until = time.Time{} // whoever reads next sets its deadline anew
	for len(first) < most {
		if len(first) == cap(first) { // 4, 16, 64 KiB: most are short, and what is copied is rubbish to collect
			first = slices.Grow(first, min(4*cap(first), most)-len(first))
		}
		n, err := body.Read(first[len(first):min(cap(first), most)])
		first = first[:len(first)+n]
		switch {
		case err == io.EOF:
			return first, true, nil
		case errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(last): // a broken connection's ETIMEDOUT is no deadline of ours
			l.broke = nil
			return first, false, nil
		case err != nil:
			return first, false, err
		}
	}
	return first, false, nil
}

// long writes a body that is long: what is here of it, then what its client still sends, as it comes. Each piece has a
// deadline of its own, since only progress tells a slow server from one that is gone.
func (o *Outbound) long(l *conn, body [][]byte, rest *exchange.Upload) error {
	put := func(b []byte) error {
		l.SetWriteDeadline(time.Now().Add(stalled))
		_, err := l.Write(b)
		return err
	}
	var piece *exchange.Piece // where more is to come
	chunks := rest != nil && !rest.Sized
	if rest != nil {
		piece = exchange.NewPiece()
		defer piece.Free()
	}
	for _, b := range body { // each is shorter than a piece
		if chunks {
			b = piece.Bytes(copy(piece.Room(), b), true)
		}
		if err := put(b); err != nil {
			return err
		}
	}
	for rest != nil {
		n, err := rest.Read(piece.Room())
		if n > 0 {
			if failed := put(piece.Bytes(n, chunks)); failed != nil {
				return failed
			}
		}
		switch {
		case err == io.EOF && chunks:
			return put(piece.Bytes(0, true)) // the last one
		case err == io.EOF:
			return nil
		case err != nil:
			return errClient
		}
	}
	return nil
}

// early looks for an answer that came before the request was whole: a server that turned it away and closed. It never ran.
func (o *Outbound) early(l *conn) error {
	until := time.Now().Add(stalled / 100)
	l.SetReadDeadline(until)
	answer, err := o.answer(l, until)
	if err != nil || answer.status == fasthttp.StatusOK {
		return nil
	}
	return &Failure{Progress: Answered, Status: answer.status, Unseen: true}
}
