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

// files are the flags of what reads a configuration.
type files struct {
	configuration string
	extensions    string
}

func (f *files) flags(c *cobra.Command) {
	c.Flags().StringVar(&f.configuration, "config", os.Getenv("RELAY_CONFIG"), "configuration file, JSON")
	c.Flags().StringVar(&f.extensions, "with", "", "file of what is ours beside the platform's, TOML; none: nothing of it runs")
}

func root() *cobra.Command {
	c := &cobra.Command{Use: "ledgespread", Short: "A load balancer that runs beside every client process",
		SilenceUsage: true, Args: cobra.NoArgs, CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true}}
	c.AddCommand(serveCommand(), checkCommand(), membersCommand(), configCommand(), migrate(), versionCommand())
	return c
}

func serveCommand() *cobra.Command {
	var read files
	var level string
	var tally time.Duration
	c := &cobra.Command{Use: "serve", Short: "Serve the application beside it until SIGTERM", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return serve(read, level, tally) }}
	read.flags(c)
	c.Flags().StringVar(&level, "log", "info", "least level that is logged: debug, info, warn or error")
	c.Flags().DurationVar(&tally, "tally", 0, "log all counters every so often, to be summed over a fleet; 0: only at the end")
	return c
}

// serve reads the files and runs a sidecar by them.
func serve(read files, level string, tally time.Duration) error {
	at, err := zerolog.ParseLevel(level)
	if err != nil {
		return err
	}
	options, err := sidecar.Read(read.configuration, read.extensions, at)
	if err != nil {
		return err
	}
	options.Version = release
	options.Tally = tally
	return sidecar.Run(options)
}

func checkCommand() *cobra.Command {
	var read files
	var against string
	c := &cobra.Command{Use: "check", Short: "Tell whether a configuration file is whole", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			manifest, err := whole(read.configuration)
			if err != nil {
				return err
			}
			if against != "" { // a sidecar runs, and holds its addresses
				return compare(c.OutOrStdout(), read.configuration, against, manifest)
			}
			if err := canStart(manifest, read.extensions); err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), read.configuration+": whole")
			return nil
		}}
	read.flags(c)
	c.Flags().StringVar(&against, "against", "", "the file that a sidecar runs by: tell what of the other would be live, and what needs a restart")
	return c
}

// canStart tells whether a start would find its addresses and folders free.
func canStart(manifest *site.Manifest, extensionsFile string) error {
	if manifest.Console != "" {
		staff, err := console.Listen(manifest.Console, manifest.Sockets, console.Sidecar{}, &counters.Sheet{}, zerolog.Nop())
		if err != nil {
			return err
		}
		staff.Close()
	}
	fitted, err := extensions.Read(extensionsFile)
	if err != nil {
		return err
	}
	if fitted.Membership != nil {
		if err := fitted.Membership.Free(); err != nil {
			return err
		}
	}
	if fitted.Rollout != nil {
		return fitted.Rollout.Usable()
	}
	return nil
}

func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print what was built", Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			fmt.Fprintf(c.OutOrStdout(), "ledgespread %s (%s, %s)\n", release, revision(), runtime.Version())
		}}
}

// revision is the commit that was built, where that is known.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown revision"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return "unknown revision"
}
