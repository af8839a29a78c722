// Package compare runs two sidecar binaries, or two scenario files, in alternating runs with the same request
// plans, and reports how their metrics differ, with bootstrap confidence intervals.
package compare

import (
	"fmt"
	"io"
	"math"
	"sort"

	"ledgespread/lab/report"
	"ledgespread/lab/rng"
	"ledgespread/lab/runner"
	"ledgespread/lab/scenario"
	"ledgespread/lab/sidecars"
)

// Side is one of the two variants that are compared.
type Side struct {
	Name     string
	Program  sidecars.Program
	Scenario *scenario.Scenario
}

// Figure is a metric of both sides, with one value per round.
type Figure struct {
	Name        string    `json:"name"`
	A           []float64 `json:"a"`
	B           []float64 `json:"b"`
	MedianA     float64   `json:"median_a"`
	MedianB     float64   `json:"median_b"`
	Delta       float64   `json:"delta"` // median of the differences B - A of the rounds
	Low         float64   `json:"low"`   // bounds of the 95% bootstrap confidence interval of the delta
	High        float64   `json:"high"`
	Significant bool      `json:"sure"` // there are enough rounds and the interval excludes 0
}

// Result is the outcome of a comparison.
type Result struct {
	Scenario   string   `json:"scenario"`
	Names      []string `json:"names"`
	Rounds     int      `json:"rounds"`
	Figures    []Figure `json:"figures"`
	Violations []int    `json:"broken_rules"` // number of violations by A and by B
	LateRuns   int      `json:"late_runs"`    // runs in which the load generator fell behind its plan
}

// metrics are the compared metrics and how to read them from a report.
var metrics = []struct {
	name  string
	value func(*report.Report) float64
}{
	{"service", func(r *report.Report) float64 { return r.Service }},
	{"worst second", func(r *report.Report) float64 { return r.WorstSecond }},
	{"p50, ms", func(r *report.Report) float64 { return float64(r.Latency.P50) / 1000 }},
	{"p99, ms", func(r *report.Report) float64 { return float64(r.Latency.P99) / 1000 }},
	{"wasted work", func(r *report.Report) float64 { return r.Wasted }},
	{"CPU a visit, µs", func(r *report.Report) float64 { return r.CPUVisit }},
}

// Play runs both sides in alternating order, A B B A …, so that slow changes of the machine affect both alike.
// Each round has its own seed, which both sides share.
func Play(sides [2]Side, rounds int, seed uint64, stop <-chan struct{}, progress func(string)) (*Result, error) {
	result := &Result{Scenario: sides[0].Scenario.Name, Names: []string{sides[0].Name, sides[1].Name}, Rounds: rounds, Violations: []int{0, 0}}
	reports := [2][]*report.Report{}
	if seed == 0 {
		seed = sides[0].Scenario.Seed
	}
	for round := range rounds {
		for turn := range sides {
			side := (turn + round) % 2
			progress(fmt.Sprintf("… round %d of %d: %s", round+1, rounds, sides[side].Name))
			runReport, err := runner.Play(sides[side].Scenario, runner.Options{Program: sides[side].Program, Seed: seed + uint64(round), Stop: stop})
			if err != nil {
				return nil, err
			}
			reports[side] = append(reports[side], runReport)
			result.Violations[side] += len(runReport.Verdict.Certain())
			if runReport.RanLate {
				result.LateRuns++
			}
		}
	}
	for _, kind := range metrics {
		figure := Figure{Name: kind.name}
		for round := range rounds {
			figure.A, figure.B = append(figure.A, kind.value(reports[0][round])), append(figure.B, kind.value(reports[1][round]))
		}
		figure.computeInterval(seed)
		result.Figures = append(result.Figures, figure)
	}
	return result, nil
}

const (
	bootstrapSamples = 2000
	minRounds        = 5 // rounds: with fewer, the bootstrap interval is narrower than its nominal 95%
)

// computeInterval computes the medians, and the confidence interval from a bootstrap of the differences of the
// rounds.
func (f *Figure) computeInterval(seed uint64) {
	f.MedianA, f.MedianB = Median(f.A), Median(f.B)
	differences := make([]float64, len(f.A))
	for i := range f.A {
		differences[i] = f.B[i] - f.A[i]
	}
	f.Delta = Median(differences)
	f.Low, f.High = Bootstrap(differences, Median, 0.95, rng.New(seed, f.Name))
	f.Significant = len(differences) >= minRounds && (f.Low > 0 || f.High < 0)
}

// Median returns the median of a sample: the mean of the two middle values if their number is even, NaN if
// there are none.
func Median(sample []float64) float64 {
	sorted := append([]float64(nil), sample...)
	sort.Float64s(sorted)
	if n := len(sorted); n == 0 {
		return math.NaN()
	} else if n%2 == 1 {
		return sorted[n/2]
	} else {
		return (sorted[n/2-1] + sorted[n/2]) / 2
	}
}

// Bootstrap estimates a confidence interval of a statistic: it evaluates the statistic on resamples of the
// sample and returns the bounds of the middle part, such as 0.95, of the values.
func Bootstrap(observed []float64, statistic func([]float64) float64, confidence float64, random *rng.Source) (low, high float64) {
	values, sample := make([]float64, bootstrapSamples), make([]float64, len(observed))
	for i := range values {
		for k := range sample {
			sample[k] = observed[random.Below(len(observed))]
		}
		values[i] = statistic(sample)
	}
	sort.Float64s(values)
	tail := (1 - confidence) / 2
	return values[int(tail*bootstrapSamples)], values[int((1-tail)*bootstrapSamples)-1]
}

// Print writes the result as a table.
func (r *Result) Print(w io.Writer) {
	fmt.Fprintf(w, "%s, %d rounds, alternating\n  A  %s\n  B  %s\n", r.Scenario, r.Rounds, r.Names[0], r.Names[1])
	fmt.Fprintf(w, "  %-18s %12s %12s %12s   %s\n", "", "A", "B", "B - A", "bars (95%)")
	for _, figure := range r.Figures {
		conclusion := "no difference shown"
		if figure.Significant {
			conclusion = "differs"
		} else if r.Rounds < minRounds {
			conclusion = "too few rounds to tell"
		}
		fmt.Fprintf(w, "  %-18s %12.4f %12.4f %+12.4f   %+.4f to %+.4f  %s\n", figure.Name, figure.MedianA, figure.MedianB, figure.Delta, figure.Low, figure.High, conclusion)
	}
	fmt.Fprintf(w, "  rules broken       %12d %12d\n", r.Violations[0], r.Violations[1])
	if r.LateRuns > 0 {
		fmt.Fprintf(w, "  the lab ran late in %d runs: the machine was too busy\n", r.LateRuns)
	}
}
