package prove

import (
	"ledgespread/lab/clock"
)

// The proof of configuration rollout has two parts, like that of membership: simulations with up to 1,000
// members in simulated time, and real processes under faults and load. The --break option, which disables a
// guard, applies to the simulations only, as the released program can't disable one.

const (
	inForceWithin     = 6 * clock.Second // required time until a change is in force everywhere
	maxBytesPerSecond = 18_000           // required maximum of bytes per second and sidecar
	changeInterval    = 51               // seconds between two of 1,700 changes a day
	maxCopies         = 2                // maximum number of copies that one member hands out within four probe intervals
	trialMembers      = 5                // members that try a change before all others
	contentBytes      = 4000
	simulatedBySeed   = "simulated, by seed"
	rolloutLogs       = "the processes' logs and status, the lab's clock"
)

// playRollout runs the simulations and, unless a guard is disabled, the processes beside them.
func playRollout(p *Proof) error {
	if p.Break != "" {
		p.simulateRollout()
		return nil
	}
	simulations, done := *p, make(chan bool) // the simulations use one core while the processes mostly wait
	go func() {
		simulations.simulateRollout()
		close(done)
	}()
	err := p.checkRolloutProcesses()
	<-done
	p.Claims = append(simulations.Claims, p.Claims...)
	return err
}

const (
	rolloutRequestRate = 12               // requests per second and sidecar
	baselineTime       = 6 * clock.Second // how long requests are collected as the baseline of a trial
)

// toSeconds converts a duration to seconds.
func toSeconds(span clock.Micros) float64 { return float64(span) / 1e6 }
