package faults

// machine.go: simulated servers.

import (
	"ledgespread/brain"
	"ledgespread/lab/sim"
)

// machine is a simulated server with one core and a bounded queue. It does not support cancellation: a cancelled attempt
// still runs to its end.
type machine struct {
	*sim.Server
	fleet        *fleet
	idleAt       Micros        // when the core has finished all queued work
	queued       int           // attempts queued or running
	processCount int           // incremented whenever the process changes
	arrivals     []arrival     // arrivals at the current process while cold
	earlier      []coldProcess // earlier processes
	startedAt    Micros        // start of the current process; 0: long before the run
	unlisted     bool          // not in the server list
	acceptedWork float64       // total service time accepted, in microseconds
	slowdown     float64       // factor by which service takes longer; below 1: normal speed
}

// coldProcess is one cold-started process of a server: its time and the attempts that arrived while it was cold.
type coldProcess struct {
	start, end Micros
	arrivals   []arrival
}

// addServer adds a server that started at the given time and is cold from then on, or a warm one if startedAt is
// 0.
func (f *fleet) addServer(startedAt Micros) *machine {
	f.nextID++
	m := &machine{fleet: f, startedAt: startedAt}
	m.Server = f.net.AddServer(&sim.Server{ID: f.nextID, Zone: brain.Zone(int(f.nextID-1) % f.Fleet.Zones), Started: startedAt})
	m.Accept = m.take
	f.machines = append(f.machines, m)
	return m
}

// warmth returns the fraction of the full capacity that the server has at a time.
func (m *machine) warmth(at Micros) float64 {
	if m.startedAt == 0 {
		return 1
	}
	s := m.fleet.Settings
	return min(1, s.ColdFrom+(1-s.ColdFrom)*float64(at-m.startedAt)/float64(s.Cold))
}

// take accepts an attempt, or rejects it if the queue is full.
func (m *machine) take(attempt *sim.Attempt) {
	fleet := m.fleet
	if m.startedAt != 0 && fleet.Now < m.startedAt+Micros(fleet.Settings.Cold) {
		m.arrivals = append(m.arrivals, arrival{fleet.Now, float64(attempt.Work) / float64(fleet.shape.Work), attempt.KnewStart})
	}
	if m.queued >= fleet.Fleet.Queue {
		fleet.net.Answer(attempt, brain.Overloaded)
		return
	}
	m.queued++
	m.acceptedWork += float64(attempt.Work)
	begin := max(fleet.Now, m.idleAt)
	m.idleAt = begin + max(1, Micros(float64(attempt.Work)*max(m.slowdown, 1)/m.warmth(begin)))
	process := m.processCount
	fleet.At(m.idleAt, func() {
		if process == m.processCount {
			m.queued--
			fleet.net.Answer(attempt, brain.Succeeded)
		}
	})
}

// stopProcess ends the server's process: silently, as if host or network were lost, or with connections refused and reset.
func (m *machine) stopProcess(silent bool) {
	m.archiveArrivals()
	m.processCount++
	m.queued, m.idleAt = 0, 0
	m.Silent, m.Refuses = silent, !silent
	m.fleet.net.EndProcess(m.Server, silent)
}

// archiveArrivals moves the arrivals of the current process to the earlier ones.
func (m *machine) archiveArrivals() {
	if m.startedAt != 0 {
		m.earlier = append(m.earlier, coldProcess{m.startedAt, min(m.fleet.Now, m.startedAt+Micros(m.fleet.Settings.Cold)), m.arrivals})
	}
	m.arrivals = nil
}

// startProcess starts a new, cold process.
func (m *machine) startProcess() {
	m.processCount++
	m.startedAt = m.fleet.Now
	m.Started, m.Silent, m.Refuses = m.fleet.Now, false, false
}

// listLine returns the server's entry in the server list.
func (m *machine) listLine(state brain.ServerState) sim.ListEntry {
	return sim.ListEntry{ID: m.ID, Zone: m.Zone, State: state, Started: m.Started}
}
