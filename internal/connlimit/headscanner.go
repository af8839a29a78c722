package connlimit

import (
	"bytes"
	"strconv"

	"ledgespread/internal/framing"
)

// maxKeptLine is how much is kept of a line that has not been received whole. What matters is at its beginning.
const maxKeptLine = 256

// headScanner finds the end of a request's head, and what its body is, in bytes that come in pieces. It is lenient: a head
// that it misunderstands is refused by those who parse it.
type headScanner struct {
	lines   int    // whole lines so far, the request line among them
	partial []byte // of the current line: what has been received, up to maxKeptLine
	cut     bool   // partial lacks a part of the line
	length  int    // Content-Length; 0: there is none
	chunked bool
	unclear bool // the length can't be read
}

// scan reads the next bytes, and returns where the head ends in them; -1: it goes on.
func (s *headScanner) scan(received []byte) (end int) {
	for at := 0; at < len(received); {
		newline := bytes.IndexByte(received[at:], '\n')
		if newline < 0 {
			s.keep(received[at:])
			return -1
		}
		line := received[at : at+newline]
		if at += newline + 1; len(s.partial) > 0 {
			s.keep(line)
			line = s.partial
		}
		if line = bytes.TrimSuffix(line, []byte("\r")); len(line) == 0 {
			return at
		}
		if s.lines++; s.lines > 1 {
			s.readField(line)
		}
		s.partial, s.cut = nil, false
	}
	return -1
}

// keep adds bytes to the current line.
func (s *headScanner) keep(received []byte) {
	room := maxKeptLine - len(s.partial)
	s.cut = s.cut || len(received) > room
	s.partial = append(s.partial[:len(s.partial):len(s.partial)], received[:min(len(received), room)]...) // a copy: scanners are copied
}

func (s *headScanner) readField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.Trim(value, " \t")
	switch {
	case framing.NameEquals(name, "Content-Length"):
		length, err := strconv.ParseUint(string(value), 10, 31)
		s.length, s.unclear = int(length), s.unclear || err != nil || s.cut
	case framing.NameEquals(name, "Transfer-Encoding"):
		s.chunked = true
	}
}
