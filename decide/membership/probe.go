package membership

import (
	"math"
	"slices"
)

// probe asks one member whether it is there: by itself, then once more and, but for one that this member makes alone, through
// others, and judges at the end.
func (n *Node) probe(e *entry, watch, alone bool) {
	p := &probe{e: e, sent: n.now, doubt: e.doubt()}
	no := n.ping(e, p)
	slow := Micros(1 + n.wariness)
	open := func() bool { return !p.done && e.state <= Suspect }
	n.due.Put(n.now+max(n.probesLong(repeat)*slow, min(Micros(3*e.trip), n.terms.Every/2)), func() {
		if open() {
			p.again(n, no)
		}
	})
	n.due.Put(n.now+n.probesLong(others)*slow, func() {
		if !open() {
			return
		}
		p.again(n, no)
		if alone || n.terms.Unguard == "no-helpers" {
			return
		}
		for _, h := range n.helpersFor(e, watch) {
			p.asked++
			n.say(h.about.Name, h.about.Address, kindAsk, putName(putRound(nil, no), e.about.Name), h)
		}
	})
	n.due.Put(n.now+n.terms.Every*slow, func() {
		delete(n.probes, no)
		n.verdict(p)
	})
}

// again sends the same probe once more: one that was lost is no silence.
func (p *probe) again(n *Node, no round) {
	p.tries++
	n.say(p.e.about.Name, p.e.about.Address, kindPing, pingBody(no, p.e.about.Name, ""), p.e)
}

// ping sends one, and books what hears of its answer.
func (n *Node) ping(e *entry, p *probe) round {
	n.rounds++
	no := n.rounds
	n.probes[no] = p
	if p.check {
		n.due.Put(n.now+2*n.terms.Every, func() { delete(n.probes, no) })
	}
	p.again(n, no)
	return no
}

// helpersFor are those through whom a member is asked: the one that reached it last, and some by chance.
func (n *Node) helpersFor(e *entry, watch bool) (out []*entry) {
	if e.more != nil && e.more.helper != "" {
		if h := n.members[e.more.helper]; h != nil && h.state == Alive && h.way == 0 {
			out = append(out, h)
		}
	}
	most := helpers
	if watch {
		most = 2
	}
	for _, h := range n.some(2*helpers, e) {
		if len(out) < most && h.state == Alive && h.way == 0 && !slices.Contains(out, h) {
			out = append(out, h)
		}
	}
	return out
}

// acked hears that a member answered a probe, itself or through another, which heard it say whether it hears this member.
func (n *Node) acked(no round, from Name, through Name, heardMe bool) {
	p := n.probes[no]
	if p == nil || p.e.about.Name != from && p.e.about.Name != "" {
		return
	}
	p.done = true
	if through != "" {
		p.heardMe = p.heardMe || heardMe
		p.e.extra().helper = through
		return
	}
	if !p.trip {
		p.trip, p.prompt = true, p.tries == 1
		trip := uint32(max(n.now-p.sent, 1))
		if p.e.trip != 0 {
			trip = uint32((7*uint64(p.e.trip) + uint64(trip)) / 8)
		}
		p.e.trip = trip
	}
	n.opened(p.e, Deaf|Mute)
}

// nacked hears that a helper got no answer either: this member's own way is fine.
func (n *Node) nacked(no round) {
	if p := n.probes[no]; p != nil {
		p.nacks++
	}
}

// verdict ends a probe.
func (n *Node) verdict(p *probe) {
	e := p.e
	if p.done { // one that answers nobody says nothing of the network
		lost := 0.0
		if !p.prompt {
			lost = 1
		}
		n.missing += (lost - n.missing) / lossMemory
	}
	if e.state > Suspect || n.members[e.about.Name] != e {
		return
	}
	switch {
	case p.trip:
		n.wariness = max(n.wariness-1, 0)
		m := e.more
		if m == nil {
			return
		}
		if m.misses, m.deaf, m.mute = 0, 0, 0; m.watched && e.way == 0 {
			n.unwatch(e)
		}
	case p.done:
		e.extra().misses = 0
		n.waysOf(e, p.heardMe)
	default:
		if p.asked > 0 && p.nacks == 0 {
			n.wariness = min(n.wariness+1, wary)
		}
		m := e.extra()
		if max(e.heard, m.vouched) > p.sent { // it lives, and may not hear this member
			n.waysOf(e, false)
			return
		}
		if e.doubt() != p.doubt {
			return // it is under a suspicion that began later
		}
		m.misses++
		if m.vouched != 0 && n.now-m.vouched < n.probesLong(vouchFor) || n.isDeaf() || e.way != 0 {
			n.waysOf(e, false)
			if e.way == 0 || n.isDeaf() || n.now-max(m.vouched, e.heard) < n.probesLong(vouchFor) {
				return
			}
		}
		if m.misses < n.needed() {
			n.watch(e)
			return
		}
		n.accuse(e, n.self.about.Name, "no answer to this member, nor to those it asked")
	}
}

// needed is how many probes in a row have to miss until a member is suspected: one among few, one more for each tenfold, and more where much
// is lost. This prevents suspicions, by members that lose a probe each now and then, that come faster than refutations spread.
func (n *Node) needed() int {
	tens := int(math.Ceil(math.Log10(float64(len(n.ring) + 1))))
	if n.missing > lossy {
		return tens + 1
	}
	return max(tens-1, 1)
}

// waysOf learns from a probe that others say was answered, or from one of a member that others vouched for: it lives, and the
// way between is bad. Which of the two does not hear the other shows by what it heard, and by what came from it.
func (n *Node) waysOf(e *entry, heardMe bool) {
	m := e.extra()
	n.watch(e)
	m.mute++
	switch {
	case heardMe:
		m.deaf = 0
		n.opened(e, Deaf)
	case !n.isDeaf(): // or nothing can be known of what others hear
		m.deaf++
	}
	way := e.way
	if m.deaf >= cutAfter {
		way |= Deaf
	}
	if m.mute >= cutAfter && n.now-e.heard > n.probesLong(max(cutAfter, float64(len(n.ring))/4+4)) {
		way |= Mute
	}
	if n.terms.Unguard == "cut-is-death" && way != 0 {
		n.die(e, "cut")
		return
	}
	if way != e.way {
		e.way = way
		n.changed(e, e.state, "others reach it; "+way.String(), m.helper)
	}
}

// opened books that a way is open again.
func (n *Node) opened(e *entry, ways Way) {
	if m := e.more; m != nil {
		if ways&Deaf != 0 {
			m.deaf = 0
		}
		if ways&Mute != 0 {
			m.mute = 0
		}
	}
	if way := e.way &^ ways; way != e.way {
		e.way = way
		why := "heard again"
		if way != 0 {
			why = "still cut: " + way.String()
		}
		n.changed(e, e.state, why, e.about.Name)
	}
}

// watch has a member probed with every beat, as far as there is room.
func (n *Node) watch(e *entry) {
	if m := e.extra(); !m.watched {
		m.watched = true
		n.watched = append(n.watched, e)
	}
}

func (n *Node) unwatch(e *entry) {
	if e.more != nil && e.more.watched {
		e.more.watched = false
		n.watched = slices.DeleteFunc(n.watched, func(x *entry) bool { return x == e })
	}
}

// helps asks a member for another, and tells what came of it.
func (n *Node) helps(no round, whom, by Name, at Address) {
	e := n.members[whom]
	if e == nil || e.state > Suspect {
		return
	}
	n.rounds++
	mine := n.rounds
	n.asked[mine] = asking{by: by, at: at, no: no}
	n.say(whom, e.about.Address, kindPing, pingBody(mine, whom, by), e)
	n.due.Put(n.now+n.probesLong(repeat), func() {
		if a, open := n.asked[mine]; open && !a.done {
			n.say(by, at, kindNack, putRound(nil, no), n.members[by])
		}
	})
	n.due.Put(n.now+2*n.terms.Every, func() { delete(n.asked, mine) })
}

// relays passes on an answer that came for another.
func (n *Node) relays(no round, from *entry, heardThem bool) bool {
	a, open := n.asked[no]
	if !open {
		return false
	}
	if !a.done {
		a.done = true
		n.asked[no] = a
		b := putName(putRound(nil, a.no), from.about.Name)
		b = append(b, bit(heardThem))
		n.say(a.by, a.at, kindTold, putWord(b, from.inc, from.beat), n.members[a.by])
	}
	return true
}
