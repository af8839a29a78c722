// Package simwire speaks the bench's wire and drives one brain.Balancer for each instance.
//
// A decoded field goes straight into a call of the module, and each of the module's actions is
// encoded the moment it is made; there are no message types. A second protocol would be a
// sibling package that calls the same module.
package simwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"ledgespread/brain"
	"ledgespread/internal/notes"
	"ledgespread/internal/site"
)

const (
	eventSize  = 48
	actionSize = 24
	entrySize  = 25
	headSize   = 20 // of a batch, with its length field
	replyHead  = 12
	maxFrame   = 1 << 30
)

var be = binary.BigEndian

// reply gathers the records and the tail of one reply; both buffers are reused.
type reply struct {
	recs, tail []byte
	count      uint32
}

func (r *reply) rec(code byte, who uint16) []byte {
	n := len(r.recs)
	r.recs = append(r.recs, make([]byte, actionSize)...)
	p := r.recs[n:]
	p[0] = code
	be.PutUint16(p[1:], who)
	r.count++
	return p
}

func (r *reply) text(code byte, who uint16, s string) {
	p := r.rec(code, who)
	be.PutUint32(p[3:], uint32(len(r.tail)))
	be.PutUint32(p[7:], uint32(len(s)))
	r.tail = append(r.tail, s...)
}

// outlet is the module's Ports for one instance.
type outlet struct {
	who uint16
	out *reply
}

func span(t brain.Micros) uint32 { return uint32(min(max(t, 0), math.MaxUint32)) }

func putServer(p []byte, s brain.ServerID) {
	be.PutUint32(p, uint32(s>>16))
	be.PutUint16(p[4:], uint16(s))
}

func server(p []byte) brain.ServerID {
	return brain.ServerID(be.Uint32(p))<<16 | brain.ServerID(be.Uint16(p[4:]))
}

func (o outlet) Dispatch(v brain.RequestID, s brain.ServerID, tryFor brain.Micros) {
	p := o.out.rec(1, o.who)
	be.PutUint64(p[3:], uint64(v))
	putServer(p[11:], s)
	be.PutUint32(p[17:], span(tryFor))
}

func (o outlet) Reject(v brain.RequestID, comeBackIn brain.Micros, _ brain.Reason) {
	p := o.out.rec(2, o.who)
	be.PutUint64(p[3:], uint64(v))
	be.PutUint32(p[11:], span(comeBackIn))
}

func (o outlet) Fail(v brain.RequestID, _ brain.Reason) {
	be.PutUint64(o.out.rec(3, o.who)[3:], uint64(v))
}

func (o outlet) Cancel(v brain.RequestID, no brain.AttemptNo) {
	p := o.out.rec(4, o.who)
	be.PutUint64(p[3:], uint64(v))
	p[11] = byte(no)
}

func (o outlet) Wake(in brain.Micros, t brain.Token) {
	p := o.out.rec(5, o.who)
	be.PutUint32(p[3:], span(in))
	be.PutUint32(p[7:], uint32(t))
}

func (o outlet) CloseIdle(s brain.ServerID) { putServer(o.out.rec(7, o.who)[3:], s) }
func (o outlet) Print(line string)          { o.out.text(9, o.who, line) }
func (o outlet) Subscribe()                 { o.out.rec(11, o.who)[3] = 1 }

// Unsubscribe and Snapshot are on the wire; the module has no use for them so far.
func (o outlet) Unsubscribe() { o.out.rec(11, o.who) }
func (o outlet) Snapshot()    { o.out.rec(12, o.who) }

func (o outlet) Tell(to brain.Peer, kind brain.MessageKind, about brain.ServerID, figures ...float64) {
	p := o.out.rec(8, o.who)
	be.PutUint32(p[3:], uint32(to))
	be.PutUint32(p[7:], uint32(len(o.out.tail)))
	from := len(o.out.tail)
	o.out.tail = notes.Append(o.out.tail, kind, about, figures...)
	be.PutUint32(p[11:], uint32(len(o.out.tail)-from))
}

// host holds the instances of one process. They share nothing but the reply they write to.
type host struct {
	here  map[uint16]*brain.Balancer
	lists [16][]byte
	known [16]bool
	out   reply
}

// Serve answers batches until the end of input. It returns an error, with no reply begun, at the
// first frame that does not make sense.
func Serve(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriterSize(out, 1<<16)
	h := &host{here: map[uint16]*brain.Balancer{}}
	var frame []byte
	var head [4]byte
	for {
		if _, err := io.ReadFull(r, head[:]); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return fmt.Errorf("batch header cut short: %w", err)
		}
		n := int(be.Uint32(head[:]))
		if n < headSize-4 || n > maxFrame {
			return fmt.Errorf("batch of %d bytes", n)
		}
		if cap(frame) < n {
			frame = make([]byte, n+n/2)
		}
		frame = frame[:n]
		if _, err := io.ReadFull(r, frame); err != nil {
			return fmt.Errorf("batch cut short: %w", err)
		}
		count, now, seq := int(be.Uint32(frame)), brain.Micros(be.Uint64(frame[4:])), be.Uint32(frame[12:])
		body := frame[16:]
		if count*eventSize > len(body) {
			return fmt.Errorf("batch %d: %d records do not fit in %d bytes", seq, count, len(body))
		}
		h.out.recs, h.out.tail, h.out.count = h.out.recs[:0], h.out.tail[:0], 0
		tail := body[count*eventSize:]
		for i := range count {
			if err := h.event(now, body[i*eventSize:(i+1)*eventSize], tail); err != nil {
				return fmt.Errorf("batch %d, record %d: %w", seq, i, err)
			}
		}
		var rh [4 + 8]byte
		be.PutUint32(rh[0:], uint32(replyHead-4+len(h.out.recs)+len(h.out.tail)))
		be.PutUint32(rh[4:], h.out.count)
		be.PutUint32(rh[8:], seq)
		w.Write(rh[:])
		w.Write(h.out.recs)
		w.Write(h.out.tail)
		if err := w.Flush(); err != nil {
			return fmt.Errorf("reply not taken: %w", err)
		}
	}
}

// piece finds what an offset and a length (times size) name in the tail.
func piece(ref, tail []byte, size uint64) ([]byte, error) {
	off, n := uint64(be.Uint32(ref)), uint64(be.Uint32(ref[4:]))*size
	if off+n > uint64(len(tail)) {
		return nil, fmt.Errorf("%d bytes at %d lie outside the tail of %d", n, off, len(tail))
	}
	return tail[off : off+n], nil
}

func (h *host) event(now brain.Micros, p, tail []byte) error {
	if p[0] == 11 { // a list, for whichever instances refer to it next
		id := be.Uint32(p[1:])
		if id >= uint32(len(h.lists)) {
			return fmt.Errorf("list number %d", id)
		}
		lines, err := piece(p[5:], tail, entrySize)
		if err != nil {
			return err
		}
		h.lists[id], h.known[id] = append(h.lists[id][:0], lines...), true
		return nil
	}
	who := be.Uint16(p[1:])
	defer func() {
		if crash := recover(); crash != nil {
			h.out.text(10, who, fmt.Sprint(crash))
		}
	}()
	b := h.here[who]
	if p[0] == 1 {
		text, err := piece(p[11:], tail, 1)
		if err != nil {
			return err
		}
		settings, err := site.Flatten(text)
		if err != nil {
			return fmt.Errorf("settings of instance %d: %w", who, err)
		}
		nb, err := brain.New(now, settings, be.Uint64(p[3:]), outlet{who, &h.out})
		if err != nil {
			h.out.text(10, who, err.Error())
			nb = nil
		}
		h.here[who] = nb
		return nil
	}
	if p[0] == 0 || p[0] > 10 {
		return fmt.Errorf("unknown event code %d", p[0])
	}
	if _, attached := h.here[who]; !attached {
		return fmt.Errorf("event %d for instance %d, which is not attached", p[0], who)
	}
	if p[0] == 10 {
		delete(h.here, who)
		return nil
	}
	if b == nil { // its settings were refused; the fault has been told
		return nil
	}
	switch p[0] {
	case 2:
		return h.update(now, b, p)
	case 3:
		opts := be.Uint16(p[33:])
		var effort brain.Micros
		if opts&1 != 0 {
			effort = brain.Micros(be.Uint32(p[29:]))
		}
		b.Inbound(now, brain.RequestID(be.Uint64(p[3:])), brain.ClassID(be.Uint16(p[11:])),
			brain.TenantID(be.Uint32(p[13:])), brain.Micros(be.Uint32(p[25:])), effort, opts&2 != 0, false)
	case 4:
		b.Flowing(now, brain.RequestID(be.Uint64(p[3:])), brain.AttemptNo(p[11]))
	case 5:
		if err := sane(p[18], p[24]); err != nil {
			return err
		}
		b.Outcome(now, brain.RequestID(be.Uint64(p[3:])), brain.AttemptNo(p[11]), brain.Result(p[18]),
			brain.Micros(be.Uint32(p[19:])), p[23] != 0, gauge(p[24:])...)
	case 6:
		b.Dropped(now, brain.RequestID(be.Uint64(p[3:])))
	case 7:
		b.Woken(now, brain.Token(be.Uint32(p[3:])))
	case 8:
		if err := sane(p[9], p[14]); err != nil {
			return err
		}
	case 9:
		msg, err := piece(p[5:], tail, 1)
		if err != nil {
			return err
		}
		if kind, about, figures, ok := notes.Read(msg); ok {
			b.Heard(now, brain.Peer(be.Uint16(p[3:])), kind, about, figures...)
		}
	}
	return nil
}

// gauge is a load report: so many values.
func gauge(p []byte) (load []float64) {
	for i := range int(p[0]) {
		load = append(load, float64(math.Float32frombits(be.Uint32(p[1+4*i:]))))
	}
	return load
}

// sane refuses an outcome or the length of a load report that the wire does not know.
func sane(rc, values byte) error {
	if rc < 1 || rc > 8 {
		return fmt.Errorf("unknown outcome %d", rc)
	}
	if values > 4 {
		return fmt.Errorf("load report of %d values", values)
	}
	return nil
}

func (h *host) update(now brain.Micros, b *brain.Balancer, p []byte) error {
	news := brain.News(p[3])
	if news > brain.NoListCame {
		return fmt.Errorf("unknown kind of list %d", p[3])
	}
	var lines []byte
	if id := be.Uint32(p[12:]); news != brain.NoListCame {
		if id >= uint32(len(h.lists)) || !h.known[id] {
			return fmt.Errorf("list %d was never sent", id)
		}
		lines = h.lists[id]
	}
	b.ListBegins(now, news)
	for ; len(lines) > 0; lines = lines[entrySize:] {
		var st brain.Standing
		switch lines[12] {
		case 0:
			st = brain.Gone
		case 2:
			st = brain.Draining
		case 3:
			st = brain.Ready
		default:
			return fmt.Errorf("unknown server state %d", lines[12])
		}
		b.Listed(now, server(lines), brain.Zone(be.Uint16(lines[6:])), brain.Cell(be.Uint16(lines[10:])), st,
			float64(math.Float32frombits(be.Uint32(lines[13:]))), brain.Micros(be.Uint64(lines[17:])))
	}
	b.ListEnds(now)
	return nil
}
