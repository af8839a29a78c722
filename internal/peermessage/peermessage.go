// Package peermessage implements the binary format of the messages that sidecars send each other. The simulator and
// the UDP transport both use it. A message is its kind (1 byte), the server that it is about (6 bytes), and
// any number of values. Each value is the upper 16 bits of a float32, to keep messages small.
package peermessage

import (
	"encoding/binary"
	"math"

	"ledgespread/brain"
)

const (
	headerBytes       = 7  // message kind and server ID
	valueBytes        = 2  // one value
	packetHeaderBytes = 28 // IPv4 and UDP headers
)

// Size returns the number of bytes that a message with so many values takes on the network, IPv4 and UDP
// headers included.
func Size(values int) int { return packetHeaderBytes + headerBytes + valueBytes*values }

var byteOrder = binary.BigEndian

// Append appends an encoded message to buf and returns the extended buffer. Values are rounded to 16 bits.
func Append(buf []byte, kind brain.MessageKind, about brain.ServerID, values ...float64) []byte {
	buf = append(buf, byte(kind))
	buf = byteOrder.AppendUint32(buf, uint32(about>>16))
	buf = byteOrder.AppendUint16(buf, uint16(about))
	for _, value := range values {
		buf = byteOrder.AppendUint16(buf, uint16((math.Float32bits(float32(value))+1<<15)>>16))
	}
	return buf
}

// Decode decodes a message. ok is false if the length is wrong or if a value is negative, NaN or infinite. A
// brain.Quote may contain infinite values. Any other infinite value would stay for ever in the sums that it
// is added to.
func Decode(msg []byte) (kind brain.MessageKind, about brain.ServerID, values []float64, ok bool) {
	if len(msg) < headerBytes || len(msg)%2 != headerBytes%2 {
		return 0, 0, nil, false
	}
	values = make([]float64, (len(msg)-headerBytes)/2)
	for i := range values {
		bits := uint32(byteOrder.Uint16(msg[headerBytes+2*i:])) << 16
		if values[i] = float64(math.Float32frombits(bits)); !(values[i] >= 0) ||
			math.IsInf(values[i], 1) && brain.MessageKind(msg[0]) != brain.Quote {
			return 0, 0, nil, false
		}
	}
	about = brain.ServerID(byteOrder.Uint32(msg[1:]))<<16 | brain.ServerID(byteOrder.Uint16(msg[5:]))
	return brain.MessageKind(msg[0]), about, values, true
}
