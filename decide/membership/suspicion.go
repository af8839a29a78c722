package membership

// suspicion.go: who is suspected, and how that ends.

import (
	"math"
	"slices"
)

func (e *entry) doubt() *doubt {
	if e.more == nil {
		return nil
	}
	return e.more.doubt
}

// accuse books a word that a member is silent: this member's own, or another's.
func (n *Node) accuse(e *entry, by Name, why string) {
	m := e.extra()
	d := m.doubt
	if e.state != Suspect {
		d = &doubt{beat: e.beat, since: n.now}
		m.doubt = d
		n.becomes(e, Suspect, why, by)
		m.doubt, m.heldAt = d, n.now
		n.remind(e, d)
		if by != n.self.about.Name {
			n.lookMyself(e, d)
		}
	}
	if slices.Contains(d.accusers, by) || len(d.accusers) > confirmers {
		return
	}
	d.accusers = append(d.accusers, by)
	if by == n.self.about.Name {
		n.tell(e)
	}
	need := max(min(confirmers, len(n.ring)-1), 1)
	least := n.least(e)
	most := Micros(mostSpan * float64(least))
	part := min(math.Log(float64(len(d.accusers)))/math.Log(float64(need+1)), 1)
	d.until = d.since + most - Micros(part*float64(most-least))
	n.due.Put(max(d.until, n.now+1), func() { n.expire(e, d) })
}

// remind has a suspicion told again while it lasts. This prevents a death by one member's word that missed how others, who
// know better, ended the suspicion.
func (n *Node) remind(e *entry, d *doubt) {
	n.due.Put(n.now+n.probesLong(remindAfter), func() {
		if e.doubt() == d {
			n.spread(e, remindOften)
			n.remind(e, d)
		}
	})
}

// lookMyself has this member ask one that others suspect, scattered over a part of the suspicion's time: whoever reaches it
// vouches for it, whoever does not says so too.
func (n *Node) lookMyself(e *entry, d *doubt) {
	if n.chance()*float64(len(n.ring)) > checkers {
		return
	}
	span := n.probesLong(leastSpan / 2)
	n.due.Put(n.now+Micros(n.chance()*float64(span)), func() {
		if e.doubt() == d {
			n.probe(e, true, true)
		}
	})
}

// expire ends a suspicion that nothing has ended.
func (n *Node) expire(e *entry, d *doubt) {
	if e.doubt() != d || e.state != Suspect || n.now < d.until {
		return
	}
	if n.isDeaf() && n.terms.Unguard != "cut-is-death" { // nothing can be heard: nobody is judged by that
		d.until = n.now + n.least(e)
		n.due.Put(d.until, func() { n.expire(e, d) })
		return
	}
	n.die(e, "it was silent for all of its suspicion's time")
}

func (n *Node) die(e *entry, why string) {
	by := n.self.about.Name
	if d := e.doubt(); d != nil && len(d.accusers) > 0 {
		by = d.accusers[0]
	}
	m := e.extra()
	m.died = n.now
	n.becomes(e, Dead, why, by)
	if n.part != Greater {
		for _, x := range n.lost {
			if x.state == Dead {
				x.extra().stays = true
			}
		}
	}
}

// toldSuspect hears another's accusation, of suspicion or of death. This prevents words from the past, and one
// that accuses everybody: this member looks for itself, the accused is told, and nobody is dead by a word alone.
func (n *Node) toldSuspect(name Name, inc Incarnation, beat Beat, by Name, dead bool) {
	if name == n.self.about.Name {
		n.refute(inc, by)
		return
	}
	e := n.members[name]
	if e == nil {
		if dead && inc > 0 {
			if e = n.meet(About{Name: name}, inc, beat); e != nil {
				n.becomes(e, Dead, "others hold it for dead", by)
			}
		}
		return
	}
	cleared := inc == e.inc && beat < e.beat && e.more != nil && e.more.cleared != 0 && n.now-e.more.cleared < n.probesLong(vouchFor)
	if (inc < e.inc || cleared) && e.state == Alive { // whoever accuses it so has missed what was heard of it since
		n.amends = append(n.amends, e)
		if !e.queued {
			n.tell(e)
		}
		return
	}
	if inc < e.inc || inc-e.inc > jumpMost || e.state > Suspect {
		return
	}
	if inc > e.inc {
		e.inc, e.beat, e.life = inc, beat, 0 // whose that is, it will say itself
	}
	n.accuse(e, by, "another's word")
	if dead {
		n.sayTo(e, false)
	}
}
