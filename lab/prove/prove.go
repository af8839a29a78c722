// Package prove runs proofs: named sets of claims about the load balancer or the lab, each checked by a
// measurement that the lab itself records. Every proof can be made to fail by disabling a guard, which shows
// that its checks detect the fault.
package prove

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"unicode/utf8"

	"ledgespread/decide/membership"
	"ledgespread/decide/rollout"
	"ledgespread/lab/scale"
	"ledgespread/lab/sidecars"
	"ledgespread/lab/size"
)

// Claim is one row of a proof.
type Claim struct {
	Statement     string `json:"what"`
	Aim           string `json:"aim"`
	Measured      string `json:"measured"`
	Source        string `json:"how"` // how and by whom it was measured
	Holds         bool   `json:"holds"`
	Informational bool   `json:"noted,omitempty"` // a figure for information, without a claim
}

// Proof is one run of a proof: its options, and the claims as they were measured. It can run only once.
type Proof struct {
	Name   string  `json:"name"`
	Quick  bool    `json:"quick"`
	Seed   uint64  `json:"seed"`
	Break  string  `json:"break,omitempty"`
	Claims []Claim `json:"claims"`

	Sizes *size.Report `json:"sizes,omitempty"` // the measurements of the scale proof

	Sidecar      sidecars.Program `json:"-"`
	EarlierBuild sidecars.Program `json:"-"` // an earlier build, which the floor proof measures in the same rounds
	Self         string           `json:"-"` // path of this program, which also acts as the plain forwarder and the rule-breaking sidecars
	Progress     func(string)     `json:"-"` // reports progress; may be nil
	Stop         <-chan struct{}  `json:"-"`
}

// proof describes a proof: how it runs, the values of --break that make it fail, and what it is about.
type proof struct {
	play        func(*Proof) error
	breaks      []string
	description string
}

// proofs holds all proofs by name.
var proofs = map[string]proof{
	"lab": {playLab, []string{"blind1", "blind2", "blind3", "blind4", "deaf", "slow-core", "skip"},
		"the lab itself: rule-breaking sidecars are detected, records agree, queues match theory, arrivals match the plan"},
	"membership": {playMembership, membership.Guards,
		"membership: simulations beside plain heartbeats, and real processes under faults, checked against the lab's own records"},
	"rollout": {playRollout, rollout.Safeguards,
		"configuration rollout: simulations of up to 1,000 members, and real processes under faults and load"},
	"scale": {playScale, scale.Breaks,
		"the scale measurements: hollow sidecars behave like real ones, slopes predict the largest size, records add up"},
	"floor": {playFloor, []string{"decoy"},
		"the sidecar's overhead, compared with a plain forwarder in alternating rounds of one run"},
}

// Names describes each proof in a line: its name, what it is about and the values of --break.
func Names() (out []string) {
	for name, p := range proofs {
		out = append(out, fmt.Sprintf("%s: %s (--break %s)", name, p.description, strings.Join(p.breaks, ", ")))
	}
	slices.Sort(out)
	return out
}

// Play runs the proof and collects its claims. An error means that the proof could not run, not that a claim
// failed.
func (p *Proof) Play() error {
	found, known := proofs[p.Name]
	if !known {
		return fmt.Errorf("unknown proof %q; known proofs:\n  %s", p.Name, strings.Join(Names(), "\n  "))
	}
	if p.Break != "" && !slices.Contains(found.breaks, p.Break) {
		return fmt.Errorf("proof %s: unknown --break value %q; known values: %s", p.Name, p.Break, strings.Join(found.breaks, ", "))
	}
	return found.play(p)
}

// claim adds a claim, and whether it holds.
func (p *Proof) claim(holds bool, what, aim, how, measured string, values ...any) {
	p.Claims = append(p.Claims, Claim{what, aim, fmt.Sprintf(measured, values...), how, holds, false})
}

// note adds a figure for information, without a claim.
func (p *Proof) note(what, how, measured string, values ...any) {
	p.Claims = append(p.Claims, Claim{what, "-", fmt.Sprintf(measured, values...), how, true, true})
}

// Holds reports whether there are claims and all of them hold.
func (p *Proof) Holds() bool {
	return len(p.Claims) > 0 && !slices.ContainsFunc(p.Claims, func(c Claim) bool { return !c.Holds })
}

// Print writes the claims as a table.
func (p *Proof) Print(w io.Writer) {
	rows := [][]string{{"claim", "aim", "measured", "by", ""}}
	for _, c := range p.Claims {
		end := "HOLDS"
		if !c.Holds {
			end = "DOES NOT HOLD"
		} else if c.Informational {
			end = "-"
		}
		rows = append(rows, []string{c.Statement, c.Aim, c.Measured, c.Source, end})
	}
	widths := make([]int, len(rows[0]))
	for _, row := range rows {
		for i, cell := range row {
			widths[i] = max(widths[i], utf8.RuneCountInString(cell))
		}
	}
	mode := "in full"
	if p.Quick {
		mode = "quick"
	}
	if p.Break != "" {
		mode += ", broken by " + p.Break
	}
	fmt.Fprintf(w, "proof %s, %s, seed %d\n", p.Name, mode, p.Seed)
	for _, row := range rows {
		for i, cell := range row {
			fmt.Fprintf(w, "  %s%s", cell, strings.Repeat(" ", widths[i]-utf8.RuneCountInString(cell)))
		}
		fmt.Fprintln(w)
	}
}
