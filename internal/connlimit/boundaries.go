package connlimit

// part is a part of a message.
type part uint8

const (
	head        part = iota
	sizedBody        // the head gives its length
	chunkedBody      // its chunks give its length
	unknownBody      // the message can't be parsed, and will be refused
)

// boundaries finds the ends of messages in the bytes of a connection. It decides how many of them may be passed on to the
// HTTP server at once:
//
//   - No byte of the next message with those of one. The server would parse what it has of the next head.
//   - Of a head that has not been received whole at first no more than one byte, after that the rest as it comes. The
//     server parses the first piece of a head, and keeps its fields until the head is whole; of the pieces after that it
//     parses none.
//   - No trailer field behind a body in chunks. The server would keep all of them until the message has been handled.
//
// Otherwise clients that stop there would each hold twenty times the length of what they have sent.
type boundaries struct {
	part        part
	begun       bool        // part of the head is passed on, not only blank lines before it
	announced   bool        // the head was not whole when its first byte was passed on
	mayHaveBody bool        // its method is not GET
	scanner     headScanner // of what is passed on of the head
	bodyLeft    int         // bytes of a sizedBody that are not passed on
	chunks      chunkScanner
}

// skip returns how many of the received bytes are not to be passed on at all. Those behind them are offered to next.
func (b *boundaries) skip(received []byte) (n int, err error) {
	if b.part != chunkedBody || !b.chunks.inTrailers() {
		return 0, nil
	}
	return b.chunks.skipTrailers(received)
}

// next returns how many of the received bytes, at least one, may be passed on to a reader with room for this many, and counts
// them as passed on.
func (b *boundaries) next(received []byte, room int) (n int) {
	received = received[:min(len(received), room)]
	switch b.part {
	case sizedBody:
		return b.nextOfBody(received)
	case chunkedBody:
		return b.nextOfChunks(received)
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

func (b *boundaries) nextOfChunks(received []byte) (n int) {
	n, ended, ok := b.chunks.next(received)
	switch {
	case ended:
		*b = boundaries{}
	case !ok:
		b.part = unknownBody
		return len(received)
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
