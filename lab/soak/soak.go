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
	"ledgespread/lab/scenario"
	"ledgespread/lab/sidecars"
	"ledgespread/lab/stage"
)

// Options are what is played.
type Options struct {
	Program   sidecars.Program
	OnMachine stage.OnMachine // the same on a machine that fails
	From, To  uint64          // seeds
	Length    int             // milliseconds of a day
	Only      string          // kind of fault; "": any
	AtOnce    int             // days side by side
	Cover     bool            // days that bring no pair that was not played yet are passed over
	Folder    string          // for logs of the sidecars; "": none are kept
	Stop      <-chan struct{}
	Say       func(line string)
}

// Outcome is one day.
type Outcome struct {
	Seed     uint64
	Requests int
	Faults   []string
	Pairs    map[Pair]bool
	Broken   []judge.Broken
	Doubtful int
	Explain  []string // the timelines of what was broken
	Err      error    // it could not be played
}

// Kept tells whether all rules were.
func (o *Outcome) Kept() bool { return o.Err == nil && len(o.Broken) == 0 }

func (o *Outcome) String() string {
	state := "kept"
	switch {
	case o.Err != nil:
		return fmt.Sprintf("seed %d: could not be played: %v", o.Seed, o.Err)
	case len(o.Broken) > 0:
		state = fmt.Sprintf("BROKEN %d times", len(o.Broken))
	}
	doubtful := ""
	if o.Doubtful > 0 {
		doubtful = fmt.Sprintf(", %d in doubt while the machine stood still", o.Doubtful)
	}
	return fmt.Sprintf("seed %d: %s%s; %d requests; %s", o.Seed, state, doubtful, o.Requests, strings.Join(o.Faults, ", "))
}

// Play plays the days of all seeds and tells each as it ends.
func Play(o Options) (outcomes []*Outcome, err error) {
	if o.From == 0 || o.To < o.From {
		return nil, errors.New("seeds are FROM..TO, from 1 on")
	}
	if o.Length < faultsFrom+calmEnd {
		return nil, fmt.Errorf("a day takes %d ms at least", faultsFrom+calmEnd)
	}
	if _, err := Draw(o.From, o.Length, o.Only); err != nil {
		return nil, err
	}
	places := make(chan struct{}, max(o.AtOnce, 1))
	covered := Coverage{}
	var all sync.WaitGroup
	var mu sync.Mutex
	for seed := o.From; seed <= o.To; seed++ {
		if o.Cover && !o.brings(covered, seed) {
			continue
		}
		places <- struct{}{}
		if clock.Stopped(o.Stop) {
			err = stage.ErrStopped
			break
		}
		all.Go(func() {
			defer func() { <-places }()
			outcome := o.day(seed)
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, outcome)
			o.Say(outcome.String())
			for _, line := range outcome.Explain {
				o.Say(line)
			}
		})
	}
	all.Wait()
	slices.SortFunc(outcomes, func(x, y *Outcome) int { return cmp.Compare(x.Seed, y.Seed) })
	return outcomes, err
}

// brings tells whether a seed's day has a pair that no earlier one had.
func (o *Options) brings(covered Coverage, seed uint64) bool {
	s, err := Draw(seed, o.Length, o.Only)
	return err != nil || covered.Add(seed, PairsOf(s))
}

// day plays one.
func (o *Options) day(seed uint64) *Outcome {
	outcome := &Outcome{Seed: seed}
	s, err := Draw(seed, o.Length, o.Only)
	if err != nil {
		outcome.Err = err
		return outcome
	}
	if s.Machine.Fails {
		outcome.Faults = append(outcome.Faults, "machine")
	}
	outcome.Pairs = PairsOf(s)
	for _, f := range s.Faults {
		outcome.Faults = append(outcome.Faults, f.What)
	}
	folder := o.Folder
	if folder != "" {
		folder = fmt.Sprintf("%s/seed-%d", folder, seed)
	}
	rig, err := stage.Raise(s, stage.Options{Program: o.Program, OnMachine: o.OnMachine, Seed: seed, Folder: folder, Stop: o.Stop})
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
	outcome.Broken = report.Verdict.Certain()
	outcome.Doubtful = len(report.Verdict.Broken) - len(outcome.Broken)
	if len(outcome.Broken) > 0 {
		outcome.Explain = explain(s, rig, outcome.Broken)
	}
	return outcome
}

const (
	mostExplained = 3 // breaks of one day whose timeline is told
	callsBefore   = 8 * clock.Second
)

// explain tells the timelines of the first breaks: the request, its attempts, the list's changes of that server and the sidecar's calls.
func explain(s *scenario.Scenario, rig *stage.Rig, broken []judge.Broken) (lines []string) {
	accounts, calls := rig.Accounts(), rig.Calls()
	say := func(format string, values ...any) { lines = append(lines, "    "+fmt.Sprintf(format, values...)) }
	at := func(t clock.Micros) string {
		if t < 0 {
			return "-"
		}
		return fmt.Sprintf("%.3f", float64(t-accounts.Begun)/float64(clock.Second))
	}
	for _, b := range broken[:min(len(broken), mostExplained)] {
		lines = append(lines, "  "+b.String())
		name, _, _ := strings.Cut(b.Why, " ") // of a sidecar that ended by itself
		for _, t := range accounts.Tries {
			if t.ID != b.Visit {
				continue
			}
			name = accounts.Sidecars[t.Sidecar].Name
			prefix := s.Prefixes[accounts.Plan.Visits[t.Visit].Prefix]
			say("client: %s to %s, due %s, sent %s, would wait until %s, ended %s: %s %s", prefix.Effect, name, at(t.Due), at(t.Sent), at(t.Until), at(t.Ended),
				t.How, t.Why)
		}
		for _, e := range accounts.Entries {
			if e.ID == b.Visit {
				say("attempt at %s: first byte %s, last %s, told to wait %d µs, ended %s: %v", e.Backend, at(e.First), at(e.Came), e.Patience, at(e.Ended), e.Fate)
			}
		}
		for _, change := range accounts.Changes {
			if change.Host == b.Backend {
				say("list: v%d at %s: %s %s", change.Seq, at(change.Shown), change.Host, change.Health)
			}
		}
		for _, c := range calls {
			if c.Reader == name && c.Began-accounts.Begun > b.At-callsBefore && c.Began-accounts.Begun < b.At+clock.Second {
				say("call of %s at %s: %s to %s, %s", name, c.Address, at(c.Began), at(c.Ended), told(c))
			}
		}
		for _, life := range lives(accounts, name) {
			say("%s: started %s, ready %s, asked to end %s, ended %s (%s)", name, at(life.Start), at(life.Ready), at(life.Asked), at(life.End), life.Exit)
		}
	}
	return lines
}

func told(c list.Call) string {
	if c.How == list.CallAnswered {
		return fmt.Sprintf("answered v%d", c.Seq)
	}
	return c.How
}

func lives(accounts *judge.Accounts, name string) []sidecars.Life {
	for _, sidecar := range accounts.Sidecars {
		if sidecar.Name == name {
			return sidecar.Lives
		}
	}
	return nil
}
