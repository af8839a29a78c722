package memory

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// What can't be refused leaves less to what can; spare memory is refused first; what is given back can be had again.
func TestAccountRefusesBeyondItsLimit(t *testing.T) {
	account := New(1000)
	account.Add(ClientConnections, 300)
	body, piece := NewReservation(account, RequestBodies), NewReservation(account, Pieces)
	got := []bool{piece.GrowSpare(200), piece.GrowSpare(1), body.Grow(500), body.Grow(1)}
	account.Add(ServerConnections, 100) // beyond the limit
	got = append(got, body.Grow(1))
	body.Free()
	body.Free()
	got = append(got, body.Grow(400), piece.GrowSpare(1))
	account.SetLimit(2100)
	got = append(got, piece.GrowSpare(50), body.Grow(1050), body.Grow(1))
	if diff := cmp.Diff([]bool{true, false, true, false, false, true, false, true, true, false}, got); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
	var text strings.Builder
	account.WriteTo(&text)
	if diff := cmp.Diff(`ledgespread_memory_client_connections_bytes 300
ledgespread_memory_server_connections_bytes 100
ledgespread_memory_heads_bytes 0
ledgespread_memory_request_bodies_bytes 1450
ledgespread_memory_answer_bodies_bytes 0
ledgespread_memory_pieces_bytes 250
ledgespread_memory_used_bytes 2100
ledgespread_memory_peak_bytes 2100
ledgespread_memory_limit_bytes 2100
`, text.String()); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
}
