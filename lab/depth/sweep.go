package depth

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"strings"

	"golang.org/x/sync/errgroup"

	"ledgespread/lab/callgraph"
	"ledgespread/lab/sim"
	"ledgespread/lab/size"
)

// sweep.go runs chains and graphs over ranges of parameters and reports the results.

// job is one run of a sweep.
type job struct {
	Terms
	about   string
	way     Way
	effect  int
	retries bool
}

// jobs lists all runs of a sweep: every way to fail and effect, with and without retries, then one parameter at a time
// (rate, depth, failure rate, passing on rejections, target). Quick leaves the parameters out.
func jobs(terms Terms, quick bool) (all []job) {
	for _, way := range Ways {
		for effect := range sim.Effects {
			for _, retries := range []bool{true, false} {
				all = append(all, job{terms, "", way, effect, retries})
			}
		}
	}
	if quick {
		return all
	}
	fewServers := terms
	fewServers.Servers = min(terms.Servers, 5)
	for _, variation := range []struct {
		about string
		set   func(*Terms, float64)
		to    []float64
	}{
		{"rate", func(t *Terms, x float64) { t.Rate = Rate(x * float64(t.Servers)) }, []float64{5, 25, 100, 330}},
		{"depth", func(t *Terms, x float64) { t.Depth = int(x) }, []float64{1, 2, 3, 6, 10}},
		{"fails", func(t *Terms, x float64) { t.Fails = x }, []float64{0.1, 0.3, 0.9, 1}},
		{"passes", func(t *Terms, x float64) { t.PassesBounce = x > 0 }, []float64{1}},
		{"pass330", func(t *Terms, x float64) { t.Rate, t.PassesBounce = Rate(330*float64(t.Servers)), x > 0 }, []float64{1}},
		{"target", func(t *Terms, x float64) { t.Rate, t.Target = Rate(330*float64(t.Servers)), Span(x*1e6) }, []float64{0.3, 1.2, 2}},
	} {
		for _, way := range []Way{Errors, Timeouts} {
			if strings.HasPrefix(variation.about, "pass") && way == Timeouts {
				way = TurnedAway
			}
			for _, value := range variation.to {
				for _, retries := range []bool{true, false} {
					if !retries && variation.about != "rate" && variation.about != "passes" && variation.about != "pass330" {
						continue
					}
					run := job{terms, variation.about, way, 0, retries}
					if variation.about == "rate" || variation.about == "target" || variation.about == "pass330" {
						run.Terms = fewServers
					}
					if variation.about == "target" && way != Errors {
						continue
					}
					variation.set(&run.Terms, value)
					all = append(all, run)
				}
			}
		}
	}
	return all
}

// Sweep simulates all runs, up to GOMAXPROCS at a time, and passes their figures to played in order.
func Sweep(terms Terms, quick bool, seed uint64, played func(Figures)) ([]Figures, error) {
	if quick {
		terms.Servers, terms.Rate, terms.Warm, terms.Failing, terms.Recovers = min(terms.Servers, 5), min(terms.Rate, 100), 11e6, 6e6, 3e6
	}
	pendingJobs := jobs(terms, quick)
	all, done := make([]Figures, len(pendingJobs)), make([]chan struct{}, len(pendingJobs))
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i := range pendingJobs {
		done[i] = make(chan struct{})
	}
	go func() {
		for i, run := range pendingJobs {
			group.Go(func() (err error) {
				defer close(done[i])
				all[i], err = Play(run.Terms, run.way, run.effect, run.retries, seed)
				all[i].About, all[i].Depth, all[i].TargetMS = run.about, run.Depth, float64(run.Target)/1000
				return err
			})
		}
	}()
	for i := range pendingJobs {
		<-done[i]
		played(all[i])
	}
	return all, group.Wait()
}

// SweepGraph simulates a graph for every way to fail, with and without retries, at its rates divided by 100 and by 20.
func SweepGraph(terms Terms, graph *callgraph.Graph, quick bool, seed uint64, played func(GraphFigures)) (all []GraphFigures, err error) {
	divisors := []float64{100, 20}
	if quick {
		divisors, terms.Warm, terms.Failing, terms.Recovers = []float64{300}, 11e6, 5e6, 2e6
	}
	for _, divisor := range divisors {
		results := make([]GraphFigures, 2*len(Ways))
		var runs errgroup.Group
		runs.SetLimit(runtime.GOMAXPROCS(0))
		for i := range results {
			if quick && i > 1 { // errors only
				results = results[:i]
				break
			}
			runs.Go(func() (err error) {
				results[i], err = PlayGraph(terms, graph, divisor, Ways[i/2], i%2 == 0, seed)
				return err
			})
		}
		if err := runs.Wait(); err != nil {
			return nil, err
		}
		for _, figures := range results {
			played(figures)
		}
		all = append(all, results...)
	}
	return all, nil
}

// Heading is the table heading for Figures.Line.
const Heading = "of      way          effect     retries visits/s  deep fails target | calls at the last, worst s, 2nd half; by sum | retries worst s | served before, while (2nd half), after; whole again | broken"

// Line formats the run as a table row.
func (f Figures) Line() string {
	again := "not in the run"
	if f.WholeAgain >= 0 {
		again = fmt.Sprintf("%d s", f.WholeAgain)
	}
	sum := f.Arithmetic.Steady
	if !f.Retries || f.Effect != "read_like" {
		sum = 1
	}
	return fmt.Sprintf("%-8s%-13s%-11s%-8v%8.0f%6d%6.1f%7.0f |%18.2f%10.2f%10.2f%8.2f |%16.2f |%13.3f%7.3f (%.3f)%7.3f; %s | %d %s", f.About, f.Way, f.Effect, f.Retries, f.VisitsPerS,
		f.Depth, f.Fails, f.TargetMS, f.Reach, f.Worst, f.Steady, sum, f.WorstFetch, f.Before, f.Success, f.SuccessSteady, f.Recovered, again, f.Breaks, f.FirstBreak)
}

// ByHop formats the figures of each hop, for the runs with read-like requests and retries.
func ByHop(all []Figures) (lines []string) {
	for _, f := range all {
		if f.About != "" || f.Effect != "read_like" || !f.Retries {
			continue
		}
		lines = append(lines, fmt.Sprintf("%s, read_like, by hop: calls for each at the top; of its visits retried, denied by the bucket, late, turned away, served; time left in ms, least and mean", f.Way))
		for _, h := range f.Hops {
			lines = append(lines, fmt.Sprintf("%4d%7.2f |%7.3f%7.3f%7.3f%7.3f%7.3f |%8.1f%8.1f", h.Hop, h.Visits, h.Retried, h.Denied, h.Late, h.Turned, h.Success, h.LeftLeast, h.LeftMean))
		}
	}
	return lines
}

// maxDifference is the maximum relative difference between simulation and arithmetic.
const maxDifference = 0.15

// Report makes the report of a sweep. The caller adds run, commit, date and machine.
func Report(terms Terms, all []Figures, graphs []GraphFigures, seed uint64) *size.Report {
	report := &size.Report{Seed: seed, Bound: "none: one thread for each run, in simulated time", Stubs: []string{
		"sockets, machines and clock: simulated; the decisions of each hop's sidecars are the program's own (brain.Balancer)",
		"a server: no queue, so that only retries add to an answer's time; it calls off its own call when its caller does, and tries nothing again by itself",
		"what goes down: the time left (X-Timeout); what comes up: an answer, an error, or turned away"},
		Slopes: []size.Slope{}, Events: []size.Event{}, Agree: []size.Agreement{}, Claims: []size.Claim{}}
	event := func(name, what, unit string, run Figures, median, last float64, count int) {
		report.Events = append(report.Events, size.Event{Name: name, What: what, Account: "simulated", Unit: unit, Median: median, Last: max(last, median), N: max(count, 1),
			At: size.Conditions{"depth": float64(run.Depth), "failing": run.Fails, "visits_per_s": run.VisitsPerS, "sidecars": float64(run.Sidecars)}})
	}
	var totals []float64
	reference, worstReach, broken, reachWithoutRetries := Figures{}, 0.0, 0, 0.0
	for _, run := range all {
		broken += run.Breaks
		if !run.Retries {
			if reachWithoutRetries = max(reachWithoutRetries, run.Reach); run.About == "" && run.Effect == "read_like" {
				event("depth.unserved_without_retries", string(run.Way)+", no retries: part of the calls at the top without an answer; last: in the worst second", "1", run, 1-run.Success, 1-run.WorstServed, run.Top)
			}
			continue
		}
		if run.Fails == terms.Fails && run.Depth == terms.Depth && run.TargetMS == float64(terms.Target)/1000 && run.About != "pass330" {
			if totals = append(totals, run.Reach); run.VisitsPerS*float64(run.Sidecars)/float64(run.Depth) >= 100 { // with fewer calls, single seconds are too small a sample
				worstReach = max(worstReach, run.Worst)
			}
		}
		switch {
		case run.About == "fails" && run.Fails == 1 && run.Way == Errors:
			event("depth.calls_at_last_all_fail", "errors of all of the last hop's calls: calls there for one at the top; last: in the worst second", "1", run, run.Reach, run.Worst, run.Top)
		case run.About == "pass330" && run.Way == Errors:
			event("depth.unserved_bounces_passed_on", "errors, each server turning its caller's call away where its own was bounced: part of the calls at the top without an answer", "1", run, 1-run.Success, 1-run.WorstServed, run.Top)
		case run.About == "" && run.Effect == "read_like":
			if run.Way == Errors {
				reference = run
			}
			event("depth.unserved", string(run.Way)+": part of the calls at the top without an answer; last: in the worst second", "1", run, 1-run.Success, 1-run.WorstServed, run.Top)
		case run.About == "rate" && run.Way == Errors:
			event("depth.unserved_by_rate", "errors, by visits a sidecar: part of the calls at the top without an answer; last: in the worst second", "1", run, 1-run.Success, 1-run.WorstServed, run.Top)
		}
	}
	inGraphs := 0
	for _, run := range graphs {
		inGraphs += run.Breaks
		if run.Divided != graphs[len(graphs)-1].Divided || !run.Retries {
			continue
		}
		description := fmt.Sprintf("drawn graph of %d servers, rates divided by %.0f, %s of half of a deepest service's calls: ", run.Servers, run.Divided, run.Way)
		at := size.Conditions{"depth": float64(terms.Depth), "failing": run.Fails, "services": float64(run.Services), "sidecars": float64(run.Servers), "visits_per_s": run.Rate / float64(run.Servers)}
		for _, measured := range []size.Event{{Name: "depth.graph_calls_at_failing", What: description + "calls there over those before; last: in the worst second", Median: run.CallsAtFailing, Last: run.CallsAtFailingWorst},
			{Name: "depth.graph_calls", What: description + "all calls over those before; last: in the worst second", Median: run.Calls, Last: run.CallsWorst},
			{Name: "depth.graph_unserved", What: description + "part of the requests at the fronts that fail; last: in the worst second", Median: 1 - run.While, Last: 1 - run.Worst}} {
			measured.Account, measured.Unit, measured.At, measured.N = "simulated", "1", at, run.Modules
			measured.Last = max(measured.Last, measured.Median)
			report.Events = append(report.Events, measured)
		}
	}
	slices.Sort(totals)
	if len(totals) == 0 {
		return report
	}
	event(size.DepthCalls, fmt.Sprintf("median of %d runs (errors, refusals, silence; each effect; 5 to 330 visits/s a sidecar); last: in the worst second of any of them with 100 calls/s at the top", len(totals)),
		"1", reference, totals[len(totals)/2], worstReach, len(totals))
	event("depth.share_to_the_depth", "by arithmetic, a fifth more at each hop; not what the module does, see docs/lab.md", "1", reference, reference.Arithmetic.Share, 0, 1)
	event("depth.steady_by_arithmetic", "by arithmetic, the buckets' steady state; the runs beside it", "1", reference, reference.Arithmetic.Steady, 0, 1)
	differ := math.Abs(reference.Steady-reference.Arithmetic.Steady) / reference.Arithmetic.Steady
	claim := func(what, aim, measured string, holds bool) {
		report.Claims = append(report.Claims, size.Claim{Claim: what, Aim: aim, Measured: measured, Account: "the simulated servers'", Holds: holds})
	}
	claim("the four rules are kept at each hop", "no break", fmt.Sprintf("%d breaks in %d runs", broken+inGraphs, len(all)+len(graphs)), broken+inGraphs == 0)
	claim("errors of half of the last hop's calls: calls there go by the buckets' arithmetic", fmt.Sprintf("%.2f within %.0f%%", reference.Arithmetic.Steady, 100*maxDifference),
		fmt.Sprintf("%.2f", reference.Steady), differ <= maxDifference)
	claim("without retries no call comes twice", "at most 1, and one in a hundred that are on their way as it begins", fmt.Sprintf("%.3f at most", reachWithoutRetries), reachWithoutRetries <= 1.01)
	return report
}
