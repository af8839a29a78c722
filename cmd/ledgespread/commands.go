package main

import (
	"fmt"
	"io"
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
	"ledgespread/internal/sidecar"
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

// compare tells what becomes of a file that a sidecar is given while it runs by an older one.
func compare(w io.Writer, file, older string, next *site.Manifest) error {
	now, err := whole(older)
	if err != nil {
		return err
	}
	_, change := now.Take(next)
	fmt.Fprintf(w, "%s: whole; while a sidecar runs by %s:\n", file, older)
	for _, list := range []struct {
		names []string
		what  string
	}{{change.Live, "live"}, {change.Restart, "needs a restart"}, {change.Unread, "read by nothing here"}} {
		for _, name := range list.names {
			why := ""
			if r := site.Of(name); r != nil {
				why = ": " + r.Why
			}
			fmt.Fprintf(w, "%s: %s%s\n", list.what, name, why)
		}
	}
	if len(change.Live)+len(change.Restart)+len(change.Unread) == 0 {
		fmt.Fprintln(w, "nothing differs")
	}
	return nil
}

func root() *cobra.Command {
	cmd := &cobra.Command{Use: "ledgespread", Short: "A load balancer that runs beside every client process",
		SilenceUsage: true, Args: cobra.NoArgs, CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true}}
	var file, with, level, against string
	var every time.Duration
	config := func(c *cobra.Command) {
		c.Flags().StringVar(&file, "config", os.Getenv("RELAY_CONFIG"), "configuration file, JSON")
		c.Flags().StringVar(&with, "with", "", "file of what is ours beside the platform's, TOML; none: nothing of it runs")
	}
	start := &cobra.Command{Use: "serve", Short: "Serve the application beside it until SIGTERM",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			signals := sidecar.HearSignals()
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
			return sidecar.Run(sidecar.Options{File: file, ExtensionsFile: with, Manifest: manifest, Extensions: fitted, Version: release,
				Tally: every, Signals: signals, Log: log})
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
			if against != "" { // a sidecar runs, and holds its addresses
				return compare(c.OutOrStdout(), file, against, manifest)
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
	check.Flags().StringVar(&against, "against", "", "the file that a sidecar runs by: tell what of the other would be live, and what needs a restart")
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
