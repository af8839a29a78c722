package rollout

// status.go: the status report of a node for operators.

import (
	"cmp"
	"slices"
)

// Status describes the configurations that a member knows, for operators.
type Status struct {
	InForce, Newest       Version
	OnTrial               bool   // Newest is applied here for a trial and not in force yet
	NewerNumber           Number // higher number that is not downloaded here yet; 0 if there is none
	HasContent, Contested bool   // the content of Newest is here; another content has the same number
	OtherDigest           Digest // if Contested: the digest of the other content
	Stage                 Stage
	Reason                string       // if Newest was refused here: file:line: reason
	Since                 Micros       // when this member learned of Newest
	Policy                CanaryPolicy // canary policy of Newest
	Reports               []Report
}

// Report is a member's verdict on the newest configuration. Name is empty if no live member has the rank.
type Report struct {
	Name    Name
	Rank    Rank
	Verdict Verdict
}

// Status returns the current status.
func (n *Node) Status() Status {
	newest := &n.newest
	status := Status{OnTrial: n.applied == newest.Version && n.applied != n.inForce, InForce: n.inForce, Newest: newest.Version, HasContent: newest.hasContent, Contested: newest.contested, OtherDigest: newest.otherDigest, Stage: newest.stage, Reason: newest.refusal,
		Since: newest.since, Policy: newest.policy}
	if n.wanted.Number > newest.Number {
		status.NewerNumber = n.wanted.Number
	}
	names := map[Rank]Name{n.ownRank(): n.name}
	n.ports.EachLive(func(name Name) { names[rankOf(newest.Number, name)] = name })
	for r, v := range newest.reports {
		status.Reports = append(status.Reports, Report{names[r], r, v})
	}
	slices.SortFunc(status.Reports, func(a, b Report) int { return cmp.Compare(a.Rank, b.Rank) })
	return status
}

// InForce returns the version in force at this member.
func (n *Node) InForce() Version { return n.inForce }
