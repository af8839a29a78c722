package network

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"

	"ledgespread/lab/scenario"
)

// Mesh is all ways between sidecars that tell each other things by datagrams and by connections at one address: for each
// ordered pair a gate of its own for both. What is cut, is cut in one direction only, on connections that either opened;
// their bytes are held, not reset, as on a network that drops packets.
type Mesh struct {
	*Datagrams
	gates [][]*Gate
	ways  [][]*Way
}

// NewMesh opens the gates: the address of j as i is to know it is Address(i, j). to are the sidecars' own.
func NewMesh(to []netip.AddrPort, loss scenario.Loss, seed uint64) (*Mesh, error) {
	m := &Mesh{}
	for i := range to {
		m.gates, m.ways = append(m.gates, make([]*Gate, len(to))), append(m.ways, make([]*Way, len(to)))
		for j := range to {
			m.ways[i][j] = NewWay(0, 0, 0, seed, fmt.Sprint("mesh ", i, " ", j))
		}
	}
	var err error
	m.Datagrams, err = between(to, loss, seed, func(i, j int) (*net.UDPConn, error) {
		ln, c, err := Both(netip.MustParseAddrPort("127.0.0.1:0"))
		if err == nil {
			m.gates[i][j] = before(to[j].String(), m.ways[i][j], ln)
		}
		return c, err
	})
	if err != nil {
		m.closeGates()
		return nil, err
	}
	return m, nil
}

const portTries = 50 // a port that is free for connections may be another's for datagrams

// Both takes one port for connections and datagrams; port 0: any that is free for both.
func Both(at netip.AddrPort) (ln *net.TCPListener, c *net.UDPConn, err error) {
	for range portTries {
		var taken net.Listener
		if taken, err = net.Listen("tcp", at.String()); err != nil {
			return nil, nil, err
		}
		ln = taken.(*net.TCPListener)
		if c, err = net.ListenUDP("udp", &net.UDPAddr{IP: at.Addr().AsSlice(), Port: ln.Addr().(*net.TCPAddr).Port}); err == nil {
			return ln, c, nil
		}
		if ln.Close(); at.Port() != 0 {
			return nil, nil, err
		}
	}
	return nil, nil, errors.New("no port of " + strconv.Itoa(portTries) + " is free for both")
}

// Cut begins or ends a cut of what i says to j.
func (m *Mesh) Cut(i, j int, on bool) {
	m.Link(i, j, func(l *Link) { l.Cut = on })
	m.ways[i][j].Change(func(w *Way) { w.CutIn(on) })
	m.ways[j][i].Change(func(w *Way) { w.CutOut(on) })
}

// Moved tells that a sidecar is at another address now; the others reach it where they did.
func (m *Mesh) Moved(j int, at netip.AddrPort) {
	m.Datagrams.Moved(j, at)
	for i := range m.gates {
		if i != j {
			m.gates[i][j].Aim(at.String())
		}
	}
}

// Close ends it; the tally stands then.
func (m *Mesh) Close() {
	m.Datagrams.Close()
	m.closeGates()
}

func (m *Mesh) closeGates() {
	for _, row := range m.gates {
		for _, g := range row {
			if g != nil {
				g.Close()
			}
		}
	}
}
