package inbound

import (
	"bytes"
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"ledgespread/brain"
	"ledgespread/internal/exchange"
)

// read takes out of what came what the decisions need. Bad input gets a status and a plain word instead,
// without troubling the module.
func (in *Inbound) read(ctx *fasthttp.RequestCtx) (x *exchange.Exchange, status int, fault string) {
	field := func(name string) string { return string(ctx.Request.Header.Peek(name)) }
	bad := func(status int, fault string) (*exchange.Exchange, int, string) { return nil, status, fault }
	name, _, _ := strings.Cut(strings.TrimPrefix(string(ctx.Path()), "/"), "/")
	on, known := in.prefixes[name]
	if !known {
		return bad(fasthttp.StatusNotFound, "unknown path prefix")
	}
	if ctx.IsGet() != in.readLike[on] || !ctx.IsGet() && !ctx.IsPost() {
		ctx.Response.Header.Set(fasthttp.HeaderAllow, map[bool]string{true: "GET", false: "POST"}[in.readLike[on]])
		return bad(fasthttp.StatusMethodNotAllowed, "the path prefix has another method")
	}
	if field("X-Request-ID") == "" {
		return bad(fasthttp.StatusBadRequest, "X-Request-ID is missing")
	}
	if in.tagged[on] && field("Idempotency-Key") == "" {
		return bad(fasthttp.StatusBadRequest, "Idempotency-Key is missing")
	}
	left, ok := span(field("X-Timeout"))
	if !ok {
		return bad(fasthttp.StatusBadRequest, "X-Timeout is missing or malformed")
	}
	of, known := in.realms[field("X-Tenant-Id")]
	if !known && len(in.realms) > 0 {
		return bad(fasthttp.StatusBadRequest, "unknown tenant")
	}
	x = exchange.New(head(ctx), bytes.Clone(ctx.PostBody()))
	x.On, x.Of, x.Left, x.Again = brain.Prefix(on), brain.Realm(of), left, field("X-Retried") == "1"
	x.Key = key(field("X-Attrs"))
	if cost, err := strconv.ParseFloat(field("X-Cost"), 64); err == nil && cost >= 1 && cost < 1<<32 {
		x.Effort = brain.Micros(cost)
	}
	return x, 0, ""
}

// span reads a number and a unit, "480m" or "75000u". More than an hour is no client timeout.
func span(text string) (brain.Micros, bool) {
	number, milli := strings.CutSuffix(text, "m")
	number, micro := strings.CutSuffix(number, "u")
	n, err := strconv.ParseFloat(number, 64)
	if err != nil || milli == micro || strings.Trim(number, "0123456789.") != "" {
		return 0, false
	}
	if milli {
		n *= 1000
	}
	return brain.Micros(n), n >= 1 && n <= 3_600_000_000
}

// key is what a visit is about, hashed: only sameness counts. 0: it does not say.
func key(attributes string) brain.Key {
	for attribute := range strings.SplitSeq(attributes, ",") {
		if value, found := strings.CutPrefix(strings.TrimSpace(attribute), "target_key="); found && value != "0" {
			h := fnv.New64a()
			h.Write([]byte(value))
			return brain.Key(max(h.Sum64(), 1))
		}
	}
	return 0
}

// head is what goes on to a server, up to the last field: the bytes that came.
func head(ctx *fasthttp.RequestCtx) []byte {
	h := &ctx.Request.Header
	out := make([]byte, 0, len(h.RawHeaders())+len(h.RequestURI())+64)
	out = append(append(append(out, h.Method()...), ' '), h.RequestURI()...)
	out = append(out, " HTTP/1.1\r\n"...)
	for line := range bytes.Lines(h.RawHeaders()) {
		line = bytes.TrimRight(line, "\r\n")
		name, _, isField := bytes.Cut(line, []byte(":"))
		if isField && exchange.GoesOn(name) {
			out = append(append(out, line...), "\r\n"...)
		}
	}
	if body := ctx.PostBody(); len(body) > 0 || ctx.IsPost() {
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, int64(len(body)), 10)
		out = append(out, "\r\n"...)
	}
	return out
}
