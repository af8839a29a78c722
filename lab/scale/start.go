package scale

// Starting a fleet of real processes and hollow sidecars.

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"ledgespread/brain"
	"ledgespread/internal/extensions"
	"ledgespread/internal/peermessage"
	"ledgespread/internal/site"
	"ledgespread/lab/backend"
	"ledgespread/lab/clock"
	"ledgespread/lab/hollow"
	"ledgespread/lab/network"
	"ledgespread/lab/rng"
	"ledgespread/lab/scenario"
	"ledgespread/lab/sidecars"
)

// startFleet starts a fleet for a size, without traffic. answerTime and queueLimit configure the discovery
// service (see newService); member enables membership.
func startFleet(run *Run, options Options, fleetSize Size, answerTime time.Duration, queueLimit int, member bool) (newFleet *fleet, err error) {
	startedFleets++
	newFleet = &fleet{run: run, options: options, size: fleetSize, id: startedFleets, started: time.Now(), clock: clock.Start()}
	newFleet.alarms = newFleet.clock.NewAlarms()
	newFleet.service = newService(answerTime, queueLimit, newFleet.started)
	newFleet.account = hollow.NewAccount(fleetSize.Sidecars)
	defer func() {
		if err != nil {
			newFleet.close()
		}
	}()
	if newFleet.scenario, err = scenario.Parse("(size)", run.scenarioText(fleetSize, true)); err != nil {
		return nil, err
	}
	if newFleet.silentScenario, err = scenario.Parse("(size)", run.scenarioText(fleetSize, false)); err != nil {
		return nil, err
	}
	if newFleet.folder = filepath.Join(options.Folder, fmt.Sprint("size", newFleet.id)); options.Folder == "" {
		newFleet.folder, err = os.MkdirTemp("", "ledgelab-")
	} else {
		err = os.MkdirAll(newFleet.folder, 0o755)
	}
	if err != nil {
		return nil, err
	}
	groups := backend.NewGroups()
	for i := range fleetSize.Servers {
		server := backend.New(fmt.Sprint("b", i), scenario.Backend{Count: 1, Zone: run.zone(i), Model: "backend", Cores: run.Cores, Speed: 1, Queue: 400, Connections: 4000,
			ReportEvery: scenario.Span(clock.Second), WarmPart: 1, SlowFactor: 1},
			newFleet.scenario, run.Seed, groups, newFleet.clock, newFleet.alarms)
		if err = server.Start("", false); err != nil {
			return nil, err
		}
		newFleet.backends = append(newFleet.backends, server)
		newFleet.hosts = append(newFleet.hosts, host{Host: server.Name, Dial: server.Address(), Site: server.Zone, Class: "backend", Health: "in_service", Share: float64(run.Cores)})
	}
	newFleet.service.update(newFleet.hosts...)
	for i := range fleetSize.Sidecars + run.Silent {
		reader, err := newFleet.service.addReader(i, newFleet.address(discoveryAddress, i).String())
		if err != nil {
			return nil, err
		}
		newFleet.readers = append(newFleet.readers, reader)
	}
	if err = newFleet.startSidecars(member); err != nil {
		return nil, err
	}
	return newFleet, newFleet.startHollow(member)
}

// configuration returns the configuration of a sidecar, real or hollow.
func (f *fleet) configuration(i int, name, listen string) ([]byte, error) {
	settings := sidecars.Configuration{Scenario: f.scenario, Number: i, Name: name, Zone: f.run.zone(i), Listen: listen, Discovery: f.readers[i].Address,
		Seed: hollow.Seed(f.run.Seed, "sidecar", i), Known: f.service.fullList()}
	if i >= f.size.Sidecars { // silent
		settings.Scenario, settings.Number = f.silentScenario, i%f.size.Sidecars
		return settings.JSON()
	}
	settings.PeerListen = f.address(peerAddress, i).String()
	for j := range f.size.Sidecars {
		address := f.address(peerAddress, j).String()
		if i < f.run.Real && j < f.run.Real && i != j {
			address = f.peerNetwork.Address(i, j)
		}
		settings.Peers = append(settings.Peers, address)
	}
	return settings.JSON()
}

// extensionsFile returns the extensions file of a sidecar: its membership settings, with up to three earlier
// sidecars as seeds, and the bound on its messages.
func (f *fleet) extensionsFile(i int) []byte {
	random, seeds := rng.New(f.run.Seed, "seeds "+hollow.Name(i)), []string{}
	for range min(3, i) {
		seeds = append(seeds, fmt.Sprintf("%q", f.address(membershipAddress, random.Below(i))))
	}
	text := fmt.Appendf(nil, "[membership]\nlisten = %q\ngroup = %q\nfrom = [\"127.0.0.0/8\"]\nzone = %q\nprobe_every = %q\nexchange_every = %q\nseeds = [%s]\n",
		f.address(membershipAddress, i), membershipGroup, f.run.zone(i), f.run.Members.ProbeInterval.M().Duration(), f.run.Members.ExchangeInterval.M().Duration(), strings.Join(seeds, ", "))
	if f.run.Bound > 0 {
		text = fmt.Appendf(text, "[messages]\nbytes = \"%g/s\"\n", float64(f.run.Bound))
	}
	return text
}

// membershipSettings returns the membership settings of extensionsFile, parsed as the program parses them.
func (f *fleet) membershipSettings(i int) (*extensions.Membership, error) {
	parsed, err := extensions.Parse("(size)", f.extensionsFile(i))
	if err != nil {
		return nil, err
	}
	return parsed.Membership, nil
}

// startSidecars starts the real and the silent sidecars, several at once.
func (f *fleet) startSidecars(member bool) (err error) {
	run := f.run
	var addresses []netip.AddrPort
	for i := range run.Real {
		addresses = append(addresses, f.address(peerAddress, i))
	}
	if f.peerNetwork, err = network.Between(addresses, scenario.Loss{}, run.Seed); err != nil {
		return err
	}
	f.peerNetwork.Watch(func(from, to int, msg []byte) {
		if kind, _, figures, ok := peermessage.Decode(msg); ok {
			f.account.Record(brain.Micros(time.Since(f.started).Microseconds()), brain.Peer(from), brain.Peer(to), kind, len(figures))
		}
	})
	for index := range run.Real + run.Silent {
		i, name := index, hollow.Name(index)
		if index >= run.Real {
			i, name = f.size.Sidecars+index-run.Real, fmt.Sprint("s", index-run.Real)
		}
		sidecar, err := sidecars.New(name, run.zone(i), f.options.Sidecar, f.folder, f.clock, func(listen string) ([]byte, error) { return f.configuration(i, name, listen) })
		if err != nil {
			return err
		}
		if member && index < run.Real {
			file := filepath.Join(f.folder, name+".toml")
			if err := os.WriteFile(file, f.extensionsFile(i), 0o600); err != nil {
				return err
			}
			sidecar.ExtraArgs = []string{"--with", file}
		}
		f.sidecars = append(f.sidecars, sidecar)
	}
	var all sync.WaitGroup
	slots, results := make(chan bool, maxConcurrentStarts), make([]error, len(f.sidecars))
	for index, sidecar := range f.sidecars {
		all.Add(1)
		slots <- true
		go func() {
			defer all.Done()
			results[index] = sidecar.Start(readyTimeout)
			<-slots
		}()
	}
	all.Wait()
	return errors.Join(results...)
}

// startHollow starts the hollow sidecars.
func (f *fleet) startHollow(member bool) error {
	model := hollow.NewFleet(f.run.Cores, brain.Micros(f.run.Queue), brain.Micros(f.run.RoundTrip))
	for i := f.run.Real; i < f.size.Sidecars; i++ {
		text, err := f.configuration(i, hollow.Name(i), f.address(peerAddress, i).String())
		if err != nil {
			return err
		}
		manifest, err := site.Parse(text)
		if err != nil {
			return err
		}
		config := hollow.Config{Number: i, Manifest: manifest, Fleet: model, Load: f.run.load(i, 0), Account: f.account, Started: f.started, RealCount: f.run.Real,
			DropHalf: f.options.Break == "half"}
		if member {
			if config.Group, err = f.membershipSettings(i); err != nil {
				return err
			}
		}
		sidecar, err := hollow.Open(config)
		if err != nil {
			return err
		}
		f.hollow = append(f.hollow, sidecar)
	}
	return nil
}
