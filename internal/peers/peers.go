// Package peers carries short messages between sidecars: UDP datagrams, known by the address they come from.
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
	"ledgespread/internal/notes"
)

const longest = 256 // bytes of a datagram

// Peers sends to the other sidecars and hears them.
type Peers struct {
	conn   *net.UDPConn
	fixed  []netip.AddrPort
	book   atomic.Pointer[book]
	counts *counters.Sheet
	log    zerolog.Logger
}

// book is where the others are, and who is heard from where. Those of the fixed list that are not living are not told things.
type book struct {
	at      map[brain.Peer]netip.AddrPort
	numbers map[netip.AddrPort]brain.Peer
}

// Open listens. The sidecars stand in the order of their numbers; shared: another process of this one may
// be there too.
func Open(listen string, shared bool, at []netip.AddrPort, counts *counters.Sheet, log zerolog.Logger) (*Peers, error) {
	with := connlimit.Share(shared)
	conn, err := machine.Listen(func() (net.PacketConn, error) {
		return with.ListenPacket(context.Background(), "udp", listen)
	})
	if err != nil {
		return nil, err
	}
	p := &Peers{conn: conn.(*net.UDPConn), fixed: at, counts: counts, log: log}
	all := map[brain.Peer]netip.AddrPort{}
	for i, a := range at {
		all[brain.Peer(i)] = a
	}
	p.Follow(all)
	return p, nil
}

// Living are the members that others tell things, by where they hear them: those that are not known to be dead.
func Living(all []membership.Member) map[brain.Peer]netip.AddrPort {
	living := map[brain.Peer]netip.AddrPort{}
	for _, member := range all {
		var address netip.AddrPort
		if member.State <= membership.Suspect && !member.Self && address.UnmarshalBinary([]byte(member.Notes)) == nil {
			living[brain.Peer(member.Number)] = address
		}
	}
	return living
}

// Follow has just these be told things from now on. Where the fixed list has one's address, that counts: it is where this
// sidecar reaches it.
func (p *Peers) Follow(living map[brain.Peer]netip.AddrPort) {
	b := &book{map[brain.Peer]netip.AddrPort{}, map[netip.AddrPort]brain.Peer{}}
	for i, a := range p.fixed { // heard, whoever lives: its word says that it does
		b.numbers[a] = brain.Peer(i)
	}
	for i, a := range living {
		if int(i) < len(p.fixed) {
			a = p.fixed[i]
		}
		b.at[i], b.numbers[a] = a, i
	}
	p.book.Store(b)
}

// Steer has messages come here, no longer to the process that was at this address before.
func (p *Peers) Steer() error { return connlimit.Steer(p.conn) }

// Tell sends one message; it may be lost.
func (p *Peers) Tell(to brain.Peer, kind brain.MessageKind, about brain.ServerID, figures ...float64) {
	msg := notes.Append(nil, kind, about, figures...)
	at, there := p.book.Load().at[to]
	if !there || len(msg) > longest {
		p.counts.Add(counters.NotesRefused)
		return
	}
	if _, err := p.conn.WriteToUDPAddrPort(msg, at); err == nil {
		p.counts.Add(counters.NotesSent)
	}
}

// Hear hands over what the others send, until the socket is closed.
func (p *Peers) Hear(heard func(from brain.Peer, kind brain.MessageKind, about brain.ServerID, figures []float64)) {
	var in [longest + 1]byte
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(in[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			p.one(in[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), heard)
		}
	}
}

// one takes a datagram. What comes from strangers, and garbage, is passed over and counted.
func (p *Peers) one(msg []byte, from netip.AddrPort,
	heard func(brain.Peer, brain.MessageKind, brain.ServerID, []float64)) {
	defer func() {
		if crash := recover(); crash != nil {
			p.counts.Crashed(p.log, "message", crash)
		}
	}()
	number, known := p.book.Load().numbers[from]
	kind, about, figures, ok := notes.Read(msg)
	if !known || !ok || len(msg) > longest {
		p.counts.Add(counters.NotesRefused)
		return
	}
	p.counts.Add(counters.NotesHeard)
	heard(number, kind, about, figures)
}

// Close ends it.
func (p *Peers) Close() { p.conn.Close() }
