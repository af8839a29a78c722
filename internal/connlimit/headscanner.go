package connlimit

import (
	"bytes"
	"strconv"

	"ledgespread/internal/framing"
)

const (
	maxKeptLine = 256 // bytes that are kept of a line that has not been received whole
	keptEnd     = 16  // of these, the last ones of the line; what matters of a field is at its beginning
)

// headScanner finds the end of a request's head, and what its body is, in bytes that come in pieces. It is lenient: a head
// that it misunderstands is refused by those who parse it.
type headScanner struct {
	lines    int    // whole lines so far, the request line among them
	partial  []byte // of the current line: what has been received, up to maxKeptLine
	cut      bool   // partial lacks a part of the line
	length   int    // Content-Length; 0: there is none
	chunked  bool
	expects  bool // the server lets its client send the body, and the fields are dropped then
	expected bool // an Expect field has been read
	http11   bool // by the request line; before HTTP/1.1 a client can't wait for an answer
	unclear  bool // the length can't be read
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
		} else {
			s.http11 = bytes.HasSuffix(line, []byte(" HTTP/1.1"))
		}
		s.partial, s.cut = nil, false
	}
	return -1
}

// keep adds bytes to the current line. Of a line that is too long it keeps the beginning and the last bytes.
func (s *headScanner) keep(received []byte) {
	room := maxKeptLine - len(s.partial)
	kept := append(s.partial[:len(s.partial):len(s.partial)], received[:min(len(received), room)]...) // a copy: scanners are copied
	if len(received) > room {
		last := append(bytes.Clone(kept[maxKeptLine-keptEnd:]), received[room:]...)
		kept = append(kept[:maxKeptLine-keptEnd:maxKeptLine-keptEnd], last[len(last)-keptEnd:]...)
		s.cut = true
	}
	s.partial = kept
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
	case framing.NameEquals(name, "Expect") && !s.expected: // the server heeds the first one
		s.expected, s.expects = true, s.http11 && !s.cut && bytes.EqualFold(value, []byte("100-continue"))
	}
}

// fields returns how many fields the head has so far.
func (s *headScanner) fields() int { return s.lines - 1 }
