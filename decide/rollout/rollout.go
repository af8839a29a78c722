// Package rollout decides which configuration holds: which number this member wants, holds and puts in force, whether it
// is among the few who try it first, whether those found it worse, and when it holds everywhere. It does no I/O and knows
// no clock: words of others, contents that came and times go in; what to fetch, to put in force and to tell goes out
// through Ports. What members say of it rides on membership's messages; docs/rollout.md says why it is so.
//
// Numbers grow and never fall. Of two contents with one number neither is taken. A member takes content only whole, read
// and kept; the few that are drawn by number and name say that they try it before they do, and what came of it; the others
// take it once enough of them found it no worse, and never after a word that it is worse or refused.
package rollout

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strconv"

	"ledgespread/brain/due"
	"ledgespread/decide/membership"
)

// What holds whatever is set; spans are in probes.
const (
	heardBy    = 0.2 // between the word that one tries it, and trying;
	heardAgain = 4.0 // for the second time, when others may know more by now
	patience   = 6.0 // a drawn member that said nothing for so long is passed over for the next
	wavesMost  = 16
	pushAfter  = 0.1 // between something new and the messages that carry it,
	pushGap    = 0.4 // and between two such
	pushTo     = 2   // members, each time
	pushOften  = 3   // once more after each probe
	again      = 0.4 // between two tries to fetch, in the mean
	hedge      = 1.5 // a content that takes so long is asked for elsewhere too,
	hedges     = 3   // of so many at once
	sources    = 8   // that are remembered
	servesMost = 2   // copies handed out in four probes
	servesIn   = 4.0
	spare      = 4 // one of so many may stay silent; so many that are idle count as one that tried it
	looks      = 8 // at the figures, in the time of a watch
	reportsMax = 1024
	triesMost  = 2
)

// Node is one member's part.
type Node struct {
	out         Ports
	terms       Terms
	me          Name
	seed, drawn uint64
	now         Micros
	due         *due.Times[Micros]
	cur         about // the newest that it speaks of
	force       Version
	want        want
	applying    Version
	live        Version // what was taken over last, on trial or in force
	tries       int     // of the newest
	kept        Share   // before an earlier life's trial of it
	trial       *trial
	served      []Micros
	samples     []sample
	last        Figures
	pushing     bool
	pushed      Micros
	pushes      int
}

// about is the newest configuration as this member knows it.
type about struct {
	Version
	path      Path
	held      bool   // its content is here, read and kept
	own       bool   // it was published here
	contested bool   // another content has the same number
	other     Digest // that one's
	why       string // it was refused here
	at        Micros // since when it is spoken of
	stage     Stage
	reports   map[Rank]Verdict
	order     []Rank // of the reports, as they are said in turn
}

// want is a newer one that others hold.
type want struct {
	Version
	as    about // as those who hold it tell
	from  []source
	open  int // connections on which it is being fetched
	asked Micros
	wait  bool
}

type source struct {
	name Name
	at   Address
}

// New starts a member's part, with what it kept.
func New(now Micros, me Name, t Terms, kept Kept, seed uint64, out Ports) *Node {
	n := &Node{out: out, terms: t, me: me, seed: seed, now: now, due: due.New[Micros](), force: kept.InForce, live: kept.InForce}
	if newest := kept.Newest; newest.Number > n.force.Number || newest == n.force {
		n.cur = about{Version: newest, path: kept.Path, held: newest.Number != 0, at: now, reports: map[Rank]Verdict{}}
	} else {
		n.cur = about{Version: n.force, held: true, at: now, reports: map[Rank]Verdict{}}
	}
	if kept.Tries > 0 && n.cur.Version == kept.Newest && n.cur.Version != n.force {
		n.resume(kept)
	}
	n.step()
	return n
}

// resume goes on with a trial in which this member's process ended: once more under what was in force before, for that may have been chance,
// but no third time. This prevents a configuration that ends those who take it, again and again.
func (n *Node) resume(kept Kept) {
	if n.tries, n.kept = kept.Tries, kept.Before; n.tries >= triesMost {
		n.refuse(n.cur.Version, "the sidecar ended "+strconv.Itoa(n.tries)+" times while it tried it")
		return
	}
	n.report(n.mine(), Trial)
	n.try(kept.Before)
}

// Due is when Tick is to be called.
func (n *Node) Due() Micros {
	at, _ := n.due.First()
	return at
}

// Tick does what is due.
func (n *Node) Tick(now Micros) {
	n.begin(now)
	n.due.Lapse(n.now)
}

func (n *Node) begin(now Micros) { n.now = max(n.now, now) }

func (n *Node) probes(many float64) Micros { return Micros(many * float64(n.terms.Every)) }

func (n *Node) chance() float64 {
	n.drawn++
	return membership.Draw(n.seed^0x726f6c6c6f7574, n.drawn)
}

// scatter is about a span, by chance. This prevents a fleet that asks one member at one time.
func (n *Node) scatter(span Micros) Micros { return Micros(float64(span) * (0.5 + n.chance())) }

// step is what a member does with each probe.
func (n *Node) step() {
	n.due.Put(n.now+n.probes(1), n.step)
	n.sample()
	if n.pushes > 0 {
		n.pushes--
		n.out.Spread(pushTo)
	}
	n.fetch()
	n.weigh()
}

// news has what is new go out soon, and a few times more.
func (n *Node) news() {
	n.pushes = pushOften
	if n.pushing {
		return
	}
	n.pushing = true
	n.due.Put(max(n.now+n.scatter(n.probes(pushAfter)), n.pushed+n.probes(pushGap)), func() {
		n.pushing, n.pushed = false, n.now
		n.out.Spread(pushTo)
	})
}

func (n *Node) happened(what string, v Version, by Name, why string) {
	n.out.Happened(Event{What: what, Version: v, By: by, Why: why, Other: n.cur.other})
}

// rank is a member's for a number: who tries it first differs from number to number, and all reckon the same.
func rank(no Number, name Name) Rank {
	h := fnv.New64a()
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(no)))
	h.Write([]byte(name))
	return Rank(membership.Mix(h.Sum64(), uint64(no)) >> 32)
}

func (n *Node) mine() Rank { return rank(n.cur.Number, n.me) }

// Published takes a configuration that staff hand over here; its content is read and kept. An error says why it is not
// taken; the number is then still free, or another content's.
func (n *Node) Published(now Micros, v Version, p Path) error {
	n.begin(now)
	if err := n.May(v); err != nil || v == n.cur.Version {
		return err
	}
	n.hold(v, p, n.me)
	n.cur.own = true
	n.weigh()
	n.first(func(name Name) { n.out.Tell(name) })
	return nil
}

// May tells whether a version may be published here now.
func (n *Node) May(v Version) error {
	switch known := n.Next() - 1; {
	case v.Number == 0:
		return errNumber
	case v == n.cur.Version && n.cur.held: // said twice
	case v == n.want.Version: // another control machine was faster
	case v.Number <= known:
		return &Behind{Number: v.Number, Known: known}
	}
	return nil
}

// Next is the lowest number that is free, as far as is known here.
func (n *Node) Next() Number { return max(n.cur.Number, n.want.Number) + 1 }

// hold makes a version the newest that this member speaks of.
func (n *Node) hold(v Version, p Path, by Name) {
	n.cur = about{Version: v, path: p, held: true, at: n.now, reports: map[Rank]Verdict{}}
	if n.want.Version == v {
		n.cur.stage, n.cur.reports, n.cur.order = n.want.as.stage, n.want.as.reports, n.want.as.order
	}
	n.trial, n.tries = nil, 0
	if n.want.Number <= v.Number {
		n.want = want{}
	}
	n.happened("held", v, by, "")
	if n.cur.stage != Spreading { // others know more already
		n.happened(n.cur.stage.String(), v, by, "")
	}
	n.news()
	n.weigh()
}

// first hands out the members that are drawn, as far as they are known by now, but this one.
func (n *Node) first(do func(Name)) {
	few, _ := n.few()
	n.out.Living(func(name Name) {
		if n.before(rank(n.cur.Number, name)) < few {
			do(name)
		}
	})
}

// few are how many try it first, and how many of these must find it no worse. Guards, by the one in four that may be missing, against a
// configuration that waits for a member which died meanwhile.
func (n *Node) few() (few, need int) {
	living := 1
	n.out.Living(func(Name) { living++ })
	few = min(max(n.cur.path.First, 1), max(living/3, 1))
	if n.terms.Unguard == "no-draw" {
		few = living
	}
	return few, few - few/spare
}

func (n *Node) alone() bool {
	alone := true
	n.out.Living(func(Name) { alone = false })
	return alone
}

// before counts the members of a lower rank that try it, or may be about to. One that said that it is idle is passed over; one that said
// nothing at all for a while is, too, those of the lowest ranks first and twice as many with each such while; one that said that it tries
// it counts even where it died since. This prevents a configuration that kills those who take it, one after the other, and
// one that all try since they hear nothing of those who were drawn.
func (n *Node) before(mine Rank) (many int) {
	few, _ := n.few()
	var lower []Rank
	count := func(r Rank) {
		if r < mine {
			lower = append(lower, r)
		}
	}
	n.out.Living(func(name Name) { count(rank(n.cur.Number, name)) })
	count(n.mine())
	passed := 0
	if waves := (n.now - n.cur.at) / n.probes(patience); waves > 0 {
		slices.Sort(lower)
		passed = few * (1<<min(waves, wavesMost) - 1)
	}
	for at, r := range lower {
		if _, said := n.cur.reports[r]; !said && at >= passed {
			many++
		}
	}
	for r, v := range n.cur.reports {
		if r < mine && v != Idle {
			many++
		}
	}
	return many
}

// among counts the members of a lower rank than this one's, whatever they said.
func (n *Node) among() (many int) {
	mine := n.mine()
	n.out.Living(func(name Name) {
		if rank(n.cur.Number, name) < mine {
			many++
		}
	})
	return many
}

// weigh decides what is to be done about the newest, with all that is known now.
func (n *Node) weigh() {
	c := &n.cur
	tally := map[Verdict]int{}
	for _, v := range c.reports {
		tally[v]++
	}
	if tally[Worse]+tally[Refused] > 0 {
		n.stop("")
	}
	if c.Number == 0 || c.contested || c.stage != Spreading {
		n.take()
		return
	}
	if n.alone() && !c.own { // the others may have found it worse: one that can't be reached goes on with what it has
		return
	}
	few, need := n.few()
	silent := 0
	n.out.Living(func(name Name) {
		if _, said := c.reports[rank(c.Number, name)]; !said {
			silent++
		}
	})
	_, said := c.reports[n.mine()]
	if !said {
		silent++
	}
	// Where few take part in this at all, those that do are enough, once all others have had their time.
	done := tally[Fine] + tally[Unsure]
	late := n.now-c.at > n.probes(3*patience)+c.path.Watch && done < few
	told := tally[Trial] == 0 && done+tally[Idle] > 0
	if done+tally[Idle]/spare >= need || told && (silent == 0 || late) || n.terms.Unguard == "no-watch" {
		c.stage = Everywhere
		n.happened("everywhere", c.Version, "", "")
		n.news()
		n.take()
		return
	}
	if !c.held || said || !n.over(c.Number, n.force.Number) {
		return
	}
	if n.idle() {
		if n.among() < spare*few && n.report(n.mine(), Idle) {
			n.happened("idle", c.Version, n.me, "")
			n.weigh()
		}
		return
	}
	if n.before(n.mine()) < few && (tally[Trial]+done < few || n.terms.Unguard == "no-draw") {
		if n.report(n.mine(), Trial) { // in the books here; it is tried once it is kept and said
			n.try(n.past())
		}
	}
}

// report books what a member says of the newest. A worse word stays.
func (n *Node) report(r Rank, v Verdict) (fresh bool) {
	if fresh = n.cur.report(r, v); fresh {
		n.news()
	}
	return fresh
}

func (c *about) report(r Rank, v Verdict) bool {
	had := c.reports[r]
	if had >= v || had == 0 && len(c.reports) >= reportsMax {
		return false
	}
	if had == 0 {
		c.order = append(c.order, r)
	}
	c.reports[r] = v
	return true
}

// learn takes what a word says of a version that is not here yet.
func (c *about) learn(w *word) {
	c.stage = max(c.stage, w.stage)
	for _, r := range w.reports {
		c.report(r.Rank, r.Verdict)
	}
}
