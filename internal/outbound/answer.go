package outbound

import (
	"bytes"
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"ledgespread/internal/exchange"
	"ledgespread/internal/framing"
)

var (
	errNoise    = errors.New("no HTTP")
	errLongHead = errors.New("a head without end")
	errNoLength = errors.New("no length")
	errSwitched = errors.New("another protocol")
	errTooLong  = errors.New("too long an answer")
	errNoRoom   = errors.New("no memory left for the answer")
)

// reply is a whole answer: what decisions need of it, and what goes on.
type reply struct {
	status         int
	closes, unseen bool // the connection ends with it; it says the visit never ran
	load           []float64
	exchange.Answer
}

// answer reads a whole answer; others ahead of it that only inform are passed over. Guards against delivering
// what the server did not mean: what is not proven well-formed is spoilt, as soon as that shows.
func (o *Outbound) answer(l *line) (*reply, error) {
	for passed := 0; ; {
		head, err := l.head(exchange.MostHead - passed)
		if err != nil {
			return nil, err
		}
		first, fields, _ := bytes.Cut(head, []byte("\r\n"))
		status, ok := framing.Status(first)
		r := &reply{status: status}
		body, err := framing.Fields(fields, func(name, value, _ []byte) error {
			switch {
			case exchange.GoesOn(name):
				r.Fields = append(r.Fields, [2]string{string(name), string(value)})
			case framing.Is(name, "Connection"):
				r.closes = r.closes || bytes.Contains(bytes.ToLower(value), []byte("close"))
			case len(o.loads) > 0 && framing.Is(name, "X-Server-Load"):
				r.load = o.report(value)
			case framing.Is(name, "X-Not-Processed"):
				r.unseen = string(value) == "1"
			}
			return nil
		})
		bare := status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
		switch {
		case !ok:
			return nil, errNoise
		case err != nil:
			return nil, err
		case status == fasthttp.StatusSwitchingProtocols:
			return nil, errSwitched
		case status < fasthttp.StatusOK:
			passed += len(head)
			l.in.Discard(len(head))
			continue
		case !bare && body.Length < 0 && !body.Chunked: // it ends with the connection: cut short or whole
			return nil, errNoLength
		}
		// Guards against the memory's end by long answers, one or many: what is said to come has its room first.
		most := o.room / answerPart
		size := int64(max(body.Length, 0))
		if body.Chunked {
			size = int64(most)
		}
		if size > int64(most) {
			return nil, errTooLong
		}
		defer o.taken.Add(-size)
		if o.taken.Add(size) > int64(o.room) {
			return nil, errNoRoom
		}
		if body.Chunked {
			var whole fasthttp.Response
			err := whole.ReadLimitBody(l.in, most)
			r.Body = whole.Body()
			return r, err
		}
		l.in.Discard(len(head))
		if !bare {
			r.Body = make([]byte, size)
		}
		_, err = io.ReadFull(l.in, r.Body)
		return r, err
	}
}

// head looks at the next head, which stays unread.
func (l *line) head(most int) ([]byte, error) {
	const begins = "HTTP/1.1 "
	for {
		came, _ := l.in.Peek(l.in.Buffered())
		if !bytes.HasPrefix(came, []byte(begins[:min(len(came), len(begins))])) {
			return nil, errNoise
		}
		if end := bytes.Index(came, []byte("\r\n\r\n")); end >= 0 && end <= most {
			return came[:end+len("\r\n\r\n")], nil
		}
		if len(came) >= most {
			return nil, errLongHead
		}
		if _, err := l.in.Peek(len(came) + 1); err != nil {
			return nil, err
		}
	}
}
