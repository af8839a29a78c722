package rollout

// status.go: what a member holds, for staff.

import (
	"cmp"
	"slices"
)

// Status is what a member knows of configurations, for staff.
type Status struct {
	InForce, Newest Version
	OnTrial         bool   // the newest is taken over here, and not in force yet
	Wanted          Number // others hold it; 0: none that this member lacks
	Held, Contested bool
	Other           Digest // of the contested number
	Stage           Stage
	Why             string // it was refused here: file:line: reason
	Since           Micros // of the newest
	Path            Path
	Reports         []Report
}

// Report is what a member said of the newest; the name is empty where it is not among those that live.
type Report struct {
	Name    Name
	Rank    Rank
	Verdict Verdict
}

// Status tells it.
func (n *Node) Status() Status {
	c := &n.cur
	s := Status{OnTrial: n.live == c.Version && n.live != n.force, InForce: n.force, Newest: c.Version, Held: c.held, Contested: c.contested, Other: c.other, Stage: c.stage, Why: c.why,
		Since: c.at, Path: c.path}
	if n.want.Number > c.Number {
		s.Wanted = n.want.Number
	}
	names := map[Rank]Name{n.mine(): n.me}
	n.out.Living(func(name Name) { names[rank(c.Number, name)] = name })
	for r, v := range c.reports {
		s.Reports = append(s.Reports, Report{names[r], r, v})
	}
	slices.SortFunc(s.Reports, func(a, b Report) int { return cmp.Compare(a.Rank, b.Rank) })
	return s
}

// InForce is the version in force here.
func (n *Node) InForce() Version { return n.force }
