package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"ledgespread/brain"
	"ledgespread/decide/membership"
	"ledgespread/internal/extensions"
	"ledgespread/internal/members"
	"ledgespread/internal/peers"
	"ledgespread/internal/relay"
	"ledgespread/internal/rollouts"
	"ledgespread/internal/site"
)

// joined has this sidecar be a member, where it is fitted so; nil: it is none. What it hears of the others goes to those who
// tell them things.
func joined(b *site.Manifest, f *extensions.Extensions, r *relay.Relay, others *peers.Peers, patient bool, roll *rollouts.Rollouts, log zerolog.Logger) (*members.Members, error) {
	if f.Membership == nil {
		return nil, nil
	}
	_, longest := b.Timeouts()
	self := members.Self{Name: b.Name, Zone: f.Membership.Zone, Version: release, Number: uint16(b.Figure("me")), Senders: max(1, int(b.Figure("balancers"))),
		Linger: time.Duration(longest) * time.Microsecond, Seed: b.Seed}
	if self.Zone == "" {
		mine := "azs." + strconv.Itoa(int(b.Figure("my_zone")))
		if self.Zone, _ = b.Site[mine].(string); self.Zone == "" {
			self.Zone, _ = b.Site[mine+".name"].(string)
		}
	}
	if roll != nil {
		self.Rider = roll
	}
	if others != nil {
		self.Notes, _ = netip.ParseAddrPort(b.PeerListen)
	}
	return members.Open(f.Membership, self, patient, func(all []membership.Member, senders int) {
		r.Senders(senders)
		if others == nil {
			return
		}
		living := map[brain.Peer]netip.AddrPort{}
		for _, x := range all {
			var at netip.AddrPort
			if x.State <= membership.Suspect && !x.Self && at.UnmarshalBinary([]byte(x.Notes)) == nil {
				living[brain.Peer(x.Number)] = at
			}
		}
		others.Follow(living)
	}, log)
}

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
