package membership

// view.go: what a member knows, as others are told.

import (
	"slices"
)

// Lingers hears of another longest client timeout. A shorter one doesn't count: what a member that left has under way may be older.
func (n *Node) Lingers(longest Micros) { n.terms.Linger = max(n.terms.Linger, longest) }

// Senders is among how many a budget for all is to be shared: at once more where more are heard of, and fewer only when
// those that are gone can't be sending any more.
func (n *Node) Senders() int {
	all := 1 + len(n.ring)
	for _, e := range n.lost {
		if e.state == Dead || n.real-e.since < n.terms.Linger {
			all++
		}
	}
	if n.terms.Unguard == "no-linger" {
		return 1 + len(n.ring)
	}
	return max(all, n.terms.Senders)
}

// others are all that are held, those that live first.
func (n *Node) others() []*entry { return slices.Concat(n.ring, n.lost) }

// Each hands out the table, this member first, then those that live.
func (n *Node) Each(line func(Member)) {
	line(Member{About: *n.self.about, State: n.self.state, Since: n.begun, By: n.self.about.Name, Incarnation: n.self.inc, Self: true})
	for _, e := range n.others() {
		m := Member{About: *e.about, State: e.state, Way: e.way, Since: e.since, Trip: Micros(e.trip), Incarnation: e.inc}
		m.Life = e.life
		if e.more != nil {
			m.By, m.Holds = e.more.by, e.more.holds
		}
		line(m)
	}
}
