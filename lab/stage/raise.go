package stage

// raise.go: servers and sidecars, as they are put up.

import (
	"cmp"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"syscall"

	"ledgespread/lab/backend"
	"ledgespread/lab/chance"
	"ledgespread/lab/list"
	"ledgespread/lab/network"
	"ledgespread/lab/plan"
	"ledgespread/lab/scenario"
	"ledgespread/lab/sidecars"
)

// joins tells whether a backend is not there until a fault brings it.
func (g *Rig) joins(name string) bool {
	return slices.ContainsFunc(g.plan.Events, func(e plan.Event) bool { return e.What == "join" && slices.Contains(e.Names, name) })
}

func (g *Rig) raiseBackends() error {
	names, at := g.s.BackendNames(), 0
	for _, m := range g.s.Backends {
		for range m.Count {
			b := g.newBackend(names[at], m)
			at++
			if g.joins(b.Name) {
				continue
			}
			if err := start(b, false); err != nil {
				return err
			}
			g.show(b, "in_service", 0, 0)
		}
	}
	return nil
}

// start begins a backend's life at its own address, or finds it one: below the ports that the kernel gives out by itself. This prevents
// another program that listens there while the backend is dead, and answers in its place: a sidecar that goes on sending to a dead backend would
// be accused of what a stranger said.
func start(b *backend.Backend, cold bool) (err error) {
	if at := b.Address(); at != "" {
		return b.Start(at, cold)
	}
	for range addresses {
		var at string
		if at, err = free(); err != nil {
			return err
		}
		// This prevents another lab on this machine that takes the address before the backend does.
		if err = b.Start(at, cold); !errors.Is(err, syscall.EADDRINUSE) {
			return err
		}
	}
	return err
}

const addresses = 20 // tries with others, where one was taken meanwhile

var free = sidecars.Free

func (g *Rig) newBackend(name string, m scenario.Backend) *backend.Backend {
	b := backend.New(name, m, g.s, g.o.Seed, g.groups, g.clock, g.alarms)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.backends = append(g.backends, b)
	g.byName[name] = b
	return b
}

// show tells the list of a backend.
func (g *Rig) show(b *backend.Backend, health string, born, notice Micros) {
	g.list.Set(list.Host{Name: b.Name, Zone: b.Zone, Model: b.Model, Cell: b.Cell, Health: health, Step: g.stepNow(),
		Share: b.Make.Speed * float64(b.Make.Cores), Born: born,
		Dial: func(reader string) string { return g.dial(reader, b) }}, notice)
}

// dial is where a sidecar reaches a backend: at a gate of its zone, or straight where the network is to do nothing.
func (g *Rig) dial(reader string, b *backend.Backend) string {
	at := b.Address()
	if !g.s.OnNetwork() {
		return at
	}
	zone := g.zones[reader]
	g.mu.Lock()
	defer g.mu.Unlock()
	key := zone + " " + at
	gate := g.gates[key]
	if gate == nil {
		var err error
		if gate, err = network.Open(at, g.way(zone, b)); err != nil {
			g.notes = append(g.notes, "no gate: "+err.Error())
			return at
		}
		g.gates[key] = gate
	}
	return gate.Address()
}

// way is the path from a zone to a backend. Called with the lock held.
func (g *Rig) way(zone string, b *backend.Backend) *network.Way {
	key := zone + " " + b.Name
	if g.ways[key] == nil {
		n := g.s.Network
		g.ways[key] = network.NewWay(n.Way(zone, b.Zone), n.Spread.M(), n.Bandwidth, g.o.Seed, key)
	}
	return g.ways[key]
}

func (g *Rig) raiseSidecars() error {
	names := g.s.SidecarNames()
	peers := make([][]string, len(names))
	listen := make([]string, len(names))
	if talks, _ := g.s.Allowed["peer_messages"].(bool); talks {
		var at []netip.AddrPort
		for i := range names {
			free, err := sidecars.Free()
			if err != nil {
				return err
			}
			listen[i] = free
			at = append(at, netip.MustParseAddrPort(free))
		}
		var err error
		if loss := g.s.Network.Datagrams; loss != (scenario.Loss{}) || g.s.OnWays() {
			if g.between, err = network.Between(at, loss, g.o.Seed); err != nil {
				return err
			}
		}
		for i := range names {
			for j := range names {
				if g.between == nil || i == j {
					peers[i] = append(peers[i], listen[j])
				} else {
					peers[i] = append(peers[i], g.between.Address(i, j))
				}
			}
		}
	}
	if err := g.raiseMesh(len(names)); err != nil {
		return err
	}
	program, err := g.program()
	if err != nil {
		return err
	}
	for i, name := range names {
		zone := g.zones[name]
		seeds := chance.New(g.o.Seed, name) // a start's is new; one sidecar is configured by one goroutine at a time
		sidecar, err := sidecars.New(name, zone, program, g.folder, g.clock, func(at string) ([]byte, error) {
			return g.configuration(i, name, at, listen[i], peers[i], seeds.Bits())
		})
		if err != nil {
			return err
		}
		if g.mesh != nil {
			sidecar.More, sidecar.Marker = []string{"--with", g.extensions(name)}, `"part":"membership"`
			if g.s.Members.Carry > 0 {
				sidecar.Marker = `"part":"` // and of what it carries
			}
		}
		g.sidecars = append(g.sidecars, sidecar)
	}
	var all sync.WaitGroup
	places := make(chan bool, startsAtOnce)
	ends := make([]error, len(g.sidecars))
	for i, sidecar := range g.sidecars {
		all.Add(1)
		places <- true
		go func() {
			defer all.Done()
			ends[i] = sidecar.Start(readyWithin)
			<-places
		}()
	}
	all.Wait()
	return errors.Join(ends...)
}

// configuration is a sidecar's file, in the form of the deployment page.
func (g *Rig) configuration(i int, name, at, peerListen string, peers []string, seed uint64) ([]byte, error) {
	discovery, err := g.list.Address(name) // without the lock held: the list asks dial
	if err != nil {
		return nil, err
	}
	if g.mesh != nil {
		if err := g.fit(i); err != nil {
			return nil, err
		}
	}
	called, starts := name, true
	if at := slices.IndexFunc(g.sidecars, func(c *sidecars.Sidecar) bool { return c.Name == name }); at >= 0 {
		called, starts = cmp.Or(g.sidecars[at].Called, name), g.sidecars[at].Pid() == 0
	}
	return sidecars.Paper{Scenario: g.s, Number: i, Name: called, Zone: g.zones[name], Listen: at, Discovery: discovery, Seed: seed,
		PeerListen: peerListen, Peers: peers, Known: g.list.Whole(name, starts)}.JSON()
}
