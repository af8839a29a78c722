package exchange

import (
	"testing"
	"time"

	"ledgespread/internal/memory"
)

// A piece that waited for a slow client kept 64 KiB for as long as the answer took, and hundreds of them exceeded the
// memory limit.
func TestPieceIsSmallForSlowPeer(t *testing.T) {
	account := memory.New(1 << 20)
	piece := NewPiece(account)
	for _, step := range []struct {
		passedOnIn time.Duration
		fill       bool
		wantSize   int
	}{{0, true, 16 << 10}, {0, true, 64 << 10}, {0, true, 64 << 10}, {time.Second, true, 4 << 10}, {time.Second, true, 4 << 10},
		{0, true, 16 << 10}, {0, false, 4 << 10}, {0, false, 4 << 10}} {
		n := 1
		if step.fill {
			n = len(piece.Buffer())
		}
		if piece.Adapt(n, step.passedOnIn); len(*piece.buffer) != step.wantSize || account.Used() != int64(step.wantSize-MinPiece) {
			t.Errorf("%+v: %d bytes, %d reserved", step, len(*piece.buffer), account.Used())
		}
	}
	full := NewPiece(memory.New(0))
	if full.Adapt(len(full.Buffer()), 0); len(*full.buffer) != MinPiece {
		t.Errorf("%d bytes without memory to spare", len(*full.buffer))
	}
}
