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
	"ledgespread/internal/memory"
)

// The header fields that the sidecar interprets. None may occur twice in a message.
const (
	fieldRequestID = iota
	fieldClass
	fieldTenant
	fieldTimeout
	fieldIdempotencyKey
	fieldRetried
	fieldCost
	fieldHost
	fieldCount
)

// usualHeadBytes is the size up to which a head belongs to the connection's own memory.
const usualHeadBytes = 1 << 10

var fieldNames = [fieldCount]string{"X-Request-ID", "X-Priority-Class", "X-Tenant-Id", "X-Timeout",
	"Idempotency-Key", "X-Retried", "X-Cost", "Host"}

// message is a parsed request head. head is the head to be sent to a server, without the blank line at its
// end; the header fields in it are copied from the client's head byte for byte.
type message struct {
	fields    [fieldCount]string
	target    []byte
	head      []byte
	headSize  int           // bytes of the head as received
	pipelined bool          // part of the next message may have been read with this one
	rules     *requestRules // the settings by which the request was classified
	body      framing.Body
}

// parseMessage parses a message's head again, from the bytes that were received. fasthttp accepts malformed
// heads that a server could read in another way.
func parseMessage(ctx *fasthttp.RequestCtx) (msg *message, err error) {
	header := &ctx.Request.Header
	target := framing.OriginForm(header.RequestURI())
	if !framing.ValidTarget(target) {
		return nil, errors.New("the target can't be read")
	}
	if string(header.Protocol()) != "HTTP/1.1" && string(header.Protocol()) != "HTTP/1.0" {
		return nil, errors.New("unknown protocol")
	}
	raw, packed := receivedFields(header)
	blankLine := len("\r\n")
	if packed || len(raw) > 0 {
		blankLine = 0 // raw includes it
	}
	msg = &message{target: target, head: make([]byte, 0, len(raw)+len(target)+64)}
	msg.headSize = len(header.Method()) + len(header.RequestURI()) + len(" HTTP/1.1 \r\n") + len(raw) + blankLine
	msg.head = append(append(append(msg.head, header.Method()...), ' '), target...)
	msg.head = append(msg.head, " HTTP/1.1\r\n"...)
	var seen [fieldCount]bool
	msg.body, err = framing.ParseFields(append(raw, "\r\n"[:blankLine]...), func(name, value, line []byte) error {
		for i, known := range fieldNames {
			if !framing.NameEquals(name, known) {
				continue
			}
			if seen[i] {
				return fmt.Errorf("%s is given twice", known)
			}
			seen[i], msg.fields[i] = true, string(value)
		}
		if exchange.IsForwarded(name) {
			msg.head = append(append(msg.head, line...), "\r\n"...)
		}
		return nil
	})
	if err == nil && ctx.IsGet() && (msg.body.Length > 0 || msg.body.Chunked) {
		err = errors.New("GET has no body")
	}
	if packed { // the message has what is needed of them
		replaceFields(header, nil)
	}
	return msg, err
}

// chargeHead charges the memory of a long head, and returns the function that gives it back.
func (in *Inbound) chargeHead(msg *message) (release func()) {
	size := int64(cap(msg.head))
	if size <= usualHeadBytes {
		return func() {}
	}
	in.account.Add(memory.Heads, size)
	return func() { in.account.Release(memory.Heads, size) }
}

// newExchange creates the exchange for a request. For an invalid request it returns an HTTP status and a
// reason instead, and the relay never receives it.
func (in *Inbound) newExchange(ctx *fasthttp.RequestCtx, msg *message) (request *exchange.Exchange, status int, reason string) {
	invalid := func(status int, reason string) (*exchange.Exchange, int, string) { return nil, status, reason }
	msg.rules = in.rules.Load()
	class, tenant, status, reason := msg.rules.classify(ctx, msg)
	if status != 0 {
		return invalid(status, reason)
	}
	timeout, _ := parseTimeout(msg.fields[fieldTimeout])
	request = exchange.New()
	request.RequestID, request.Class, request.Tenant, request.TimeLeft = msg.fields[fieldRequestID], class, tenant, timeout
	request.Repeated = msg.fields[fieldRetried] == "1"
	if cost, err := strconv.ParseFloat(msg.fields[fieldCost], 64); err == nil && cost >= 1 && cost < 1<<32 {
		request.Work = brain.Micros(cost)
	}
	return request, 0, ""
}

// unescapeSegment decodes a path segment that is escaped exactly as far as necessary. Any other segment is
// returned unchanged, since a server may read it in another way.
func unescapeSegment(segment string) string {
	if name, err := url.PathUnescape(segment); err == nil && strings.EqualFold(url.PathEscape(name), segment) {
		return name
	}
	return segment
}

// parseTimeout parses a client timeout, a number and a unit: "480m" (milliseconds) or "75000u"
// (microseconds). It returns false if the timeout is malformed, shorter than a microsecond or longer than an
// hour.
func parseTimeout(text string) (brain.Micros, bool) {
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
