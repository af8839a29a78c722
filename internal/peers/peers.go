// Package peers sends and receives short messages between sidecars as UDP datagrams. A sender is identified
// by the source address of its datagrams.
package peers

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/rs/zerolog"

	"ledgespread/brain"
	"ledgespread/decide/membership"
	"ledgespread/internal/connlimit"
	"ledgespread/internal/counters"
	"ledgespread/internal/machine"
	"ledgespread/internal/peermessage"
)

const maxDatagramBytes = 256

// Peers sends messages to the other sidecars and receives theirs. All methods may be called concurrently.
type Peers struct {
	conn       *net.UDPConn
	configured []netip.AddrPort // addresses of the configuration file, indexed by sidecar number
	table      atomic.Pointer[addressTable]
	counts     *counters.Set
	log        zerolog.Logger
}

// addressTable maps sidecars to addresses and back. Sidecars of the configuration file that are not known to
// be alive are in numbers only: this sidecar accepts their messages but sends them none.
type addressTable struct {
	addresses map[brain.Peer]netip.AddrPort
	numbers   map[netip.AddrPort]brain.Peer
}

// Open listens for messages. addresses are those of all sidecars, indexed by sidecar number. If shared is
// set, another process of this sidecar may listen at the same address.
func Open(listen string, shared bool, addresses []netip.AddrPort, counts *counters.Set, log zerolog.Logger) (*Peers, error) {
	config := connlimit.ListenConfig(shared)
	conn, err := machine.Listen(func() (net.PacketConn, error) {
		return config.ListenPacket(context.Background(), "udp", listen)
	})
	if err != nil {
		return nil, err
	}
	p := &Peers{conn: conn.(*net.UDPConn), configured: addresses, counts: counts, log: log}
	all := map[brain.Peer]netip.AddrPort{}
	for i, address := range addresses {
		all[brain.Peer(i)] = address
	}
	p.SetPeers(all)
	return p, nil
}

// LiveAddresses returns the message addresses of all members but this one that are alive or suspected. It leaves out
// members that publish no valid address in their notes.
func LiveAddresses(all []membership.Member) map[brain.Peer]netip.AddrPort {
	living := map[brain.Peer]netip.AddrPort{}
	for _, member := range all {
		var address netip.AddrPort
		if member.State <= membership.Suspect && !member.Self && address.UnmarshalBinary([]byte(member.BrainAddress)) == nil {
			living[brain.Peer(member.Number)] = address
		}
	}
	return living
}

// SetPeers replaces the set of sidecars that Send sends to. An address of the configuration file takes
// precedence over the one in living, because it is the one at which this sidecar reaches the peer.
func (p *Peers) SetPeers(living map[brain.Peer]netip.AddrPort) {
	table := &addressTable{map[brain.Peer]netip.AddrPort{}, map[netip.AddrPort]brain.Peer{}}
	for i, address := range p.configured { // even a sidecar that is not in living: a message from it shows that it is alive
		table.numbers[address] = brain.Peer(i)
	}
	for i, address := range living {
		if int(i) < len(p.configured) {
			address = p.configured[i]
		}
		table.addresses[i], table.numbers[address] = address, i
	}
	p.table.Store(table)
}

// TakeOverAddress directs incoming messages to this process and away from an older process of this sidecar at the same
// address.
func (p *Peers) TakeOverAddress() error { return connlimit.Steer(p.conn) }

// Send sends one message without any guarantee of delivery. A message to an unknown sidecar, or one that is
// too long, is dropped and counted.
func (p *Peers) Send(to brain.Peer, kind brain.MessageKind, about brain.ServerID, values ...float64) {
	msg := peermessage.Append(nil, kind, about, values...)
	address, known := p.table.Load().addresses[to]
	if !known || len(msg) > maxDatagramBytes {
		p.counts.Add(counters.MessagesRejected)
		return
	}
	if _, err := p.conn.WriteToUDPAddrPort(msg, address); err == nil {
		p.counts.Add(counters.MessagesSent)
	}
}

// Receive receives messages and calls handle for each one, until Close is called.
func (p *Peers) Receive(handle func(from brain.Peer, kind brain.MessageKind, about brain.ServerID, values []float64)) {
	var buf [maxDatagramBytes + 1]byte
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			p.handleDatagram(buf[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), handle)
		}
	}
}

// handleDatagram decodes one datagram and passes it to handle. Malformed or overlong datagrams, and those
// from unknown addresses, are dropped and counted. A panic in handle is recorded and doesn't end the
// receiving loop.
func (p *Peers) handleDatagram(msg []byte, from netip.AddrPort,
	handle func(brain.Peer, brain.MessageKind, brain.ServerID, []float64)) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			p.counts.RecordPanic(p.log, "message", panicValue)
		}
	}()
	number, known := p.table.Load().numbers[from]
	kind, about, values, ok := peermessage.Decode(msg)
	if !known || !ok || len(msg) > maxDatagramBytes {
		p.counts.Add(counters.MessagesRejected)
		return
	}
	p.counts.Add(counters.MessagesReceived)
	handle(number, kind, about, values)
}

// Close closes the socket, which makes Receive return.
func (p *Peers) Close() { p.conn.Close() }
