package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"ledgespread/lab/sidecars"
)

// defaultSidecar returns the default path of the sidecar's binary: ledgespread in the folder of this program.
func defaultSidecar() string {
	self, err := os.Executable()
	if err != nil {
		return "ledgespread"
	}
	return filepath.Join(filepath.Dir(self), "ledgespread")
}

// sidecarProgram describes how to start the sidecar's binary at path.
func sidecarProgram(path string) (sidecars.Program, error) {
	if _, err := os.Stat(path); err != nil {
		return sidecars.Program{}, fmt.Errorf("sidecar binary not found: %w (build it into this program's folder, or name it with --sidecar)", err)
	}
	absolute, err := filepath.Abs(path)
	return sidecars.Program{Path: absolute, Args: []string{"serve", "--log", "warn"}, Name: filepath.Base(path)}, err
}

// stopOnSignal returns a channel that is closed on the first SIGINT, SIGTERM or SIGHUP: the run then stops and
// ends the processes that it started. A second signal exits at once and leaves those processes to the kernel.
func stopOnSignal() <-chan struct{} {
	signals, stop := make(chan os.Signal, 2), make(chan struct{})
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		close(stop)
		<-signals
		os.Exit(exitFailed)
	}()
	return stop
}

// rootCommand builds the ledgelab command with all of its subcommands.
func rootCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "ledgelab", Short: "Test lab of ledgespread: a simulated fleet on loopback, with faults, load and experiments",
		SilenceUsage: true, SilenceErrors: true, Args: cobra.NoArgs, CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true}}
	cmd.AddCommand(demoCommand(), runCommand(), loadCommand(), compareCommand(), membershipSizesCommand(), rolloutCommand(), scaleCommand(), capacityCommand(), plotCommand(),
		proveCommand(), soakCommand())
	cmd.AddCommand(standInCommands()...)
	cmd.AddCommand(simulationCommands()...)
	return cmd
}

// scenarioFlags holds the flags that all commands that run scenarios share.
type scenarioFlags struct {
	sidecar, folder, json string
	seed                  uint64
}

func (o *scenarioFlags) register(cmd *cobra.Command) {
	cmd.Flags().StringVar(&o.sidecar, "sidecar", defaultSidecar(), "the sidecar's binary")
	cmd.Flags().StringVar(&o.folder, "logs", "", "folder for configurations and logs of the sidecars; they are kept there")
	cmd.Flags().StringVar(&o.json, "json", "", "file for the report in JSON")
	cmd.Flags().Uint64Var(&o.seed, "seed", 0, "seed to use instead of the scenario's")
}
