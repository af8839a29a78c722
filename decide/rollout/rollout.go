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
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strconv"

	"ledgespread/brain/due"
	"ledgespread/decide/membership"
)

type (
	Micros  = membership.Micros
	Name    = membership.Name
	Address = membership.Address
	Number  uint64   // of a configuration; 0: none
	Digest  [16]byte // the first bytes of the content's SHA-256
	Rank    uint32   // of a member for one number, by chance; the lowest try it first
)

// Version is one configuration. Two of one number should be the same.
type Version struct {
	Number Number
	Digest Digest
}

// Path is how a configuration wants to be put in force: the operator's choice, in its own head.
type Path struct {
	First int    // so many try it first; fewer where a third of the members is fewer
	Watch Micros // for so long, before the others follow
}

// Verdict is what a member that was drawn says of a configuration.
type Verdict uint8

const (
	Trial   Verdict = iota + 1 // it is about to take it, or has
	Fine                       // no worse than before
	Unsure                     // no worse that could be seen: it had too few visits to tell by
	Idle                       // it had no visits, and does not try it
	Worse                      // a smaller share of visits was delivered than before
	Refused                    // it can't be taken
)

func (v Verdict) String() string {
	return [...]string{"", "tries it", "no worse", "unsure", "idle", "worse", "refused"}[min(int(v), 6)]
}

// Stage is how far a configuration has come, as far as this member knows.
type Stage uint8

const (
	Spreading Stage = iota
	Everywhere
	Stopped
)

func (s Stage) String() string { return [...]string{"spreading", "everywhere", "stopped"}[s&3%3] }

// Terms are what is set.
type Terms struct {
	Every   Micros // between two of membership's probes; what takes time here follows from it
	Unguard string // a guard that is off, for a proof that has to fail: see Guards
}

// Guards are what Terms.Unguard may name. The program never does.
var Guards = []string{"no-draw", "no-watch", "no-contest", "falling", "no-bound"}

// Kept is what a member has on disk from an earlier life.
type Kept struct {
	InForce, Newest Version
	Path            Path // of the newest
	Tries           int  // times that the newest was begun to be tried, where it is not in force
	Before          Share
}

// Event is one that is told to staff.
type Event struct {
	What    string // see Events
	Version Version
	By      Name   // from whom it came, or who is concerned
	Why     string // for a refusal: file:line: reason
	Other   Digest // the other one of a contested number
}

// Events are the kinds there are.
var Events = []string{"held", "tries", "on_trial", "in_force", "no_worse", "unsure", "idle", "worse", "refused", "contested", "everywhere", "stopped", "unfit"}

// Ports is all that a Node can do to the world. Calls must not call back into the node.
type Ports interface {
	Fetch(from Name, at Address, v Version) // over a connection; ends with Fetched or Missed
	Try(v Version, tries int, before Share) // keep that it is tried; ends with Tried
	Apply(v Version, trial bool)            // take it over; where it is no trial, keep that it is in force; ends with Applied
	Tell(to Name)                           // a message now, with the word on it
	Spread(many int)                        // the same to so many by chance
	Living(each func(Name))                 // the other members that live
	Figures() Figures
	Happened(Event)
}

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
// but no third time. Guards against a configuration that ends those who take it, again and again.
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

// scatter is about a span, by chance. Guards against a fleet that asks one member at one time.
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
// it counts even where it died since. Guards against a configuration that kills those who take it, one after the other, and against
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

// try begins a trial: first it is kept, then told, then taken.
func (n *Node) try(before Share) {
	n.tries++
	n.kept = before
	n.out.Try(n.cur.Version, n.tries, before)
}

// Tried hears that a trial is kept, or why it can't be.
func (n *Node) Tried(now Micros, v Version, why string) {
	n.begin(now)
	if n.cur.Version != v {
		return
	}
	if why != "" {
		n.refuse(v, why)
		return
	}
	n.happened("tries", v, n.me, "")
	n.out.Spread(pushTo)
	wait := heardBy
	if n.tries > 1 {
		wait = heardAgain
	}
	n.due.Put(n.now+n.probes(wait), func() {
		if n.cur.Version == v && !n.cur.contested && n.cur.stage == Spreading {
			n.apply(true)
		}
	})
}

// take has the newest in force, once it holds everywhere.
func (n *Node) take() {
	if c := &n.cur; c.stage == Everywhere && !c.contested {
		n.apply(false)
	}
}

func (n *Node) apply(trial bool) {
	c := &n.cur
	if !c.held || n.applying.Number != 0 || !n.over(c.Number, n.force.Number) {
		return
	}
	n.applying = c.Version
	n.out.Apply(c.Version, trial)
}

// Applied hears how taking a version over ended; why is empty where it holds now.
func (n *Node) Applied(now Micros, v Version, trial bool, why string) {
	n.begin(now)
	n.applying = Version{}
	if why != "" {
		n.refuse(v, why)
		return
	}
	if n.live = v; trial {
		n.happened("on_trial", v, "", "")
		if v == n.cur.Version {
			n.watch(n.kept)
		}
	} else {
		n.force = v
		n.happened("in_force", v, "", "")
		n.news()
	}
	n.weigh()
}

// refuse books that a version can't be taken here, and tells all.
func (n *Node) refuse(v Version, why string) {
	if v.Number < n.cur.Number || v.Number == n.cur.Number && v.Digest != n.cur.Digest {
		return
	}
	if v != n.cur.Version {
		n.cur = about{Version: v, at: n.now, reports: map[Rank]Verdict{}}
		n.trial = nil
	}
	n.cur.why, n.cur.held = why, false
	n.report(n.mine(), Refused)
	n.happened("refused", v, n.me, why)
	n.stop(n.me)
}

// stop has a version go no further.
func (n *Node) stop(by Name) {
	if n.cur.stage == Stopped {
		return
	}
	n.cur.stage = Stopped
	n.happened("stopped", n.cur.Version, by, "")
	n.news()
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

// Heard takes another member's word, and tells whether it was one.
func (n *Node) Heard(now Micros, from Name, at Address, msg []byte) bool {
	n.begin(now)
	w, ok := read(msg)
	if !ok {
		return false
	}
	c := &n.cur
	switch {
	case w.Number != c.Number && !n.over(w.Number, c.Number):
	case w.Number == c.Number:
		n.same(w, from)
	case w.contested:
		n.cur = about{Version: w.Version, contested: true, other: w.other, at: n.now, reports: map[Rank]Verdict{}, stage: Stopped}
		n.trial, n.want = nil, want{}
		n.happened("contested", w.Version, from, "")
		n.news()
	case w.Number == n.want.Number && w.Digest != n.want.Digest && n.terms.Unguard != "no-contest":
		n.cur = about{Version: n.want.Version, contested: true, other: w.Digest, at: n.now, reports: map[Rank]Verdict{}, stage: Stopped}
		n.trial, n.want = nil, want{}
		n.happened("contested", n.cur.Version, from, "")
		n.news()
	case w.Number >= n.want.Number:
		if w.Number > n.want.Number {
			n.want = want{Version: w.Version, as: about{reports: map[Rank]Verdict{}}}
		}
		n.want.as.learn(w)
		if w.held {
			n.knows(source{from, at})
		}
		n.fetch()
	}
	return true
}

// same takes a word about the number that this member speaks of.
func (n *Node) same(w *word, from Name) {
	c := &n.cur
	if n.terms.Unguard == "no-contest" && w.Digest != c.Digest {
		return
	}
	if differs := w.Digest != c.Digest; (differs || w.contested) && !c.contested {
		if c.other = w.other; differs {
			c.other = w.Digest
		}
		c.contested = true
		n.trial = nil
		n.happened("contested", c.Version, from, "")
		n.news()
	}
	if c.contested {
		return
	}
	fresh := false
	for _, r := range w.reports {
		fresh = n.report(r.Rank, r.Verdict) || fresh
	}
	switch {
	case w.stage == Stopped:
		n.stop(from)
	case w.stage == Everywhere && c.stage == Spreading:
		c.stage = Everywhere
		n.happened("everywhere", c.Version, from, "")
		n.news()
	default:
		if !fresh {
			return
		}
	}
	n.weigh()
}

// over tells whether a number is above another.
func (n *Node) over(a, b Number) bool {
	return a > b || n.terms.Unguard == "falling" && a != b && a != 0
}

func (n *Node) knows(s source) {
	for _, had := range n.want.from {
		if had.name == s.name {
			return
		}
	}
	if len(n.want.from) < sources {
		n.want.from = append(n.want.from, s)
	}
}

// fetch has what is wanted come from one of those who have it, and from another where that takes long. Guards against connections that
// hang on a lossy or cut way.
func (n *Node) fetch() {
	w := &n.want
	if !n.over(w.Number, n.cur.Number) || w.wait || len(w.from) == 0 || w.open >= hedges || w.open > 0 && n.now-w.asked < n.probes(hedge) {
		return
	}
	at := int(n.chance() * float64(len(w.from)))
	s := w.from[at]
	w.from = append(w.from[:at], w.from[at+1:]...)
	w.open++
	w.asked = n.now
	n.out.Fetch(s.name, s.at, w.Version)
}

// Fetched hears that a content came, fits its digest, and was read and kept; or, with a reason, was refused.
func (n *Node) Fetched(now Micros, v Version, p Path, by Name, refused string) {
	n.begin(now)
	if v.Number == n.want.Number {
		n.want.open--
	}
	switch {
	case !n.over(v.Number, n.cur.Number):
	case refused != "":
		if n.want.Number <= v.Number {
			n.want = want{}
		}
		n.refuse(v, refused)
	default:
		n.hold(v, p, by)
	}
	n.fetch()
}

// Missed hears that a content did not come, or did not fit its digest.
func (n *Node) Missed(now Micros, v Version, from Name, unfit bool) {
	n.begin(now)
	if unfit {
		n.happened("unfit", v, from, "")
	}
	if v.Number != n.want.Number {
		n.fetch()
		return
	}
	n.want.open--
	if n.want.wait {
		return
	}
	n.want.wait = true
	n.due.Put(n.now+n.scatter(n.probes(again)), func() {
		n.want.wait = false
		n.fetch()
	})
}

// Serve tells whether this member hands a content out now. Guards against the one that all ask.
func (n *Node) Serve(now Micros, v Version) bool {
	n.begin(now)
	if v != n.cur.Version || !n.cur.held || n.cur.contested {
		return false
	}
	kept := n.served[:0]
	for _, at := range n.served {
		if n.now-at < n.probes(servesIn) {
			kept = append(kept, at)
		}
	}
	if n.served = kept; len(kept) >= servesMost && n.terms.Unguard != "no-bound" {
		return false
	}
	n.served = append(n.served, n.now)
	return true
}

// Status is what a member knows of configurations, for staff.
type Status struct {
	InForce, Newest Version
	OnTrial         bool   // the newest is taken over here, and not in force yet
	Wanted          Number // others hold it; 0: none that this member lacks
	Held, Contested bool
	Other           Digest // of the contested number
	Stage           Stage
	Why             string // it was refused here: file:line: reason
	Since           Micros // of the newest
	Path            Path
	Reports         []Report
}

// Report is what a member said of the newest; the name is empty where it is not among those that live.
type Report struct {
	Name    Name
	Rank    Rank
	Verdict Verdict
}

// Status tells it.
func (n *Node) Status() Status {
	c := &n.cur
	s := Status{OnTrial: n.live == c.Version && n.live != n.force, InForce: n.force, Newest: c.Version, Held: c.held, Contested: c.contested, Other: c.other, Stage: c.stage, Why: c.why,
		Since: c.at, Path: c.path}
	if n.want.Number > c.Number {
		s.Wanted = n.want.Number
	}
	names := map[Rank]Name{n.mine(): n.me}
	n.out.Living(func(name Name) { names[rank(c.Number, name)] = name })
	for r, v := range c.reports {
		s.Reports = append(s.Reports, Report{names[r], r, v})
	}
	slices.SortFunc(s.Reports, func(a, b Report) int { return cmp.Compare(a.Rank, b.Rank) })
	return s
}

// InForce is the version in force here.
func (n *Node) InForce() Version { return n.force }
