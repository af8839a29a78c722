package connlimit

import "bytes"

// ManyFields is the number of header fields beyond which the parsed fields of a head take many times its length: the HTTP
// server keeps each apart.
const ManyFields = 64

// part is a part of a message.
type part uint8

const (
	head        part = iota
	sizedBody        // the head gives its length
	chunkedBody      // it ends at a blank line, but not at each one
	unknownBody      // the head can't be parsed: the message will be refused
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
	begun       bool        // part of the head is passed on, not only blank lines before it
	announced   bool        // the head was not whole when its first byte was passed on
	mayHaveBody bool        // its method is not GET
	awaited     bool        // the last byte of the head is held back until the body begins
	scanner     headScanner // of what is passed on of the head
	bodyLeft    int         // bytes of a sizedBody that are not passed on
	tail        [2]byte     // what was passed on last of a chunkedBody
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
	scanner := b.scanner
	size := scanner.scan(received[start:])
	if size >= 0 && !b.mustAwaitBody(&scanner, start+size < len(received)) {
		b.beginBody(&scanner)
		return start + size
	}
	if n = len(received); size >= 0 {
		n = start + size - 1 // the last byte is held back
	}
	if !b.announced {
		n = start + 1
	} else if size >= 0 {
		b.awaited, b.bodyLeft = true, scanner.length
	}
	b.announced = b.announced || room > 1 // the server reads a first byte apart if memory is short, and then parses nothing
	b.scanner.scan(received[start:n])
	return n
}

// mustAwaitBody reports whether the body has to begin before the last byte of a whole head is passed on.
func (b *boundaries) mustAwaitBody(scanner *headScanner, bodyBegun bool) bool {
	hasLength := b.mayHaveBody && !scanner.chunked && !scanner.unclear && scanner.length > 0
	return hasLength && scanner.fields() > ManyFields && !bodyBegun && !scanner.expects
}

// beginBody records what follows a whole head.
func (b *boundaries) beginBody(scanner *headScanner) {
	mayHaveBody := b.mayHaveBody
	*b = boundaries{}
	switch {
	case !mayHaveBody:
	case scanner.unclear:
		b.part = unknownBody
	case scanner.chunked:
		b.part = chunkedBody
	case scanner.length > 0:
		b.part, b.bodyLeft = sizedBody, scanner.length
	}
}

// endMessage records that a message has been handled.
func (b *boundaries) endMessage() { *b = boundaries{} }

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
	case before == [2]byte{'\n', '\r'} && bytes.HasPrefix(received, []byte("\n")):
		return 1
	}
	if at := bytes.Index(received, []byte("\n\r\n")); at >= 0 {
		return at + len("\n\r\n")
	}
	return -1
}
