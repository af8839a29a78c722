package size

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"os"
	"regexp"
	"slices"
	"strings"
)

// Const is the name of the constant term of a slope.
const Const = "const"

// Variables are the variables that a slope may depend on and that a point may set. A coefficient may also belong to a
// product of them, such as "sidecars*servers".
var Variables = []string{
	"visits_per_s", // of one sidecar
	"sidecars",     // in the fleet, real and hollow (simulated)
	"servers",      // in a sidecar's server list
	"tenants",      // that send requests
	"services",     // in the call graph
	"depth",        // hops of a call
	"failing",      // fraction of the calls that are made to fail
	"factor",       // by which a simulated day was shortened
}

// Conditions holds the conditions of a measurement: a value for each variable that was set.
type Conditions map[string]float64

// Report holds the measurements of one run. `ledgelab scale --json FILE` writes it and `ledgelab capacity` reads it.
type Report struct {
	Run     string      `json:"run"`     // the command with its seed, or for earlier figures the page that they are from
	Commit  string      `json:"commit"`  // of the code that was measured
	Date    string      `json:"date"`    // 2026-12-02
	Seed    uint64      `json:"seed"`    // random seed
	Machine string      `json:"machine"` // cores and memory
	Bound   string      `json:"bound"`   // the limit of the machine that the run reached, or "none"
	Stubs   []string    `json:"stubs"`   // what differed from the shipped program
	Slopes  []Slope     `json:"slopes"`
	Events  []Event     `json:"events"`
	Agree   []Agreement `json:"agree"`
	Claims  []Claim     `json:"claims"`
}

// Slope describes a measured quantity as a linear function of variables.
type Slope struct {
	Name        string             `json:"name"`    // "peers.bytes_out"; names are listed in docs/CAPACITY.md
	Unit        string             `json:"unit"`    // "B/s", "1/s", "core", "us", "MB", "1"
	What        string             `json:"what"`    // one sentence
	Account     string             `json:"account"` // who counted: "receivers'", "the process's rusage", "simulated"
	Source      string             `json:"source,omitempty"`
	Of          []string           `json:"of"`          // the variables it depends on; each must differ between points
	Coefficient map[string]float64 `json:"coefficient"` // by name: Const and each element of Of
	Error       map[string]float64 `json:"error"`       // standard error of each coefficient, in the same unit
	Points      []Point            `json:"points"`
	Largest     *Largest           `json:"largest,omitempty"`
}

// Point is the measurement of one run at one size.
type Point struct {
	At          Conditions `json:"at"`
	Mean        float64    `json:"mean"`                   // over all sidecars, or of the one sidecar that the slope describes
	Most        float64    `json:"most,omitempty"`         // of the most loaded sidecar
	WorstSecond float64    `json:"worst_second,omitempty"` // maximum of any sidecar in one second
	Real        float64    `json:"real,omitempty"`         // mean over the real sidecar processes
}

// Largest compares the prediction for the largest size, recorded before that size was run, with its measurement.
type Largest struct {
	At        Conditions `json:"at"`
	Predicted float64    `json:"predicted"`
	Measured  float64    `json:"measured"`
	Error     float64    `json:"error"` // standard error of the prediction, in the slope's unit
}

// Event holds the duration of something, or how often it happened, at one size.
type Event struct {
	Name    string     `json:"name"` // "list.change_in_force"
	What    string     `json:"what"`
	Account string     `json:"account,omitempty"`
	Source  string     `json:"source,omitempty"`
	At      Conditions `json:"at"`
	Unit    string     `json:"unit"`
	Median  float64    `json:"median"`
	Last    float64    `json:"last"` // value of the last sidecar, or the maximum
	N       int        `json:"n"`    // number of samples
}

// Agreement compares a figure of the hollow sidecars with that of the real sidecars in the same run.
type Agreement struct {
	Name   string  `json:"name"`
	Hollow float64 `json:"hollow"`
	Real   float64 `json:"real"`
	Within float64 `json:"within"` // allowed difference as a fraction of Real
	Holds  bool    `json:"holds"`
}

// Claim is a statement that a run was to confirm.
type Claim struct {
	Claim    string `json:"claim"`
	Aim      string `json:"aim"`
	Measured string `json:"measured"`
	Account  string `json:"account"`
	Holds    bool   `json:"holds"`
}

// Predict returns the slope's value under the given conditions and its standard error, assuming that the errors of
// the coefficients are independent. A variable that the slope depends on and at lacks is an error; it would otherwise
// count as 0.
func (s Slope) Predict(at Conditions) (value, deviation float64, err error) {
	for _, name := range slices.Sorted(maps.Keys(s.Coefficient)) {
		product, err := at.Product(name)
		if err != nil {
			return 0, 0, fmt.Errorf("%s: %w", s.Name, err)
		}
		off := float64(s.Error[name] * product)
		value += float64(s.Coefficient[name] * product) // the conversion prevents fused multiply-add, so that all machines compute the same result
		deviation += float64(off * off)
	}
	return value, math.Sqrt(deviation), nil
}

// Product returns the factor of a coefficient: 1 for Const, otherwise the value of a variable or of a product such as "a*b".
func (at Conditions) Product(coefficient string) (float64, error) {
	if coefficient == Const {
		return 1, nil
	}
	product := 1.0
	for _, name := range strings.Split(coefficient, "*") {
		value, present := at[name]
		if !present {
			return 0, fmt.Errorf("the value of %s is missing", name)
		}
		product *= value
	}
	return product, nil
}

// Range returns the minimum and maximum of a variable over the points; found is false if no point sets it.
func (s Slope) Range(variable string) (minimum, maximum float64, found bool) {
	for _, point := range s.Points {
		value, present := point.At[variable]
		switch {
		case !present:
		case !found:
			minimum, maximum, found = value, value, true
		default:
			minimum, maximum = min(minimum, value), max(maximum, value)
		}
	}
	return minimum, maximum, found
}

// Slope returns the slope with this name.
func (r *Report) Slope(name string) (Slope, bool) {
	i := slices.IndexFunc(r.Slopes, func(s Slope) bool { return s.Name == name })
	if i < 0 {
		return Slope{}, false
	}
	return r.Slopes[i], true
}

// ReadReport reads a report file strictly: an unknown name, a wrong type or an invalid value is an error that gives the
// file, the line and the name. A misspelt name would otherwise leave an outdated figure on the page.
func ReadReport(file string) (*Report, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return DecodeReport(file, text)
}

// DecodeReport decodes and validates a report as ReadReport does; file is used in error messages.
func DecodeReport(file string, text []byte) (*Report, error) {
	report := &Report{}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(report); err != nil {
		return nil, decodeError(file, text, decoder.InputOffset(), err)
	}
	if decoder.More() {
		return nil, fmt.Errorf("%s:%d: (end): more than one report", file, lineAt(text, decoder.InputOffset()))
	}
	if invalid := report.validate(); invalid != nil {
		return nil, fmt.Errorf("%s:%d: %s: %s", file, lineOf(text, invalid.parent, invalid.name), invalid.path(), invalid.reason)
	}
	return report, nil
}

var unknownField = regexp.MustCompile(`unknown field "([^"]*)"`)

// decodeError adds the file, line and name to an error of the JSON decoder.
func decodeError(file string, text []byte, offset int64, err error) error {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return fmt.Errorf("%s:%d: (text): %s", file, lineAt(text, syntax.Offset), syntax)
	case errors.As(err, &kind):
		return fmt.Errorf("%s:%d: %s: is a %s, want a %s", file, lineAt(text, kind.Offset), kind.Field, kind.Value, kind.Type)
	}
	if match := unknownField.FindStringSubmatch(err.Error()); match != nil {
		at := bytes.Index(text, []byte(`"`+match[1]+`"`))
		return fmt.Errorf("%s:%d: %s: no such name", file, lineAt(text, int64(max(at, 0))), match[1])
	}
	return fmt.Errorf("%s:%d: (text): %w", file, lineAt(text, offset), err)
}

// lineAt returns the line number, from 1, of an offset.
func lineAt(text []byte, offset int64) int {
	return 1 + bytes.Count(text[:min(max(offset, 0), int64(len(text)))], []byte("\n"))
}

// lineOf returns the line of a name in the slope, event, comparison or claim called of, or in the report if of is empty.
func lineOf(text []byte, of, name string) int {
	from := 0
	if of != "" {
		named := regexp.MustCompile(`"(name|claim)":\s*` + regexp.QuoteMeta(quoted(of)))
		if match := named.FindIndex(text); match != nil {
			from = match[0]
		}
	}
	if at := bytes.Index(text[from:], []byte(`"`+name+`"`)); at >= 0 {
		return lineAt(text, int64(from+at))
	}
	return lineAt(text, int64(from))
}

func quoted(s string) string {
	b, _ := json.Marshal(s)
	return string(b)
}

// invalidValue describes an invalid value: the slope or event that it belongs to ("" for the report), its name and the reason.
type invalidValue struct{ parent, name, reason string }

func (o *invalidValue) path() string { return strings.TrimPrefix(o.parent+"."+o.name, ".") }

var datePattern = regexp.MustCompile(`^\d{4}-\d{2}-\d{2}$`)

// validate returns the first invalid value of the report, or nil.
func (r *Report) validate() *invalidValue {
	for _, must := range []struct{ name, value string }{{"run", r.Run}, {"commit", r.Commit}, {"machine", r.Machine}, {"bound", r.Bound}} {
		if must.value == "" {
			return &invalidValue{"", must.name, "must be set"}
		}
	}
	if !datePattern.MatchString(r.Date) {
		return &invalidValue{"", "date", fmt.Sprintf("%q is not a date such as \"2026-12-02\"", r.Date)}
	}
	seen := map[string]bool{}
	for _, s := range r.Slopes {
		if s.Name == "" || seen[s.Name] {
			return &invalidValue{s.Name, "name", "is missing or not unique"}
		}
		seen[s.Name] = true
		if invalid := s.validate(); invalid != nil {
			return invalid
		}
	}
	for _, event := range r.Events {
		switch {
		case event.Name == "":
			return &invalidValue{"", "events", "an event has no name"}
		case event.Unit == "":
			return &invalidValue{event.Name, "unit", "must be set"}
		case event.N < 1:
			return &invalidValue{event.Name, "n", "must be at least 1"}
		case event.Median < 0 || event.Last < 0:
			return &invalidValue{event.Name, "last", "is negative, or the median is"}
		case event.Last < event.Median:
			return &invalidValue{event.Name, "last", fmt.Sprintf("%g is less than the median, %g", event.Last, event.Median)}
		}
		if invalid := event.At.validate(event.Name); invalid != nil {
			return invalid
		}
	}
	for _, agreement := range r.Agree {
		off := math.Abs(agreement.Hollow-agreement.Real) > agreement.Within*math.Abs(agreement.Real)
		switch {
		case agreement.Within <= 0 || agreement.Within >= 1:
			return &invalidValue{agreement.Name, "within", fmt.Sprintf("%g is not between 0 and 1", agreement.Within)}
		case agreement.Holds && off:
			return &invalidValue{agreement.Name, "holds", fmt.Sprintf("%g and %g differ by more than %g",
				agreement.Hollow, agreement.Real, agreement.Within)}
		}
	}
	for _, claim := range r.Claims {
		if claim.Claim == "" || claim.Measured == "" {
			return &invalidValue{claim.Claim, "measured", "must be set"}
		}
	}
	return nil
}

func (s Slope) validate() *invalidValue {
	if s.Unit == "" || s.What == "" || s.Account == "" {
		return &invalidValue{s.Name, "unit", "unit, what and account must be set"}
	}
	if len(s.Points) == 0 {
		return &invalidValue{s.Name, "points", "must hold at least one point"}
	}
	for _, point := range s.Points {
		if invalid := point.At.validate(s.Name); invalid != nil {
			return invalid
		}
	}
	for name, value := range s.Coefficient {
		if name != Const && !slices.Contains(s.Of, name) {
			return &invalidValue{s.Name, "coefficient", name + " is not listed in of"}
		}
		if math.IsNaN(value) || math.IsInf(value, 0) {
			return &invalidValue{s.Name, "coefficient", name + " is not a finite number"}
		}
	}
	for name, value := range s.Error {
		if _, present := s.Coefficient[name]; !present {
			return &invalidValue{s.Name, "error", name + " has no coefficient"}
		}
		if !(value >= 0) || math.IsInf(value, 0) {
			return &invalidValue{s.Name, "error", name + " is negative or not a finite number"}
		}
	}
	for _, name := range append([]string{Const}, s.Of...) {
		if _, present := s.Coefficient[name]; !present {
			return &invalidValue{s.Name, "coefficient", name + " is missing"}
		}
		if _, present := s.Error[name]; !present {
			return &invalidValue{s.Name, "error", name + " is missing"}
		}
		if name == Const {
			continue
		}
		for _, variable := range strings.Split(name, "*") {
			if !slices.Contains(Variables, variable) {
				return &invalidValue{s.Name, "of", fmt.Sprintf("%s is not a known variable (%s)", variable, strings.Join(Variables, ", "))}
			}
			least, most, set := s.Range(variable)
			if !set || least == most {
				return &invalidValue{s.Name, "of", fmt.Sprintf("%s has the same value at every point, or none", variable)}
			}
		}
	}
	if s.Largest != nil {
		return s.Largest.At.validate(s.Name)
	}
	return nil
}

func (at Conditions) validate(of string) *invalidValue {
	for name, value := range at {
		if !slices.Contains(Variables, name) {
			return &invalidValue{of, "at", fmt.Sprintf("%s is not a known variable (%s)", name, strings.Join(Variables, ", "))}
		}
		if value < 0 {
			return &invalidValue{of, "at", fmt.Sprintf("%s is negative", name)}
		}
	}
	return nil
}

// Write writes the report to a file as indented JSON. It returns an error, and writes nothing, if ReadReport would reject
// the report.
func (r *Report) Write(file string) error {
	if invalid := r.validate(); invalid != nil {
		return fmt.Errorf("%s: not written: %s: %s", file, invalid.path(), invalid.reason)
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(text, '\n'), 0o644)
}
