package scale

// Measurements in simulated time, without sockets.

import (
	"fmt"
	"runtime"
	"sync"
	"time"

	"ledgespread/brain"
	"ledgespread/decide/membership"
	"ledgespread/decide/membership/membersim"
	"ledgespread/internal/discovery"
	"ledgespread/internal/site"
	"ledgespread/lab/hollow"
	"ledgespread/lab/scenario"
	"ledgespread/lab/sidecars"
	"ledgespread/lab/size"
)

// simulate measures sizes in simulated time. Sizes share no state, so several run concurrently.
func (runner *runner) simulate(sizes []Size) error {
	type result struct {
		size   Size
		points map[string]size.Point
		worst  [2]int64
		peak   peakSecond
		took   time.Duration
		err    error
	}
	for _, fleetSize := range sizes {
		runner.simulateMembership(fleetSize.Sidecars)
	}
	results := make([]result, len(sizes))
	slots := make(chan bool, max(1, runtime.GOMAXPROCS(0)/2))
	var all sync.WaitGroup
	for i, fleetSize := range sizes {
		all.Add(1)
		slots <- true
		go func() {
			defer all.Done()
			started := time.Now()
			points, worst, peak, err := runner.simulateSize(fleetSize)
			results[i] = result{fleetSize, points, worst, peak, time.Since(started), err}
			<-slots
		}()
	}
	all.Wait()
	for _, measured := range results {
		if measured.err != nil {
			return fmt.Errorf("simulated, %v: %w", measured.size, measured.err)
		}
		runner.progress("simulated: %v, in %.1f s", measured.size, measured.took.Seconds())
		if measured.peak.bytes > runner.peak.bytes {
			runner.peak = measured.peak
		}
		for _, name := range sortedKeys(measured.points) {
			point := measured.points[name]
			switch name {
			case "peers.bytes_in":
				point.WorstSecond = float64(measured.worst[0])
			case "peers.bytes_out":
				point.WorstSecond = float64(measured.worst[1])
			}
			runner.addPoint(name, measured.size.variables(), point)
		}
	}
	return nil
}

// simulateMembership measures membership alone in simulated time: the messages of one member once all members
// know each other. On sockets on one machine, the updates of a fleet that joins at once take minutes to stop
// spreading.
func (runner *runner) simulateMembership(members int) {
	if runner.simulatedMemberships[members] {
		return
	}
	runner.simulatedMemberships[members] = true
	const warmup, span = 5_000_000, 30_000_000
	simulation := membersim.New(runner.Seed, members, membership.Config{Group: membershipGroup, ProbeInterval: membership.Micros(runner.Members.ProbeInterval), ExchangeInterval: membership.Micros(runner.Members.ExchangeInterval),
		DeadRetention: 600_000_000, LeaveLinger: 1_000_000, MinSenders: 1, MaxMembers: 10_000}, true)
	simulation.RunFor(warmup)
	sent, bytes, exchanged := simulation.Datagrams, simulation.DatagramBytes, simulation.ExchangeBytes
	simulation.RunFor(span)
	each := func(x int) float64 { return float64(x) / float64(members) / span * 1e6 }
	at, messages := size.Conditions{"sidecars": float64(members)}, size.Point{Mean: each(simulation.Datagrams - sent)}
	all := size.Point{Mean: each(simulation.DatagramBytes-bytes) + hollow.DatagramHeaderBytes*messages.Mean + each(simulation.ExchangeBytes-exchanged)}
	for _, direction := range []string{"in", "out"} { // no message is lost, so received equals sent
		runner.addPoint("membership.messages_"+direction, at, messages)
		runner.addPoint("membership.bytes_"+direction, at, all)
	}
}

// simulateSize measures one size. It returns the points, the highest bytes in and out of any sidecar in one
// second of the measured span, and the busiest second since the start.
func (runner *runner) simulateSize(fleetSize Size) (points map[string]size.Point, worst [2]int64, peak peakSecond, err error) {
	parsed, err := scenario.Parse("(size)", runner.scenarioText(fleetSize, true))
	if err != nil {
		return nil, worst, peak, err
	}
	service := newService(0, 0, time.Now())
	var hosts []host
	for i := range fleetSize.Servers {
		hosts = append(hosts, host{Host: fmt.Sprint("b", i), Dial: "127.0.0.1:1", Site: runner.zone(i), Class: "backend", Health: "in_service", Share: float64(runner.Cores)})
	}
	service.update(hosts...)
	known := service.fullList()
	zones := map[string]int{}
	for i, name := range runner.Zones {
		zones[name] = i
	}
	saved, err := discovery.Read(known, zones)
	if err != nil {
		return nil, worst, peak, err
	}
	world, err := hollow.NewWorld(fleetSize.Sidecars, brain.Micros(runner.MessageDelay), hollow.NewFleet(runner.Cores, brain.Micros(runner.Queue), brain.Micros(runner.RoundTrip)),
		func(i int) (*site.Manifest, error) {
			text, err := sidecars.Configuration{Scenario: parsed, Number: i, Name: hollow.Name(i), Zone: runner.zone(i), Listen: "127.0.0.1:1", Discovery: "127.0.0.1:1",
				Seed: hollow.Seed(runner.Seed, "sidecar", i), Known: known}.JSON()
			if err != nil {
				return nil, err
			}
			return site.Parse(text)
		}, saved, func(i int) hollow.Load { return runner.load(i, float64(fleetSize.Visits)) })
	if err != nil {
		return nil, worst, peak, err
	}
	world.Run(brain.Micros(runner.SimWarmup))
	inBefore, outBefore := world.Account.Snapshot()
	from := world.Now()
	world.Run(brain.Micros(runner.SimSpan))
	inAfter, outAfter := world.Account.Snapshot()
	in, out := world.Account.MaxPerSecond(from, world.Now())
	peak.update(world.Account, 0, world.Now(), "simulated, "+fleetSize.String()) // from the start, because the burst at startup has to keep the bound too
	return runner.messagePoints(fleetSize, float64(runner.SimSpan)/1e6, inBefore, outBefore, inAfter, outAfter, 0), [2]int64{in, out}, peak, nil
}
