// Package membership implements a gossip-based group membership protocol: each sidecar learns which others
// are alive, suspected, dead, gone or cut off. It does no I/O and reads no clock: messages and times are
// passed in, and messages to send and changes to report leave through the Host interface.
//
// The protocol is SWIM (probes in shuffled order, indirect probes through helpers, updates piggybacked on
// probes, refutation by a higher incarnation) with the extensions of Lifeguard (a slow member doubts itself,
// independent confirmations shorten a suspicion, a suspect is notified). Added are a heartbeat counter, which
// lets others vouch for a member that can't receive accusations; links that are cut in one direction; and a
// clock that stops while this process is paused. docs/membership.md gives the reasons.
package membership

import (
	"hash/fnv"
	"math"

	"ledgespread/brain/due"
)

// MaxDatagram is the maximum size of a datagram in bytes.
const MaxDatagram = 256

// Protocol constants that no configuration changes. Durations are in probe intervals.
const (
	maxDatagram            = MaxDatagram
	resendAfter            = 0.3     // an unanswered probe is sent again
	helpAfter              = 0.6     // an unanswered probe is sent through helpers
	helperCount            = 3       // helpers asked for an indirect probe
	fullConfirmations      = 3       // accusers beyond the first that shorten a suspicion to its minimum
	minSuspicion           = 2.5     // minimum timeout of a suspicion; each doubling of the members adds half an interval
	maxSuspicionFactor     = 2.0     // timeout of a suspicion with one accuser, in multiples of its minimum
	maxSlowness            = 3       // maximum number of intervals by which a slow member extends its probes
	maxDoublings           = 3       // doublings of the suspicion timeout for a member that came back from death
	doublingDecay          = 80.0    // time after which one doubling is taken back
	recentlyHeard          = 2.5     // a direct message counts as recent for so long
	isolatedAfter          = 6.0     // a member that received nothing for so long accuses nobody
	vouchedFor             = 8.0     // a member that others vouched for is not suspected again for so long
	cutAfter               = 8       // consecutive probes that have to show a cut link before it is reported
	watchedPerInterval     = 4       // watched members probed per interval, besides the regular probe
	noticesPerInterval     = 16      // direct notices per interval that tell members their state in this member's table
	suspicionRepeatAfter   = 1.5     // an open suspicion is gossiped again at this interval
	suspicionRepeats       = 3       // messages that carry such a repetition
	checkingMembers        = 100     // expected number of members that probe a suspect themselves
	gossipFactor           = 3.0     // an update is sent this many times the logarithm of the members
	gossipTargets          = 2       // members that receive updates per interval
	rejoinExchanges        = 8.0     // expected number of members that start a full exchange with a member that rejoined
	heavyLoss              = 0.3     // share of lost first tries above which a suspicion takes more missed probes
	lossAverageProbes      = 32.0    // probes over which the loss rate is averaged
	conflictProbes         = 3       // pings sent to another process that uses this member's name
	pauseThreshold         = 0.5     // a timer that is late by more means that this process was paused
	refreshAfterPause      = 2.0     // a longer pause makes this member request the updates it missed
	maxIncarnationIncrease = 1 << 20 // by one message; a larger increase is ignored
)

// New returns a member that knows no other. It sends nothing before Join.
func New(now Micros, info MemberInfo, config Config, seed uint64, host Host) *Node {
	n := &Node{host: host, config: config, randomSeed: seed, clock: now, now: now, startedAt: now, lastReceived: now, timers: due.New[Micros](), side: Isolated,
		members: map[Name]*entry{}, probes: map[probeID]*probe{}, relayed: map[probeID]relayedProbe{}, sideSince: now}
	hash := fnv.New32a()
	hash.Write([]byte(config.Group))
	n.groupHash = hash.Sum32()
	n.self = &entry{info: &info, instance: info.Instance, incarnation: 1, state: Alive}
	n.timers.Schedule(now+n.jitter(config.ProbeInterval), n.step)
	return n
}

// Node is one member, with its view of all others.
type Node struct {
	host                        Host
	config                      Config
	groupHash                   uint32
	randomSeed, randomDraws     uint64
	clock, now, paused          Micros // the caller's clock; that clock without pauses of this process; all pauses together
	startedAt                   Micros
	timers                      *due.Queue[Micros] // by now, which excludes pauses
	self                        *entry
	members                     map[Name]*entry
	living                      []*entry // alive or suspected, in probe order
	nextTarget                  int      // index into living
	departed                    []*entry // dead or left, and not yet forgotten
	watched                     []*entry // after failed probes: probed in every interval
	freshUpdates, sentUpdates   []*entry // members to gossip about: not sent yet; sent before
	probes                      map[probeID]*probe
	relayed                     map[probeID]relayedProbe
	lastProbe                   probeID
	slowness                    int     // Lifeguard's local health: 0 if this member seems to keep up
	lossRate                    float64 // moving average of first tries without an answer
	lastReceived, lastExchange  Micros
	extendedTimer, conflictSent Micros   // due time of the timer that got an extension; last reply to a process of this name
	misinformed, newcomer       *entry   // sender of the message in progress: set if it does not know its state here; set if it does not know this member
	corrections                 []*entry // members that the message in progress accused wrongly
	noticesLeft                 int      // until the next interval
	seeds                       []Address
	seedInterval, nextSeedPing  Micros
	conflict                    *nameConflict // nil: no other process is known to use this member's name
	yields                      int           // consecutive times that this process gave up its name
	side                        PartitionSide
	sideSince                   Micros
	left                        bool
	encodePiggyback             func(limit int) []byte // nil: nothing is attached
	handlePiggyback             func(from Name, at Address, data []byte)
}

// entry is what is kept of one member. It is small: a fleet holds as many entries as the square of its members.
type entry struct {
	info        *MemberInfo
	trouble     *trouble // nil for most members
	lastHeard   Micros
	since       Micros // when the state began, by the clock
	instance    Instance
	incarnation Incarnation
	heartbeat   Heartbeat
	rtt         uint32 // round-trip time in microseconds, 0: unknown
	state       State
	cut         LinkCut
	sendsLeft   uint8 // messages that are still to carry this entry
	queued      bool  // in freshUpdates or sentUpdates
}

// trouble is what is kept of a member that is or was suspected, cut off or dead.
type trouble struct {
	suspicion                         *suspicion // nil: none is open
	reportedBy                        Name       // member whose message caused the state
	vouchedAt                         Micros     // last report of others that it is alive
	clearedAt                         Micros     // when a newer message of it ended a suspicion
	outboundFailures, inboundFailures int        // consecutive probes that show a cut in this direction
	missedProbes                      int        // consecutive probes without an answer in time
	watched                           bool
	lastHelper                        Name   // the last helper that reached it
	doublings                         int    // of its suspicion timeout
	doublingsAt, notifiedAt           Micros // last suspicion or decay of a doubling; last direct notice
	leaveReported                     bool   // others report that it left; this member is checking
	leaveHeartbeat                    Heartbeat
	diedAt                            Micros
	maybePartitioned                  bool // it died while this member was not in the majority, and may still send requests
}

// suspicion is an open suspicion of one member.
type suspicion struct {
	heartbeat Heartbeat // of the suspect when it began
	since     Micros
	accusers  []Name
	deadline  Micros
}

// probe is a probe that waits for its answer.
type probe struct {
	target              *entry
	sentAt              Micros
	direct, answered    bool // answered by the target itself; by the target or a helper
	firstTry            bool // the direct answer came before a second try
	tries               int
	receivesUs          bool // a helper reports that the target receives messages of this member
	helpersAsked, nacks int
	checkOnly           bool       // its failure has no consequences
	suspicion           *suspicion // open when the probe began
}

// relayedProbe is a probe that this member makes as a helper.
type relayedProbe struct {
	requester        Name
	requesterAddress Address
	requesterProbe   probeID
	answered         bool
}

// nameConflict is another process that uses, or used, this member's name.
type nameConflict struct {
	address     Address
	instance    Instance
	incarnation Incarnation
	tries       int // pings sent; -1: this process gave up the name and waits
}

// Due returns when Tick is to be called next.
func (n *Node) Due() Micros {
	at, _ := n.timers.Next()
	return at + n.paused
}

// Tick runs the timers that are due.
func (n *Node) Tick(now Micros) {
	n.advanceClock(now)
	n.timers.RunDue(n.now)
}

// advanceClock sets the time. If a timer is so late that this process must have been paused, the time by
// which others are judged does not advance for the pause: they must not be accused of messages that this
// member missed. The late timer gets one more interval, in which messages that queued up are processed.
func (n *Node) advanceClock(now Micros) {
	n.clock = max(n.clock, now)
	if at, ok := n.timers.Next(); ok && n.config.DisabledGuard != "no-standstill" {
		if late := n.clock - n.paused - at; late > n.intervals(pauseThreshold) {
			if n.paused += late; at != n.extendedTimer { // extended once: a timer that is late every time has to run in the end
				n.extendedTimer = at
				n.paused += n.config.ProbeInterval
			}
			n.slowness = min(n.slowness+1, maxSlowness)
			refresh := late > n.intervals(refreshAfterPause)
			if n.host.Paused(late, refresh); refresh {
				n.now = n.clock - n.paused
				n.requestUpdates()
			}
		}
	}
	n.now = n.clock - n.paused
}

// requestUpdates asks other members for what changed during a pause of this process.
func (n *Node) requestUpdates() {
	for _, member := range n.randomLiving(helperCount, nil) {
		n.ping(member, &probe{target: member, sentAt: n.now, checkOnly: true})
	}
	n.exchange(n.randomLiving(1, nil), true)
}

// intervals returns the duration of count probe intervals.
func (n *Node) intervals(count float64) Micros {
	return Micros(count * float64(n.config.ProbeInterval))
}

// logMembers returns the binary logarithm of the number of living members, this one included.
func (n *Node) logMembers() float64 { return math.Log2(float64(len(n.living) + 1)) }

// minSuspicionTime returns the minimum timeout of a suspicion of a member.
func (n *Node) minSuspicionTime(member *entry) Micros {
	span := n.intervals(minSuspicion + n.logMembers()/2)
	if member.trouble != nil && n.config.DisabledGuard != "no-holding" {
		span <<= member.trouble.doublings
	}
	return span
}

// step runs once in each probe interval: it sends the probes, gossips updates and starts exchanges.
func (n *Node) step() {
	n.timers.Schedule(n.now+n.jitter(n.config.ProbeInterval), n.step)
	if n.left || n.conflict != nil {
		return
	}
	n.self.heartbeat++
	n.noticesLeft = noticesPerInterval
	if target := n.nextProbeTarget(); target != nil {
		n.startProbe(target, false, false)
	}
	for range min(watchedPerInterval, len(n.watched)) {
		target := n.watched[0]
		n.watched = append(n.watched[1:], target)
		n.startProbe(target, true, false)
	}
	if len(n.departed) > 0 { // probes to dead members let a partition heal
		if member := n.departed[n.randomIndex(len(n.departed))]; member.state == Dead {
			n.ping(member, &probe{target: member, sentAt: n.now, checkOnly: true})
		}
	}
	n.pingSeed()
	if len(n.freshUpdates)+len(n.sentUpdates) > 0 {
		for _, member := range n.randomLiving(gossipTargets, nil) {
			n.sendMessage(member.info.Name, member.info.Address, kindGossip, nil, member)
		}
	}
	if beats := n.self.heartbeat; n.lastExchange == 0 || beats == 4 || beats == 16 || beats == 64 { // new: not all members are known yet
		n.exchange(n.randomLiving(1, nil), true)
	}
	if n.config.ExchangeInterval > 0 && n.now-n.lastExchange > n.config.ExchangeInterval/2 && n.random()*float64(n.config.ExchangeInterval)/2 < float64(n.config.ProbeInterval) {
		n.exchange(n.randomLiving(1, nil), true)
	}
	if n.self.heartbeat%16 == 0 {
		n.forgetDeparted()
	}
	n.updateSide()
}

// pingSeed pings a seed (often while no member is known), to join fleet parts that never met or lost contact.
func (n *Node) pingSeed() {
	if len(n.seeds) == 0 || n.now < n.nextSeedPing {
		return
	}
	n.seedInterval = min(max(2*n.seedInterval, n.config.ProbeInterval), 40*n.config.ProbeInterval)
	if len(n.living) > 0 {
		n.seedInterval = 40 * n.config.ProbeInterval
	}
	n.nextSeedPing = n.now + Micros(float64(n.seedInterval)*(0.5+n.random()))
	n.pingAddress(n.seeds[n.randomIndex(len(n.seeds))])
}

// pingAddress pings an address without knowing which member uses it.
func (n *Node) pingAddress(at Address) {
	n.lastProbe++
	n.sendMessage("", at, kindPing, pingBody(n.lastProbe, "", ""), nil)
}

// Join adds seed addresses, at which other members may be found, and pings them.
func (n *Node) Join(now Micros, seeds []Address) {
	n.advanceClock(now)
	n.seeds = append(n.seeds, seeds...)
	for _, at := range n.seeds {
		n.pingAddress(at)
	}
	n.nextSeedPing = n.now + n.config.ProbeInterval
}

// Leave announces that this member leaves. Afterwards the node sends no more probes.
func (n *Node) Leave(now Micros) {
	n.advanceClock(now)
	if n.left {
		return
	}
	n.self.state, n.left = Left, true
	for _, member := range n.randomLiving(2*helperCount+2, nil) {
		n.sendMessage(member.info.Name, member.info.Address, kindGossip, nil, member)
	}
}

// nextProbeTarget returns the member to probe next: each living one once per round, in a new random order.
func (n *Node) nextProbeTarget() *entry {
	if len(n.living) == 0 {
		return nil
	}
	if n.nextTarget >= len(n.living) {
		n.nextTarget = 0
		for i := len(n.living) - 1; i > 0; i-- {
			j := n.randomIndex(i + 1)
			n.living[i], n.living[j] = n.living[j], n.living[i]
		}
	}
	n.nextTarget++
	return n.living[n.nextTarget-1]
}

// randomLiving returns up to limit different living members, chosen at random, without the excluded one.
func (n *Node) randomLiving(limit int, excluded *entry) (chosen []*entry) {
	if len(n.living) == 0 {
		return nil
	}
	for tries := 0; len(chosen) < limit && tries < 4*limit; tries++ {
		member := n.living[n.randomIndex(len(n.living))]
		usable := member != excluded
		for _, other := range chosen {
			usable = usable && other != member
		}
		if usable {
			chosen = append(chosen, member)
		}
	}
	return chosen
}

// exchange starts a full state exchange with the first given member; if not urgent, at most every 4 intervals.
func (n *Node) exchange(with []*entry, urgent bool) {
	if len(with) == 0 || !urgent && n.now-n.lastExchange < n.intervals(4) {
		return
	}
	n.lastExchange = n.now
	n.host.Exchange(with[0].info.Name, with[0].info.Address)
}

// receivesNothing reports whether no message arrived lately. Such a member must not accuse all others.
func (n *Node) receivesNothing() bool { return n.now-n.lastReceived > n.intervals(isolatedAfter) }

// updateSide determines on which side of a partition this member is, and reports a change.
func (n *Node) updateSide() {
	all, living := 1+len(n.living), 1+len(n.living)
	for _, member := range n.departed {
		if member.state == Dead {
			all++
		}
	}
	side := Majority
	switch {
	case living == 1 || n.receivesNothing():
		side = Isolated
	case 2*living <= all:
		side = Minority
	}
	if side != n.side {
		n.side, n.sideSince = side, n.clock
		n.host.SideChanged(side)
	}
}

// forgetDeparted removes old departed members, which bounds the table. A member that died while this one was
// not in the majority is kept: it may live on across a partition and still send requests.
func (n *Node) forgetDeparted() {
	kept := n.departed[:0]
	for _, member := range n.departed {
		old := n.clock-member.since > n.config.DeadRetention && n.clock-member.since > n.config.LeaveLinger
		if old && !(member.state == Dead && member.trouble != nil && member.trouble.maybePartitioned) {
			delete(n.members, member.info.Name)
			continue
		}
		kept = append(kept, member)
	}
	clear(n.departed[len(kept):])
	n.departed = kept
	for _, member := range n.living {
		if t := member.trouble; t != nil && t.doublings > 0 && n.now-t.doublingsAt > n.intervals(doublingDecay) {
			t.doublings--
			t.doublingsAt = n.now
		}
	}
}
