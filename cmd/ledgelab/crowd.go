package main

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/spf13/cobra"

	"ledgespread/decide/membership"
	"ledgespread/decide/membership/membersim"
	"ledgespread/lab/report"
)

// gcPercent is the garbage collection target in percent: it keeps the heap close to the live data, since 10,000
// members hold 10,000 entries each.
const gcPercent = 15

// membershipSizesCommand simulates memberships of several sizes and loss rates and reports how fast deaths are
// detected and at what cost.
func membershipSizesCommand() *cobra.Command {
	var picture, file, slopes, commit, date string
	var sizes []int
	var losses []float64
	var seed uint64
	cmd := &cobra.Command{Use: "crowd", Short: "Simulate member groups of several sizes: detection of a death, false deaths, traffic and memory; as a table, JSON and PNG",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			debug.SetGCPercent(gcPercent)
			settings := membership.Config{Group: "lab", ProbeInterval: 250_000, ExchangeInterval: 30_000_000, DeadRetention: 600_000_000, LeaveLinger: 3_000_000, MinSenders: 1, MaxMembers: 20_000}
			var all []membersim.Figures
			fmt.Fprintf(cmd.OutOrStdout(), "%8s %6s %12s %12s %14s %10s %12s %12s %12s\n", "members", "lost", "first, s", "all, s", "false deaths", "minutes", "B/s", "messages/s", "memory, KiB")
			for _, lost := range losses {
				for _, members := range sizes {
					quietTime := membership.Micros(20_000_000)
					if members > 1000 {
						quietTime = 4_000_000
					}
					measured := membersim.Measure(members, lost, settings, seed, quietTime)
					all = append(all, measured)
					fmt.Fprintf(cmd.OutOrStdout(), "%8d %5.0f%% %12.2f %12.2f %14d %10.1f %12.0f %12.1f %12.0f\n", members, 100*lost, float64(measured.KnownByFirst)/1e6, float64(measured.KnownByAll)/1e6,
						measured.FalseDeaths, measured.MemberMinutes, measured.BytesPerSecond, measured.MessagesPerSecond, measured.MemoryBytes/1024)
				}
			}
			if picture != "" {
				if err := report.PlotCrowd(all, picture); err != nil {
					return err
				}
			}
			if slopes != "" {
				slopeReport, err := report.CrowdSlopes(all, settings.ExchangeInterval)
				if err != nil {
					return err
				}
				slopeReport.Run, slopeReport.Seed, slopeReport.Commit, slopeReport.Date, slopeReport.Machine = "ledgelab crowd, members "+fmt.Sprint(sizes)+", seed "+fmt.Sprint(seed), seed, commit, date, fmt.Sprintf("%d cores, which it doesn't depend on", runtime.NumCPU())
				if err := slopeReport.Write(slopes); err != nil {
					return err
				}
			}
			return saveJSON(file, all)
		}}
	flags := cmd.Flags()
	flags.StringVar(&picture, "to", "", "file for the plot (PNG)")
	flags.StringVar(&file, "json", "", "file for the figures in JSON")
	flags.StringVar(&slopes, "slopes", "", "file for the slopes over the number of members, without loss, as ledgelab capacity reads it; needs at least four sizes")
	flags.StringVar(&commit, "commit", "", "commit that is measured, as recorded in the --slopes file")
	flags.StringVar(&date, "date", time.Now().UTC().Format(time.DateOnly), "date, as recorded in the --slopes file")
	flags.IntSliceVar(&sizes, "members", []int{10, 100, 1000}, "numbers of members to simulate")
	flags.Float64SliceVar(&losses, "lost", []float64{0, 0.1, 0.2, 0.3, 0.4}, "shares of messages lost")
	flags.Uint64Var(&seed, "seed", 1, "random seed")
	return cmd
}
