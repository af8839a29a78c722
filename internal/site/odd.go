package site

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Odd is what is wrong with one thing that a configuration says, or lacks.
type Odd struct {
	Name string // as in the file: "settings.path_prefixes.0.value"
	Err  error  // names it as well
}

func (o *Odd) Error() string { return o.Err.Error() }
func (o *Odd) Unwrap() error { return o.Err }

func odd(name, format string, a ...any) error { return &Odd{name, fmt.Errorf(format, a...)} }

// In says in which line of a file's text an error of Parse, or of a start with it, has its cause: "file:line: reason". Of what is
// missing, that is the line of the innermost thing around it.
func In(file string, text []byte, err error) error {
	offset := 0
	var o *Odd
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &o):
		offset = where(text, strings.Split(o.Name, "."))
	case errors.As(err, &syntax):
		offset = int(syntax.Offset)
	case errors.As(err, &kind):
		offset = int(kind.Offset)
	}
	return fmt.Errorf("%s:%d: %w", file, 1+bytes.Count(text[:min(offset, len(text))], []byte("\n")), err)
}

// where tells at which byte of a JSON text a value stands, or the innermost one around it that is there. The text is well-formed.
func where(text []byte, name []string) (offset int) {
	d := json.NewDecoder(bytes.NewReader(text))
	opened, err := d.Token()
	for i := 0; err == nil && len(name) > 0 && d.More(); i++ {
		this := strconv.Itoa(i)
		if opened == json.Delim('{') {
			key, broken := d.Token()
			if this, err = fmt.Sprint(key), broken; err != nil {
				break
			}
		} else if opened != json.Delim('[') {
			break
		}
		if this == name[0] {
			for offset = int(d.InputOffset()); offset < len(text) && bytes.IndexByte([]byte(" \t\r\n:,"), text[offset]) >= 0; {
				offset++
			}
			var inner json.RawMessage
			if d.Decode(&inner) != nil || len(name) == 1 {
				return offset
			}
			return offset + where(inner, name[1:])
		}
		var other json.RawMessage
		err = d.Decode(&other)
	}
	return offset
}
