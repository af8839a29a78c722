package brain

// outliers.go: what outcomes teach of a server, and which servers are ejected.

import (
	"fmt"
)

// recordOutcome records how an attempt of this or, at the server's owner, of another sidecar ended. load is the work times the requests held.
func (b *Balancer) recordOutcome(server *server, result Result, sent Micros, latency, work, load float64) {
	if result == Succeeded || result == AnsweredError || result == Overloaded {
		server.lastSign = b.now
		server.unanswered = 0
		server.untested = false
	}
	met := load/work - 1
	heldWork := work * (1 + b.addedByMet*met)
	switch result {
	case Succeeded:
		b.learnAdded(latency*server.weight/b.meanWeight, work, met)
		b.recordSuccess(server, sent, latency, heldWork, work)
		return
	case AnsweredError:
		server.failures++
	case Overloaded:
		// Refusals come fast: they count as late answers, or the fullest server would look the fastest. They tell nothing of others, beside which
		// requests must not be rejected.
		server.latency += b.meanTarget
		server.heldWork += heldWork
	case ConnectFailed, Reset: // one is no dead server: connections break between servers that live
		server.failures++
		b.countUnanswered(server, "no connection, or it broke")
	default:
		// No answer, and that took longer than answers do; where others came since, it is lost, no sign of a crowd.
		if latency > b.expectedPace(server)*work && server.lastSign <= sent {
			server.latency += latency
			server.heldWork += heldWork
		}
		return
	}
	if server.failures >= leastFailures && server.failures > ejectShare*(server.successes+server.failures) {
		b.eject(server, "errors")
	} else if server.ejectedUntil != 0 && sent >= server.ejectedUntil {
		b.eject(server, "trial failed")
	}
}

// recordSuccess records a success. One that was sent after an ejection ends it.
func (b *Balancer) recordSuccess(server *server, sent Micros, latency, heldWork, work float64) {
	server.latency += latency
	server.heldWork += heldWork
	server.work += work
	server.successes++
	if server.ejectedUntil == 0 {
		b.zones[server.zone].add(latency, heldWork, work)
	}
	if server.ejectedUntil != 0 && sent >= server.ejectedUntil {
		server.ejectedUntil = 0
		server.failures = 0
	} else if server.successes > fadeBeats/2 {
		server.ejectedFor = 0
	}
}

// fitSums are the fading sums of a line through latencies by what requests met.
type fitSums struct {
	work       float64
	workMet    float64
	workMetMet float64
	latency    float64
	latencyMet float64
}

// learnAdded fits what each request that is met adds to a latency: as much again at a server of one core, less at others.
func (b *Balancer) learnAdded(latency, work, met float64) {
	const fade = 1 - 1/fitAnswers
	sums := &b.fitSums
	sums.work = sums.work*fade + work
	sums.workMet = sums.workMet*fade + work*met
	sums.workMetMet = sums.workMetMet*fade + work*met*met
	sums.latency = sums.latency*fade + latency
	sums.latencyMet = sums.latencyMet*fade + latency*met
	prior := enoughAnswers * b.meanWork
	w := sums.work + prior
	x := sums.workMet + prior
	xx := sums.workMetMet + 2*prior
	t := sums.latency + 2*prior*b.calmPace
	tx := sums.latencyMet + 3*prior*b.calmPace
	b.addedByMet = min(max((w*tx-x*t)/max(t*xx-x*tx, leastPace), leastAdds), 1)
}

// eject keeps a server off the ordinary pick, longer each time, and by chance so that not all sidecars return to it at once.
func (b *Balancer) eject(server *server, why string) {
	if server.ejectedUntil > b.now {
		return
	}
	server.ejectedFor = min(max(2*server.ejectedFor, 10*firstBackoff), b.span("obligations.cold_us")/2)
	server.ejectedUntil = b.now + b.jitter(server.ejectedFor)
	server.failures = 0
	b.ports.Print(fmt.Sprintf("%x sits out for %d ms: %s", server.id, (server.ejectedUntil-b.now)/1000, why))
}
