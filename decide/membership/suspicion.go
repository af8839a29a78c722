package membership

// This file opens and ends suspicions.

import (
	"math"
	"slices"
)

// suspicion returns the open suspicion of the member; nil if there is none.
func (e *entry) suspicion() *suspicion {
	if e.trouble == nil {
		return nil
	}
	return e.trouble.suspicion
}

// accuse records that a member, this one or another, reports the suspect as unreachable. The first accuser
// opens a suspicion; each further one shortens its timeout.
func (n *Node) accuse(suspect *entry, accuser Name, why string) {
	t := suspect.ensureTrouble()
	open := t.suspicion
	if suspect.state != Suspect {
		open = &suspicion{heartbeat: suspect.heartbeat, since: n.now}
		t.suspicion = open
		n.setState(suspect, Suspect, why, accuser)
		t.suspicion, t.doublingsAt = open, n.now
		n.repeatSuspicion(suspect, open)
		if accuser != n.self.info.Name {
			n.checkSuspect(suspect, open)
		}
	}
	if slices.Contains(open.accusers, accuser) || len(open.accusers) > fullConfirmations {
		return
	}
	open.accusers = append(open.accusers, accuser)
	if accuser == n.self.info.Name {
		n.gossip(suspect)
	}
	needed := max(min(fullConfirmations, len(n.living)-1), 1)
	shortest := n.minSuspicionTime(suspect)
	longest := Micros(maxSuspicionFactor * float64(shortest))
	part := min(math.Log(float64(len(open.accusers)))/math.Log(float64(needed+1)), 1)
	open.deadline = open.since + longest - Micros(part*float64(longest-shortest))
	n.timers.Schedule(max(open.deadline, n.now+1), func() { n.expireSuspicion(suspect, open) })
}

// repeatSuspicion gossips a suspicion again while it lasts. A member that missed how others ended it would
// otherwise declare the suspect dead on one accusation.
func (n *Node) repeatSuspicion(suspect *entry, open *suspicion) {
	n.timers.Schedule(n.now+n.intervals(suspicionRepeatAfter), func() {
		if suspect.suspicion() == open {
			n.queueUpdate(suspect, suspicionRepeats)
			n.repeatSuspicion(suspect, open)
		}
	})
}

// checkSuspect probes a member that others suspect, at a random time early in the suspicion. A member that
// reaches it vouches for it; one that does not becomes a further accuser. In a large group only some members
// do this.
func (n *Node) checkSuspect(suspect *entry, open *suspicion) {
	if n.random()*float64(len(n.living)) > checkingMembers {
		return
	}
	span := n.intervals(minSuspicion / 2)
	n.timers.Schedule(n.now+Micros(n.random()*float64(span)), func() {
		if suspect.suspicion() == open {
			n.startProbe(suspect, true, true)
		}
	})
}

// expireSuspicion declares a suspect dead when its suspicion is still open at the deadline.
func (n *Node) expireSuspicion(suspect *entry, open *suspicion) {
	if suspect.suspicion() != open || suspect.state != Suspect || n.now < open.deadline {
		return
	}
	if n.receivesNothing() && n.config.DisabledGuard != "cut-is-death" { // this member's own network may have failed
		open.deadline = n.now + n.minSuspicionTime(suspect)
		n.timers.Schedule(open.deadline, func() { n.expireSuspicion(suspect, open) })
		return
	}
	n.declareDead(suspect, "suspicion timed out without a sign of life")
}

func (n *Node) declareDead(member *entry, why string) {
	accuser := n.self.info.Name
	if open := member.suspicion(); open != nil && len(open.accusers) > 0 {
		accuser = open.accusers[0]
	}
	t := member.ensureTrouble()
	t.diedAt = n.now
	n.setState(member, Dead, why, accuser)
	if n.side != Majority {
		for _, other := range n.departed {
			if other.state == Dead {
				other.ensureTrouble().maybePartitioned = true
			}
		}
	}
}

// handleAccusation processes another member's report that a member is suspected or dead. It must withstand
// stale reports, and a misbehaving member that accuses everybody: this member probes the accused itself, the
// accused is notified, and no report alone makes a living member dead.
func (n *Node) handleAccusation(name Name, incarnation Incarnation, heartbeat Heartbeat, accuser Name, dead bool) {
	if name == n.self.info.Name {
		n.refute(incarnation, accuser)
		return
	}
	accused := n.members[name]
	if accused == nil {
		if dead && incarnation > 0 {
			if accused = n.addMember(MemberInfo{Name: name}, incarnation, heartbeat); accused != nil {
				n.setState(accused, Dead, "other members report it dead", accuser)
			}
		}
		return
	}
	cleared := incarnation == accused.incarnation && heartbeat < accused.heartbeat && accused.trouble != nil &&
		accused.trouble.clearedAt != 0 && n.now-accused.trouble.clearedAt < n.intervals(vouchedFor)
	if (incarnation < accused.incarnation || cleared) && accused.state == Alive { // the accuser missed newer messages of the accused
		n.corrections = append(n.corrections, accused)
		if !accused.queued {
			n.gossip(accused)
		}
		return
	}
	if incarnation < accused.incarnation || incarnation-accused.incarnation > maxIncarnationIncrease || accused.state > Suspect {
		return
	}
	if incarnation > accused.incarnation {
		accused.incarnation, accused.heartbeat, accused.instance = incarnation, heartbeat, 0 // the accused announces its instance itself
	}
	n.accuse(accused, accuser, "another member suspects it")
	if dead {
		n.notify(accused, false)
	}
}
