// Package compare plays two programs, or two files, in alternating runs of the same plans, and tells what differs with bars.
package compare

import (
	"fmt"
	"io"
	"math"
	"sort"

	"ledgespread/lab/chance"
	"ledgespread/lab/report"
	"ledgespread/lab/scenario"
	"ledgespread/lab/sidecars"
	"ledgespread/lab/stage"
)

// Side is one of two.
type Side struct {
	Name     string
	Program  sidecars.Program
	Scenario *scenario.Scenario
}

// Figure is one that both sides gave, round by round.
type Figure struct {
	Name  string    `json:"name"`
	A     []float64 `json:"a"`
	B     []float64 `json:"b"`
	MidA  float64   `json:"median_a"`
	MidB  float64   `json:"median_b"`
	Delta float64   `json:"delta"` // the median of B less A, pair by pair
	Low   float64   `json:"low"`   // its bars: 95 of 100 bootstrap samples lie between
	High  float64   `json:"high"`
	Sure  bool      `json:"sure"` // the bars leave out 0
}

// Result is a comparison.
type Result struct {
	Scenario string   `json:"scenario"`
	Names    []string `json:"names"`
	Rounds   int      `json:"rounds"`
	Figures  []Figure `json:"figures"`
	Broken   []int    `json:"broken_rules"` // of A and B
	Late     int      `json:"late_runs"`
}

var kinds = []struct {
	name string
	get  func(*report.Report) float64
}{
	{"service", func(r *report.Report) float64 { return r.Service }},
	{"worst second", func(r *report.Report) float64 { return r.Worst }},
	{"p50, ms", func(r *report.Report) float64 { return float64(r.Latency.P50) / 1000 }},
	{"p99, ms", func(r *report.Report) float64 { return float64(r.Latency.P99) / 1000 }},
	{"wasted work", func(r *report.Report) float64 { return r.Wasted }},
	{"CPU a visit, µs", func(r *report.Report) float64 { return r.CPUVisit }},
}

// Play plays both, A B B A …, each pair with a seed of its own.
func Play(sides [2]Side, rounds int, seed uint64, stop <-chan struct{}, say func(string)) (*Result, error) {
	out := &Result{Scenario: sides[0].Scenario.Name, Names: []string{sides[0].Name, sides[1].Name}, Rounds: rounds, Broken: []int{0, 0}}
	got := [2][]*report.Report{}
	if seed == 0 {
		seed = sides[0].Scenario.Seed
	}
	for round := range rounds {
		for k := range sides {
			i := (k + round) % 2
			say(fmt.Sprintf("… round %d of %d: %s", round+1, rounds, sides[i].Name))
			r, err := stage.Play(sides[i].Scenario, stage.Options{Program: sides[i].Program, Seed: seed + uint64(round), Stop: stop})
			if err != nil {
				return nil, err
			}
			got[i] = append(got[i], r)
			out.Broken[i] += len(r.Verdict.Certain())
			if r.RanLate {
				out.Late++
			}
		}
	}
	for _, kind := range kinds {
		f := Figure{Name: kind.name}
		for round := range rounds {
			f.A, f.B = append(f.A, kind.get(got[0][round])), append(f.B, kind.get(got[1][round]))
		}
		f.bars(seed)
		out.Figures = append(out.Figures, f)
	}
	return out, nil
}

const (
	samples = 2000
	fewest  = 5 // pairs: bars drawn from fewer are narrower than what they stand for
)

// bars are a bootstrap of the pairs' differences.
func (f *Figure) bars(seed uint64) {
	f.MidA, f.MidB = Median(f.A), Median(f.B)
	differ := make([]float64, len(f.A))
	for i := range f.A {
		differ[i] = f.B[i] - f.A[i]
	}
	f.Delta = Median(differ)
	f.Low, f.High = Bootstrap(differ, Median, 0.95, chance.New(seed, f.Name))
	f.Sure = len(differ) >= fewest && (f.Low > 0 || f.High < 0)
}

// Median of a sample; of an even one the mean of the two in the middle.
func Median(of []float64) float64 {
	xs := append([]float64(nil), of...)
	sort.Float64s(xs)
	if n := len(xs); n == 0 {
		return math.NaN()
	} else if n%2 == 1 {
		return xs[n/2]
	} else {
		return (xs[n/2-1] + xs[n/2]) / 2
	}
}

// Bootstrap draws samples from a sample and gives the bars that hold this part of a figure's values.
func Bootstrap(of []float64, figure func([]float64) float64, part float64, draw *chance.Source) (low, high float64) {
	values, sample := make([]float64, samples), make([]float64, len(of))
	for i := range values {
		for k := range sample {
			sample[k] = of[draw.Below(len(of))]
		}
		values[i] = figure(sample)
	}
	sort.Float64s(values)
	cut := (1 - part) / 2
	return values[int(cut*samples)], values[int((1-cut)*samples)-1]
}

// Print writes it for people.
func (r *Result) Print(w io.Writer) {
	fmt.Fprintf(w, "%s, %d rounds, alternating\n  A  %s\n  B  %s\n", r.Scenario, r.Rounds, r.Names[0], r.Names[1])
	fmt.Fprintf(w, "  %-18s %12s %12s %12s   %s\n", "", "A", "B", "B - A", "bars (95%)")
	for _, f := range r.Figures {
		word := "no difference shown"
		if f.Sure {
			word = "differs"
		} else if r.Rounds < fewest {
			word = "too few rounds to tell"
		}
		fmt.Fprintf(w, "  %-18s %12.4f %12.4f %+12.4f   %+.4f to %+.4f  %s\n", f.Name, f.MidA, f.MidB, f.Delta, f.Low, f.High, word)
	}
	fmt.Fprintf(w, "  rules broken       %12d %12d\n", r.Broken[0], r.Broken[1])
	if r.Late > 0 {
		fmt.Fprintf(w, "  the lab ran late in %d runs: the machine was too busy\n", r.Late)
	}
}
