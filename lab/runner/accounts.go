package runner

import (
	"ledgespread/lab/judge"
)

// Accounts collects the records of clients, backends, list and sidecars for the judge.
func (rig *Rig) Accounts() *judge.Accounts {
	deliveries, changes := rig.list.Accounts()
	accounts := &judge.Accounts{Scenario: rig.scenario, Plan: rig.plan, Begun: rig.startTime, Ended: rig.clock.Now(), Requests: rig.clients.Account(), ListDeliveries: deliveries,
		ListChanges: changes, DiscoveryOutages: rig.outages, Blocks: rig.blocked, MessageCuts: rig.cuts, LabStalls: rig.alarms.Lateness().Stalls(), MalformedRequests: rig.clients.Malformed()}
	rig.mu.Lock()
	defer rig.mu.Unlock()
	for _, disturbance := range rig.disturbances {
		accounts.DiscoveryDisturbances = append(accounts.DiscoveryDisturbances, *disturbance)
	}
	for _, backend := range rig.backends {
		_, _, _, _, collapses := backend.Tally()
		line := judge.BackendAccount{Name: backend.Name, Zone: backend.Zone, Cell: backend.Cell, Overloads: collapses, Delays: map[string]Micros{}}
		if rig.scenario.NeedsFaultProxies() {
			for _, zone := range rig.scenario.Zones {
				line.Delays[zone] = rig.scenario.Network.OneWayDelay(zone, backend.Zone)
			}
		}
		for _, fault := range rig.scenario.Faults { // a fault's extra delay counts for the whole run, which only loosens the bounds
			if fault.What == "delay" {
				for zone := range line.Delays {
					line.Delays[zone] += fault.By.M()
				}
			}
		}
		accounts.Backends = append(accounts.Backends, line)
		accounts.Attempts = append(accounts.Attempts, backend.Account()...)
	}
	for _, sidecar := range rig.sidecars {
		accounts.Sidecars = append(accounts.Sidecars, judge.SidecarAccount{Name: sidecar.Name, Zone: sidecar.Zone, Processes: sidecar.Processes(), Pauses: sidecar.Pauses(), UnplannedExits: sidecar.Crashed()})
	}
	return accounts
}
