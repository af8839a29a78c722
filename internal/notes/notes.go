// Package notes holds the bytes of a message between sidecars, the same in the simulator and on sockets:
// its kind, the server it is about, and figures, each the upper half of a float32, since every byte has its
// price.
package notes

import (
	"encoding/binary"
	"math"

	"ledgespread/brain"
)

const (
	head   = 7  // kind and server
	figure = 2  // bytes of one
	wire   = 28 // heads of a datagram's packet, IPv4's and UDP's
)

// Size is the bytes that a message of so many figures takes on the wire, heads of its packet counted.
func Size(figures int) int { return wire + head + figure*figures }

var be = binary.BigEndian

// Append writes a message behind what is there.
func Append(to []byte, kind brain.MessageKind, about brain.ServerID, figures ...float64) []byte {
	to = append(to, byte(kind))
	to = be.AppendUint32(to, uint32(about>>16))
	to = be.AppendUint16(to, uint16(about))
	for _, f := range figures {
		to = be.AppendUint16(to, uint16((math.Float32bits(float32(f))+1<<15)>>16))
	}
	return to
}

// Read takes a message apart; ok is false where it is not of this form. Only a quote may be infinite. Any other infinite
// figure would, once added, stay in the sums for ever.
func Read(msg []byte) (kind brain.MessageKind, about brain.ServerID, figures []float64, ok bool) {
	if len(msg) < head || len(msg)%2 != head%2 {
		return 0, 0, nil, false
	}
	figures = make([]float64, (len(msg)-head)/2)
	for i := range figures {
		bits := uint32(be.Uint16(msg[head+2*i:])) << 16
		if figures[i] = float64(math.Float32frombits(bits)); !(figures[i] >= 0) ||
			math.IsInf(figures[i], 1) && brain.MessageKind(msg[0]) != brain.Quote {
			return 0, 0, nil, false
		}
	}
	about = brain.ServerID(be.Uint32(msg[1:]))<<16 | brain.ServerID(be.Uint16(msg[5:]))
	return brain.MessageKind(msg[0]), about, figures, true
}
