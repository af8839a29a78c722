// Package sim plays many of the program's own decision modules (brain.Balancer) in simulated time: one thread, one virtual
// clock, no sockets. One seed gives one run, bit for bit. What the module asks for is carried out by stand-ins: a way of so
// many microseconds to a server and back, messages between sidecars that take as long. The rules are judged as it goes, from
// what the servers got. It is a tool of the lab and no part of a sidecar.
package sim

import "ledgespread/brain"

type Micros = brain.Micros

// Clock is the virtual clock and what falls due by it.
type Clock struct {
	Now   Micros
	queue []event
	count uint64
}

type event struct {
	at Micros
	no uint64
	do func()
}

func (e event) before(f event) bool { return e.at < f.at || e.at == f.at && e.no < f.no }

// At has something done at a time; of one time, in the order in which they were asked for.
func (c *Clock) At(t Micros, do func()) {
	c.count++
	c.queue = append(c.queue, event{max(t, c.Now), c.count, do})
	q, i := c.queue, len(c.queue)-1
	for i > 0 && q[i].before(q[(i-1)/2]) {
		q[i], q[(i-1)/2] = q[(i-1)/2], q[i]
		i = (i - 1) / 2
	}
}

// After has something done when a span is over.
func (c *Clock) After(span Micros, do func()) { c.At(c.Now+span, do) }

// Play does what falls due up to a time, that time with it.
func (c *Clock) Play(to Micros) {
	for len(c.queue) > 0 && c.queue[0].at <= to {
		e := c.pop()
		c.Now = e.at
		e.do()
	}
	c.Now = to
}

func (c *Clock) pop() event {
	q := c.queue
	first, last := q[0], len(q)-1
	q[0], q[last] = q[last], event{}
	c.queue = q[:last]
	q = c.queue
	for i := 0; ; {
		least := i
		for _, k := range [2]int{2*i + 1, 2*i + 2} {
			if k < len(q) && q[k].before(q[least]) {
				least = k
			}
		}
		if least == i {
			return first
		}
		q[i], q[least] = q[least], q[i]
		i = least
	}
}
