package membership

import (
	"math"
	"slices"
)

// extra is what is kept of a member in trouble.
func (e *entry) extra() *more {
	if e.more == nil {
		e.more = &more{}
	}
	return e.more
}

// changed tells of a change, and has others hear of the state.
func (n *Node) changed(e *entry, from State, why string, by Name) {
	n.out.Changed(Change{Name: e.about.Name, From: from, To: e.state, Way: e.way, Why: why, By: by})
}

// becomes has a member be in a state, for a cause.
func (n *Node) becomes(e *entry, to State, why string, by Name) {
	from := e.state
	if from == to {
		return
	}
	was, is := from == Alive || from == Suspect, to == Alive || to == Suspect
	e.state, e.since = to, n.real
	switch {
	case is && !was:
		n.lost = slices.DeleteFunc(n.lost, func(x *entry) bool { return x == e })
		at := n.below(len(n.ring) + 1)
		n.ring = append(n.ring, e)
		n.ring[at], n.ring[len(n.ring)-1] = e, n.ring[at]
	case was && !is:
		if at := slices.Index(n.ring, e); at >= 0 {
			if n.ring = slices.Delete(n.ring, at, at+1); at < n.turn {
				n.turn--
			}
		}
		n.lost = append(n.lost, e)
		n.unwatch(e)
		e.way = 0
	case !is:
		if !slices.Contains(n.lost, e) {
			n.lost = append(n.lost, e)
		}
	}
	if to != Alive || by != e.about.Name {
		e.extra().by = by
	} else if e.more != nil {
		e.more.by = by
	}
	if e.more != nil && to != Suspect {
		e.more.doubt = nil
	}
	n.changed(e, from, why, by)
	n.tell(e)
	n.stand()
}

// tell has news of a member spread.
func (n *Node) tell(e *entry) {
	n.spread(e, uint8(math.Ceil(spreadOften*math.Log2(float64(len(n.ring)+2)))+1))
}

// spread has a member's record go out so many times at least.
func (n *Node) spread(e *entry, times uint8) {
	e.spread = max(e.spread, times)
	if !e.queued {
		e.queued = true
		n.fresh = append(n.fresh, e)
	}
}

// meet books a member that was not known, if there is room.
func (n *Node) meet(a About, inc Incarnation, beat Beat) *entry {
	if a.Name == "" || len(n.members) >= n.terms.Most {
		n.out.Refused("over_members", a.Address)
		return nil
	}
	e := &entry{about: &a, life: a.Life, inc: inc, beat: beat, heard: n.now - n.probesLong(2*freshFor)}
	n.members[a.Name] = e
	return e
}

// heardOf takes what a member's own word, direct or passed on, says of its life: that it was there at this beat of this
// incarnation. It tells whether that counts; a word about one held for dead does only with a higher incarnation. Old
// words must not revive the dead.
func (n *Node) heardOf(e *entry, life Life, inc Incarnation, beat Beat, directly bool) bool {
	if n.terms.Unguard == "old-incarnation" && e.state > Suspect {
		e.inc = inc
		n.becomes(e, Alive, "an old word", e.about.Name)
	}
	raised := inc > e.inc
	switch {
	case inc < e.inc || inc == e.inc && life != e.life && e.life != 0 && life != 0:
		return false
	case raised:
		e.life, e.inc, e.beat = life, inc, beat
	case e.state > Suspect:
		return false
	case beat < e.beat:
		return true
	}
	if e.life == 0 {
		e.life = life
	}
	newer := raised || beat > e.beat
	if e.beat = beat; e.state != Alive {
		if d := e.doubt(); e.state == Suspect && !raised && d != nil && beat <= d.beat {
			return true
		}
		newer = true
	}
	if directly {
		e.heard, n.heardAny = n.now, n.now
	} else if newer && (e.state == Suspect || e.more != nil && e.more.misses > 0) {
		e.extra().vouched = n.now
	}
	n.lives(e)
	return true
}

// lives has a member be alive, whatever it was.
func (n *Node) lives(e *entry) {
	switch from := e.state; from {
	case Alive:
	case Suspect:
		e.extra().cleared = n.now
		n.becomes(e, Alive, "it was heard since", e.about.Name)
	default:
		if m := e.more; from == Dead && m != nil {
			if m.died != 0 && !m.stays { // it was not dead, nor beyond a split: hold it for longer the next time
				m.holds, m.heldAt = min(m.holds+1, holdMost), n.now
			}
			m.stays, m.died, m.misses, m.leaving = false, 0, 0, false
		}
		why := "it joined"
		if from != 0 {
			why = "it is back"
			if n.chance()*float64(len(n.ring)+1) < exchangers {
				n.exchange([]*entry{e}, false)
			}
		}
		n.becomes(e, Alive, why, e.about.Name)
	}
}

// Below is what records say. Each is about a member by another's word, or by its own.

func (n *Node) toldAlive(a About, inc Incarnation, beat Beat, table bool) {
	if a.Name == n.self.about.Name {
		n.toldOfMyName(a, inc)
		return
	}
	e := n.members[a.Name]
	if e == nil {
		if e = n.meet(a, inc, beat); e == nil {
			return
		}
		n.becomes(e, Alive, "it joined", a.Name)
		return
	}
	if inc > e.inc || inc == e.inc && (a.Life == e.life || e.life == 0) {
		if a.Number != e.about.Number || a.Address != e.about.Address || a.Version != e.about.Version || a.Zone != e.about.Zone || a.Notes != e.about.Notes {
			fresh := a
			e.about = &fresh
			n.changed(e, e.state, "it tells other things of itself", a.Name)
		}
	}
	if table && inc == e.inc && e.state == Suspect {
		return // a table may be older than the suspicion; who vouches says so by itself
	}
	if was := e.inc; n.heardOf(e, a.Life, inc, beat, false) && inc > was {
		n.tell(e)
	}
}

// sayTo tells a member directly how it is held, a bounded number between two probes; the others hear it by and by.
func (n *Node) sayTo(e *entry, wanted bool) {
	if m := e.extra(); n.tells > 0 && (wanted || n.now-m.told > n.terms.Every) {
		n.tells--
		m.told = n.now
		n.say(e.about.Name, e.about.Address, kindNews, nil, e)
	}
}

// toldLeft hears that a member left. Its own word holds at once, and for good. Another's is looked into first.
func (n *Node) toldLeft(name Name, inc Incarnation, beat Beat, by Name) {
	if name == n.self.about.Name {
		if !n.left {
			n.refute(inc, by)
		}
		return
	}
	e := n.members[name]
	if e == nil {
		if e = n.meet(About{Name: name}, inc, beat); e != nil {
			n.becomes(e, Left, "it left", by)
		}
		return
	}
	if inc < e.inc || inc-e.inc > jumpMost || e.state == Left {
		return
	}
	if e.state == Dead || by == name {
		e.inc = inc
		n.becomes(e, Left, "it left", by)
		return
	}
	if m := e.extra(); !m.leaving {
		m.leaving, m.leavingBeat = true, e.beat
		n.ping(e, &probe{e: e, sent: n.now, check: true})
		n.due.Put(n.now+2*n.terms.Every, func() {
			if m.leaving = false; e.state > Suspect || e.beat > m.leavingBeat {
				return
			}
			e.inc = max(e.inc, inc)
			n.becomes(e, Left, "it left", by)
		})
	}
}

// refute answers an accusation of this member by a higher incarnation.
func (n *Node) refute(inc Incarnation, by Name) {
	if inc < n.self.inc || inc-n.self.inc > jumpMost || n.left || n.terms.Unguard == "no-refutation" {
		return
	}
	n.self.inc = inc + 1
	n.wariness = min(n.wariness+1, wary)
	n.tell(n.self)
	if e := n.members[by]; e != nil && e.state <= Suspect {
		n.sayTo(e, true)
	}
}

// toldOfMyName hears of a member of this one's name. An earlier process of this one is followed at a higher incarnation;
// one that may live elsewhere is asked first.
func (n *Node) toldOfMyName(a About, inc Incarnation) {
	me := n.self
	switch {
	case inc < me.inc || inc-me.inc > jumpMost || n.left:
	case a.Life == me.life:
		if inc > me.inc {
			me.inc = inc + 1
			n.tell(me)
		}
	case a.Address == me.about.Address || a.Address == "":
		me.inc = inc + 1
		n.tell(me)
	case n.contest == nil:
		n.contest = &contest{at: a.Address, life: a.Life, inc: inc}
		n.ask(n.contest)
	case inc >= n.contest.inc:
		n.contest.inc = inc
	}
}

// ask asks whoever is at the address of another process of this name, a few times. No answer: there is none.
func (n *Node) ask(c *contest) {
	if n.contest != c {
		return
	}
	if c.tries++; c.tries > contestFor {
		n.contest = nil
		n.self.inc = c.inc + 1
		n.tell(n.self)
		return
	}
	n.knock(c.at)
	n.due.Put(n.now+n.terms.Every, func() { n.ask(c) })
}

// namesake hears a message of another process of this name: the one that has been a member for longer keeps it.
func (n *Node) namesake(at Address, life Life, age Micros, told bool) {
	mine := n.real - n.begun
	if n.left {
		return
	}
	if told && (age > mine || age == mine && life > n.self.life) {
		if n.contest == nil || n.contest.tries >= 0 { // once for each time that it gives way
			n.out.Contested(at, true)
			c := &contest{at: at, life: life, tries: -1}
			n.contest = c
			n.gaveWay++
			wait := float64(int(contestFor)<<min(n.gaveWay, 6)) * float64(n.terms.Every)
			n.due.Put(n.now+Micros(wait*(0.5+n.chance())), func() {
				if n.contest == c { // perhaps it is gone by now
					c.tries, c.inc = 0, max(c.inc, n.self.inc)
					n.ask(c)
				}
			})
		}
		return
	}
	if n.now-n.namesakeAt < n.terms.Every && n.namesakeAt != 0 {
		return
	}
	n.namesakeAt = n.now
	if c := n.contest; told && c != nil && c.tries >= 0 { // it is the younger one that answered
		n.contest = nil
		n.self.inc = max(n.self.inc, c.inc) + 1
		n.tell(n.self)
	}
	n.out.Contested(at, false)
	n.say("", at, kindTaken, putAge(nil, mine), nil)
}
