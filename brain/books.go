package brain

// What a sidecar keeps in mind: types, the look-up of settings, chance and the due times. No decisions.

import (
	"encoding/binary"
	"fmt"
	"hash"

	"github.com/google/btree"
)

// prefix is a path prefix as the site has it, and what its visits were seen to take.
type prefix struct {
	target, timeout, window Micros
	value, late             float64
	effect, group           string
	firstLeft               Micros  // how long clients wait for a first try
	seen, mean              float64 // answers seen; their mean latency, where visits carry no hint
}

// realm is a tenant: its share, what this sidecar lately took in for it, what all did as a ledger last
// told, and what those that told this sidecar did.
type realm struct{ quota, used, total, kept float64 }

// heard is what another sidecar told last, where this one keeps a ledger.
type heard struct {
	at   Micros
	used []float64
}

// backend is a server as this sidecar knows it.
type backend struct {
	id        Backend
	zone      Zone
	cell      Cell
	standing  Standing
	rating    float64
	started   Micros // 0: long ago
	coldSince Micros // when its warming began; 0: warm
	fresh     bool   // no outcome since it was new
	listed    bool   // named by the list that is being read

	mark        uint64  // its id, hashed
	pace, score float64 // answer time per unit of work that a visit would see, as just reckoned; with the way
	held        int
	away        float64  // visits that other sidecars told they have out there, fading
	asking      []*visit // wait to hear of it
	idle        []Micros // when each idle connection closes
	answered    Micros   // last sign of life
	mute        int      // fetches found waiting too long since then
	took        float64  // latency of lately delivered visits, fading
	work        float64  // their work times the visits held, fading alike
	carried     float64  // their work alone
	done        float64  // their work alone, fading fast
	credit      float64  // work that may still be sent while cold
	good        float64  // delivered lately
	bad         float64  // errors lately
	outUntil    Micros   // sits out; 0: in service
	outSpan     Micros   // how long it sat out last
	down        bool     // it sits out for want of a connection: probed before a visit is risked
	probing     bool     // a probe of it is out
}

// fetch is one backend fetch. Its step's closure is handed the result.
type fetch struct {
	no     FetchNo
	be     *backend
	sent   Micros
	held   float64 // visits it met there, with itself
	reused bool
	told   bool // its server's desk knows of it
	done   bool
	ran    bool // may have run: out, or ended without proof that it never ran
	then   func(*fetch, Result)
}

// visit is an accepted visit that is not yet over.
type visit struct {
	id      VisitID
	on      *prefix
	key     Key
	work    float64 // expected, in core time or, without a hint, in its path prefix's mean latency
	wanted  Micros  // after this an answer is worth nothing, or little
	until   Micros  // the client quits
	value   float64
	beyond  bool // lies beyond its tenant's share
	fetches []*fetch
	out     int
	charged int
	freed   bool

	asked   []*backend // servers it waits to hear of
	missing int        // of these, not yet heard of
	settled bool       // it waits no longer
	offer   *backend   // the best of them
	offered float64    // its answer time per unit of work
	meets   float64    // visits held there
	ended   bool
}

// due is something to do at a time. All due times but the beat's are in one tree.
type due struct {
	at  Micros
	seq uint64
	do  func()
}

func (d due) before(e due) bool { return d.at < e.at || d.at == e.at && d.seq < e.seq }

const (
	beatToken Token = iota // the one periodic timer
	dueToken               // something in the tree is due
)

// Balancer decides for one sidecar.
type Balancer struct {
	out   Ports
	site  Site
	now   Micros
	begun Micros // when it started
	seed  uint64
	drawn uint64
	hash  hash.Hash64

	myZone   Zone
	prefixes []*prefix
	realms   []realm
	peers    []heard // by number
	me       Peer
	totalled Micros // when a ledger last told the totals
	beats    int
	topValue float64
	known    map[Backend]*backend
	row      []*backend // all known, by id
	visits   map[VisitID]*visit
	due      *btree.BTreeG[due]
	seq      uint64
	armed    Micros // earliest wake-up asked for the tree; 0: none

	news       News
	asked      Micros // last call of the list; 0: answered
	askWait    Micros
	spent      float64         // tokens missing from the bucket
	empty      bool            // the bucket denied the last retry
	firsts     float64         // first tries of the last ten seconds, fading
	keys       map[Key]float64 // how often each was lately asked for, fading like firsts
	came       float64         // visits that make the means
	meanWork   float64         // of the visits that come
	meanTarget float64
	centres    []centre // by data centre
	seen       float64  // answers seen
	level      float64  // answer time per unit of work
	crowd      float64  // the same, not mixed with a prior
	calm       float64  // the same when the fleet is calm
	size       float64  // mean rating of the servers in use
	inUse      float64  // servers in service
	tells      float64  // share of probes before sending that came back late or failed
	carry      float64  // work lately carried by a warm server, per rating
	scratch    []*backend
	weights    []float64
}

// centre is what was lately seen of a data centre's servers in service.
type centre struct {
	took, work, plain float64 // their sums
	seen              float64 // answers in them
	pace, level       float64 // answer time per unit of work and visit held, and per unit of work
}

func (c *centre) add(took, work, plain float64) {
	c.took, c.work, c.plain, c.seen = c.took+took, c.work+work, c.plain+plain, c.seen+1
}

func (c *centre) fade(keep float64) {
	c.took, c.work, c.plain, c.seen = c.took*keep, c.work*keep, c.plain*keep, c.seen*keep
}

func (c *centre) reckon(prior, usual float64) {
	c.pace, c.level = blend(c.took, c.work, prior, usual), blend(c.took, c.plain, prior, usual)
}

// blend is an answer time per unit of work, mixed with so much work's worth of the usual one.
func blend(took, work, prior, usual float64) float64 {
	if work+prior <= 0 {
		return usual
	}
	return (took + prior*usual) / (work + prior)
}

func (b *Balancer) num(name string) float64 {
	f, ok := b.site[name].(float64)
	if !ok {
		panic(fmt.Errorf("settings lack the figure %s", name))
	}
	return f
}
func (b *Balancer) maybe(name string) float64 { f, _ := b.site[name].(float64); return f }
func (b *Balancer) allows(name string) bool   { ok, _ := b.site[name].(bool); return ok }
func (b *Balancer) span(name string) Micros   { return Micros(b.num(name)) }
func (b *Balancer) word(name string) string {
	s, ok := b.site[name].(string)
	if !ok {
		panic(fmt.Errorf("settings lack the word %s", name))
	}
	return s
}

// chance draws a number from 0 up to 1 out of the seed and a counter.
func (b *Balancer) chance() float64 {
	b.drawn++
	return float64(b.mix(b.seed, b.drawn)>>11) / (1 << 53)
}

func (b *Balancer) mix(a, c uint64) uint64 {
	var in [16]byte
	binary.BigEndian.PutUint64(in[:], a)
	binary.BigEndian.PutUint64(in[8:], c)
	b.hash.Reset()
	b.hash.Write(in[:])
	return scramble(b.hash.Sum64())
}

// scramble spreads a number's bits: FNV leaves the high bits of near counters alike.
func scramble(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// at puts something among the due times.
func (b *Balancer) at(t Micros, do func()) {
	b.seq++
	b.due.ReplaceOrInsert(due{max(t, b.now+1), b.seq, do})
	b.arm()
}

func (b *Balancer) arm() {
	if d, ok := b.due.Min(); ok && (b.armed == 0 || d.at < b.armed) {
		b.armed = d.at
		b.out.Wake(max(b.armed-b.now, 1), dueToken)
	}
}
