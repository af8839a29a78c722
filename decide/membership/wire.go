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
