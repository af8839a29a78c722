package main

import (
	"fmt"
	"runtime"
	"time"

	"github.com/spf13/cobra"

	"ledgespread/lab/prove"
)

// rolloutCommand simulates configuration changes in fleets of several sizes and reports the time until the last
// member has one.
func rolloutCommand() *cobra.Command {
	var file, commit, date string
	var sizes []int
	var seeds int
	var seed uint64
	cmd := &cobra.Command{Use: "rollout", Short: "Simulate a configuration change in fleets of several sizes: time until the last member has it, and traffic of the busiest member",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			result := prove.RolloutSizes(sizes, seeds, seed)
			result.Commit, result.Date, result.Machine = commit, date, fmt.Sprintf("%d cores, which it doesn't depend on", runtime.NumCPU())
			for _, event := range result.Events {
				fmt.Fprintf(cmd.OutOrStdout(), "%-32s %6.0f members  median %10.2f  most %10.2f %s, of %d\n", event.Name, event.At["sidecars"], event.Median, event.Last, event.Unit, event.N)
			}
			for _, claim := range result.Claims {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", claim.Claim, claim.Measured)
			}
			if file != "" {
				if err := result.Write(file); err != nil {
					return err
				}
			}
			if len(result.Claims) > 0 {
				return errNotHeld
			}
			return nil
		}}
	flags := cmd.Flags()
	flags.StringVar(&file, "json", "", "file for the report, as ledgelab capacity reads it")
	flags.StringVar(&commit, "commit", "", "commit that is measured, as recorded in the file")
	flags.StringVar(&date, "date", time.Now().UTC().Format(time.DateOnly), "date, as recorded in the file")
	flags.IntSliceVar(&sizes, "members", []int{50, 100, 200, 500, 1000}, "numbers of members to simulate")
	flags.IntVar(&seeds, "seeds", 5, "number of seeds, with one change each, for every size")
	flags.Uint64Var(&seed, "seed", 1, "first random seed")
	return cmd
}
