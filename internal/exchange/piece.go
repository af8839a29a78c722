package exchange

import (
	"strconv"
	"sync"
	"time"

	"ledgespread/internal/memory"
)

const (
	chunkHeadSpace = 8           // bytes before a piece, for the size line of a chunk
	chunkTailSpace = len("\r\n") // bytes after it, for the line end

	pieceGrowth = 4                     // each size of a piece is this multiple of the one before
	slowPass    = 20 * time.Millisecond // a piece that takes longer to be passed on is waiting for a slow peer
)

// pieceSizes are the sizes of pieces. The smallest one belongs to the connection's own memory.
var pieceSizes = [...]int{MinPiece, pieceGrowth * MinPiece, MaxPiece}

// Sizes of the smallest and of the largest pieces.
const (
	MinPiece = memory.FreeBytes
	MaxPiece = pieceGrowth * pieceGrowth * MinPiece
)

var piecePools [len(pieceSizes)]sync.Pool

// Piece is a reusable buffer for a part of a long body. The chunk framing is written around the data in place, which
// saves a copy. It is small at first; it grows with a fast body as long as there is memory to spare, and shrinks again
// for a slow one, which would keep the memory for long.
type Piece struct {
	buffer   *[]byte
	size     int // index of its size in pieceSizes
	reserved memory.Reservation
}

// NewPiece returns a Piece whose memory is reserved from the account. It is given back by Free.
func NewPiece(account *memory.Account) *Piece {
	piece := &Piece{reserved: memory.NewReservation(account, memory.Pieces)}
	piece.takeBuffer(0)
	return piece
}

// takeBuffer takes a buffer of a size from its pool.
func (p *Piece) takeBuffer(size int) {
	p.size = size
	if pooled, ok := piecePools[size].Get().(*[]byte); ok {
		p.buffer = pooled
		return
	}
	buffer := make([]byte, pieceSizes[size])
	p.buffer = &buffer
}

// Free returns the buffer to its pool, and its memory to the account.
func (p *Piece) Free() {
	piecePools[p.size].Put(p.buffer)
	p.buffer = nil
	p.reserved.Free()
}

// Adapt changes the size of the piece after n bytes have been passed on in a span of time. What the buffer holds is
// lost.
func (p *Piece) Adapt(n int, passedOnIn time.Duration) {
	slow := passedOnIn > slowPass
	switch {
	case p.size > 0 && (slow || n < len(p.Buffer())/pieceGrowth):
		p.Free()
		p.takeBuffer(0)
	case !slow && n > len(p.Buffer())/2 && p.size+1 < len(pieceSizes):
		p.grow()
	}
}

// grow takes a buffer of the next size, if there is memory to spare.
func (p *Piece) grow() {
	larger := p.size + 1
	if !p.reserved.GrowSpare(int64(pieceSizes[larger] - pieceSizes[p.size])) {
		return
	}
	piecePools[p.size].Put(p.buffer)
	p.takeBuffer(larger)
}

// Buffer returns the part of the buffer that data is read into.
func (p *Piece) Buffer() []byte {
	buffer := *p.buffer
	return buffer[chunkHeadSpace : len(buffer)-chunkTailSpace]
}

// Bytes returns the first n bytes of the data, plain or framed as a chunk. A chunk of 0 bytes ends the body.
func (p *Piece) Bytes(n int, chunk bool) []byte {
	buffer := *p.buffer
	if !chunk {
		return buffer[chunkHeadSpace : chunkHeadSpace+n]
	}
	var size [chunkHeadSpace]byte
	head := append(strconv.AppendInt(size[:0], int64(n), 16), "\r\n"...)
	out := append(buffer[chunkHeadSpace-len(head):chunkHeadSpace+n], "\r\n"...)
	copy(out, head)
	return out
}
