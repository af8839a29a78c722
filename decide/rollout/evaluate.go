package rollout

// evaluate.go: the evaluation of the canaries' reports, and of what this member adds to them.

// evaluate decides the next action for the newest configuration from all reports received so far.
func (n *Node) evaluate() {
	newest := &n.newest
	tally := map[Verdict]int{}
	for _, v := range newest.reports {
		tally[v]++
	}
	if tally[Worse]+tally[Refused] > 0 {
		n.stop("")
	}
	if newest.Number == 0 || newest.contested || newest.stage != Spreading {
		n.applyIfEverywhere()
		return
	}
	if n.isAlone() && !newest.publishedHere { // the other members may have found it worse
		return
	}
	if n.mayGoEverywhere(tally) {
		newest.stage = Everywhere
		n.emit("everywhere", newest.Version, "", "")
		n.announce()
		n.applyIfEverywhere()
		return
	}
	n.takePart(tally)
}

// mayGoEverywhere reports whether the reports, counted by their verdicts, let all members apply the newest configuration.
func (n *Node) mayGoEverywhere(tally map[Verdict]int) bool {
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
	// If fewer members than needed report, their results are enough once all others have had time to report.
	done := tally[NotWorse] + tally[Unsure]
	timedOut := n.now-newest.since > n.probeIntervals(3*canaryTimeout)+newest.policy.Watch && done < quota
	finished := tally[Trial] == 0 && done+tally[Idle] > 0
	return done+tally[Idle]/spareDivisor >= required || finished && (silent == 0 || timedOut) || n.config.DisabledSafeguard == "no-watch"
}

// takePart reports that this member is idle, or begins a trial, if it is this member's turn.
func (n *Node) takePart(tally map[Verdict]int) {
	newest := &n.newest
	own, reported := newest.reports[n.ownRank()]
	lostTrial := own == Trial && n.trials == 0 // announced by the process before this one, which ended before it was saved
	if !newest.hasContent || reported && !lostTrial || !n.isNewer(newest.Number, n.inForce.Number) {
		return
	}
	if len(n.samples) < minSamples { // this process has only just started: it has no results to compare with, and is not idle
		return
	}
	quota, _ := n.canaries()
	done := tally[NotWorse] + tally[Unsure]
	switch {
	case n.isIdle():
		if (lostTrial || n.membersBelow() < spareDivisor*quota) && n.recordReport(n.ownRank(), Idle) {
			n.emit("idle", newest.Version, n.name, "")
			n.evaluate()
		}
	case lostTrial:
		n.startTrial(n.pastResults())
	case n.canariesBelow(n.ownRank()) < quota && (tally[Trial]+done < quota || n.config.DisabledSafeguard == "no-draw"):
		if n.recordReport(n.ownRank(), Trial) { // startTrial saves and announces the trial before it applies anything
			n.startTrial(n.pastResults())
		}
	}
}
