package connlimit

import "github.com/valyala/fasthttp"

// WriteText writes a response with the given status and one line of plain text as its body.
func WriteText(ctx *fasthttp.RequestCtx, status int, text string) {
	ctx.Response.ResetBody()
	ctx.SetStatusCode(status)
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(text + "\n")
}
