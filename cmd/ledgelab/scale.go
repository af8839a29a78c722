package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"ledgespread/lab/report"
	"ledgespread/lab/scale"
	"ledgespread/lab/size"
)

// scaleCommand runs fleets of growing size, with lightweight stand-in sidecars beside real ones, and compares
// the largest with what the smaller ones predict.
func scaleCommand() *cobra.Command {
	var options scenarioFlags
	var quick bool
	var picture string
	cmd := &cobra.Command{Use: "scale [RUN]", Args: cobra.MaximumNArgs(1),
		Short: "Run fleets of growing size with hollow sidecars beside real ones and predict the largest before it is run; as a table, JSON and PNG",
		RunE: func(cmd *cobra.Command, args []string) error {
			if quick && len(args) > 0 {
				return fmt.Errorf("--quick has a built-in run: leave out either %s or --quick", args[0])
			}
			run, err := scale.DefaultRun(quick)
			if len(args) > 0 {
				run, err = scale.Read(args[0])
			}
			if err != nil {
				return err
			}
			if options.seed != 0 {
				run.Seed = options.seed
			}
			program, err := sidecarProgram(options.sidecar)
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			result, err := scale.Execute(run, scale.Options{Sidecar: program, Quick: quick, Stop: stopOnSignal(), Folder: options.folder,
				OnProgress: func(text string) { fmt.Fprintln(cmd.ErrOrStderr(), "…", text) },
				OnPredictions: func(now *size.Report) error {
					fmt.Fprintln(out, "Predicted, before the largest sizes are run:")
					scale.PrintPredictions(out, now)
					fmt.Fprintln(out)
					return saveJSON(options.json, now)
				}})
			if err != nil {
				return err
			}
			scale.Print(out, result)
			if err := saveJSON(options.json, result); err != nil {
				return err
			}
			if picture != "" {
				if err := report.PlotSlopes(result, picture); err != nil {
					return err
				}
			}
			if !scale.AllHold(result) {
				return errNotHeld
			}
			return nil
		}}
	options.register(cmd)
	cmd.Flags().BoolVar(&quick, "quick", false, "a small run, under 60 s on 8 cores")
	cmd.Flags().StringVar(&picture, "to", "", "file for the plot (PNG)")
	return cmd
}
