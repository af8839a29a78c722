package soak

import (
	"fmt"
	"slices"
	"strings"

	"ledgespread/lab/clock"
	"ledgespread/lab/scenario"
)

// pairWindow is the longest time between the starts of two faults that count as a pair.
const pairWindow = 2 * clock.Second

// Pair is a combination that a day may cover: a kind of fault, and beside it how many targets it has, the mode
// of the server list or another kind of fault.
type Pair struct{ Kind, Beside string }

// How many of the servers or sidecars a fault targets.
const (
	oneTarget     = "one"
	halfOfTargets = "half"
	allTargets    = "all"
)

// Modes and forms in which the server list is delivered.
var (
	listModes = []string{"on_request", "pushed"}
	listForms = map[float64]string{0: "by changes", 0.5: "by both", 1: "whole"}
)

// amountOfTarget returns how many servers or sidecars a fault's target setting selects: a name selects one, a
// float half, an integer all of them. It is empty where the fault has no such setting.
func amountOfTarget(target any) string {
	switch target.(type) {
	case string:
		return oneTarget
	case float64:
		return halfOfTargets
	case int64:
		return allTargets
	}
	return ""
}

// PairsOf returns the pairs that the scenario of a day covers.
func PairsOf(day *scenario.Scenario) map[Pair]bool {
	pairs := map[Pair]bool{}
	for i, fault := range day.Faults {
		for _, target := range []any{fault.Backends, fault.Sidecars} {
			if amount := amountOfTarget(target); amount != "" {
				pairs[Pair{fault.What, amount}] = true
			}
		}
		pairs[Pair{fault.What, day.List.Mode + " " + listForms[day.List.FullFraction]}] = true
		for _, other := range day.Faults[:i] {
			if max(fault.At.M()-other.At.M(), other.At.M()-fault.At.M()) <= pairWindow {
				pairs[pairOfKinds(fault.What, other.What)] = true
			}
		}
	}
	return pairs
}

// pairOfKinds returns the pair of two kinds of faults, the same one in whichever order they are given.
func pairOfKinds(kind, other string) Pair {
	if other < kind {
		kind, other = other, kind
	}
	return Pair{kind, other}
}

// AllPairs returns all pairs that a day can cover.
func AllPairs() (pairs []Pair) {
	kinds := slices.Sorted(slices.Values(Kinds()))
	for i, kind := range kinds {
		switch scenario.FaultTargets[kind] {
		case "backends", "network":
			pairs = append(pairs, Pair{kind, oneTarget}, Pair{kind, halfOfTargets}, Pair{kind, allTargets})
		case "sidecars":
			pairs = append(pairs, Pair{kind, oneTarget}, Pair{kind, allTargets})
		}
		for _, mode := range listModes {
			for _, form := range listForms {
				pairs = append(pairs, Pair{kind, mode + " " + form})
			}
		}
		for _, other := range kinds[i:] {
			if canMeet(kind, other) {
				pairs = append(pairs, Pair{kind, other})
			}
		}
	}
	return pairs
}

// canMeet reports whether a day can have two kinds of faults: days with long requests have no faults of the network.
func canMeet(kind, other string) bool {
	onNetwork := func(name string) bool { return scenario.FaultTargets[name] == "network" }
	return !(isBodyFault(kind) && onNetwork(other) || isBodyFault(other) && onNetwork(kind))
}

// Coverage records for each covered pair the first seed whose day had it.
type Coverage map[Pair]uint64

// Add records the pairs of a day and reports whether one of them is new.
func (c Coverage) Add(seed uint64, pairs map[Pair]bool) (isNew bool) {
	for pair := range pairs {
		if _, had := c[pair]; !had {
			c[pair] = seed
			isNew = true
		}
	}
	return isNew
}

// Table lists for each kind of fault what it was combined with and the first seed that did so, then the pairs
// that were not covered.
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
