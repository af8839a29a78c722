package inbound

import (
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"

	"ledgespread/brain"
	"ledgespread/internal/connlimit"
	"ledgespread/internal/exchange"
)

const (
	mostBody    = 32 << 20 // bytes of a request's body
	bodiesPart  = 12       // of the memory, for bodies over exchange.MostBody while they are held
	heldPart    = 4        // of that, for one of them; a longer one goes on as it comes
	atOnce      = 8 << 10  // bytes of a body that has its memory before it comes; the rest has it as it comes
	slowestBody = 32 << 10 // bytes a second that the module reckons with, for one that goes on as it comes
)

// A body's length tells how it is treated, here and nowhere else:
//
//	up to 64 KiB           read whole, before the request begins
//	up to a part of the    the same, out of one budget for all; without room it goes on as it comes
//	memory (1.3 MB of 64)
//	up to 32 MB            goes on to one server as it comes
//	more                   413, at once where its length is told
//
// A client's time runs from its last byte, so reading first costs the request nothing.

// body reads what belongs to a request, or says that it comes as it is sent on. here is false where there is no request: an
// answer was given, or its client is gone. free gives back what was taken of the budget.
func (in *Inbound) body(ctx *fasthttp.RequestCtx, m *message, x *exchange.Exchange) (free func(), here bool) {
	free = func() {}
	if m.body.Length > mostBody {
		in.refuse(ctx, fasthttp.StatusRequestEntityTooLarge, fasthttp.StatusMessage(fasthttp.StatusRequestEntityTooLarge))
		return free, false
	}
	stream, sized := ctx.RequestBodyStream(), !m.body.Chunked
	if stream == nil {
		return free, in.short(ctx, m, x, nil, nil)
	}
	from := &bounded{from: stream, left: mostBody, exact: sized}
	if sized {
		from.left = m.body.Length
	}
	if sized && m.body.Length <= atOnce {
		held := make([]byte, m.body.Length)
		if _, err := io.ReadFull(from, held); err != nil && err != io.EOF {
			return free, in.broken(ctx, err)
		}
		return free, in.short(ctx, m, x, held, nil)
	}
	var taken int64
	free = func() { in.room.Add(taken) }
	if sized && int64(m.body.Length) > max(in.mostHeld, exchange.MostBody) {
		return free, in.longer(ctx, m, x, from, nil)
	}
	var held [][]byte // pieces: what grew by copying would be twice in memory, and rubbish then
	for size, came := atOnce, 0; ; size = min(2*size, exchange.MostBody/2) {
		if sized {
			size = min(size, m.body.Length-came)
		}
		if came+size > exchange.MostBody {
			if taken += int64(size); in.room.Add(-int64(size)) < 0 || int64(came+size) > in.mostHeld {
				return free, in.longer(ctx, m, x, from, held)
			}
		}
		next := make([]byte, size)
		n, err := io.ReadFull(from, next)
		if came += n; n > 0 {
			held = append(held, next[:n])
		}
		switch {
		case err == io.EOF || err == io.ErrUnexpectedEOF && from.ended || sized && came == m.body.Length:
			return free, in.short(ctx, m, x, nil, held)
		case err != nil:
			return free, in.broken(ctx, err)
		}
	}
}

// short has a request whose body is here, all of it, and books where the next one begins.
func (in *Inbound) short(ctx *fasthttp.RequestCtx, m *message, x *exchange.Exchange, body []byte, pieces [][]byte) (here bool) {
	size := len(body)
	for _, p := range pieces {
		size += len(p)
	}
	if !in.over(ctx, m, size) {
		return false
	}
	if size > 0 || ctx.IsPost() {
		m.head = append(strconv.AppendInt(append(m.head, "Content-Length: "...), int64(size), 10), "\r\n"...)
	}
	x.Holds(m.head, body, pieces)
	return true
}

// longer has a request whose body goes on as it comes. Its time begins with its last byte: until then the module may take all
// the time that the slowest client needs.
func (in *Inbound) longer(ctx *fasthttp.RequestCtx, m *message, x *exchange.Exchange, from *bounded, held [][]byte) (here bool) {
	if !in.listener.Carry(ctx.Conn()) {
		abandon(ctx)
		return false
	}
	sized, most := !m.body.Chunked, mostBody
	if sized {
		most = m.body.Length
		m.head = append(strconv.AppendInt(append(m.head, "Content-Length: "...), int64(most), 10), "\r\n"...)
	} else {
		m.head = append(m.head, "Transfer-Encoding: chunked\r\n"...)
	}
	conn := ctx.Conn()
	x.Upload = exchange.NewUpload(from, sized, x.Left, func(over bool) { connlimit.Interrupt(conn, over) })
	x.Holds(m.head, nil, held)
	x.Left += brain.Micros(most) * 1_000_000 / slowestBody
	return true
}

// bounded is a body that has so many bytes, or no more than that. A body in chunks has an end so, and the
// end of the connection is not taken for the end of the body, as fasthttp's reader does.
type bounded struct {
	from  io.Reader
	left  int
	exact bool
	ended bool // whole
}

var errTooLong = errors.New("too long a body")

func (b *bounded) Read(p []byte) (n int, err error) {
	n, err = b.from.Read(p)
	b.left -= n
	switch {
	case b.left < 0:
		return 0, errTooLong
	case err == io.EOF && b.exact && b.left > 0:
		return n, io.ErrUnexpectedEOF
	}
	b.ended = err == io.EOF
	return n, err
}

// bare takes a message that is to have no body.
func (in *Inbound) bare(ctx *fasthttp.RequestCtx, m *message) bool {
	if m.body.Length > 0 || m.body.Chunked {
		in.refuse(ctx, fasthttp.StatusBadRequest, "no body belongs here")
		return false
	}
	return in.over(ctx, m, 0)
}

// over books that a message is whole, and how much has been read of the next one. A body may be longer than its length
// says: a client may send requests ahead, but what is no request's beginning tells that the length is wrong.
func (in *Inbound) over(ctx *fasthttp.RequestCtx, m *message, body int) (here bool) {
	if !in.listener.Carry(ctx.Conn()) {
		abandon(ctx)
		return false
	}
	came, last := in.listener.Came(ctx.Conn())
	ahead := came - m.size - body
	if m.body.Chunked { // how much the chunks took nobody tells; what follows them was read as such
		ahead = 0
	}
	if ahead < 0 || ahead > 0 && !begins(last[max(0, len(last)-ahead):]) {
		in.refuse(ctx, fasthttp.StatusBadRequest, "the length does not fit")
		return false
	}
	in.listener.Next(ctx.Conn(), ahead)
	m.more = ahead > 0 || m.body.Chunked
	return true
}

// begins tells whether these bytes can be the beginning of a request.
func begins(text []byte) bool {
	for _, first := range []string{"GET /", "POST /", "GET http://", "POST http://"} {
		if n := min(len(first), len(text)); bytes.EqualFold(text[:n], []byte(first)[:n]) {
			return true
		}
	}
	return false
}

// broken answers a body that did not come whole.
func (in *Inbound) broken(ctx *fasthttp.RequestCtx, err error) (here bool) {
	switch {
	case late(err):
		in.refuse(ctx, fasthttp.StatusRequestTimeout, fasthttp.StatusMessage(fasthttp.StatusRequestTimeout))
	case errors.Is(err, errTooLong):
		in.refuse(ctx, fasthttp.StatusRequestEntityTooLarge, fasthttp.StatusMessage(fasthttp.StatusRequestEntityTooLarge))
	default:
		in.refuse(ctx, fasthttp.StatusBadRequest, fasthttp.StatusMessage(fasthttp.StatusBadRequest))
	}
	return false
}

// uploading waits until a body that goes on as it comes has all come, and tells whether an answer is still to be waited
// for. An answer that is there first ends it: the rest is not read, and the connection goes with it.
func (in *Inbound) uploading(ctx *fasthttp.RequestCtx, x *exchange.Exchange) (waits bool) {
	select {
	case <-x.Upload.Came():
	case <-x.Done():
	}
	if !x.Upload.Stop() {
		ctx.SetConnectionClose()
		return false
	}
	in.listener.Next(ctx.Conn(), 0)
	return true
}
