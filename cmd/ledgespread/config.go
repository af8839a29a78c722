package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"ledgespread/internal/extensions"
	"ledgespread/internal/members"
	"ledgespread/internal/rollouts"
)

const (
	statusTimeout        = 2 * time.Second
	publishTimeout       = 5 * time.Second
	maxConcurrentQueries = 64
	noConfigurations     = "it carries no configurations"
)

// queryTarget holds the flags that select the sidecar to query.
type queryTarget struct {
	extensionsFile    string
	membershipAddress string
}

func (q *queryTarget) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&q.extensionsFile, "with", "", "file of extensions of the sidecar to query")
	c.Flags().StringVar(&q.membershipAddress, "at", "", "membership address of the sidecar, instead of the one in the file")
}

// address returns the membership address of the sidecar to query.
func (q *queryTarget) address() (string, error) {
	if q.membershipAddress != "" {
		return q.membershipAddress, nil
	}
	loaded, err := extensions.ReadFile(q.extensionsFile)
	if err != nil {
		return "", err
	}
	if loaded.Membership == nil {
		return "", errors.New("no sidecar to query: set --at, or --with to a file that has a [membership] table")
	}
	return loaded.Membership.Listen, nil
}

// configCommand returns the command group by which operators publish a configuration and see which is in force where.
func configCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Configurations that members carry: publish one, or see which is in force where", Args: cobra.NoArgs}
	cmd.AddCommand(statusCommand(), publishCommand())
	return cmd
}

// statusCommand returns the command that prints the configuration status of all members.
func statusCommand() *cobra.Command {
	var target queryTarget
	var asJSON bool
	cmd := &cobra.Command{Use: "status", Short: "Print which configuration is in force where, who lags, and who refused one and why", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			address, err := target.address()
			if err != nil {
				return err
			}
			status, err := queryFleet(address)
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(status)
			}
			status.print(cmd.OutOrStdout())
			return nil
		}}
	target.addFlags(cmd)
	cmd.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	return cmd
}

// publishCommand returns the command that publishes a configuration file.
func publishCommand() *cobra.Command {
	var target queryTarget
	var number uint64
	cmd := &cobra.Command{Use: "publish FILE", Short: "Send a configuration to the member on a control machine", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			address, err := target.address()
			if err != nil {
				return err
			}
			reply, err := publish(address, args[0], number)
			if err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), reply)
			return nil
		}}
	target.addFlags(cmd)
	cmd.Flags().Uint64Var(&number, "number", 0, "number of the configuration; 0: the next that is free as far as the member knows")
	return cmd
}

// publish sends a configuration file to the member at an address and returns its reply.
func publish(address, file string, number uint64) (string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	if len(text) > rollouts.MaxContentBytes {
		return "", fmt.Errorf("%s:1: the configuration is longer than %d bytes", file, rollouts.MaxContentBytes)
	}
	request := rollouts.RequestPrefix + "publish " + strconv.FormatUint(number, 10) + "\n"
	reply, err := members.Query(address, append([]byte(request), text...), publishTimeout)
	if err != nil {
		return "", fmt.Errorf("%s: %w", address, err)
	}
	if reason, refused := strings.CutPrefix(string(reply), "refused "); refused || len(reply) == 0 {
		return "", fmt.Errorf("%s refused the configuration: %s", address, reason)
	}
	return string(reply), nil
}

// fleetStatus is the configuration status of all members that the queried member knows.
type fleetStatus struct {
	QueriedAddress string         `json:"asked"`
	NewestNumber   uint64         `json:"newest"` // highest configuration number that a member reports
	InForceCount   int            `json:"in_force_at"`
	Members        []memberStatus `json:"members"`
}

// memberStatus is the state of one member in membership and its configuration status.
type memberStatus struct {
	Name          string           `json:"name"`
	Zone          string           `json:"zone"`
	Address       string           `json:"address"`
	State         string           `json:"state"` // membership state, such as alive, dead or left
	Error         string           `json:"error,omitempty"`
	Configuration *rollouts.Status `json:"says"` // null: the member didn't answer or doesn't carry configurations
}

// queryFleet asks one member for the membership table, and then each listed member that isn't dead or gone for its
// configuration status.
func queryFleet(address string) (*fleetStatus, error) {
	text, err := members.FetchTable(address, statusTimeout)
	if err != nil {
		return nil, err
	}
	var table struct {
		Members []memberStatus `json:"members"`
	}
	if err := json.Unmarshal(text, &table); err != nil {
		return nil, err
	}
	fleet := &fleetStatus{QueriedAddress: address, Members: table.Members}
	var queries sync.WaitGroup
	slots := make(chan bool, maxConcurrentQueries)
	for i := range fleet.Members {
		member := &fleet.Members[i]
		if member.State == "dead" || member.State == "left" {
			continue
		}
		queries.Add(1)
		slots <- true
		go func() {
			defer queries.Done()
			defer func() { <-slots }()
			text, err := members.Query(member.Address, []byte(rollouts.RequestPrefix+"status"), statusTimeout)
			if errors.Is(err, io.EOF) { // closed without a reply: this member doesn't handle configuration queries
				member.Error = noConfigurations
				return
			}
			if err != nil {
				member.Error = err.Error()
				return
			}
			status := &rollouts.Status{}
			if err := json.NewDecoder(bytes.NewReader(text)).Decode(status); err != nil {
				member.Error = noConfigurations
				return
			}
			member.Configuration = status
		}()
	}
	queries.Wait()
	for _, member := range fleet.Members {
		if member.Configuration != nil && member.Configuration.Newest != nil {
			fleet.NewestNumber = max(fleet.NewestNumber, member.Configuration.Newest.Number)
		}
	}
	for _, member := range fleet.Members {
		if member.Configuration != nil && member.Configuration.InForce != nil && member.Configuration.InForce.Number == fleet.NewestNumber {
			fleet.InForceCount++
		}
	}
	return fleet, nil
}

// summary describes a member's configuration status relative to the newest number in the fleet.
func (m *memberStatus) summary(newest uint64) string {
	status := m.Configuration
	switch {
	case status == nil && m.Error == "":
		return m.State
	case status == nil:
		return "no answer: " + m.Error
	case status.Why != "":
		return "refused: " + status.Why
	case status.Contested:
		return "contested: " + status.Newest.Digest + " and " + status.Other
	case status.OnTrial:
		return "on trial" + reportSummary(status)
	case status.InForce != nil && status.InForce.Number == newest:
		return "in force" + map[bool]string{true: "; stopped since" + reportSummary(status)}[status.Stage == "stopped"]
	case newest == 0:
		return "its own file alone"
	case status.Newest == nil || status.Newest.Number < newest:
		return "lags: has not heard of " + strconv.FormatUint(newest, 10)
	case status.Stage == "stopped":
		return "stopped" + reportSummary(status)
	}
	return "lags: " + status.Stage + reportSummary(status)
}

// reportSummary lists the reports from other members' trials, except the verdicts "no worse" and "idle".
func reportSummary(status *rollouts.Status) string {
	var verdicts []string
	for _, report := range status.Reports {
		if report.Verdict != "no worse" && report.Verdict != "idle" {
			verdicts = append(verdicts, map[bool]string{true: "one that is gone"}[report.Member == ""]+report.Member+" "+report.Verdict)
		}
	}
	if verdicts == nil {
		return ""
	}
	return " (" + strings.Join(verdicts, ", ") + ")"
}

// print writes one line for each member, those that need attention first, and a line with the totals.
func (f *fleetStatus) print(w io.Writer) {
	fmt.Fprintf(w, "%-12s %-12s %-22s %-8s %9s %9s  %s\n", "name", "zone", "address", "state", "in force", "newest", "stands")
	formatNumber := func(version *rollouts.Version) string {
		if version == nil {
			return "-"
		}
		return strconv.FormatUint(version.Number, 10)
	}
	slices.SortStableFunc(f.Members, func(a, b memberStatus) int { return sortRank(a, f.NewestNumber) - sortRank(b, f.NewestNumber) })
	for _, member := range f.Members {
		inForce, newest := "-", "-"
		if member.Configuration != nil {
			inForce, newest = formatNumber(member.Configuration.InForce), formatNumber(member.Configuration.Newest)
		}
		fmt.Fprintf(w, "%-12s %-12s %-22s %-8s %9s %9s  %s\n", member.Name, member.Zone, member.Address, member.State, inForce, newest, member.summary(f.NewestNumber))
	}
	fmt.Fprintf(w, "number %d is the newest; in force at %d of %d\n", f.NewestNumber, f.InForceCount, len(f.Members))
}

// sortRank returns 0 for a member that needs attention and 1 for one at which the newest configuration is in force and
// not stopped, so that the former are printed first.
func sortRank(member memberStatus, newest uint64) int {
	if member.Configuration != nil && member.Configuration.InForce != nil && member.Configuration.InForce.Number == newest && member.Configuration.Stage != "stopped" {
		return 1
	}
	return 0
}
