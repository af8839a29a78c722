package membership

// Preload fills the member table as if all members had joined long ago, without any message. It lets a
// simulation of thousands of members start without playing their joins. The elements of all are shared with
// the caller, not copied.
func (n *Node) Preload(now Micros, all []MemberInfo) {
	n.advanceClock(now)
	for i := range all {
		if info := &all[i]; info.Name != n.self.info.Name {
			member := &entry{info: info, instance: info.Instance, incarnation: 1, state: Alive, since: n.clock}
			n.members[info.Name] = member
			n.living = append(n.living, member)
		}
	}
	n.lastExchange = n.now
	n.nextTarget = len(n.living)
	n.updateSide()
}
