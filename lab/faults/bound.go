package faults

// bound.go: runs with and without a limit on message traffic.

import (
	"fmt"
	"slices"

	"ledgespread/lab/size"
)

// BoundKinds lists the kinds of run that SweepBound simulates.
var BoundKinds = []Kind{Calm, Slow, Zone}

// maxDeliveredLoss is by how much the traffic limit may reduce the delivered fraction while the remaining servers can
// carry the load.
const maxDeliveredLoss = 0.01

// SweepBound simulates each kind at each load three times: with unlimited messages, with limited ones and with none. It
// passes breaks to each run as its injected fault; "unbounded" lifts the limit, to show that the claim on it then fails.
func SweepBound(terms Terms, quick bool, seed uint64, breaks string, played func(Figures)) ([]Figures, error) {
	if quick {
		terms.Bound.Sidecars, terms.Bound.Servers, terms.Bound.Loads = 24, 20, terms.Bound.Loads[:1]
	}
	var runs []Run
	for _, load := range terms.Bound.Loads {
		for _, kind := range BoundKinds {
			run := Run{Kind: kind, Sidecars: terms.Bound.Sidecars, Servers: terms.Bound.Servers, Load: load, Break: breaks}
			bounded, withoutMessages := run, run
			bounded.Bound, withoutMessages.NoMessages = terms.Bound.Bytes, true
			runs = append(runs, run, bounded, withoutMessages)
		}
	}
	return play(terms, runs, seed, played)
}

// BoundHeading is the table heading for BoundLine.
const BoundHeading = "run   load   messages  visits/s | delivered  worst s | p50, ms  p99, ms | bytes/s a sidecar  hottest, worst s | rules broken"

// messageMode returns how the run's sidecars exchange messages: all, bounded or none.
func (f Figures) messageMode() string {
	switch {
	case f.NoMessages:
		return "none"
	case f.Bound > 0:
		return "bounded"
	}
	return "all"
}

// BoundLine formats a run as a table row.
func (f Figures) BoundLine() string {
	return fmt.Sprintf("%-6s%.2f   %-9s%9.0f |%10.4f%9.3f |%8.1f%9.1f |%18.0f%18.0f | %v %s", f.Kind, f.Load, f.messageMode(), f.VisitsPerS, f.Delivered, f.WorstSecond,
		f.P50/1000, f.P99/1000, f.Bytes, f.WorstBytes, f.Broken[1:], f.First)
}

// BoundReport returns the report of SweepBound's runs. The caller fills in run, commit, date and machine.
func BoundReport(terms Terms, all []Figures, seed uint64) *size.Report {
	report := &size.Report{Seed: seed, Bound: "none: one thread for each run, in simulated time", Stubs: []string{
		"sockets, machines and clock: simulated; the module's decisions and the summaries are the program's own (brain.Balancer, decide/summary)",
		"a server: one core, a queue of bounded length, linear warm-up; what is called off runs on",
		"one service alone, which all of its callers' visits go to; no tenants"},
		Slopes: []size.Slope{}, Events: []size.Event{}, Agree: []size.Agreement{}, Claims: []size.Claim{}}
	over, broken, worse, hottest, most := 0, 0, 0, "", 0.0
	delivered := ""
	for _, figures := range all {
		for _, count := range figures.Broken {
			broken += count
		}
		at := size.Conditions{"sidecars": float64(figures.Sidecars), "servers": float64(figures.Servers), "visits_per_s": figures.VisitsPerS}
		name, words := fmt.Sprintf("bound.%s.load_%02.0f.%s", figures.Kind, 100*figures.Load, figures.messageMode()), fmt.Sprintf("%s, load %.2f, sidecars that tell each other %s", figures.Kind, figures.Load, figures.messageMode())
		for _, row := range []struct {
			what, unit, words string
			median, last      float64
		}{{"unserved", "1", "part of the visits without a server's answer; last: in the worst second", 1 - figures.Delivered, max(1-figures.WorstSecond, 1-figures.Delivered)},
			{"latency", "ms", "of what was delivered: the middle one; last: 99 in 100", figures.P50 / 1000, figures.P99 / 1000},
			{"bytes", "B/s", "messages in and out, heads counted, a sidecar; last: the hottest in its worst second", figures.Bytes, max(figures.WorstBytes, figures.Bytes)},
		} {
			report.Events = append(report.Events, size.Event{Name: name + "." + row.what, What: words + ": " + row.words, Account: "simulated", At: at, Unit: row.unit, Median: row.median, Last: row.last, N: max(figures.Visits, 1)})
		}
		if figures.messageMode() != "bounded" {
			continue
		}
		if figures.WorstBytes > figures.Bound {
			over++
		}
		if figures.WorstBytes > most {
			most, hottest = figures.WorstBytes, fmt.Sprintf("%s, load %.2f", figures.Kind, figures.Load)
		}
		unlimited := all[slices.IndexFunc(all, func(other Figures) bool {
			return other.Kind == figures.Kind && other.Load == figures.Load && other.messageMode() == "all"
		})]
		if carries := figures.Kind != Zone || figures.Load < 1-1/float64(terms.Fleet.Zones); carries {
			if figures.Delivered < unlimited.Delivered-maxDeliveredLoss {
				worse++
			}
			delivered += fmt.Sprintf("%s %.2f: %.4f, %.4f; ", figures.Kind, figures.Load, figures.Delivered, unlimited.Delivered)
		}
	}
	claim := func(holds bool, claim, aim, measured string, values ...any) {
		report.Claims = append(report.Claims, size.Claim{Claim: claim, Aim: aim, Measured: fmt.Sprintf(measured, values...), Account: "simulated", Holds: holds})
	}
	claim(over == 0 && most > 0, "messages of any sidecar, in and out, in any second from the start on stay within the bound", fmt.Sprintf("%.0f bytes", terms.Bound.Bytes), "%.0f at most: %s", most, hottest)
	claim(broken == 0, "no rule is broken", "0 breaks", "%d in %d runs", broken, len(all))
	claim(worse == 0, "as much is delivered with the bound as without it, where the servers that are left can carry all", fmt.Sprintf("less by %.2f at the most", maxDeliveredLoss), "with, without: %s%d off", delivered, worse)
	return report
}
