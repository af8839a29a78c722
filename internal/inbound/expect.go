package inbound

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"ledgespread/internal/connlimit"
	"ledgespread/internal/counters"
)

// expectedMessage is the parsed head of a message whose client waits for an answer before it sends the body.
type expectedMessage struct {
	*message
	release func() // of its memory, which is charged while the body is awaited
}

// Close is called by the HTTP server at the end of the message.
func (e expectedMessage) Close() error {
	e.release()
	return nil
}

type expectedMessageKey struct{}

// expectBody is the server's ExpectHandler hook: it lets a client send the body. The server then waits for that before it
// calls the handler, so a head of many fields is parsed here, and its fields are dropped.
func (in *Inbound) expectBody(ctx *fasthttp.RequestCtx) (status int) {
	if bytes.Count(ctx.Request.Header.RawHeaders(), []byte("\n")) <= connlimit.ManyFields {
		return fasthttp.StatusContinue
	}
	msg, err := parseMessage(ctx)
	if err != nil {
		in.counts.Add(counters.RequestsMalformed)
		return fasthttp.StatusBadRequest
	}
	ctx.SetUserValue(expectedMessageKey{}, expectedMessage{msg, in.chargeHead(msg)})
	return fasthttp.StatusContinue
}

// takeMessage returns the message of the handler's call: it is parsed now, if that was not done before its body was awaited.
func takeMessage(ctx *fasthttp.RequestCtx) (*message, error) {
	if expected, ok := ctx.UserValue(expectedMessageKey{}).(expectedMessage); ok {
		ctx.RemoveUserValue(expectedMessageKey{}) // the handler charges it
		expected.release()
		return expected.message, nil
	}
	return parseMessage(ctx)
}
