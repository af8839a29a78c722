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
	"ledgespread/internal/reload"
	"ledgespread/internal/sidecar"
	"ledgespread/internal/site"
)

// release is the program's version; it equals the newest entry of the changelog.
const release = "0.1.0"

// readStartable reads a configuration file and checks that a sidecar could start with it.
func readStartable(file string) (*site.Manifest, error) {
	manifest, err := site.ReadFile(file)
	if err != nil {
		return nil, err
	}
	if err := reload.CheckStart(manifest); err != nil {
		text, _ := os.ReadFile(file)
		return nil, site.WithPosition(file, text, err)
	}
	return manifest, nil
}

// printChanges prints which settings of a new configuration file would take effect at once in a sidecar that runs
// with runningFile, which need a restart, and which no part of the program reads.
func printChanges(w io.Writer, file, runningFile string, next *site.Manifest) error {
	running, err := readStartable(runningFile)
	if err != nil {
		return err
	}
	_, change := running.MergeLive(next)
	fmt.Fprintf(w, "%s: whole; while a sidecar runs by %s:\n", file, runningFile)
	for _, list := range []struct {
		names []string
		label string
	}{{change.Live, "live"}, {change.Restart, "needs a restart"}, {change.Unknown, "read by nothing here"}} {
		for _, name := range list.names {
			reason := ""
			if row := site.RuleFor(name); row != nil {
				reason = ": " + row.Reason
			}
			fmt.Fprintf(w, "%s: %s%s\n", list.label, name, reason)
		}
	}
	if len(change.Live)+len(change.Restart)+len(change.Unknown) == 0 {
		fmt.Fprintln(w, "nothing differs")
	}
	return nil
}

// configFiles holds the flags of the commands that read a configuration.
type configFiles struct {
	configuration string
	extensions    string
}

func (f *configFiles) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&f.configuration, "config", os.Getenv("RELAY_CONFIG"), "configuration file, JSON")
	c.Flags().StringVar(&f.extensions, "with", "", "file of extensions, TOML; empty: no extension runs")
}

// rootCommand returns the command line interface with all its commands.
func rootCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "ledgespread", Short: "A load balancer that runs beside every client process",
		SilenceUsage: true, Args: cobra.NoArgs, CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true}}
	cmd.AddCommand(serveCommand(), checkCommand(), membersCommand(), configCommand(), migrateCommand(), versionCommand())
	return cmd
}

func serveCommand() *cobra.Command {
	var files configFiles
	var level string
	var tallyInterval time.Duration
	cmd := &cobra.Command{Use: "serve", Short: "Run the sidecar until SIGTERM", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return serve(files, level, tallyInterval) }}
	files.addFlags(cmd)
	cmd.Flags().StringVar(&level, "log", "info", "lowest level that is logged: debug, info, warn or error")
	cmd.Flags().DurationVar(&tallyInterval, "tally", 0, "interval at which all counters are logged, for summing over a fleet; 0: only at exit")
	return cmd
}

// serve reads the configuration files and runs a sidecar with them.
func serve(files configFiles, level string, tallyInterval time.Duration) error {
	logLevel, err := zerolog.ParseLevel(level)
	if err != nil {
		return err
	}
	options, err := sidecar.Read(files.configuration, files.extensions, logLevel)
	if err != nil {
		return err
	}
	options.Version = release
	options.Tally = tallyInterval
	return sidecar.Run(options)
}

func checkCommand() *cobra.Command {
	var files configFiles
	var runningFile string
	cmd := &cobra.Command{Use: "check", Short: "Check that a configuration file is complete and valid", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			manifest, err := readStartable(files.configuration)
			if err != nil {
				return err
			}
			if runningFile != "" { // a sidecar is running and has its addresses in use
				return printChanges(cmd.OutOrStdout(), files.configuration, runningFile, manifest)
			}
			if err := checkResources(manifest, files.extensions); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), files.configuration+": whole")
			return nil
		}}
	files.addFlags(cmd)
	cmd.Flags().StringVar(&runningFile, "against", "", "the file that a sidecar runs by: tell what of the other would be live, and what needs a restart")
	return cmd
}

// checkResources checks that a sidecar could listen on the configured addresses and use the configured folders.
func checkResources(manifest *site.Manifest, extensionsFile string) error {
	if manifest.Console != "" {
		listener, err := console.Listen(manifest.Console, manifest.Sockets, console.Sidecar{}, &counters.Set{}, zerolog.Nop())
		if err != nil {
			return err
		}
		listener.Close()
	}
	loaded, err := extensions.ReadFile(extensionsFile)
	if err != nil {
		return err
	}
	if loaded.Membership != nil {
		if err := loaded.Membership.CheckListen(); err != nil {
			return err
		}
	}
	if loaded.Rollout != nil {
		return loaded.Rollout.CheckFolder()
	}
	return nil
}

func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print version, revision and Go version", Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			fmt.Fprintf(c.OutOrStdout(), "ledgespread %s (%s, %s)\n", release, revision(), runtime.Version())
		}}
}

// revision returns the commit that the program was built from, if the build recorded it.
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
