// Package backend simulates a server. Core models its queue and cores, without sockets or a clock; Backend serves
// it on a socket.
//
// Work is time on a simulated core rather than real CPU time, so that one machine can run hundreds of backends. Core
// computes when work is done from the arrival times that its caller passes: a late timer delays an answer, but does
// not change the queue.
package backend

import (
	"container/list"
	"math"

	"ledgespread/lab/clock"
	"ledgespread/lab/scenario"
)

type Micros = clock.Micros

// Core models one backend's machine. It is not safe for concurrent use; the times passed to it must not decrease.
type Core struct {
	MeanWork        float64 // of a visit; with it coldCapacity allows for the randomness of arrivals
	config          scenario.Backend
	rules           scenario.Rules
	now             Micros
	running         []*Entry
	waiting         *list.List
	slow            bool
	overloadedSince Micros    // since when the queue has been too long, -1: it isn't
	idleSince       Micros    // since when it has been mostly idle, -1: it isn't
	slowSince       Micros    // when it became slow
	coldSince       Micros    // when its warm-up started, -1: it is warm
	arrivals        []arrival // arrivals in the last window, while cold
	onCollapse      func(by []string)
	slowFactor      float64 // slowdown by the fault "slow"
	shareFactor     float64 // slowdown by the fault "share"
	stalledUntil    Micros  // end of a stall
	cachedKeys      *list.List
	byKey           map[uint64]*list.Element
	Busy            Micros // core time spent
	Probes          Micros // core time spent on probes
	Slowed          int    // how often it became slow
}

type arrival struct {
	at   Micros
	work Micros
	id   string
}

// NewCore returns a core that starts now. onCollapse gets the visits under whose load a cold core collapses.
func NewCore(config scenario.Backend, rules scenario.Rules, now Micros, cold bool, onCollapse func(by []string)) *Core {
	c := &Core{config: config, rules: rules, now: now, waiting: list.New(), overloadedSince: -1, idleSince: now, coldSince: -1, onCollapse: onCollapse, slowFactor: 1,
		shareFactor: 1, cachedKeys: list.New(), byKey: map[uint64]*list.Element{}}
	if cold {
		c.coldSince = now
	}
	return c
}

// Visits returns the number of visits that wait or run.
func (c *Core) Visits() int { return len(c.running) + c.waiting.Len() }

// capacityFraction is the fraction of its capacity that a core has during warm-up.
func (c *Core) capacityFraction(at Micros) float64 {
	if c.coldSince < 0 {
		return 1
	}
	from := c.rules.ColdFrom
	return min(1, from+(1-from)*float64(at-c.coldSince)/float64(c.rules.Cold))
}

// speed is the amount of work a core does per microsecond.
func (c *Core) speed(at Micros) float64 {
	pace := c.config.Speed * c.capacityFraction(at) / c.slowFactor / c.shareFactor
	if c.slow {
		pace /= c.config.SlowFactor
	}
	return pace
}

// Advance completes all visits that are done by now, each at its own time.
func (c *Core) Advance(now Micros) {
	for {
		next := c.nextDone()
		if next == nil || next.done > now {
			break
		}
		c.advanceTime(next.done)
		c.remove(next)
		next.Ended, next.Outcome = next.done, Delivered
		next.onFinish(next)
		c.startWaiting()
	}
	c.advanceTime(now)
	if c.coldSince >= 0 && now-c.coldSince >= c.rules.Cold.M() {
		c.coldSince, c.arrivals = -1, nil
	}
}

// Next is when the next running visit is done, -1: none runs.
func (c *Core) Next() Micros {
	if running := c.nextDone(); running != nil {
		return running.done
	}
	return -1
}

func (c *Core) nextDone() (first *Entry) {
	for _, entry := range c.running {
		if first == nil || entry.done < first.done {
			first = entry
		}
	}
	return first
}

// advanceTime advances the time and updates whether the backend is slow.
func (c *Core) advanceTime(now Micros) {
	config := c.config
	if config.SlowQueue > 0 {
		if !c.slow && c.overloadedSince >= 0 && now-c.overloadedSince >= config.SlowAfter.M() {
			c.slow, c.slowSince = true, c.overloadedSince+config.SlowAfter.M()
			c.Slowed++
		}
		if c.slow && (config.SlowIdle > 0 && c.idleSince >= 0 && now-max(c.idleSince, c.slowSince) >= config.SlowIdle.M() ||
			config.SlowMax > 0 && now-c.slowSince >= config.SlowMax.M()) {
			c.slow = false
			c.overloadedSince = -1
		}
	}
	c.now = max(c.now, now)
}

// updateQueueState updates, after a change, since when the queue is too long or the backend mostly idle.
func (c *Core) updateQueueState() {
	if float64(c.waiting.Len()) <= c.config.SlowQueue*float64(c.config.Cores) {
		c.overloadedSince = -1
	} else if c.overloadedSince < 0 {
		c.overloadedSince = c.now
	}
	if c.waiting.Len() > 0 || 2*len(c.running) > c.config.Cores {
		c.idleSince = -1
	} else if c.idleSince < 0 {
		c.idleSince = c.now
	}
}

func (c *Core) remove(entry *Entry) {
	for i, running := range c.running {
		if running == entry {
			c.running = append(c.running[:i], c.running[i+1:]...)
			break
		}
	}
	if entry.queued != nil {
		c.waiting.Remove(entry.queued)
		entry.queued = nil
	}
}

// startWaiting starts waiting visits on free cores.
func (c *Core) startWaiting() {
	for len(c.running) < c.config.Cores && c.waiting.Len() > 0 {
		entry := c.waiting.Remove(c.waiting.Front()).(*Entry)
		entry.queued = nil
		entry.Started = max(c.now, c.stalledUntil)
		entry.Cost = max(1, Micros(float64(c.work(entry))/c.speed(entry.Started)+0.5))
		entry.done = entry.Started + entry.Cost
		c.Busy += entry.Cost
		c.running = append(c.running, entry)
	}
	c.updateQueueState()
}

// work is the work of a visit on this backend, which is less if its key is cached.
func (c *Core) work(entry *Entry) Micros {
	if c.config.WarmKeys == 0 || entry.Key == 0 {
		return entry.Work
	}
	if element, warm := c.byKey[entry.Key]; warm {
		c.cachedKeys.MoveToFront(element)
		return max(1, Micros(float64(entry.Work)*c.config.WarmPart))
	}
	c.byKey[entry.Key] = c.cachedKeys.PushFront(entry.Key)
	if c.cachedKeys.Len() > c.config.WarmKeys {
		delete(c.byKey, c.cachedKeys.Remove(c.cachedKeys.Back()).(uint64))
	}
	return entry.Work
}

// Enqueue queues or rejects a visit; finished is called at its end. Rejected work loads a cold backend, too.
func (c *Core) Enqueue(now Micros, entry *Entry, finished func(*Entry)) {
	c.Advance(now)
	entry.Arrived, entry.Started, entry.onFinish = now, -1, finished
	if !c.addColdLoad(now, entry.Work, entry.ID) {
		entry.Ended, entry.Outcome = now, Died
		finished(entry)
		return
	}
	if c.waiting.Len() >= c.config.Queue {
		entry.Ended, entry.Outcome = now, Rejected
		finished(entry)
		return
	}
	entry.queued = c.waiting.PushBack(entry)
	c.startWaiting()
}

// addColdLoad adds an arrival to a cold backend's load; it returns false if the backend collapses under it.
func (c *Core) addColdLoad(now, work Micros, id string) bool {
	if c.coldSince < 0 {
		return true
	}
	from := 0
	for from < len(c.arrivals) && c.arrivals[from].at <= now-c.rules.Fall.M() {
		from++
	}
	c.arrivals = append(c.arrivals[from:], arrival{now, work, id})
	total := 0.0
	for _, item := range c.arrivals {
		total += float64(item.work)
	}
	capacity := float64(c.config.Cores) * c.config.Speed * c.capacityFraction(now) * float64(c.rules.Fall)
	if total <= c.coldCapacity(c.rules.FallMultiple*capacity) {
		return true
	}
	var visits []string
	for _, counted := range c.arrivals {
		visits = append(visits, counted.id)
	}
	c.coldSince, c.arrivals = -1, nil
	c.onCollapse(visits)
	return false
}

// coldCapacity is the work a cold backend withstands in a window; with rules.ColdMargin, plus a Poisson margin.
func (c *Core) coldCapacity(allowed float64) float64 {
	if !c.rules.ColdMargin || c.MeanWork <= 0 {
		return allowed
	}
	visits := allowed / c.MeanWork
	if visits < 30 {
		return (visits + 3*math.Sqrt(visits) + 3) * c.MeanWork
	}
	return (visits + 2*math.Sqrt(visits) + 2) * c.MeanWork
}

// Cancel cancels a visit. A running one still runs to its end if the backend is configured to (RunsAfterCancel).
func (c *Core) Cancel(now Micros, entry *Entry) {
	c.Advance(now)
	if entry.Outcome != Waiting {
		return
	}
	c.undoStart(entry)
	if entry.Ran() && c.config.RunsAfterCancel {
		finished := entry.onFinish
		entry.onFinish = func(entry *Entry) {
			entry.Outcome = Canceled
			finished(entry)
		}
		return
	}
	c.refundCost(entry)
	c.remove(entry)
	entry.Ended, entry.Outcome = now, Canceled
	entry.onFinish(entry)
	c.startWaiting()
}

// undoStart undoes the start of a visit that was to begin only after a stall that isn't over.
func (c *Core) undoStart(entry *Entry) {
	if entry.Started > c.now {
		c.Busy -= entry.Cost
		entry.Started, entry.Cost = -1, 0
	}
}

// refundCost subtracts the remaining cost of a visit that ends early. Time during a stall is not counted as work.
func (c *Core) refundCost(entry *Entry) {
	if entry.Ran() {
		left := min(entry.Cost, max(0, entry.done-max(c.now, c.stalledUntil)))
		c.Busy -= left
		entry.Cost -= left
	}
}

// Spend uses core time for something other than a visit: a probe or a new connection.
func (c *Core) Spend(now, work Micros, probe bool) {
	if work <= 0 {
		return
	}
	c.Advance(now)
	cost := max(1, Micros(float64(work)/c.speed(now)))
	c.Busy += cost
	if probe {
		c.Probes += cost
	}
	if running := c.nextDone(); running != nil && len(c.running) == c.config.Cores {
		running.done += cost
		running.Cost += cost
	}
}

// Stall stops the backend for a while and delays the running visits by as much.
func (c *Core) Stall(now, span Micros) {
	c.Advance(now)
	delay := max(0, now+span-max(c.stalledUntil, now))
	c.stalledUntil = max(c.stalledUntil, now+span)
	for _, running := range c.running {
		running.done += delay
	}
}

// Slow sets the slowdown of visits that start from now on (1: none), for the fault "share" if sharing, else "slow".
func (c *Core) Slow(now Micros, times float64, sharing bool) {
	c.Advance(now)
	if sharing {
		c.shareFactor = times
	} else {
		c.slowFactor = times
	}
}

// Die ends all visits in it.
func (c *Core) Die(now Micros) {
	c.Advance(now)
	ended := c.running
	for element := c.waiting.Front(); element != nil; element = element.Next() {
		ended = append(ended, element.Value.(*Entry))
	}
	c.running = nil
	c.waiting.Init()
	for _, entry := range ended {
		c.undoStart(entry)
		c.refundCost(entry)
		entry.queued, entry.Ended, entry.Outcome = nil, now, Died
		entry.onFinish(entry)
	}
}
