package network

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"ledgespread/lab/rng"
	"ledgespread/lab/scenario"
)

// Datagrams forwards datagrams between sidecars. Each ordered pair has a socket, so that a receiver can
// identify the sender by its address, and a link that loses, duplicates, delays or blocks datagrams
// independently.
type Datagrams struct {
	Tally   Tally // read after Close, or by Count
	sockets [][]*net.UDPConn
	done    chan bool
	open    int

	mu       sync.Mutex
	at       []netip.AddrPort // the sidecars' own addresses
	links    [][]Link
	observer func(from, to int, msg []byte)
}

// Tally counts the datagrams that were received by a gate, by outcome.
type Tally struct{ Received, Lost, Doubled, Late, Cut, Passed, TooLong int }

// Link describes how datagrams pass from one sidecar to another.
type Link struct {
	scenario.Loss
	Delay, Spread Micros
	Cut           bool
}

const maxDatagramBytes = 256 // maximum size of a datagram in bytes; longer ones are counted, but still forwarded

// Between opens the sockets between the sidecars at these addresses. Sidecar i must send to j at Address(i,
// j).
func Between(addresses []netip.AddrPort, loss scenario.Loss, seed uint64) (*Datagrams, error) {
	return newDatagrams(addresses, loss, seed, func(i, j int) (*net.UDPConn, error) {
		return net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	})
}

// newDatagrams is Between with a function that opens the socket for each ordered pair.
func newDatagrams(addresses []netip.AddrPort, loss scenario.Loss, seed uint64, open func(i, j int) (*net.UDPConn, error)) (*Datagrams, error) {
	datagrams := &Datagrams{done: make(chan bool, len(addresses)*len(addresses)), at: append([]netip.AddrPort(nil), addresses...)}
	for range addresses {
		datagrams.sockets = append(datagrams.sockets, make([]*net.UDPConn, len(addresses)))
		datagrams.links = append(datagrams.links, make([]Link, len(addresses)))
	}
	for i := range addresses {
		for j := range addresses {
			if datagrams.links[i][j].Loss = loss; i == j {
				continue
			}
			socket, err := open(i, j)
			if err != nil {
				datagrams.Close()
				return nil, err
			}
			datagrams.sockets[i][j] = socket
		}
	}
	for i := range addresses {
		for j := range addresses {
			if i != j {
				datagrams.open++
				go datagrams.forward(i, j, rng.New(seed, "datagrams "+addresses[i].String()+addresses[j].String()))
			}
		}
	}
	return datagrams, nil
}

// Address is where i sends to j, and the sender address that i sees on datagrams from j.
func (d *Datagrams) Address(i, j int) string { return d.sockets[i][j].LocalAddr().String() }

// Link changes how datagrams pass from i to j, from now on.
func (d *Datagrams) Link(i, j int, change func(*Link)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(&d.links[i][j])
}

// SetAddress sets a sidecar's new address; the others keep sending to it at the same address as before.
func (d *Datagrams) SetAddress(j int, at netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at[j] = at
}

// Watch sets a function that is called for each datagram to be forwarded, when it arrives. The function must
// not block.
func (d *Datagrams) Watch(seen func(from, to int, msg []byte)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observer = seen
}

// Count returns the current tally.
func (d *Datagrams) Count() Tally {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Tally
}

// forward forwards the datagrams of one ordered pair of sidecars until its socket closes.
func (d *Datagrams) forward(from, to int, draw *rng.Source) {
	defer func() { d.done <- true }()
	in, out := d.sockets[from][to], d.sockets[to][from]
	buffer := make([]byte, 64<<10)
	for {
		size, source, err := in.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		chances := [4]float64{draw.Float(), draw.Float(), draw.Float(), draw.Float()}
		d.mu.Lock()
		if netip.AddrPortFrom(source.Addr().Unmap(), source.Port()) != d.at[from] { // the sender is another program
			d.mu.Unlock()
			continue
		}
		link, destination, copies := d.links[from][to], d.at[to], 1
		d.Tally.Received++
		switch {
		case link.Cut:
			d.Tally.Cut++
			copies = 0
		case chances[0] < link.Lost:
			d.Tally.Lost++
			copies = 0
		case chances[1] < link.Doubled:
			d.Tally.Doubled++
			copies = 2
		}
		if d.observer != nil && copies > 0 {
			d.observer(from, to, buffer[:size])
		}
		if d.Tally.Passed += copies; size > maxDatagramBytes {
			d.Tally.TooLong++
		}
		delay := link.Delay
		if link.Spread > 0 {
			delay += Micros(float64(link.Spread) * chances[3])
		}
		if copies > 0 && chances[2] < link.Late {
			d.Tally.Late++
			delay += link.By.M()
		}
		d.mu.Unlock()
		if delay == 0 {
			for range copies {
				out.WriteToUDPAddrPort(buffer[:size], destination)
			}
			continue
		}
		payload := append([]byte(nil), buffer[:size]...)
		for range copies {
			time.AfterFunc(delay.Duration(), func() { out.WriteToUDPAddrPort(payload, destination) })
		}
	}
}

// Close closes the sockets. The tally doesn't change afterwards.
func (d *Datagrams) Close() {
	for _, row := range d.sockets {
		for _, socket := range row {
			if socket != nil {
				socket.Close()
			}
		}
	}
	for range d.open {
		<-d.done
	}
}
