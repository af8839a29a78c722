package rollout

// apply.go: trials of a configuration, and applying and rejecting it.

// startTrial begins a trial: it is saved to disk first, then announced to other members, then applied.
func (n *Node) startTrial(baseline Results) {
	n.trials++
	n.baseline = baseline
	n.ports.SaveTrial(n.newest.Version, n.trials, baseline)
}

// TrialSaved reports that the start of a trial was saved, or the reason why it could not be.
func (n *Node) TrialSaved(now Micros, version Version, reason string) {
	n.advanceClock(now)
	if n.newest.Version != version {
		return
	}
	if reason != "" {
		n.reject(version, reason)
		return
	}
	n.emit("tries", version, n.name, "")
	n.ports.SendToRandom(announceFanout)
	delay := trialDelay
	if n.trials > 1 {
		delay = secondTrialDelay
	}
	n.due.Schedule(n.now+n.probeIntervals(delay), func() {
		if n.newest.Version == version && !n.newest.contested && n.newest.stage == Spreading {
			n.apply(true)
		}
	})
}

// applyIfEverywhere puts the newest configuration in force once its stage is Everywhere.
func (n *Node) applyIfEverywhere() {
	if newest := &n.newest; newest.stage == Everywhere && !newest.contested {
		n.apply(false)
	}
}

// apply applies the newest configuration, for a trial or permanently, unless another is being applied.
func (n *Node) apply(trial bool) {
	newest := &n.newest
	if !newest.hasContent || n.applying.Number != 0 || !n.isNewer(newest.Number, n.inForce.Number) {
		return
	}
	n.applying = newest.Version
	n.ports.Apply(newest.Version, trial)
}

// ApplyDone reports the result of Ports.Apply; reason is empty if the version was applied.
func (n *Node) ApplyDone(now Micros, version Version, trial bool, reason string) {
	n.advanceClock(now)
	n.applying = Version{}
	if reason != "" {
		n.reject(version, reason)
		return
	}
	if n.applied = version; trial {
		n.emit("on_trial", version, "", "")
		if version == n.newest.Version {
			n.startWatch(n.baseline)
		}
	} else {
		n.inForce = version
		n.emit("in_force", version, "", "")
		n.announce()
	}
	n.evaluate()
}

// reject records that a version can't be read or applied here, which stops its rollout at all members.
func (n *Node) reject(version Version, reason string) {
	if version.Number < n.newest.Number || version.Number == n.newest.Number && version.Digest != n.newest.Digest {
		return
	}
	if version != n.newest.Version {
		n.newest = rolloutState{Version: version, since: n.now, reports: map[Rank]Verdict{}}
		n.running = nil
	}
	n.newest.refusal, n.newest.hasContent = reason, false
	n.recordReport(n.ownRank(), Refused)
	n.emit("refused", version, n.name, reason)
	n.stop(n.name)
}
