package membersim

// HeartbeatDetector is a plain failure detector to compare membership with, on the same network and under the same
// faults: each member sends heartbeats to all others, and declares another dead if no heartbeat of it arrived
// within a time limit.
type HeartbeatDetector struct {
	simulation   *Simulation
	every, limit Micros
	lastHeard    [][]Micros // by receiver, then sender
	dead         [][]bool   // by receiver, then sender
	Deaths       int        // how often one member declared another dead
}

// StartHeartbeatDetector starts the detector for the members of the simulation. A member that is stopped or killed sends no
// heartbeats.
func (s *Simulation) StartHeartbeatDetector(every, limit Micros) *HeartbeatDetector {
	detector := &HeartbeatDetector{simulation: s, every: every, limit: limit}
	for i := range s.Members {
		detector.lastHeard, detector.dead = append(detector.lastHeard, make([]Micros, len(s.Members))), append(detector.dead, make([]bool, len(s.Members)))
		for j := range s.Members {
			detector.lastHeard[i][j] = s.Now
		}
	}
	for i := range s.Members {
		s.Schedule(Micros(s.random()*float64(every)), func() { detector.runInterval(i) })
	}
	return detector
}

// runInterval sends the heartbeats of one member and checks which others are overdue.
func (b *HeartbeatDetector) runInterval(i int) {
	sender := b.simulation.Members[i]
	b.simulation.Schedule(b.every, func() { b.runInterval(i) })
	if sender.Stopped || sender.Killed {
		return
	}
	for j, other := range b.simulation.Members {
		if i == j {
			continue
		}
		b.simulation.transmit(i, j, func() {
			other.runWhenActive(func() { b.lastHeard[j][i], b.dead[j][i] = b.simulation.Now, false })
		})
		if !b.dead[i][j] && b.simulation.Now-b.lastHeard[i][j] > b.limit {
			b.dead[i][j] = true
			b.Deaths++
		}
	}
}
