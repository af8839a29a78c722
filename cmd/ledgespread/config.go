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
	statusWait  = 2 * time.Second
	publishWait = 5 * time.Second
	asksAtOnce  = 64
	carriesNone = "it carries no configurations"
)

// member is which sidecar is asked, by flags.
type member struct {
	extensionsFile string
	at             string
}

func (m *member) flags(c *cobra.Command) {
	c.Flags().StringVar(&m.extensionsFile, "with", "", "the file of extensions of the sidecar that is asked")
	c.Flags().StringVar(&m.at, "at", "", "its membership's address, in place of the file's")
}

// address is its membership's.
func (m *member) address() (string, error) {
	if m.at != "" {
		return m.at, nil
	}
	f, err := extensions.Read(m.extensionsFile)
	if err != nil {
		return "", err
	}
	if f.Membership == nil {
		return "", errors.New("no sidecar to ask: give --at, or --with a file that has a [membership]")
	}
	return f.Membership.Listen, nil
}

// configCommand is for staff: what configuration is in force where, and handing one over.
func configCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Configurations that members carry: publish one, or see which is in force where", Args: cobra.NoArgs}
	c.AddCommand(statusCommand(), publishCommand())
	return c
}

func statusCommand() *cobra.Command {
	var asked member
	var raw bool
	c := &cobra.Command{Use: "status", Short: "Print which configuration is in force where, who lags, and who refused one and why", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			at, err := asked.address()
			if err != nil {
				return err
			}
			f, err := askAll(at)
			if err != nil {
				return err
			}
			if raw {
				return json.NewEncoder(c.OutOrStdout()).Encode(f)
			}
			f.print(c.OutOrStdout())
			return nil
		}}
	asked.flags(c)
	c.Flags().BoolVar(&raw, "json", false, "as JSON")
	return c
}

func publishCommand() *cobra.Command {
	var asked member
	var number uint64
	c := &cobra.Command{Use: "publish FILE", Short: "Hand a configuration over to a control machine's member", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			at, err := asked.address()
			if err != nil {
				return err
			}
			reply, err := publish(at, args[0], number)
			if err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), reply)
			return nil
		}}
	asked.flags(c)
	c.Flags().Uint64Var(&number, "number", 0, "its number; 0: the next that the member knows to be free")
	return c
}

// publish hands a file over to the member at an address, and tells what that says.
func publish(at, file string, number uint64) (string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	if len(text) > rollouts.Most {
		return "", fmt.Errorf("%s:1: it is longer than %d bytes", file, rollouts.Most)
	}
	ask := rollouts.Asks + "publish " + strconv.FormatUint(number, 10) + "\n"
	reply, err := members.Ask(at, append([]byte(ask), text...), publishWait)
	if err != nil {
		return "", fmt.Errorf("%s: %w", at, err)
	}
	if why, refused := strings.CutPrefix(string(reply), "refused "); refused || len(reply) == 0 {
		return "", fmt.Errorf("%s refuses it: %s", at, why)
	}
	return string(reply), nil
}

// fleet is what all members say, as one of them knows them.
type fleet struct {
	Asked   string     `json:"asked"`
	Newest  uint64     `json:"newest"` // the highest number that any speaks of
	InForce int        `json:"in_force_at"`
	Members []oneOfAll `json:"members"`
}

// oneOfAll is one member.
type oneOfAll struct {
	Name    string           `json:"name"`
	Zone    string           `json:"zone"`
	Address string           `json:"address"`
	State   string           `json:"state"` // by membership
	Error   string           `json:"error,omitempty"`
	Says    *rollouts.Status `json:"says"` // null: it gave no answer, or carries none
}

// askAll asks a member for the others, and then each of them.
func askAll(at string) (*fleet, error) {
	text, err := members.Look(at, statusWait)
	if err != nil {
		return nil, err
	}
	var table struct {
		Members []oneOfAll `json:"members"`
	}
	if err := json.Unmarshal(text, &table); err != nil {
		return nil, err
	}
	f := &fleet{Asked: at, Members: table.Members}
	var all sync.WaitGroup
	places := make(chan bool, asksAtOnce)
	for i := range f.Members {
		m := &f.Members[i]
		if m.State == "dead" || m.State == "left" {
			continue
		}
		all.Add(1)
		places <- true
		go func() {
			defer all.Done()
			defer func() { <-places }()
			text, err := members.Ask(m.Address, []byte(rollouts.Asks+"status"), statusWait)
			if errors.Is(err, io.EOF) { // it hung up: nobody there answers such a question
				m.Error = carriesNone
				return
			}
			if err != nil {
				m.Error = err.Error()
				return
			}
			says := &rollouts.Status{}
			if err := json.NewDecoder(bytes.NewReader(text)).Decode(says); err != nil {
				m.Error = carriesNone
				return
			}
			m.Says = says
		}()
	}
	all.Wait()
	for _, m := range f.Members {
		if m.Says != nil && m.Says.Newest != nil {
			f.Newest = max(f.Newest, m.Says.Newest.Number)
		}
	}
	for _, m := range f.Members {
		if m.Says != nil && m.Says.InForce != nil && m.Says.InForce.Number == f.Newest {
			f.InForce++
		}
	}
	return f, nil
}

// stands is in a few words where a member stands.
func (m *oneOfAll) stands(newest uint64) string {
	s := m.Says
	switch {
	case s == nil && m.Error == "":
		return m.State
	case s == nil:
		return "no answer: " + m.Error
	case s.Why != "":
		return "refused: " + s.Why
	case s.Contested:
		return "contested: " + s.Newest.Digest + " and " + s.Other
	case s.OnTrial:
		return "on trial" + said(s)
	case s.InForce != nil && s.InForce.Number == newest:
		return "in force" + map[bool]string{true: "; stopped since" + said(s)}[s.Stage == "stopped"]
	case newest == 0:
		return "its own file alone"
	case s.Newest == nil || s.Newest.Number < newest:
		return "lags: has not heard of " + strconv.FormatUint(newest, 10)
	case s.Stage == "stopped":
		return "stopped" + said(s)
	}
	return "lags: " + s.Stage + said(s)
}

// said is what others reported, but that it went no worse.
func said(s *rollouts.Status) string {
	var out []string
	for _, r := range s.Reports {
		if r.Verdict != "no worse" && r.Verdict != "idle" {
			out = append(out, map[bool]string{true: "one that is gone"}[r.Member == ""]+r.Member+" "+r.Verdict)
		}
	}
	if out == nil {
		return ""
	}
	return " (" + strings.Join(out, ", ") + ")"
}

func (f *fleet) print(w io.Writer) {
	fmt.Fprintf(w, "%-12s %-12s %-22s %-8s %9s %9s  %s\n", "name", "zone", "address", "state", "in force", "newest", "stands")
	number := func(v *rollouts.Version) string {
		if v == nil {
			return "-"
		}
		return strconv.FormatUint(v.Number, 10)
	}
	slices.SortStableFunc(f.Members, func(a, b oneOfAll) int { return rough(a, f.Newest) - rough(b, f.Newest) })
	for _, m := range f.Members {
		force, newest := "-", "-"
		if m.Says != nil {
			force, newest = number(m.Says.InForce), number(m.Says.Newest)
		}
		fmt.Fprintf(w, "%-12s %-12s %-22s %-8s %9s %9s  %s\n", m.Name, m.Zone, m.Address, m.State, force, newest, m.stands(f.Newest))
	}
	fmt.Fprintf(w, "number %d is the newest; in force at %d of %d\n", f.Newest, f.InForce, len(f.Members))
}

// rough puts those first of whom there is something to say.
func rough(m oneOfAll, newest uint64) int {
	if m.Says != nil && m.Says.InForce != nil && m.Says.InForce.Number == newest && m.Says.Stage != "stopped" {
		return 1
	}
	return 0
}
