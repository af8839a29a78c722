package rollout

// evaluate.go: the members' reports on the newest configuration, and what follows from them here.

// tally counts the members' reports by their verdicts.
type tally map[Verdict]int

// tried returns how many members have tried the configuration and did not find it worse.
func (t tally) tried() int { return t[NotWorse] + t[Unsure] }

// evaluate decides the next action for the newest configuration from all reports received so far.
func (n *Node) evaluate() {
	newest := &n.newest
	reports := tally{}
	for _, verdict := range newest.reports {
		reports[verdict]++
	}
	if reports[Worse]+reports[Refused] > 0 {
		n.stop("")
	}
	if newest.Number == 0 || newest.contested || newest.stage != Spreading {
		n.applyIfEverywhere()
		return
	}
	if n.isAlone() && !newest.publishedHere { // the other members may have found it worse
		return
	}
	if n.mayGoEverywhere(reports) {
		newest.stage = Everywhere
		n.emit("everywhere", newest.Version, "", "")
		n.announce()
		n.applyIfEverywhere()
		return
	}
	n.takePart(reports)
}

// mayGoEverywhere reports whether the reports allow all members to put the newest configuration in force.
func (n *Node) mayGoEverywhere(reports tally) bool {
	newest := &n.newest
	quota, required := n.canaries()
	silent := 0
	n.ports.EachLive(func(name Name) {
		if _, reported := newest.reports[rankOf(newest.Number, name)]; !reported {
			silent++
		}
	})
	if _, reported := newest.reports[n.ownRank()]; !reported {
		silent++
	}
	// If fewer members than needed report, their results are enough once all others have had time to report. Where all that did are
	// idle, the others may have just started.
	timeout := n.probeIntervals(reportTimeout) + newest.policy.Watch
	if reports.tried() == 0 {
		timeout += n.probeIntervals(baselineIntervals)
	}
	timedOut := n.waited() > timeout && reports.tried() < quota
	finished := reports[Trial] == 0 && reports.tried()+reports[Idle] > 0
	enough := reports.tried()+reports[Idle]/spareDivisor >= required
	return enough || finished && (silent == 0 || timedOut) || n.config.DisabledSafeguard == "no-watch"
}

// takePart reports that this member is idle, or begins a trial, if it is this member's turn.
func (n *Node) takePart(reports tally) {
	newest := &n.newest
	own, reported := newest.reports[n.ownRank()]
	lostTrial := own == Trial && n.trials == 0 // announced by an earlier process of this member, which ended before it was saved
	if !newest.hasContent || reported && !lostTrial || !n.isNewer(newest.Number, n.inForce.Number) || n.judgesSince == 0 {
		return
	}
	quota, _ := n.canaries()
	switch {
	case n.isIdle():
		if (lostTrial || n.membersBelow() < spareDivisor*quota) && n.recordReport(n.ownRank(), Idle) {
			n.emit("idle", newest.Version, n.name, "")
			n.evaluate()
		}
	case lostTrial:
		n.startTrial(n.pastResults())
	case n.canariesBelow(n.ownRank()) < quota && (reports[Trial]+reports.tried() < quota || n.config.DisabledSafeguard == "no-draw"):
		if n.recordReport(n.ownRank(), Trial) { // startTrial saves and announces the trial before it applies anything
			n.startTrial(n.pastResults())
		}
	}
}

// recordReport records a member's verdict on the newest configuration and announces it if it is new. The highest
// verdict of a member is kept.
func (n *Node) recordReport(rank Rank, verdict Verdict) (changed bool) {
	if changed = n.newest.record(rank, verdict); changed {
		n.announce()
	}
	return changed
}

// record records a verdict and returns false if it changes nothing or the limit of reports is reached.
func (c *rolloutState) record(rank Rank, verdict Verdict) bool {
	previous := c.reports[rank]
	if previous >= verdict || previous == 0 && len(c.reports) >= maxReports {
		return false
	}
	if previous == 0 {
		c.sendOrder = append(c.sendOrder, rank)
	}
	c.reports[rank] = verdict
	return true
}

// merge adds the stage and reports of a message about a configuration that is not downloaded yet.
func (c *rolloutState) merge(received *message) {
	c.stage = max(c.stage, received.stage)
	for _, r := range received.reports {
		c.record(r.Rank, r.Verdict)
	}
}
