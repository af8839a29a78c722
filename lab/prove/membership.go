package prove

import (
	"ledgespread/decide/membership"
	"ledgespread/lab/clock"
)

// The proof of membership has two halves: the part that decides, in simulated time and by seed, beside plain heartbeats on the
// same network; and real processes under faults, judged by the lab's own truth. A guard is switched off in the first half only:
// the shipped program has no way to.

const (
	probeEvery  = 250 * clock.Milli
	borneStill  = clock.Second // a pause that is borne
	knownWithin = 3 * clock.Second
	knownLossy  = 5 * clock.Second
	healWithin  = 2 * clock.Second
	agreeWithin = 5 * clock.Second
	bytesAVisit = 256
	visitsEach  = 5 // a second and sidecar
	beatsLimit  = 1500 * clock.Milli
)

func playMembership(p *Proof) error {
	p.simulated()
	if p.Break != "" {
		return nil
	}
	return p.together()
}

func (p *Proof) terms() membership.Config {
	return membership.Config{Group: "lab", ProbeInterval: membership.Micros(probeEvery), ExchangeInterval: 30_000_000, DeadRetention: 600_000_000, LeaveLinger: 3_000_000,
		MinSenders: 1, MaxMembers: 20_000, DisabledGuard: p.Break}
}

const mustered = `name = "mustered"
length = "3600s"
zones = ["bangna", "lat-krabang", "chon-buri"]
seed = %d
[sidecars]
count = %d
[members]
probe_every = %q
` + atWork

// atWork is what sidecars of the proofs with real processes have before them: servers in three zones, a path prefix of each effect, and so
// many visits a second.
const atWork = `[[backend]]
count = 2
zone = "bangna"
[[backend]]
count = 2
zone = "lat-krabang"
[[backend]]
count = 2
zone = "chon-buri"
[[prefix]]
name = "look"
share = 0.6
work = "1ms"
target_latency = "300ms"
client_timeout = "2s"
[[prefix]]
name = "book"
effect = "tagged"
share = 0.2
work = "1ms"
target_latency = "300ms"
client_timeout = "2s"
[[prefix]]
name = "pay"
effect = "mutating"
share = 0.2
work = "1ms"
target_latency = "300ms"
client_timeout = "2s"
[traffic]
rate = "%d/s"
`
