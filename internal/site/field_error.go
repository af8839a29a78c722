package site

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// FieldError is the error for one missing or invalid value of a configuration file.
type FieldError struct {
	Name string // dotted path in the file, such as "settings.path_prefixes.0.value"
	Err  error  // the reason; its text contains the name too
}

func (e *FieldError) Error() string { return e.Err.Error() }
func (e *FieldError) Unwrap() error { return e.Err }

// fieldErrorf returns a FieldError for the named value, with a formatted reason.
func fieldErrorf(name, format string, args ...any) error {
	return &FieldError{name, fmt.Errorf(format, args...)}
}

// WithPosition prefixes err with the file and the line of text that caused it: "file:line: reason". err is an error of
// Parse, or of starting a sidecar with the parsed configuration. For a missing value the line is that of the
// innermost enclosing object that exists.
func WithPosition(file string, text []byte, err error) error {
	offset := 0
	var fieldErr *FieldError
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &fieldErr):
		offset = valueOffset(text, strings.Split(fieldErr.Name, "."))
	case errors.As(err, &syntaxErr):
		offset = int(syntaxErr.Offset)
	case errors.As(err, &typeErr):
		offset = int(typeErr.Offset)
	}
	return fmt.Errorf("%s:%d: %w", file, 1+bytes.Count(text[:min(offset, len(text))], []byte("\n")), err)
}

// valueOffset returns the byte offset in a JSON text of the value at the given path, or of the innermost
// existing value on that path. The text must be valid JSON.
func valueOffset(text []byte, path []string) (offset int) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	opening, err := decoder.Token()
	for i := 0; err == nil && len(path) > 0 && decoder.More(); i++ {
		element := strconv.Itoa(i)
		if opening == json.Delim('{') {
			key, tokenErr := decoder.Token()
			if element, err = fmt.Sprint(key), tokenErr; err != nil {
				break
			}
		} else if opening != json.Delim('[') {
			break
		}
		if element == path[0] {
			for offset = int(decoder.InputOffset()); offset < len(text) && bytes.IndexByte([]byte(" \t\r\n:,"), text[offset]) >= 0; {
				offset++
			}
			var inner json.RawMessage
			if decoder.Decode(&inner) != nil || len(path) == 1 {
				return offset
			}
			return offset + valueOffset(inner, path[1:])
		}
		var skipped json.RawMessage
		err = decoder.Decode(&skipped)
	}
	return offset
}
