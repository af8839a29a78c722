package brain

// Recording the results of attempts, and ejecting servers that fail.

import (
	"fmt"
)

// recordOutcome records the result of an attempt: one of this sidecar or, at the server's owner, one of
// another sidecar. load is the work times the requests in flight at the server.
func (b *Balancer) recordOutcome(server *server, result Result, sent Micros, latency, work, load float64) {
	if result == Succeeded || result == AnsweredError || result == Overloaded {
		server.lastAnswerAt = b.now
		server.unanswered = 0
		server.untested = false
	}
	concurrent := load/work - 1
	loadedWork := work * (1 + b.contentionFactor*concurrent)
	switch result {
	case Succeeded:
		b.fitContention(latency*server.weight/b.meanWeight, work, concurrent)
		b.recordSuccess(server, sent, latency, loadedWork, work)
		return
	case AnsweredError:
		server.failures++
	case Overloaded:
		// Rejections come fast, so they count as late answers: otherwise the fullest server would look the
		// fastest. They don't count for the zone, since they say nothing about the servers beside it.
		server.latency += b.meanTarget
		server.loadedWork += loadedWork
	case ConnectFailed, Reset: // one failure proves nothing: connections to healthy servers break, too
		server.failures++
		b.countUnanswered(server, "no connection, or it broke")
	default:
		// No answer. This counts as a slow answer if it took longer than answers do; if the server has
		// answered other attempts since, the attempt was lost and does not indicate overload.
		if latency > b.expectedPace(server)*work && server.lastAnswerAt <= sent {
			server.latency += latency
			server.loadedWork += loadedWork
		}
		return
	}
	if server.failures >= minEjectFailures && server.failures > ejectFailureRatio*(server.successes+server.failures) {
		b.eject(server, "errors")
	} else if server.ejectedUntil != 0 && sent >= server.ejectedUntil {
		b.eject(server, "trial failed")
	}
}

// recordSuccess records a successful attempt. One that was sent after an ejection ended brings the server
// back into service.
func (b *Balancer) recordSuccess(server *server, sent Micros, latency, loadedWork, work float64) {
	server.latency += latency
	server.loadedWork += loadedWork
	server.work += work
	server.successes++
	if server.ejectedUntil == 0 {
		b.zones[server.zone].add(latency, loadedWork, work)
	}
	if server.ejectedUntil != 0 && sent >= server.ejectedUntil {
		server.ejectedUntil = 0
		server.failures = 0
	} else if server.successes > decayTicks/2 {
		server.ejectionSpan = 0
	}
}

// regressionSums holds the decaying sums of a linear regression of latencies on the requests in flight beside each
// request.
type regressionSums struct {
	work                  float64
	workConcurrent        float64
	workConcurrentSquared float64
	latency               float64
	latencyConcurrent     float64
}

// fitContention updates the contention factor, the fraction by which each concurrent request raises a
// latency: 1 at a server with one core, less at servers with more.
func (b *Balancer) fitContention(latency, work, concurrent float64) {
	const decay = 1 - 1/fitAnswers
	sums := &b.contentionFit
	sums.work = sums.work*decay + work
	sums.workConcurrent = sums.workConcurrent*decay + work*concurrent
	sums.workConcurrentSquared = sums.workConcurrentSquared*decay + work*concurrent*concurrent
	sums.latency = sums.latency*decay + latency
	sums.latencyConcurrent = sums.latencyConcurrent*decay + latency*concurrent
	prior := trustedAnswers * b.meanWork
	sumWork := sums.work + prior
	sumConcurrent := sums.workConcurrent + prior
	sumConcurrentSquared := sums.workConcurrentSquared + 2*prior
	sumLatency := sums.latency + 2*prior*b.calmPace
	sumLatencyConcurrent := sums.latencyConcurrent + 3*prior*b.calmPace
	b.contentionFactor = min(max((sumWork*sumLatencyConcurrent-sumConcurrent*sumLatency)/
		max(sumLatency*sumConcurrentSquared-sumConcurrent*sumLatencyConcurrent, minPace), minContentionFactor), 1)
}

// eject takes a server out of the ordinary pick. Consecutive ejections grow longer, with jitter, so that
// sidecars don't all return to the server at once.
func (b *Balancer) eject(server *server, reason string) {
	if server.ejectedUntil > b.now {
		return
	}
	server.ejectionSpan = min(max(2*server.ejectionSpan, 10*firstBackoff), b.micros("obligations.cold_us")/2)
	server.ejectedUntil = b.now + b.jitter(server.ejectionSpan)
	server.failures = 0
	b.ports.Print(fmt.Sprintf("%x sits out for %d ms: %s", server.id, (server.ejectedUntil-b.now)/1000, reason))
}
