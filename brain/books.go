package brain

// books.go: what a sidecar keeps in mind, and the timers. No decisions.

import (
	"hash"

	"ledgespread/brain/due"
)

// class is a class of requests (the settings call it a path prefix): what the settings allow its requests, and how long these took.
type class struct {
	name   string
	effect string // safe, keyed or unsafe; see settings.go

	target    Micros // answers are worth most until then
	timeout   Micros // clients wait for so long
	keyWindow Micros // servers know a key for so long
	clockStep Micros // two sidecars' clocks may differ by this
	value     float64
	lateValue float64 // of an answer after the target

	inZone         bool // only a server's zone knows the key
	inCell         bool // only its cell does
	cancel         bool // an attempt may be called off
	mayDuplicate   bool // two attempts may be out
	mostAttempts   int
	mostRetryAfter Micros // that a rejection may name

	firstTimeLeft Micros  // what clients give their first try
	answers       float64 // that the mean is of
	meanLatency   float64 // of requests whose client doesn't tell their work
}

// tenant is who shares the service with others. All but the quota fade.
type tenant struct {
	quota     float64 // requests a second
	used      float64 // taken in here
	fresh     float64 // of these, not told to the ledger's keeper yet
	total     float64 // taken in by all sidecars, as the keeper told
	ledgerUse float64 // the same, as told to this sidecar, where it is the keeper
}

// server is a server as this sidecar knows it.
type server struct {
	id       ServerID
	hash     uint64 // of its id
	zone     Zone
	cell     Cell
	standing Standing
	weight   float64 // its size, as listed
	listed   bool    // named by the list that is being read
	takenOut bool    // by staff

	started      Micros // as listed; 0: long ago
	coldSince    Micros // 0: warm
	warmupBegan  Micros
	credit       float64 // work that may still be sent while it is cold
	tokenEnds    Micros  // of the credit, where it is drawn by chance
	lastListed   Micros  // or when it was first missed in a list
	putBackAt    Micros  // by staff
	lastSign     Micros  // of life
	ejectedUntil Micros  // 0: in service
	ejectedFor   Micros  // the last time
	skipUntil    Micros  // its owner said that it is ejected

	untested     bool       // no outcome since it was new
	held         int        // requests of this sidecar there
	heldByOthers float64    // as they told, fading
	unanswered   int        // attempts found waiting too long since the last sign of life
	waiting      []*request // for its owner's quote
	idleSince    []Micros   // each idle connection

	// Of requests that lately succeeded, fading:
	latency   float64
	heldWork  float64 // work times requests held
	work      float64
	ownWork   float64 // of this sidecar's requests
	successes float64
	failures  float64

	reported   float64 // requests held, by its last report
	reportedAt Micros

	pace  float64 // latency per unit of work, as a pick just worked it out
	score float64 // the same, with the cost of the way
}

// attempt is one attempt of a request at a server.
type attempt struct {
	no         AttemptNo
	server     *server
	sent       Micros
	met        float64 // requests held there, with itself
	owner      Peer    // of the server, when it was sent: the same hears of its end, or a count would stay
	ownerKnows bool    // the owner was told
	reused     bool    // on a connection that was idle
	idleFor    Micros  // that connection
	done       bool
	mayHaveRun bool // it is out, or ended without proof that it never ran
	onEnd      func(*attempt, Result)
}

// request is one that was taken in and is not yet over.
type request struct {
	id          RequestID
	class       *class
	work        float64 // expected, in core time or, if the client doesn't tell it, the class's mean latency
	workKnown   bool
	value       float64
	overShare   bool   // beyond its tenant's share
	streamed    bool   // sent as it comes: one attempt at the most
	usefulUntil Micros // later answers are worth little or nothing
	deadline    Micros // its client leaves
	ended       bool

	attempts       []*attempt
	outstanding    int // of these
	chargedRetries int
	freeRetryUsed  bool
	retryWaits     bool // for its backoff; its tokens are taken

	// Its comparison by the servers' owners:
	round    int
	askedAt  Micros
	asked    []*server
	owners   []Peer // of those
	awaited  int    // quotes
	settled  bool   // it waits for none any more
	best     *server
	bestPace float64
	bestHeld float64
}

const (
	beatToken  Token = iota // the periodic beat
	timerToken              // a timer is due
)

// Balancer decides for one sidecar.
type Balancer struct {
	settings
	ports    Ports
	now      Micros
	begun    Micros
	rampFrom Micros // the wanted slow start counts from then on
	tally    map[string]int

	seed  uint64
	draws uint64 // of chance, so far
	hash  hash.Hash64

	timers *due.Times[Micros]
	wakeAt Micros // for the first of them; 0: no wake-up is asked for
	beats  int

	myZone   Zone
	me       Peer
	sidecars int
	senders  int // sidecars that may be sending, as last heard; 0: as the settings say

	servers    map[ServerID]*server
	listed     []*server // the same, by id
	candidates []*server // of the pick that goes on
	takenOut   map[ServerID]bool
	requests   map[RequestID]*request

	news         News
	heardList    bool   // what the list tells from now on is new
	listAskedAt  Micros // 0: the call was answered
	listWait     Micros // until the next call, after failed ones
	peerBackoffs []backoff
	unanswered   int // asks, since a sidecar was last heard
	allBackoff   backoff
	quoteLag     Micros // how long owners take to answer
	ledgerKeeper uint64 // how many sidecars were given up as the keeper
	totalsAt     Micros // the keeper last told

	spentTokens  float64 // missing from the retry bucket
	firstTries   float64 // lately
	requestsSeen float64 // that the means are of, up to a bound
	meanWork     float64
	meanTarget   float64
	meanPart     float64 // of an admission limit, by value
	meanReported float64 // requests held

	zones         []zoneStats
	pace          float64 // latency per unit of work, over all zones
	rawPace       float64 // the same, without a prior
	calmPace      float64 // the same, when the fleet is not crowded
	meanWeight    float64 // of servers in service
	inUse         float64 // how many these are
	meanHeld      float64 // requests of this sidecar at one of them
	workPerWeight float64 // lately sent in a beat
	dialPrice     float64 // of a new connection
	idleLife      Micros  // for which idle connections live
	addedByMet    float64 // what a request that is met adds to a latency, of one
	fitSums       fitSums
}

// backoff is until when a sidecar that answered nothing is passed over, and for how long it was the last time.
type backoff struct {
	until Micros
	span  Micros
}

// zoneStats is what was lately seen of a zone's servers in service.
type zoneStats struct {
	latency  float64
	heldWork float64 // work times requests held
	work     float64
	answers  float64
	heldPace float64 // latency per unit of work and request held
	pace     float64 // latency per unit of work
}

// add counts an answer.
func (z *zoneStats) add(latency, heldWork, work float64) {
	z.latency += latency
	z.heldWork += heldWork
	z.work += work
	z.answers++
}

// after has something done at a later time.
func (b *Balancer) after(at Micros, do func()) {
	b.timers.Put(max(at, b.now+1), do)
	b.arm()
}

// arm asks for a wake-up at the first timer.
func (b *Balancer) arm() {
	first, any := b.timers.First()
	if any && (b.wakeAt == 0 || first < b.wakeAt) {
		b.wakeAt = first
		b.ports.Wake(max(first-b.now, 1), timerToken)
	}
}
