package network

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"

	"ledgespread/lab/scenario"
)

// Mesh connects sidecars that exchange datagrams and TCP connections at one address. Each ordered pair has a
// gate for both. A cut affects one direction only, whichever side opened a connection. Connections are not
// reset: their data is held back, as on a network that drops packets.
type Mesh struct {
	*Datagrams
	gates [][]*Gate
	paths [][]*Path
}

// NewMesh opens the gates between the sidecars at these addresses. Sidecar i must reach j at Address(i, j).
func NewMesh(addresses []netip.AddrPort, loss scenario.Loss, seed uint64) (*Mesh, error) {
	mesh := &Mesh{}
	for i := range addresses {
		mesh.gates, mesh.paths = append(mesh.gates, make([]*Gate, len(addresses))), append(mesh.paths, make([]*Path, len(addresses)))
		for j := range addresses {
			mesh.paths[i][j] = NewPath(0, 0, 0, seed, fmt.Sprint("mesh ", i, " ", j))
		}
	}
	var err error
	mesh.Datagrams, err = newDatagrams(addresses, loss, seed, func(i, j int) (*net.UDPConn, error) {
		listener, socket, err := ListenTCPAndUDP(netip.MustParseAddrPort("127.0.0.1:0"))
		if err == nil {
			mesh.gates[i][j] = newGate(addresses[j].String(), mesh.paths[i][j], listener)
		}
		return socket, err
	})
	if err != nil {
		mesh.closeGates()
		return nil, err
	}
	return mesh, nil
}

const portTries = 50 // several are needed, because a free TCP port may be in use for UDP

// ListenTCPAndUDP listens at one port for TCP and UDP; port 0 selects one that is free for both.
func ListenTCPAndUDP(address netip.AddrPort) (listener *net.TCPListener, socket *net.UDPConn, err error) {
	for range portTries {
		var taken net.Listener
		if taken, err = net.Listen("tcp", address.String()); err != nil {
			return nil, nil, err
		}
		listener = taken.(*net.TCPListener)
		if socket, err = net.ListenUDP("udp", &net.UDPAddr{IP: address.Addr().AsSlice(), Port: listener.Addr().(*net.TCPAddr).Port}); err == nil {
			return listener, socket, nil
		}
		if listener.Close(); address.Port() != 0 {
			return nil, nil, err
		}
	}
	return nil, nil, errors.New("none of " + strconv.Itoa(portTries) + " ports is free for both TCP and UDP")
}

// Cut starts or ends the loss of all data that i sends to j.
func (m *Mesh) Cut(i, j int, on bool) {
	m.Link(i, j, func(link *Link) { link.Cut = on })
	m.paths[i][j].Change(func(path *Path) { path.SetCutIn(on) })
	m.paths[j][i].Change(func(path *Path) { path.SetCutOut(on) })
}

// SetAddress sets a sidecar's new address; the others keep reaching it at the same address as before.
func (m *Mesh) SetAddress(j int, address netip.AddrPort) {
	m.Datagrams.SetAddress(j, address)
	for i := range m.gates {
		if i != j {
			m.gates[i][j].SetTarget(address.String())
		}
	}
}

// Close closes all gates. The tally doesn't change afterwards.
func (m *Mesh) Close() {
	m.Datagrams.Close()
	m.closeGates()
}

func (m *Mesh) closeGates() {
	for _, row := range m.gates {
		for _, gate := range row {
			if gate != nil {
				gate.Close()
			}
		}
	}
}
