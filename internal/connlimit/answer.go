package connlimit

import "github.com/valyala/fasthttp"

// Plain answers with a line of text.
func Plain(ctx *fasthttp.RequestCtx, status int, text string) {
	ctx.Response.ResetBody()
	ctx.SetStatusCode(status)
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(text + "\n")
}
