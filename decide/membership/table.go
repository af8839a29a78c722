package membership

// This file keeps the member table: the state of each member, and what the records in messages change of it.

import (
	"math"
	"slices"
)

// ensureTrouble returns the member's trouble record, creating it if there is none.
func (e *entry) ensureTrouble() *trouble {
	if e.trouble == nil {
		e.trouble = &trouble{}
	}
	return e.trouble
}

// reportChange reports a change of the member to the host.
func (n *Node) reportChange(member *entry, from State, why string, by Name) {
	n.host.Changed(Change{Name: member.info.Name, From: from, To: member.state, Cut: member.cut, Reason: why, ReportedBy: by})
}

// setState moves a member to another state, reports the change and gossips it. by is the member whose message
// caused it.
func (n *Node) setState(member *entry, to State, why string, by Name) {
	from := member.state
	if from == to {
		return
	}
	wasLiving, isLiving := from == Alive || from == Suspect, to == Alive || to == Suspect
	member.state, member.since = to, n.clock
	switch {
	case isLiving && !wasLiving:
		n.departed = slices.DeleteFunc(n.departed, func(other *entry) bool { return other == member })
		at := n.randomIndex(len(n.living) + 1)
		n.living = append(n.living, member)
		n.living[at], n.living[len(n.living)-1] = member, n.living[at]
	case wasLiving && !isLiving:
		if at := slices.Index(n.living, member); at >= 0 {
			if n.living = slices.Delete(n.living, at, at+1); at < n.nextTarget {
				n.nextTarget--
			}
		}
		n.departed = append(n.departed, member)
		n.unwatch(member)
		member.cut = 0
	case !isLiving:
		if !slices.Contains(n.departed, member) {
			n.departed = append(n.departed, member)
		}
	}
	if to != Alive || by != member.info.Name {
		member.ensureTrouble().reportedBy = by
	} else if member.trouble != nil {
		member.trouble.reportedBy = by
	}
	if member.trouble != nil && to != Suspect {
		member.trouble.suspicion = nil
	}
	n.reportChange(member, from, why, by)
	n.gossip(member)
	n.updateSide()
}

// gossip queues the member's record so that it reaches all members with high probability.
func (n *Node) gossip(member *entry) {
	n.queueUpdate(member, uint8(math.Ceil(gossipFactor*math.Log2(float64(len(n.living)+2)))+1))
}

// queueUpdate queues the member's record for at least the given number of messages.
func (n *Node) queueUpdate(member *entry, sends uint8) {
	member.sendsLeft = max(member.sendsLeft, sends)
	if !member.queued {
		member.queued = true
		n.freshUpdates = append(n.freshUpdates, member)
	}
}

// addMember adds a member that was not known. It returns nil if the table is full or the name empty.
func (n *Node) addMember(info MemberInfo, incarnation Incarnation, heartbeat Heartbeat) *entry {
	if info.Name == "" || len(n.members) >= n.config.MaxMembers {
		n.host.Rejected("over_members", info.Address)
		return nil
	}
	member := &entry{info: &info, instance: info.Instance, incarnation: incarnation, heartbeat: heartbeat, lastHeard: n.now - n.intervals(2*recentlyHeard)}
	n.members[info.Name] = member
	return member
}

// recordLiveness processes evidence that a member was alive at a heartbeat of an incarnation; direct evidence
// comes in a message of the member itself. It reports whether the evidence is recent enough to count. A
// dead or departed member is revived by a higher incarnation only, so that delayed messages can't revive it.
func (n *Node) recordLiveness(member *entry, instance Instance, incarnation Incarnation, heartbeat Heartbeat, direct bool) bool {
	if n.config.DisabledGuard == "old-incarnation" && member.state > Suspect {
		member.incarnation = incarnation
		n.setState(member, Alive, "stale message", member.info.Name)
	}
	raised := incarnation > member.incarnation
	switch {
	case incarnation < member.incarnation || incarnation == member.incarnation && instance != member.instance && member.instance != 0 && instance != 0:
		return false
	case raised:
		member.instance, member.incarnation, member.heartbeat = instance, incarnation, heartbeat
	case member.state > Suspect:
		return false
	case heartbeat < member.heartbeat:
		return true
	}
	if member.instance == 0 {
		member.instance = instance
	}
	newer := raised || heartbeat > member.heartbeat
	if member.heartbeat = heartbeat; member.state != Alive {
		if open := member.suspicion(); member.state == Suspect && !raised && open != nil && heartbeat <= open.heartbeat {
			return true
		}
		newer = true
	}
	if direct {
		member.lastHeard, n.lastReceived = n.now, n.now
	} else if newer && (member.state == Suspect || member.trouble != nil && member.trouble.missedProbes > 0) {
		member.ensureTrouble().vouchedAt = n.now
	}
	n.markAlive(member)
	return true
}

// markAlive moves a member to Alive from whichever state it is in.
func (n *Node) markAlive(member *entry) {
	switch from := member.state; from {
	case Alive:
	case Suspect:
		member.ensureTrouble().clearedAt = n.now
		n.setState(member, Alive, "newer message received", member.info.Name)
	default:
		if t := member.trouble; from == Dead && t != nil {
			if t.diedAt != 0 && !t.maybePartitioned { // declared dead by mistake: wait for longer the next time
				t.doublings, t.doublingsAt = min(t.doublings+1, maxDoublings), n.now
			}
			t.maybePartitioned, t.diedAt, t.missedProbes, t.leaveReported = false, 0, 0, false
		}
		why := "joined"
		if from != 0 {
			why = "rejoined"
			if n.random()*float64(len(n.living)+1) < rejoinExchanges {
				n.exchange([]*entry{member}, false)
			}
		}
		n.setState(member, Alive, why, member.info.Name)
	}
}

// handleAlive processes what a member announces about itself, received from it or passed on by others.
// fromTable means that it arrived in a full state exchange.
func (n *Node) handleAlive(info MemberInfo, incarnation Incarnation, heartbeat Heartbeat, fromTable bool) {
	if info.Name == n.self.info.Name {
		n.handleOwnName(info, incarnation)
		return
	}
	member := n.members[info.Name]
	if member == nil {
		if member = n.addMember(info, incarnation, heartbeat); member == nil {
			return
		}
		n.setState(member, Alive, "joined", info.Name)
		return
	}
	if incarnation > member.incarnation || incarnation == member.incarnation && (info.Instance == member.instance || member.instance == 0) {
		if info.Number != member.info.Number || info.Address != member.info.Address || info.Version != member.info.Version || info.Zone != member.info.Zone || info.BrainAddress != member.info.BrainAddress {
			announced := info
			member.info = &announced
			n.reportChange(member, member.state, "its announced data changed", info.Name)
		}
	}
	if fromTable && incarnation == member.incarnation && member.state == Suspect {
		return // the table may be older than the suspicion; a member that vouches for the suspect sends a message of its own
	}
	if was := member.incarnation; n.recordLiveness(member, info.Instance, incarnation, heartbeat, false) && incarnation > was {
		n.gossip(member)
	}
}

// notify sends a member the state that it has in this member's table. The number of such messages per interval is
// limited; other members learn the state by gossip.
func (n *Node) notify(member *entry, always bool) {
	if t := member.ensureTrouble(); n.noticesLeft > 0 && (always || n.now-t.notifiedAt > n.config.ProbeInterval) {
		n.noticesLeft--
		t.notifiedAt = n.now
		n.sendMessage(member.info.Name, member.info.Address, kindGossip, nil, member)
	}
}

// handleLeave processes a report that a member left. A report from the member itself is final. If another
// member reports it, the member is pinged first, and counts as gone unless its heartbeat advances within
// two intervals.
func (n *Node) handleLeave(name Name, incarnation Incarnation, heartbeat Heartbeat, by Name) {
	if name == n.self.info.Name {
		if !n.left {
			n.refute(incarnation, by)
		}
		return
	}
	member := n.members[name]
	if member == nil {
		if member = n.addMember(MemberInfo{Name: name}, incarnation, heartbeat); member != nil {
			n.setState(member, Left, "left", by)
		}
		return
	}
	if incarnation < member.incarnation || incarnation-member.incarnation > maxIncarnationIncrease || member.state == Left {
		return
	}
	if member.state == Dead || by == name {
		member.incarnation = incarnation
		n.setState(member, Left, "left", by)
		return
	}
	if t := member.ensureTrouble(); !t.leaveReported {
		t.leaveReported, t.leaveHeartbeat = true, member.heartbeat
		n.ping(member, &probe{target: member, sentAt: n.now, checkOnly: true})
		n.timers.Schedule(n.now+2*n.config.ProbeInterval, func() {
			if t.leaveReported = false; member.state > Suspect || member.heartbeat > t.leaveHeartbeat {
				return
			}
			member.incarnation = max(member.incarnation, incarnation)
			n.setState(member, Left, "left", by)
		})
	}
}

// refute answers an accusation of this member with a higher incarnation.
func (n *Node) refute(incarnation Incarnation, accuser Name) {
	if incarnation < n.self.incarnation || incarnation-n.self.incarnation > maxIncarnationIncrease || n.left || n.config.DisabledGuard == "no-refutation" {
		return
	}
	n.self.incarnation = incarnation + 1
	n.slowness = min(n.slowness+1, maxSlowness)
	n.gossip(n.self)
	if member := n.members[accuser]; member != nil && member.state <= Suspect {
		n.notify(member, true)
	}
}

// handleOwnName processes a record of a member with this member's name. If it is about an earlier process of
// this member, this one continues with a higher incarnation. If another process may use the name elsewhere,
// it is pinged first.
func (n *Node) handleOwnName(info MemberInfo, incarnation Incarnation) {
	self := n.self
	switch {
	case incarnation < self.incarnation || incarnation-self.incarnation > maxIncarnationIncrease || n.left:
	case info.Instance == self.instance:
		if incarnation > self.incarnation {
			self.incarnation = incarnation + 1
			n.gossip(self)
		}
	case info.Address == self.info.Address || info.Address == "":
		self.incarnation = incarnation + 1
		n.gossip(self)
	case n.conflict == nil:
		n.conflict = &nameConflict{address: info.Address, instance: info.Instance, incarnation: incarnation}
		n.pingConflict(n.conflict)
	case incarnation >= n.conflict.incarnation:
		n.conflict.incarnation = incarnation
	}
}

// pingConflict pings the address of another process with this member's name, conflictProbes times. Without an
// answer that process counts as gone, and this one uses the name.
func (n *Node) pingConflict(conflict *nameConflict) {
	if n.conflict != conflict {
		return
	}
	if conflict.tries++; conflict.tries > conflictProbes {
		n.conflict = nil
		n.self.incarnation = conflict.incarnation + 1
		n.gossip(n.self)
		return
	}
	n.pingAddress(conflict.address)
	n.timers.Schedule(n.now+n.config.ProbeInterval, func() { n.pingConflict(conflict) })
}

// handleNameConflict processes a message of another process with this member's name. The process that has
// been a member for longer keeps the name. claimed means that the other one states its age, in reply to a
// message of this one.
func (n *Node) handleNameConflict(at Address, instance Instance, age Micros, claimed bool) {
	ownAge := n.clock - n.startedAt
	if n.left {
		return
	}
	if claimed && (age > ownAge || age == ownAge && instance > n.self.instance) {
		if n.conflict == nil || n.conflict.tries >= 0 { // reported once each time that this process gives up the name
			n.host.NameContested(at, true)
			conflict := &nameConflict{address: at, instance: instance, tries: -1}
			n.conflict = conflict
			n.yields++
			wait := float64(int(conflictProbes)<<min(n.yields, 6)) * float64(n.config.ProbeInterval)
			n.timers.Schedule(n.now+Micros(wait*(0.5+n.random())), func() {
				if n.conflict == conflict { // the other process may be gone by now
					conflict.tries, conflict.incarnation = 0, max(conflict.incarnation, n.self.incarnation)
					n.pingConflict(conflict)
				}
			})
		}
		return
	}
	if n.now-n.conflictSent < n.config.ProbeInterval && n.conflictSent != 0 {
		return
	}
	n.conflictSent = n.now
	if conflict := n.conflict; claimed && conflict != nil && conflict.tries >= 0 { // the other process is the younger one
		n.conflict = nil
		n.self.incarnation = max(n.self.incarnation, conflict.incarnation) + 1
		n.gossip(n.self)
	}
	n.host.NameContested(at, false)
	n.sendMessage("", at, kindNameTaken, putAge(nil, ownAge), nil)
}
