package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"ledgespread/internal/console"
	"ledgespread/internal/counters"
	"ledgespread/internal/extensions"
	"ledgespread/internal/live"
	"ledgespread/internal/site"
)

const release = "0.1.0" // the changelog's newest

// whole reads a configuration file and tells whether a sidecar could start with it.
func whole(file string) (*site.Manifest, error) {
	manifest, err := site.Read(file)
	if err != nil {
		return nil, err
	}
	if err := live.Starts(manifest); err != nil {
		text, _ := os.ReadFile(file)
		return nil, site.In(file, text, err)
	}
	return manifest, nil
}

func root() *cobra.Command {
	cmd := &cobra.Command{Use: "ledgespread", Short: "A load balancer that runs beside every client process",
		SilenceUsage: true, Args: cobra.NoArgs, CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true}}
	var file, with, level string
	var every time.Duration
	config := func(c *cobra.Command) {
		c.Flags().StringVar(&file, "config", os.Getenv("RELAY_CONFIG"), "configuration file, JSON")
		c.Flags().StringVar(&with, "with", "", "file of what is ours beside the platform's, TOML; none: nothing of it runs")
	}
	start := &cobra.Command{Use: "serve", Short: "Serve the application beside it until SIGTERM",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			at, err := zerolog.ParseLevel(level)
			if err != nil {
				return err
			}
			manifest, err := site.Read(file)
			if err != nil {
				return err
			}
			fitted, err := extensions.Read(with)
			if err != nil {
				return err
			}
			log := zerolog.New(os.Stderr).Level(at).With().Timestamp().Str("sidecar", manifest.Name).Logger()
			return serve(file, with, manifest, fitted, every, log)
		}}
	start.Flags().StringVar(&level, "log", "info", "least level that is logged: debug, info, warn or error")
	start.Flags().DurationVar(&every, "tally", 0, "log all counters every so often, to be summed over a fleet; 0: only at the end")
	check := &cobra.Command{Use: "check", Short: "Tell whether a configuration file is whole",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			manifest, err := whole(file)
			if err != nil {
				return err
			}
			if manifest.Console != "" { // would a start find it free?
				staff, err := console.Listen(manifest.Console, manifest.Sockets, console.Sidecar{}, &counters.Sheet{}, zerolog.Nop())
				if err != nil {
					return err
				}
				staff.Close()
			}
			fitted, err := extensions.Read(with)
			if err != nil {
				return err
			}
			if fitted.Membership != nil {
				if err := fitted.Membership.Free(); err != nil {
					return err
				}
			}
			if fitted.Rollout != nil {
				if err := fitted.Rollout.Usable(); err != nil {
					return err
				}
			}
			fmt.Fprintln(c.OutOrStdout(), file+": whole")
			return nil
		}}
	config(start)
	config(check)
	version := &cobra.Command{Use: "version", Short: "Print what was built", Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			revision := "unknown revision"
			if info, ok := debug.ReadBuildInfo(); ok {
				for _, s := range info.Settings {
					if s.Key == "vcs.revision" {
						revision = s.Value
					}
				}
			}
			fmt.Fprintf(c.OutOrStdout(), "ledgespread %s (%s, %s)\n", release, revision, runtime.Version())
		}}
	cmd.AddCommand(start, check, membersCommand(), configCommand(), migrate(), version)
	return cmd
}
