// Package membership decides who is there: which sidecars live, which are suspected, cut off, dead or gone. It does no
// I/O and knows no clock: messages and times come in; what to send, and what changed, goes out through Ports.
//
// The ground is SWIM (probes in a shuffled round, probes through others, news carried on probes, refutation by incarnation)
// with Lifeguard's additions (doubt of oneself, suspicion that independent words shorten, the suspect is told). What is
// ours: a beat beside the incarnation, so that others may vouch for one who can't hear that it is accused; cuts of one
// direction as a state of their own; a clock that stands still when this member did. docs/membership.md says why.
package membership

import (
	"hash/fnv"
	"math"

	"ledgespread/brain/due"
)

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

// begin takes the time. This prevents accusing others of what this member missed while it did not run itself: the clock
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

// isDeaf tells whether this member hears nobody. This prevents one that is cut off, or whose network failed, and then
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

// forget lets go of the dead and those that left, in time. This prevents a table that grows for ever; one that died out
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
