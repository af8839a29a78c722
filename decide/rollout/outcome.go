package rollout

// outcome.go: rollouts that end without success: they are stopped, or their number is contested.

// stop ends the rollout of the newest configuration: members that have not applied it never will.
func (n *Node) stop(from Name) {
	if n.newest.stage == Stopped {
		return
	}
	n.newest.stage = Stopped
	n.emit("stopped", n.newest.Version, from, "")
	n.announce()
	n.saveOutcome()
}

// contest records that another content has the number of the newest configuration.
func (n *Node) contest(other Digest, from Name) {
	n.newest.contested, n.newest.otherDigest = true, other
	n.running = nil
	n.emit("contested", n.newest.Version, from, "")
	n.announce()
	n.saveOutcome()
}

// contestUnheld records a number that two contents have, neither of which is here.
func (n *Node) contestUnheld(version Version, other Digest, from Name) {
	n.newest = rolloutState{Version: version, since: n.now, reports: map[Rank]Verdict{}, stage: Stopped}
	n.wanted = wantedConfig{}
	n.contest(other, from)
}

// saveOutcome saves how the rollout of the newest configuration ended. The others are told without waiting for that: where all
// members end in between, the next processes find it out anew, by a trial or by each other's digests.
func (n *Node) saveOutcome() {
	n.ports.SaveOutcome(Outcome{Version: n.newest.Version, Contested: n.newest.contested, OtherDigest: n.newest.otherDigest})
}

// restoreOutcome continues from the outcome that the member's previous process saved.
func (n *Node) restoreOutcome(saved Outcome) {
	if saved.Number == 0 || saved.Number < n.newest.Number {
		return
	}
	if saved.Number > n.newest.Number { // its content was refused, or has never been here
		n.newest = rolloutState{Version: saved.Version, since: n.now, reports: map[Rank]Verdict{}}
	}
	n.newest.stage = Stopped
	switch {
	case saved.Digest != n.newest.Digest:
		n.newest.contested, n.newest.otherDigest = true, saved.Digest
	case saved.Contested:
		n.newest.contested, n.newest.otherDigest = true, saved.OtherDigest
	}
	n.announce()
}
