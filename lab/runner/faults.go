package runner

import (
	"net"
	"slices"
	"strings"
	"syscall"
	"time"

	"ledgespread/lab/backend"
	"ledgespread/lab/clock"
	"ledgespread/lab/judge"
	"ledgespread/lab/network"
	"ledgespread/lab/plan"
	"ledgespread/lab/scenario"
	"ledgespread/lab/sidecars"
)

// waitUntil sleeps until a time of the plan, counted from the run's start; it returns early when the rig
// closes.
func (rig *Rig) waitUntil(until Micros) {
	for rig.clock.Now() < rig.startTime+until {
		rig.mu.Lock()
		closed := rig.closed
		rig.mu.Unlock()
		if closed {
			return
		}
		min(rig.startTime+until-rig.clock.Now(), 20*clock.Milli).Sleep()
	}
}

// runFault runs one fault of the plan from its start to its end. Faults of backends and sidecars run in a
// goroutine for each target.
func (rig *Rig) runFault(event plan.Event) {
	switch scenario.FaultTargets[event.What] {
	case "backends":
		for _, name := range event.Names {
			rig.mu.Lock()
			target := rig.byName[name]
			rig.mu.Unlock()
			rig.faults.Add(1)
			go func() {
				defer rig.faults.Done()
				rig.faultBackend(event, target)
			}()
		}
	case "sidecars":
		for i, sidecar := range rig.sidecars {
			if slices.Contains(event.Names, sidecar.Name) {
				rig.faults.Add(1)
				go func() {
					defer rig.faults.Done()
					rig.faultSidecar(event, i, sidecar)
				}()
			}
		}
	case "list":
		rig.faultList(event)
	case "network":
		rig.faultNetwork(event)
	case "ways":
		rig.faultLinks(event)
	case "machine":
		rig.stepWallClock(event)
	case "clients":
		rig.holdConnections(event)
	default: // a load fault: the plan's arrivals already contain it, only the report marks are written here
		rig.mark("%s%s begins: %.3g times as many visits", event.What, withPrefix(" of ", event.Tenant), event.Times)
		rig.waitUntil(event.At.M() + event.For.M())
		rig.mark("%s%s ends", event.What, withPrefix(" of ", event.Tenant))
	}
}

// withPrefix joins the two texts, or returns "" when what is empty.
func withPrefix(with, what string) string {
	if what == "" {
		return ""
	}
	return with + what
}

// faultBackend runs a fault on one backend.
func (rig *Rig) faultBackend(event plan.Event, target *backend.Backend) {
	endTime := event.At.M() + event.For.M()
	notice := rig.scenario.List.Delay.M()
	during := func(do, undo func()) {
		rig.mark("%s: %s", target.Name, event.What)
		do()
		rig.waitUntil(endTime)
		undo()
		rig.mark("%s: %s ends", target.Name, event.What)
	}
	restart := func() {
		if err := startBackend(target, true); err != nil {
			rig.note("%s could not restart: %v", target.Name, err)
			return
		}
		rig.publishBackend(target, "in_service", rig.clock.Now(), notice)
	}
	switch event.What {
	case "kill", "leave":
		rig.mark("%s: %s", target.Name, event.What)
		target.Kill()
		rig.publishBackend(target, "terminated", 0, notice)
	case "kill_cold":
		during(func() {
			target.Kill()
			rig.publishBackend(target, "terminated", 0, notice)
		}, restart)
	case "unlist": // the backend keeps serving; only the discovery list drops it
		during(func() { rig.publishBackend(target, "terminated", 0, notice) }, func() { rig.publishBackend(target, "in_service", rig.list.Born(target.Name), notice) })
	case "join":
		rig.mark("%s: joins, cold", target.Name)
		restart()
	case "replace":
		rig.mark("%s: leaves, and another starts cold at its address", target.Name)
		at := target.Address()
		target.Kill()
		rig.publishBackend(target, "terminated", 0, notice)
		next := rig.newBackend(target.Name+"r", target.Config)
		if err := next.Start(at, true); err != nil {
			rig.note("%s could not start: %v", next.Name, err)
			return
		}
		rig.publishBackend(next, "in_service", rig.clock.Now(), notice)
	case "drain":
		during(func() {
			rig.publishBackend(target, "terminating", 0, notice)
			rig.waitUntil(event.At.M() + notice + rig.scenario.Rules.Drain.M())
			target.SetDraining(true)
		}, func() {
			target.Kill()
			rig.publishBackend(target, "terminated", 0, notice)
		})
	case "stall":
		rig.mark("%s: stalls", target.Name)
		target.ChangeCore(func(now Micros, core *backend.Core) { core.Stall(now, event.For.M()) })
		rig.waitUntil(endTime)
		rig.mark("%s: resumes", target.Name)
	case "mute":
		during(func() { target.SetMute(true) }, func() { target.SetMute(false) })
	case "errors":
		during(func() { target.SetErrors(event.Part) }, func() { target.SetErrors(0) })
	case "slow_reads":
		during(func() { target.SetReadRate(event.Bytes) }, func() { target.SetReadRate(0) })
	case "reset_under":
		during(func() { target.SetResets(event.Part, event.By.M()) }, func() { target.SetResets(0, 0) })
	case "spoil":
		during(func() { target.SetMalformed(event.Part) }, func() { target.SetMalformed(0) })
	case "slow", "share":
		set := func(by float64) func() {
			return func() { target.ChangeCore(func(at Micros, c *backend.Core) { c.Slow(at, by, event.What == "share") }) }
		}
		during(set(event.Times), set(1))
	}
}

// faultSidecar runs a fault on sidecar number i.
func (rig *Rig) faultSidecar(event plan.Event, i int, sidecar *sidecars.Sidecar) {
	end := event.At.M() + event.For.M()
	restart := func() {
		if err := sidecar.Start(readyWithin); err != nil {
			rig.note("%v", err)
			return
		}
		rig.clients.SetDown(i, false)
		rig.mark("%s is back", sidecar.Name)
	}
	if event.What != "sidecar_stall" { // serializes faults that stop and restart the same process
		sidecar.Ending.Lock()
		defer sidecar.Ending.Unlock()
	}
	switch event.What {
	case "sidecar_kill":
		rig.mark("%s is killed", sidecar.Name)
		rig.clients.SetDown(i, true) // the application instance beside the sidecar stops with it
		sidecar.Kill()
		rig.waitUntil(end)
		restart()
	case "sidecar_move":
		rig.mark("%s is killed, and starts at another membership address", sidecar.Name)
		rig.clients.SetDown(i, true)
		sidecar.Kill()
		rig.changeMemberAddress(i)
		restart()
	case "sidecar_restart":
		rig.mark("%s gets SIGTERM", sidecar.Name)
		sidecar.Signal(syscall.SIGTERM)
		time.Sleep(300 * time.Millisecond) // clients may still open connections during this time
		rig.clients.SetDown(i, true)
		if err := sidecar.Stop((rig.scenario.LongestTimeout() + 700*clock.Milli).Duration()); err != nil {
			rig.note("%v", err)
		}
		restart()
	case "sidecar_end":
		rig.stopWithSignalSeries(i, sidecar)
		restart()
	case "sidecar_stall":
		rig.mark("%s is paused", sidecar.Name)
		sidecar.Signal(syscall.SIGSTOP)
		rig.waitUntil(end)
		sidecar.Signal(syscall.SIGCONT)
		rig.mark("%s resumes", sidecar.Name)
	}
}

// stopWithSignalSeries stops a sidecar with a series of SIGHUP and SIGTERM, and kills it as soon as the
// protocol allows. Until then clients use only connections that are already open.
func (rig *Rig) stopWithSignalSeries(i int, sidecar *sidecars.Sidecar) {
	const newConnections, killedAfter, longest = 300 * clock.Milli, 700 * clock.Milli, 3 * clock.Second
	rig.mark("%s gets SIGHUP and SIGTERM in series", sidecar.Name)
	sidecar.Signal(syscall.SIGHUP)
	stopTime := rig.clock.Now()
	sidecar.Signal(syscall.SIGTERM)
	for _, again := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		(newConnections / 4).Sleep()
		sidecar.SignalAgain(again)
	}
	(stopTime + newConnections - rig.clock.Now()).Sleep()
	rig.clients.SetNoNewConnections(i, true)
	remaining := stopTime + min(rig.scenario.LongestTimeout(), longest) + killedAfter - rig.clock.Now()
	if !sidecar.EndsWithin(remaining.Duration()) {
		rig.mark("%s is killed", sidecar.Name)
		sidecar.Kill()
	}
	rig.clients.SetDown(i, true)
	rig.clients.SetNoNewConnections(i, false)
}

// holdConnections holds many client connections open to each sidecar. Half of them are idle; the others have
// sent only the start of a request.
func (rig *Rig) holdConnections(event plan.Event) {
	rig.mark("%.0f connections are held open to each sidecar", event.Times)
	var connections []net.Conn
	for i := range int(event.Times) {
		for _, sidecar := range rig.sidecars {
			conn, err := net.DialTimeout("tcp", sidecar.Address, time.Second)
			if err != nil {
				continue
			}
			connections = append(connections, conn)
			if i%2 == 0 {
				conn.Write([]byte("GET /"))
			}
		}
	}
	rig.waitUntil(event.At.M() + event.For.M())
	for _, conn := range connections {
		conn.Close()
	}
	rig.mark("the held connections are closed")
}

// faultNetwork runs a network fault on the paths between zones and backends that match the event.
func (rig *Rig) faultNetwork(event plan.Event) {
	type linkTarget struct {
		zone    string
		backend *backend.Backend
		path    *network.Path
	}
	var targets []linkTarget
	rig.mu.Lock()
	for _, zone := range rig.scenario.Zones {
		for _, candidate := range rig.backends {
			if (event.From == "" || event.From == zone) && (event.To == "" || event.To == candidate.Zone) &&
				(len(event.Names) == 0 || slices.ContainsFunc(event.Names, func(name string) bool { return strings.TrimRight(candidate.Name, "r") == name })) {
				targets = append(targets, linkTarget{zone, candidate, rig.pathTo(zone, candidate)})
			}
		}
	}
	rig.mu.Unlock()
	each := func(do func(target linkTarget, path *network.Path)) {
		for _, affected := range targets {
			affected.path.Change(func(path *network.Path) { do(affected, path) })
		}
	}
	settings, from := rig.scenario.Network, rig.clock.Now()
	rig.mark("network: %s%s%s %v", event.What, withPrefix(" from ", event.From), withPrefix(" to ", event.To), event.Names)
	switch event.What {
	case "silence":
		each(func(_ linkTarget, path *network.Path) { path.SetSilent(true) })
	case "cut":
		each(func(_ linkTarget, path *network.Path) { path.SetCutOut(true) })
	case "refuse":
		each(func(_ linkTarget, path *network.Path) { path.SetRefuse(true) })
	case "narrow":
		each(func(_ linkTarget, path *network.Path) { path.SetBandwidth(event.Bytes) })
	case "delay":
		each(func(affected linkTarget, path *network.Path) {
			path.SetDelay(settings.OneWayDelay(affected.zone, affected.backend.Zone) + event.By.M())
		})
	case "reset":
		for _, affected := range targets {
			affected.path.Reset()
		}
		return
	}
	rig.waitUntil(event.At.M() + event.For.M())
	each(func(affected linkTarget, path *network.Path) {
		path.SetSilent(false)
		path.SetCutOut(false)
		path.SetRefuse(false)
		path.SetBandwidth(settings.Bandwidth)
		path.SetDelay(settings.OneWayDelay(affected.zone, affected.backend.Zone))
	})
	if event.What == "silence" {
		rig.mu.Lock()
		for _, affected := range targets {
			rig.blocked = append(rig.blocked, judge.Block{From: affected.zone, Backend: affected.backend.Name, Stretch: clock.Interval{From: from, To: rig.clock.Now()}})
		}
		rig.mu.Unlock()
	}
	rig.mark("network: %s ends", event.What)
}
