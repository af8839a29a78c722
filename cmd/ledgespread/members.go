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

// membersCommand prints what a running sidecar holds of the others.
func membersCommand() *cobra.Command {
	var file, at string
	var raw bool
	c := &cobra.Command{Use: "members", Short: "Print the table of members that a running sidecar holds", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if at == "" {
				f, err := extensions.Read(file)
				if err != nil {
					return err
				}
				if f.Membership == nil {
					return errors.New("no sidecar to ask: give --at, or --with a file that has a [membership]")
				}
				at = f.Membership.Listen
			}
			text, err := members.Look(at, 2*time.Second)
			if err != nil {
				return err
			}
			if raw {
				fmt.Fprintln(c.OutOrStdout(), string(text))
				return nil
			}
			return table(c.OutOrStdout(), text)
		}}
	c.Flags().StringVar(&file, "with", "", "the sidecar's file of extensions")
	c.Flags().StringVar(&at, "at", "", "its membership's address, in place of the file's")
	c.Flags().BoolVar(&raw, "json", false, "as JSON")
	return c
}

func table(w io.Writer, text []byte) error {
	var tree map[string]any
	if err := json.Unmarshal(text, &tree); err != nil {
		return err
	}
	lines, _ := tree["members"].([]any)
	number := func(line map[string]any, name string) float64 { x, _ := line[name].(float64); return x }
	word := func(line map[string]any, name string) string { x, _ := line[name].(string); return x }
	fmt.Fprintf(w, "%-12s %-12s %-22s %-8s %10s  %-12s %11s %-8s %s\n", "name", "zone", "address", "state", "for", "by", "incarnation", "version", "trip")
	for _, x := range lines {
		line, _ := x.(map[string]any)
		trip := ""
		if us := number(line, "trip_us"); us > 0 {
			trip = fmt.Sprintf("%.1f ms", us/1000)
		}
		if line["self"] == true {
			trip = "this member"
		}
		if way := word(line, "way"); way != "" {
			trip += "; " + way
		}
		fmt.Fprintf(w, "%-12s %-12s %-22s %-8s %8.1f s  %-12s %11.0f %-8s %s\n", word(line, "name"), word(line, "zone"), word(line, "address"),
			word(line, "state"), number(line, "since_us")/1e6, word(line, "by"), number(line, "incarnation"), word(line, "version"), trip)
	}
	fmt.Fprintf(w, "this member stands in the %s part of those that it knew, for %.1f s; %.0f may be sending\n", word(tree, "part"),
		number(tree, "part_since_us")/1e6, number(tree, "senders"))
	return nil
}
