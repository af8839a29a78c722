package exchange

import (
	"strconv"
	"sync"
)

const (
	frame    = 8           // bytes before a piece, for the size of a chunk
	pieceEnd = len("\r\n") // and behind it
)

// Piece is what is in memory of a long body at once. A chunk is written round it in place: what it holds is not copied.
type Piece [64 << 10]byte

var pieces = sync.Pool{New: func() any { return new(Piece) }}

// NewPiece is one to be used, and then given back.
func NewPiece() *Piece { return pieces.Get().(*Piece) }

// Free gives it back.
func (p *Piece) Free() { pieces.Put(p) }

// Room is where bytes are read into.
func (p *Piece) Room() []byte { return p[frame : len(p)-pieceEnd] }

// Bytes are the first n of them, as they are or as a chunk; none, as a chunk, is the last one.
func (p *Piece) Bytes(n int, chunk bool) []byte {
	if !chunk {
		return p[frame : frame+n]
	}
	var size [frame]byte
	head := append(strconv.AppendInt(size[:0], int64(n), 16), "\r\n"...)
	out := append(p[frame-len(head):frame+n], "\r\n"...)
	copy(out, head)
	return out
}
