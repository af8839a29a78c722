package membership

// This file returns what this member knows to its caller.

import (
	"slices"
)

// RaiseLinger raises Config.LeaveLinger to a new longest client timeout. A shorter one is ignored, because requests
// that a departed member started earlier may still run for the old timeout.
func (n *Node) RaiseLinger(longest Micros) { n.config.LeaveLinger = max(n.config.LeaveLinger, longest) }

// Senders returns how many members share a common budget. It rises as soon as another member is known, and
// falls only when a departed member can no longer be sending.
func (n *Node) Senders() int {
	count := 1 + len(n.living)
	for _, member := range n.departed {
		if member.state == Dead || n.clock-member.since < n.config.LeaveLinger {
			count++
		}
	}
	if n.config.DisabledGuard == "no-linger" {
		return 1 + len(n.living)
	}
	return max(count, n.config.MinSenders)
}

// otherMembers returns all members but this one, the living ones first.
func (n *Node) otherMembers() []*entry { return slices.Concat(n.living, n.departed) }

// Each calls visit for every entry of the member table: this member first, then the living, then the departed
// ones.
func (n *Node) Each(visit func(Member)) {
	visit(Member{MemberInfo: *n.self.info, State: n.self.state, Since: n.startedAt, ReportedBy: n.self.info.Name, Incarnation: n.self.incarnation, Self: true})
	for _, member := range n.otherMembers() {
		line := Member{MemberInfo: *member.info, State: member.state, Cut: member.cut, Since: member.since, RTT: Micros(member.rtt), Incarnation: member.incarnation}
		line.Instance = member.instance
		if member.trouble != nil {
			line.ReportedBy, line.SuspicionDoublings = member.trouble.reportedBy, member.trouble.doublings
		}
		visit(line)
	}
}
