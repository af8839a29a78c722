package prove

import (
	"ledgespread/lab/clock"
)

// The proof of configurations that members carry has two halves, as membership's has: the part that decides, among up to 1,000 hollow members in
// simulated time and by seed, and real processes under faults with visits running. A guard is switched off in the first half only: the
// shipped program has no way to.

const (
	forceWithin  = 6 * clock.Second // the requirement: in force everywhere
	controlBytes = 18_000           // and a second and sidecar
	changeEvery  = 51               // seconds between two of 1,700 changes a day
	copiesMost   = 2                // handed out by one in four probes
	usualFirst   = 5
	contentBytes = 4000
	hollow       = "simulated, by seed"
	rolloutLogs  = "the processes' logs and status, the lab's clock"
)

func playRollout(p *Proof) error {
	if p.Break != "" {
		p.hollow()
		return nil
	}
	beside, done := *p, make(chan bool) // one core for these, while the processes wait for their time
	go func() {
		beside.hollow()
		close(done)
	}()
	err := p.carry()
	<-done
	p.Claims = append(beside.Claims, p.Claims...)
	return err
}

const (
	carriedVisits = 12               // a second and sidecar
	rest          = 6 * clock.Second // visits to compare with
)

func secs(span clock.Micros) float64 { return float64(span) / 1e6 }
