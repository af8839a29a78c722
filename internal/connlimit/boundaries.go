package connlimit

import "bytes"

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
//
// Otherwise clients that stop in a head would each hold twenty times its length.
type boundaries struct {
	part        part
	begun       bool        // part of the head is passed on, not only blank lines before it
	announced   bool        // the head was not whole when its first byte was passed on
	mayHaveBody bool        // its method is not GET
	scanner     headScanner // of what is passed on of the head
	bodyLeft    int         // bytes of a sizedBody that are not passed on
	tail        [2]byte     // what was passed on last of a chunkedBody
}

// next returns how many of the received bytes, at least one, may be passed on to a reader with room for this many, and counts
// them as passed on.
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
	return b.nextOfHead(received, room)
}

func (b *boundaries) nextOfBody(received []byte) (n int) {
	n = min(len(received), b.bodyLeft)
	if b.bodyLeft -= n; b.bodyLeft == 0 {
		*b = boundaries{}
	}
	return n
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
	if size := scanner.scan(received[start:]); size >= 0 {
		b.beginBody(&scanner)
		return start + size
	}
	n = len(received)
	if !b.announced {
		n = start + 1
	}
	b.announced = b.announced || room > 1 // the server reads a first byte apart if memory is short, and then parses nothing
	b.scanner.scan(received[start:n])
	return n
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
