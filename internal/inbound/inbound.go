// Package inbound is the client's side: it serves the application, and hands each request to the relay in an
// exchange object.
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
	"ledgespread/internal/peek"
	"ledgespread/internal/site"
)

const (
	gone        = 100 * time.Millisecond    // nothing begins for a client that has gone for so long
	quickParts  = 32                        // a request not answered in this part of its time has its client looked after,
	lookBy      = gone / 4                  // or by then
	overdue     = 5 * time.Millisecond      // after the client timeout a request is answered without the module
	buffers     = exchange.MostHead + 4<<10 // bytes of a connection's, and the part of the memory that all may take
	buffersPart = 8
	idleTimes   = 10 // the longest client timeout's multiple for which a connection may stand idle
)

// Taker is where requests go.
type Taker interface {
	Take(*exchange.Exchange)
	Left(*exchange.Exchange)
}

// Inbound serves the application.
type Inbound struct {
	server    *fasthttp.Server
	listener  *connlimit.Listener
	requests  Taker
	taking    sync.RWMutex         // held while a request is handed over; for writing, while settings change
	said      atomic.Pointer[said] // what requests are read by
	longest   atomic.Int64         // client timeout, in microseconds, that any request had
	ticks     ticks
	lifecycle lifecycle
	expired   chan struct{} // closed when a stop can wait no longer for answers
	streams   atomic.Int64  // long answers that are being passed on
	room      atomic.Int64  // bytes that long bodies may still take while they are held
	accounts  *counters.Accounts
	mostHeld  int64       // of the room, by one body
	More      io.WriterTo // counters that stand behind this sidecar's own; nil: there are none
	counts    *counters.Sheet
	log       zerolog.Logger
}

// Listen takes the address; Serve serves there. No more than most connections are held.
func Listen(b *site.Manifest, most int, requests Taker, counts *counters.Sheet,
	log zerolog.Logger) (*Inbound, error) {
	ln, err := connlimit.Listen(b.Listen, b.Console != "")
	if err != nil {
		return nil, err
	}
	in := &Inbound{requests: requests, accounts: counters.NewAccounts(nil), counts: counts, log: log,
		expired: make(chan struct{}), listener: connlimit.New(ln, most, counts, log)}
	in.reads(b)
	in.room.Store(int64(b.MemoryMB << 20 / bodiesPart))
	in.mostHeld = in.room.Load() / heldPart
	// Where memory is short heads may be half as long, and a buffer for writing is given back between requests: that costs
	// each request a read.
	buffer, short := exchange.MostHead, buffers*most > b.MemoryMB<<20/buffersPart
	if short {
		buffer /= 2
	}
	in.server = &fasthttp.Server{Handler: in.guarded, ErrorHandler: in.malformed, Logger: &in.log, StreamRequestBody: true, HeaderReceived: started,
		MaxRequestBodySize: exchange.MostBody, ReadBufferSize: buffer,
		ReduceMemoryUsage: short,
		IdleTimeout:       max(idleTimes*time.Duration(in.longest.Load())*time.Microsecond, connlimit.LastWord),
		ReadTimeout:       connlimit.LastWord, WriteTimeout: connlimit.LastWord, ConnState: in.listener.State,
		Concurrency: 2 * most, CloseOnShutdown: true, NoDefaultServerHeader: true, NoDefaultDate: true,
		NoDefaultContentType: true, DisablePreParseMultipartForm: true}
	return in, nil
}

// started has a message's body waited for until the handler can look at its length. The answer to what is far too long is not
// held back.
func started(h *fasthttp.RequestHeader) (how fasthttp.RequestConfig) {
	if h.ContentLength() > mostBody {
		how.MaxRequestBodySize = 1
	}
	return how
}

// Accounts tells how requests ended.
func (in *Inbound) Accounts() *counters.Accounts { return in.accounts }

// Steer has new clients come here, no longer to the process that served before at this address.
func (in *Inbound) Steer() error { return connlimit.Steer(in.listener) }

// AcceptWrapper gives another way to accept connections, by the one that there is.
type AcceptWrapper = func(connlimit.Accept) connlimit.Accept

// WrapAccept has connections accepted in another way. It is called before Serve.
func (in *Inbound) WrapAccept(wrap AcceptWrapper) { in.listener.WrapAccept(wrap) }

// Serve goes on until Stop.
func (in *Inbound) Serve() error { return in.server.Serve(in.listener) }

// guarded answers one message of the application. One connection's panic does not end the
// sidecar.
func (in *Inbound) guarded(ctx *fasthttp.RequestCtx) {
	defer func() {
		if crash := recover(); crash != nil {
			in.counts.Crashed(in.log, "connection", crash)
			connlimit.Plain(ctx, fasthttp.StatusInternalServerError, "this sidecar failed")
			ctx.SetConnectionClose()
		}
	}()
	m, err := strictly(ctx)
	switch {
	case err != nil:
		in.refuse(ctx, fasthttp.StatusBadRequest, err.Error())
	case string(m.target) == "/-/ready": // true once it can be heard: listeners are up, the list is known
		if !in.bare(ctx, m) {
			return
		}
		if in.Ready() {
			connlimit.Plain(ctx, fasthttp.StatusOK, "ready")
		} else {
			connlimit.Plain(ctx, fasthttp.StatusServiceUnavailable, "out of service")
		}
	case string(m.target) == "/-/counters":
		if !in.bare(ctx, m) {
			return
		}
		ctx.SetContentType("text/plain; charset=utf-8")
		in.counts.WriteTo(ctx)
		if in.More != nil {
			in.More.WriteTo(ctx)
		}
	default:
		in.request(ctx, m)
	}
	// An answer would wait in a buffer until the request that was sent ahead has its own: with a deadline of the handler's it is written at
	// once. It is set only now, since it counts from here.
	if m != nil && m.more {
		ctx.SetWriteDeadline(time.Now().Add(connlimit.LastWord))
	}
	if !in.Ready() || in.listener.Crowded() {
		ctx.SetConnectionClose()
	}
}

// refuse answers what is no request, and closes. The client can't send more of it on the same
// connection, and the rest of what was malformed is not read as a message.
func (in *Inbound) refuse(ctx *fasthttp.RequestCtx, status int, fault string) {
	in.counts.Add(counters.BadInput)
	in.log.Debug().Stringer("client", ctx.RemoteAddr()).Int("status", status).Str("reason", fault).Msg("message refused")
	connlimit.Plain(ctx, status, fault)
	ctx.SetConnectionClose()
}

// abandon ends a connection whose client is not there. Where nothing is said fasthttp writes an
// empty 200, which a client that closed but its own half would take for an answer.
func abandon(ctx *fasthttp.RequestCtx) {
	connlimit.Plain(ctx, fasthttp.StatusBadGateway, "the client left")
	ctx.SetConnectionClose()
}

// malformed answers what is no HTTP, or too much of it.
func (in *Inbound) malformed(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case late(err):
		status = fasthttp.StatusRequestTimeout
	}
	in.refuse(ctx, status, fasthttp.StatusMessage(status))
}

// late tells whether reading ended by a deadline that was set here, and not by a broken connection, whose ETIMEDOUT calls itself a timeout.
func late(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, fasthttp.ErrTimeout)
}

func (in *Inbound) request(ctx *fasthttp.RequestCtx, m *message) {
	x, status, fault := in.read(ctx, m)
	if x == nil {
		in.refuse(ctx, status, fault)
		return
	}
	free, here := in.body(ctx, m, x)
	defer free()
	if !here {
		return
	}
	left := time.Duration(x.Left) * time.Microsecond
	now := time.Now()
	look, end := now.Add(min(left/quickParts, lookBy)), now.Add(left+overdue)
	conn := ctx.Conn()
	x.Gone = func() bool { return peek.Gone(conn) }
	ended, status, fault := in.take(ctx, m, x)
	if ended == nil {
		in.refuse(ctx, status, fault)
		return
	}
	defer func() { // unless it got its answer, or gets it now
		if !ctx.Response.IsBodyStream() {
			ended(counters.Left)
		}
	}()
	if x.Upload != nil {
		if !in.uploading(ctx, x) {
			if fault := x.Upload.Fault(); fault != nil { // it was no request after all
				in.broken(ctx, fault)
			} else {
				in.answer(ctx, x, ended)
			}
			return
		}
		left = time.Duration(x.Upload.Patience) * time.Microsecond
		look, end = time.Now(), time.Now().Add(left+overdue)
	}
	// Most are answered before the first tick: looking after the client costs more than the request.
	for left >= quickParts*in.ticks.apart() && time.Now().Before(look) {
		select {
		case <-x.Done():
			in.answer(ctx, x, ended)
			return
		case <-in.ticks.wait():
		}
	}
	taken := time.NewTimer(time.Until(end))
	defer taken.Stop()
	gone, stop := connlimit.Watch(conn)
	select {
	case <-x.Done():
	case <-in.expired: // it would be killed with the process
		if x.Fail(exchange.Failed) {
			in.requests.Left(x)
		}
		<-x.Done()
	case <-gone:
		in.counts.Add(counters.VisitsDropped)
		x.Abandon() // at once: word of it waits for the module's turn
		in.requests.Left(x)
		stop()
		abandon(ctx)
		return
	case <-taken.C:
		// The request has an end here, should the module's never come.
		if x.Fail(exchange.Overdue) {
			in.counts.Add(counters.VisitsOverdue)
			if x.Upload == nil { // the module knows only roughly when the time of one that came as it was sent on is up
				in.counts.Add(counters.Faults)
				in.log.Error().Uint16("path_prefix", uint16(x.Class)).Msg("no answer within the client timeout")
			}
			in.requests.Left(x)
		}
		<-x.Done()
	}
	stop()
	in.answer(ctx, x, ended)
}

func (in *Inbound) answer(ctx *fasthttp.RequestCtx, x *exchange.Exchange, ended func(int)) {
	switch x.Ending {
	case exchange.Succeeded:
		in.counts.Add(counters.VisitsDelivered)
		for _, field := range x.Answer.Fields {
			ctx.Response.Header.Add(field[0], field[1])
		}
		if x.Answer.Rest != nil {
			in.passOn(ctx, x.Answer, ended)
			return
		}
		ended(counters.Succeeded)
		ctx.Response.SetBodyRaw(x.Answer.Body)
	case exchange.Rejected:
		in.counts.Add(counters.VisitsBounced)
		ended(counters.Declined)
		connlimit.Plain(ctx, fasthttp.StatusServiceUnavailable, "not now; a retry does no harm")
		if x.RetryAfter > 0 {
			ctx.Response.Header.Set(fasthttp.HeaderRetryAfter,
				strconv.FormatFloat(math.Ceil(float64(x.RetryAfter)/1000)/1000, 'f', -1, 64))
		}
	case exchange.DuplicateID:
		in.refuse(ctx, fasthttp.StatusConflict, "this X-Request-ID is not new")
	case exchange.Overdue:
		in.counts.Add(counters.VisitsErrored)
		ended(counters.Aborted)
		connlimit.Plain(ctx, fasthttp.StatusGatewayTimeout, "no answer in time")
	default:
		in.counts.Add(counters.VisitsErrored)
		ended(counters.Aborted)
		connlimit.Plain(ctx, fasthttp.StatusBadGateway, "no answer from the servers")
	}
}
