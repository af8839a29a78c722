package brain

// What a sidecar keeps in mind: types and the due times. No decisions.

import (
	"hash"

	"ledgespread/brain/due"
)

// prefix is a path prefix as the settings have it, with what they allow its visits, and what these took.
type prefix struct {
	name, effect                   string
	target, timeout, window        Micros
	step, comeBack, firstLeft      Micros  // of the clock; at most, in a bounce; clients wait for a first try
	inZone, inCell, cancel, copies bool    // its group's; a fetch may be called off; two may be out
	most                           int     // fetches
	value, late, seen, mean        float64 // seen: answers; mean: their latency, where visits carry no hint
}

// tenant is a tenant: its share; lately taken in here, not yet told, in all, and as told to this sidecar.
type tenant struct{ quota, used, fresh, total, kept float64 }

// backend is a server as this sidecar knows it.
type backend struct {
	id                        Backend
	mark                      uint64 // its id, hashed
	zone                      Zone
	cell                      Cell
	standing                  Standing
	started, coldSince, began Micros   // when; 0: long ago, or warm; cold since then, or was
	rating, credit            float64  // size as listed; work that may still be sent while cold
	fresh, listed             bool     // no outcome since it was new; named by the list that is being read
	held, mute                int      // ours there; of these found waiting too long since the last sign of life
	away                      float64  // visits that other sidecars told they have out there, fading
	asking                    []*visit // wait to hear of it
	idle                      []Micros // since when each connection is
	byHand                    bool     // staff took it out
	answered, left, back      Micros   // last sign of life; last listed, or missed there first; called back
	took, work, carried       float64  // of lately delivered visits: latency, work times visits held, work alone
	own, told                 float64  // of that by this sidecar; visits held by its last report
	good, bad                 float64  // delivered and failed lately
	skipUntil, voidAt, toldAt Micros   // its owner's word ends; its token does; it told last
	outUntil, outSpan         Micros   // sits out, 0: in service; how long it sat out last
	pace, score               float64  // answer time per unit of work, as a pick just reckoned it; with the way
}

// fetch is one backend fetch. Its step's closure is handed the result.
type fetch struct {
	no           FetchNo
	be           *backend
	sent         Micros
	held         float64 // visits it met there, with itself
	owner        Peer    // its server's, when it was sent: the same hears of its end, or a count would stay
	reused, told bool    // on a connection that was idle; that owner knows of it
	idled        Micros  // how long that one had stood idle
	done, ran    bool    // ended; may have run: out, or ended without proof that it never ran
	then         func(*fetch, Result)
}

// visit is an accepted visit that is not yet over.
type visit struct {
	id                     VisitID
	on                     *prefix
	work                   float64 // expected, in core time or, without a hint, its prefix's mean latency
	wanted, until, askedAt Micros  // when answers are worth nothing, or little; the client quits; it asked last
	value                  float64
	beyond, hinted, once   bool // lies beyond its tenant's share; its client told the work; has one fetch
	fetches                []*fetch
	out, charged           int
	freed, ended, settled  bool       // had its free retry; is over; waits for no more offers
	asked                  []*backend // servers it asked of
	owners                 []Peer     // and where
	missing, round         int        // of these, not yet heard of; how often it asked
	offer                  *backend   // the best of them
	offered, meets         float64    // its answer time per unit of work; visits held there
}

const (
	beatToken Token = iota // the one periodic timer
	dueToken               // something in the tree is due
)

// Balancer decides for one sidecar.
type Balancer struct {
	said
	out                         Ports
	now, begun, rampAt, armed   Micros // when the wanted ramp counts; earliest wake-up of the tree, 0: none
	seed, drawn, ledger         uint64 // ledger: how many sidecars were given up as its keeper
	hash                        hash.Hash64
	due                         *due.Times[Micros]
	beats, sidecars, unanswered int
	myZone                      Zone
	me                          Peer
	senders                     int // sidecars that may be sending, as last heard; 0: as the settings say
	known                       map[Backend]*backend
	byHand                      map[Backend]bool // staff took them out, listed or not
	row, scratch                []*backend       // all known, by id; those at hand
	visits                      map[VisitID]*visit
	news                        News
	heardList                   bool           // the list's service has told one; what it tells from now on is new
	deaf                        []deafness     // by sidecar
	down                        deafness       // of all: no message comes through
	lag, life                   Micros         // owners answer in; idle connections live
	asked, askWait, totalled    Micros         // last call of the list, 0: answered; next wait; totals
	spent, firsts               float64        // tokens missing from the bucket; first tries lately
	came, meanWork, meanTarget  float64        // visits that make the means of those that come
	meanPart, told              float64        // of a limit, by value; visits reported
	centres                     []centre       // by data centre
	level, crowd, calm          float64        // answer time per unit of work; without a prior; when calm
	size, inUse, meanHeld       float64        // of servers in service: rating, number, our visits there
	carry, dialling             float64        // work lately carried per rating; price of a new connection
	adds                        float64        // what a visit met adds to an answer, of one
	fitted                      [5]float64     // sums that tell it
	tally                       map[string]int // why visits were turned away, and how asking went
}

// deafness is until when a sidecar is passed over that answered nothing, and how long it was last.
type deafness struct{ until, span Micros }

// centre is what was lately seen of a data centre's servers in service.
type centre struct {
	took, work, plain, seen float64 // their sums, and the answers in them
	pace, level             float64 // answer time per unit of work and visit held, and per unit of work
}

func (c *centre) add(took, work, plain float64) {
	c.took, c.work, c.plain, c.seen = c.took+took, c.work+work, c.plain+plain, c.seen+1
}

// at puts something among the due times.
func (b *Balancer) at(t Micros, do func()) {
	b.due.Put(max(t, b.now+1), do)
	b.arm()
}

func (b *Balancer) arm() {
	if at, ok := b.due.First(); ok && (b.armed == 0 || at < b.armed) {
		b.armed = at
		b.out.Wake(max(at-b.now, 1), dueToken)
	}
}
