package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"ledgespread/lab/baseline"
	"ledgespread/lab/compare"
	"ledgespread/lab/failing"
	"ledgespread/lab/faulty"
	"ledgespread/lab/load"
	"ledgespread/lab/prove"
	"ledgespread/lab/report"
	"ledgespread/lab/runner"
	"ledgespread/lab/scenario"
)

// demoFleet is the scenario of `ledgelab demo`.
const demoFleet = `
name = "demo"
told = "six backends in two zones, two sidecars; one backend dies and returns cold"
seed = 1
length = "20s"
warmup = "1s"
zones = ["bangna", "lat-krabang"]
[sidecars]
count = 2
[[backend]]
count = 3
zone = "bangna"
speed = 1.6
[[backend]]
count = 3
zone = "lat-krabang"
[[prefix]]
name = "lookup"
share = 0.7
work = "4ms"
work_spread = "exp"
target_latency = "150ms"
client_timeout = "750ms"
[[prefix]]
name = "booking"
effect = "tagged"
group = "zone"
share = 0.3
work = "14ms"
work_spread = "exp"
target_latency = "600ms"
client_timeout = "3s"
value = 2
[traffic]
rate = "450/s"
hints = true
retries = 1
[network]
same = "200us"
cross = "800us"
[list]
notice = "500ms"
[[fault]]
at = "7s"
for = "4s"
what = "kill_cold"
backends = "b1"
`

// demoCommand runs the built-in demo scenario.
func demoCommand() *cobra.Command {
	var options scenarioFlags
	cmd := &cobra.Command{Use: "demo", Short: "Run a small fleet with two sidecars and traffic, and kill one backend; ends after 20 s or at Ctrl-C",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			spec, err := scenario.Parse("(demo)", []byte(demoFleet))
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s.\nThe sidecars are real processes; this program simulates the backends, the discovery service and the clients.\n\n", spec.Description)
			return options.run(cmd, spec)
		}}
	options.register(cmd)
	return cmd
}

// runCommand runs a scenario from a file and prints its report.
func runCommand() *cobra.Command {
	var options scenarioFlags
	var short float64
	cmd := &cobra.Command{Use: "run SCENARIO", Short: "Run a scenario and print its report; exit 1 if a rule is broken or an expectation is not met",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			spec, err := scenario.Read(args[0])
			if err != nil {
				return err
			}
			if !(short > 0 && short <= 1) {
				return fmt.Errorf("--short must be greater than 0 and at most 1")
			}
			spec.ScaleTimes(short)
			return options.run(cmd, spec)
		}}
	options.register(cmd)
	cmd.Flags().Float64Var(&short, "short", 1, "run the scenario for this fraction of its length")
	return cmd
}

// run runs a scenario, shows its progress, prints its report and saves it. It returns errNotHeld if a rule or an
// expectation does not hold.
func (o *scenarioFlags) run(cmd *cobra.Command, spec *scenario.Scenario) error {
	program, err := sidecarProgram(o.sidecar)
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	progress := newProgressScreen(out)
	result, err := runner.Play(spec, runner.Options{Program: program, Seed: o.seed, Folder: o.folder, Watch: progress.update, Every: progress.interval, Stop: stopOnSignal()})
	progress.finish()
	if err != nil {
		return err
	}
	result.Print(out)
	if err := saveJSON(o.json, result); err != nil {
		return err
	}
	if !result.Holds() {
		return errNotHeld
	}
	return nil
}

// loadCommand sends load to one address: open-loop at a given rate or, with --closed, as much as the
// connections carry.
func loadCommand() *cobra.Command {
	var address, prefix, rate, shape, tenant, file string
	var span, timeout time.Duration
	var seed uint64
	var closed int
	cmd := &cobra.Command{Use: "load --to ADDR", Short: "Send open-loop load to one address; the latency of a visit counts from when it was due",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			if address == "" {
				return fmt.Errorf("--to is missing")
			}
			if closed > 0 {
				maxRate, err := load.MeasureThroughput(address, prefix, closed, span)
				if err != nil {
					return err
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%.0f visits/s over %d connections (closed-loop: no latencies)\n", maxRate, closed)
				return nil
			}
			tenants := ""
			if tenant != "" {
				tenants = fmt.Sprintf("[[tenant]]\nname = %q\nshare = 1\n", tenant)
			}
			spec, err := scenario.Parse("(flags)", fmt.Appendf(nil, "name = \"load\"\nlength = %q\n[[backend]]\n[[prefix]]\nname = %q\nwork = \"1ms\"\n"+
				"target_latency = %q\nclient_timeout = %q\n%s[traffic]\nrate = %q\nshape = %q\n", span, prefix, timeout, timeout, tenants, rate, shape))
			if err != nil {
				return err
			}
			result, err := load.RunOpenLoop(address, spec, seed, stopOnSignal())
			if err != nil {
				return err
			}
			latency := result.Latency
			fmt.Fprintf(cmd.OutOrStdout(), "plan %s, %.0f delivered/s, ends %v\nlatency, ms  p50 %.3f   p90 %.3f   p99 %.3f   p99.9 %.3f   most %.3f\nthe lab was late by %d µs at p99, %d at most\n",
				result.Plan, result.Rate, result.Ends, float64(latency.P50)/1000, float64(latency.P90)/1000, float64(latency.P99)/1000, float64(latency.P999)/1000, float64(latency.Max)/1000, result.LateP99, result.LateMax)
			return saveJSON(file, result)
		}}
	flags := cmd.Flags()
	flags.StringVar(&address, "to", "", "address, host:port")
	flags.StringVar(&prefix, "prefix", "lookup", "path prefix of the visits, with a read-like effect")
	flags.StringVar(&rate, "rate", "200/s", "visits per second")
	flags.StringVar(&shape, "shape", "poisson", "distribution of the arrivals: poisson or even")
	flags.StringVar(&tenant, "tenant", "", "value of the X-Tenant-Id header; empty: none")
	flags.StringVar(&file, "json", "", "file for the figures in JSON")
	flags.DurationVar(&span, "for", 10*time.Second, "duration of the load")
	flags.DurationVar(&timeout, "timeout", 750*time.Millisecond, "client timeout")
	flags.Uint64Var(&seed, "seed", 1, "seed of the arrivals")
	flags.IntVar(&closed, "closed", 0, "closed-loop instead: send as much as this number of connections can carry")
	return cmd
}

// saveJSON writes a value as indented JSON; it does nothing where no file is named.
func saveJSON(file string, what any) error {
	if file == "" {
		return nil
	}
	text, err := json.MarshalIndent(what, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(text, '\n'), 0o644)
}

// compareCommand compares two sidecar binaries, or two scenario files, in alternating runs.
func compareCommand() *cobra.Command {
	var options scenarioFlags
	var rounds int
	cmd := &cobra.Command{Use: "compare SCENARIO A B", Short: "Compare two binaries, or two files over the scenario, in alternating runs: medians and bootstrap confidence intervals",
		Args: cobra.ExactArgs(3),
		RunE: func(cmd *cobra.Command, args []string) error {
			sides := [2]compare.Side{}
			for i, side := range args[1:] {
				file, sidecarPath := args[0], options.sidecar
				if strings.HasSuffix(side, ".toml") {
					file = side
				} else {
					sidecarPath = side
				}
				program, err := sidecarProgram(sidecarPath)
				if err != nil {
					return err
				}
				sideScenario, err := scenario.Read(args[0])
				if err == nil && file != args[0] {
					sideScenario, err = scenario.ReadOver(args[0], file)
				}
				if err != nil {
					return err
				}
				program.Name = side
				sides[i] = compare.Side{Name: side, Program: program, Scenario: sideScenario}
			}
			result, err := compare.Play(sides, rounds, options.seed, stopOnSignal(), func(text string) { fmt.Fprintln(cmd.ErrOrStderr(), text) })
			if err != nil {
				return err
			}
			result.Print(cmd.OutOrStdout())
			return saveJSON(options.json, result)
		}}
	options.register(cmd)
	cmd.Flags().IntVar(&rounds, "rounds", 5, "number of runs of each side")
	return cmd
}

// plotCommand draws saved reports as PNG files.
func plotCommand() *cobra.Command {
	var outputFile string
	cmd := &cobra.Command{Use: "plot REPORT...", Short: "Plot reports as PNG: latency, service and the load of each backend over time, with events marked",
		Args: cobra.MinimumNArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			for _, file := range args {
				runReport, err := report.Load(file)
				if err != nil {
					return err
				}
				out := strings.TrimSuffix(file, ".json") + ".png"
				if outputFile != "" {
					out = outputFile
				}
				if err := runReport.Plot(out); err != nil {
					return err
				}
				fmt.Fprintln(cmd.OutOrStdout(), out)
			}
			return nil
		}}
	cmd.Flags().StringVar(&outputFile, "to", "", "file for the plot, if only one report is given")
	return cmd
}

// proveCommand runs the named proof: a set of claims with the measurements that support or refute them.
func proveCommand() *cobra.Command {
	proof := &prove.Proof{}
	var options scenarioFlags
	var earlierBuild string
	cmd := &cobra.Command{Use: "prove NAME", Short: "Run a proof and print each claim with its aim, the measurement and its source; exit 1 if a claim does not hold",
		Long: "Run a proof and print each claim with its aim, the measurement, its source, and whether the claim holds.\n\n  " + strings.Join(prove.Names(), "\n  "),
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var err error
			proof.Name, proof.Seed, proof.Stop = args[0], max(options.seed, 1), stopOnSignal()
			if proof.Self, err = os.Executable(); err != nil {
				return err
			}
			if proof.Sidecar, err = sidecarProgram(options.sidecar); err != nil {
				return err
			}
			if earlierBuild != "" {
				if proof.EarlierBuild, err = sidecarProgram(earlierBuild); err != nil {
					return err
				}
			}
			proof.Progress = func(text string) { fmt.Fprintln(cmd.ErrOrStderr(), "…", text) }
			if err := proof.Play(); err != nil {
				return err
			}
			proof.Print(cmd.OutOrStdout())
			if err := saveJSON(options.json, proof); err != nil {
				return err
			}
			if !proof.Holds() {
				return errNotHeld
			}
			return nil
		}}
	options.register(cmd)
	cmd.Flags().StringVar(&earlierBuild, "beside", "", "earlier build of the sidecar, which the floor proof measures in the same rounds")
	cmd.Flags().BoolVar(&proof.Quick, "quick", false, "run a shorter version that ends within 50 s")
	cmd.Flags().StringVar(&proof.Break, "break", "", "disable a guard, to show that the proof then fails")
	return cmd
}

// standInCommands returns the hidden commands that run this program in place of a sidecar: a forwarder without
// any load balancing, sidecars that break a rule, and the real sidecar with failing system calls. The lab
// starts them like a sidecar.
func standInCommands() []*cobra.Command {
	forwarder := &cobra.Command{Use: "bare", Short: "Run a plain forwarder in place of a sidecar, without load balancing", Hidden: true,
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return baseline.Serve(os.Getenv("RELAY_CONFIG")) }}
	var way string
	ruleBreaker := &cobra.Command{Use: "faulty", Short: "Run a sidecar that breaks one rule", Hidden: true,
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return faulty.Serve(os.Getenv("RELAY_CONFIG"), way) }}
	ruleBreaker.Flags().StringVar(&way, "break", "honest", "how it breaks a rule; honest: it breaks none")
	return []*cobra.Command{forwarder, ruleBreaker, failingCommand()}
}

// failingCommand runs the real sidecar code with failing system calls and a wall clock that steps.
func failingCommand() *cobra.Command {
	var wall, level string
	var seed uint64
	cmd := &cobra.Command{Use: "failing", Short: "Run a sidecar whose system calls fail and whose wall clock steps", Hidden: true,
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			logLevel, err := zerolog.ParseLevel(level)
			if err != nil {
				return err
			}
			return failing.Serve(os.Getenv("RELAY_CONFIG"), wall, seed, logLevel)
		}}
	cmd.Flags().StringVar(&wall, "wall", "", "file with the step of the wall clock in microseconds")
	cmd.Flags().StringVar(&level, "log", "warn", "minimum level that is logged")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the injected failures")
	return cmd
}
