package connlimit

import (
	"bytes"

	"ledgespread/internal/framing"
)

// ManyFields is the number of header fields beyond which the parsed fields of a head take many times its length: the HTTP
// server keeps each apart.
const ManyFields = 64

// part is a part of a message.
type part uint8

const (
	head        part = iota
	sizedBody        // the head gives its length
	chunkedBody      // it ends at a blank line, but not at each one
	unknownBody      // the head was passed on in pieces, so that nothing is known of the body
)

// boundaries finds the ends of messages in the bytes of a connection. It decides how many of them may be passed on to the
// HTTP server at once:
//
//   - No byte of the next message with those of one. The server would parse what it has of the next head.
//   - Of a head that has not been received whole at first no more than one byte, after that the rest as it comes. The
//     server parses the first piece of a head, and keeps its fields until the head is whole; of the pieces after that it
//     parses none.
//   - Of a head with many fields, before a body with a length, all but the last byte until the body begins. The server
//     waits for the beginning of a body before it calls the handler, which drops the fields.
//
// Otherwise clients that stop in a head, or behind it, would each hold twenty times its length.
type boundaries struct {
	part        part
	begun       bool    // part of the head is passed on, not only blank lines before it
	announced   bool    // the head was not whole when its first byte was passed on
	lineEnded   bool    // a line of the head is passed on
	mayHaveBody bool    // its method is not GET
	awaited     bool    // the last byte of the head is held back until the body begins
	bodyLeft    int     // bytes of a sizedBody that are not passed on
	tail        [2]byte // what was passed on last of a head or a chunkedBody
}

// next returns how many of the received bytes may be passed on to a reader with room for this many, and counts them as
// passed on. It is 0 only if the first one has to wait for those behind it.
func (b *boundaries) next(received []byte, room int) (n int) {
	received = received[:min(len(received), room)]
	switch b.part {
	case sizedBody:
		return b.nextOfBody(received)
	case chunkedBody:
		if n = blankLineEnd(b.tail, received); n < 0 {
			n = len(received)
		}
		b.noteTail(received[:n])
		return n
	case unknownBody:
		return len(received)
	}
	if b.awaited {
		return b.nextAfterAwaited(received, room)
	}
	return b.nextOfHead(received, room)
}

func (b *boundaries) nextOfBody(received []byte) (n int) {
	n = min(len(received), b.bodyLeft)
	if b.bodyLeft -= n; b.bodyLeft == 0 {
		*b = boundaries{}
	}
	return n
}

// nextAfterAwaited passes on the last byte of the head with the first ones of the body.
func (b *boundaries) nextAfterAwaited(received []byte, room int) (n int) {
	if len(received) < 2 && room > 1 {
		return 0
	}
	b.awaited, b.part = false, sizedBody
	if len(received) < 2 {
		return 1
	}
	return 1 + b.nextOfBody(received[1:])
}

func (b *boundaries) nextOfHead(received []byte, room int) (n int) {
	start := 0
	if !b.begun {
		for start < len(received) && (received[start] == '\r' || received[start] == '\n') {
			start++
		}
		if start == len(received) {
			return start
		}
		*b = boundaries{begun: true, mayHaveBody: received[start] != 'G'} // a GET has no body
	}
	size := blankLineEnd(b.tail, received[start:])
	switch {
	case size < 0:
		n = len(received)
	case !b.mayHaveBody:
		*b = boundaries{}
		return start + size
	case b.findBody(received[start:start+size], start+size < len(received)):
		return start + size
	default:
		n = start + size - 1 // the last byte is held back
		if b.announced {
			b.awaited = true
		}
	}
	if !b.announced {
		b.announced = room > 1 // the server reads a first byte apart if memory is short, and then parses nothing
		n = start + 1
	}
	b.noteTail(received[start:n])
	b.lineEnded = b.lineEnded || bytes.IndexByte(received[start:n], '\n') >= 0
	return n
}

// findBody looks in a whole head, or what is left to pass on of it, for what its body is. It reports false if the body has
// to begin before the last byte of the head is passed on.
func (b *boundaries) findBody(fields []byte, bodyBegun bool) (passOn bool) {
	if b.lineEnded {
		b.part = unknownBody
		return true
	}
	count, expects := 0, false
	_, fields, _ = bytes.Cut(fields, []byte("\n"))
	body, err := framing.ParseFields(fields, func(name, _, _ []byte) error {
		count++
		expects = expects || framing.NameEquals(name, "Expect")
		return nil
	})
	switch {
	case err != nil:
		b.part = unknownBody
	case body.Chunked:
		b.part, b.tail = chunkedBody, [2]byte{}
	case body.Length <= 0:
		*b = boundaries{}
	case count > ManyFields && !bodyBegun && !expects:
		b.bodyLeft = body.Length
		return false
	default:
		b.part, b.bodyLeft = sizedBody, body.Length
	}
	return true
}

// endMessage records that a message has been handled, with ahead bytes of the next one passed on; last is what was passed on
// last.
func (b *boundaries) endMessage(ahead int, last []byte) {
	*b = boundaries{}
	if ahead > 0 {
		b.begun, b.announced, b.lineEnded, b.mayHaveBody = true, true, true, true
		b.noteTail(last)
	}
}

func (b *boundaries) noteTail(passedOn []byte) {
	for _, c := range passedOn[max(0, len(passedOn)-len(b.tail)):] {
		b.tail = [2]byte{b.tail[1], c}
	}
}

// blankLineEnd returns the end of the first blank line in received, which may have begun in the bytes before; -1: there is
// none.
func blankLineEnd(before [2]byte, received []byte) int {
	switch {
	case before[1] == '\n' && bytes.HasPrefix(received, []byte("\r\n")):
		return 2
	case (before[1] == '\n' || before == [2]byte{'\n', '\r'}) && bytes.HasPrefix(received, []byte("\n")):
		return 1
	}
	for at := 0; ; {
		newline := bytes.IndexByte(received[at:], '\n')
		if newline < 0 {
			return -1
		}
		at += newline + 1
		switch rest := received[at:]; {
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return at + 2
		case bytes.HasPrefix(rest, []byte("\n")):
			return at + 1
		}
	}
}
