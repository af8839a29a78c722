package sidecars

import (
	"net"
	"net/netip"
	"testing"
)

// An address given out is given to nobody else meanwhile: not by the lab, and not by the kernel to one who leaves it the choice.
func TestFree(t *testing.T) {
	given := map[string]bool{}
	for range 500 {
		at, err := Free()
		if err != nil {
			t.Fatal(err)
		}
		if given[at] {
			t.Fatalf("%s was given out twice", at)
		}
		given[at] = true
	}
	for range 500 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		if at := netip.MustParseAddrPort(ln.Addr().String()); given[at.String()] {
			t.Fatalf("the kernel gave out %s as well", at)
		}
	}
}
