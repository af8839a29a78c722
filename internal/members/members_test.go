package members

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ledgespread/decide/membership"
	"ledgespread/internal/extensions"
)

// pair opens two members, the second of which knows the first.
func pair(t *testing.T) (all [2]*Members) {
	t.Helper()
	for i := range all {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		at := ln.Addr().String()
		ln.Close()
		seeds := ""
		if i > 0 {
			seeds = fmt.Sprintf("%q", all[0].terms.Listen)
		}
		f, err := extensions.Parse("pair.toml", fmt.Appendf(nil, "[membership]\nlisten = %q\ngroup = \"pair\"\nfrom = [\"127.0.0.0/8\"]\nprobe_every = \"20ms\"\nseeds = [%s]\n", at, seeds))
		if err != nil {
			t.Fatal(err)
		}
		if all[i], err = Open(f.Membership, Self{Name: fmt.Sprint("n", i), Version: "1", Number: uint16(i), Senders: 1, Linger: time.Second, Seed: uint64(i + 1)}, false,
			func([]membership.Member, int) {}, zerolog.Nop()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(all[i].Hand)
	}
	return all
}

func (m *Members) counted() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.all()
}

// What one sent the other heard, by the receiver's own count: datagrams and full exchanges.
func TestHeardBytes(t *testing.T) {
	all := pair(t)
	for end := time.Now().Add(5 * time.Second); all[1].counted()["heard"] < 20 || all[1].counted()["exchanged_bytes_in"] == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in 5 s: %v", all[1].counted())
		}
	}
	all[0].Hand() // in this order: what it sent last is heard before the count
	time.Sleep(100 * time.Millisecond)
	sent, heard := all[0].counted(), all[1].counted()
	for _, x := range [][2]string{{"sent", "heard"}, {"sent_bytes", "heard_bytes"}, {"exchanged_bytes_out", "exchanged_bytes_in"}} {
		if sent[x[0]] == 0 || sent[x[0]] != heard[x[1]] {
			t.Errorf("%s %d, %s %d", x[0], sent[x[0]], x[1], heard[x[1]])
		}
	}
}
