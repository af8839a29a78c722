// Package framing reads the heads of messages strictly, the same for both sides: what is not well-formed is no
// message, since whoever reads it next may read it otherwise.
package framing

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// Faults of a head.
var (
	ErrLine    = errors.New("a line of the head can't be read")
	ErrTwice   = errors.New("a field is given twice")
	ErrLength  = errors.New("the length can't be read")
	ErrCoding  = errors.New("the coding is not chunked")
	ErrTwoEnds = errors.New("both a length and a coding")
)

// Body tells where a message's body ends.
type Body struct {
	Length  int // -1: none is given
	Chunked bool
}

// plain holds the bytes of a value: no control bytes but the tab.
var plain = func() (set [256]bool) {
	for c := range set {
		set[c] = c >= ' ' && c != 0x7f || c == '\t'
	}
	return set
}()

// token holds the bytes of a field's name.
var token = func() (set [256]bool) {
	for _, c := range "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ" {
		set[c] = true
	}
	return set
}()

// Fields reads the fields of a head, down to its blank line, and hands each to take: its name, its value
// without the blanks around it, and the whole line without its end. Refused are lines without a colon,
// folded ones, blanks before the colon, bare line ends and control bytes, and two ways of telling where
// the body ends.
func Fields(block []byte, take func(name, value, line []byte) error) (body Body, err error) {
	body.Length = -1
	for {
		line, rest, ended := bytes.Cut(block, []byte("\r\n"))
		block = rest
		if !ended {
			return body, ErrLine
		}
		if len(line) == 0 {
			return body, nil
		}
		name, value, isField := bytes.Cut(line, []byte(":"))
		if !isField || !all(name, &token) || len(name) == 0 || !all(value, &plain) {
			return body, ErrLine
		}
		value = bytes.Trim(value, " \t")
		switch {
		case Is(name, "Content-Length"):
			if body.Length >= 0 {
				return body, ErrTwice
			}
			if body.Length, err = length(value); err != nil {
				return body, err
			}
		case Is(name, "Transfer-Encoding"):
			if body.Chunked {
				return body, ErrTwice
			}
			if body.Chunked = bytes.EqualFold(value, []byte("chunked")); !body.Chunked {
				return body, ErrCoding
			}
		}
		if body.Chunked && body.Length >= 0 {
			return body, ErrTwoEnds
		}
		if err := take(name, value, line); err != nil {
			return body, err
		}
	}
}

// Is tells whether a field has this name; case says nothing.
func Is(name []byte, known string) bool {
	return len(name) == len(known) && strings.EqualFold(string(name), known)
}

func all(text []byte, set *[256]bool) bool {
	for _, c := range text {
		if !set[c] {
			return false
		}
	}
	return true
}

// length reads digits only; strconv would take a sign.
func length(value []byte) (int, error) {
	n, err := strconv.ParseUint(string(value), 10, 31)
	if err != nil {
		return 0, ErrLength
	}
	return int(n), nil
}

// Status reads the first line of an answer, without its end.
func Status(line []byte) (code int, ok bool) {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if string(version) != "HTTP/1.1" || !all(rest, &plain) {
		return 0, false
	}
	digits, _, _ := bytes.Cut(rest, []byte(" "))
	n, err := strconv.ParseUint(string(digits), 10, 31)
	return int(n), err == nil && len(digits) == 3 && n >= 100 && n < 600
}

// Origin is a target without the address in front of it, which one may give and all must take.
func Origin(target []byte) []byte {
	const scheme = "http://"
	if len(target) <= len(scheme) || !Is(target[:len(scheme)], scheme) {
		return target
	}
	rest := target[len(scheme):]
	for i, c := range rest {
		if c == '/' && i > 0 {
			return rest[i:]
		}
		if !(token[c] || c == ':' || c == '[' || c == ']') {
			break
		}
	}
	return target
}

// Target tells whether a request's target is a path that all read alike: no other form, no control or foreign
// bytes, no fragment and no step back, plain or escaped.
func Target(target []byte) bool {
	if len(target) == 0 || target[0] != '/' {
		return false
	}
	for _, c := range target {
		if c <= ' ' || c >= 0x7f || c == '#' || c == '\\' {
			return false
		}
	}
	path, _, _ := bytes.Cut(target, []byte("?"))
	for step := range bytes.SplitSeq(path[1:], []byte("/")) {
		plain := bytes.ReplaceAll(bytes.ToLower(step), []byte("%2e"), []byte("."))
		if string(plain) == "." || string(plain) == ".." {
			return false
		}
	}
	return true
}
