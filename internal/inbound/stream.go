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
)

const (
	unread     = 6 * time.Second           // a client that takes nothing of a long answer for so long is let go
	sendBuffer = 2 * len(exchange.Piece{}) // what the kernel holds of one: a slow client's progress must show
)

// passing is a long answer on its way to the client: pieces as they come, no more read than is written.
type passing struct {
	answer *exchange.Answer
	first  []byte // what is already here
	to     net.Conn
	in     *Inbound
	ended  func(int)
	whole  bool
	once   sync.Once
}

// passOn answers with a long body.
func (in *Inbound) passOn(ctx *fasthttp.RequestCtx, a *exchange.Answer, ended func(int)) {
	in.streams.Add(1)
	if c, ok := ctx.Conn().(interface{ SetWriteBuffer(int) error }); ok {
		c.SetWriteBuffer(sendBuffer)
	}
	ctx.Response.ImmediateHeaderFlush = true
	ctx.Response.SetBodyStream(&passing{answer: a, first: a.Body, to: ctx.Conn(), in: in, ended: ended}, int(a.Size))
}

// read reads the next piece, and gives the client its time to take it.
func (p *passing) read(into []byte) (n int, err error) {
	if len(p.first) > 0 {
		n = copy(into, p.first)
		p.first = p.first[n:]
	} else {
		n, err = p.answer.Rest.Read(into)
	}
	p.to.SetWriteDeadline(time.Now().Add(unread))
	return n, err
}

// Read is there for fasthttp, which takes a body by WriteTo.
func (p *passing) Read([]byte) (int, error) { return 0, errors.ErrUnsupported }

// SupportsBodyWriteTo has it do so in either framing.
func (p *passing) SupportsBodyWriteTo() bool { return true }

// WriteTo writes a body past fasthttp's buffer, which is small and would hold back what comes slowly: a piece at a time, in
// chunks where nobody knows its length. The head has been written by then; the last chunk is fasthttp's, and comes only where
// no error is told: an answer that its server cut is cut here too.
func (p *passing) WriteTo(io.Writer) (sent int64, err error) {
	piece := exchange.NewPiece()
	defer piece.Free()
	for {
		n, err := p.read(piece.Room())
		if n > 0 {
			if _, failed := p.to.Write(piece.Bytes(n, p.answer.Size < 0)); failed != nil {
				return sent, failed
			}
			sent += int64(n)
		}
		switch {
		case err == io.EOF && (p.answer.Size < 0 || sent == p.answer.Size):
			p.whole = true
			return sent, nil
		case err == io.EOF:
			return sent, io.ErrUnexpectedEOF
		case err != nil:
			return sent, err
		}
	}
}

// Close ends the request's account: delivered, or failed where the client can tell that its answer is not whole.
func (p *passing) Close() error {
	p.once.Do(func() {
		p.in.streams.Add(-1)
		if p.whole {
			p.ended(counters.Succeeded)
		} else {
			p.ended(counters.Aborted)
		}
		p.answer.Drop()
	})
	return nil
}
