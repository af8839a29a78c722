package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"ledgespread/lab/faulty"
	"ledgespread/lab/runner"
	"ledgespread/lab/sidecars"
	"ledgespread/lab/soak"
)

// soakCommand runs soak days, whose fleet, settings and faults are drawn from seeds.
func soakCommand() *cobra.Command {
	var options scenarioFlags
	var seeds, onlyKind, ruleBreak string
	var length time.Duration
	var concurrency int
	var onlyNewPairs bool
	cmd := &cobra.Command{Use: "soak", Short: "Run days whose fleet, settings and faults are drawn from a seed each; exit 1 if a rule is broken",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			from, to, err := readSeeds(seeds)
			if err != nil {
				return err
			}
			program, err := soakProgram(options.sidecar, ruleBreak)
			if err != nil {
				return err
			}
			var onMachine runner.OnMachine
			if ruleBreak == "" {
				if onMachine, err = failingSidecar(); err != nil {
					return err
				}
			}
			out := cmd.OutOrStdout()
			outcomes, err := soak.Play(soak.Options{Program: program, OnMachine: onMachine, From: from, To: to, Length: int(length.Milliseconds()), Only: onlyKind, Concurrency: concurrency, OnlyNewPairs: onlyNewPairs,
				Folder: options.folder, Stop: stopOnSignal(), PrintLine: func(line string) { fmt.Fprintln(out, line) }})
			if err != nil {
				return err
			}
			return printSummary(cmd, outcomes)
		}}
	options.register(cmd)
	cmd.Flags().StringVar(&seeds, "seeds", "1..10", "the seeds of the days, FROM..TO")
	cmd.Flags().StringVar(&onlyKind, "only", "", "only this kind of fault, beside those that every day has")
	cmd.Flags().DurationVar(&length, "for", 16*time.Second, "length of a day")
	cmd.Flags().IntVar(&concurrency, "at-once", 2, "days that run concurrently")
	cmd.Flags().BoolVar(&onlyNewPairs, "cover", false, "skip days without a new pair of faults, amounts and list modes")
	cmd.Flags().StringVar(&ruleBreak, "break", "", "run a stand-in sidecar that breaks a rule in this way")
	return cmd
}

// printSummary prints the coverage and the number of days by outcome. It returns an error unless every day ran
// and kept all rules.
func printSummary(cmd *cobra.Command, outcomes []*soak.Outcome) error {
	kept, broken, failed := 0, 0, 0
	covered := soak.Coverage{}
	for _, outcome := range outcomes {
		if outcome.Err == nil {
			covered.Add(outcome.Seed, outcome.Pairs)
		}
		switch {
		case outcome.Err != nil:
			failed++
		case outcome.KeptAllRules():
			kept++
		default:
			broken++
		}
	}
	for _, line := range covered.Table() {
		fmt.Fprintln(cmd.OutOrStdout(), line)
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%d days: %d kept, %d broken, %d could not be played\n", len(outcomes), kept, broken, failed)
	switch {
	case failed > 0:
		return fmt.Errorf("%d days could not be played", failed)
	case broken > 0:
		return errNotHeld
	}
	return nil
}

// readSeeds parses a range of seeds, FROM..TO, or a single seed.
func readSeeds(text string) (from, to uint64, err error) {
	first, last, isRange := strings.Cut(text, "..")
	if !isRange {
		last = first
	}
	if from, err = strconv.ParseUint(first, 10, 64); err == nil {
		to, err = strconv.ParseUint(last, 10, 64)
	}
	if err != nil || from == 0 || to < from {
		return 0, 0, fmt.Errorf("--seeds: %q is not FROM..TO", text)
	}
	return from, to, nil
}

// soakProgram returns the sidecar under test: the binary at path, or a stand-in that breaks a rule in the
// planted way.
func soakProgram(path, planted string) (sidecars.Program, error) {
	if planted == "" {
		return sidecarProgram(path)
	}
	if _, known := faulty.Rule(planted); !known {
		return sidecars.Program{}, fmt.Errorf("--break: unknown value %q; known values: %s", planted, strings.Join(faulty.Names(), ", "))
	}
	self, err := os.Executable()
	return sidecars.Program{Path: self, Args: []string{"faulty", "--break", planted}, Name: planted}, err
}

// failingSidecar returns a function that describes how to start this program as a sidecar whose system calls fail.
func failingSidecar() (runner.OnMachine, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return func(wall string, seed uint64) sidecars.Program {
		return sidecars.Program{Path: self, Args: []string{"failing", "--wall", wall, "--seed", strconv.FormatUint(seed, 10), "--log", "warn"},
			Name: "failing"}
	}, nil
}
