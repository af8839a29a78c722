package membership

import "encoding/binary"

// The wire format of a message. All numbers are big-endian; names, addresses and other texts are preceded by
// their length in one byte. "4" behind a field is its size in bytes.
//
//	version  1        kind  1        group  4        proof  1+n (empty now; reserved for authenticating the sender)
//	name, instance 4, incarnation 4, heartbeat 4, flags 1, address (all of the sender)
//	the fields of the kind, then records to the end
const (
	version = 1

	kindPing        = 1 // probe 4, name of the target, name of the requester (empty unless relayed)
	kindAck         = 2 // probe 4, whether the sender receives messages of the requester 1
	kindHelpRequest = 3 // probe 4, name of the target
	kindHelpReply   = 4 // probe 4, name of the target, whether it receives messages of the requester 1, its incarnation 4, its heartbeat 4
	kindNack        = 5 // probe 4
	kindGossip      = 6 // no fields: carries records only
	kindNameTaken   = 7 // time for which the sender has used this name, in tenths of a second 4
	kindTable       = 8 // sent over a connection only: records of all members

	recordAlive     = 1 // name, instance 4, incarnation 4, heartbeat 4, number 2, address, brain's address, zone, version
	recordSuspect   = 2 // name, incarnation 4, heartbeat 4, name of the accuser
	recordDead      = 3 // as recordSuspect
	recordLeft      = 4 // as recordSuspect
	recordPiggyback = 5 // length 1, data that this package does not interpret

	flagUnknownReceiver = 1 // the sender does not know the receiver

	groupOffset       = 2
	maxNameBytes      = 32
	maxZoneBytes      = 24
	maxVersionBytes   = 16
	maxAddressBytes   = 18
	maxPiggybackBytes = 128
	ageUnit           = 100_000 // microseconds
)

var bigEndian = binary.BigEndian

func putText(to []byte, text string) []byte { return append(append(to, byte(len(text))), text...) }

func putName(to []byte, name Name) []byte { return putText(to, string(name)) }

func putProbeID(to []byte, id probeID) []byte { return bigEndian.AppendUint32(to, uint32(id)) }

// putStamp appends an incarnation and a heartbeat, which together say how new a message about a member is.
func putStamp(to []byte, incarnation Incarnation, heartbeat Heartbeat) []byte {
	return bigEndian.AppendUint32(bigEndian.AppendUint32(to, uint32(incarnation)), uint32(heartbeat))
}

func putAge(to []byte, age Micros) []byte { return bigEndian.AppendUint32(to, uint32(age/ageUnit)) }

func boolByte(on bool) byte {
	if on {
		return 1
	}
	return 0
}

func pingBody(id probeID, target, requester Name) []byte {
	return putName(putName(putProbeID(nil, id), target), requester)
}

// Fits reports whether every field is short enough for the wire format, and the name is not empty.
func (a MemberInfo) Fits() bool {
	return a.Name != "" && len(a.Name) <= maxNameBytes && len(a.Zone) <= maxZoneBytes && len(a.Version) <= maxVersionBytes &&
		len(a.Address) <= maxAddressBytes && len(a.BrainAddress) <= maxAddressBytes
}

// CheckHeader returns why a message can't be meant for this group, judged by its first bytes only; empty if it can.
func (n *Node) CheckHeader(message []byte) string {
	switch {
	case len(message) < groupOffset+4:
		return "malformed"
	case message[0] != version:
		return "version"
	case bigEndian.Uint32(message[groupOffset:]) != n.groupHash:
		return "group"
	}
	return ""
}

// MessagePrefix returns the first bytes of every message of this group, with a zero in place of the kind, the
// second byte.
func (n *Node) MessagePrefix() []byte { return bigEndian.AppendUint32([]byte{version, 0}, n.groupHash) }

// header begins a message with the fields that all kinds have.
func (n *Node) header(kind byte, flags byte) []byte {
	message := make([]byte, 0, maxDatagram)
	message = append(message, version, kind)
	message = bigEndian.AppendUint32(message, n.groupHash)
	message = append(message, 0)
	message = putName(message, n.self.info.Name)
	message = bigEndian.AppendUint32(message, uint32(n.self.instance))
	message = putStamp(message, n.self.incarnation, n.self.heartbeat)
	return putText(append(message, flags), string(n.self.info.Address))
}

// sendMessage sends a message and fills the rest of the datagram: first with records that the receiver needs
// about itself and about the sender, then with piggybacked data, then with updates. receiver is nil if it is
// not known.
func (n *Node) sendMessage(to Name, at Address, kind byte, body []byte, receiver *entry) {
	if at == "" {
		return
	}
	flags := byte(0)
	if receiver == nil || receiver.state > Suspect || receiver.info.Address == "" {
		flags |= flagUnknownReceiver
	}
	message := append(n.header(kind, flags), body...)
	if n.left || receiver == nil || receiver == n.newcomer {
		message = putRecordIfFits(message, n.self)
	}
	if receiver != nil && (receiver.state != Alive || receiver == n.misinformed) {
		message = putRecordIfFits(message, receiver)
	}
	for _, accused := range n.corrections {
		message = putRecordIfFits(message, accused)
	}
	message = n.putPiggyback(message, maxDatagram)
	n.host.Send(to, at, n.putUpdates(message))
}

// putRecordIfFits appends a record if the message stays within a datagram.
func putRecordIfFits(message []byte, member *entry) []byte {
	if longer := putRecord(message, member); len(longer) <= maxDatagram {
		return longer
	}
	return message
}

// putPiggyback appends the data of another module, if the message stays within limit bytes.
func (n *Node) putPiggyback(message []byte, limit int) []byte {
	if free := min(limit-len(message)-2, maxPiggybackBytes); n.encodePiggyback != nil && free > 0 {
		if data := n.encodePiggyback(free); len(data) > 0 {
			return putText(append(message, recordPiggyback), string(data))
		}
	}
	return message
}

// putUpdates appends as many queued updates as the datagram holds, those never sent first.
func (n *Node) putUpdates(message []byte) []byte {
	for range len(n.freshUpdates) + len(n.sentUpdates) {
		queue := &n.freshUpdates
		if len(n.freshUpdates) == 0 {
			queue = &n.sentUpdates
		}
		member := (*queue)[0]
		forgotten := member != n.self && n.members[member.info.Name] != member
		longer := putRecord(message, member)
		if !forgotten && len(longer) > maxDatagram {
			break
		}
		if *queue = (*queue)[1:]; forgotten {
			member.queued = false
			continue
		}
		message = longer
		if member.sendsLeft--; member.sendsLeft > 0 {
			n.sentUpdates = append(n.sentUpdates, member)
		} else {
			member.queued = false
		}
	}
	return message
}

// putRecord appends a member's state from this member's table.
func putRecord(message []byte, member *entry) []byte {
	reporter := member.info.Name
	if member.trouble != nil && member.trouble.reportedBy != "" {
		reporter = member.trouble.reportedBy
	}
	kind := byte(recordAlive)
	switch member.state {
	case Suspect:
		kind = recordSuspect
		if open := member.suspicion(); open != nil && len(open.accusers) > 0 {
			reporter = open.accusers[len(open.accusers)-1] // the latest accuser, whom other members may not know yet
		}
	case Dead:
		kind = recordDead
	case Left:
		kind = recordLeft
	}
	message = putName(append(message, kind), member.info.Name)
	if kind != recordAlive {
		return putName(putStamp(message, member.incarnation, member.heartbeat), reporter)
	}
	message = bigEndian.AppendUint32(message, uint32(member.instance))
	message = bigEndian.AppendUint16(putStamp(message, member.incarnation, member.heartbeat), member.info.Number)
	message = putText(putText(message, string(member.info.Address)), string(member.info.BrainAddress))
	return putText(putText(message, member.info.Zone), member.info.Version)
}

// EncodeTable returns a message with the records of all members, for a full state exchange over a connection. It
// ends early where it would become larger than limit bytes.
func (n *Node) EncodeTable(limit int) []byte {
	message := n.putPiggyback(putRecord(n.header(kindTable, 0), n.self), limit)
	for _, member := range n.otherMembers() {
		longer := putRecord(message, member)
		if len(longer) > limit {
			break
		}
		message = longer
	}
	return message
}
