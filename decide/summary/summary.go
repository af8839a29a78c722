// Package summary limits the bytes that sidecars exchange per second, whatever the request rate. It sits
// between the balancer (package brain) and the network. The balancer sends a message to a server's owner (the
// sidecar that rendezvous hashing assigns to the server) for each request and asks it for a quote each time.
// Here requests are added up to one summary per server, and the balancer's questions are answered from the
// owner's last estimate. On the owner's side a summary is replayed to the balancer as single requests, and
// the answer to each sender says when its next summary is due, so that the owner receives no more than its
// share of the limit either. Usage of tenants is passed up a tree of sidecars, in which each receives
// messages of a few only (tenants.go). docs/messages.md describes the limit, its costs and what it can't do.
//
// The package picks no server, retries nothing and rejects no request. It does no I/O and reads no clock:
// events are passed in, each with its time.
package summary

import (
	"math"
	"slices"

	"ledgespread/brain"
)

// Micros is a point in time or a duration, in whole microseconds.
type Micros = brain.Micros

// The kinds of message that replace the balancer's own on the network where a limit is set.
const (
	Summary  brain.MessageKind = iota + 16 // to a server's owner: results of attempts since the last summary
	Estimate                               // answer to a Summary: pace and requests in flight (see estimate), microseconds until the next summary is due
	Usage                                  // to a parent in the tree: requests of each tenant since the last usage message
	Totals                                 // answer to Usage: recent requests of each tenant from all sidecars, age of that, microseconds until the next usage message is due
)

// Sizes of messages on the network: 28 bytes of IPv4 and UDP headers, 7 of a message's own header, then 2 per
// figure.
const (
	headerBytes     = 28 + 7
	figureBytes     = 2
	summaryFigures  = 10
	estimateFigures = 3
	exchangeBytes   = 2*headerBytes + figureBytes*(summaryFigures+estimateFigures)
)

// Shares of the limit: for a sidecar's own summaries and their answers, for those that it receives and
// answers as an owner, and for tenants' usage, half of it towards the parent and half from the children. The
// rest is reserved for summaries that arrive at an owner before it has scheduled them: after a start or the
// loss of a zone these are as many as the scheduled ones.
const (
	summariesShare, ownedShare, tenantsShare = 0.34, 0.22, 0.12

	burst = 3 // exchanges that may follow each other at once: the number of servers that the balancer compares per request
)

const (
	minTieFactor, maxTieFactor = 1.25, 3.0 // an estimate within a random multiple in this range of the median counts as the median
	estimateIntervals          = 3         // intervals between summaries for which an estimate is valid
	ownRequestPenalty          = 0.05      // share of the pace added per own request, so that ties go to servers without one
	maxSummaryRequests         = 1 << 10   // in a summary, since an owner replays each one to the balancer
	idleTimeouts               = 64        // client timeouts after which an unused server is forgotten
)

// Values that package brain uses too.
const (
	tick         = Micros(50_000)
	defaultPace  = 1.0   // until a latency is known
	latencyDecay = 25.0  // ticks in which the weight of own latencies falls to 1/e
	baseWeight   = 6.0   // weight of the base pace among measured ones, in mean requests
	meanRequests = 32.0  // requests over which the mean work of a request is averaged
	basePaceFall = 100.0 // ticks in which the base pace follows a lower recent pace,
	basePaceRise = 400.0 // and a higher one; also the ticks in which the count of replayed requests fades by itself
)

// Host is what an Aggregator needs from its surroundings. Its methods must not call the Aggregator.
type Host interface {
	Send(to brain.Peer, kind brain.MessageKind, about brain.ServerID, figures ...float64) // sends a message over the network, which may lose it
	// Deliver passes a message to the balancer, after the current call of the Aggregator has returned.
	Deliver(from brain.Peer, kind brain.MessageKind, about brain.ServerID, figures ...float64)
	Rejected(from brain.Peer, why string) // reports a received message that was rejected as malformed
}

// Config is the configuration of an Aggregator.
type Config struct {
	BytesPerSecond   float64 // per second in both directions, headers included; 0: no limit, the balancer's messages are sent unchanged
	Sidecars         int     // in the deployment
	Self             brain.Peer
	Seed             uint64
	MaxClientTimeout Micros // longest client timeout
}

// Aggregator limits the messages of one sidecar.
type Aggregator struct {
	limits Config
	host   Host

	sendPacer, replyPacer pacer // of this sidecar's summaries; of those that it receives as an owner
	servers               map[brain.ServerID]*server
	serverList            []*server             // the same servers, in the order in which they were added
	nextDue               Micros                // no server's summary is due before
	firstPacers           map[brain.Peer]*pacer // by owner: spreads the first summaries of its servers
	medianPace            float64               // of the valid estimates, when the last one arrived
	ownLatency            latencyAverage
	randomDraws           uint64

	owned           map[brain.ServerID]*owned
	expectedReplies []reply // that the balancer is to send for replayed messages
	tenants         tree
}

// server is what is kept of a server for its next summary, and what its owner estimated.
type server struct {
	id              brain.ServerID
	owner           brain.Peer // that the balancer asked last
	results         results
	inFlight        int     // requests of this sidecar
	inFlightTime    float64 // integral of inFlight over time since the last summary
	inFlightChanged Micros  // until when inFlightTime is computed
	lastSummary     Micros
	nextSummary     Micros // when the next summary is due
	lastUsed        Micros // last message of the balancer about it
	nextInterval    Micros // until the next summary, as the owner last set it
	unanswered      int    // consecutive summaries without an answer
	estimate        estimate
}

// estimate is an owner's answer: the pace, which is the latency per unit of work that one more request would
// see, and the requests in flight at the server. The pace is infinite if the server is ejected.
type estimate struct {
	pace, inFlight, ownInFlight float64 // ownInFlight: the requests of this sidecar among them
	tieFactor                   float64 // multiple of the median pace up to which this pace counts as the median
	validUntil                  Micros
}

// results are sums over ended attempts.
type results struct {
	succeeded, errors, broken, overloaded float64 // errors: error responses; broken: no connection, or it broke; overloaded: rejected unprocessed
	waiting                               float64 // reports that an attempt waits for too long
	latency, work, load                   float64 // of the succeeded ones; load: work times requests in flight
}

// owned is what an owner adds up from the summaries about one server.
type owned struct {
	inFlightTime, replayed float64 // fading integral over others' requests in flight; how many of them the balancer counts
	updatedAt              Micros
	fadeTime               float64 // of inFlightTime: the usual time between two summaries of a sender
}

// reply identifies a message that the balancer will send in answer to a replayed summary or usage message. It
// goes out as the answer to that message.
type reply struct {
	to    brain.Peer
	kind  brain.MessageKind // that the balancer will use
	about brain.ServerID
}

// New returns an Aggregator that knows no server.
func New(limits Config, host Host) *Aggregator {
	return &Aggregator{limits: limits, host: host, medianPace: defaultPace, ownLatency: latencyAverage{basePace: defaultPace}, servers: map[brain.ServerID]*server{},
		owned: map[brain.ServerID]*owned{}, firstPacers: map[brain.Peer]*pacer{}}
}

// RaiseClientTimeout raises the longest client timeout. A lower value is ignored.
func (a *Aggregator) RaiseClientTimeout(longest Micros) {
	a.limits.MaxClientTimeout = max(a.limits.MaxClientTimeout, longest)
}

func (a *Aggregator) bounded() bool { return a.limits.BytesPerSecond > 0 }

// interval returns the time between two exchanges of so many bytes that use up a share of the limit.
func (a *Aggregator) interval(bytes, share float64) Micros {
	if !a.bounded() {
		return 0
	}
	return Micros(math.Ceil(1e6 * bytes / share / a.limits.BytesPerSecond))
}

// summaryInterval returns the minimum time between two summaries of this sidecar.
func (a *Aggregator) summaryInterval() Micros { return a.interval(exchangeBytes, summariesShare) }

// round returns the minimum time in which each server gets a summary.
func (a *Aggregator) round() Micros { return a.summaryInterval() * Micros(len(a.serverList)) }

// server returns the record of a server, which it creates if there is none. If the balancer asks for a quote,
// the owner that it asks becomes the server's owner. Other messages don't change it: the end of an attempt is
// reported to the owner that learned of its beginning.
func (a *Aggregator) server(id brain.ServerID, owner brain.Peer, asks bool, now Micros) *server {
	entry := a.servers[id]
	switch {
	case entry == nil:
		// If all sidecars start at once, or learn of a new server at once, their first summaries must not
		// reach one owner at once. Each gets a random time within a span; several servers of an owner get one
		// span after the other.
		if a.firstPacers[owner] == nil {
			a.firstPacers[owner] = &pacer{}
		}
		span := Micros(a.limits.Sidecars) * a.interval(exchangeBytes, ownedShare)
		entry = &server{id: id, owner: owner, lastSummary: now, inFlightChanged: now, nextSummary: a.firstPacers[owner].take(now, span) + a.randomSpan(span)}
		a.servers[id], a.serverList, a.nextDue = entry, append(a.serverList, entry), 0
	case asks && entry.owner != owner: // a random delay keeps all sidecars from reaching the new owner at once
		entry.owner, entry.nextSummary = owner, now+a.randomSpan(max(entry.nextInterval, a.round()))
	}
	entry.lastUsed = now
	return entry
}

// HandleOutgoing processes a message that the balancer sends to another sidecar.
func (a *Aggregator) HandleOutgoing(now Micros, to brain.Peer, kind brain.MessageKind, about brain.ServerID, figures ...float64) {
	if i := slices.Index(a.expectedReplies, reply{to, kind, about}); i >= 0 {
		a.expectedReplies = slices.Delete(a.expectedReplies, i, i+1)
		if kind == brain.TenantTotals {
			a.sendTotals(now, to, figures, 0)
		} else {
			a.sendEstimate(now, to, about, figures)
		}
		return
	}
	switch {
	case kind == brain.TenantUse && a.bounded():
		a.addOwnUsage(now, to, figures)
	case kind == brain.TenantUse:
		a.host.Send(to, kind, about, a.takeUsage(now, figures)...)
	case kind == brain.Quote || kind == brain.TenantTotals || !a.bounded():
		a.host.Send(to, kind, about, figures...)
	case kind == brain.QuoteRequest:
		a.answerQuestion(now, a.server(about, to, true, now))
	case kind == brain.AttemptStarted:
		a.server(about, to, false, now).addInFlight(now, 1)
	case kind == brain.AttemptUnanswered:
		a.server(about, to, false, now).results.waiting++
	case kind == brain.AttemptEnded:
		s, result := a.server(about, to, false, now), brain.Result(figures[0])
		s.addInFlight(now, -1)
		s.results.add(result, figures[1], figures[2], figures[3])
		if result == brain.Succeeded {
			a.ownLatency.add(now, figures[1], figures[2])
		}
	}
}

// addInFlight changes the number of requests in flight, after adding the time since its last change to
// inFlightTime.
func (s *server) addInFlight(now Micros, change int) {
	s.inFlightTime += float64(s.inFlight) * float64(now-s.inFlightChanged)
	s.inFlight, s.inFlightChanged = max(0, s.inFlight+change), now
}

func (r *results) add(result brain.Result, latency, work, load float64) {
	switch result {
	case brain.Succeeded:
		r.succeeded++
		r.latency, r.work, r.load = r.latency+latency, r.work+work, r.load+load
	case brain.AnsweredError:
		r.errors++
	case brain.Overloaded:
		r.overloaded++
	case brain.ConnectFailed, brain.Reset:
		r.broken++
	}
}

// answerQuestion answers the balancer's question about a server from its owner's last estimate. If a summary
// is due, of this server or another, it is sent first.
func (a *Aggregator) answerQuestion(now Micros, s *server) {
	if due := a.dueServer(now); due != nil {
		a.sendSummary(now, due)
	}
	if s.unanswered > maxUnanswered { // the owner is gone: the missing quote makes the balancer choose another owner
		s.unanswered = 0
		return
	}
	pace, inFlight := a.quote(now, s)
	a.host.Deliver(s.owner, brain.Quote, s.id, pace, inFlight)
}

// dueServer returns the server whose summary has been due for longest; nil if none is due or the limit allows
// none now.
func (a *Aggregator) dueServer(now Micros) (first *server) {
	if a.nextDue > now || !a.sendPacer.available(now, (burst-1)*a.summaryInterval()) {
		return nil
	}
	a.serverList = slices.DeleteFunc(a.serverList, func(s *server) bool { // removed servers would otherwise be kept forever
		unused := s.inFlight == 0 && now-s.lastUsed > idleTimeouts*a.limits.MaxClientTimeout
		if unused {
			delete(a.servers, s.id)
		}
		return unused
	})
	a.nextDue = math.MaxInt64
	for _, s := range a.serverList {
		if a.nextDue = min(a.nextDue, s.nextSummary); s.nextSummary <= now && s.lastUsed >= s.lastSummary && (first == nil || s.nextSummary < first.nextSummary) {
			first = s
		}
	}
	return first
}

// sendSummary sends a server's results since the last summary to its owner.
func (a *Aggregator) sendSummary(now Micros, s *server) {
	a.sendPacer.take(now, a.summaryInterval())
	s.addInFlight(now, 0)
	r := s.results
	a.host.Send(s.owner, Summary, s.id, r.succeeded, r.errors, r.broken, r.overloaded, r.waiting, r.latency, r.work, r.load, s.inFlightTime, float64(now-s.lastSummary))
	s.results, s.inFlightTime, s.lastSummary = results{}, 0, now
	s.unanswered++
	s.nextSummary = now + max(a.round(), 1) // until the owner's answer sets another
}

// quote returns the pace of a server and the requests in flight there, as passed to the balancer. The current
// load of all servers together shows in the latencies of this sidecar's own requests. How a server differs
// from the others comes from its owner's estimate, which is older: only a pace beyond a multiple of the
// median counts as a difference. This keeps the whole fleet from moving towards or away from one server at
// once on outdated estimates. This sidecar's own requests count at once.
func (a *Aggregator) quote(now Micros, s *server) (pace, inFlight float64) {
	pace = a.ownLatency.pace(now)
	e := s.estimate
	if e.validUntil <= now {
		e = estimate{pace: a.medianPace, tieFactor: 1}
	}
	if e.pace > e.tieFactor*a.medianPace {
		pace *= e.pace / a.medianPace
	}
	added := max(0, float64(s.inFlight)-e.ownInFlight)
	return pace * (1 + e.inFlight + added) / (1 + e.inFlight) * (1 + ownRequestPenalty*float64(s.inFlight)), e.inFlight + added
}
