package faults

// plan.go: schedules the faults of a run.

import (
	"fmt"
	"slices"

	"ledgespread/brain"
	"ledgespread/lab/sim"
)

// scheduleFaults schedules the events of the run's kind and returns when the run ends.
func (f *fleet) scheduleFaults() (end Micros) {
	times := f.Times
	faultAt := f.begin + Micros(times.Warm)
	switch f.run.Kind {
	case Zone, Rack:
		f.scheduleOutage(faultAt)
	case Slow:
		f.At(faultAt, func() {
			for i := 0; i < len(f.machines); i += 8 {
				f.machines[i].slowdown = 5
			}
		})
	case Day:
		return f.scheduleDay(faultAt)
	case Changes:
		end = f.scheduleDay(faultAt)
		f.scheduleChanges(faultAt, end)
		return end
	case Regions:
		return f.schedulePartition(faultAt)
	}
	return faultAt + Micros(times.Back+times.After)
}

// scheduleOutage schedules the loss of a zone or a rack: its servers and sidecars fail silently and later return, the servers cold.
func (f *fleet) scheduleOutage(outageAt Micros) {
	var lost []*machine
	var sidecars []*sim.Sidecar
	if f.run.Kind == Zone {
		for _, server := range f.machines {
			if server.Zone == 1 {
				lost = append(lost, server)
			}
		}
		for _, sidecar := range f.net.Sidecars {
			if sidecar.Zone == 1 {
				sidecars = append(sidecars, sidecar)
			}
		}
	} else {
		lost = append(lost, f.machines[:max(1, int(f.Times.Rack*float64(len(f.machines))+0.5))]...)
		sidecars = append(sidecars, f.net.Sidecars[:max(1, int(f.Times.Rack*float64(len(f.net.Sidecars))+0.5))]...)
	}
	f.At(outageAt, func() {
		for _, server := range lost {
			server.stopProcess(true)
		}
		for _, sidecar := range sidecars {
			sidecar.Stop()
		}
	})
	f.At(outageAt+Micros(f.Times.Notice), func() {
		var lines []sim.ListEntry
		for _, server := range lost {
			server.unlisted = true
			lines = append(lines, server.listLine(brain.Gone))
		}
		f.publishLines(nil, lines...)
	})
	f.At(outageAt+Micros(f.Times.Back), func() {
		var lines []sim.ListEntry
		for _, server := range lost {
			server.startProcess()
			server.unlisted = false
			lines = append(lines, server.listLine(brain.Ready))
		}
		f.publishLines(func(sidecar *sim.Sidecar) bool { return !slices.Contains(sidecars, sidecar) }, lines...)
		for _, sidecar := range sidecars {
			f.After(Micros(f.random.Float()*float64(f.Fleet.MaxListDelay)), func() { // a new process has no list until then
				if sidecar.Start(f.random.Bits()) == nil {
					sidecar.DeliverList(brain.SavedList, f.listedServers()...)
				}
			})
		}
	})
}

// scheduleDay schedules the failures and planned replacements of servers over a shortened day, and returns its end.
func (f *fleet) scheduleDay(startAt Micros) (end Micros) {
	end = startAt + Micros(f.Times.Day)
	times := func(ofThousand float64) int { return max(1, int(ofThousand*float64(len(f.machines))/1000+0.5)) }
	failures, replaced := times(f.Times.Failures), times(f.Times.Replacements)
	first := len(f.machines)
	for i := range failures + replaced {
		server := f.machines[(i*7)%first]
		if first%7 == 0 {
			server = f.machines[i%first]
		}
		from := startAt + Micros(float64(f.Times.Day-f.Times.Back)*f.random.Float())
		addReplacement := func() {
			f.At(f.Now, func() { f.publishLines(nil, f.addServer(f.Now).listLine(brain.Ready)) })
		}
		if i < failures {
			f.At(from, func() { server.stopProcess(false) })
			f.At(from+Micros(f.Times.Notice), func() {
				server.unlisted = true
				f.publishLines(nil, server.listLine(brain.Gone))
				addReplacement()
			})
			continue
		}
		f.At(from, func() {
			if server.unlisted || server.Refuses {
				return
			}
			server.unlisted = true
			f.publishLines(nil, server.listLine(brain.Draining))
			addReplacement()
		})
		f.At(from+Micros(f.Times.Drain), func() {
			if !server.Refuses {
				server.stopProcess(false)
				f.publishLines(nil, server.listLine(brain.Gone))
			}
		})
	}
	return end
}

// scheduleChanges schedules configuration changes. Each reaches every sidecar at a random time within Times.InForce, unless a later
// one has reached it first. Each is applied to the settings that the sidecar was started with, by which the rules are
// still checked, so that no configuration may be looser than those.
func (f *fleet) scheduleChanges(startAt, end Micros) {
	settings := f.Settings
	forEachPrefix := func(name string, value any) brain.Settings {
		over := brain.Settings{}
		for i := range sim.Effects {
			over[fmt.Sprintf("path_prefixes.%d.%s", i, name)] = value
		}
		return over
	}
	variants := []brain.Settings{nil,
		{"allowed.max_backend_fetches": float64(max(1, settings.Fetches/2))},
		forEachPrefix("memory_span_us", float64(settings.Window)*0.6),
		{"obligations.cold_from": settings.ColdFrom * 0.8, "obligations.fall_multiple": settings.FallMultiple * 0.8},
		forEachPrefix("target_latency_us", float64(settings.Target)*0.8),
		forEachPrefix("value", 0.5),
		{"allowed.cancel": false, "allowed.conn_idle_us": 5e6, "allowed.max_retry_after_us": 1e6},
	}
	inForce := make([]int, len(f.net.Sidecars)) // number of the configuration in force, by sidecar
	for i := 1; i <= f.Times.Changes; i++ {
		over := variants[i%len(variants)]
		f.At(startAt+Micros(float64(end-startAt)*float64(i-1)/float64(f.Times.Changes)), func() {
			f.configurationChanges++
			for k, sidecar := range f.net.Sidecars {
				f.After(Micros(f.random.Float()*float64(f.Times.InForce)), func() {
					if inForce[k] < i {
						if inForce[k] = i; sidecar.OverrideSettings(over) != nil {
							panic("sidecar refused a configuration change") // all of them are derived from valid terms
						}
					}
				})
			}
		})
	}
}

// schedulePartition schedules a network partition between the regions that lasts longer than membership retains dead members. The
// number of active sidecars follows docs/membership.md: all of them until the dead are forgotten, then those of its own side
// on the side with the majority. The server list keeps all servers, since neither side's discovery notices that the
// other side is unreachable.
func (f *fleet) schedulePartition(partitionAt Micros) (end Micros) {
	region := func(zone brain.Zone) int { return int(zone) % f.Fleet.Regions }
	partitioned := false
	f.net.Unreachable = func(from *sim.Sidecar, to *sim.Server) bool {
		return partitioned && region(from.Zone) != region(to.Zone)
	}
	f.net.Partitioned = func(from, to *sim.Sidecar) bool { return partitioned && region(from.Zone) != region(to.Zone) }
	sidecarsByRegion := make([]int, f.Fleet.Regions)
	for _, sidecar := range f.net.Sidecars {
		sidecarsByRegion[region(sidecar.Zone)]++
		sidecar.B.SetActiveSidecars(len(f.net.Sidecars))
	}
	forgottenAt := partitionAt + Micros(f.Times.Forget)
	healsAt := forgottenAt + Micros(f.Times.Forget)/2
	f.At(partitionAt, func() { partitioned = true })
	f.At(forgottenAt, func() {
		for _, sidecar := range f.net.Sidecars {
			if own := sidecarsByRegion[region(sidecar.Zone)]; 2*own > len(f.net.Sidecars) {
				sidecar.B.SetActiveSidecars(own)
			}
		}
	})
	f.At(healsAt-500_000, func() { // only its own side learns of the restart before the partition heals
		for regionNumber := range f.Fleet.Regions {
			server := f.machines[slices.IndexFunc(f.machines, func(server *machine) bool { return region(server.Zone) == regionNumber })]
			server.stopProcess(false)
			server.startProcess()
			line := server.listLine(brain.Ready)
			f.publishLines(func(sidecar *sim.Sidecar) bool { return region(sidecar.Zone) == regionNumber }, line)
			f.At(healsAt, func() {
				f.publishLines(func(sidecar *sim.Sidecar) bool { return region(sidecar.Zone) != regionNumber }, line)
			})
		}
	})
	f.At(healsAt, func() { partitioned = false })
	f.At(healsAt+Micros(f.Times.Rejoin), func() {
		for _, sidecar := range f.net.Sidecars {
			sidecar.B.SetActiveSidecars(len(f.net.Sidecars))
		}
	})
	return healsAt + Micros(f.Times.After)
}
