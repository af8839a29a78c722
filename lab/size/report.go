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

// Const is the coefficient of a slope that goes with nothing.
const Const = "const"

// Variables are what a slope may go by and a point may be told at. A coefficient may also be of a product, "sidecars*servers".
var Variables = []string{
	"visits_per_s", // of one sidecar
	"sidecars",     // in the fleet, real and hollow
	"servers",      // in the list that a sidecar holds
	"tenants",      // that send
	"services",     // in the call graph
	"depth",        // hops of a call
	"failing",      // part of the calls that fail on purpose
	"factor",       // by which a day was squeezed together
}

// At is where something was measured: a figure for each variable that was set.
type At map[string]float64

// Report is what one run measured, as `ledgelab scale --json FILE` writes it and `ledgelab capacity` reads it.
type Report struct {
	Run     string   `json:"run"`     // the command, with its seed; of earlier figures the page that tells them
	Commit  string   `json:"commit"`  // of the code that was measured
	Date    string   `json:"date"`    // 2026-12-02
	Seed    uint64   `json:"seed"`    // of chance
	Machine string   `json:"machine"` // cores and memory
	Bound   string   `json:"bound"`   // which limit of the machine the run met, or "none"
	Stubs   []string `json:"stubs"`   // what did not run as it does in the shipped program
	Slopes  []Slope  `json:"slopes"`
	Events  []Event  `json:"events"`
	Agree   []Agree  `json:"agree"`
	Claims  []Claim  `json:"claims"`
}

// Slope is a figure as a linear function of variables.
type Slope struct {
	Name        string             `json:"name"`    // "peers.bytes_out"; names are listed in docs/CAPACITY.md
	Unit        string             `json:"unit"`    // "B/s", "1/s", "core", "us", "MB", "1"
	What        string             `json:"what"`    // one sentence
	Account     string             `json:"account"` // by whose account: "receivers'", "the process's rusage", "simulated"
	Source      string             `json:"source,omitempty"`
	Of          []string           `json:"of"`          // the variables it goes by, at most those that points vary
	Coefficient map[string]float64 `json:"coefficient"` // for Const and each of Of
	Error       map[string]float64 `json:"error"`       // standard error of each coefficient, in the same unit
	Points      []Point            `json:"points"`
	Largest     *Largest           `json:"largest,omitempty"`
}

// Point is one size that was run.
type Point struct {
	At          At      `json:"at"`
	Mean        float64 `json:"mean"`                   // over the sidecars, or the one that the slope is about
	Most        float64 `json:"most,omitempty"`         // the most loaded one
	WorstSecond float64 `json:"worst_second,omitempty"` // of any sidecar
	Real        float64 `json:"real,omitempty"`         // mean over the real processes
}

// Largest is the prediction for the largest size, written down before it was run, beside what was measured then.
type Largest struct {
	At        At      `json:"at"`
	Predicted float64 `json:"predicted"`
	Measured  float64 `json:"measured"`
	Error     float64 `json:"error"` // of the prediction, in the slope's unit
}

// Event is how long something took, or how often it happened, at one size.
type Event struct {
	Name    string  `json:"name"` // "list.change_in_force"
	What    string  `json:"what"`
	Account string  `json:"account,omitempty"`
	Source  string  `json:"source,omitempty"`
	At      At      `json:"at"`
	Unit    string  `json:"unit"`
	Median  float64 `json:"median"`
	Last    float64 `json:"last"` // at the last sidecar, or the most of any
	N       int     `json:"n"`    // how many were counted
}

// Agree is a hollow figure beside a real one, of one run.
type Agree struct {
	Name   string  `json:"name"`
	Hollow float64 `json:"hollow"`
	Real   float64 `json:"real"`
	Within float64 `json:"within"` // the part by which they may differ
	Holds  bool    `json:"holds"`
}

// Claim is what a run was to show.
type Claim struct {
	Claim    string `json:"claim"`
	Aim      string `json:"aim"`
	Measured string `json:"measured"`
	Account  string `json:"account"`
	Holds    bool   `json:"holds"`
}

// Predict is the slope's value at a place, and its standard error, the errors of the coefficients taken for independent.
// What a coefficient goes by and the place doesn't tell is an error: a left-out figure would count as none.
func (s Slope) Predict(at At) (value, deviation float64, err error) {
	for _, name := range slices.Sorted(maps.Keys(s.Coefficient)) {
		x, err := at.Product(name)
		if err != nil {
			return 0, 0, fmt.Errorf("%s: %w", s.Name, err)
		}
		off := float64(s.Error[name] * x)
		value += float64(s.Coefficient[name] * x) // the conversions keep a machine from adding up in one step: figures are the same on each
		deviation += float64(off * off)
	}
	return value, math.Sqrt(deviation), nil
}

// Product is what a coefficient is multiplied by: 1 for Const, else a variable or a product of some.
func (at At) Product(of string) (float64, error) {
	if of == Const {
		return 1, nil
	}
	x := 1.0
	for _, name := range strings.Split(of, "*") {
		v, there := at[name]
		if !there {
			return 0, fmt.Errorf("it goes by %s, which is not told", name)
		}
		x *= v
	}
	return x, nil
}

// Range is the least and the most of a variable at which the slope was measured; false if it never was set.
func (s Slope) Range(variable string) (least, most float64, told bool) {
	for _, p := range s.Points {
		x, there := p.At[variable]
		switch {
		case !there:
		case !told:
			least, most, told = x, x, true
		default:
			least, most = min(least, x), max(most, x)
		}
	}
	return least, most, told
}

// Slope finds one by name.
func (r *Report) Slope(name string) (Slope, bool) {
	i := slices.IndexFunc(r.Slopes, func(s Slope) bool { return s.Name == name })
	if i < 0 {
		return Slope{}, false
	}
	return r.Slopes[i], true
}

// ReadReport reads a file of measurements strictly: an unknown name, a wrong type or an impossible value is an error with
// the file, the line and the name. This prevents a figure that stands on the page since it was misspelt in the file.
func ReadReport(file string) (*Report, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return DecodeReport(file, text)
}

// DecodeReport is ReadReport for a text; file is what errors name.
func DecodeReport(file string, text []byte) (*Report, error) {
	r := &Report{}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(r); err != nil {
		return nil, misread(file, text, d.InputOffset(), err)
	}
	if d.More() {
		return nil, fmt.Errorf("%s:%d: (end): more than one report", file, lineAt(text, d.InputOffset()))
	}
	if odd := r.check(); odd != nil {
		return nil, fmt.Errorf("%s:%d: %s: %s", file, lineOf(text, odd.of, odd.name), odd.path(), odd.why)
	}
	return r, nil
}

var unknownField = regexp.MustCompile(`unknown field "([^"]*)"`)

func misread(file string, text []byte, offset int64, err error) error {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return fmt.Errorf("%s:%d: (text): %s", file, lineAt(text, syntax.Offset), syntax)
	case errors.As(err, &kind):
		return fmt.Errorf("%s:%d: %s: is a %s, wanted is a %s", file, lineAt(text, kind.Offset), kind.Field, kind.Value, kind.Type)
	}
	if m := unknownField.FindStringSubmatch(err.Error()); m != nil {
		at := bytes.Index(text, []byte(`"`+m[1]+`"`))
		return fmt.Errorf("%s:%d: %s: no such name", file, lineAt(text, int64(max(at, 0))), m[1])
	}
	return fmt.Errorf("%s:%d: (text): %w", file, lineAt(text, offset), err)
}

func lineAt(text []byte, offset int64) int {
	return 1 + bytes.Count(text[:min(max(offset, 0), int64(len(text)))], []byte("\n"))
}

// lineOf finds a name behind the line in which its slope, event or agreement is named.
func lineOf(text []byte, of, name string) int {
	from := 0
	if of != "" {
		named := regexp.MustCompile(`"(name|claim)":\s*` + regexp.QuoteMeta(quoted(of)))
		if m := named.FindIndex(text); m != nil {
			from = m[0]
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

// oddity is a value that can't be: of which slope or event ("" for the report), which name, why.
type oddity struct{ of, name, why string }

func (o *oddity) path() string { return strings.TrimPrefix(o.of+"."+o.name, ".") }

var day = regexp.MustCompile(`^\d{4}-\d{2}-\d{2}$`)

func (r *Report) check() *oddity {
	for _, must := range []struct{ name, value string }{{"run", r.Run}, {"commit", r.Commit}, {"machine", r.Machine}, {"bound", r.Bound}} {
		if must.value == "" {
			return &oddity{"", must.name, "must be told"}
		}
	}
	if !day.MatchString(r.Date) {
		return &oddity{"", "date", fmt.Sprintf("%q is no day, such as \"2026-12-02\"", r.Date)}
	}
	seen := map[string]bool{}
	for _, s := range r.Slopes {
		if s.Name == "" || seen[s.Name] {
			return &oddity{s.Name, "name", "is told twice, or not at all"}
		}
		seen[s.Name] = true
		if odd := s.check(); odd != nil {
			return odd
		}
	}
	for _, e := range r.Events {
		switch {
		case e.Name == "":
			return &oddity{"", "events", "one has no name"}
		case e.Unit == "":
			return &oddity{e.Name, "unit", "must be told"}
		case e.N < 1:
			return &oddity{e.Name, "n", "counts nothing"}
		case e.Median < 0 || e.Last < 0:
			return &oddity{e.Name, "last", "is below nothing"}
		case e.Last < e.Median:
			return &oddity{e.Name, "last", fmt.Sprintf("%g is less than the median, %g", e.Last, e.Median)}
		}
		if odd := e.At.check(e.Name); odd != nil {
			return odd
		}
	}
	for _, a := range r.Agree {
		off := math.Abs(a.Hollow-a.Real) > a.Within*math.Abs(a.Real)
		switch {
		case a.Within <= 0 || a.Within >= 1:
			return &oddity{a.Name, "within", fmt.Sprintf("%g is no part", a.Within)}
		case a.Holds && off:
			return &oddity{a.Name, "holds", fmt.Sprintf("%g and %g differ by more than %g", a.Hollow, a.Real, a.Within)}
		}
	}
	for _, c := range r.Claims {
		if c.Claim == "" || c.Measured == "" {
			return &oddity{c.Claim, "measured", "must be told"}
		}
	}
	return nil
}

func (s Slope) check() *oddity {
	if s.Unit == "" || s.What == "" || s.Account == "" {
		return &oddity{s.Name, "unit", "unit, what and account must be told"}
	}
	if len(s.Points) == 0 {
		return &oddity{s.Name, "points", "none: a slope without a point was not measured"}
	}
	for _, p := range s.Points {
		if odd := p.At.check(s.Name); odd != nil {
			return odd
		}
	}
	for name, x := range s.Coefficient {
		if name != Const && !slices.Contains(s.Of, name) {
			return &oddity{s.Name, "coefficient", name + " is not among what it goes by"}
		}
		if math.IsNaN(x) || math.IsInf(x, 0) {
			return &oddity{s.Name, "coefficient", name + " is no number"}
		}
	}
	for name, x := range s.Error {
		if _, there := s.Coefficient[name]; !there {
			return &oddity{s.Name, "error", name + " has no coefficient"}
		}
		if !(x >= 0) || math.IsInf(x, 0) {
			return &oddity{s.Name, "error", name + " is below nothing"}
		}
	}
	for _, name := range append([]string{Const}, s.Of...) {
		if _, there := s.Coefficient[name]; !there {
			return &oddity{s.Name, "coefficient", name + " has none"}
		}
		if _, there := s.Error[name]; !there {
			return &oddity{s.Name, "error", name + " has none"}
		}
		if name == Const {
			continue
		}
		for _, variable := range strings.Split(name, "*") {
			if !slices.Contains(Variables, variable) {
				return &oddity{s.Name, "of", fmt.Sprintf("%s is no variable (%s)", variable, strings.Join(Variables, ", "))}
			}
			least, most, told := s.Range(variable)
			if !told || least == most {
				return &oddity{s.Name, "of", fmt.Sprintf("it goes by %s, which no two points differ in", variable)}
			}
		}
	}
	if s.Largest != nil {
		return s.Largest.At.check(s.Name)
	}
	return nil
}

func (at At) check(of string) *oddity {
	for name, x := range at {
		if !slices.Contains(Variables, name) {
			return &oddity{of, "at", fmt.Sprintf("%s is no variable (%s)", name, strings.Join(Variables, ", "))}
		}
		if x < 0 {
			return &oddity{of, "at", fmt.Sprintf("%s is below nothing", name)}
		}
	}
	return nil
}

// Write puts the report into a file, in the form in which it is committed. What ReadReport would refuse is not written.
func (r *Report) Write(file string) error {
	if odd := r.check(); odd != nil {
		return fmt.Errorf("%s: not written: %s: %s", file, odd.path(), odd.why)
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(text, '\n'), 0o644)
}
