package runner

// This file starts the backends and sidecars of a run, and registers the backends with the discovery list.

import (
	"cmp"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"syscall"

	"ledgespread/lab/backend"
	"ledgespread/lab/list"
	"ledgespread/lab/network"
	"ledgespread/lab/plan"
	"ledgespread/lab/rng"
	"ledgespread/lab/scenario"
	"ledgespread/lab/sidecars"
)

// joinsLater reports whether a backend starts only when a "join" fault of the plan starts it.
func (rig *Rig) joinsLater(name string) bool {
	return slices.ContainsFunc(rig.plan.Events, func(event plan.Event) bool { return event.What == "join" && slices.Contains(event.Names, name) })
}

// startBackends starts all backends that don't join later.
func (rig *Rig) startBackends() error {
	names, next := rig.scenario.BackendNames(), 0
	for _, config := range rig.scenario.Backends {
		for range config.Count {
			started := rig.newBackend(names[next], config)
			next++
			if rig.joinsLater(started.Name) {
				continue
			}
			if err := startBackend(started, false); err != nil {
				return err
			}
			rig.publishBackend(started, "in_service", 0, 0)
		}
	}
	return nil
}

// startBackend starts a backend at the address it had before, or at a free one below the kernel's ephemeral
// ports. Otherwise another program could listen at the address while the backend is down and answer in its
// place, and a sidecar that keeps sending to the dead backend would be blamed for the other program's answers.
func startBackend(target *backend.Backend, cold bool) (err error) {
	if address := target.Address(); address != "" {
		return target.Start(address, cold)
	}
	for range addressAttempts {
		var address string
		if address, err = freeAddress(); err != nil {
			return err
		}
		// Another lab on this machine may have taken the address since freeAddress found it; only then try another one.
		if err = target.Start(address, cold); !errors.Is(err, syscall.EADDRINUSE) {
			return err
		}
	}
	return err
}

const addressAttempts = 20 // how many addresses startBackend tries when others are taken meanwhile

// freeAddress finds an address for a backend's first start; tests replace it.
var freeAddress = sidecars.Free

// newBackend creates a backend and adds it to the rig, without starting it.
func (rig *Rig) newBackend(name string, config scenario.Backend) *backend.Backend {
	created := backend.New(name, config, rig.scenario, rig.options.Seed, rig.groups, rig.clock, rig.alarms)
	rig.mu.Lock()
	defer rig.mu.Unlock()
	rig.backends = append(rig.backends, created)
	rig.byName[name] = created
	return created
}

// publishBackend publishes a backend's state to the discovery list, after the notice.
func (rig *Rig) publishBackend(published *backend.Backend, health string, born, notice Micros) {
	rig.list.Set(list.Host{Name: published.Name, Zone: published.Zone, Model: published.Model, Cell: published.Cell,
		Health: health, Step: rig.wallClockOffset(),
		Share: published.Config.Speed * float64(published.Config.Cores), Born: born,
		Dial: func(reader string) string { return rig.addressFor(reader, published) }}, notice)
}

// addressFor returns the address at which a sidecar reaches a backend: a gate of the sidecar's zone, or the
// backend itself in a scenario without a simulated network.
func (rig *Rig) addressFor(reader string, target *backend.Backend) string {
	address := target.Address()
	if !rig.scenario.NeedsFaultProxies() {
		return address
	}
	zone := rig.zones[reader]
	rig.mu.Lock()
	defer rig.mu.Unlock()
	key := zone + " " + address
	gate := rig.gates[key]
	if gate == nil {
		var err error
		if gate, err = network.Open(address, rig.pathTo(zone, target)); err != nil {
			rig.notes = append(rig.notes, "no gate could be opened: "+err.Error())
			return address
		}
		rig.gates[key] = gate
	}
	return gate.Address()
}

// pathTo returns the network path from a zone to a backend, shared by all its gates. rig.mu is held.
func (rig *Rig) pathTo(zone string, target *backend.Backend) *network.Path {
	key := zone + " " + target.Name
	if rig.paths[key] == nil {
		settings := rig.scenario.Network
		rig.paths[key] = network.NewPath(settings.OneWayDelay(zone, target.Zone), settings.Spread.M(), settings.Bandwidth, rig.options.Seed, key)
	}
	return rig.paths[key]
}

// startSidecars configures and starts all sidecars, a limited number of them at once.
func (rig *Rig) startSidecars() error {
	names := rig.scenario.SidecarNames()
	peers := make([][]string, len(names))
	listen := make([]string, len(names))
	if exchangesMessages, _ := rig.scenario.Allowed["peer_messages"].(bool); exchangesMessages {
		var addresses []netip.AddrPort
		for i := range names {
			free, err := sidecars.Free()
			if err != nil {
				return err
			}
			listen[i] = free
			addresses = append(addresses, netip.MustParseAddrPort(free))
		}
		var err error
		if loss := rig.scenario.Network.Datagrams; loss != (scenario.Loss{}) || rig.scenario.NeedsMemberLinks() {
			if rig.datagrams, err = network.Between(addresses, loss, rig.options.Seed); err != nil {
				return err
			}
		}
		for i := range names {
			for j := range names {
				if rig.datagrams == nil || i == j {
					peers[i] = append(peers[i], listen[j])
				} else {
					peers[i] = append(peers[i], rig.datagrams.Address(i, j))
				}
			}
		}
	}
	if err := rig.openMesh(len(names)); err != nil {
		return err
	}
	program, err := rig.sidecarProgram()
	if err != nil {
		return err
	}
	for i, name := range names {
		zone := rig.zones[name]
		// Each start draws a new seed. No lock is needed: only one goroutine at a time configures a sidecar.
		seeds := rng.New(rig.options.Seed, name)
		sidecar, err := sidecars.New(name, zone, program, rig.folder, rig.clock, func(listenAddress string) ([]byte, error) {
			return rig.configuration(i, name, listenAddress, listen[i], peers[i], seeds.Bits())
		})
		if err != nil {
			return err
		}
		if rig.mesh != nil {
			sidecar.ExtraArgs, sidecar.Marker = []string{"--with", rig.extensionsFile(name)}, `"part":"membership"`
			if rig.scenario.Members.ControlMachines > 0 {
				sidecar.Marker = `"part":"` // also keeps the lines of the rollout part
			}
		}
		rig.sidecars = append(rig.sidecars, sidecar)
	}
	var all sync.WaitGroup
	slots := make(chan bool, concurrentStarts)
	errs := make([]error, len(rig.sidecars))
	for i, sidecar := range rig.sidecars {
		all.Add(1)
		slots <- true
		go func() {
			defer all.Done()
			errs[i] = sidecar.Start(readyWithin)
			<-slots
		}()
	}
	all.Wait()
	return errors.Join(errs...)
}

// configuration returns a sidecar's configuration file.
func (rig *Rig) configuration(i int, name, listen, peerListen string, peers []string, seed uint64) ([]byte, error) {
	discovery, err := rig.list.Address(name) // rig.mu must not be held: the list calls addressFor, which locks it
	if err != nil {
		return nil, err
	}
	if rig.mesh != nil {
		if err := rig.writeExtensions(i); err != nil {
			return nil, err
		}
	}
	called, starts := name, true
	if index := slices.IndexFunc(rig.sidecars, func(sidecar *sidecars.Sidecar) bool { return sidecar.Name == name }); index >= 0 {
		called, starts = cmp.Or(rig.sidecars[index].NameOverride, name), rig.sidecars[index].Pid() == 0
	}
	return sidecars.Configuration{Scenario: rig.scenario, Number: i, Name: called, Zone: rig.zones[name], Listen: listen, Discovery: discovery, Seed: seed,
		PeerListen: peerListen, Peers: peers, Known: rig.list.FullList(name, starts)}.JSON()
}
