// Package capacity computes the tables of docs/CAPACITY.md. From the requirement file and the measurements of runs it
// computes for each role the cost at the required size and at a larger one, compares it with the budgets, finds the size at
// which a budget is exceeded, and ranks what fails first. The same files give the same page, byte for byte.
package capacity

import (
	"fmt"
	"math"
	"path/filepath"
	"slices"

	"ledgespread/lab/size"
)

// Run is a report of measurements with the identifier that the page uses for it.
type Run struct {
	ID     string // "R1"
	File   string // base name of the file
	Report *size.Report
}

// Evidence holds the measurements of several runs. If several runs measured the same name, the last run takes precedence.
type Evidence struct{ Runs []Run }

// ReadEvidence reads report files, in order of increasing precedence.
func ReadEvidence(files []string) (*Evidence, error) {
	evidence := &Evidence{}
	for i, file := range files {
		report, err := size.ReadReport(file)
		if err != nil {
			return nil, err
		}
		evidence.Runs = append(evidence.Runs, Run{fmt.Sprintf("R%d", i+1), filepath.Base(file), report})
	}
	return evidence, nil
}

// EarlierFirst sorts report files by name, with earlier.json first, so that any run takes precedence over figures from
// older pages.
func EarlierFirst(files []string) []string {
	files = slices.Sorted(slices.Values(files))
	earlier := func(f string) bool { return filepath.Base(f) == "earlier.json" }
	if i := slices.IndexFunc(files, earlier); i >= 0 {
		first := files[i]
		files = slices.Insert(slices.Delete(files, i, i+1), 0, first)
	}
	return files
}

// Slope returns the slope with this name and the ID of the run that measured it.
func (e *Evidence) Slope(name string) (size.Slope, string, bool) {
	for _, run := range slices.Backward(e.Runs) {
		if s, ok := run.Report.Slope(name); ok {
			return s, run.ID, true
		}
	}
	return size.Slope{}, "", false
}

// Event returns the event with this name from the last run that has it. If that run has several, it returns the one with
// the most sidecars and, among those, the one with the largest Last value.
func (e *Evidence) Event(name string) (found size.Event, run string, ok bool) {
	for _, measured := range slices.Backward(e.Runs) {
		for _, event := range measured.Report.Events {
			if event.Name == name && (!ok || event.At["sidecars"] > found.At["sidecars"] || event.At["sidecars"] == found.At["sidecars"] && event.Last > found.Last) {
				found, run, ok = event, measured.ID, true
			}
		}
		if ok {
			return found, run, true
		}
	}
	return found, "", false
}

// Estimate is a value computed from slopes, with its standard error, the runs that it is based on and the slopes that are
// missing.
type Estimate struct {
	Value, Error float64
	Known        bool     // at least one summand was measured
	Missing      []string // names of the slopes that were not measured
	Runs         []string
	Parts        []Part // the summands
}

// Part is the contribution of one slope to an estimate.
type Part struct {
	Value         float64
	Extrapolation float64 // extrapolation factor: how many times outside the measured range the size is; 1: inside
}

// significantFraction is the minimum fraction of a sum at which an extrapolated part marks the whole sum as extrapolated.
const significantFraction = 0.01

// Extrapolation returns the largest extrapolation factor of the parts that are a significant fraction of the sum.
func (e Estimate) Extrapolation() float64 {
	beyond := 1.0
	for _, part := range e.Parts {
		if part.Value >= significantFraction*e.Value {
			beyond = max(beyond, part.Extrapolation)
		}
	}
	return beyond
}

// Complete reports whether all parts were measured.
func (e Estimate) Complete() bool { return e.Known && len(e.Missing) == 0 }

// Add returns the sum of two estimates. Their errors are combined as independent errors.
func (e Estimate) Add(other Estimate) Estimate {
	sum := Estimate{Value: e.Value + other.Value, Error: math.Hypot(e.Error, other.Error), Known: e.Known || other.Known}
	sum.Parts = append(append(sum.Parts, e.Parts...), other.Parts...)
	sum.Missing = append(append(sum.Missing, e.Missing...), other.Missing...)
	for _, run := range append(append([]string{}, e.Runs...), other.Runs...) {
		if !slices.Contains(sum.Runs, run) {
			sum.Runs = append(sum.Runs, run)
		}
	}
	slices.Sort(sum.Runs)
	return sum
}

// Scale returns the estimate multiplied by k, for a change of unit.
func (e Estimate) Scale(k float64) Estimate {
	e.Value, e.Error = float64(e.Value*k), float64(e.Error*k)
	e.Parts = slices.Clone(e.Parts)
	for i := range e.Parts {
		e.Parts[i].Value = float64(e.Parts[i].Value * k)
	}
	return e
}

// EstimateAt evaluates the slope with this name under the given conditions. The result counts as not measured if a
// variable that the slope depends on is missing, or if the extrapolated value is significantly negative.
func (e *Evidence) EstimateAt(name string, at size.Conditions) Estimate {
	slope, run, ok := e.Slope(name)
	if !ok {
		return Estimate{Missing: []string{name}}
	}
	value, deviation, err := slope.Predict(at)
	if err != nil || value < -2*deviation {
		return Estimate{Missing: []string{name}}
	}
	estimate := Estimate{Value: max(value, 0), Error: deviation, Known: true, Runs: []string{run}}
	beyond := 1.0
	for variable, asked := range at {
		// Includes variables that the slope does not depend on: their lack of influence was observed in this range only.
		if low, high, told := slope.Range(variable); told && high > 0 && asked > 0 {
			beyond = max(beyond, asked/high, low/asked)
		}
	}
	for _, of := range slope.Of {
		low, high := math.Inf(1), 0.0
		for _, point := range slope.Points {
			if here, err := point.At.Product(of); err == nil {
				low, high = min(low, here), max(high, here)
			}
		}
		if asked, err := at.Product(of); err == nil && high > 0 && asked > 0 {
			beyond = max(beyond, asked/high, low/asked)
		}
	}
	estimate.Parts = []Part{{estimate.Value, beyond}}
	return estimate
}

// Range of factors that BreakingFactor searches.
const (
	minFactor = 1e-3
	maxFactor = 1e4
)

// BreakingFactor finds by bisection the factor at which an increasing function reaches its budget. none reports that
// the function stays within the budget up to the largest factor, and always that it exceeds the budget at the
// smallest factor already.
func BreakingFactor(cost func(factor float64) float64, budget float64) (factor float64, none, always bool) {
	if cost(minFactor) > budget {
		return 0, false, true
	}
	if cost(maxFactor) <= budget {
		return 0, true, false
	}
	low, high := minFactor, maxFactor
	for range 200 {
		middle := math.Sqrt(low * high)
		if cost(middle) > budget {
			high = middle
		} else {
			low = middle
		}
	}
	return low, false, false
}
