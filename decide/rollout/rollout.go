package rollout

// rollout.go: the Node, its state, its timers, and the publication of a configuration.

import (
	"strconv"

	"ledgespread/brain/due"
	"ledgespread/decide/membership"
)

// Delays and limits. Delays are in probe intervals.
const (
	trialDelay           = 0.2  // from announcing a trial to applying it, so that others know of it if this process crashes
	secondTrialDelay     = 4.0  // the same for the second trial, by which time others may have reported a problem
	canaryTimeout        = 6.0  // a canary that reported nothing for this long is replaced by the next rank
	reportTimeout        = 18.0 // beyond the time of a trial; what members report after it is not waited for
	maxWaves             = 16   // maximum number of times that the number of replaced canaries doubles
	announceDelay        = 0.1  // mean delay from a change to the extra messages that announce it
	minAnnounceInterval  = 0.4  // minimum interval between two rounds of extra messages
	announceFanout       = 2    // random members that receive an extra message in each round
	announceRepeats      = 3    // additional rounds, one per probe interval
	fetchRetryDelay      = 0.4  // mean delay before a failed download is retried
	hedgeDelay           = 1.5  // a download that takes this long is started from another member too
	maxConcurrentFetches = 3    // maximum number of simultaneous downloads of one content
	maxSources           = 8    // maximum number of known members to download from
	maxServes            = 2    // maximum number of downloads served within serveWindow
	serveWindow          = 4.0
	spareDivisor         = 4    // one canary in this many need not report; this many idle members count as one canary
	checksPerTrial       = 8    // checks of the request counts during a trial of the set length
	maxReports           = 1024 // reports kept for one configuration
	maxTrials            = 2    // a configuration is refused after this process ended during this many of its trials
)

// Node holds the rollout state of one member. It is not safe for concurrent use.
type Node struct {
	ports             Ports
	config            Config
	name              Name
	seed, randomCalls uint64
	now               Micros
	startedAt         Micros
	due               *due.Queue[Micros]
	newest            rolloutState // the newest configuration that this member announces
	inForce           Version
	wanted            wantedConfig // a newer configuration that is not downloaded yet
	applying          Version      // passed to Ports.Apply, result pending
	applied           Version      // applied last, for a trial or in force
	trials            int          // trials of the newest configuration that were started
	baseline          Results      // request results before its first trial
	running           *trial
	servedAt          []Micros // times of recently served downloads
	samples           []sample
	samplesInUse      int           // how many samples were recorded since this process had its first request
	judgesSince       Micros        // when this process had enough samples to judge a configuration by; 0: it has not
	lastCounts        RequestCounts // counts at the last sample
	announcePending   bool          // a round of extra messages is scheduled
	lastAnnounced     Micros        // time of the last round
	announcesLeft     int           // rounds left to send, one per probe interval
}

// rolloutState is what this member knows of a configuration and its rollout.
type rolloutState struct {
	Version
	policy        CanaryPolicy
	hasContent    bool   // its content is downloaded, validated and saved
	publishedHere bool   // an operator published it at this member
	contested     bool   // another content has the same number
	otherDigest   Digest // digest of that other content
	refusal       string // reason why it was refused here; empty if it was not
	since         Micros // when this member learned of it
	stage         Stage
	reports       map[Rank]Verdict
	sendOrder     []Rank // ranks in the order in which their reports are sent next
}

// wantedConfig is a newer configuration that other members have and this one downloads.
type wantedConfig struct {
	Version
	learned      rolloutState // stage and reports received from members that know it
	sources      []source     // members to download from
	openFetches  int          // downloads in progress
	lastFetch    Micros       // start of the last download
	retryPending bool         // a retry is scheduled
}

// source is a member that has the wanted content.
type source struct {
	name    Name
	address Address
}

// New returns a Node that continues from the saved state of the member's previous process. seed makes its
// random decisions reproducible.
func New(now Micros, name Name, config Config, saved SavedState, seed uint64, ports Ports) *Node {
	n := &Node{ports: ports, config: config, name: name, seed: seed, now: now, startedAt: now, due: due.New[Micros](), inForce: saved.InForce, applied: saved.InForce}
	if newest := saved.Newest; newest.Number > n.inForce.Number || newest == n.inForce {
		n.newest = rolloutState{Version: newest, policy: saved.Policy, hasContent: newest.Number != 0, since: now, reports: map[Rank]Verdict{}}
	} else {
		n.newest = rolloutState{Version: n.inForce, hasContent: true, since: now, reports: map[Rank]Verdict{}}
	}
	if n.newest.Version == n.inForce && n.inForce.Number != 0 {
		n.newest.stage = Everywhere // it would not be in force otherwise
	}
	n.restoreOutcome(saved.Outcome)
	if saved.Trials > 0 && n.newest.Version == saved.Newest && n.newest.Version != n.inForce && n.newest.stage == Spreading {
		n.resumeTrial(saved)
	}
	n.onProbe()
	return n
}

// resumeTrial continues after the process ended during a trial. The first end may have been chance, so the member
// starts under the old configuration and tries once more; after a second end it refuses the configuration,
// since one that crashes its process must not do so repeatedly.
func (n *Node) resumeTrial(saved SavedState) {
	if n.trials, n.baseline = saved.Trials, saved.Baseline; n.trials >= maxTrials {
		n.reject(n.newest.Version, "the sidecar ended "+strconv.Itoa(n.trials)+" times while it tried it")
		return
	}
	n.samples, n.judgesSince = []sample{{Results: saved.Baseline}}, n.now
	n.recordReport(n.ownRank(), Trial)
	n.startTrial(saved.Baseline)
}

// Due returns the time at which the caller must call Tick next.
func (n *Node) Due() Micros {
	at, _ := n.due.Next()
	return at
}

// Tick runs all timers that have expired.
func (n *Node) Tick(now Micros) {
	n.advanceClock(now)
	n.due.RunDue(n.now)
}

// advanceClock sets the node's time, which never goes back.
func (n *Node) advanceClock(now Micros) { n.now = max(n.now, now) }

// probeIntervals returns the duration of a number of probe intervals.
func (n *Node) probeIntervals(count float64) Micros {
	return Micros(count * float64(n.config.ProbeInterval))
}

// random returns the next pseudo-random number in [0, 1).
func (n *Node) random() float64 {
	n.randomCalls++
	return membership.RandomFloat(n.seed^0x726f6c6c6f7574, n.randomCalls)
}

// jitter returns a random duration between 0.5 and 1.5 times span, so that the members don't all send
// requests to one member at the same moment.
func (n *Node) jitter(span Micros) Micros { return Micros(float64(span) * (0.5 + n.random())) }

// onProbe runs the periodic work of each probe interval.
func (n *Node) onProbe() {
	n.due.Schedule(n.now+n.probeIntervals(1), n.onProbe)
	n.recordSample()
	if n.announcesLeft > 0 {
		n.announcesLeft--
		n.ports.SendToRandom(announceFanout)
	}
	n.fetch()
	n.evaluate()
}

// announce schedules extra messages after a change: one round soon and a few more with the next probe
// intervals.
func (n *Node) announce() {
	n.announcesLeft = announceRepeats
	if n.announcePending {
		return
	}
	n.announcePending = true
	n.due.Schedule(max(n.now+n.jitter(n.probeIntervals(announceDelay)), n.lastAnnounced+n.probeIntervals(minAnnounceInterval)), func() {
		n.announcePending, n.lastAnnounced = false, n.now
		n.ports.SendToRandom(announceFanout)
	})
}

// emit reports an event to operators.
func (n *Node) emit(kind string, version Version, from Name, reason string) {
	n.ports.OnEvent(Event{Kind: kind, Version: version, From: from, Reason: reason, OtherDigest: n.newest.otherDigest})
}

// Publish accepts a configuration that an operator publishes at this member. The caller has validated and
// saved its content. If it returns an error, the configuration was not accepted: its number is invalid or too
// low.
func (n *Node) Publish(now Micros, version Version, policy CanaryPolicy) error {
	n.advanceClock(now)
	if err := n.CheckNumber(version); err != nil || version == n.newest.Version {
		return err
	}
	n.setNewest(version, policy, n.name)
	n.newest.publishedHere = true
	n.evaluate()
	n.eachCanary(func(name Name) { n.ports.SendTo(name) })
	return nil
}

// CheckNumber returns an error if v can't be published here now because of its number.
func (n *Node) CheckNumber(version Version) error {
	switch known := n.NextFreeNumber() - 1; {
	case version.Number == 0:
		return errZeroNumber
	case version == n.newest.Version && n.newest.hasContent: // published again
	case version == n.wanted.Version: // already published at another member
	case version.Number <= known:
		return &NumberTooLowError{Number: version.Number, Known: known}
	}
	return nil
}

// NextFreeNumber returns the lowest number that is not in use, as far as this member knows.
func (n *Node) NextFreeNumber() Number { return max(n.newest.Number, n.wanted.Number) + 1 }

// setNewest makes a version, whose content is saved here, the newest configuration of this member.
func (n *Node) setNewest(version Version, policy CanaryPolicy, from Name) {
	n.newest = rolloutState{Version: version, policy: policy, hasContent: true, since: n.now, reports: map[Rank]Verdict{}}
	if n.wanted.Version == version {
		n.newest.stage, n.newest.reports, n.newest.sendOrder = n.wanted.learned.stage, n.wanted.learned.reports, n.wanted.learned.sendOrder
	}
	n.running, n.trials = nil, 0
	if n.wanted.Number <= version.Number {
		n.wanted = wantedConfig{}
	}
	n.emit("held", version, from, "")
	if n.newest.stage != Spreading { // other members have already decided
		n.emit(n.newest.stage.String(), version, from, "")
	}
	if n.newest.stage == Stopped {
		n.saveOutcome()
	}
	n.announce()
	n.evaluate()
}
