package outbound

import (
	"bytes"
	"errors"
	"io"
	"strconv"

	"ledgespread/internal/exchange"
)

var (
	errBadChunk  = errors.New("a chunk can't be read")
	errTruncated = io.ErrUnexpectedEOF
)

// The readers below return a response body piece by piece. A read that fails at a deadline may be repeated:
// it consumes no bytes that it doesn't return. io.EOF means that the body is complete; if the connection ends
// before, it is errTruncated.

// fixedBody reads a body of known length.
type fixedBody struct {
	conn      *conn
	remaining int64
}

func (b *fixedBody) Read(p []byte) (n int, err error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n, err = b.conn.reader.Read(p[:min(int64(len(p)), b.remaining)])
	if b.remaining -= int64(n); err == io.EOF {
		err = errTruncated
	} else if b.remaining == 0 {
		err = io.EOF
	}
	return n, err
}

// untilCloseBody reads a body that ends where the server closes the connection.
type untilCloseBody struct{ conn *conn }

func (b untilCloseBody) Read(p []byte) (int, error) { return b.conn.reader.Read(p) }

// chunkedBody reads a chunked body. Chunk extensions and trailers are skipped.
type chunkedBody struct {
	conn         *conn
	remaining    int64 // bytes left of the current chunk
	lineEndDue   bool  // the line end after the current chunk is still to be read
	inTrailers   bool  // the last chunk was read: trailers follow
	done         bool
	trailerBytes int // bytes of trailers so far
}

func (b *chunkedBody) Read(p []byte) (n int, err error) {
	for {
		switch {
		case b.done:
			return 0, io.EOF
		case len(p) == 0:
			return 0, nil
		case b.remaining > 0:
			n, err = b.conn.reader.Read(p[:min(int64(len(p)), b.remaining)])
			if b.remaining -= int64(n); err == io.EOF {
				err = errTruncated
			}
			b.lineEndDue = b.remaining == 0
			if n > 0 || err != nil {
				return n, err
			}
		case b.lineEndDue:
			end, err := b.peek(2)
			if err != nil {
				return 0, err
			}
			if string(end) != "\r\n" {
				return 0, errBadChunk
			}
			b.conn.reader.Discard(2)
			b.lineEndDue = false
		default:
			line, err := b.peekLine()
			if err != nil {
				return 0, err
			}
			if b.inTrailers {
				b.done = len(line) == 0
				if b.trailerBytes += len(line); b.trailerBytes > exchange.MaxHeadBytes || !b.done && bytes.IndexByte(line, ':') <= 0 {
					return 0, errBadChunk
				}
			} else if b.remaining, err = chunkSize(line); err != nil {
				return 0, err
			} else {
				b.inTrailers = b.remaining == 0
			}
			b.conn.reader.Discard(len(line) + 2)
		}
	}
}

// peek returns the next n bytes without consuming them.
func (b *chunkedBody) peek(n int) ([]byte, error) {
	buffered, err := b.conn.reader.Peek(n)
	if len(buffered) == n {
		return buffered, nil
	}
	if err == io.EOF {
		err = errTruncated
	}
	return buffered, err
}

// peekLine returns the next line, without its line end and without consuming it. It waits for more data only
// if the buffered data has no complete line, so that a chunk is not held back until more data follows it.
func (b *chunkedBody) peekLine() ([]byte, error) {
	for {
		buffered, _ := b.conn.reader.Peek(b.conn.reader.Buffered())
		if end := bytes.IndexByte(buffered, '\n'); end >= 0 {
			if end == 0 || buffered[end-1] != '\r' || bytes.IndexByte(buffered[:end-1], '\r') >= 0 {
				return nil, errBadChunk
			}
			return buffered[:end-1], nil
		}
		if len(buffered) == b.conn.reader.Size() {
			return nil, errBadChunk
		}
		if _, err := b.peek(len(buffered) + 1); err != nil {
			return nil, err
		}
	}
}

// chunkSize parses the line before a chunk: hexadecimal digits and optional extensions.
func chunkSize(line []byte) (int64, error) {
	digits, extensions, _ := bytes.Cut(line, []byte(";"))
	for _, char := range extensions {
		if char < ' ' && char != '\t' || char == 0x7f {
			return 0, errBadChunk
		}
	}
	digits = bytes.TrimRight(digits, " \t")
	for _, char := range digits { // strconv would also accept a sign or an underscore
		if !('0' <= char && char <= '9' || 'a' <= char && char <= 'f' || 'A' <= char && char <= 'F') {
			return 0, errBadChunk
		}
	}
	size, err := strconv.ParseUint(string(digits), 16, 40)
	if err != nil {
		return 0, errBadChunk
	}
	return int64(size), nil
}
