// Package inbound implements the client side of the sidecar: an HTTP server that reads the requests of the
// local client process, hands each of them to the relay as an exchange.Exchange, and writes the answer.
package inbound

import (
	"errors"
	"io"
	"math"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"ledgespread/internal/connlimit"
	"ledgespread/internal/counters"
	"ledgespread/internal/exchange"
	"ledgespread/internal/memory"
	"ledgespread/internal/peek"
	"ledgespread/internal/site"
)

const (
	maxUnnoticedClose = 100 * time.Millisecond        // no attempt begins for a client that disconnected longer ago
	watchDelayDivisor = 32                            // a client is watched for a close after this part of its timeout,
	maxWatchDelay     = maxUnnoticedClose / 4         // or after this time if that is earlier
	uploadTicks       = 4                             // a body that is being passed on is looked at every fourth tick
	overdueGrace      = 5 * time.Millisecond          // a request is answered without the relay this long after its timeout
	connBufferBytes   = exchange.MaxHeadBytes + 4<<10 // read and write buffers of one connection

	// connectionBytesBesideBuffer is the memory of a connection beside its read buffer: the write buffer, the parsed
	// request, the smallest piece of a body, and the stacks.
	connectionBytesBesideBuffer = 24 << 10

	bufferMemoryDivisor = 8  // part of the memory that the buffers of all connections may take
	idleTimeoutMultiple = 10 // times the longest client timeout: how long a connection may be idle
)

// RequestHandler handles the requests of clients; the relay implements it.
type RequestHandler interface {
	// HandleRequest starts the handling of a request.
	HandleRequest(*exchange.Exchange)
	// BodyArrived reports that the last byte of a request with an Upload has arrived, and when its client stops waiting.
	BodyArrived(request *exchange.Exchange, deadline time.Time)
	// RequestEnded reports that a request has ended without the relay's answer: its client disconnected, or an error
	// was returned at a stop.
	RequestEnded(*exchange.Exchange)
	// RequestTimedOut reports that a request got an error at its client timeout, because it had no answer from the relay.
	RequestTimedOut(*exchange.Exchange)
}

// Inbound is the HTTP server for the local client process.
type Inbound struct {
	server         *fasthttp.Server
	listener       *connlimit.Listener
	requests       RequestHandler
	settingsMu     sync.RWMutex                 // read-locked to hand over a request, locked to change settings
	rules          atomic.Pointer[requestRules] // the current settings for requests
	longestTimeout atomic.Int64                 // longest client timeout so far, in microseconds
	ticker         sharedTicker                 // for requests that wait for their answers
	uploadTicker   sharedTicker                 // for requests whose bodies are being passed on
	lifecycle      lifecycle
	stopExpired    chan struct{} // closed when a stop no longer waits for answers
	activeStreams  atomic.Int64  // long answers that are being sent
	account        *memory.Account
	accounts       *counters.RequestCounters
	maxHeldBody    int         // bytes of the longest body that is held, if there is memory to spare
	ExtraCounters  io.WriterTo // further counters, printed after this sidecar's own; may be nil
	counts         *counters.Set
	log            zerolog.Logger
}

// Listen opens the client address of the manifest. The Inbound that it returns holds at most maxConnections
// connections; the caller must call Serve.
func Listen(manifest *site.Manifest, maxConnections int, requests RequestHandler, account *memory.Account, counts *counters.Set,
	log zerolog.Logger) (*Inbound, error) {
	ln, err := connlimit.Listen(manifest.Listen, manifest.Console != "")
	if err != nil {
		return nil, err
	}
	in := &Inbound{requests: requests, accounts: counters.NewRequestCounters(nil), account: account, counts: counts, log: log,
		stopExpired: make(chan struct{}), listener: connlimit.New(ln, maxConnections, counts, log)}
	in.loadRules(manifest)
	in.maxHeldBody = max(manifest.MemoryMB<<20/heldBodyDivisor, exchange.MaxBufferedBody)
	// With little memory the maximum head is halved, and fasthttp gives up a connection's buffers between
	// requests, which costs one more read per request.
	readBuffer, lowMemory := exchange.MaxHeadBytes, connBufferBytes*maxConnections > manifest.MemoryMB<<20/bufferMemoryDivisor
	if lowMemory {
		readBuffer /= 2
	}
	in.listener.Charge = chargeConnections(account, readBuffer)
	in.listener.ChargeReadAhead = func(bytes int) { account.Add(memory.ClientConnections, int64(bytes)) }
	in.server = &fasthttp.Server{Handler: in.handle, ErrorHandler: in.handleProtocolError, Logger: &in.log, StreamRequestBody: true,
		HeaderReceived:     headReceived,
		MaxRequestBodySize: exchange.MaxBufferedBody, ReadBufferSize: readBuffer,
		ReduceMemoryUsage: lowMemory,
		IdleTimeout:       max(idleTimeoutMultiple*time.Duration(in.longestTimeout.Load())*time.Microsecond, connlimit.MessageTimeout),
		ReadTimeout:       connlimit.MessageTimeout, WriteTimeout: connlimit.MessageTimeout, ConnState: in.listener.TrackState,
		Concurrency: 2 * maxConnections, CloseOnShutdown: true, NoDefaultServerHeader: true, NoDefaultDate: true,
		NoDefaultContentType: true, DisablePreParseMultipartForm: true}
	return in, nil
}

// chargeConnections returns the function that charges the memory of client connections to the account.
func chargeConnections(account *memory.Account, readBuffer int) func(connections int) {
	connectionBytes := int64(readBuffer + connectionBytesBesideBuffer)
	return func(connections int) { account.Add(memory.ClientConnections, int64(connections)*connectionBytes) }
}

// headReceived is the server's HeaderReceived hook, which is called for each head, before anything is waited for behind it.
// fasthttp reads the beginning of a body before it calls the handler. The limit of one byte keeps that read from delaying
// the 413 for a body that is too long.
func headReceived(header *fasthttp.RequestHeader) (config fasthttp.RequestConfig) {
	if header.ContentLength() > maxBody {
		config.MaxRequestBodySize = 1
	}
	packFields(header)
	return config
}

// Accounts returns the counts of requests by class and outcome.
func (in *Inbound) Accounts() *counters.RequestCounters { return in.accounts }

// Steer directs new connections to this process instead of the older one that listens on the same address.
func (in *Inbound) Steer() error { return connlimit.Steer(in.listener) }

// AcceptWrapper returns an accept function that replaces the given one.
type AcceptWrapper = func(connlimit.AcceptFunc) connlimit.AcceptFunc

// WrapAccept replaces the listener's accept function. It must be called before Serve.
func (in *Inbound) WrapAccept(wrap AcceptWrapper) { in.listener.WrapAccept(wrap) }

// Serve accepts and serves connections until Stop.
func (in *Inbound) Serve() error { return in.server.Serve(in.listener) }

// handle serves one message of a client. A panic is answered 500 and ends only this connection, not the
// sidecar.
func (in *Inbound) handle(ctx *fasthttp.RequestCtx) {
	defer func() {
		if crash := recover(); crash != nil {
			in.counts.RecordPanic(in.log, "connection", crash)
			connlimit.WriteText(ctx, fasthttp.StatusInternalServerError, "this sidecar failed")
			ctx.SetConnectionClose()
		}
	}()
	connlimit.ContinueTurn(ctx.Conn())
	msg, err := parseMessage(ctx)
	switch {
	case err != nil:
		in.refuse(ctx, fasthttp.StatusBadRequest, err.Error())
	case string(msg.target) == "/-/ready": // served once the listeners are up and the server list is known
		if !in.requireNoBody(ctx, msg) {
			return
		}
		if in.Ready() {
			connlimit.WriteText(ctx, fasthttp.StatusOK, "ready")
		} else {
			connlimit.WriteText(ctx, fasthttp.StatusServiceUnavailable, "out of service")
		}
	case string(msg.target) == "/-/counters":
		if !in.requireNoBody(ctx, msg) {
			return
		}
		ctx.SetContentType("text/plain; charset=utf-8")
		in.counts.WriteTo(ctx)
		in.account.WriteTo(ctx)
		if in.ExtraCounters != nil {
			in.ExtraCounters.WriteTo(ctx)
		}
	default:
		in.forward(ctx, msg)
	}
	// fasthttp would keep the answer in its buffer until a pipelined request is answered too. A write
	// deadline set by the handler makes it send the answer at once. The deadline is set only here because it
	// runs from this call.
	if msg != nil && msg.pipelined {
		ctx.SetWriteDeadline(time.Now().Add(connlimit.MessageTimeout))
	}
	if !in.Ready() || in.listener.TooManyIdle() {
		ctx.SetConnectionClose()
	}
}

// refuse answers a malformed message with an error and closes the connection, so that the rest of the message
// is not read as the next one.
func (in *Inbound) refuse(ctx *fasthttp.RequestCtx, status int, reason string) {
	in.counts.Add(counters.RequestsMalformed)
	in.log.Debug().Stringer("client", ctx.RemoteAddr()).Int("status", status).Str("reason", reason).Msg("message refused")
	connlimit.WriteText(ctx, status, reason)
	ctx.SetConnectionClose()
}

// abandon answers 502 to a client that has disconnected, and closes the connection. Without an answer
// fasthttp would write an empty 200, and a client that closed only its sending half would take it for the
// server's answer.
func abandon(ctx *fasthttp.RequestCtx) {
	connlimit.WriteText(ctx, fasthttp.StatusBadGateway, "the client left")
	ctx.SetConnectionClose()
}

// handleProtocolError answers a message that fasthttp could not read: malformed, too long or too slow.
func (in *Inbound) handleProtocolError(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var smallBuffer *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &smallBuffer):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case isReadTimeout(err):
		status = fasthttp.StatusRequestTimeout
	}
	in.refuse(ctx, status, fasthttp.StatusMessage(status))
}

// isReadTimeout reports whether a read deadline of this sidecar has passed. It is false for the ETIMEDOUT of
// a broken connection, although that error also calls itself a timeout.
func isReadTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, fasthttp.ErrTimeout)
}

// forward hands a request to the relay, waits for its end, and writes the answer.
func (in *Inbound) forward(ctx *fasthttp.RequestCtx, msg *message) {
	request, status, reason := in.newExchange(ctx, msg)
	if request == nil {
		in.refuse(ctx, status, reason)
		return
	}
	defer in.chargeHead(msg)()
	release, open := in.readBody(ctx, msg, request)
	defer release()
	if !open {
		return
	}
	conn := ctx.Conn()
	waiting := &wait{in: in, conn: conn, request: request, began: time.Now(), timeout: time.Duration(request.TimeLeft) * time.Microsecond}
	request.ClientGone = func() bool { return peek.PeerClosed(conn) }
	endRequest, status, reason := in.dispatch(ctx, msg, request)
	if endRequest == nil {
		in.refuse(ctx, status, reason)
		return
	}
	defer func() { // counts the request as left, unless it has been answered or its answer is being streamed
		if !ctx.Response.IsBodyStream() {
			endRequest(counters.ClientDisconnected)
		}
	}()
	end := waiting.forEnd()
	connlimit.BeginTurn(conn)
	switch end {
	case clientGone:
		abandon(ctx)
	case bodyUnread:
		ctx.SetConnectionClose()
		if err := request.Upload.ClientErr(); err != nil { // the client sent a malformed body, or not all of it
			in.refuseBrokenBody(ctx, err)
			return
		}
		in.writeAnswer(ctx, request, endRequest)
	case answered:
		in.writeAnswer(ctx, request, endRequest)
	}
}

// writeAnswer writes the answer of an ended exchange and counts how the request ended.
func (in *Inbound) writeAnswer(ctx *fasthttp.RequestCtx, request *exchange.Exchange, endRequest func(int)) {
	switch request.Ending {
	case exchange.Succeeded:
		in.counts.Add(counters.RequestsDelivered)
		writing := bodyWriter{answer: request.Answer, header: &ctx.Response.Header}
		writing.fieldCount = request.Answer.EachField(ctx.Response.Header.AddBytesKV)
		if request.Answer.Rest != nil {
			in.streamAnswer(ctx, writing, endRequest)
			return
		}
		endRequest(counters.Succeeded)
		writing.writeWhole(ctx)
	case exchange.Rejected:
		in.counts.Add(counters.RequestsRejected)
		endRequest(counters.Declined)
		connlimit.WriteText(ctx, fasthttp.StatusServiceUnavailable, "not now; a retry does no harm")
		if request.RetryAfter > 0 {
			ctx.Response.Header.Set(fasthttp.HeaderRetryAfter,
				strconv.FormatFloat(math.Ceil(float64(request.RetryAfter)/1000)/1000, 'f', -1, 64))
		}
	case exchange.DuplicateID:
		in.refuse(ctx, fasthttp.StatusConflict, "this X-Request-ID is not new")
	case exchange.Overdue:
		in.counts.Add(counters.RequestsErrored)
		endRequest(counters.Aborted)
		connlimit.WriteText(ctx, fasthttp.StatusGatewayTimeout, "no answer in time")
	default:
		in.counts.Add(counters.RequestsErrored)
		endRequest(counters.Aborted)
		connlimit.WriteText(ctx, fasthttp.StatusBadGateway, "no answer from the servers")
	}
}
