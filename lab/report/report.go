// Package report summarizes a run: the service that clients got, its cost, and the rules that were broken. The figures
// come from the records of the lab's own clients, backends and discovery service, not from the sidecars. The JSON form
// is documented in docs/lab.md.
package report

import (
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"strings"

	"encoding/json"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ledgespread/lab/backend"
	"ledgespread/lab/clients"
	"ledgespread/lab/clock"
	"ledgespread/lab/judge"
)

// Micros is clock.Micros.
type Micros = clock.Micros

// Report holds the figures of a run. A visit is one request of a client with all its tries.
type Report struct {
	Scenario    string            `json:"scenario"`
	Program     string            `json:"program"`
	Seed        uint64            `json:"seed"`
	Plan        string            `json:"plan"` // the plan's hash
	Length      Micros            `json:"length_us"`
	Visits      int               `json:"visits"` // requests due after the warm-up, without those whose client left early
	Service     float64           `json:"service"`
	WorstSecond float64           `json:"worst_second"`
	ByPrefix    []Part            `json:"by_prefix"`
	ByTenant    []Part            `json:"by_tenant"`
	WithinShare float64           `json:"within_share"` // service of the requests within their tenant's share
	Ends        map[string]int    `json:"ends"`         // number of requests by the outcome of their last try
	Tries       int               `json:"tries"`
	Latency     Latency           `json:"latency"` // of delivered requests, from when they were due
	Answers     Latency           `json:"answers"` // of requests that the sidecar answered, also with an error
	Fetches     map[string]int    `json:"fetches"` // attempts at the backends, by outcome
	Wasted      float64           `json:"wasted"`  // core time of attempts that were not delivered, over the work of all requests
	Crossings   int               `json:"crossings"`
	Opened      int               `json:"connections_opened"`
	Probed      int               `json:"probes"`
	ProbeTime   float64           `json:"probe_time"` // fraction of the core time spent
	Busy        float64           `json:"busy"`       // fraction of the fleet's core time that was used
	Calls       int               `json:"list_calls"`
	CPUVisit    float64           `json:"cpu_us_a_visit"` // CPU time of the sidecars per try
	MemoryKiB   int               `json:"memory_kib"`     // maximum of any sidecar
	LateP99     Micros            `json:"lab_late_p99_us"`
	LateMax     Micros            `json:"lab_late_most_us"`
	RanLate     bool              `json:"ran_late"`
	Verdict     *judge.Verdict    `json:"verdict"`
	Missed      []string          `json:"missed"` // expectations that were not met
	Malformed   *MalformedSummary `json:"rude,omitempty"`
	Seconds     []Second          `json:"seconds"`
	Load        []LoadLine        `json:"load"`
	Marks       []Mark            `json:"marks"`
	Notes       []string          `json:"notes"`
}

// Part holds the service of one path prefix or tenant.
type Part struct {
	Name    string  `json:"name"`
	Visits  int     `json:"visits"`
	Service float64 `json:"service"`
}

// Latency summarizes a histogram of latencies in microseconds.
type Latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P90   int64 `json:"p90_us"`
	P99   int64 `json:"p99_us"`
	P999  int64 `json:"p999_us"`
	Max   int64 `json:"most_us"`
}

// Second holds the figures of the requests due in one second of the run.
type Second struct {
	At        int     `json:"at_s"`
	Visits    int     `json:"visits"`
	Delivered int     `json:"delivered"`
	Bounced   int     `json:"bounced"`
	Other     int     `json:"other"`
	Service   float64 `json:"service"`
	P50       int64   `json:"p50_us"`
	P99       int64   `json:"p99_us"`
}

// LoadLine holds the number of requests at each backend at one time.
type LoadLine struct {
	At   Micros `json:"at_us"`
	Held []int  `json:"held"` // by backend, in order; -1: the backend was not running
}

// Mark is an event of the run that plots show.
type Mark struct {
	At   Micros `json:"at_us"`
	What string `json:"what"`
}

// MalformedSummary holds the results of the malformed requests.
type MalformedSummary struct {
	Sent       int      `json:"sent"`
	Unanswered int      `json:"unanswered"`
	Served     int      `json:"served"`
	Which      []string `json:"which,omitempty"`
}

// NewHistogram returns an empty histogram of latencies from 1 µs to ten minutes, with three significant digits.
func NewHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) }

// Summarize returns the figures of a histogram.
func Summarize(h *hdrhistogram.Histogram) Latency {
	return Latency{h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99), h.ValueAtQuantile(99.9), h.Max()}
}

// tally adds up the value of the requests, and the value of those that were served.
type tally struct {
	visits                    int
	offeredValue, servedValue float64
}

func (t *tally) add(offered, served float64) {
	t.visits, t.offeredValue, t.servedValue = t.visits+1, t.offeredValue+offered, t.servedValue+served
}

// service returns the fraction of the value that was served, 1 if there were no requests.
func (t *tally) service() float64 {
	if t.offeredValue == 0 {
		return 1
	}
	return math.Round(t.servedValue/t.offeredValue*1e6) / 1e6
}

// beyondValue is the weight of a request beyond its tenant's share, relative to one within it.
const beyondValue = 0.1

// New computes a report from the records of a run. The caller fills in what only the runner measures, such as the
// sidecars' CPU time and the lab's own lateness.
func New(accounts *judge.Accounts) *Report {
	scenario := accounts.Scenario
	report := &Report{Scenario: scenario.Name, Seed: accounts.Plan.Seed, Plan: fmt.Sprintf("%016x", accounts.Plan.Hash), Length: scenario.Length.M(), Tries: len(accounts.Requests),
		Ends: map[string]int{}, Fetches: map[string]int{}, Missed: []string{}, Notes: []string{}, Marks: []Mark{}, Load: []LoadLine{}}
	last, begun := make([]*clients.Try, len(accounts.Plan.Visits)), accounts.Begun
	delivered := map[string]bool{}
	for _, try := range accounts.Requests {
		if previous := last[try.Visit]; previous == nil || try.Number > previous.Number {
			last[try.Visit] = try
		}
		if try.Outcome == clients.Delivered {
			delivered[try.ID] = true
		}
	}
	var total, within tally
	prefixes, tenants := make([]tally, len(scenario.Prefixes)), make([]tally, len(scenario.Tenants))
	seconds := make([]tally, (int(scenario.Length)+999_999)/1_000_000)
	report.Seconds = make([]Second, len(seconds))
	bySecond := make([]*hdrhistogram.Histogram, len(seconds))
	all, answers := NewHistogram(), NewHistogram()
	workAsked := 0.0
	for i, visit := range accounts.Plan.Visits {
		try, second := last[i], int(visit.At/clock.Second)
		workAsked += float64(visit.Work)
		prefix := scenario.Prefixes[visit.Prefix]
		value := prefix.Value * float64(visit.Work)
		if visit.Beyond {
			value *= beyondValue
		}
		servedValue, outcome := 0.0, clients.Open
		if try != nil {
			outcome = try.Outcome
		}
		line := &report.Seconds[second]
		line.At, line.Visits = second, line.Visits+1
		if outcome == clients.Delivered {
			took := try.Ended - (begun + visit.At)
			if servedValue = value; took > prefix.Target.M() {
				servedValue *= prefix.LateValue
			}
			if bySecond[second] == nil {
				bySecond[second] = NewHistogram()
			}
			bySecond[second].RecordValue(max(1, int64(took)))
			line.Delivered++
			if visit.At >= scenario.Warmup.M() {
				all.RecordValue(max(1, int64(took)))
			}
		} else if outcome == clients.RetryLater {
			line.Bounced++
		} else {
			line.Other++
		}
		if visit.Leaves > 0 && outcome == clients.Abandoned {
			continue // the client cancelled before its timeout: neither served nor failed
		}
		seconds[second].add(value, servedValue)
		if visit.At < scenario.Warmup.M() {
			continue
		}
		if try != nil && (outcome == clients.Delivered || outcome == clients.RetryLater || outcome == clients.Errored) {
			answers.RecordValue(max(1, int64(try.Ended-(begun+visit.At))))
		}
		report.Visits++
		report.Ends[string(outcome)]++
		total.add(value, servedValue)
		prefixes[visit.Prefix].add(value, servedValue)
		if visit.Tenant >= 0 && !visit.Beyond {
			tenants[visit.Tenant].add(value, servedValue)
		}
		if !visit.Beyond {
			within.add(value, servedValue)
		}
	}
	report.Service, report.WithinShare, report.WorstSecond = total.service(), within.service(), 1
	for i := range seconds {
		report.Seconds[i].At, report.Seconds[i].Service = i, seconds[i].service()
		if histogram := bySecond[i]; histogram != nil {
			report.Seconds[i].P50, report.Seconds[i].P99 = histogram.ValueAtQuantile(50), histogram.ValueAtQuantile(99)
		}
		if clock.Micros(i)*clock.Second >= scenario.Warmup.M() && seconds[i].visits > 0 {
			report.WorstSecond = min(report.WorstSecond, report.Seconds[i].Service)
		}
	}
	for i, prefix := range scenario.Prefixes {
		report.ByPrefix = append(report.ByPrefix, Part{prefix.Name, prefixes[i].visits, prefixes[i].service()})
	}
	for i, tenant := range scenario.Tenants {
		report.ByTenant = append(report.ByTenant, Part{tenant.Name, tenants[i].visits, tenants[i].service()})
	}
	report.Latency, report.Answers = Summarize(all), Summarize(answers)
	zones, sidecars := map[string]string{}, map[string]string{}
	for _, server := range accounts.Backends {
		zones[server.Name] = server.Zone
	}
	for _, request := range accounts.Requests {
		sidecars[request.ID] = accounts.Sidecars[request.Sidecar].Zone
	}
	wasted := 0.0
	for _, attempt := range accounts.Attempts {
		fate := string(attempt.Outcome)
		if attempt.Outcome == backend.Waiting {
			fate = "still there at the end"
		}
		report.Fetches[fate]++
		if sidecars[attempt.ID] != zones[attempt.Backend] {
			report.Crossings++
		}
		if !delivered[attempt.ID] || attempt.Outcome != backend.Delivered {
			wasted += float64(attempt.Cost)
		}
	}
	report.Wasted = math.Round(wasted/max(workAsked, 1)*1e6) / 1e6
	report.Verdict = judge.Judge(accounts)
	if accounts.MalformedRequests != nil && accounts.MalformedRequests.Sent > 0 {
		report.Malformed = &MalformedSummary{accounts.MalformedRequests.Sent, accounts.MalformedRequests.Unanswered, accounts.MalformedRequests.Served, accounts.MalformedRequests.Kinds}
	}
	report.checkExpectations(accounts)
	return report
}

// checkExpectations records which of the scenario's expectations the run missed.
func (r *Report) checkExpectations(accounts *judge.Accounts) {
	expected := accounts.Scenario.Expect
	expect := func(missed bool, what string, values ...any) {
		if missed {
			r.Missed = append(r.Missed, fmt.Sprintf(what, values...))
		}
	}
	if len(expected.BrokenRules) == 0 {
		expect(len(r.Verdict.Certain()) > 0, "no rule is to break, %d breaks", len(r.Verdict.Certain()))
	}
	expect(len(r.Verdict.Unmatched) > 0, "accounts are to agree, they differ on %d visits", len(r.Verdict.Unmatched))
	expect(r.Service < expected.Service, "service_at_least %.3f, was %.3f", expected.Service, r.Service)
	expect(r.WorstSecond < expected.Worst, "worst_second_at_least %.3f, was %.3f", expected.Worst, r.WorstSecond)
	expect(r.WithinShare < expected.WithinShares, "within_share_at_least %.3f, was %.3f", expected.WithinShares, r.WithinShare)
	for _, tenant := range r.ByTenant {
		expect(tenant.Service < expected.WorstTenant, "worst_tenant_at_least %.3f, %s had %.3f", expected.WorstTenant, tenant.Name, tenant.Service)
	}
	expect(expected.P99 > 0 && r.Latency.P99 > int64(expected.P99), "p99_at_most %d µs, was %d", expected.P99, r.Latency.P99)
	expect(expected.Bounced != nil && r.Ends["bounced"] > *orZero(expected.Bounced), "bounced_at_most %d, were %d", *orZero(expected.Bounced), r.Ends["bounced"])
	expect(expected.Errored != nil && r.Ends["errored"] > *orZero(expected.Errored), "errored_at_most %d, were %d", *orZero(expected.Errored), r.Ends["errored"])
	expect(expected.Wasted > 0 && r.Wasted > expected.Wasted, "wasted_at_most %.3f, was %.3f", expected.Wasted, r.Wasted)
	if r.Malformed != nil {
		expect(r.Malformed.Unanswered > 0, "rude clients are to be answered or closed within 3 s, %d were not: %v", r.Malformed.Unanswered, r.Malformed.Which)
	}
}

// orZero returns x, or a pointer to 0 if x is nil.
func orZero(x *int) *int {
	if x == nil {
		return new(int)
	}
	return x
}

// Holds reports whether the run met all rules and expectations.
func (r *Report) Holds() bool { return len(r.Missed) == 0 }

// Load reads a report from its JSON file.
func Load(file string) (*Report, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	r := &Report{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return r, nil
}

// formatCounts formats named counts, largest first.
func formatCounts(byName map[string]int) string {
	var names []string
	for name := range byName {
		names = append(names, name)
	}
	slices.SortFunc(names, func(x, y string) int { return byName[y] - byName[x] })
	var out []string
	for _, name := range names {
		out = append(out, fmt.Sprintf("%s %d", name, byName[name]))
	}
	return strings.Join(out, ", ")
}

// formatMillis formats microseconds as milliseconds.
func formatMillis(us int64) string { return fmt.Sprintf("%.2f", float64(us)/1000) }

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	printLine := func(format string, values ...any) { fmt.Fprintf(w, format+"\n", values...) }
	printLine("%s, %s: seed %d, plan %s, %.1f s", r.Scenario, r.Program, r.Seed, r.Plan, float64(r.Length)/1e6)
	printLine("  service      %.4f   worst second %.4f   within shares %.4f", r.Service, r.WorstSecond, r.WithinShare)
	for _, part := range r.ByPrefix {
		printLine("    prefix %-14s %7d visits   %.4f", part.Name, part.Visits, part.Service)
	}
	for _, part := range r.ByTenant {
		printLine("    tenant %-14s %7d visits   %.4f", part.Name, part.Visits, part.Service)
	}
	printLine("  visits       %d: %s", r.Visits, formatCounts(r.Ends))
	latency := r.Latency
	printLine("  latency, ms  p50 %s   p90 %s   p99 %s   p99.9 %s   most %s   (delivered, from when they were due)", formatMillis(latency.P50), formatMillis(latency.P90),
		formatMillis(latency.P99), formatMillis(latency.P999), formatMillis(latency.Max))
	printLine("  fetches      %s", formatCounts(r.Fetches))
	printLine("  fleet        %.1f%% busy, %.2f%% of all work wasted, %d fetches crossed zones, %d connections, %d probes", 100*r.Busy, 100*r.Wasted,
		r.Crossings, r.Opened, r.Probed)
	printLine("  sidecars     %.1f µs of CPU a visit, %.1f MiB at most, %d calls of the list", r.CPUVisit, float64(r.MemoryKiB)/1024, r.Calls)
	if r.Malformed != nil {
		printLine("  rude         %d sent, %d unanswered, %d served", r.Malformed.Sent, r.Malformed.Unanswered, r.Malformed.Served)
	}
	late := ""
	if r.RanLate {
		late = "   THE LAB RAN LATE: the machine was too busy for these times to mean much"
	}
	printLine("  lab          late by %d µs at p99, %d at most%s", r.LateP99, r.LateMax, late)
	for _, note := range r.Notes {
		printLine("  note         %s", note)
	}
	if len(r.Verdict.Violations) == 0 {
		printLine("  rules        all kept")
	}
	for i, violation := range r.Verdict.Violations {
		if i == 10 {
			printLine("  …            and %d more", len(r.Verdict.Violations)-i)
			break
		}
		label := "BROKEN"
		if violation.Doubtful {
			label = "doubtful (the lab stood still then)"
		}
		printLine("  %s       %s", label, violation)
	}
	for i, unmatched := range r.Verdict.Unmatched {
		if i == 5 {
			printLine("  …            and %d more", len(r.Verdict.Unmatched)-i)
			break
		}
		printLine("  UNMATCHED    %s", unmatched)
	}
	for _, missed := range r.Missed {
		printLine("  MISSED       %s", missed)
	}
}
