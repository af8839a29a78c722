// Package capacity works docs/CAPACITY.md out: from the requirement's file and what runs have measured it reckons for each
// role what it costs at that size and at twice the size, against the budgets, where that breaks, and what breaks first.
// Arithmetic only: the same files give the same page, byte for byte.
package capacity

import (
	"fmt"
	"math"
	"path/filepath"
	"slices"

	"ledgespread/lab/size"
)

// Run is a report of measurements with the number that the page names it by.
type Run struct {
	ID     string // "R1"
	File   string // its base name
	Report *size.Report
}

// Evidence is what was measured. Where several runs have one name, the last that was given counts.
type Evidence struct{ Runs []Run }

// ReadEvidence reads files of measurements, in that order.
func ReadEvidence(files []string) (*Evidence, error) {
	e := &Evidence{}
	for i, file := range files {
		r, err := size.ReadReport(file)
		if err != nil {
			return nil, err
		}
		e.Runs = append(e.Runs, Run{fmt.Sprintf("R%d", i+1), filepath.Base(file), r})
	}
	return e, nil
}

// EarlierFirst sorts files of measurements by name, earlier.json first: what older pages told gives way to what a run has.
func EarlierFirst(files []string) []string {
	files = slices.Sorted(slices.Values(files))
	earlier := func(f string) bool { return filepath.Base(f) == "earlier.json" }
	if i := slices.IndexFunc(files, earlier); i >= 0 {
		first := files[i]
		files = slices.Insert(slices.Delete(files, i, i+1), 0, first)
	}
	return files
}

// Slope finds the slope of a name and the run that measured it.
func (e *Evidence) Slope(name string) (size.Slope, string, bool) {
	for _, run := range slices.Backward(e.Runs) {
		if s, ok := run.Report.Slope(name); ok {
			return s, run.ID, true
		}
	}
	return size.Slope{}, "", false
}

// Event finds the event of a name at the largest number of sidecars in the last run that has it; of several there, by
// different accounts or at different sizes otherwise, the worst counts.
func (e *Evidence) Event(name string) (found size.Event, run string, ok bool) {
	for _, r := range slices.Backward(e.Runs) {
		for _, ev := range r.Report.Events {
			if ev.Name == name && (!ok || ev.At["sidecars"] > found.At["sidecars"] || ev.At["sidecars"] == found.At["sidecars"] && ev.Last > found.Last) {
				found, run, ok = ev, r.ID, true
			}
		}
		if ok {
			return found, run, true
		}
	}
	return found, "", false
}

// Estimate is a figure worked out from slopes: value, standard error, by which runs, and what is missing in it.
type Estimate struct {
	Value, Error float64
	Known        bool     // at least one part was measured
	Missing      []string // parts that were not
	Runs         []string
	Parts        []Part // what it is the sum of
}

// Part is one slope's share of an estimate.
type Part struct {
	Value  float64
	Beyond float64 // by how many times the asked size lies beyond what was measured, above or below; 1: within
}

// weighty is the share of a sum from which on a part that is drawn out marks the sum.
const weighty = 0.01

// Beyond is by how many times the size lies beyond what was measured, of those parts that weigh in the sum.
func (x Estimate) Beyond() float64 {
	beyond := 1.0
	for _, p := range x.Parts {
		if p.Value >= weighty*x.Value {
			beyond = max(beyond, p.Beyond)
		}
	}
	return beyond
}

// Whole tells whether all parts were measured.
func (x Estimate) Whole() bool { return x.Known && len(x.Missing) == 0 }

// Plus is the sum; errors add up as independent ones do.
func (x Estimate) Plus(y Estimate) Estimate {
	z := Estimate{Value: x.Value + y.Value, Error: math.Hypot(x.Error, y.Error), Known: x.Known || y.Known}
	z.Parts = append(append(z.Parts, x.Parts...), y.Parts...)
	z.Missing = append(append(z.Missing, x.Missing...), y.Missing...)
	for _, run := range append(append([]string{}, x.Runs...), y.Runs...) {
		if !slices.Contains(z.Runs, run) {
			z.Runs = append(z.Runs, run)
		}
	}
	slices.Sort(z.Runs)
	return z
}

// Times is the estimate in another unit.
func (x Estimate) Times(k float64) Estimate {
	x.Value, x.Error = float64(x.Value*k), float64(x.Error*k)
	x.Parts = slices.Clone(x.Parts)
	for i := range x.Parts {
		x.Parts[i].Value = float64(x.Parts[i].Value * k)
	}
	return x
}

// Of is the slope of a name at a place. What the slope goes by and the place doesn't tell makes it unmeasured there. A line
// that is drawn out until it falls below nothing says nothing: it counts as not measured there either.
func (e *Evidence) Of(name string, at size.At) Estimate {
	s, run, ok := e.Slope(name)
	if !ok {
		return Estimate{Missing: []string{name}}
	}
	value, deviation, err := s.Predict(at)
	if err != nil || value < -2*deviation {
		return Estimate{Missing: []string{name}}
	}
	x := Estimate{Value: max(value, 0), Error: deviation, Known: true, Runs: []string{run}}
	beyond := 1.0
	for variable, asked := range at {
		// Also of what the slope doesn't go by: that it doesn't was seen in that range only.
		if low, high, told := s.Range(variable); told && high > 0 && asked > 0 {
			beyond = max(beyond, asked/high, low/asked)
		}
	}
	for _, of := range s.Of {
		low, high := math.Inf(1), 0.0
		for _, p := range s.Points {
			if here, err := p.At.Product(of); err == nil {
				low, high = min(low, here), max(high, here)
			}
		}
		if asked, err := at.Product(of); err == nil && high > 0 && asked > 0 {
			beyond = max(beyond, asked/high, low/asked)
		}
	}
	x.Parts = []Part{{x.Value, beyond}}
	return x
}

// Least and Most bound what is looked for when it is asked where something breaks.
const (
	least = 1e-3
	most  = 1e4
)

// Breaks finds the factor at which a figure that is worked out for a factor reaches its budget. none: it stays under it up
// to ten thousand times; always: it is over it already at a thousandth.
func Breaks(of func(factor float64) float64, budget float64) (factor float64, none, always bool) {
	if of(least) > budget {
		return 0, false, true
	}
	if of(most) <= budget {
		return 0, true, false
	}
	low, high := least, most
	for range 200 {
		middle := math.Sqrt(low * high)
		if of(middle) > budget {
			high = middle
		} else {
			low = middle
		}
	}
	return low, false, false
}
