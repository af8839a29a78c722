// Package backend is a stand-in for a server, written from the protocol page: core.go is the machine, without sockets or
// a clock; server.go puts it on a socket.
//
// Work is time on a simulated core, not burnt CPU, so that one machine carries hundreds of backends. A core is told what
// comes with the time it came, and works out when it is done from these times alone: that a wake-up comes late makes
// an answer late, never the queue.
package backend

import (
	"container/list"
	"math"

	"ledgespread/lab/clock"
	"ledgespread/lab/scenario"
)

type Micros = clock.Micros

// Fate is how a backend fetch ended at its backend.
type Fate string

const (
	Waiting    Fate = ""
	Delivered  Fate = "delivered"
	Repeat     Fate = "repeat"      // its tag was known: answered, without a second effect
	TurnedAway Fate = "turned away" // told so: it never ran
	Errored    Fate = "errored"
	Spoilt     Fate = "spoilt"
	Mute       Fate = "mute" // taken and never answered
	CalledOff  Fate = "called off"
	Died       Fate = "died" // with its backend
)

// Entry is one backend fetch in a backend's account.
type Entry struct {
	Backend  string
	ID       string // the visit's, as its client gave it
	Tag      string
	Prefix   int
	Tenant   string
	Key      uint64
	Work     Micros
	First    Micros // its first byte came
	Came     Micros // its last
	Patience Micros // what it was told of the time that is left; -1: nothing
	Began    Micros // on a core; -1: it never ran
	Ended    Micros
	Fate     Fate
	Cost     Micros // core time it took
	finished func(*Entry)
	until    Micros // when its core is done
	at       *list.Element
}

// Ran tells whether a core began it.
func (e *Entry) Ran() bool { return e.Began >= 0 }

// Marks are the tags that a group of backends remembers: all of them, those of a zone or of a cell.
type Marks struct {
	window Micros
	seen   map[string]Micros
}

// NewMarks remembers tags for this long from the first run.
func NewMarks(window Micros) *Marks { return &Marks{window, map[string]Micros{}} }

// known tells whether the tag has run within the window, and notes it if not.
func (m *Marks) known(tag string, now Micros) bool {
	if m == nil || tag == "" {
		return false
	}
	first, there := m.seen[tag]
	if there && now < first+m.window {
		return true
	}
	m.seen[tag] = now
	return false
}

// Core is one backend's machine. Its caller makes one call at a time, with times that never fall.
type Core struct {
	MeanWork float64 // of a visit, for what a cold one bears
	make     scenario.Backend
	rules    scenario.Rules
	now      Micros
	running  []*Entry
	waiting  *list.List
	slow     bool
	long     Micros // since when too many wait, -1: they don't
	quiet    Micros // since when it is mostly idle, -1: it isn't
	turned   Micros // when it turned slow
	cold     Micros // since when it is cold, -1: it is warm
	pressed  []load // what came in the last window, while cold
	fell     func(by []string)
	factor   float64 // by faults: times slower
	shared   float64
	still    Micros // it stands still until then
	keys     *list.List
	byKey    map[uint64]*list.Element
	Busy     Micros // core time spent
	Probes   Micros // of it, on probes
	Slowed   int    // times it turned slow
}

type load struct {
	at   Micros
	work Micros
	id   string
}

// NewCore is a backend that starts now, cold or warm. fell is told which visits pushed it over.
func NewCore(m scenario.Backend, r scenario.Rules, now Micros, cold bool, fell func(by []string)) *Core {
	c := &Core{make: m, rules: r, now: now, waiting: list.New(), long: -1, quiet: now, cold: -1, fell: fell, factor: 1,
		shared: 1, keys: list.New(), byKey: map[uint64]*list.Element{}}
	if cold {
		c.cold = now
	}
	return c
}

// Holds is how many visits are in it, waiting or running.
func (c *Core) Holds() int { return len(c.running) + c.waiting.Len() }

// warmth is the part of its capacity that it has.
func (c *Core) warmth(at Micros) float64 {
	if c.cold < 0 {
		return 1
	}
	from := c.rules.ColdFrom
	return min(1, from+(1-from)*float64(at-c.cold)/float64(c.rules.Cold))
}

// pace is the work a core does in a microsecond.
func (c *Core) pace(at Micros) float64 {
	pace := c.make.Speed * c.warmth(at) / c.factor / c.shared
	if c.slow {
		pace /= c.make.SlowFactor
	}
	return pace
}

// Advance carries out all that falls due up to now, each at its own time.
func (c *Core) Advance(now Micros) {
	for {
		next := c.first()
		if next == nil || next.until > now {
			break
		}
		c.step(next.until)
		c.leave(next)
		next.Ended, next.Fate = next.until, Delivered
		next.finished(next)
		c.fill()
	}
	c.step(now)
	if c.cold >= 0 && now-c.cold >= c.rules.Cold.M() {
		c.cold, c.pressed = -1, nil
	}
}

// Next is when something falls due, -1: nothing does.
func (c *Core) Next() Micros {
	if e := c.first(); e != nil {
		return e.until
	}
	return -1
}

func (c *Core) first() (first *Entry) {
	for _, e := range c.running {
		if first == nil || e.until < first.until {
			first = e
		}
	}
	return first
}

// step moves the time, and with it whether the backend is slow.
func (c *Core) step(to Micros) {
	m := c.make
	if m.SlowQueue > 0 {
		if !c.slow && c.long >= 0 && to-c.long >= m.SlowAfter.M() {
			c.slow, c.turned = true, c.long+m.SlowAfter.M()
			c.Slowed++
		}
		if c.slow && (m.SlowIdle > 0 && c.quiet >= 0 && to-max(c.quiet, c.turned) >= m.SlowIdle.M() ||
			m.SlowMost > 0 && to-c.turned >= m.SlowMost.M()) {
			c.slow = false
			c.long = -1
		}
	}
	c.now = max(c.now, to)
}

// watch notes, after a change, whether too many wait and whether the backend is mostly idle.
func (c *Core) watch() {
	if float64(c.waiting.Len()) <= c.make.SlowQueue*float64(c.make.Cores) {
		c.long = -1
	} else if c.long < 0 {
		c.long = c.now
	}
	if c.waiting.Len() > 0 || 2*len(c.running) > c.make.Cores {
		c.quiet = -1
	} else if c.quiet < 0 {
		c.quiet = c.now
	}
}

func (c *Core) leave(e *Entry) {
	for i, x := range c.running {
		if x == e {
			c.running = append(c.running[:i], c.running[i+1:]...)
			break
		}
	}
	if e.at != nil {
		c.waiting.Remove(e.at)
		e.at = nil
	}
}

// fill gives free cores what waits.
func (c *Core) fill() {
	for len(c.running) < c.make.Cores && c.waiting.Len() > 0 {
		e := c.waiting.Remove(c.waiting.Front()).(*Entry)
		e.at = nil
		e.Began = max(c.now, c.still)
		e.Cost = max(1, Micros(float64(c.work(e))/c.pace(e.Began)+0.5))
		e.until = e.Began + e.Cost
		c.Busy += e.Cost
		c.running = append(c.running, e)
	}
	c.watch()
}

// work is what a visit takes here: less where its key is warm.
func (c *Core) work(e *Entry) Micros {
	if c.make.WarmKeys == 0 || e.Key == 0 {
		return e.Work
	}
	if at, warm := c.byKey[e.Key]; warm {
		c.keys.MoveToFront(at)
		return max(1, Micros(float64(e.Work)*c.make.WarmPart))
	}
	c.byKey[e.Key] = c.keys.PushFront(e.Key)
	if c.keys.Len() > c.make.WarmKeys {
		delete(c.byKey, c.keys.Remove(c.keys.Back()).(uint64))
	}
	return e.Work
}

// Offer brings a visit. finished is told its end, at once where it is turned away. Work that is rejected presses, too.
func (c *Core) Offer(now Micros, e *Entry, finished func(*Entry)) {
	c.Advance(now)
	e.Came, e.Began, e.finished = now, -1, finished
	if !c.press(now, e.Work, e.ID) {
		e.Ended, e.Fate = now, Died
		finished(e)
		return
	}
	if c.waiting.Len() >= c.make.Queue {
		e.Ended, e.Fate = now, TurnedAway
		finished(e)
		return
	}
	e.at = c.waiting.PushBack(e)
	c.fill()
}

// press adds to what came while the backend is cold; false where that fells it.
func (c *Core) press(now, work Micros, id string) bool {
	if c.cold < 0 {
		return true
	}
	from := 0
	for from < len(c.pressed) && c.pressed[from].at <= now-c.rules.Fall.M() {
		from++
	}
	c.pressed = append(c.pressed[from:], load{now, work, id})
	sum := 0.0
	for _, l := range c.pressed {
		sum += float64(l.work)
	}
	can := float64(c.make.Cores) * c.make.Speed * c.warmth(now) * float64(c.rules.Fall)
	if sum <= c.bears(c.rules.FallMultiple*can) {
		return true
	}
	var by []string
	for _, l := range c.pressed {
		by = append(by, l.id)
	}
	c.cold, c.pressed = -1, nil
	c.fell(by)
	return false
}

// bears is what a cold backend takes in a window, of what it may be given; by the terms the chance of arrivals is added.
func (c *Core) bears(allowed float64) float64 {
	if !c.rules.Roots || c.MeanWork <= 0 {
		return allowed
	}
	visits := allowed / c.MeanWork
	if visits < 30 {
		return (visits + 3*math.Sqrt(visits) + 3) * c.MeanWork
	}
	return (visits + 2*math.Sqrt(visits) + 2) * c.MeanWork
}

// CallOff takes a visit back: one that waits goes, one that runs goes unless such run on.
func (c *Core) CallOff(now Micros, e *Entry) {
	c.Advance(now)
	if e.Fate != Waiting {
		return
	}
	c.unbegin(e)
	if e.Ran() && c.make.RunsOn {
		finished := e.finished
		e.finished = func(e *Entry) {
			e.Fate = CalledOff
			finished(e)
		}
		return
	}
	c.saves(e)
	c.leave(e)
	e.Ended, e.Fate = now, CalledOff
	e.finished(e)
	c.fill()
}

// unbegin takes back that a core has begun a visit, where it stands still and has not got to it.
func (c *Core) unbegin(e *Entry) {
	if e.Began > c.now {
		c.Busy -= e.Cost
		e.Began, e.Cost = -1, 0
	}
}

// saves books what a visit that ends early would still have cost; what its core stood still is no work.
func (c *Core) saves(e *Entry) {
	if e.Ran() {
		left := min(e.Cost, max(0, e.until-max(c.now, c.still)))
		c.Busy -= left
		e.Cost -= left
	}
}

// Spend takes core time for something that is no visit: a probe, a new connection.
func (c *Core) Spend(now, work Micros, probe bool) {
	if work <= 0 {
		return
	}
	c.Advance(now)
	cost := max(1, Micros(float64(work)/c.pace(now)))
	c.Busy += cost
	if probe {
		c.Probes += cost
	}
	if e := c.first(); e != nil && len(c.running) == c.make.Cores {
		e.until += cost
		e.Cost += cost
	}
}

// Stall has the backend stand still for a while: what runs is done so much later.
func (c *Core) Stall(now, span Micros) {
	c.Advance(now)
	later := max(0, now+span-max(c.still, now))
	c.still = max(c.still, now+span)
	for _, e := range c.running {
		e.until += later
	}
}

// Slow makes what begins from now on take so many times longer; 1 ends it. sharing tells which fault it is.
func (c *Core) Slow(now Micros, times float64, sharing bool) {
	c.Advance(now)
	if sharing {
		c.shared = times
	} else {
		c.factor = times
	}
}

// Die ends all that is in it.
func (c *Core) Die(now Micros) {
	c.Advance(now)
	ended := c.running
	for at := c.waiting.Front(); at != nil; at = at.Next() {
		ended = append(ended, at.Value.(*Entry))
	}
	c.running = nil
	c.waiting.Init()
	for _, e := range ended {
		c.unbegin(e)
		c.saves(e)
		e.at, e.Ended, e.Fate = nil, now, Died
		e.finished(e)
	}
}
