package faults

// sweep.go: sweeps over all kinds of run and fleet sizes, and their report.

import (
	"fmt"
	"runtime"
	"slices"

	"golang.org/x/sync/errgroup"

	"ledgespread/lab/size"
)

// Sweep simulates each kind at each size in both shapes, and some variants. It calls played for the runs in list order,
// whatever order they end in. Before the runs of the largest size it calls predicted with what the smaller sizes predict
// for it.
func Sweep(terms Terms, quick bool, seed uint64, predicted func(string), played func(Figures)) (all []Figures, err error) {
	if quick {
		terms.Sidecars, terms.Times.Day = []int{20, 60}, 15e6
	}
	largest := slices.Max(terms.Sidecars)
	var small, large []Run
	for _, sidecars := range slices.Sorted(slices.Values(terms.Sidecars)) {
		runs := &small
		if sidecars == largest {
			runs = &large
		}
		for _, kind := range Kinds {
			*runs = append(*runs, Run{Kind: kind, Sidecars: sidecars})
		}
		*runs = append(*runs, Run{Kind: Regions, Sidecars: sidecars, Named: 0.5}, Run{Kind: Zone, Sidecars: sidecars, Load: terms.LoadHigh})
		for _, kind := range Kinds {
			if !quick {
				*runs = append(*runs, Run{Kind: kind, Sidecars: sidecars, Pool: true})
			}
		}
	}
	if all, err = play(terms, small, seed, played); err != nil {
		return nil, err
	}
	for _, slope := range slopes(all) {
		if value, ok := predict(slope, largest, terms); ok {
			predicted(fmt.Sprintf("prediction for %d sidecars, before they are played: %s %.4g %s", largest, slope.Name, value, slope.Unit))
		}
	}
	last, err := play(terms, large, seed, played)
	return append(all, last...), err
}

// SweepGroups simulates membership groups of each size, with a failed zone and with a partition.
func SweepGroups(terms Terms, quick bool, seed uint64, played func(Group)) ([]Group, error) {
	sizes := slices.Sorted(slices.Values(terms.Sidecars))
	if quick {
		sizes = []int{20, 50, 100}
	}
	all := make([]Group, 2*len(sizes))
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	for i := range all {
		g.Go(func() error {
			all[i] = SimulateGroup([]Kind{Zone, Regions}[i%2], sizes[i/2], Micros(terms.Times.GroupForget), seed)
			return nil
		})
	}
	err := g.Wait()
	for _, group := range all {
		played(group)
	}
	return all, err
}

// play simulates the runs in parallel, one per available processor, and calls played for each in list order. Each run has
// its own clock and random source.
func play(terms Terms, runs []Run, seed uint64, played func(Figures)) ([]Figures, error) {
	all, done := make([]Figures, len(runs)), make([]chan struct{}, len(runs))
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	for i := range runs {
		done[i] = make(chan struct{})
	}
	go func() {
		for i, run := range runs {
			g.Go(func() (err error) {
				defer close(done[i])
				all[i], err = Simulate(terms, run, seed)
				return err
			})
		}
	}()
	for i := range runs {
		<-done[i]
		played(all[i])
	}
	return all, g.Wait()
}

// slopes fits the measurements that grow linearly with the request rate of a sidecar, for the capacity report.
func slopes(all []Figures) (fitted []size.Slope) {
	addSlope := func(name, unit, what string, of string, from func(Figures) (size.Point, bool)) {
		slope := size.Slope{Name: name, Unit: unit, What: what, Account: "simulated", Of: []string{of}}
		for _, figures := range all {
			if point, ok := from(figures); ok {
				point.At = size.Conditions{"sidecars": float64(figures.Sidecars),
					"visits_per_s": figures.VisitsPerS, "servers": float64(figures.Servers)}
				slope.Points = append(slope.Points, point)
			}
		}
		if len(slope.Points) > 1 {
			fitted = append(fitted, slope)
		}
	}
	matches := func(figures Figures, kind Kind) bool {
		return figures.Kind == kind && figures.Shape == "service" && figures.Named == figures.Sidecars && figures.Load < figures.HighLoad
	}
	addSlope("simulated.peers.messages_out", "1/s", "messages that a sidecar sends to others before a service of fewer servers than sidecars", "visits_per_s",
		func(figures Figures) (size.Point, bool) {
			return size.Point{Mean: figures.MessagesOut, WorstSecond: figures.WorstMessagesOut}, matches(figures, Calm)
		})
	for i := range fitted {
		fitted[i].Coefficient, fitted[i].Error, _ = size.Fit(fitted[i].Points, fitted[i].Of)
	}
	return slices.DeleteFunc(fitted, func(slope size.Slope) bool { return slope.Coefficient == nil })
}

// predict extrapolates a slope to a number of sidecars; ok is false if the slope cannot.
func predict(slope size.Slope, sidecars int, terms Terms) (float64, bool) {
	rate := float64(terms.Service.Servers) * terms.Service.Load * 1e6 / float64(terms.Service.Work)
	value, _, err := slope.Predict(size.Conditions{"sidecars": float64(sidecars), "visits_per_s": rate / float64(sidecars)})
	return value, err == nil
}

// Report returns the report of a sweep. The caller fills in run, commit, date and machine.
func Report(terms Terms, all []Figures, groups []Group, seed uint64) *size.Report {
	largest, broken, plays := 0, 0, 0
	for _, figures := range all {
		largest = max(largest, figures.Sidecars)
	}
	report := &size.Report{Seed: seed, Bound: "none: one thread for each run, in simulated time", Stubs: []string{
		"sockets, machines and clock: simulated; the module's decisions are the program's own (brain.Balancer)",
		"a server: one core, a queue of bounded length, linear warm-up; what is called off runs on",
		"membership beside the module: the count of senders falls to the greater part's own, the worst that docs/membership.md says; the group's own runs are the program's own (decide/membership)",
		"configuration: what a change says is the lab's, none looser than the settings at the start; that it comes is drawn, not played (docs/rollout.md plays that)"},
		Slopes: []size.Slope{}, Events: []size.Event{}, Agree: []size.Agreement{}, Claims: []size.Claim{}}
	before := slices.DeleteFunc(slices.Clone(all), func(figures Figures) bool { return figures.Sidecars == largest })
	earlier := slopes(before)
	for _, slope := range slopes(all) {
		if i := slices.IndexFunc(earlier, func(previous size.Slope) bool { return previous.Name == slope.Name }); i >= 0 {
			previous, last := earlier[i], slope.Points[len(slope.Points)-1]
			if predicted, ok := predict(previous, largest, terms); ok {
				_, off, _ := previous.Predict(last.At)
				slope.Largest = &size.Largest{At: last.At, Predicted: predicted, Measured: last.Mean, Error: off}
			}
		}
		report.Slopes = append(report.Slopes, slope)
	}
	worst := 0.0
	for _, figures := range all {
		reportBySize(report, figures)
		plays++
		for _, count := range figures.Broken {
			broken += count
		}
		worst = max(worst, figures.Cold.WorstKnown)
		if figures.Sidecars != largest {
			continue
		}
		name, description := figures.Name(), figures.description()
		at := size.Conditions{"sidecars": float64(figures.Sidecars), "servers": float64(figures.Servers), "visits_per_s": figures.VisitsPerS}
		if figures.Factor != 0 {
			at["factor"] = figures.Factor
		}
		event := func(what, unit, words string, median, last float64, count int) {
			report.Events = append(report.Events, size.Event{Name: name + "." + what, What: description + ": " + words, Account: "simulated", At: at,
				Unit: unit, Median: median, Last: last, N: max(count, 1)})
		}
		all := 0
		for _, count := range figures.Broken {
			all += count
		}
		event("rules_broken", "1", "breaks of the four rules", float64(all), float64(all), figures.Visits)
		event("unserved", "1", "part of the visits without a server's answer; last: in the worst second", 1-figures.Delivered, max(1-figures.WorstSecond, 1-figures.Delivered), figures.Visits)
		if figures.Kind == Calm || figures.Kind == Zone {
			event("messages_out", "1/s", "messages that a sidecar sends to others, before; last: in the worst second", figures.MessagesOut, max(figures.MessagesOut, figures.WorstMessagesOut), figures.Sidecars)
		}
		if figures.Cold.Servers > 0 {
			event("cold_window", "1", "a cold server's worst window, of N + 2 root N + 2; median: of told senders, last: of all", figures.Cold.WorstKnown, max(figures.Cold.Worst, figures.Cold.WorstKnown), figures.Cold.Servers)
		}
		if figures.Kind == Zone {
			event("cold_used", "1", "part of its budget that a cold server gets over its warm-up; median: the mean", figures.Cold.Used, max(figures.Cold.UsedMax, figures.Cold.Used), figures.Cold.Servers)
		}
	}
	reportGroups(report, groups)
	report.Claims = append(report.Claims, size.Claim{Claim: "the four rules are kept in all runs", Aim: "no break", Measured: fmt.Sprintf("%d breaks in %d runs", broken, plays),
		Account: "the simulated servers'", Holds: broken == 0},
		size.Claim{Claim: "no cold server's window is beyond its budget over all senders", Aim: "at most 1.00 of N + 2 root N + 2",
			Measured: fmt.Sprintf("%.2f in the worst window of all runs", worst), Account: "the simulated servers'", Holds: worst <= 1})
	return report
}

// reportBySize adds the measurements that depend on the number of senders of a service, at each size. They are events and not
// slopes, since they do not grow linearly.
func reportBySize(report *size.Report, figures Figures) {
	if figures.Shape != "service" || figures.Named != figures.Sidecars ||
		figures.Load >= figures.HighLoad || figures.Kind != Calm && figures.Kind != Zone {
		return
	}
	event := size.Event{Account: "simulated", At: size.Conditions{"sidecars": float64(figures.Sidecars), "servers": float64(figures.Servers), "visits_per_s": figures.VisitsPerS}}
	if figures.Kind == Calm {
		event.Name, event.Unit, event.N = "simulated.owner.messages_in", "1/s", figures.Sidecars
		event.What = "messages that the most loaded owner hears in its worst second, all calm; the median stands for the mean of all sidecars' own"
		event.Median, event.Last = figures.MessagesOut, max(figures.WorstMessagesIn, figures.MessagesOut)
	} else {
		event.Name, event.Unit, event.N = "simulated.cold_used_by_senders", "1", figures.Cold.Servers
		event.What = "part of its budget that a cold server of a lost zone gets over its warm-up, by senders; median: the mean"
		event.Median, event.Last = figures.Cold.Used, max(figures.Cold.UsedMax, figures.Cold.Used)
	}
	report.Events = append(report.Events, event)
}

// reportGroups adds the measurements of the membership runs: traffic at each size, the others at the largest only.
func reportGroups(report *size.Report, groups []Group) {
	for _, kind := range []Kind{Zone, Regions} {
		for i, group := range groups {
			if group.Kind != kind {
				continue
			}
			at := size.Conditions{"sidecars": float64(group.Members)}
			report.Events = append(report.Events, size.Event{Name: "simulated.membership.bytes." + string(kind), Account: "simulated, the program's own membership", At: at, Unit: "B/s", N: group.Members,
				What:   fmt.Sprintf("of a member, with headers, in the mean over members: calm; last: in the worst second after %d are lost at once", group.Lost),
				Median: group.Calm, Last: max(group.Worst, group.Calm)})
			if i < len(groups)-2 { // the largest groups come last
				continue
			}
			event := func(name, unit, what string, median, last float64, count int) {
				report.Events = append(report.Events, size.Event{Name: string(kind) + "." + name, What: what, Account: "simulated, the program's own membership", At: at, Unit: unit, Median: median, Last: max(last, median), N: count})
			}
			orRunLength := func(seconds float64) float64 { // replaces a missing value by the length of the run
				if seconds < 0 {
					return max(60, group.Forget)
				}
				return seconds
			}
			event("members_known", "s", fmt.Sprintf("until the first, and the last, of %d members holds all %d that are lost at once for dead", group.Members, group.Lost), orRunLength(group.First), orRunLength(group.Known), group.Members)
			if kind == Regions {
				event("senders_counted", "1", fmt.Sprintf("part of the senders that the least of a part counts when the parts have been apart for twice forget (%.0f s): the greater; last: the lesser", group.Forget),
					float64(group.GreaterAfter)/float64(group.Members), float64(group.LesserAfter)/float64(group.Members), group.Members)
				event("senders_whole_again", "s", "from the end of the cut until a member of the greater part counts all again; 60: not in the run", orRunLength(group.Again[len(group.Again)/2]), orRunLength(group.Again[len(group.Again)-1]), len(group.Again))
			}
		}
	}
}

// GroupHeading is the table heading for Group.Line.
const GroupHeading = "group: lost     members    lost | known to the first, to all, s | B/s calm, worst second (messages), seconds over 18 KB/s | senders counted: before forget, greater, lesser part after; whole again: middle, last, s"

// Line formats a membership run as a table row.
func (g Group) Line() string {
	line := fmt.Sprintf("group: %-9s%7d%8d | %16.0f%8.0f | %8.0f%10.0f (%.0f)%6.0f |", g.Kind, g.Members, g.Lost, g.First, g.Known, g.Calm, g.Worst, g.Messages, g.Over)
	if g.Kind == Regions {
		line += fmt.Sprintf("%8d%8d%8d; %.2f, %.2f", g.Before, g.GreaterAfter, g.LesserAfter, g.Again[len(g.Again)/2], g.Again[len(g.Again)-1])
	}
	return line
}

// Name returns the prefix of the names of the run's events.
func (f Figures) Name() string {
	name := string(f.Kind)
	if f.Named != f.Sidecars {
		name += ".half_named"
	}
	if f.Load >= f.HighLoad {
		name += ".high_load"
	}
	if f.Shape == "pool" {
		name += ".pool"
	}
	return name
}

// description describes the run's sidecars, servers and load in words.
func (f Figures) description() string {
	description := fmt.Sprintf("%d sidecars before a service of %d servers", f.Sidecars, f.Servers)
	if f.Shape == "pool" {
		description = fmt.Sprintf("one pool of %d servers with a sidecar each", f.Servers)
	}
	description += fmt.Sprintf(", load %.1f", f.Load)
	if f.Named != f.Sidecars {
		description += fmt.Sprintf(", half of which have settings that name %d", f.Named)
	}
	return description
}

// Heading is the table heading for Figures.Line.
const Heading = "run                     sidecars servers   served  worst s | cold  window  told  falls   budget used (least)  of warm | messages/s before, worst s, most heard | rules broken"

// Line formats a run as a table row.
func (f Figures) Line() string {
	return fmt.Sprintf("%-24s%8d%8d%9.4f%9.3f |%5d%8.2f%6.2f%7d%13.3f (%.3f)%9.3f |%18.0f%9.0f%13.0f | %v %s", f.Name(), f.Sidecars, f.Servers, f.Delivered, f.WorstSecond,
		f.Cold.Servers, f.Cold.Worst, f.Cold.WorstKnown, f.Cold.Falls, f.Cold.Used, f.Cold.UsedMin, f.Cold.OfWarm, f.MessagesOut, f.WorstMessagesOut, f.WorstMessagesIn, f.Broken[1:], f.First)
}
