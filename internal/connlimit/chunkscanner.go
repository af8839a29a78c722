package connlimit

import (
	"bytes"
	"errors"

	"ledgespread/internal/framing"
)

// chunkPart is a part of a body in chunks.
type chunkPart uint8

const (
	chunkSize        chunkPart = iota // the digits of a chunk's size
	chunkExtension                    // the rest of that line
	chunkData                         // what a chunk holds, and the line end behind it
	trailers                          // the beginning of a line behind the last chunk
	trailerName                       // of a trailer field
	trailerValue                      // of a trailer field
	trailerLineEnd                    // the last byte of a trailer field's line
	trailersBlankEnd                  // the last byte of the blank line that ends the body
)

const (
	lineEndBytes    = len("\r\n")
	maxChunk        = 1 << 40  // bytes; fasthttp refuses shorter ones
	maxTrailerBytes = 16 << 10 // of all trailer fields together, as long as a head may be
)

var (
	errMalformedTrailer = errors.New("what follows the last chunk can't be read")
	errLongTrailers     = errors.New("what follows the last chunk is too long")
)

// chunkScanner finds the end of a body in chunks, and its trailer fields, in bytes that come in pieces. It is lenient with
// chunks, which the HTTP server reads as well, but strict with trailer fields, which nobody else sees.
type chunkScanner struct {
	part         chunkPart
	hasDigits    bool // the current chunk's size has a digit
	left         int  // the current chunk's size as far as it has been read; in chunkData the bytes that are left of it
	trailerBytes int  // of the trailer fields so far
}

// next returns how many of the received bytes belong to the body, without trailer fields, and whether it ends behind them.
// ok is false if they can't be understood.
func (s *chunkScanner) next(received []byte) (n int, ended, ok bool) {
	for n < len(received) && !ended {
		switch s.part {
		case chunkSize:
			size := received[n:]
			if length := s.readSize(size); length < 0 {
				return n, false, false
			} else if n += length; length < len(size) {
				s.part = chunkExtension
			}
		case chunkExtension:
			lineEnd := bytes.IndexByte(received[n:], '\n')
			if lineEnd < 0 {
				return len(received), false, true
			}
			n += lineEnd + 1
			s.endSizeLine()
		case chunkData:
			length := min(s.left, len(received)-n)
			n += length
			if s.left -= length; s.left == 0 {
				*s = chunkScanner{}
			}
		case trailers:
			if received[n] != '\r' {
				return n, false, true // a trailer field, see skipTrailers
			}
			s.part = trailersBlankEnd
			n++
		case trailersBlankEnd:
			if received[n] != '\n' {
				return n, false, false
			}
			n, ended = n+1, true
		default: // in a trailer field
			return n, false, true
		}
	}
	return n, ended, true
}

// readSize reads the digits of a chunk's size, and returns how many there are; -1: it can't be understood.
func (s *chunkScanner) readSize(received []byte) (length int) {
	for _, char := range received {
		digit, ok := hexDigit(char)
		if !ok {
			break
		}
		length++
		s.hasDigits = true
		if s.left = s.left<<4 | digit; s.left > maxChunk {
			return -1
		}
	}
	if !s.hasDigits {
		return -1
	}
	return length
}

// endSizeLine goes on behind the line of a chunk's size.
func (s *chunkScanner) endSizeLine() {
	if s.left == 0 {
		s.part = trailers
		return
	}
	s.part = chunkData
	s.left += lineEndBytes
}

// skipTrailers returns how many of the received bytes are trailer fields. They need not be sent on (RFC 9110, section
// 6.5.1), and the HTTP server would keep each of them.
func (s *chunkScanner) skipTrailers(received []byte) (n int, err error) {
	for _, char := range received {
		next, ok := s.nextInTrailers(char)
		switch {
		case !ok:
			return n, errMalformedTrailer
		case next == trailersBlankEnd:
			return n, nil
		case s.trailerBytes == maxTrailerBytes:
			return n, errLongTrailers
		}
		s.part = next
		s.trailerBytes++
		n++
	}
	return n, nil
}

// nextInTrailers returns the part that follows a byte of the trailer fields. ok is false if it doesn't belong there.
func (s *chunkScanner) nextInTrailers(char byte) (next chunkPart, ok bool) {
	switch s.part {
	case trailers:
		if char == '\r' {
			return trailersBlankEnd, true
		}
		return trailerName, framing.IsTokenByte(char)
	case trailerName:
		if char == ':' {
			return trailerValue, true
		}
		return trailerName, framing.IsTokenByte(char)
	case trailerValue:
		if char == '\r' {
			return trailerLineEnd, true
		}
		return trailerValue, framing.IsValueByte(char)
	default:
		return trailers, char == '\n'
	}
}

// inTrailers reports whether the last chunk has been read, and the blank line behind the trailer fields hasn't begun.
func (s *chunkScanner) inTrailers() bool { return s.part >= trailers && s.part < trailersBlankEnd }

func hexDigit(char byte) (value int, ok bool) {
	switch {
	case '0' <= char && char <= '9':
		return int(char - '0'), true
	case 'a' <= char && char <= 'f':
		return int(char-'a') + 10, true
	case 'A' <= char && char <= 'F':
		return int(char-'A') + 10, true
	}
	return 0, false
}
