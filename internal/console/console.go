// Package console serves the operators' HTTP address: it translates their calls into calls of the sidecar's
// parts, and the sidecar's figures into text. Each connection carries one HTTP/1.1 call; status 2xx means
// success, 4xx or 5xx failure. It makes no decisions itself.
package console

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"ledgespread/internal/connlimit"
	"ledgespread/internal/counters"
)

const (
	callTimeout         = time.Second            // time limit to read a whole call and to write its answer
	actionTimeout       = 800 * time.Millisecond // time limit of the action that a call asks for; after it the call fails
	incompleteCallGrace = callTimeout / 20       // a connection without a whole call after this time may be closed for a new one
	maxCallBytes        = 4 << 10                // bytes of a call's head, and of its body

	maxConnections, minConnections, socketsPerConnection = 64, 4, 16 // limits of the connections, which are 1/16 of the sockets within these
	maxClosingHandlers                                   = 1 << 10   // goroutines of closed connections that have not ended yet
)

// Sidecar holds the functions behind the calls.
type Sidecar struct {
	Ready        func() bool
	Figures      func(io.Writer)
	Server       func(ctx context.Context, id string, out bool) error // takes a server out of service, or puts it back
	OutOfService func()
	InService    func() error
}

// Console is the server of the operators' address.
type Console struct {
	server   *fasthttp.Server
	listener *connlimit.Listener
	sidecar  Sidecar
	counts   *counters.Set
	log      zerolog.Logger
}

// Listen opens the address.
func Listen(address string, sockets int, sidecar Sidecar, counts *counters.Set, log zerolog.Logger) (*Console, error) {
	ln, err := connlimit.Listen(address, false)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	connections := min(max(sockets/socketsPerConnection, minConnections), maxConnections)
	c := &Console{sidecar: sidecar, counts: counts, log: log, listener: connlimit.New(ln, connections, &counters.Set{}, log)}
	c.listener.FirstMessageGrace = incompleteCallGrace
	c.server = &fasthttp.Server{Handler: c.handle, ErrorHandler: c.malformed, Logger: &c.log, ReadBufferSize: maxCallBytes,
		MaxRequestBodySize: maxCallBytes, ReadTimeout: callTimeout, WriteTimeout: callTimeout, ConnState: c.listener.TrackState,
		Concurrency: maxClosingHandlers + connections, ReduceMemoryUsage: true, NoDefaultServerHeader: true, NoDefaultDate: true,
		NoDefaultContentType: true, DisablePreParseMultipartForm: true, DisableKeepalive: true}
	return c, nil
}

// MaxConnections returns the maximum number of connections.
func (c *Console) MaxConnections() int { return c.listener.MaxConnections() }

// Close closes the address if Serve was not called.
func (c *Console) Close() { c.listener.Close() }

// Serve answers calls until the program ends.
func (c *Console) Serve() error { return c.server.Serve(c.listener) }

// handle answers one call. A panic in a call does not end the sidecar.
func (c *Console) handle(ctx *fasthttp.RequestCtx) {
	defer func() {
		if crash := recover(); crash != nil {
			c.counts.RecordPanic(c.log, "call", crash)
			connlimit.WriteText(ctx, fasthttp.StatusInternalServerError, "this sidecar failed")
		}
	}()
	if !c.listener.BeginRequest(ctx.Conn()) {
		return
	}
	path, method := string(ctx.Path()), fasthttp.MethodPost
	var do func()
	switch {
	case path == "/control/ready":
		method, do = fasthttp.MethodGet, func() {
			if !c.sidecar.Ready() {
				connlimit.WriteText(ctx, fasthttp.StatusServiceUnavailable, "not ready")
			}
		}
	case path == "/control/counters":
		method, do = fasthttp.MethodGet, func() { c.sidecar.Figures(ctx) }
	case path == "/control/out-of-service":
		do = c.sidecar.OutOfService
	case path == "/control/in-service":
		do = func() {
			if err := c.sidecar.InService(); err != nil {
				connlimit.WriteText(ctx, fasthttp.StatusServiceUnavailable, err.Error())
			}
		}
	default:
		id, out := strings.CutSuffix(strings.TrimPrefix(path, "/control/servers/"), "/offline")
		id, back := strings.CutSuffix(id, "/online")
		if id == path || out == back || id == "" || strings.Contains(id, "/") {
			c.refuse(ctx, fasthttp.StatusNotFound, "no such call")
			return
		}
		do = func() {
			limit, done := context.WithTimeout(context.Background(), actionTimeout)
			defer done()
			if err := c.sidecar.Server(limit, id, out); err != nil {
				connlimit.WriteText(ctx, fasthttp.StatusNotFound, err.Error())
			}
		}
	}
	if string(ctx.Method()) != method {
		ctx.Response.Header.Set(fasthttp.HeaderAllow, method)
		c.refuse(ctx, fasthttp.StatusMethodNotAllowed, "the call has another method")
		return
	}
	ctx.SetContentType("text/plain; charset=utf-8")
	if do(); len(ctx.Response.Body()) == 0 {
		connlimit.WriteText(ctx, fasthttp.StatusOK, "yes")
	}
	ctx.SetConnectionClose()
}

func (c *Console) refuse(ctx *fasthttp.RequestCtx, status int, why string) {
	c.counts.Add(counters.ConsoleCallsRejected)
	connlimit.WriteText(ctx, status, why)
	ctx.SetConnectionClose()
}

// malformed answers a message that can't be read as a call, or is too long.
func (c *Console) malformed(ctx *fasthttp.RequestCtx, err error) {
	c.refuse(ctx, fasthttp.StatusBadRequest, "no call")
}
