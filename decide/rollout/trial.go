package rollout

// trial.go: compares the request results before and during a trial.

import "math"

// RequestCounts holds the request counts of this process since its start: begun, ended, and ended with success.
type RequestCounts struct{ Started, Ended, Succeeded uint64 }

// Results counts the requests that ended within a span of time, and how many of them succeeded.
type Results struct{ Ended, Succeeded uint64 }

// sample holds the request results of one probe interval.
type sample struct {
	Results
	inFlight uint64 // requests in flight at its end
}

// trial is a running observation of a configuration that was applied on trial.
type trial struct {
	version     Version
	baseline    Results       // results before the trial
	maxInFlight uint64        // maximum number of requests in flight before the trial
	startCounts RequestCounts // counts at the start of the trial
	startedAt   Micros
}

// Limits of the comparison.
const (
	baselineIntervals    = 40   // probe intervals before the trial that it is compared with
	minSamplesInUse      = 12   // of a process that has not run for so long
	maxChanceProbability = 1e-5 // a drop counts only if its probability by chance is below this
	minDrop              = 0.02 // and if the share of succeeded requests fell by at least this much
	maxExtension         = 2    // maximum length of a trial with too few requests, as a multiple of the set length
	maxCounted           = 5000 // larger counts are scaled down to this many requests before the calculation
)

// recordSample records the request results since the last sample. It records none during a trial: the results
// of a bad configuration would make the next bad one look no worse.
func (n *Node) recordSample() {
	now, last := n.ports.RequestCounts(), n.lastCounts
	if n.lastCounts = now; n.applied != n.inForce || n.applying.Number != 0 {
		return
	}
	n.samples = append(n.samples, sample{Results{now.Ended - last.Ended, now.Succeeded - last.Succeeded}, now.Started - now.Ended})
	n.samples = n.samples[max(len(n.samples)-baselineIntervals, 0):]
	if now.Started > 0 {
		n.samplesInUse++
	}
	if n.judgesSince == 0 && n.hasEnoughSamples() {
		n.judgesSince = n.now
	}
}

// pastResults sums up the recent results under the configuration in force.
func (n *Node) pastResults() (total Results) {
	for _, s := range n.samples {
		total.Ended += s.Ended
		total.Succeeded += s.Succeeded
	}
	return total
}

// hasEnoughSamples reports whether this process can judge a configuration by its requests. One that has just started has nothing
// to compare with, and without requests so far it is not idle: its clients may still be on their way.
func (n *Node) hasEnoughSamples() bool {
	return n.samplesInUse >= minSamplesInUse || len(n.samples) == baselineIntervals
}

// isIdle reports whether this member had no requests recently, and so can't measure the effect of a
// configuration.
func (n *Node) isIdle() bool { return n.pastResults().Ended == 0 }

// isStarting reports whether the clients of this process may still be on their way.
func (n *Node) isStarting() bool { return n.now < n.startedAt+n.probeIntervals(baselineIntervals) }

// startWatch begins to observe the requests under a configuration that was applied on trial.
func (n *Node) startWatch(baseline Results) {
	watched := &trial{version: n.newest.Version, baseline: baseline, startCounts: n.ports.RequestCounts(), startedAt: n.now}
	for _, s := range n.samples {
		watched.maxInFlight = max(watched.maxInFlight, s.inFlight)
	}
	watched.maxInFlight = max(watched.maxInFlight, watched.startCounts.Started-watched.startCounts.Ended)
	n.running = watched
	n.scheduleCheck(watched, 1)
}

// scheduleCheck schedules one of the checks of a trial. A check ends the trial at once if the results are
// worse; the last one ends it as NotWorse, or as Unsure if there were too few requests.
func (n *Node) scheduleCheck(watched *trial, check Micros) {
	at := watched.startedAt + n.newest.policy.Watch*check/checksPerTrial
	n.due.Schedule(at, func() {
		if n.running != watched || n.newest.Version != watched.version {
			return
		}
		now := n.ports.RequestCounts()
		// Requests that waited while this process was paused don't count against the configuration, and the time in which the clients
		// of a process that has just started are on their way doesn't count for it.
		paused := n.now-at > n.probeIntervals(1)
		if paused || n.isStarting() && now.Started == 0 {
			watched.startCounts, watched.startedAt = now, n.now
			n.scheduleCheck(watched, 1)
			return
		}
		after := Results{now.Ended - watched.startCounts.Ended, now.Succeeded - watched.startCounts.Succeeded}
		// Requests that hang, beyond the number in flight before the trial, count as failed.
		if open := now.Started - now.Ended; open > watched.maxInFlight {
			after.Ended += open - watched.maxInFlight
		}
		switch {
		case isWorse(watched.baseline, after):
			n.endTrial(Worse)
		case check < checksPerTrial || check < checksPerTrial*maxExtension && !enoughRequests(watched.baseline, after):
			n.scheduleCheck(watched, check+1)
		case enoughRequests(watched.baseline, after):
			n.endTrial(NotWorse)
		default:
			n.endTrial(Unsure)
		}
	})
}

// endTrial reports the verdict of this member's trial.
func (n *Node) endTrial(verdict Verdict) {
	n.running = nil
	n.recordReport(n.ownRank(), verdict)
	n.emit(map[Verdict]string{Worse: "worse", NotWorse: "no_worse", Unsure: "unsure"}[verdict], n.newest.Version, n.name, "")
	n.evaluate()
}

// isWorse reports whether the share of succeeded requests fell by more than chance explains. It calculates
// the probability of at most this many successes given the earlier results, with a uniform prior for the
// success rate (a beta-binomial distribution). A few requests before or after the change are therefore not
// enough for a verdict.
func isWorse(before, after Results) bool {
	if after.Ended == 0 || before.Ended == 0 || float64(before.Succeeded)/float64(before.Ended)-float64(after.Succeeded)/float64(after.Ended) < minDrop {
		return false
	}
	goodBefore, badBefore := scaled(before)
	goodAfter, badAfter := scaled(after)
	total, alphaPrior, betaPrior := goodAfter+badAfter, goodBefore+1, badBefore+1
	probability := 0.0
	for k := 0.0; k <= goodAfter; k++ {
		probability += math.Exp(logChoose(total, k) + logBeta(k+alphaPrior, total-k+betaPrior) - logBeta(alphaPrior, betaPrior))
	}
	return probability < maxChanceProbability
}

// enoughRequests reports whether a drop could be detected with this many requests: isWorse would return true
// if none of them had succeeded.
func enoughRequests(before, after Results) bool { return isWorse(before, Results{Ended: after.Ended}) }

// scaled returns the numbers of succeeded and failed requests, scaled down to at most maxCounted in total.
func scaled(s Results) (good, bad float64) {
	factor := min(1, maxCounted/float64(s.Ended))
	good = math.Floor(factor * float64(s.Succeeded))
	return good, math.Floor(factor*float64(s.Ended)) - good
}

// logGamma returns the logarithm of the gamma function.
func logGamma(x float64) float64 { y, _ := math.Lgamma(x); return y }

// logBeta returns the logarithm of the beta function.
func logBeta(a, b float64) float64 { return logGamma(a) + logGamma(b) - logGamma(a+b) }

// logChoose returns the logarithm of the binomial coefficient.
func logChoose(total, chosen float64) float64 {
	return logGamma(total+1) - logGamma(chosen+1) - logGamma(total-chosen+1)
}
