package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"ledgespread/internal/extensions"
	"ledgespread/internal/members"
)

// membersCommand returns the command that prints a running sidecar's membership table.
func membersCommand() *cobra.Command {
	var extensionsFile, address string
	var asJSON bool
	cmd := &cobra.Command{Use: "members", Short: "Print the membership table of a running sidecar", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if address == "" {
				loaded, err := extensions.ReadFile(extensionsFile)
				if err != nil {
					return err
				}
				if loaded.Membership == nil {
					return errors.New("no sidecar to query: set --at, or --with to a file that has a [membership] table")
				}
				address = loaded.Membership.Listen
			}
			text, err := members.FetchTable(address, 2*time.Second)
			if err != nil {
				return err
			}
			if asJSON {
				fmt.Fprintln(cmd.OutOrStdout(), string(text))
				return nil
			}
			return printTable(cmd.OutOrStdout(), text)
		}}
	cmd.Flags().StringVar(&extensionsFile, "with", "", "file of extensions of the sidecar")
	cmd.Flags().StringVar(&address, "at", "", "membership address of the sidecar, instead of the one in the file")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	return cmd
}

// printTable prints a membership table, received as JSON, in columns.
func printTable(w io.Writer, text []byte) error {
	var reply map[string]any
	if err := json.Unmarshal(text, &reply); err != nil {
		return err
	}
	rows, _ := reply["members"].([]any)
	numberField := func(row map[string]any, name string) float64 { value, _ := row[name].(float64); return value }
	stringField := func(row map[string]any, name string) string { value, _ := row[name].(string); return value }
	fmt.Fprintf(w, "%-12s %-12s %-22s %-8s %10s  %-12s %11s %-8s %s\n", "name", "zone", "address", "state", "for", "by", "incarnation", "version", "trip")
	for _, item := range rows {
		row, _ := item.(map[string]any)
		roundTrip := ""
		if micros := numberField(row, "trip_us"); micros > 0 {
			roundTrip = fmt.Sprintf("%.1f ms", micros/1000)
		}
		if row["self"] == true {
			roundTrip = "this member"
		}
		if route := stringField(row, "way"); route != "" {
			roundTrip += "; " + route
		}
		fmt.Fprintf(w, "%-12s %-12s %-22s %-8s %8.1f s  %-12s %11.0f %-8s %s\n", stringField(row, "name"), stringField(row, "zone"), stringField(row, "address"),
			stringField(row, "state"), numberField(row, "since_us")/1e6, stringField(row, "by"), numberField(row, "incarnation"), stringField(row, "version"), roundTrip)
	}
	fmt.Fprintf(w, "this member stands in the %s part of those that it knew, for %.1f s; %.0f may be sending\n", stringField(reply, "part"),
		numberField(reply, "part_since_us")/1e6, numberField(reply, "senders"))
	return nil
}
