package soak

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"ledgespread/lab/clock"
	"ledgespread/lab/judge"
	"ledgespread/lab/list"
	"ledgespread/lab/runner"
	"ledgespread/lab/scenario"
	"ledgespread/lab/sidecars"
)

// Options configure a soak.
type Options struct {
	Program      sidecars.Program
	OnMachine    runner.OnMachine // starts the sidecar with failing system calls and a wall clock that steps
	From, To     uint64           // first and last seed
	Length       int              // of a day, in milliseconds
	Only         string           // the one kind of fault beside those of every day; "": any kind
	Concurrency  int              // days that run concurrently
	OnlyNewPairs bool             // skips days without a pair that no earlier day had
	Folder       string           // for the logs of the sidecars; "": they are not kept
	Stop         <-chan struct{}
	PrintLine    func(line string) // prints a line of progress
}

// Outcome is the result of one day.
type Outcome struct {
	Seed       uint64
	Requests   int
	Faults     []string
	Pairs      map[Pair]bool
	Violations []judge.Violation
	Doubtful   int
	Timelines  []string // timelines of the first broken rules
	Err        error    // why the day could not run
}

// KeptAllRules reports whether the day ran and kept all rules.
func (o *Outcome) KeptAllRules() bool { return o.Err == nil && len(o.Violations) == 0 }

func (o *Outcome) String() string {
	state := "kept"
	switch {
	case o.Err != nil:
		return fmt.Sprintf("seed %d: could not be played: %v", o.Seed, o.Err)
	case len(o.Violations) > 0:
		state = fmt.Sprintf("BROKEN %d times", len(o.Violations))
	}
	doubtful := ""
	if o.Doubtful > 0 {
		doubtful = fmt.Sprintf(", %d in doubt while the machine stood still", o.Doubtful)
	}
	return fmt.Sprintf("seed %d: %s%s; %d requests; %s", o.Seed, state, doubtful, o.Requests, strings.Join(o.Faults, ", "))
}

// Play runs the days of all seeds, up to Concurrency of them at a time, and prints each outcome when its day
// ends. The outcomes are ordered by seed.
func Play(options Options) (outcomes []*Outcome, err error) {
	if options.From == 0 || options.To < options.From {
		return nil, errors.New("seeds are FROM..TO, from 1 on")
	}
	if options.Length < firstFaultAt+faultFreeEnd {
		return nil, fmt.Errorf("a day takes %d ms at least", firstFaultAt+faultFreeEnd)
	}
	if _, err := Draw(options.From, options.Length, options.Only); err != nil {
		return nil, err
	}
	slots := make(chan struct{}, max(options.Concurrency, 1))
	covered := Coverage{}
	var running sync.WaitGroup
	var mu sync.Mutex
	for seed := options.From; seed <= options.To; seed++ {
		if options.OnlyNewPairs && !options.coversNewPair(covered, seed) {
			continue
		}
		slots <- struct{}{}
		if clock.Stopped(options.Stop) {
			err = runner.ErrStopped
			break
		}
		running.Go(func() {
			defer func() { <-slots }()
			outcome := options.runDay(seed)
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, outcome)
			options.PrintLine(outcome.String())
			for _, line := range outcome.Timelines {
				options.PrintLine(line)
			}
		})
	}
	running.Wait()
	slices.SortFunc(outcomes, func(x, y *Outcome) int { return cmp.Compare(x.Seed, y.Seed) })
	return outcomes, err
}

// coversNewPair reports whether the day of a seed has a pair that no earlier one had, and records its pairs. A
// day that can't be drawn counts as new, so that its error is reported.
func (o *Options) coversNewPair(covered Coverage, seed uint64) bool {
	day, err := Draw(seed, o.Length, o.Only)
	return err != nil || covered.Add(seed, PairsOf(day))
}

// runDay runs the day of one seed.
func (o *Options) runDay(seed uint64) *Outcome {
	outcome := &Outcome{Seed: seed}
	day, err := Draw(seed, o.Length, o.Only)
	if err != nil {
		outcome.Err = err
		return outcome
	}
	if day.Machine.CallsFail {
		outcome.Faults = append(outcome.Faults, "machine")
	}
	outcome.Pairs = PairsOf(day)
	for _, fault := range day.Faults {
		outcome.Faults = append(outcome.Faults, fault.What)
	}
	folder := o.Folder
	if folder != "" {
		folder = fmt.Sprintf("%s/seed-%d", folder, seed)
	}
	rig, err := runner.NewRig(day, runner.Options{Program: o.Program, OnMachine: o.OnMachine, Seed: seed, Folder: folder, Stop: o.Stop})
	if err != nil {
		outcome.Err = err
		return outcome
	}
	defer rig.Close()
	report, err := rig.Run()
	if err != nil {
		outcome.Err = err
		return outcome
	}
	outcome.Requests = report.Tries
	outcome.Violations = report.Verdict.Certain()
	outcome.Doubtful = len(report.Verdict.Violations) - len(outcome.Violations)
	if len(outcome.Violations) > 0 {
		outcome.Timelines = timelines(day, rig, outcome.Violations)
	}
	return outcome
}

const (
	maxTimelines = 3                // broken rules of one day whose timeline is printed
	callHistory  = 8 * clock.Second // how far back discovery calls are shown
)

// timelines returns the timelines of the first broken rules: the request, its attempts, the changes of the
// server list that concern the server, the sidecar's discovery calls and its processes.
func timelines(day *scenario.Scenario, rig *runner.Rig, broken []judge.Violation) (lines []string) {
	accounts, calls := rig.Accounts(), rig.Calls()
	addLine := func(format string, values ...any) { lines = append(lines, "    "+fmt.Sprintf(format, values...)) }
	at := func(when clock.Micros) string {
		if when < 0 {
			return "-"
		}
		return fmt.Sprintf("%.3f", float64(when-accounts.Begun)/float64(clock.Second))
	}
	for _, violation := range broken[:min(len(broken), maxTimelines)] {
		lines = append(lines, "  "+violation.String())
		name, _, _ := strings.Cut(violation.Reason, " ") // a reason that concerns a sidecar process begins with the sidecar's name
		for _, request := range accounts.Requests {
			if request.ID != violation.RequestID {
				continue
			}
			name = accounts.Sidecars[request.Sidecar].Name
			prefix := day.Prefixes[accounts.Plan.Visits[request.Visit].Prefix]
			addLine("client: %s to %s, due %s, sent %s, would wait until %s, ended %s: %s %s", prefix.Effect, name, at(request.Due), at(request.Sent), at(request.Deadline), at(request.Ended),
				request.Outcome, request.Why)
		}
		for _, attempt := range accounts.Attempts {
			if attempt.ID == violation.RequestID {
				addLine("attempt at %s: first byte %s, last %s, told to wait %d µs, ended %s: %v", attempt.Backend, at(attempt.First), at(attempt.Arrived), attempt.TimeLeft, at(attempt.Ended), attempt.Outcome)
			}
		}
		for _, change := range accounts.ListChanges {
			if change.Host == violation.Backend {
				addLine("list: v%d at %s: %s %s", change.Seq, at(change.Published), change.Host, change.Health)
			}
		}
		for _, call := range calls {
			if call.Reader == name && call.Began-accounts.Begun > violation.At-callHistory && call.Began-accounts.Begun < violation.At+clock.Second {
				addLine("call of %s at %s: %s to %s, %s", name, call.Address, at(call.Began), at(call.Ended), describeCall(call))
			}
		}
		for _, process := range processInstances(accounts, name) {
			addLine("%s: started %s, ready %s, asked to end %s, ended %s (%s)", name, at(process.Start), at(process.Ready), at(process.StopRequested), at(process.End), process.Exit)
		}
	}
	return lines
}

// describeCall describes how a discovery call ended.
func describeCall(call list.Call) string {
	if call.Outcome == list.CallAnswered {
		return fmt.Sprintf("answered v%d", call.Seq)
	}
	return call.Outcome
}

// processInstances returns the process instances of the named sidecar.
func processInstances(accounts *judge.Accounts, name string) []sidecars.Process {
	for _, sidecar := range accounts.Sidecars {
		if sidecar.Name == name {
			return sidecar.Processes
		}
	}
	return nil
}
