package main

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"ledgespread/lab/callgraph"
	"ledgespread/lab/depth"
	"ledgespread/lab/faults"
	"ledgespread/lab/size"
)

// simulationCommands returns the commands that run in simulated time: callgraph, depth, faults and bound. They
// need neither an idle machine nor the sidecar's binary.
func simulationCommands() []*cobra.Command {
	return []*cobra.Command{callgraphCommand(), depthCommand(), faultsCommand(), boundCommand()}
}

// simulationFlags holds the flags of the simulation commands.
type simulationFlags struct {
	terms, json, figures, commit, from string
	seed                               uint64
	quick                              bool
}

// register registers the flags on cmd; quick adds those of the commands that sweep many runs.
func (o *simulationFlags) register(cmd *cobra.Command, quick bool) {
	flags := cmd.Flags()
	flags.StringVar(&o.terms, "terms", "", "file of assumptions that override the built-in ones")
	flags.StringVar(&o.json, "json", "", "file for the report, as ledgelab capacity reads it")
	flags.Uint64Var(&o.seed, "seed", 1, "random seed")
	flags.StringVar(&o.figures, "figures", "", "file for all figures of all runs in JSON")
	if quick {
		flags.BoolVar(&o.quick, "quick", false, "a few small runs, under a minute")
		flags.StringVar(&o.from, "from", "", "file of figures of an earlier run to report on again, without running anything")
		flags.StringVar(&o.commit, "commit", "", "commit of the code, for the report (left out: the one recorded in the build)")
	}
}

// depthFigures is the content of the figures file of the depth command.
type depthFigures struct {
	Chains []depth.Figures      `json:"chains"`
	Graphs []depth.GraphFigures `json:"graphs"`
}

// faultFigures is the content of the figures file of the faults command.
type faultFigures struct {
	Module []faults.Figures `json:"module"`
	Group  []faults.Group   `json:"group"`
}

// loadFigures decodes the figures file of an earlier run, named by --from.
func (o *simulationFlags) loadFigures(into any) error {
	text, err := os.ReadFile(o.from)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("%s: %w", o.from, err)
	}
	return nil
}

// readAssumptions parses the file of assumptions, or an empty text, which leaves the built-in ones, where no
// file is named.
func readAssumptions[T any](file string, parse func(string, []byte) (T, error)) (terms T, err error) {
	text := []byte{}
	if file != "" {
		if text, err = os.ReadFile(file); err != nil {
			return terms, err
		}
	}
	return parse(file, text)
}

// writeReport adds the run's command, commit, date and machine to a report and writes it to the file named by
// --json.
func (o *simulationFlags) writeReport(report *size.Report, command string) error {
	if o.json == "" {
		return nil
	}
	report.Run, report.Commit, report.Date, report.Machine = fmt.Sprintf("ledgelab %s, seed %d", command, o.seed), o.commit, time.Now().UTC().Format(time.DateOnly), describeMachine()
	if o.quick {
		report.Run = fmt.Sprintf("ledgelab %s --quick, seed %d", command, o.seed)
	}
	if info, ok := debug.ReadBuildInfo(); ok && report.Commit == "" {
		for _, setting := range info.Settings {
			switch {
			case setting.Key == "vcs.revision":
				report.Commit = setting.Value[:min(len(setting.Value), 12)]
			case setting.Key == "vcs.modified" && setting.Value == "true":
				report.Commit += ", changed"
			}
		}
	}
	if report.Commit == "" {
		report.Commit = "not told by the build"
	}
	return report.Write(o.json)
}

// describeMachine describes the cores and the memory of this machine.
func describeMachine() string {
	text, _ := os.ReadFile("/proc/meminfo")
	kib := 0
	fmt.Sscanf(string(text), "MemTotal: %d kB", &kib)
	return fmt.Sprintf("%d cores, %.0f GB", runtime.NumCPU(), float64(kib)/1e6)
}

// callgraphCommand draws a random call graph from the requirement and prints its statistics.
func callgraphCommand() *cobra.Command {
	var options simulationFlags
	cmd := &cobra.Command{Use: "callgraph", Short: "Generate a call graph of the required size from a seed and print its statistics, such as the load of a sidecar",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			assumptions, err := readAssumptions(options.terms, callgraph.Read)
			if err != nil {
				return err
			}
			graph := callgraph.Draw(assumptions, options.seed)
			fmt.Fprintln(cmd.OutOrStdout(), strings.Join(graph.Statistics().Lines(), "\n"))
			if options.json != "" {
				if err := saveJSON(options.json, graph.Statistics()); err != nil {
					return err
				}
			}
			return saveJSON(options.figures, graph)
		}}
	options.register(cmd, false)
	cmd.Flags().Lookup("json").Usage = "file for the statistics in JSON"
	cmd.Flags().Lookup("figures").Usage = "file for the whole graph in JSON"
	return cmd
}

// depthCommand simulates how retries multiply along a chain of services.
func depthCommand() *cobra.Command {
	var options simulationFlags
	cmd := &cobra.Command{Use: "depth", Short: "Simulate retries along a chain of services: calls at the last hop for each call at the top while the last service fails",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			terms, err := readAssumptions(options.terms, depth.Read)
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			if options.from != "" {
				var earlier depthFigures
				if err := options.loadFigures(&earlier); err != nil {
					return err
				}
				return options.finish(cmd, depth.Report(terms, earlier.Chains, earlier.Graphs, options.seed), "depth", earlier)
			}
			fmt.Fprintln(out, depth.Heading)
			all, err := depth.Sweep(terms, options.quick, options.seed, func(f depth.Figures) { fmt.Fprintln(out, f.Line()) })
			if err != nil {
				return err
			}
			fmt.Fprintln(out, strings.Join(depth.ByHop(all), "\n"))
			fmt.Fprintln(out, depth.GraphHeading)
			graph := callgraph.Draw(callgraph.DefaultAssumptions(), options.seed)
			graphs, err := depth.SweepGraph(terms, graph, options.quick, options.seed, func(f depth.GraphFigures) { fmt.Fprintln(out, f.Line()) })
			if err != nil {
				return err
			}
			return options.finish(cmd, depth.Report(terms, all, graphs, options.seed), "depth", depthFigures{all, graphs})
		}}
	options.register(cmd, true)
	return cmd
}

// faultsCommand simulates large faults, such as the loss of a zone or a rack.
func faultsCommand() *cobra.Command {
	var options simulationFlags
	cmd := &cobra.Command{Use: "faults", Short: "Simulate faults at the required size: loss of a zone or a rack, a day of faults, and regions cut off from each other",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			terms, err := readAssumptions(options.terms, faults.Read)
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			if options.from != "" {
				var earlier faultFigures
				if err := options.loadFigures(&earlier); err != nil {
					return err
				}
				return options.finish(cmd, faults.Report(terms, earlier.Module, earlier.Group, options.seed), "faults", earlier)
			}
			fmt.Fprintln(out, faults.Heading)
			all, err := faults.Sweep(terms, options.quick, options.seed, func(line string) { fmt.Fprintln(out, line) }, func(f faults.Figures) { fmt.Fprintln(out, f.Line()) })
			if err != nil {
				return err
			}
			fmt.Fprintln(out, faults.GroupHeading)
			groups, err := faults.SweepGroups(terms, options.quick, options.seed, func(g faults.Group) { fmt.Fprintln(out, g.Line()) })
			if err != nil {
				return err
			}
			return options.finish(cmd, faults.Report(terms, all, groups, options.seed), "faults", faultFigures{all, groups})
		}}
	options.register(cmd, true)
	return cmd
}

// boundCommand simulates what a bound on the traffic between sidecars costs.
func boundCommand() *cobra.Command {
	var options simulationFlags
	breaks := ""
	cmd := &cobra.Command{Use: "bound", Short: "Simulate a bound on the traffic between sidecars, and what it costs compared with none, at 330 visits/s per sidecar",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			terms, err := readAssumptions(options.terms, faults.Read)
			if err != nil {
				return err
			}
			if breaks != "" && breaks != "unbounded" {
				return fmt.Errorf("--break %q: unknown value; the only known one is \"unbounded\"", breaks)
			}
			out := cmd.OutOrStdout()
			if options.from != "" {
				var earlier []faults.Figures
				if err := options.loadFigures(&earlier); err != nil {
					return err
				}
				return options.finish(cmd, faults.BoundReport(terms, earlier, options.seed), "bound", earlier)
			}
			fmt.Fprintln(out, faults.BoundHeading)
			all, err := faults.SweepBound(terms, options.quick, options.seed, breaks, func(f faults.Figures) { fmt.Fprintln(out, f.BoundLine()) })
			if err != nil {
				return err
			}
			return options.finish(cmd, faults.BoundReport(terms, all, options.seed), "bound", all)
		}}
	options.register(cmd, true)
	cmd.Flags().StringVar(&breaks, "break", "", "disable a guard, so that a claim fails: unbounded (sidecars report their bound but use a hundred times that)")
	return cmd
}

// finish prints the claims of a report and writes the report and the figures; it returns errNotHeld if a claim
// does not hold.
func (o *simulationFlags) finish(cmd *cobra.Command, report *size.Report, command string, figures any) error {
	failed := false
	for _, claim := range report.Claims {
		result := "holds"
		if !claim.Holds {
			result, failed = "DOES NOT HOLD", true
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%s: %s (aim: %s; measured: %s)\n", result, claim.Claim, claim.Aim, claim.Measured)
	}
	if err := o.writeReport(report, command); err != nil {
		return err
	}
	if o.figures != "" {
		if err := saveJSON(o.figures, figures); err != nil {
			return err
		}
	}
	if failed {
		return errNotHeld
	}
	return nil
}
