package inbound

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"sync"

	"github.com/valyala/fasthttp"

	"ledgespread/brain"
	"ledgespread/internal/connlimit"
	"ledgespread/internal/exchange"
	"ledgespread/internal/memory"
)

// How a body is handled depends on its length:
//
//	up to 64 KiB                read whole before the request begins, if the account of memory allows it; else streamed
//	up to a part of the memory  the same, if there is memory to spare
//	(1.3 MB of 64 MB)
//	up to 32 MB                 streamed to one server while it is received
//	more                        answered 413, at once if the head gives the length
//
// A client's timeout runs from the last byte of its request, so reading the body first costs the request no
// time.
const (
	maxBody         = 32 << 20 // bytes of a request's body
	heldBodyDivisor = 48       // part of the memory for one body; a longer one is streamed
	firstBodyPiece  = 8 << 10  // a longer body is held in pieces, each twice as long as the one before
	minUploadRate   = 32 << 10 // bytes per second that are assumed for a streamed body
)

// readBody reads a request's body, or prepares to stream it. open is false if the request must not be
// handled: it was refused, or the client's connection is closed. The caller must call release at the end of
// the request, to return the memory budget of a held body.
func (in *Inbound) readBody(ctx *fasthttp.RequestCtx, msg *message, request *exchange.Exchange) (release func(), open bool) {
	release = func() {}
	if msg.body.Length > maxBody {
		in.refuse(ctx, fasthttp.StatusRequestEntityTooLarge, fasthttp.StatusMessage(fasthttp.StatusRequestEntityTooLarge))
		return release, false
	}
	stream, sized := ctx.RequestBodyStream(), !msg.body.Chunked
	if stream == nil {
		return release, in.holdBody(ctx, msg, request, nil, nil)
	}
	source := &boundedBody{source: stream, remaining: maxBody, exact: sized, afterRead: func() { connlimit.ContinueTurn(ctx.Conn()) }}
	if sized {
		source.remaining = msg.body.Length
	}
	reserved := memory.NewReservation(in.account, memory.RequestBodies)
	release = sync.OnceFunc(reserved.Free)
	request.OnPiecesFreed(release)
	if sized && msg.body.Length <= firstBodyPiece && in.reserveBody(&reserved, 0, msg.body.Length) {
		held := make([]byte, msg.body.Length)
		if _, err := io.ReadFull(source, held); err != nil && err != io.EOF {
			return release, in.refuseBrokenBody(ctx, err)
		}
		return release, in.holdBody(ctx, msg, request, held, nil)
	}
	if sized && msg.body.Length > in.maxHeldBody {
		return release, in.streamBody(ctx, msg, request, source, nil)
	}
	var held [][]byte // in pieces: a growing slice is copied, which needs twice the memory and leaves garbage
	for size, received := firstBodyPiece, 0; ; size = min(2*size, exchange.MaxBufferedBody/2) {
		if sized {
			size = min(size, msg.body.Length-received)
		}
		if !in.reserveBody(&reserved, received, size) {
			return release, in.streamBody(ctx, msg, request, source, held)
		}
		piece := make([]byte, size)
		n, err := io.ReadFull(source, piece)
		if received += n; n > 0 {
			held = append(held, piece[:n])
		}
		switch {
		case err == io.EOF || err == io.ErrUnexpectedEOF && source.complete || sized && received == msg.body.Length:
			return release, in.holdBody(ctx, msg, request, nil, held)
		case err != nil:
			return release, in.refuseBrokenBody(ctx, err)
		}
	}
}

// reserveBody reserves the memory for the next bytes of a body of which some have been received. Only a body of up to
// exchange.MaxBufferedBody may take more than the memory that there is to spare.
func (in *Inbound) reserveBody(reserved *memory.Reservation, received, size int) bool {
	if received+size <= exchange.MaxBufferedBody {
		return reserved.Grow(int64(max(received+size-memory.FreeBytes, 0) - max(received-memory.FreeBytes, 0)))
	}
	return received+size <= in.maxHeldBody && reserved.GrowSpare(int64(size))
}

// holdBody gives the exchange a body that has been read whole, as one slice or in pieces, and records where
// the next message begins.
func (in *Inbound) holdBody(ctx *fasthttp.RequestCtx, msg *message, request *exchange.Exchange, body []byte, pieces [][]byte) (open bool) {
	size := len(body)
	for _, p := range pieces {
		size += len(p)
	}
	if !in.endMessage(ctx, msg, size) {
		return false
	}
	if size > 0 || ctx.IsPost() {
		msg.head = append(strconv.AppendInt(append(msg.head, "Content-Length: "...), int64(size), 10), "\r\n"...)
	}
	request.SetContent(msg.head, body, pieces)
	return true
}

// streamBody gives the exchange a body that is sent on while it is received; held is what has been read of
// it. The client's timeout begins with the arrival of the last byte, so until that is seen the time left is
// extended by what the slowest client needs to send the body.
func (in *Inbound) streamBody(ctx *fasthttp.RequestCtx, msg *message, request *exchange.Exchange, source *boundedBody, held [][]byte) (open bool) {
	if !in.listener.BeginRequest(ctx.Conn()) {
		abandon(ctx)
		return false
	}
	sized, maxSize, messageSize := !msg.body.Chunked, maxBody, 0
	if sized {
		maxSize = msg.body.Length
		messageSize = msg.headSize + msg.body.Length
		msg.head = append(strconv.AppendInt(append(msg.head, "Content-Length: "...), int64(maxSize), 10), "\r\n"...)
	} else {
		msg.head = append(msg.head, "Transfer-Encoding: chunked\r\n"...)
	}
	conn := ctx.Conn()
	source.afterRead = nil
	request.Upload = exchange.NewUpload(exchange.UploadSource{Body: source, MessageSize: messageSize, Arrived: connlimit.MessageArrival(conn), Backlogged: connlimit.Backlogged(conn),
		Interrupt: func(finished bool) { connlimit.InterruptRead(conn, finished) }}, request.TimeLeft)
	request.SetContent(msg.head, nil, held)
	request.TimeLeft += brain.Micros(maxSize) * 1_000_000 / minUploadRate
	return true
}

// boundedBody reads a body of an exact or a maximum length. It returns errBodyTooLong for a longer body, and
// io.ErrUnexpectedEOF if the connection ends before the exact length, where fasthttp's reader returns io.EOF.
type boundedBody struct {
	source    io.Reader
	remaining int    // bytes that may still be read
	exact     bool   // all of them must be read
	complete  bool   // the body has been read to its end
	afterRead func() // lets others run while a body in tiny chunks is read to be held; nil: what passes it on does
}

var errBodyTooLong = errors.New("request body is too long")

func (b *boundedBody) Read(p []byte) (n int, err error) {
	n, err = b.source.Read(p)
	if b.afterRead != nil {
		b.afterRead()
	}
	b.remaining -= n
	switch {
	case b.remaining < 0:
		return 0, errBodyTooLong
	case err == io.EOF && b.exact && b.remaining > 0:
		return n, io.ErrUnexpectedEOF
	}
	b.complete = err == io.EOF
	return n, err
}

// requireNoBody ends a message that must have no body, and refuses it if it has one.
func (in *Inbound) requireNoBody(ctx *fasthttp.RequestCtx, msg *message) bool {
	if msg.body.Length > 0 || msg.body.Chunked {
		in.refuse(ctx, fasthttp.StatusBadRequest, "no body belongs here")
		return false
	}
	return in.endMessage(ctx, msg, 0)
}

// endMessage records that a message with a body of bodySize bytes has been read, and how much of the next one
// was read with it. A client may pipeline requests, but bytes that cannot begin a request show that the body
// is longer than its Content-Length, and are refused. open is false if the request must not be handled.
func (in *Inbound) endMessage(ctx *fasthttp.RequestCtx, msg *message, bodySize int) (open bool) {
	if !in.listener.BeginRequest(ctx.Conn()) {
		abandon(ctx)
		return false
	}
	received, lastRead := in.listener.Received(ctx.Conn())
	ahead, following := received-msg.headSize-bodySize, in.listener.Following(ctx.Conn())
	if msg.body.Chunked { // the size of the chunks' framing is unknown; what follows is read as the next message
		ahead, following = 0, nil
	}
	if ahead > 0 {
		following = lastRead[max(0, len(lastRead)-ahead):]
	}
	if ahead < 0 || len(following) > 0 && !beginsRequest(following) {
		in.refuse(ctx, fasthttp.StatusBadRequest, "the length does not fit")
		return false
	}
	in.listener.EndMessage(ctx.Conn(), ahead)
	msg.pipelined = len(following) > 0 || msg.body.Chunked
	return true
}

// beginsRequest reports whether these bytes can be the beginning of a request.
func beginsRequest(text []byte) bool {
	for _, start := range []string{"GET /", "POST /", "GET http://", "POST http://"} {
		if n := min(len(start), len(text)); bytes.EqualFold(text[:n], []byte(start)[:n]) {
			return true
		}
	}
	return false
}

// refuseBrokenBody refuses a request whose body could not be read to its end. It always returns false.
func (in *Inbound) refuseBrokenBody(ctx *fasthttp.RequestCtx, err error) (open bool) {
	switch {
	case isReadTimeout(err):
		in.refuse(ctx, fasthttp.StatusRequestTimeout, fasthttp.StatusMessage(fasthttp.StatusRequestTimeout))
	case errors.Is(err, errBodyTooLong):
		in.refuse(ctx, fasthttp.StatusRequestEntityTooLarge, fasthttp.StatusMessage(fasthttp.StatusRequestEntityTooLarge))
	default:
		in.refuse(ctx, fasthttp.StatusBadRequest, fasthttp.StatusMessage(fasthttp.StatusBadRequest))
	}
	return false
}
