package connlimit

import "bytes"

// chunkPart is a part of a body in chunks.
type chunkPart uint8

const (
	chunkSize chunkPart = iota // the digits of a chunk's size
	chunkLine                  // the rest of that line
	chunkData                  // what a chunk holds, and the line end behind it
	trailers                   // what follows the last chunk, up to a blank line
)

const (
	maxSizeDigits = 16                 // of a chunk
	lineEndBytes  = len("\r\n")        // behind what a chunk holds
	maxChunk      = 1 << 40            // bytes; the server refuses much shorter ones
	hexDigits     = "0123456789abcdef" // in lower case
)

// chunkScanner finds the end of a body in chunks, in bytes that come in pieces. It is lenient where the HTTP server, which
// parses the body, refuses it.
type chunkScanner struct {
	part   chunkPart
	digits int
	left   int // of the current chunk's size, as far as it is known; then the bytes that are left of it
}

// scan returns how many of the received bytes belong to the body and are to be passed on now. The trailers are passed on as a
// whole: the server would keep each field of them for as long as one is missing. ok is false if the body can't be understood.
func (s *chunkScanner) scan(received []byte) (n int, ended, ok bool) {
	for n < len(received) {
		switch s.part {
		case chunkSize:
			digit := bytes.IndexByte([]byte(hexDigits), received[n]|' ')
			if digit < 0 {
				if s.digits == 0 {
					return n, false, false
				}
				s.part = chunkLine
				continue
			}
			s.digits, s.left = s.digits+1, s.left<<4|digit
			if s.digits > maxSizeDigits || s.left > maxChunk {
				return n, false, false
			}
			n++
		case chunkLine:
			end := bytes.IndexByte(received[n:], '\n')
			if end < 0 {
				return len(received), false, true
			}
			n += end + 1
			if s.part = chunkData; s.left == 0 {
				s.part = trailers
			} else {
				s.left += lineEndBytes
			}
		case chunkData:
			size := min(s.left, len(received)-n)
			n += size
			if s.left -= size; s.left == 0 {
				*s = chunkScanner{}
			}
		case trailers:
			if end := trailersEnd(received[n:]); end >= 0 {
				return n + end, true, true
			}
			return n, false, true
		}
	}
	return n, false, true
}

// trailersEnd returns where the trailers end; -1: they go on.
func trailersEnd(received []byte) (end int) {
	for {
		line, _, whole := bytes.Cut(received[end:], []byte("\n"))
		if !whole {
			return -1
		}
		end += len(line) + 1
		if len(bytes.TrimSuffix(line, []byte("\r"))) == 0 {
			return end
		}
	}
}
