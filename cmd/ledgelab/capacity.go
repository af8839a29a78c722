package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"ledgespread/lab/capacity"
	"ledgespread/lab/size"
)

// measuredIn is where the committed measurements are, from the root of the repository.
const measuredIn = "docs/capacity"

// committed are the files of measurements that are committed.
func committed() ([]string, error) {
	files, err := filepath.Glob(filepath.Join(measuredIn, "*.json"))
	if err != nil || len(files) == 0 {
		return nil, fmt.Errorf("no measurements in %s: run it from the root of the repository, or name files by --measured", measuredIn)
	}
	return capacity.EarlierFirst(files), nil
}

func capacityCommand() *cobra.Command {
	var requirement, write, check string
	var measured []string
	c := &cobra.Command{Use: "capacity", Short: "Work the tables of docs/CAPACITY.md out, from the requirement and what runs have measured; arithmetic only", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
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
				now, err := capacity.Write(write, string(text), tables)
				if err != nil || now == string(text) {
					return err
				}
				return os.WriteFile(write, []byte(now), 0o644)
			case check != "":
				text, err := os.ReadFile(check)
				if err != nil {
					return err
				}
				differ, err := capacity.Check(check, string(text), tables)
				if err != nil {
					fmt.Fprintln(c.OutOrStdout(), err)
					return errBroke
				}
				for _, d := range differ {
					fmt.Fprintf(c.OutOrStdout(), "%s:%s\n", check, d)
				}
				if len(differ) > 0 {
					return errBroke
				}
				return nil
			}
			fmt.Fprint(c.OutOrStdout(), page.Print())
			return nil
		}}
	f := c.Flags()
	f.StringVar(&requirement, "requirement", "", "the requirement's file (left out: lab/size/requirement.toml, built in)")
	f.StringArrayVar(&measured, "measured", nil, "a file of measurements, several times; of one name the last counts (left out: all of "+measuredIn+")")
	f.StringVar(&write, "write", "", "the page whose tables are to be written anew")
	f.StringVar(&check, "check", "", "the page whose tables are compared: exit code 1 where one differs")
	c.MarkFlagsMutuallyExclusive("write", "check")
	return c
}

func readCapacity(requirement string, measured []string) (*capacity.Page, error) {
	file, err := size.ReadFile(requirement)
	if err != nil {
		return nil, err
	}
	if len(measured) == 0 {
		if measured, err = committed(); err != nil {
			return nil, err
		}
	}
	told, err := capacity.ReadEvidence(measured)
	if err != nil {
		return nil, err
	}
	words, err := capacity.ReadMechanisms()
	if err != nil {
		return nil, err
	}
	return &capacity.Page{File: file, Told: told, Words: words}, nil
}
