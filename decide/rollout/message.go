package rollout

// message.go: the binary message by which members exchange the state of a rollout.

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Layout of the message, which travels on membership's messages. Integers are big-endian.
//
//	flags 1 byte, number 8, digest 16
//	conflicting digest 16, if the number is contested
//	number in force 8, if the sender has another version in force
//	reports up to the end: rank 4, verdict 1 each
const (
	stageMask            = 3
	contestedFlag        = 4
	otherInForceFlag     = 8
	hasContentFlag       = 16
	headerSize           = 25
	reportSize           = 5
	maxReportsPerMessage = 8

	// MaxMessageSize is the maximum length of a message in bytes.
	MaxMessageSize = headerSize + 16 + 8 + maxReportsPerMessage*reportSize
)

var errZeroNumber = errors.New("a configuration's number is 1 at least")

// NumberTooLowError is the error for a configuration whose number is not above the highest number known here.
type NumberTooLowError struct{ Number, Known Number }

func (b *NumberTooLowError) Error() string {
	return fmt.Sprintf("number %d is not above %d, which is known here: a number never falls", b.Number, b.Known)
}

// message is a decoded message of another member.
type message struct {
	Version
	otherDigest           Digest
	stage                 Stage
	contested, hasContent bool
	inForce               Number
	reports               []Report
}

// EncodeMessage encodes this member's message in at most limit bytes. It returns nil if there is nothing to send or the
// limit is too low.
func (n *Node) EncodeMessage(limit int) []byte {
	newest := &n.newest
	if newest.Number == 0 {
		return nil
	}
	flags := byte(newest.stage)
	encoded := append(binary.BigEndian.AppendUint64(make([]byte, 1, MaxMessageSize), uint64(newest.Number)), newest.Digest[:]...)
	if newest.hasContent && !newest.contested {
		flags |= hasContentFlag
	}
	if newest.contested {
		flags |= contestedFlag
		encoded = append(encoded, newest.otherDigest[:]...)
	}
	if n.inForce != newest.Version {
		flags |= otherInForceFlag
		encoded = binary.BigEndian.AppendUint64(encoded, uint64(n.inForce.Number))
	}
	encoded[0] = flags
	if len(encoded) > limit {
		return nil
	}
	if newest.stage == Everywhere && n.announcesLeft == 0 || newest.contested {
		return encoded
	}
	for range min(len(newest.sendOrder), maxReportsPerMessage, (limit-len(encoded))/reportSize) { // reports that do not fit are sent next time
		rank := newest.sendOrder[0]
		newest.sendOrder = append(newest.sendOrder[1:], rank)
		encoded = append(binary.BigEndian.AppendUint32(encoded, uint32(rank)), byte(newest.reports[rank]))
	}
	return encoded
}

// parseMessage decodes a message. It returns false if the message is malformed.
func parseMessage(encoded []byte) (*message, bool) {
	if len(encoded) < headerSize || len(encoded) > MaxMessageSize {
		return nil, false
	}
	parsed := &message{}
	flags := encoded[0]
	parsed.stage, parsed.contested, parsed.hasContent = Stage(flags&stageMask), flags&contestedFlag != 0, flags&hasContentFlag != 0
	parsed.Number = Number(binary.BigEndian.Uint64(encoded[1:]))
	copy(parsed.Digest[:], encoded[9:])
	parsed.inForce = parsed.Number
	if encoded = encoded[headerSize:]; parsed.contested {
		if len(encoded) < len(parsed.otherDigest) {
			return nil, false
		}
		encoded = encoded[copy(parsed.otherDigest[:], encoded):]
	}
	if flags&otherInForceFlag != 0 {
		if len(encoded) < 8 {
			return nil, false
		}
		parsed.inForce = Number(binary.BigEndian.Uint64(encoded))
		encoded = encoded[8:]
	}
	if parsed.stage > Stopped || parsed.Number == 0 || len(encoded)%reportSize != 0 || flags&^(stageMask|contestedFlag|otherInForceFlag|hasContentFlag) != 0 {
		return nil, false
	}
	for ; len(encoded) > 0; encoded = encoded[reportSize:] {
		verdict := Verdict(encoded[4])
		if verdict < Trial || verdict > Refused {
			return nil, false
		}
		parsed.reports = append(parsed.reports, Report{Rank: Rank(binary.BigEndian.Uint32(encoded)), Verdict: verdict})
	}
	return parsed, true
}
