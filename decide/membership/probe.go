package membership

import (
	"math"
	"slices"
)

// startProbe probes one member: directly, then directly once more, then directly and through helpers. At the
// end concludeProbe judges the result. watch limits the number of helpers; alone asks none.
func (n *Node) startProbe(target *entry, watch, alone bool) {
	started := &probe{target: target, sentAt: n.now, suspicion: target.suspicion()}
	id := n.ping(target, started)
	slowFactor := Micros(1 + n.slowness)
	waiting := func() bool { return !started.answered && target.state <= Suspect }
	n.timers.Schedule(n.now+max(n.intervals(resendAfter)*slowFactor, min(Micros(3*target.rtt), n.config.ProbeInterval/2)), func() {
		if waiting() {
			started.send(n, id)
		}
	})
	n.timers.Schedule(n.now+n.intervals(helpAfter)*slowFactor, func() {
		if !waiting() {
			return
		}
		started.send(n, id)
		if alone || n.config.DisabledGuard == "no-helpers" {
			return
		}
		for _, helper := range n.chooseHelpers(target, watch) {
			started.helpersAsked++
			n.sendMessage(helper.info.Name, helper.info.Address, kindHelpRequest, putName(putProbeID(nil, id), target.info.Name), helper)
		}
	})
	n.timers.Schedule(n.now+n.config.ProbeInterval*slowFactor, func() {
		delete(n.probes, id)
		n.concludeProbe(started)
	})
}

// send sends the probe's ping. It is called again for a retry, since a single lost datagram does not show a
// failure.
func (p *probe) send(n *Node, id probeID) {
	p.tries++
	n.sendMessage(p.target.info.Name, p.target.info.Address, kindPing, pingBody(id, p.target.info.Name, ""), p.target)
}

// ping registers a probe, so that its answer is recognized, and sends its first ping.
func (n *Node) ping(target *entry, p *probe) probeID {
	n.lastProbe++
	id := n.lastProbe
	n.probes[id] = p
	if p.checkOnly {
		n.timers.Schedule(n.now+2*n.config.ProbeInterval, func() { delete(n.probes, id) })
	}
	p.send(n, id)
	return id
}

// chooseHelpers returns members that are to probe the target for this one: the helper that reached it last,
// and others at random.
func (n *Node) chooseHelpers(target *entry, watch bool) (chosen []*entry) {
	if target.trouble != nil && target.trouble.lastHelper != "" {
		if helper := n.members[target.trouble.lastHelper]; helper != nil && helper.state == Alive && helper.cut == 0 {
			chosen = append(chosen, helper)
		}
	}
	limit := helperCount
	if watch {
		limit = 2
	}
	for _, helper := range n.randomLiving(2*helperCount, target) {
		if len(chosen) < limit && helper.state == Alive && helper.cut == 0 && !slices.Contains(chosen, helper) {
			chosen = append(chosen, helper)
		}
	}
	return chosen
}

// handleAck processes the answer to a probe. It comes from the target itself, or through a helper to which
// the target reported whether it receives messages of this member.
func (n *Node) handleAck(id probeID, from Name, through Name, receivesUs bool) {
	probe := n.probes[id]
	if probe == nil || probe.target.info.Name != from && probe.target.info.Name != "" {
		return
	}
	probe.answered = true
	if through != "" {
		probe.receivesUs = probe.receivesUs || receivesUs
		probe.target.ensureTrouble().lastHelper = through
		return
	}
	if !probe.direct {
		probe.direct, probe.firstTry = true, probe.tries == 1
		rtt := uint32(max(n.now-probe.sentAt, 1))
		if probe.target.rtt != 0 {
			rtt = uint32((7*uint64(probe.target.rtt) + uint64(rtt)) / 8)
		}
		probe.target.rtt = rtt
	}
	n.clearCut(probe.target, OutboundCut|InboundCut)
}

// handleNack processes a helper's report that it got no answer either. It shows that this member's own
// network works.
func (n *Node) handleNack(id probeID) {
	if p := n.probes[id]; p != nil {
		p.nacks++
	}
}

// concludeProbe judges a probe when its time is over.
func (n *Node) concludeProbe(concluded *probe) {
	target := concluded.target
	if concluded.answered { // a probe without any answer does not count as loss: the target may be dead
		lost := 0.0
		if !concluded.firstTry {
			lost = 1
		}
		n.lossRate += (lost - n.lossRate) / lossAverageProbes
	}
	if target.state > Suspect || n.members[target.info.Name] != target {
		return
	}
	switch {
	case concluded.direct:
		n.slowness = max(n.slowness-1, 0)
		t := target.trouble
		if t == nil {
			return
		}
		if t.missedProbes, t.outboundFailures, t.inboundFailures = 0, 0, 0; t.watched && target.cut == 0 {
			n.unwatch(target)
		}
	case concluded.answered:
		target.ensureTrouble().missedProbes = 0
		n.countLinkFailure(target, concluded.receivesUs)
	default:
		if concluded.helpersAsked > 0 && concluded.nacks == 0 {
			n.slowness = min(n.slowness+1, maxSlowness)
		}
		t := target.ensureTrouble()
		if max(target.lastHeard, t.vouchedAt) > concluded.sentAt { // it is alive, but may not receive messages of this member
			n.countLinkFailure(target, false)
			return
		}
		if target.suspicion() != concluded.suspicion {
			return // the open suspicion began after this probe
		}
		t.missedProbes++
		if t.vouchedAt != 0 && n.now-t.vouchedAt < n.intervals(vouchedFor) || n.receivesNothing() || target.cut != 0 {
			n.countLinkFailure(target, false)
			if target.cut == 0 || n.receivesNothing() || n.now-max(t.vouchedAt, target.lastHeard) < n.intervals(vouchedFor) {
				return
			}
		}
		if t.missedProbes < n.missesToAccuse() {
			n.watch(target)
			return
		}
		n.accuse(target, n.self.info.Name, "no answer to this member, nor to those it asked")
	}
}

// missesToAccuse returns how many consecutive probes a member has to miss before it is suspected: one in a
// small group, one more for each tenfold of the members, and two more under heavy loss. In a large group each
// member loses a probe now and then; without this limit suspicions would arise faster than their refutations
// spread.
func (n *Node) missesToAccuse() int {
	magnitude := int(math.Ceil(math.Log10(float64(len(n.living) + 1))))
	if n.lossRate > heavyLoss {
		return magnitude + 1
	}
	return max(magnitude-1, 1)
}

// countLinkFailure counts a probe that failed although the target is alive, as a helper or another member
// reported. The link to the target is then bad in one direction or both; receivesUs means that the target
// receives messages of this member. A direction that fails often enough in a row is reported as cut.
func (n *Node) countLinkFailure(target *entry, receivesUs bool) {
	t := target.ensureTrouble()
	n.watch(target)
	t.inboundFailures++
	switch {
	case receivesUs:
		t.outboundFailures = 0
		n.clearCut(target, OutboundCut)
	case !n.receivesNothing(): // a member that receives nothing can't know what others receive
		t.outboundFailures++
	}
	cut := target.cut
	if t.outboundFailures >= cutAfter {
		cut |= OutboundCut
	}
	if t.inboundFailures >= cutAfter && n.now-target.lastHeard > n.intervals(max(cutAfter, float64(len(n.living))/4+4)) {
		cut |= InboundCut
	}
	if n.config.DisabledGuard == "cut-is-death" && cut != 0 {
		n.declareDead(target, "cut")
		return
	}
	if cut != target.cut {
		target.cut = cut
		n.reportChange(target, target.state, "other members reach it; "+cut.String(), t.lastHelper)
	}
}

// clearCut records that messages pass again in the given directions.
func (n *Node) clearCut(member *entry, directions LinkCut) {
	if t := member.trouble; t != nil {
		if directions&OutboundCut != 0 {
			t.outboundFailures = 0
		}
		if directions&InboundCut != 0 {
			t.inboundFailures = 0
		}
	}
	if cut := member.cut &^ directions; cut != member.cut {
		member.cut = cut
		why := "messages pass again"
		if cut != 0 {
			why = "still cut: " + cut.String()
		}
		n.reportChange(member, member.state, why, member.info.Name)
	}
}

// watch adds a member to those that are probed in every interval, as far as watchedPerInterval allows.
func (n *Node) watch(member *entry) {
	if t := member.ensureTrouble(); !t.watched {
		t.watched = true
		n.watched = append(n.watched, member)
	}
}

func (n *Node) unwatch(member *entry) {
	if member.trouble != nil && member.trouble.watched {
		member.trouble.watched = false
		n.watched = slices.DeleteFunc(n.watched, func(other *entry) bool { return other == member })
	}
}

// relayProbe probes the target as a helper of the requester. If no answer comes in time it sends the
// requester a nack.
func (n *Node) relayProbe(requesterProbe probeID, target, requester Name, at Address) {
	member := n.members[target]
	if member == nil || member.state > Suspect {
		return
	}
	n.lastProbe++
	id := n.lastProbe
	n.relayed[id] = relayedProbe{requester: requester, requesterAddress: at, requesterProbe: requesterProbe}
	n.sendMessage(target, member.info.Address, kindPing, pingBody(id, target, requester), member)
	n.timers.Schedule(n.now+n.intervals(resendAfter), func() {
		if relayed, found := n.relayed[id]; found && !relayed.answered {
			n.sendMessage(requester, at, kindNack, putProbeID(nil, requesterProbe), n.members[requester])
		}
	})
	n.timers.Schedule(n.now+2*n.config.ProbeInterval, func() { delete(n.relayed, id) })
}

// forwardAck forwards the answer to a relayed probe to its requester, and reports whether it was such an
// answer.
func (n *Node) forwardAck(id probeID, from *entry, receivesRequester bool) bool {
	relayed, found := n.relayed[id]
	if !found {
		return false
	}
	if !relayed.answered {
		relayed.answered = true
		n.relayed[id] = relayed
		body := putName(putProbeID(nil, relayed.requesterProbe), from.info.Name)
		body = append(body, boolByte(receivesRequester))
		n.sendMessage(relayed.requester, relayed.requesterAddress, kindHelpReply, putStamp(body, from.incarnation, from.heartbeat), n.members[relayed.requester])
	}
	return true
}
