package brain

// State that a sidecar keeps about classes, tenants, servers and requests, and its timers. Decisions are made in
// the other files.

import (
	"hash"

	"ledgespread/brain/due"
)

// class is a class of requests, which the settings call a path prefix: what the settings allow these requests, and
// their mean latency.
type class struct {
	name   string
	effect string // safe, keyed or unsafe; see settings.go

	target       Micros // target latency; later answers are worth lateValue
	timeout      Micros // client timeout
	keyWindow    Micros // how long servers remember an idempotency key
	maxClockSkew Micros // largest clock difference between two sidecars
	value        float64
	lateValue    float64 // value of an answer after the target latency

	keyInZone     bool // only servers of the same zone know the key
	keyInCell     bool // only servers of the same cell know the key
	mayCancel     bool // an attempt may be cancelled
	mayDuplicate  bool // two attempts may be in flight at the same time
	maxAttempts   int
	maxRetryAfter Micros // longest Retry-After that a rejection may carry

	firstArrivalTimeLeft Micros  // client time left when a request of the class first arrives
	answers              float64 // number of answers behind meanLatency
	meanLatency          float64 // of requests whose client doesn't state their work
}

// tenant is one of the tenants that share the service. All counts decay over time.
type tenant struct {
	quota        float64 // requests per second
	used         float64 // requests received by this sidecar
	unreported   float64 // part of used that is not yet reported to the usage collector
	fleetUse     float64 // requests received by all sidecars, as last sent by the usage collector
	collectedUse float64 // the same, counted by this sidecar while it is the usage collector
}

// server is the state of one server as this sidecar knows it.
type server struct {
	id         ServerID
	hash       uint64 // of the id
	zone       Zone
	cell       Cell
	state      ServerState
	weight     float64 // capacity relative to other servers, from the list
	seenInList bool    // named by the list that is being read
	takenOut   bool    // taken out of service by operators

	started          Micros // from the list; 0: unknown, a long time ago
	coldSince        Micros // when the server became cold; 0: it is warm
	warmupStart      Micros
	credit           float64 // work that may still be sent while the server is cold
	creditExpiry     Micros  // when the credit expires, if it was granted as a random token
	listChangedAt    Micros  // when a list last named the server, or when it was first missing from one
	operatorActionAt Micros  // when operators last took the server out or put it back
	lastAnswerAt     Micros  // when the server last answered anything
	ejectedUntil     Micros  // 0: not ejected
	ejectionSpan     Micros  // length of the last ejection
	skipUntil        Micros  // until when it isn't picked because its owner reported it as ejected

	untested          bool       // no answer since the server was new or restarted
	inFlight          int        // requests that this sidecar has in flight there
	inFlightElsewhere float64    // requests that other sidecars reported in flight there, decaying
	unanswered        int        // attempts without an answer since the last answer
	awaitingQuote     []*request // requests that wait for a quote from the server's owner
	idleSince         []Micros   // for each idle connection, when it was last used

	// Decaying sums over recent attempts:
	latency    float64
	loadedWork float64 // work times the slowdown by the requests in flight beside it
	work       float64
	ownWork    float64 // work of this sidecar's requests only
	successes  float64
	failures   float64

	reported   float64 // requests in flight, from the server's last load report
	reportedAt Micros

	pace  float64 // expected latency per unit of work, computed for the current pick
	score float64 // pace, weighted with the cost of reaching the server
}

// attempt is one attempt of a request at a server.
type attempt struct {
	index         AttemptIndex
	server        *server
	zone          Zone // of the server when it was sent; a list may give the server's name to another one
	cell          Cell // the same
	sentAt        Micros
	inFlightWith  float64 // requests in flight at the server when it was sent, including this one
	owner         Peer    // the server's owner at that time; it also gets the end, so its in-flight count stays right
	ownerNotified bool
	reused        bool   // sent on a connection that had been idle
	idleFor       Micros // how long that connection had been idle
	done          bool
	answered      bool // the server has answered, with a success or not
	mayHaveRun    bool // in flight, or ended without proof that the server never processed it
	onEnd         func(*attempt, Result)
}

// request is a request that has been accepted and is not finished yet.
type request struct {
	id          RequestID
	class       *class
	work        float64 // expected core time; if the client doesn't state it, the mean latency of the class
	workKnown   bool    // the client stated the work
	value       float64
	overShare   bool   // beyond its tenant's share
	streamed    bool   // the body is forwarded as it arrives, so one attempt is the limit
	usefulUntil Micros // later answers are worth little or nothing
	deadline    Micros // when the client stops waiting
	ended       bool

	attempts       []*attempt
	outstanding    int // attempts in flight
	chargedRetries int // retries that took tokens from the retry bucket
	freeRetryUsed  bool
	retryPending   bool // a retry waits for its backoff; its tokens are already taken

	// State of the quotes that were requested from the servers' owners:
	quoteRound    int
	askedAt       Micros
	askedServers  []*server
	owners        []Peer // owners of askedServers, in the same order
	missingQuotes int
	decided       bool // the server is chosen; further quotes are ignored
	best          *server
	bestPace      float64
	bestInFlight  float64
}

const (
	tickToken  Token = iota // periodic tick
	timerToken              // a timer is due
)

// Balancer makes the decisions of one sidecar.
type Balancer struct {
	settings
	ports        Ports
	now          Micros
	startedAt    Micros
	rampChangeAt Micros // when wantedRamp replaces ramp
	counters     map[string]int

	seed        uint64
	randomDraws uint64 // number of random values drawn so far
	hash        hash.Hash64

	timers *due.Queue[Micros]
	wakeAt Micros // time of the earliest requested wake-up; 0: none
	ticks  int

	myZone         Zone
	self           Peer
	sidecars       int
	activeSidecars int // sidecars that may be sending, as last reported; 0: as many as the settings say
	processes      int // of this sidecar that may be sending; 0: one

	servers       map[ServerID]*server
	sortedServers []*server // the same servers, sorted by id
	candidates    []*server // candidates of the current pick
	takenOut      map[ServerID]bool
	requests      map[RequestID]*request

	listKind         ListKind
	listReceived     bool   // a list has been received, so servers that appear from now on are new
	listCalledAt     Micros // 0: no call to the list is pending
	listCallDelay    Micros // delay before the next call after failed ones
	peerBackoffs     []backoff
	unansweredQuotes int // quote requests without an answer since a message last arrived from another sidecar
	messagingBackoff backoff
	quoteLatency     Micros // mean time until an owner answers
	failedCollectors uint64 // number of sidecars that were given up as usage collector
	totalsReceivedAt Micros // when the usage collector last sent totals

	spentTokens         float64 // tokens missing from the retry bucket
	recentFirstAttempts float64 // recent first attempts, decaying
	requestsSeen        float64 // number of requests behind the means below, up to a maximum
	meanWork            float64
	meanTarget          float64
	meanLimitFraction   float64 // mean fraction of an admission limit that requests may use, by their value
	meanReported        float64 // mean number of requests in flight in load reports

	zones            []zoneStats
	pace             float64 // latency per unit of work over all zones
	rawPace          float64 // the same without a prior
	calmPace         float64 // the same while the fleet is not overloaded
	meanWeight       float64 // of servers in service
	serversInService float64 // number of servers in service
	meanInFlight     float64 // mean number of this sidecar's requests in flight per server in service
	workPerWeight    float64 // work recently sent per tick and unit of weight to warm servers
	dialCost         float64 // cost of a new connection
	idleLifetime     Micros  // how long servers keep idle connections open, as far as is known
	contentionFactor float64 // fraction by which each concurrent request raises a latency
	contentionFit    regressionSums
}

// backoff records until when a sidecar that did not answer is skipped, and how long the last backoff was.
type backoff struct {
	until  Micros
	length Micros
}

// zoneStats holds decaying sums over recent answers of a zone's servers that are not ejected.
type zoneStats struct {
	latency    float64
	loadedWork float64 // work times the slowdown by the requests in flight beside it
	work       float64
	answers    float64
	basePace   float64 // latency per unit of work at a server without other requests
	pace       float64 // latency per unit of work
}

// add adds one answer.
func (z *zoneStats) add(latency, loadedWork, work float64) {
	z.latency += latency
	z.loadedWork += loadedWork
	z.work += work
	z.answers++
}

// schedule runs a function at a later time.
func (b *Balancer) schedule(at Micros, do func()) {
	b.timers.Schedule(max(at, b.now+1), do)
	b.requestWake()
}

// requestWake requests a wake-up at the earliest timer, unless one is already requested for that time or before.
func (b *Balancer) requestWake() {
	first, any := b.timers.Next()
	if any && (b.wakeAt == 0 || first < b.wakeAt) {
		b.wakeAt = first
		b.ports.Wake(max(first-b.now, 1), timerToken)
	}
}
