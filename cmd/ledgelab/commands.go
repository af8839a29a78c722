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

// beside is the sidecar's binary: that of the same build, beside this one.
func beside() string {
	self, err := os.Executable()
	if err != nil {
		return "ledgespread"
	}
	return filepath.Join(filepath.Dir(self), "ledgespread")
}

// program is a sidecar's binary as the stage starts it.
func program(path string) (sidecars.Program, error) {
	if _, err := os.Stat(path); err != nil {
		return sidecars.Program{}, fmt.Errorf("no sidecar to play with: %w (build it beside this program, or name it by --sidecar)", err)
	}
	whole, err := filepath.Abs(path)
	return sidecars.Program{Path: whole, Args: []string{"serve", "--log", "warn"}, Name: filepath.Base(path)}, err
}

// interrupted is closed when an interrupt, SIGTERM or a hang-up comes: the run then ends by itself and takes all that it
// started with it. A second one ends at once; the kernel ends the rest.
func interrupted() <-chan struct{} {
	came, stop := make(chan os.Signal, 2), make(chan struct{})
	signal.Notify(came, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-came
		close(stop)
		<-came
		os.Exit(couldNot)
	}()
	return stop
}

func root() *cobra.Command {
	cmd := &cobra.Command{Use: "ledgelab", Short: "A stand-in fleet on loopback: its faults, load and experiments",
		SilenceUsage: true, SilenceErrors: true, Args: cobra.NoArgs, CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true}}
	cmd.AddCommand(demoCommand(), runCommand(), loadCommand(), compareCommand(), crowdCommand(), rolloutCommand(), scaleCommand(), capacityCommand(), plotCommand(),
		proveCommand(), soakCommand())
	cmd.AddCommand(standIns()...)
	cmd.AddCommand(simulations()...)
	return cmd
}

// common are the flags of all that plays scenarios.
type common struct {
	sidecar, folder, json string
	seed                  uint64
}

func (o *common) flags(c *cobra.Command) {
	c.Flags().StringVar(&o.sidecar, "sidecar", beside(), "the sidecar's binary")
	c.Flags().StringVar(&o.folder, "logs", "", "folder for configurations and logs of the sidecars; they are kept there")
	c.Flags().StringVar(&o.json, "json", "", "file for the report in JSON")
	c.Flags().Uint64Var(&o.seed, "seed", 0, "another seed than the scenario's")
}
