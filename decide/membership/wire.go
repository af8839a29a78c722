package membership

import "encoding/binary"

// The bytes of a message. All numbers are big-endian; a name and an address have a length before them.
//
//	version  1        kind  1        group  4        proof  1+n (empty now: room for what will prove the sender)
//	name, life 4, incarnation 4, beat 4, flags 1, address
//	what the kind has, then records to the end
const (
	version = 1

	kindPing  = 1 // round 4, whom it is meant for, for whom it is asked
	kindAck   = 2 // round 4, whether that one is heard here 1
	kindAsk   = 3 // round 4, whom to ask
	kindTold  = 4 // round 4, who answered, whether it hears the asker 1, its incarnation 4, its beat 4
	kindNack  = 5 // round 4
	kindNews  = 6
	kindTaken = 7 // for how long the sender has had this name, tenths of a second 4
	kindTable = 8 // over a connection only: records of all members

	recordAlive   = 1 // name, life 4, incarnation 4, beat 4, number 2, address, notes' address, zone, version
	recordSuspect = 2 // name, incarnation 4, beat 4, by whose word
	recordDead    = 3
	recordLeft    = 4
	recordWord    = 5 // what rides along, of no meaning here: length 1, bytes

	who = 1 // flag: the sender does not know the receiver

	groupAt                         = 2
	nameMost, zoneMost, versionMost = 32, 24, 16
	addressMost                     = 18
	wordMost                        = 128
	tenth                           = 100_000 // microseconds
)

var be = binary.BigEndian

func putText(to []byte, text string) []byte { return append(append(to, byte(len(text))), text...) }

func putName(to []byte, name Name) []byte { return putText(to, string(name)) }

func putRound(to []byte, no round) []byte { return be.AppendUint32(to, uint32(no)) }

func putWord(to []byte, inc Incarnation, beat Beat) []byte {
	return be.AppendUint32(be.AppendUint32(to, uint32(inc)), uint32(beat))
}

func putAge(to []byte, age Micros) []byte { return be.AppendUint32(to, uint32(age/tenth)) }

func bit(on bool) byte {
	if on {
		return 1
	}
	return 0
}

func pingBody(no round, whom, by Name) []byte { return putName(putName(putRound(nil, no), whom), by) }

// Fits tells whether what a member would say of itself can be said.
func (a About) Fits() bool {
	return a.Name != "" && len(a.Name) <= nameMost && len(a.Zone) <= zoneMost && len(a.Version) <= versionMost &&
		len(a.Address) <= addressMost && len(a.Notes) <= addressMost
}

// Foreign tells, without reading further, why a message is not for this group; empty: it may be.
func (n *Node) Foreign(msg []byte) string {
	switch {
	case len(msg) < groupAt+4:
		return "malformed"
	case msg[0] != version:
		return "version"
	case be.Uint32(msg[groupAt:]) != n.group:
		return "group"
	}
	return ""
}

// Opening is how each message of this group begins, but for its second byte.
func (n *Node) Opening() []byte { return be.AppendUint32([]byte{version, 0}, n.group) }

func (n *Node) head(kind byte, flags byte) []byte {
	b := make([]byte, 0, longest)
	b = append(b, version, kind)
	b = be.AppendUint32(b, n.group)
	b = append(b, 0)
	b = putName(b, n.self.about.Name)
	b = be.AppendUint32(b, uint32(n.self.life))
	b = putWord(b, n.self.inc, n.self.beat)
	return putText(append(b, flags), string(n.self.about.Address))
}

// say sends one message, with what there is to tell behind it: first what the receiver has to know of itself and of the
// sender, then news. e is the receiver as it is held here; nil: it is not known.
func (n *Node) say(to Name, at Address, kind byte, body []byte, e *entry) {
	if at == "" {
		return
	}
	flags := byte(0)
	if e == nil || e.state > Suspect || e.about.Address == "" {
		flags |= who
	}
	b := append(n.head(kind, flags), body...)
	if n.left || e == nil || e == n.stranger {
		b = putFitting(b, n.self)
	}
	if e != nil && (e.state != Alive || e == n.mistaken) {
		b = putFitting(b, e)
	}
	for _, wrong := range n.amends {
		b = putFitting(b, wrong)
	}
	b = n.putRider(b, longest)
	n.out.Send(to, at, n.carry(b))
}

// putFitting adds a record, if there is room in a datagram.
func putFitting(b []byte, e *entry) []byte {
	if more := putRecord(b, e); len(more) <= longest {
		return more
	}
	return b
}

// putRider adds what rides along, as far as there is room.
func (n *Node) putRider(b []byte, most int) []byte {
	if room := min(most-len(b)-2, wordMost); n.rides != nil && room > 0 {
		if word := n.rides(room); len(word) > 0 {
			return putText(append(b, recordWord), string(word))
		}
	}
	return b
}

// carry puts news behind a message, those never told first.
func (n *Node) carry(b []byte) []byte {
	for range len(n.fresh) + len(n.news) {
		from := &n.fresh
		if len(n.fresh) == 0 {
			from = &n.news
		}
		e := (*from)[0]
		gone := e != n.self && n.members[e.about.Name] != e
		more := putRecord(b, e)
		if !gone && len(more) > longest {
			break
		}
		if *from = (*from)[1:]; gone {
			e.queued = false
			continue
		}
		b = more
		if e.spread--; e.spread > 0 {
			n.news = append(n.news, e)
		} else {
			e.queued = false
		}
	}
	return b
}

// putRecord adds what is held of a member.
func putRecord(b []byte, e *entry) []byte {
	by := e.about.Name
	if e.more != nil && e.more.by != "" {
		by = e.more.by
	}
	kind := byte(recordAlive)
	switch e.state {
	case Suspect:
		kind = recordSuspect
		if d := e.doubt(); d != nil && len(d.accusers) > 0 {
			by = d.accusers[len(d.accusers)-1] // the newest word: it is the one that others lack
		}
	case Dead:
		kind = recordDead
	case Left:
		kind = recordLeft
	}
	b = putName(append(b, kind), e.about.Name)
	if kind != recordAlive {
		return putName(putWord(b, e.inc, e.beat), by)
	}
	b = be.AppendUint32(b, uint32(e.life))
	b = be.AppendUint16(putWord(b, e.inc, e.beat), e.about.Number)
	b = putText(putText(b, string(e.about.Address)), string(e.about.Notes))
	return putText(putText(b, e.about.Zone), e.about.Version)
}

// Table is a message of all members, for a connection; it ends before it gets larger than most bytes.
func (n *Node) Table(most int) []byte {
	b := n.putRider(putRecord(n.head(kindTable, 0), n.self), most)
	for _, e := range n.others() {
		more := putRecord(b, e)
		if len(more) > most {
			break
		}
		b = more
	}
	return b
}

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

func (r *reader) one() byte    { return r.take(1)[0] }
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

func (r *reader) address() Address          { return Address(r.text(addressMost)) }
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
