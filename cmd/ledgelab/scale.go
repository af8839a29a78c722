package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"ledgespread/lab/report"
	"ledgespread/lab/scale"
	"ledgespread/lab/size"
)

func scaleCommand() *cobra.Command {
	var o common
	var quick bool
	var picture string
	c := &cobra.Command{Use: "scale [RUN]", Args: cobra.MaximumNArgs(1),
		Short: "Play sizes, hollow sidecars beside real ones: slopes, the largest predicted before it is run; as a table, JSON and PNG",
		RunE: func(c *cobra.Command, args []string) error {
			if quick && len(args) > 0 {
				return fmt.Errorf("--quick plays a run of its own: leave %s or --quick out", args[0])
			}
			r, err := scale.Usual(quick)
			if len(args) > 0 {
				r, err = scale.Read(args[0])
			}
			if err != nil {
				return err
			}
			if o.seed != 0 {
				r.Seed = o.seed
			}
			p, err := program(o.sidecar)
			if err != nil {
				return err
			}
			out := c.OutOrStdout()
			done, err := scale.Play(r, scale.Options{Sidecar: p, Quick: quick, Stop: interrupted(), Folder: o.folder,
				Say: func(text string) { fmt.Fprintln(c.ErrOrStderr(), "…", text) },
				Keep: func(now *size.Report) error {
					fmt.Fprintln(out, "Predicted, before the largest sizes are run:")
					scale.PrintPredictions(out, now)
					fmt.Fprintln(out)
					return save(o.json, now)
				}})
			if err != nil {
				return err
			}
			scale.Print(out, done)
			if err := save(o.json, done); err != nil {
				return err
			}
			if picture != "" {
				if err := report.PlotSlopes(done, picture); err != nil {
					return err
				}
			}
			if !scale.Holds(done) {
				return errBroke
			}
			return nil
		}}
	o.flags(c)
	c.Flags().BoolVar(&quick, "quick", false, "play it in small, under 60 s on 8 cores")
	c.Flags().StringVar(&picture, "to", "", "file for the picture")
	return c
}
