package membership

// receive.go: messages that come.

// reader takes fields off a message; bad, once set, stays.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) take(size int) []byte {
	if r.bad || len(r.b) < size {
		r.bad = true
		return make([]byte, size)
	}
	out := r.b[:size]
	r.b = r.b[size:]
	return out
}

func (r *reader) one() byte { return r.take(1)[0] }

func (r *reader) four() uint32 { return be.Uint32(r.take(4)) }

// text reads one that is no longer than most. Names hold printable characters only: they are logged.
func (r *reader) text(most int) string {
	size := int(r.one())
	if size > most {
		r.bad = true
		return ""
	}
	return string(r.take(size))
}

func (r *reader) name() Name {
	text := r.text(nameMost)
	for _, c := range []byte(text) {
		if c <= ' ' || c > '~' {
			r.bad = true
		}
	}
	return Name(text)
}

func (r *reader) address() Address { return Address(r.text(addressMost)) }

func (r *reader) word() (Incarnation, Beat) { return Incarnation(r.four()), Beat(r.four()) }

// Heard takes a datagram, and tells whether it was a message. What is none of this group is passed over.
func (n *Node) Heard(now Micros, from Address, msg []byte) (taken bool) {
	n.begin(now)
	switch why := n.Foreign(msg); {
	case why != "":
		n.out.Refused(why, from)
	case len(msg) > longest:
		n.out.Refused("too_long", from)
	case msg[1] == kindTable:
		n.out.Refused("malformed", from)
	default:
		taken = n.hear(from, msg)
	}
	n.due.Lapse(n.now)
	return taken
}

// Merge takes another's table, which came over a connection.
func (n *Node) Merge(now Micros, from Address, msg []byte) bool {
	n.begin(now)
	if why := n.Foreign(msg); why != "" || msg[1] != kindTable {
		if why == "" {
			why = "malformed"
		}
		n.out.Refused(why, from)
		return false
	}
	return n.hear(from, msg)
}

// hear takes a message apart, wholly, before anything of it counts.
func (n *Node) hear(from Address, msg []byte) bool {
	r := &reader{b: msg}
	r.one()
	kind := r.one()
	r.four()
	r.take(int(r.one())) // the proof
	name := r.name()
	life := Life(r.four())
	inc, beat := r.word()
	flags := r.one()
	at := r.address()
	var then func(e *entry)
	switch kind {
	case kindPing:
		no, whom, by := round(r.four()), r.name(), r.name()
		then = func(e *entry) { n.pinged(no, name, at, whom, by, e) }
	case kindAck:
		no, heard := round(r.four()), r.one() != 0
		then = func(e *entry) {
			if e != nil && !n.relays(no, e, heard) {
				n.acked(no, name, "", heard)
			}
		}
	case kindAsk:
		no, whom := round(r.four()), r.name()
		then = func(*entry) { n.helps(no, whom, name, at) }
	case kindTold:
		no, whom, heard := round(r.four()), r.name(), r.one() != 0
		inc, beat := r.word()
		then = func(*entry) {
			if about := n.members[whom]; about != nil && n.heardOf(about, 0, inc, beat, false) {
				n.acked(no, whom, name, heard)
			}
		}
	case kindNack:
		no := round(r.four())
		then = func(*entry) { n.nacked(no) }
	case kindNews, kindTable:
		then = func(*entry) {}
	case kindTaken:
		age := Micros(r.four()) * tenth
		then = func(*entry) {
			if name == n.self.about.Name && life != n.self.life {
				n.namesake(at, life, age, true)
			}
		}
	default:
		r.bad = true
	}
	var records []func()
	var word []byte
	for !r.bad && len(r.b) > 0 {
		if r.b[0] == recordWord {
			r.one()
			word = []byte(r.text(wordMost))
			continue
		}
		records = append(records, n.record(r, name, kind == kindTable))
	}
	if r.bad || name == "" || at == "" {
		n.out.Refused("malformed", from)
		return false
	}
	if name == n.self.about.Name {
		if kind == kindTaken {
			then(nil)
		} else if life != n.self.life {
			n.namesake(at, life, 0, false)
		}
		return false
	}
	n.heardAny = n.now
	n.amends = n.amends[:0]
	for _, do := range records {
		do()
	}
	defer func() { n.amends = n.amends[:0] }()
	e := n.members[name]
	before, beforeStranger := n.mistaken, n.stranger
	if e != nil {
		if n.heardOf(e, life, inc, beat, true) {
			if e.about.Address != at { // it moved
				moved := *e.about
				moved.Address, moved.Life = at, life
				e.about = &moved
			}
			n.opened(e, Mute)
		} else {
			n.mistaken = e // it has to hear how it is held
		}
	}
	if flags&who != 0 {
		n.stranger = e
		if kind != kindPing && e != nil {
			n.sayTo(e, true)
		}
	}
	then(e)
	if e != nil && kind != kindPing && (n.mistaken == e || len(n.amends) > 0) {
		n.sayTo(e, len(n.amends) > 0)
	}
	n.mistaken, n.stranger = before, beforeStranger
	if word != nil && n.rode != nil {
		n.amends = n.amends[:0]
		n.rode(name, at, word)
	}
	return true
}

// record reads one record and gives back what it says, to be taken once the whole message is read.
func (n *Node) record(r *reader, from Name, table bool) func() {
	switch kind := r.one(); kind {
	case recordAlive:
		a := About{Name: r.name(), Life: Life(r.four())}
		inc, beat := r.word()
		a.Number = be.Uint16(r.take(2))
		a.Address, a.Notes = r.address(), r.address()
		a.Zone, a.Version = r.text(zoneMost), r.text(versionMost)
		return func() { n.toldAlive(a, inc, beat, table) }
	case recordSuspect, recordDead, recordLeft:
		name := r.name()
		inc, beat := r.word()
		by := r.name()
		if kind == recordLeft {
			if by == name && from != name { // passed on: not its own word
				by = from
			}
			return func() { n.toldLeft(name, inc, beat, by) }
		}
		return func() { n.toldSuspect(name, inc, beat, by, kind == recordDead) }
	}
	r.bad = true
	return nil
}

// pinged answers a probe, and says whether this member hears the one for whom it is asked.
func (n *Node) pinged(no round, name Name, at Address, whom, by Name, e *entry) {
	if whom != "" && whom != n.self.about.Name || n.left {
		return
	}
	heard := e != nil
	if by != "" {
		other := n.members[by]
		heard = other != nil && n.now-other.heard < n.probesLong(freshFor)
	}
	n.say(name, at, kindAck, append(putRound(nil, no), bit(heard)), e)
	if whom == "" && e != nil { // it came by a seed: it knows few
		n.exchange([]*entry{e}, false)
	}
}
