package outbound

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"ledgespread/internal/exchange"
	"ledgespread/internal/framing"
)

var (
	errNoise    = errors.New("no HTTP")
	errLongHead = errors.New("a head without end")
	errSwitched = errors.New("another protocol")
	errNoRoom   = errors.New("no memory left for the answer")
)

// reply is a whole answer: what decisions need of it, and what goes on.
type reply struct {
	status         int
	closes, unseen bool // the connection ends with it; it says the request never ran
	load           []float64
	exchange.Answer
	body io.Reader // what is still to come of a long one, for a stream; nil: all is here
}

// answer reads a whole answer, or as much of a long one as tells that it is long; others ahead of it that only inform are
// passed over. What is not proven well-formed is spoilt, as soon as that shows: the server may not have meant
// it.
func (o *Outbound) answer(l *conn, until time.Time) (*reply, error) {
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
			case len(*o.loads.Load()) > 0 && framing.Is(name, "X-Server-Load"):
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
		}
		l.in.Discard(len(head))
		return r, o.begin(l, r, body, bare, until)
	}
}

// begin reads an answer's body as far as it is read before it goes on. Only a delivery is ever long.
func (o *Outbound) begin(l *conn, r *reply, body framing.Body, bare bool, until time.Time) (err error) {
	var from io.Reader
	size, hold := exchange.MostBody, time.Now().Add(time.Until(until)/holdPart)
	switch {
	case bare || body.Length == 0:
		return nil
	case body.Chunked:
		from, r.Size = &chunked{l: l}, -1
	case body.Length < 0:
		if !r.closes { // the server forgot its length and stays: most of these are late, no success without an end
			if hold = time.Now().Add(heldBack); hold.After(until) {
				hold = until
			}
		}
		from, r.Size, r.closes = untilClose{l}, -1, true
	case body.Length > exchange.MostBody:
		r.body, r.Size = &fixed{l, int64(body.Length)}, int64(body.Length)
		return nil
	default:
		size = body.Length
	}
	if from != nil && o.taken.Load() > int64(o.room/crowdedPart) {
		size /= 4 // where many are held, each is held for less
	}
	// What may come has its room first, so many answers do not use up the memory.
	defer o.taken.Add(-int64(size))
	if o.taken.Add(int64(size)) > int64(o.room) {
		return errNoRoom
	}
	if from == nil {
		r.Body = make([]byte, size)
		_, err = io.ReadFull(l.in, r.Body)
		return err
	}
	var whole bool
	if r.Body, whole, err = l.begin(from, size, hold, until); err == nil && !whole {
		r.body = from
	}
	return err
}

// head looks at the next head, which stays unread.
func (l *conn) head(most int) ([]byte, error) {
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
		if len(came) == l.in.Size() { // what has come is read again from the larger one
			l.in = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(came)), l), exchange.MostHead)
		}
		if _, err := l.in.Peek(len(came) + 1); err != nil {
			return nil, err
		}
	}
}
