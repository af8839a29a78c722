package inbound

import (
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"ledgespread/brain"
	"ledgespread/internal/exchange"
	"ledgespread/internal/framing"
)

// The fields that decisions need. None may be given twice.
const (
	fieldID = iota
	fieldPrefix
	fieldTenant
	fieldTimeout
	fieldTag
	fieldAgain
	fieldCost
	fieldHost
	needed
)

var neededNames = [needed]string{"X-Request-ID", "X-Priority-Class", "X-Tenant-Id", "X-Timeout",
	"Idempotency-Key", "X-Retried", "X-Cost", "Host"}

// message is what came, read strictly: the fields that decisions need, and what goes on to a server, up to the
// last field: the bytes that came.
type message struct {
	field  [needed]string
	target []byte
	head   []byte
	size   int  // bytes of the head as it came
	more   bool // part of the next one may have been read with it
	by     *said
	body   framing.Body
}

// strictly reads a message's head again, as it came. What fasthttp forgives a server may read
// otherwise.
func strictly(ctx *fasthttp.RequestCtx) (m *message, err error) {
	h := &ctx.Request.Header
	target := framing.Origin(h.RequestURI())
	if !framing.Target(target) {
		return nil, errors.New("the target can't be read")
	}
	if string(h.Protocol()) != "HTTP/1.1" && string(h.Protocol()) != "HTTP/1.0" {
		return nil, errors.New("unknown protocol")
	}
	raw, blank := h.RawHeaders(), len("\r\n")
	if len(raw) > 0 {
		blank = 0 // it stands at their end
	}
	m = &message{target: target, head: make([]byte, 0, len(raw)+len(target)+64)}
	m.size = len(h.Method()) + len(h.RequestURI()) + len(" HTTP/1.1 \r\n") + len(raw) + blank
	m.head = append(append(append(m.head, h.Method()...), ' '), target...)
	m.head = append(m.head, " HTTP/1.1\r\n"...)
	var seen [needed]bool
	m.body, err = framing.Fields(append(raw, "\r\n"[:blank]...), func(name, value, line []byte) error {
		for i, known := range neededNames {
			if !framing.Is(name, known) {
				continue
			}
			if seen[i] {
				return fmt.Errorf("%s is given twice", known)
			}
			seen[i], m.field[i] = true, string(value)
		}
		if exchange.GoesOn(name) {
			m.head = append(append(m.head, line...), "\r\n"...)
		}
		return nil
	})
	if err == nil && ctx.IsGet() && (m.body.Length > 0 || m.body.Chunked) {
		err = errors.New("GET has no body")
	}
	return m, err
}

// read takes out of what came what the decisions need. Bad input gets a status and a plain word instead,
// without troubling the module.
func (in *Inbound) read(ctx *fasthttp.RequestCtx, m *message) (x *exchange.Exchange, status int, fault string) {
	bad := func(status int, fault string) (*exchange.Exchange, int, string) { return nil, status, fault }
	m.by = in.said.Load()
	on, of, status, fault := m.by.place(ctx, m)
	if status != 0 {
		return bad(status, fault)
	}
	left, _ := span(m.field[fieldTimeout])
	x = exchange.New()
	x.RequestID, x.Class, x.Tenant, x.Left = m.field[fieldID], on, of, left
	x.Repeated = m.field[fieldAgain] == "1"
	if cost, err := strconv.ParseFloat(m.field[fieldCost], 64); err == nil && cost >= 1 && cost < 1<<32 {
		x.Work = brain.Micros(cost)
	}
	return x, 0, ""
}

// unescaped is the name that stands in a path, where it needs to be escaped there. One that is escaped without need stays as it
// is, since a server may read it otherwise.
func unescaped(segment string) string {
	if name, err := url.PathUnescape(segment); err == nil && strings.EqualFold(url.PathEscape(name), segment) {
		return name
	}
	return segment
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
