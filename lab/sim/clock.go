// Package sim implements a discrete-event simulation of many sidecars. Each runs the production decision module
// (brain.Balancer) on one thread and one virtual clock, without sockets, so that a seed always reproduces the same run.
// Servers, network and peer messages are simulated; every message takes a fixed one-way delay. The package checks the
// balancing rules during the run, by the attempts that the sidecars send. It is a lab tool and not part of the sidecar.
package sim

import "ledgespread/brain"

// Micros is a time or duration in microseconds.
type Micros = brain.Micros

// Clock is a virtual clock with a priority queue of scheduled events.
type Clock struct {
	Now          Micros
	queue        []event
	lastSequence uint64
}

type event struct {
	at       Micros
	sequence uint64
	run      func()
}

// before orders events by time, then by the order in which they were scheduled.
func (e event) before(f event) bool { return e.at < f.at || e.at == f.at && e.sequence < f.sequence }

// At schedules do to run at time t, or now if t is in the past. Events of the same time run in the order in which they
// were scheduled.
func (c *Clock) At(t Micros, do func()) {
	c.lastSequence++
	c.queue = append(c.queue, event{max(t, c.Now), c.lastSequence, do})
	queue, i := c.queue, len(c.queue)-1
	for i > 0 && queue[i].before(queue[(i-1)/2]) {
		queue[i], queue[(i-1)/2] = queue[(i-1)/2], queue[i]
		i = (i - 1) / 2
	}
}

// After schedules do to run once span has passed.
func (c *Clock) After(span Micros, do func()) { c.At(c.Now+span, do) }

// RunUntil runs all events due up to and including a time, and sets the clock to it.
func (c *Clock) RunUntil(to Micros) {
	for len(c.queue) > 0 && c.queue[0].at <= to {
		next := c.pop()
		c.Now = next.at
		next.run()
	}
	c.Now = to
}

// pop removes and returns the earliest event of the binary heap.
func (c *Clock) pop() event {
	queue := c.queue
	earliest, last := queue[0], len(queue)-1
	queue[0], queue[last] = queue[last], event{}
	c.queue = queue[:last]
	queue = c.queue
	for i := 0; ; {
		smallest := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < len(queue) && queue[child].before(queue[smallest]) {
				smallest = child
			}
		}
		if smallest == i {
			return earliest
		}
		queue[i], queue[smallest] = queue[smallest], queue[i]
		i = smallest
	}
}
