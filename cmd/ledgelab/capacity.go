package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"ledgespread/lab/capacity"
	"ledgespread/lab/size"
)

// measurementsFolder is the folder of the committed measurements, relative to the root of the repository.
const measurementsFolder = "docs/capacity"

// committedMeasurements returns the committed measurement files, ordered from the earliest run to the latest.
func committedMeasurements() ([]string, error) {
	files, err := filepath.Glob(filepath.Join(measurementsFolder, "*.json"))
	if err != nil || len(files) == 0 {
		return nil, fmt.Errorf("no measurements in %s: run this command from the root of the repository, or name files with --measured", measurementsFolder)
	}
	return capacity.EarlierFirst(files), nil
}

// capacityCommand prints, writes or checks the tables of the capacity page.
func capacityCommand() *cobra.Command {
	var requirement, write, check string
	var measured []string
	cmd := &cobra.Command{Use: "capacity", Short: "Compute the tables of docs/CAPACITY.md from the requirement and the committed measurements; runs nothing",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			page, err := readCapacity(requirement, measured)
			if err != nil {
				return err
			}
			tables := page.Tables()
			switch {
			case write != "":
				text, err := os.ReadFile(write)
				if err != nil {
					return err
				}
				updated, err := capacity.Write(write, string(text), tables)
				if err != nil || updated == string(text) {
					return err
				}
				return os.WriteFile(write, []byte(updated), 0o644)
			case check != "":
				text, err := os.ReadFile(check)
				if err != nil {
					return err
				}
				differences, err := capacity.Check(check, string(text), tables)
				if err != nil {
					fmt.Fprintln(cmd.OutOrStdout(), err)
					return errNotHeld
				}
				for _, difference := range differences {
					fmt.Fprintf(cmd.OutOrStdout(), "%s:%s\n", check, difference)
				}
				if len(differences) > 0 {
					return errNotHeld
				}
				return nil
			}
			fmt.Fprint(cmd.OutOrStdout(), page.Print())
			return nil
		}}
	flags := cmd.Flags()
	flags.StringVar(&requirement, "requirement", "", "requirement file (default: lab/size/requirement.toml, built in)")
	flags.StringArrayVar(&measured, "measured", nil, "measurement file, may be repeated; of several measurements with one name the last counts (default: all in "+measurementsFolder+")")
	flags.StringVar(&write, "write", "", "page whose tables are rewritten")
	flags.StringVar(&check, "check", "", "page whose tables are compared; exit code 1 if one differs")
	cmd.MarkFlagsMutuallyExclusive("write", "check")
	return cmd
}

// readCapacity reads the requirement, the measurements and the descriptions of mechanisms that the tables are
// computed from.
func readCapacity(requirement string, measured []string) (*capacity.Page, error) {
	file, err := size.ReadFile(requirement)
	if err != nil {
		return nil, err
	}
	if len(measured) == 0 {
		if measured, err = committedMeasurements(); err != nil {
			return nil, err
		}
	}
	evidence, err := capacity.ReadEvidence(measured)
	if err != nil {
		return nil, err
	}
	mechanisms, err := capacity.ReadMechanisms()
	if err != nil {
		return nil, err
	}
	return &capacity.Page{File: file, Evidence: evidence, Mechanisms: mechanisms}, nil
}
