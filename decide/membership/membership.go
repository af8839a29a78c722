// Package membership decides who is there: which sidecars live, which are suspected, cut off, dead or gone. It does no
// I/O and knows no clock: messages and times come in; what to send, and what changed, goes out through Ports.
//
// The ground is SWIM (probes in a shuffled round, probes through others, news carried on probes, refutation by incarnation)
// with Lifeguard's additions (doubt of oneself, suspicion that independent words shorten, the suspect is told). What is
// ours: a beat beside the incarnation, so that others may vouch for one who can't hear that it is accused; cuts of one
// direction as a state of their own; a clock that stands still when this member did. docs/membership.md says why.
package membership

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"

	"ledgespread/brain/due"
)

// Micros is a point in time or a span, in whole microseconds of a monotonic clock.
type Micros int64

// The kinds of id. None tells anything but sameness, or order within one name.
type (
	Name        string // of a member, for as long as it is configured so
	Address     string // bytes, as the network has them
	Life        uint32 // one process of a member
	Incarnation uint32 // a member's word about itself; a higher one counts over a lower one
	Beat        uint32 // what a member counts up while it runs, within its incarnation
	round       uint32 // one probe
)

// State is what is held of a member.
type State uint8

const (
	Alive State = iota + 1
	Suspect
	Dead
	Left
)

func (s State) String() string { return [...]string{"unknown", "alive", "suspect", "dead", "left"}[s] }

// Way is what is known of the way to a member that lives: which of the two does not hear the other.
type Way uint8

const (
	Deaf Way = 1 << iota // it doesn't hear this member
	Mute                 // this member doesn't hear it
)

func (w Way) String() string {
	return [...]string{"open", "it doesn't hear this member", "this member doesn't hear it", "neither hears the other"}[w&3]
}

// Part is where a member stands among those that it knew.
type Part uint8

const (
	Greater Part = iota + 1
	Lesser
	Alone
)

func (p Part) String() string { return [...]string{"", "greater", "lesser", "alone"}[p] }

// About is what a member tells of itself.
type About struct {
	Name          Name
	Address       Address // where it hears membership's messages
	Notes         Address // where it hears the module's; empty: nowhere
	Zone, Version string
	Life          Life
	Number        uint16 // among the deployment's sidecars
}

// Terms are what is set.
type Terms struct {
	Group    string // others are passed over
	Every    Micros // between two probes
	Exchange Micros // between two full exchanges, in the mean
	Forget   Micros // the dead are kept for so long
	Linger   Micros // what a member that left may still have under way: its longest client timeout
	Senders  int    // never fewer are counted as senders
	Most     int    // members that are kept
	Unguard  string // a guard that is off, for a proof that has to fail: see Guards
}

// Guards are what Terms.Unguard may name. The program never does.
var Guards = []string{"no-helpers", "no-standstill", "no-refutation", "no-holding", "cut-is-death", "old-incarnation", "no-linger"}

// Change is one that is told.
type Change struct {
	Name     Name
	From, To State // From 0: it was not known
	Way      Way   // now
	Why      string
	By       Name // whose word it was
}

// Ports is all that a Node can do to the world. Calls must not call back into the node.
type Ports interface {
	Send(to Name, at Address, message []byte) // one datagram, which may be lost; to is empty where only the address is known
	Exchange(with Name, at Address)           // a full exchange over a connection: Table goes there, theirs comes to Merge
	Changed(Change)
	Stands(Part)                        // this member's own part changed
	Contested(at Address, away bool)    // another process has this member's name; away: this one gives way to it
	Stood(span Micros, asked bool)      // this member stood still
	Refused(kind string, about Address) // a message was passed over
}

// Longest is how many bytes a datagram has at the most.
const Longest = 256

// What holds whatever is set; spans are in probes.
const (
	longest     = Longest
	repeat      = 0.3  // part of a probe's time after which it is sent once more
	others      = 0.6  // and after which others are asked
	helpers     = 3    // that are asked
	confirmers  = 3    // words beyond the first that shorten a suspicion fully
	leastSpan   = 2.5  // a suspicion's, and half a probe more for each doubling of the members
	mostSpan    = 2.0  // times the least, without a second word
	wary        = 3    // the most that own slowness stretches probes by, beyond once
	holdMost    = 3    // doublings of a suspicion's span for one that came back from death
	holdFor     = 80.0 // probes after which one of these doublings is taken back
	freshFor    = 2.5  // a direct word is fresh for so long
	deafAfter   = 6.0  // nothing heard from anybody for so long: this member accuses nobody
	vouchFor    = 8.0  // one that others vouched for is not suspected anew for so long
	cutAfter    = 8    // probes in a row that show a cut until it is told
	watchAtOnce = 4    // members that are watched are probed so many at a time, beside the round
	tellAtOnce  = 16   // members told directly that they are held for dead, between two probes
	remindAfter = 1.5  // a suspicion that lasts is told again after so long
	remindOften = 3    // in so many messages
	checkers    = 100  // members that look for themselves where one is suspected
	spreadOften = 3.0  // times the logarithm of the members that one piece of news is sent
	newsTo      = 2    // members that news are sent to, between two probes
	exchangers  = 8.0  // members that make a full exchange where one came back from death
	lossy       = 0.3  // share of first tries lost from which several probes in a row make a suspicion
	lossMemory  = 32.0 // probes in which what was lost fades
	contestFor  = 3    // tries to reach another process of this name
	stillAfter  = 0.5  // a turn that comes so late: this member stood still
	newsAfter   = 2.0  // for so long: it asks for news
	jumpMost    = 1 << 20
)

// New starts a member. It tells nothing until Join.
func New(now Micros, me About, t Terms, seed uint64, out Ports) *Node {
	n := &Node{out: out, terms: t, seed: seed, real: now, now: now, begun: now, heardAny: now, due: due.New[Micros](), part: Alone,
		members: map[Name]*entry{}, probes: map[round]*probe{}, asked: map[round]asking{}, partSince: now}
	h := fnv.New32a()
	h.Write([]byte(t.Group))
	n.group = h.Sum32()
	n.self = &entry{about: &me, life: me.Life, inc: 1, state: Alive}
	n.due.Put(now+n.scatter(t.Every), n.step)
	return n
}

// Node is one member's view of all.
type Node struct {
	out                   Ports
	terms                 Terms
	group                 uint32
	seed, drawn           uint64
	real, now, stood      Micros // the clock; without the time this member stood still; that time
	begun                 Micros
	due                   *due.Times[Micros] // by the clock without standstills
	self                  *entry
	members               map[Name]*entry
	ring                  []*entry // those that live, as they are probed; turn is the next
	turn                  int
	lost                  []*entry // dead or left, not forgotten
	watched               []*entry
	fresh, news           []*entry // what is to be told: not told yet, told before
	probes                map[round]*probe
	asked                 map[round]asking
	rounds                round
	wariness              int
	missing               float64 // share of direct probes lost lately
	heardAny, exchangedAt Micros
	excused, namesakeAt   Micros
	mistaken, stranger    *entry   // while a message is heard: its sender, if it does not know how it is held, or whom it asked
	amends                []*entry // while a message is heard: what its sender accused wrongly
	tells                 int      // left until the next probe
	seeds                 []Address
	seedWait, seedAt      Micros
	contest               *contest
	gaveWay               int // times in a row
	part                  Part
	partSince             Micros
	left                  bool
	rides                 func(room int) []byte // nil: nothing does
	rode                  func(from Name, at Address, word []byte)
}

// entry is a member as this one holds it. It is small: there are as many as members squared.
type entry struct {
	about  *About
	more   *more // what few have
	heard  Micros
	since  Micros // its state, by the real clock
	life   Life
	inc    Incarnation
	beat   Beat
	trip   uint32 // microseconds there and back, 0: not known
	state  State
	way    Way
	spread uint8
	queued bool
}

// more is what is kept of a member that is in some trouble, or was.
type more struct {
	doubt        *doubt
	by           Name // whose word made the state
	vouched      Micros
	cleared      Micros // of a suspicion, by what was heard since
	deaf, mute   int    // probes in a row that show it
	misses       int    // that did not come back in time
	watched      bool
	helper       Name // that reached it last
	holds        int
	heldAt, told Micros
	leaving      bool // others say that it left
	leavingBeat  Beat
	died         Micros
	stays        bool // it died when this member was in no greater part: it may still send
}

// doubt is a suspicion.
type doubt struct {
	beat     Beat
	since    Micros
	accusers []Name
	until    Micros
}

type probe struct {
	e            *entry
	sent         Micros
	trip, done   bool // answered by itself; by anybody
	prompt       bool // at the first try
	tries        int
	heardMe      bool
	asked, nacks int
	check        bool
	doubt        *doubt // under which it was when it was asked
}

// asking is a probe that this member makes for another.
type asking struct {
	by   Name
	at   Address
	no   round
	done bool
}

type contest struct {
	at    Address
	life  Life
	inc   Incarnation
	tries int
}

// Due is when Tick is to be called.
func (n *Node) Due() Micros {
	at, _ := n.due.First()
	return at + n.stood
}

// Tick does what is due.
func (n *Node) Tick(now Micros) {
	n.begin(now)
	n.due.Lapse(n.now)
}

// begin takes the time. Guards against accusing others of what this member missed while it did not run itself: the clock
// by which others are judged stands still meanwhile, and what is due has another chance after the mail that waits.
func (n *Node) begin(now Micros) {
	n.real = max(n.real, now)
	if at, ok := n.due.First(); ok && n.terms.Unguard != "no-standstill" {
		if late := n.real - n.stood - at; late > n.probesLong(stillAfter) {
			if n.stood += late; at != n.excused { // once: what is late again and again must come about all the same
				n.excused = at
				n.stood += n.terms.Every
			}
			n.wariness = min(n.wariness+1, wary)
			ask := late > n.probesLong(newsAfter)
			if n.out.Stood(late, ask); ask {
				n.now = n.real - n.stood
				n.askNews()
			}
		}
	}
	n.now = n.real - n.stood
}

// askNews has others tell what happened meanwhile.
func (n *Node) askNews() {
	for _, e := range n.some(helpers, nil) {
		n.ping(e, &probe{e: e, sent: n.now, check: true})
	}
	n.exchange(n.some(1, nil), true)
}

// probesLong is the time that so many probes take.
func (n *Node) probesLong(many float64) Micros { return Micros(many * float64(n.terms.Every)) }

// scatter is about a span, by chance.
func (n *Node) scatter(span Micros) Micros { return Micros(float64(span) * (0.9 + 0.2*n.chance())) }

// chance draws a number from 0 up to 1 out of the seed and a counter.
func (n *Node) chance() float64 {
	n.drawn++
	return Draw(n.seed, n.drawn)
}

// Draw is a number from 0 up to 1 that a seed and a counter give.
func Draw(seed, count uint64) float64 { return float64(Mix(seed, count)>>11) / (1 << 53) }

// Mix is the 64 bits under it.
func Mix(seed, count uint64) uint64 {
	var in [16]byte
	binary.BigEndian.PutUint64(in[:], seed)
	binary.BigEndian.PutUint64(in[8:], count)
	h := fnv.New64a()
	h.Write(in[:])
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// below draws a whole number under most.
func (n *Node) below(most int) int { return int(n.chance() * float64(most)) }

// doublings is the logarithm of the members that live, this one too.
func (n *Node) doublings() float64 { return math.Log2(float64(len(n.ring) + 1)) }

// least is the shortest span of a suspicion of a member.
func (n *Node) least(e *entry) Micros {
	span := n.probesLong(leastSpan + n.doublings()/2)
	if e.more != nil && n.terms.Unguard != "no-holding" {
		span <<= e.more.holds
	}
	return span
}

// step is one beat of this member: a probe, and what goes with it.
func (n *Node) step() {
	n.due.Put(n.now+n.scatter(n.terms.Every), n.step)
	if n.left || n.contest != nil {
		return
	}
	n.self.beat++
	n.tells = tellAtOnce
	if e := n.next(); e != nil {
		n.probe(e, false, false)
	}
	for range min(watchAtOnce, len(n.watched)) {
		e := n.watched[0]
		n.watched = append(n.watched[1:], e)
		n.probe(e, true, false)
	}
	if len(n.lost) > 0 { // the dead are asked now and then, or no split would ever heal
		if e := n.lost[n.below(len(n.lost))]; e.state == Dead {
			n.ping(e, &probe{e: e, sent: n.now, check: true})
		}
	}
	n.seek()
	if len(n.fresh)+len(n.news) > 0 {
		for _, e := range n.some(newsTo, nil) {
			n.say(e.about.Name, e.about.Address, kindNews, nil, e)
		}
	}
	if b := n.self.beat; n.exchangedAt == 0 || b == 4 || b == 16 || b == 64 { // fresh: not all are known yet
		n.exchange(n.some(1, nil), true)
	}
	if n.terms.Exchange > 0 && n.now-n.exchangedAt > n.terms.Exchange/2 && n.chance()*float64(n.terms.Exchange)/2 < float64(n.terms.Every) {
		n.exchange(n.some(1, nil), true)
	}
	if n.self.beat%16 == 0 {
		n.forget()
	}
	n.stand()
}

// seek asks seeds for others, at once and often where none is known, and now and then later: two parts that never met, or
// forgot each other, find together so.
func (n *Node) seek() {
	if len(n.seeds) == 0 || n.now < n.seedAt {
		return
	}
	n.seedWait = min(max(2*n.seedWait, n.terms.Every), 40*n.terms.Every)
	if len(n.ring) > 0 {
		n.seedWait = 40 * n.terms.Every
	}
	n.seedAt = n.now + Micros(float64(n.seedWait)*(0.5+n.chance()))
	n.knock(n.seeds[n.below(len(n.seeds))])
}

// knock asks whoever is at an address.
func (n *Node) knock(at Address) {
	n.rounds++
	n.say("", at, kindPing, pingBody(n.rounds, "", ""), nil)
}

// Join tells where others may be found.
func (n *Node) Join(now Micros, seeds []Address) {
	n.begin(now)
	n.seeds = append(n.seeds, seeds...)
	for _, at := range n.seeds {
		n.knock(at)
	}
	n.seedAt = n.now + n.terms.Every
}

// Leave says that this member goes, and has it do nothing more.
func (n *Node) Leave(now Micros) {
	n.begin(now)
	if n.left {
		return
	}
	n.self.state, n.left = Left, true
	for _, e := range n.some(2*helpers+2, nil) {
		n.say(e.about.Name, e.about.Address, kindNews, nil, e)
	}
}

// next is the next to be probed: all in turn, in an order that chance gives anew each time round.
func (n *Node) next() *entry {
	if len(n.ring) == 0 {
		return nil
	}
	if n.turn >= len(n.ring) {
		n.turn = 0
		for i := len(n.ring) - 1; i > 0; i-- {
			j := n.below(i + 1)
			n.ring[i], n.ring[j] = n.ring[j], n.ring[i]
		}
	}
	n.turn++
	return n.ring[n.turn-1]
}

// some are members that live, by chance, but for one.
func (n *Node) some(most int, but *entry) (out []*entry) {
	if len(n.ring) == 0 {
		return nil
	}
	for tries := 0; len(out) < most && tries < 4*most; tries++ {
		e := n.ring[n.below(len(n.ring))]
		fine := e != but
		for _, had := range out {
			fine = fine && had != e
		}
		if fine {
			out = append(out, e)
		}
	}
	return out
}

// exchange has the whole table go to one of these. No more often than every fourth probe.
func (n *Node) exchange(with []*entry, soon bool) {
	if len(with) == 0 || !soon && n.now-n.exchangedAt < n.probesLong(4) {
		return
	}
	n.exchangedAt = n.now
	n.out.Exchange(with[0].about.Name, with[0].about.Address)
}

// isDeaf tells whether this member hears nobody. Guards against one that is cut off, or whose network failed, and then
// accuses all the others.
func (n *Node) isDeaf() bool { return n.now-n.heardAny > n.probesLong(deafAfter) }

// stand reckons the part in which this member is.
func (n *Node) stand() {
	all, living := 1+len(n.ring), 1+len(n.ring)
	for _, e := range n.lost {
		if e.state == Dead {
			all++
		}
	}
	part := Greater
	switch {
	case living == 1 || n.isDeaf():
		part = Alone
	case 2*living <= all:
		part = Lesser
	}
	if part != n.part {
		n.part, n.partSince = part, n.real
		n.out.Stands(part)
	}
}

// forget lets go of the dead and those that left, in time. Guards against a table that grows for ever; one that died out
// of sight of the greater part stays, since it may be on the far side of a split, and send.
func (n *Node) forget() {
	kept := n.lost[:0]
	for _, e := range n.lost {
		old := n.real-e.since > n.terms.Forget && n.real-e.since > n.terms.Linger
		if old && !(e.state == Dead && e.more != nil && e.more.stays) {
			delete(n.members, e.about.Name)
			continue
		}
		kept = append(kept, e)
	}
	clear(n.lost[len(kept):])
	n.lost = kept
	for _, e := range n.ring {
		if m := e.more; m != nil && m.holds > 0 && n.now-m.heldAt > n.probesLong(holdFor) {
			m.holds--
			m.heldAt = n.now
		}
	}
}

// Part is where this member stands, and since when.
func (n *Node) Part() (Part, Micros) { return n.part, n.partSince }

// Lingers hears of another longest client timeout. A shorter one doesn't count: what a member that left has under way may be older.
func (n *Node) Lingers(longest Micros) { n.terms.Linger = max(n.terms.Linger, longest) }

// Senders is among how many a budget for all is to be shared: at once more where more are heard of, and fewer only when
// those that are gone can't be sending any more.
func (n *Node) Senders() int {
	all := 1 + len(n.ring)
	for _, e := range n.lost {
		if e.state == Dead || n.real-e.since < n.terms.Linger {
			all++
		}
	}
	if n.terms.Unguard == "no-linger" {
		return 1 + len(n.ring)
	}
	return max(all, n.terms.Senders)
}

// Member is a line of the table.
type Member struct {
	About
	State       State
	Way         Way
	Since, Trip Micros // by the clock; 0: not known
	By          Name   // whose word made the state
	Incarnation Incarnation
	Self        bool
	Holds       int
}

// others are all that are held, those that live first.
func (n *Node) others() []*entry { return slices.Concat(n.ring, n.lost) }

// Each hands out the table, this member first, then those that live.
func (n *Node) Each(line func(Member)) {
	line(Member{About: *n.self.about, State: n.self.state, Since: n.begun, By: n.self.about.Name, Incarnation: n.self.inc, Self: true})
	for _, e := range n.others() {
		m := Member{About: *e.about, State: e.state, Way: e.way, Since: e.since, Trip: Micros(e.trip), Incarnation: e.inc}
		m.Life = e.life
		if e.more != nil {
			m.By, m.Holds = e.more.by, e.more.holds
		}
		line(m)
	}
}
