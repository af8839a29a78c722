// Package framing parses the headers of HTTP/1.1 messages strictly, for requests and responses alike. It
// rejects whatever another HTTP implementation on the path might interpret differently, as this allows
// request smuggling.
package framing

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// Errors of a header.
var (
	ErrMalformedLine     = errors.New("a line of the head can't be read")
	ErrDuplicateField    = errors.New("a field is given twice")
	ErrMalformedLength   = errors.New("the length can't be read")
	ErrUnsupportedCoding = errors.New("the coding is not chunked")
	ErrLengthAndCoding   = errors.New("both a length and a coding")
)

// Body describes how the end of a message's body is determined.
type Body struct {
	Length  int // -1: no Content-Length
	Chunked bool
}

// valueBytes are the bytes allowed in a field value: no control characters but the tab.
var valueBytes = func() (set [256]bool) {
	for c := range set {
		set[c] = c >= ' ' && c != 0x7f || c == '\t'
	}
	return set
}()

// tokenBytes are the bytes allowed in a field name.
var tokenBytes = func() (set [256]bool) {
	for _, c := range "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ" {
		set[c] = true
	}
	return set
}()

// ParseFields parses the header fields in block, up to and including the blank line. For each it calls take with
// the name, the value without surrounding blanks, and the whole line without CRLF; an error of take ends the
// parsing. It rejects lines without a colon, folded lines, blanks before the colon, line ends other than
// CRLF, control characters, and ambiguous body lengths: a repeated Content-Length or Transfer-Encoding, or
// both.
func ParseFields(block []byte, take func(name, value, line []byte) error) (body Body, err error) {
	body.Length = -1
	for {
		line, rest, ended := bytes.Cut(block, []byte("\r\n"))
		block = rest
		if !ended {
			return body, ErrMalformedLine
		}
		if len(line) == 0 {
			return body, nil
		}
		name, value, isField := bytes.Cut(line, []byte(":"))
		if !isField || !containsOnly(name, &tokenBytes) || len(name) == 0 || !containsOnly(value, &valueBytes) {
			return body, ErrMalformedLine
		}
		value = bytes.Trim(value, " \t")
		switch {
		case NameEquals(name, "Content-Length"):
			if body.Length >= 0 {
				return body, ErrDuplicateField
			}
			if body.Length, err = parseLength(value); err != nil {
				return body, err
			}
		case NameEquals(name, "Transfer-Encoding"):
			if body.Chunked {
				return body, ErrDuplicateField
			}
			if body.Chunked = bytes.EqualFold(value, []byte("chunked")); !body.Chunked {
				return body, ErrUnsupportedCoding
			}
		}
		if body.Chunked && body.Length >= 0 {
			return body, ErrLengthAndCoding
		}
		if err := take(name, value, line); err != nil {
			return body, err
		}
	}
}

// NameEquals reports whether a field name equals the known name, ignoring case.
func NameEquals(name []byte, known string) bool {
	return len(name) == len(known) && strings.EqualFold(string(name), known)
}

// IsTokenByte reports whether a byte is allowed in a field name.
func IsTokenByte(char byte) bool { return tokenBytes[char] }

// IsValueByte reports whether a byte is allowed in a field value.
func IsValueByte(char byte) bool { return valueBytes[char] }

// containsOnly reports whether all bytes of the text are in the set.
func containsOnly(text []byte, set *[256]bool) bool {
	for _, c := range text {
		if !set[c] {
			return false
		}
	}
	return true
}

// parseLength parses a Content-Length, which may have only digits: ParseUint rejects the sign that ParseInt
// accepts.
func parseLength(value []byte) (int, error) {
	n, err := strconv.ParseUint(string(value), 10, 31)
	if err != nil {
		return 0, ErrMalformedLength
	}
	return int(n), nil
}

// ParseStatusLine parses the status line of a response, without CRLF. ok is false if it is malformed or not of
// HTTP/1.1.
func ParseStatusLine(line []byte) (code int, ok bool) {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if string(version) != "HTTP/1.1" || !containsOnly(rest, &valueBytes) {
		return 0, false
	}
	digits, _, _ := bytes.Cut(rest, []byte(" "))
	n, err := strconv.ParseUint(string(digits), 10, 31)
	return int(n), err == nil && len(digits) == 3 && n >= 100 && n < 600
}

// OriginForm converts a request target in absolute form (http://host/path), which every HTTP/1.1 server must
// accept, to origin form (/path). It returns any other target unchanged.
func OriginForm(target []byte) []byte {
	const scheme = "http://"
	if len(target) <= len(scheme) || !NameEquals(target[:len(scheme)], scheme) {
		return target
	}
	rest := target[len(scheme):]
	for i, c := range rest {
		if c == '/' && i > 0 {
			return rest[i:]
		}
		if !(tokenBytes[c] || c == ':' || c == '[' || c == ']') {
			break
		}
	}
	return target
}

// ValidTarget reports whether a request target is a path that every HTTP implementation interprets in the same
// way: in origin form, with printable ASCII bytes only, without a fragment or a backslash, and without "." or
// ".." segments, plain or percent-encoded.
func ValidTarget(target []byte) bool {
	if len(target) == 0 || target[0] != '/' {
		return false
	}
	for _, c := range target {
		if c <= ' ' || c >= 0x7f || c == '#' || c == '\\' {
			return false
		}
	}
	path, _, _ := bytes.Cut(target, []byte("?"))
	for segment := range bytes.SplitSeq(path[1:], []byte("/")) {
		decoded := bytes.ReplaceAll(bytes.ToLower(segment), []byte("%2e"), []byte("."))
		if string(decoded) == "." || string(decoded) == ".." {
			return false
		}
	}
	return true
}
