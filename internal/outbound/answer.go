package outbound

import (
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"ledgespread/internal/exchange"
	"ledgespread/internal/framing"
	"ledgespread/internal/memory"
)

var (
	errNotHTTP          = errors.New("no HTTP")
	errHeadTooLong      = errors.New("a head without end")
	errSwitchedProtocol = errors.New("another protocol")
)

// response is a server's response: what the relay decides by, and what is passed on to the client.
type response struct {
	status               int
	closes, notProcessed bool // the server closes the connection after it; it says that the request did not run
	load                 []float64
	exchange.Answer
	body io.Reader // what is still to be read of a long body, for a stream; nil: Body is complete
}

// readAnswer reads a response up to its end, or up to where it proves to be a long one. Informational
// responses ahead of it are skipped. A response that is not well-formed is an error as soon as that shows,
// since the server may not have meant it.
func (o *Outbound) readAnswer(connection *conn, until time.Time) (*response, error) {
	for skipped := 0; ; {
		head, err := connection.peekHead(exchange.MaxHeadBytes - skipped)
		if err != nil {
			return nil, err
		}
		first, fields, _ := bytes.Cut(head, []byte("\r\n"))
		status, ok := framing.ParseStatusLine(first)
		answer := &response{status: status, Answer: exchange.Answer{Reserved: memory.NewReservation(o.account, memory.AnswerBodies)}}
		body, err := framing.ParseFields(fields, func(name, value, line []byte) error {
			switch {
			case exchange.IsForwarded(name):
				answer.Head = append(append(answer.Head, line...), "\r\n"...)
			case framing.NameEquals(name, "Connection"):
				answer.closes = answer.closes || bytes.Contains(bytes.ToLower(value), []byte("close"))
			case len(*o.loadFields.Load()) > 0 && framing.NameEquals(name, "X-Server-Load"):
				answer.load = o.parseReport(value)
			case framing.NameEquals(name, "X-Not-Processed"):
				answer.notProcessed = string(value) == "1"
			}
			return nil
		})
		noBody := status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
		switch {
		case !ok:
			return nil, errNotHTTP
		case err != nil:
			return nil, err
		case status == fasthttp.StatusSwitchingProtocols:
			return nil, errSwitchedProtocol
		case status < fasthttp.StatusOK:
			skipped += len(head)
			connection.reader.Discard(len(head))
			continue
		}
		connection.reader.Discard(len(head))
		connection.shrinkReader()
		if err := o.readBody(connection, answer, body, noBody, until); err != nil {
			answer.FreeBody()
			return nil, err
		}
		return answer, nil
	}
}

// readBody reads a response's body, or the part of a long one that is buffered before it is passed on. Only
// the body of a response that is passed on to the client is ever read as a stream.
func (o *Outbound) readBody(connection *conn, answer *response, body framing.Body, noBody bool, until time.Time) (err error) {
	var source io.Reader
	holdUntil := time.Now().Add(time.Until(until) / holdDivisor)
	switch {
	case noBody || body.Length == 0:
		return nil
	case body.Chunked:
		source, answer.Size = &chunkedBody{conn: connection}, -1
	case body.Length < 0:
		if !answer.closes { // no length, no "Connection: close": most such answers never end, and one that is still held can be retried
			if holdUntil = time.Now().Add(maxHold); holdUntil.After(until) {
				holdUntil = until
			}
		}
		source, answer.Size, answer.closes = untilCloseBody{connection}, -1, true
	default:
		if held, err := o.readWhole(connection, answer, body.Length); held {
			return err
		}
		answer.body, answer.Size = &fixedBody{connection, int64(body.Length)}, int64(body.Length)
		return nil
	}
	var complete bool
	if answer.Body, complete, err = connection.readStart(source, &answer.Reserved, holdUntil, until); err == nil && !complete {
		answer.body = source
	}
	return err
}

// readWhole reads a body of known length. held is false if it is too long, or there is no memory to hold it: it is
// passed on as it arrives.
func (o *Outbound) readWhole(connection *conn, answer *response, length int) (held bool, err error) {
	beyondFree := int64(max(length-memory.FreeBytes, 0))
	if length > exchange.MaxBufferedBody || !answer.Reserved.Grow(beyondFree) {
		return false, nil
	}
	answer.Body = make([]byte, length)
	_, err = io.ReadFull(connection.reader, answer.Body)
	return true, err
}

// peekHead returns the next response head without consuming it.
func (c *conn) peekHead(limit int) ([]byte, error) {
	const prefix = "HTTP/1.1 "
	for {
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		if !bytes.HasPrefix(buffered, []byte(prefix[:min(len(buffered), len(prefix))])) {
			return nil, errNotHTTP
		}
		if end := bytes.Index(buffered, []byte("\r\n\r\n")); end >= 0 && end <= limit {
			return buffered[:end+len("\r\n\r\n")], nil
		}
		if len(buffered) >= limit {
			return nil, errHeadTooLong
		}
		if len(buffered) == c.reader.Size() {
			c.replaceReader(exchange.MaxHeadBytes)
		}
		if _, err := c.reader.Peek(len(buffered) + 1); err != nil {
			return nil, err
		}
	}
}
