// Package strict reads TOML files of which nothing may be misread: an unknown name, a wrong type, a bare number where a
// unit belongs, a value that can't be is an error with the file, the line and the name. Guards against a file that does
// nothing since a word in it was misspelt. The lab's scenarios and the sidecar's extensions are read by it.
package strict

import (
	"bytes"
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Span reads a duration such as "150ms", in whole microseconds.
func Span(text []byte) (micros int64, err error) {
	d, err := time.ParseDuration(string(text))
	if err != nil || d < 0 || d%time.Microsecond != 0 {
		return 0, fmt.Errorf("%q is no duration in whole microseconds, such as \"150ms\"", text)
	}
	return d.Microseconds(), nil
}

// Rate reads a number a second, such as "260/s"; "90/m" counts by the minute.
func Rate(text []byte) (float64, error) {
	number, unit, _ := strings.Cut(string(text), "/")
	per := map[string]float64{"s": 1, "m": 60, "ms": 0.001}[unit]
	x, err := strconv.ParseFloat(number, 64)
	if err != nil || per == 0 || !(x >= 0) || x > 1e9 {
		return 0, fmt.Errorf("%q is no rate, such as \"260/s\"", text)
	}
	return x / per, nil
}

// Renamed is a file some names of which have changed: by the old one, the new one.
type Renamed interface{ Renamed() map[string]string }

// Decode reads a text over what is there already. What has a unit is a type that reads its own text.
func Decode(file string, text []byte, into any) error {
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	var unknown *toml.StrictMissingError
	var malformed *toml.DecodeError
	switch {
	case errors.As(err, &unknown):
		first := unknown.Errors[0]
		row, _ := first.Position()
		why := "no such name"
		if r, ok := into.(Renamed); ok && len(first.Key()) > 0 && r.Renamed()[first.Key()[len(first.Key())-1]] != "" {
			why = "is called " + r.Renamed()[first.Key()[len(first.Key())-1]] + " now"
		}
		return fmt.Errorf("%s:%d: %s: %s", file, row, strings.Join(first.Key(), "."), why)
	case errors.As(err, &malformed):
		row, _ := malformed.Position()
		return fmt.Errorf("%s:%d: %s: %s", file, row, strings.Join(malformed.Key(), "."), strings.TrimPrefix(malformed.Error(), "toml: "))
	case err != nil:
		return fmt.Errorf("%s: %w", file, err)
	}
	var raw map[string]any
	if err := toml.Unmarshal(text, &raw); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	if odd := united(reflect.TypeOf(into).Elem(), raw, "", 0); odd != nil {
		return odd.In(file, text)
	}
	return nil
}

// united checks that what has a unit is given with one. Guards against a bare 5 that would be read as 5 µs.
func united(in reflect.Type, raw map[string]any, table string, at int) *Oddity {
	for i := range in.NumField() {
		field := in.Field(i)
		name := field.Tag.Get("toml")
		value, there := raw[name]
		under := strings.TrimPrefix(table+"."+name, ".")
		if !there {
			continue
		}
		if reflect.PointerTo(field.Type).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
			if _, text := value.(string); !text {
				return &Oddity{table, at, name, fmt.Sprintf("%v is without a unit", value)}
			}
		}
		kind := field.Type
		if kind.Kind() == reflect.Pointer {
			kind = kind.Elem()
		}
		if sub, ok := value.(map[string]any); ok && kind.Kind() == reflect.Struct {
			if odd := united(kind, sub, under, 0); odd != nil {
				return odd
			}
		}
		if list, ok := value.([]any); ok && kind.Kind() == reflect.Slice && kind.Elem().Kind() == reflect.Struct {
			for k, one := range list {
				if sub, ok := one.(map[string]any); ok {
					if odd := united(kind.Elem(), sub, under, k); odd != nil {
						return odd
					}
				}
			}
		}
	}
	return nil
}

// Oddity is a value that can't be: of which table, which of the tables of that name, which name, and why.
type Oddity struct {
	Table string
	At    int
	Name  string
	Why   string
}

func (o *Oddity) Path() string  { return strings.TrimPrefix(o.Table+"."+o.Name, ".") }
func (o *Oddity) Error() string { return o.Path() + ": " + o.Why }

// In tells it with the file and the line.
func (o *Oddity) In(file string, text []byte) error {
	return fmt.Errorf("%s:%d: %w", file, Line(text, o.Table, o.At, o.Name), o)
}

// Line finds where a name stands, or its table where it is missing.
func Line(text []byte, table string, at int, name string) int {
	heading := regexp.MustCompile(`^\s*\[\[?([a-z_.]+)\]`)
	here, seen, in := 1, -1, table == ""
	for i, line := range strings.Split(string(text), "\n") {
		if m := heading.FindStringSubmatch(line); m != nil {
			if in = m[1] == table; in {
				if seen++; seen == at {
					here = i + 1
				}
			}
			in = in && seen == at
		} else if key, _, ok := strings.Cut(line, "="); ok && in && strings.TrimSpace(key) == name {
			return i + 1
		}
	}
	return here
}
