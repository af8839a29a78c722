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
	piece      = 32 << 10        // of a long body, in memory at once
	unread     = 6 * time.Second // a client that takes nothing of a long answer for so long is let go
	sendBuffer = 4 * piece       // what the kernel holds of one: a slow client's progress must show
)

var pieces = sync.Pool{New: func() any { return new([piece]byte) }}

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

// Read is how a body of unknown length is taken: in chunks. An answer that its server cut is cut here too, without a last
// chunk.
func (p *passing) Read(into []byte) (n int, err error) {
	if len(p.first) > 0 {
		n = copy(into, p.first)
		p.first = p.first[n:]
	} else if n, err = p.answer.Rest.Read(into); err == io.EOF {
		p.whole = true
	}
	p.to.SetWriteDeadline(time.Now().Add(unread))
	return n, err
}

// WriteTo is how a body of known length is taken: past fasthttp's buffer, which would hold back what comes slowly. The head
// has been written by then.
func (p *passing) WriteTo(io.Writer) (sent int64, err error) {
	buffer := pieces.Get().(*[piece]byte)
	defer pieces.Put(buffer)
	for sent < p.answer.Size {
		n, err := p.Read(buffer[:])
		if n > 0 {
			n, failed := p.to.Write(buffer[:n])
			if sent += int64(n); failed != nil {
				return sent, failed
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return sent, err
		}
	}
	p.whole = sent == p.answer.Size
	if !p.whole {
		return sent, errors.New("an answer that is not whole")
	}
	return sent, nil
}

// Close ends the visit's account: delivered, or failed where the client can tell that its answer is not whole.
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
