// Package strict decodes TOML files and rejects whatever could be misread: an unknown name, a wrong type, a number
// without its unit or an impossible value is an error that gives the file, the line and the name. A misspelt name would
// otherwise be ignored without notice. The lab's scenarios and the sidecar's extensions are read with it.
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

// ParseMicros parses a duration such as "150ms" and returns it in microseconds. Negative durations and fractions of a
// microsecond are errors.
func ParseMicros(text []byte) (micros int64, err error) {
	d, err := time.ParseDuration(string(text))
	if err != nil || d < 0 || d%time.Microsecond != 0 {
		return 0, fmt.Errorf("%q is no duration in whole microseconds, such as \"150ms\"", text)
	}
	return d.Microseconds(), nil
}

// ParsePerSecond parses a rate such as "260/s", "90/m" (per minute) or "2/ms" and returns it per second.
func ParsePerSecond(text []byte) (float64, error) {
	number, unit, _ := strings.Cut(string(text), "/")
	unitSeconds := map[string]float64{"s": 1, "m": 60, "ms": 0.001}[unit]
	value, err := strconv.ParseFloat(number, 64)
	if err != nil || unitSeconds == 0 || !(value >= 0) || value > 1e9 {
		return 0, fmt.Errorf("%q is no rate, such as \"260/s\"", text)
	}
	return value / unitSeconds, nil
}

// Renamed is implemented by types some of whose TOML names have changed. The map leads from the old name to the new
// one; Decode names the new one in its error.
type Renamed interface{ Renamed() map[string]string }

// Decode decodes the text of a file into a pointer to a struct and keeps the values of fields that the text doesn't
// set. A field with a unit must have a type that implements encoding.TextUnmarshaler, and a string in the file.
func Decode(file string, text []byte, into any) error {
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	var unknown *toml.StrictMissingError
	var malformed *toml.DecodeError
	switch {
	case errors.As(err, &unknown):
		first := unknown.Errors[0]
		line, _ := first.Position()
		reason := "no such name"
		if renamed, ok := into.(Renamed); ok && len(first.Key()) > 0 && renamed.Renamed()[first.Key()[len(first.Key())-1]] != "" {
			reason = "is called " + renamed.Renamed()[first.Key()[len(first.Key())-1]] + " now"
		}
		return fmt.Errorf("%s:%d: %s: %s", file, line, strings.Join(first.Key(), "."), reason)
	case errors.As(err, &malformed):
		line, _ := malformed.Position()
		return fmt.Errorf("%s:%d: %s: %s", file, line, strings.Join(malformed.Key(), "."), strings.TrimPrefix(malformed.Error(), "toml: "))
	case err != nil:
		return fmt.Errorf("%s: %w", file, err)
	}
	var raw map[string]any
	if err := toml.Unmarshal(text, &raw); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	if fieldErr := checkUnits(reflect.TypeOf(into).Elem(), raw, "", 0); fieldErr != nil {
		return fieldErr.WithPosition(file, text)
	}
	return nil
}

// checkUnits checks that a field with a unit is given as a string: the number 5 alone would be read as 5 µs. It descends
// into sub-tables; table and index locate the table that raw was decoded from.
func checkUnits(structType reflect.Type, raw map[string]any, table string, index int) *FieldError {
	for i := range structType.NumField() {
		field := structType.Field(i)
		name := field.Tag.Get("toml")
		value, present := raw[name]
		path := strings.TrimPrefix(table+"."+name, ".")
		if !present {
			continue
		}
		if reflect.PointerTo(field.Type).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
			if _, isText := value.(string); !isText {
				return &FieldError{table, index, name, fmt.Sprintf("%v is without a unit", value)}
			}
		}
		fieldType := field.Type
		if fieldType.Kind() == reflect.Pointer {
			fieldType = fieldType.Elem()
		}
		if subTable, ok := value.(map[string]any); ok && fieldType.Kind() == reflect.Struct {
			if fieldErr := checkUnits(fieldType, subTable, path, 0); fieldErr != nil {
				return fieldErr
			}
		}
		if list, ok := value.([]any); ok && fieldType.Kind() == reflect.Slice && fieldType.Elem().Kind() == reflect.Struct {
			for itemIndex, item := range list {
				if subTable, ok := item.(map[string]any); ok {
					if fieldErr := checkUnits(fieldType.Elem(), subTable, path, itemIndex); fieldErr != nil {
						return fieldErr
					}
				}
			}
		}
	}
	return nil
}

// FieldError is the error for an invalid field of a TOML file.
type FieldError struct {
	Table      string // dotted name of the table; empty: the top level
	TableIndex int    // index among the tables of that name, if it is an array of tables
	Name       string
	Reason     string // what is wrong with the value
}

// Path returns the dotted name of the field.
func (o *FieldError) Path() string { return strings.TrimPrefix(o.Table+"."+o.Name, ".") }

// Error implements the error interface.
func (o *FieldError) Error() string { return o.Path() + ": " + o.Reason }

// WithPosition wraps the error with the file name and the line of the field in the file's text.
func (o *FieldError) WithPosition(file string, text []byte) error {
	return fmt.Errorf("%s:%d: %w", file, FindLine(text, o.Table, o.TableIndex, o.Name), o)
}

// FindLine returns the line number, from 1, of a name in the table at this index among those of its name. If the name is
// missing, it is the line of the table's heading.
func FindLine(text []byte, table string, index int, name string) int {
	heading := regexp.MustCompile(`^\s*\[\[?([a-z_.]+)\]`)
	tableLine, tableIndex, inTable := 1, -1, table == ""
	for i, line := range strings.Split(string(text), "\n") {
		if match := heading.FindStringSubmatch(line); match != nil {
			if inTable = match[1] == table; inTable {
				if tableIndex++; tableIndex == index {
					tableLine = i + 1
				}
			}
			inTable = inTable && tableIndex == index
		} else if key, _, ok := strings.Cut(line, "="); ok && inTable && strings.TrimSpace(key) == name {
			return i + 1
		}
	}
	return tableLine
}
