package soak

import (
	"fmt"
	"slices"
	"strings"

	"ledgespread/lab/clock"
	"ledgespread/lab/scenario"
)

// together is how close two faults of a day begin that count as a pair.
const together = 2 * clock.Second

// Pair is two things that a day may have at once: a kind of fault, and beside it an amount, a mode of the list or another kind.
type Pair struct{ Kind, Beside string }

// Amounts of what a fault is aimed at.
const (
	one  = "one"
	half = "half"
	all  = "all"
)

// Modes of the list.
var (
	listModes = []string{"on_request", "pushed"}
	listForms = map[float64]string{0: "by changes", 0.5: "by both", 1: "whole"}
)

// amountOf is how many of what there are a fault is aimed at.
func amountOf(aim any) string {
	switch aim.(type) {
	case string:
		return one
	case float64:
		return half
	case int64:
		return all
	}
	return ""
}

// PairsOf are the pairs that a day has.
func PairsOf(s *scenario.Scenario) map[Pair]bool {
	pairs := map[Pair]bool{}
	for i, f := range s.Faults {
		for _, aim := range []any{f.Backends, f.Sidecars} {
			if amount := amountOf(aim); amount != "" {
				pairs[Pair{f.What, amount}] = true
			}
		}
		pairs[Pair{f.What, s.List.Mode + " " + listForms[s.List.Whole]}] = true
		for _, other := range s.Faults[:i] {
			if max(f.At.M()-other.At.M(), other.At.M()-f.At.M()) <= together {
				pairs[inOrder(f.What, other.What)] = true
			}
		}
	}
	return pairs
}

func inOrder(kind, other string) Pair {
	if other < kind {
		kind, other = other, kind
	}
	return Pair{kind, other}
}

// AllPairs are those that days can have.
func AllPairs() (pairs []Pair) {
	kinds := slices.Sorted(slices.Values(Kinds()))
	for i, kind := range kinds {
		switch scenario.Whats[kind] {
		case "backends", "network":
			pairs = append(pairs, Pair{kind, one}, Pair{kind, half}, Pair{kind, all})
		case "sidecars":
			pairs = append(pairs, Pair{kind, one}, Pair{kind, all})
		}
		for _, mode := range listModes {
			for _, form := range listForms {
				pairs = append(pairs, Pair{kind, mode + " " + form})
			}
		}
		for _, other := range kinds[i:] {
			pairs = append(pairs, Pair{kind, other})
		}
	}
	return pairs
}

// Coverage has the first seed of each pair that days had.
type Coverage map[Pair]uint64

// Add takes in a day's pairs, and tells whether one of them is new.
func (c Coverage) Add(seed uint64, pairs map[Pair]bool) (isNew bool) {
	for pair := range pairs {
		if _, had := c[pair]; !had {
			c[pair] = seed
			isNew = true
		}
	}
	return isNew
}

// Table tells for each kind of fault beside what it was played, with the first seed of each, and what none of the days had.
func (c Coverage) Table() (lines []string) {
	played := map[string][]string{}
	var missing []string
	count := 0
	for _, pair := range AllPairs() {
		seed, had := c[pair]
		if !had {
			missing = append(missing, pair.Kind+" + "+pair.Beside)
			continue
		}
		count++
		played[pair.Kind] = append(played[pair.Kind], fmt.Sprintf("%s %d", pair.Beside, seed))
	}
	for _, kind := range slices.Sorted(slices.Values(Kinds())) {
		slices.Sort(played[kind])
		lines = append(lines, fmt.Sprintf("%s: %s", kind, strings.Join(played[kind], ", ")))
	}
	lines = append(lines, fmt.Sprintf("%d of %d pairs played", count, len(AllPairs())))
	if len(missing) > 0 {
		slices.Sort(missing)
		lines = append(lines, "never played: "+strings.Join(missing, "; "))
	}
	return lines
}
