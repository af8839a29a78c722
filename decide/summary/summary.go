// Package summary keeps what sidecars tell each other within a bound of bytes a second, whatever the rate of requests. It stands between
// the module and the wire. The module tells owners of servers of each request, and asks them for each; here requests add up to summaries,
// one of a server at a time, and the module is answered by what its owner last estimated. An owner is fed by summaries as by single
// requests, and gives each who sends one a turn for the next, so that what it is told stays within its bound as well. What tenants send
// goes up a tree of sidecars, each of which hears few (tenants.go). docs/messages.md has the bound, what it costs and what it can't do.
//
// Nothing here picks a server, retries or turns away. It does no I/O and knows no clock: events come in, each with its time.
package summary

import (
	"math"
	"slices"

	"ledgespread/brain"
)

// Micros is a point in time or a span, in whole microseconds.
type Micros = brain.Micros

// The kinds of message that go over the wire in place of the module's, where a bound is set.
const (
	Summary  brain.MessageKind = iota + 16 // what was seen of a server's attempts since the last one, to its owner
	Estimate                               // its answer: see estimate; then in how many microseconds the next summary is due
	Usage                                  // requests of each tenant since the last one, to a parent in the tree
	Totals                                 // its answer: what all lately sent; how old that is; in how many microseconds the next usage is due
)

// Bytes of the messages on the wire: 28 of heads (IPv4, UDP), 7 of a message's own, then two a figure.
const (
	headBytes       = 28 + 7
	figureBytes     = 2
	summaryFigures  = 10
	estimateFigures = 3
	exchangeBytes   = 2*headBytes + figureBytes*(summaryFigures+estimateFigures)
)

// Parts of the bound: for a sidecar's own summaries and what it is answered, for those it is told as an owner and answers, and for
// tenants, half of it up the tree and half from below. The rest is for those who come to an owner without a turn: at a start, and when a zone
// is lost, they are as many as those with one.
const (
	summariesPart, ownedPart, tenantsPart = 0.34, 0.22, 0.12

	burst = 3 // exchanges that may follow each other at once: so many servers does the module compare for a request
)

const (
	tieLeast, tieMost = 1.25, 3.0 // within such a multiple of the median, drawn anew each turn, an estimate counts as the median
	lives             = 3         // turns for which it counts
	ownBias           = 0.05      // of an answer's time that each own request counts: those that tie go where there is none
	fetchesMost       = 1 << 10   // in a summary: an owner feeds the module with one by one
	idleFor           = 64        // client timeouts after which a server that nothing goes to is forgotten
)

// As the module has them.
const (
	beat     = Micros(50_000)
	usual    = 1.0   // answer time per unit of work until something is known
	fades    = 25.0  // beats in which own answers fade to 1/e
	firm     = 6.0   // mean requests that the calm pace weighs among them
	enough   = 32.0  // requests that make the mean
	calmFall = 100.0 // beats in which the calm pace follows the lately seen one down,
	calmRise = 400.0 // and up; also in which the module's count of others' requests fades by itself
)

// Out is what an Aggregator can do to the world. None of these calls it back.
type Out interface {
	Send(to brain.Peer, kind brain.MessageKind, about brain.ServerID, figures ...float64) // a message over the wire; it may be lost
	// Hear has the module hear a message, when the call that goes on is over.
	Hear(from brain.Peer, kind brain.MessageKind, about brain.ServerID, figures ...float64)
	Refused(from brain.Peer, why string) // a message that no sidecar can mean was passed over
}

// Limits are what an Aggregator goes by.
type Limits struct {
	Bytes    float64 // a second, both directions, heads counted; 0: no bound, and all that the module tells goes out as it is
	Sidecars int     // that tell each other
	Me       brain.Peer
	Seed     uint64
	Longest  Micros // client timeout
}

// Aggregator is one sidecar's.
type Aggregator struct {
	limits Limits
	out    Out

	says, gives pacer // turns: its own, and those it gives as an owner
	known       map[brain.ServerID]*server
	row         []*server             // the same, in the order in which they came up
	nextDue     Micros                // no server's turn comes before
	firsts      map[brain.Peer]*pacer // by owner: when it is told of a server for the first time
	median      float64               // of the estimates that count, as they were last
	own         level
	drawn       uint64 // times that chance was asked

	owned   map[brain.ServerID]*owned
	replies []reply // the module is asked for
	tenants tree
}

// server is what is to be told of a server, and what its owner told.
type server struct {
	id            brain.ServerID
	owner         brain.Peer // as the module last had it
	seen          seen
	out           int     // requests of this sidecar there
	spent         float64 // requests out, times how long, since the last summary
	spentAt       Micros
	since, turnAt Micros // the last summary; the next one's turn
	touched       Micros // the module told something of it
	turn          Micros // the last one that an owner gave
	missed        int    // summaries, since its owner answered one
	estimate      estimate
}

// estimate is an owner's word: the answer time per unit of work that one more request would see, infinite if the server sits out, and
// requests held there; mine of them were this sidecar's.
type estimate struct {
	pace, held, mine float64
	tie              float64 // the multiple of the median up to which it counts as that
	until            Micros
}

// seen are sums over attempts that ended.
type seen struct {
	good, bad, broken, full float64 // succeeded; answered with an error; no connection, or it broke; turned away unseen
	silent                  float64 // found waiting for too long
	took, work, load        float64 // of those that succeeded: latency, work, work times requests held
}

// owned is what an owner adds up of one server's summaries.
type owned struct {
	spent, away float64 // others' requests there times how long, fading; their number as the module has it
	at          Micros
	span        float64 // in which that fades: the usual one from one summary to the next of each who sends them
}

// reply is an answer of the module's to a summary, or to tenants' usage, that is to go out with a turn.
type reply struct {
	to    brain.Peer
	kind  brain.MessageKind // as the module will tell it
	about brain.ServerID
}

// New makes one.
func New(l Limits, out Out) *Aggregator {
	return &Aggregator{limits: l, out: out, median: usual, own: level{calm: usual}, known: map[brain.ServerID]*server{},
		owned: map[brain.ServerID]*owned{}, firsts: map[brain.Peer]*pacer{}}
}

// Longest takes over another client timeout.
func (a *Aggregator) Longest(longest Micros) { a.limits.Longest = max(a.limits.Longest, longest) }

func (a *Aggregator) bounded() bool { return a.limits.Bytes > 0 }

// span is how long an exchange of so many bytes takes up a part of the bound.
func (a *Aggregator) span(bytes, part float64) Micros {
	if !a.bounded() {
		return 0
	}
	return Micros(math.Ceil(1e6 * bytes / part / a.limits.Bytes))
}

func (a *Aggregator) exchange() Micros { return a.span(exchangeBytes, summariesPart) }

// round is one exchange for each server, at the least.
func (a *Aggregator) round() Micros { return a.exchange() * Micros(len(a.row)) }

// server is what is kept of one. The owner is the one that the module asks of it now: attempts that began before tell of their end where they
// told of their beginning.
func (a *Aggregator) server(id brain.ServerID, owner brain.Peer, asks bool, now Micros) *server {
	s := a.known[id]
	switch {
	case s == nil:
		// This prevents a fleet whose sidecars all start, or hear of a new server, and tell one owner in one moment; of several servers that
		// one has each comes in a span of its own.
		if a.firsts[owner] == nil {
			a.firsts[owner] = &pacer{}
		}
		span := Micros(a.limits.Sidecars) * a.span(exchangeBytes, ownedPart)
		s = &server{id: id, owner: owner, since: now, spentAt: now, turnAt: a.firsts[owner].take(now, span) + a.within(span)}
		a.known[id], a.row, a.nextDue = s, append(a.row, s), 0
	case asks && s.owner != owner: // guards the next owner against all who left the one before in one moment
		s.owner, s.turnAt = owner, now+a.within(max(s.turn, a.round()))
	}
	s.touched = now
	return s
}

// Told takes what the module tells another sidecar.
func (a *Aggregator) Told(now Micros, to brain.Peer, kind brain.MessageKind, about brain.ServerID, figures ...float64) {
	if i := slices.Index(a.replies, reply{to, kind, about}); i >= 0 {
		a.replies = slices.Delete(a.replies, i, i+1)
		if kind == brain.TenantsTotal {
			a.total(now, to, figures, 0)
		} else {
			a.answer(now, to, about, figures)
		}
		return
	}
	switch {
	case kind == brain.TenantsUse && a.bounded():
		a.use(now, to, figures)
	case kind == brain.TenantsUse:
		a.out.Send(to, kind, about, a.passed(now, figures)...)
	case kind == brain.Quote || kind == brain.TenantsTotal || !a.bounded():
		a.out.Send(to, kind, about, figures...)
	case kind == brain.Ask:
		a.asked(now, a.server(about, to, true, now))
	case kind == brain.Began:
		a.server(about, to, false, now).hold(now, 1)
	case kind == brain.Waits:
		a.server(about, to, false, now).seen.silent++
	case kind == brain.Ended:
		s, rc := a.server(about, to, false, now), brain.Result(figures[0])
		s.hold(now, -1)
		s.seen.add(rc, figures[1], figures[2], figures[3])
		if rc == brain.Succeeded {
			a.own.add(now, figures[1], figures[2])
		}
	}
}

func (s *server) hold(now Micros, many int) {
	s.spent += float64(s.out) * float64(now-s.spentAt)
	s.out, s.spentAt = max(0, s.out+many), now
}

func (s *seen) add(rc brain.Result, took, work, load float64) {
	switch rc {
	case brain.Succeeded:
		s.good++
		s.took, s.work, s.load = s.took+took, s.work+work, s.load+load
	case brain.AnsweredError:
		s.bad++
	case brain.Overloaded:
		s.full++
	case brain.ConnectFailed, brain.Reset:
		s.broken++
	}
}

// asked answers the module's question of a server by what its owner told last, and sends a summary to the owner whose turn has come.
func (a *Aggregator) asked(now Micros, s *server) {
	if due := a.due(now); due != nil {
		a.summarize(now, due)
	}
	if s.missed > giveUp { // no answer: the module finds another owner where one tells nothing
		s.missed = 0
		return
	}
	pace, held := a.word(now, s)
	a.out.Hear(s.owner, brain.Quote, s.id, pace, held)
}

// due is the server whose turn came first, if a summary may be sent now.
func (a *Aggregator) due(now Micros) (first *server) {
	if a.nextDue > now || !a.says.free(now, (burst-1)*a.exchange()) {
		return nil
	}
	a.row = slices.DeleteFunc(a.row, func(s *server) bool { // prevents books that grow with every server there ever was
		gone := s.out == 0 && now-s.touched > idleFor*a.limits.Longest
		if gone {
			delete(a.known, s.id)
		}
		return gone
	})
	a.nextDue = math.MaxInt64
	for _, s := range a.row {
		if a.nextDue = min(a.nextDue, s.turnAt); s.turnAt <= now && s.touched >= s.since && (first == nil || s.turnAt < first.turnAt) {
			first = s
		}
	}
	return first
}

// summarize tells a server's owner what was seen of it.
func (a *Aggregator) summarize(now Micros, s *server) {
	a.says.take(now, a.exchange())
	s.hold(now, 0)
	v := s.seen
	a.out.Send(s.owner, Summary, s.id, v.good, v.bad, v.broken, v.full, v.silent, v.took, v.work, v.load, s.spent, float64(now-s.since))
	s.seen, s.spent, s.since = seen{}, 0, now
	s.missed++
	s.turnAt = now + max(a.round(), 1) // unless its owner gives it another
}

// word is what the module is told of a server. How crowded all are by now this sidecar's own answers tell, which are of this moment; how a
// server differs from the others, its owner's estimate, which is a turn old: within a multiple of the median it does not. This prevents a
// fleet that turns away, or goes to one server, all of it, by what was so some seconds ago. A request of this sidecar's own counts at once.
func (a *Aggregator) word(now Micros, s *server) (pace, held float64) {
	pace = a.own.now(now)
	e := s.estimate
	if e.until <= now {
		e = estimate{pace: a.median, tie: 1}
	}
	if e.pace > e.tie*a.median {
		pace *= e.pace / a.median
	}
	more := max(0, float64(s.out)-e.mine)
	return pace * (1 + e.held + more) / (1 + e.held) * (1 + ownBias*float64(s.out)), e.held + more
}
