package membership

// This file decodes received messages and hands their content to the functions that process it.

// reader decodes the fields of a message in order. After the first malformed field every read returns a zero
// value.
type reader struct {
	rest      []byte
	malformed bool
}

func (r *reader) take(size int) []byte {
	if r.malformed || len(r.rest) < size {
		r.malformed = true
		return make([]byte, size)
	}
	field := r.rest[:size]
	r.rest = r.rest[size:]
	return field
}

func (r *reader) byte() byte { return r.take(1)[0] }

func (r *reader) uint32() uint32 { return bigEndian.Uint32(r.take(4)) }

// text reads a text of at most limit bytes.
func (r *reader) text(limit int) string {
	size := int(r.byte())
	if size > limit {
		r.malformed = true
		return ""
	}
	return string(r.take(size))
}

// name reads a name. It accepts printable ASCII only, because names are logged.
func (r *reader) name() Name {
	text := r.text(maxNameBytes)
	for _, char := range []byte(text) {
		if char <= ' ' || char > '~' {
			r.malformed = true
		}
	}
	return Name(text)
}

func (r *reader) address() Address { return Address(r.text(maxAddressBytes)) }

// stamp reads what putStamp writes.
func (r *reader) stamp() (Incarnation, Heartbeat) {
	return Incarnation(r.uint32()), Heartbeat(r.uint32())
}

// HandleDatagram processes a received datagram, and reports whether it was a valid message. Messages of other groups are
// rejected.
func (n *Node) HandleDatagram(now Micros, from Address, message []byte) (valid bool) {
	n.advanceClock(now)
	switch reason := n.CheckHeader(message); {
	case reason != "":
		n.host.Rejected(reason, from)
	case len(message) > maxDatagram:
		n.host.Rejected("too_long", from)
	case message[1] == kindTable:
		n.host.Rejected("malformed", from)
	default:
		valid = n.handleMessage(from, message)
	}
	n.timers.RunDue(n.now)
	return valid
}

// HandleTable processes another member's table, received over a connection. It reports whether the table was valid.
func (n *Node) HandleTable(now Micros, from Address, message []byte) bool {
	n.advanceClock(now)
	if reason := n.CheckHeader(message); reason != "" || message[1] != kindTable {
		if reason == "" {
			reason = "malformed"
		}
		n.host.Rejected(reason, from)
		return false
	}
	return n.handleMessage(from, message)
}

// handleMessage decodes a whole message before it acts on any part of it.
func (n *Node) handleMessage(from Address, message []byte) bool {
	input := &reader{rest: message}
	input.byte()
	kind := input.byte()
	input.uint32()
	input.take(int(input.byte())) // the proof field
	name := input.name()
	instance := Instance(input.uint32())
	incarnation, heartbeat := input.stamp()
	flags := input.byte()
	at := input.address()
	var handle func(sender *entry)
	switch kind {
	case kindPing:
		id, target, requester := probeID(input.uint32()), input.name(), input.name()
		handle = func(sender *entry) { n.handlePing(id, name, at, target, requester, sender) }
	case kindAck:
		id, receives := probeID(input.uint32()), input.byte() != 0
		handle = func(sender *entry) {
			if sender != nil && !n.forwardAck(id, sender, receives) {
				n.handleAck(id, name, "", receives)
			}
		}
	case kindHelpRequest:
		id, target := probeID(input.uint32()), input.name()
		handle = func(*entry) { n.relayProbe(id, target, name, at) }
	case kindHelpReply:
		id, target, receives := probeID(input.uint32()), input.name(), input.byte() != 0
		incarnation, heartbeat := input.stamp()
		handle = func(*entry) {
			if member := n.members[target]; member != nil && n.recordLiveness(member, 0, incarnation, heartbeat, false) {
				n.handleAck(id, target, name, receives)
			}
		}
	case kindNack:
		id := probeID(input.uint32())
		handle = func(*entry) { n.handleNack(id) }
	case kindGossip, kindTable:
		handle = func(*entry) {}
	case kindNameTaken:
		age := Micros(input.uint32()) * ageUnit
		handle = func(*entry) {
			if name == n.self.info.Name && instance != n.self.instance {
				n.handleNameConflict(at, instance, age, true)
			}
		}
	default:
		input.malformed = true
	}
	var records []func()
	var piggyback []byte
	for !input.malformed && len(input.rest) > 0 {
		if input.rest[0] == recordPiggyback {
			input.byte()
			piggyback = []byte(input.text(maxPiggybackBytes))
			continue
		}
		records = append(records, n.readRecord(input, name, kind == kindTable))
	}
	if input.malformed || name == "" || at == "" {
		n.host.Rejected("malformed", from)
		return false
	}
	if name == n.self.info.Name {
		if kind == kindNameTaken {
			handle(nil)
		} else if instance != n.self.instance {
			n.handleNameConflict(at, instance, 0, false)
		}
		return false
	}
	n.lastReceived = n.now
	n.corrections = n.corrections[:0]
	for _, apply := range records {
		apply()
	}
	defer func() { n.corrections = n.corrections[:0] }()
	sender := n.members[name]
	outerMisinformed, outerNewcomer := n.misinformed, n.newcomer
	if sender != nil {
		if n.recordLiveness(sender, instance, incarnation, heartbeat, true) {
			if sender.info.Address != at { // it restarted at another address
				moved := *sender.info
				moved.Address, moved.Instance = at, instance
				sender.info = &moved
			}
			n.clearCut(sender, InboundCut)
		} else {
			n.misinformed = sender // it has to learn its state in this member's table
		}
	}
	if flags&flagUnknownReceiver != 0 {
		n.newcomer = sender
		if kind != kindPing && sender != nil {
			n.notify(sender, true)
		}
	}
	handle(sender)
	if sender != nil && kind != kindPing && (n.misinformed == sender || len(n.corrections) > 0) {
		n.notify(sender, len(n.corrections) > 0)
	}
	n.misinformed, n.newcomer = outerMisinformed, outerNewcomer
	if piggyback != nil && n.handlePiggyback != nil {
		n.corrections = n.corrections[:0]
		n.handlePiggyback(name, at, piggyback)
	}
	return true
}

// readRecord decodes one record and returns a function that applies it, to be called once the whole message
// is decoded.
func (n *Node) readRecord(input *reader, from Name, fromTable bool) func() {
	switch kind := input.byte(); kind {
	case recordAlive:
		info := MemberInfo{Name: input.name(), Instance: Instance(input.uint32())}
		incarnation, heartbeat := input.stamp()
		info.Number = bigEndian.Uint16(input.take(2))
		info.Address, info.BrainAddress = input.address(), input.address()
		info.Zone, info.Version = input.text(maxZoneBytes), input.text(maxVersionBytes)
		return func() { n.handleAlive(info, incarnation, heartbeat, fromTable) }
	case recordSuspect, recordDead, recordLeft:
		name := input.name()
		incarnation, heartbeat := input.stamp()
		by := input.name()
		if kind == recordLeft {
			if by == name && from != name { // forwarded by another member: not a report of the member itself
				by = from
			}
			return func() { n.handleLeave(name, incarnation, heartbeat, by) }
		}
		return func() { n.handleAccusation(name, incarnation, heartbeat, by, kind == recordDead) }
	}
	input.malformed = true
	return nil
}

// handlePing answers a ping. The answer says whether this member receives messages of the requester.
func (n *Node) handlePing(id probeID, name Name, at Address, target, requester Name, sender *entry) {
	if target != "" && target != n.self.info.Name || n.left {
		return
	}
	receives := sender != nil
	if requester != "" {
		other := n.members[requester]
		receives = other != nil && n.now-other.lastHeard < n.intervals(recentlyHeard)
	}
	n.sendMessage(name, at, kindAck, append(putProbeID(nil, id), boolByte(receives)), sender)
	if target == "" && sender != nil { // the sender pinged a seed address: it knows few members
		n.exchange([]*entry{sender}, false)
	}
}
