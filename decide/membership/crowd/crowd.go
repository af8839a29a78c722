// Package crowd plays many members of decide/membership in simulated time, on a network that loses, delays, doubles and
// cuts by seed: one number gives one run, bit for bit. It is a test's and a proof's tool, and no part of a sidecar.
package crowd

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"strings"

	"ledgespread/decide/membership"
)

type Micros = membership.Micros

// Weather is how the network passes datagrams; a one-sided cut is Cut's.
type Weather struct {
	Delay, Spread Micros
	Lost, Doubled float64
	Late          float64 // so late that others overtake it
	LateBy        Micros
}

// Crowd is a run.
type Crowd struct {
	Now      Micros
	Weather  Weather
	Members  []*Member
	Cut      func(from, to int) bool // nil: nothing is
	Sent     int                     // datagrams
	Bytes    int
	Exchange int                                      // bytes over connections
	Fate     func() (lost, doubled bool, late Micros) // of each datagram, in place of the weather's chance; nil: that
	Tap      func(message []byte)                     // each datagram; nil: nobody looks
	Said     func(at Micros, by *Member, c membership.Change)

	queue  queue
	count  uint64
	seed   uint64
	drawn  uint64
	places map[membership.Address]int
	first  int
}

// Member is one of the crowd; its process may be dead, or stand still.
type Member struct {
	*membership.Node
	crowd  *Crowd
	Number int
	Gone   bool
	Still  bool
	mail   []func()
	armed  Micros
	parts  []string
	Names  []string // what it heard of other processes of its name
	terms  membership.Terms
	Stoods int
	Sent   int // its own datagrams,
	Out    int // their bytes,
	Came   int // and those that came
	In     int
	Tables int // bytes that it sent over connections, of full exchanges
}

type event struct {
	at Micros
	no uint64
	do func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].no < q[j].no
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1].do = nil
	*q = (*q)[:len(*q)-1]
	return last
}

// New has so many members start, each knowing the first one's address, or each other already.
func New(seed uint64, many int, terms membership.Terms, acquainted bool) *Crowd {
	c := &Crowd{seed: seed, Now: 1_000_000, places: map[membership.Address]int{}, Weather: Weather{Delay: 300, Spread: 300}}
	for i := range many {
		c.Add(Name(i), i, terms)
	}
	if acquainted {
		var all []membership.About
		for i := range c.Members {
			all = append(all, c.about(Name(i), i, membership.Life(i+1)))
		}
		for _, m := range c.Members {
			m.Acquaint(c.Now, all)
		}
		return c
	}
	for _, m := range c.Members {
		m.Join(c.Now, []membership.Address{c.address(c.first)})
	}
	return c
}

// Name is what a member is called.
func Name(i int) membership.Name { return membership.Name(fmt.Sprint("n", i)) }

func (c *Crowd) address(i int) membership.Address {
	return membership.Address(binary.BigEndian.AppendUint16([]byte{127, 0, byte(i >> 16), byte(i >> 8), byte(i)}, 7000)[1:])
}

func (c *Crowd) about(name membership.Name, place int, life membership.Life) membership.About {
	return membership.About{Name: name, Address: c.address(place), Zone: "abc"[place%3 : place%3+1], Version: "1", Life: life, Number: uint16(place)}
}

// Add starts a process of this name at a place of its own.
func (c *Crowd) Add(name membership.Name, place int, terms membership.Terms) *Member {
	m := &Member{crowd: c, Number: place, terms: terms}
	life := membership.Life(place + 1)
	for _, x := range c.Members {
		if x.Number == place {
			life += 1 << 16
		}
	}
	m.Node = membership.New(c.Now, c.about(name, place, life), terms, membership.Mix(c.seed, uint64(len(c.Members))), m)
	c.Members = append(c.Members, m)
	c.places[c.address(place)] = len(c.Members) - 1
	m.arm()
	return m
}

// Later has something done after a span.
func (c *Crowd) Later(in Micros, do func()) {
	c.count++
	heap.Push(&c.queue, event{c.Now + in, c.count, do})
}

// Run goes on for a span.
func (c *Crowd) Run(span Micros) { c.Until(span, func() bool { return false }) }

// Until goes on until something holds, a span at the longest, and tells after how long; -1: it never did.
func (c *Crowd) Until(most Micros, holds func() bool) Micros {
	begun, look := c.Now, Micros(0)
	for len(c.queue) > 0 && c.queue[0].at <= begun+most {
		next := heap.Pop(&c.queue).(event)
		c.Now = max(c.Now, next.at)
		next.do()
		if c.Now >= look {
			if look = c.Now + 10_000; holds() {
				return c.Now - begun
			}
		}
	}
	c.Now = begun + most
	return -1
}

func (c *Crowd) chance() float64 {
	c.drawn++
	return membership.Draw(c.seed, c.drawn)
}

// at has a member do something when its process runs.
func (m *Member) at(do func()) {
	switch {
	case m.Gone:
	case m.Still:
		if m.mail = append(m.mail, do); len(m.mail) > 4000 { // the kernel's buffer
			m.mail = m.mail[1:]
		}
	default:
		do()
		m.arm()
	}
}

func (m *Member) arm() {
	at := max(m.Due(), m.crowd.Now+1)
	if m.armed > m.crowd.Now && m.armed <= at {
		return
	}
	m.armed = at
	m.crowd.Later(at-m.crowd.Now, func() {
		if m.armed == at {
			m.armed = 0
			if !m.Still && !m.Gone {
				m.Tick(m.crowd.Now)
				m.arm()
			}
		}
	})
}

// Kill ends its process.
func (m *Member) Kill() { m.Gone = true }

// Stop has it stand still; Continue has it go on: what is due comes first, then the mail that waits, which is the worse order.
func (m *Member) Stop() { m.Still = true }

func (m *Member) Continue() {
	m.Still = false
	m.Tick(m.crowd.Now)
	mail := m.mail
	m.mail = nil
	for _, do := range mail {
		do()
	}
	m.Tick(m.crowd.Now)
	m.arm()
}

func (m *Member) Send(_ membership.Name, at membership.Address, msg []byte) {
	c := m.crowd
	c.Sent++
	c.Bytes += len(msg)
	m.Sent++
	m.Out += len(msg)
	to, known := c.places[at]
	if c.Tap != nil {
		c.Tap(msg)
	}
	if !known {
		return
	}
	target, from := c.Members[to], c.address(m.Number)
	c.pass(m.Number, target.Number, func() {
		target.In += len(msg)
		target.Came++
		target.at(func() { target.Heard(c.Now, from, msg) })
	})
}

// pass has something come from one place to another, as the network lets it.
func (c *Crowd) pass(from, to int, come func()) {
	if c.Cut != nil && c.Cut(from, to) {
		return
	}
	lost, doubled, late := c.chance() < c.Weather.Lost, c.Weather.Doubled > 0 && c.chance() < c.Weather.Doubled, Micros(0)
	if c.Fate != nil {
		lost, doubled, late = c.Fate()
	}
	times := 1
	if doubled {
		times = 2
	}
	if lost {
		times = 0
	}
	for range times {
		wait := late + c.Weather.Delay + Micros(c.chance()*float64(c.Weather.Spread))
		if c.Weather.Late > 0 && c.chance() < c.Weather.Late {
			wait += Micros(c.chance() * float64(c.Weather.LateBy))
		}
		c.Later(wait, come)
	}
}

const tableMost = 1 << 20

func (m *Member) Exchange(_ membership.Name, at membership.Address) {
	c := m.crowd
	to, known := c.places[at]
	if !known {
		return
	}
	target := c.Members[to]
	c.Later(2*c.Weather.Delay, func() {
		if !m.Opens(target) {
			return
		}
		mine, theirs := m.Table(tableMost), target.Table(tableMost)
		c.Exchange += len(mine) + len(theirs)
		m.Tables, target.Tables = m.Tables+len(mine), target.Tables+len(theirs)
		m.at(func() { m.Merge(c.Now, c.address(target.Number), theirs) })
		target.at(func() { target.Merge(c.Now, c.address(m.Number), mine) })
	})
}

func (m *Member) Changed(ch membership.Change) {
	if m.crowd.Said != nil {
		m.crowd.Said(m.crowd.Now, m, ch)
	}
}

func (m *Member) Stands(p membership.Part) { m.parts = append(m.parts, p.String()) }
func (m *Member) Stood(Micros, bool)       { m.Stoods++ }
func (m *Member) Contested(at membership.Address, away bool) {
	m.Names = append(m.Names, fmt.Sprintf("%x %v", string(at), away))
}
func (m *Member) Refused(string, membership.Address) {}

// Parts are those in which it found itself, in order.
func (m *Member) Parts() string { return strings.Join(m.parts, " ") }

// Holds counts the members that this one holds to be in each state, but itself.
func (m *Member) Holds() (states map[membership.State]int) {
	states = map[membership.State]int{}
	m.Each(func(x membership.Member) {
		if !x.Self {
			states[x.State]++
		}
	})
	return states
}

// Sees is what it holds of one.
func (m *Member) Sees(name membership.Name) (is membership.Member) {
	m.Each(func(x membership.Member) {
		if x.Name == name {
			is = x
		}
	})
	return is
}

// Do has a member do something when its process runs.
func (m *Member) Do(do func()) { m.at(do) }

// Opens tells whether a connection between two members comes about.
func (m *Member) Opens(to *Member) bool {
	c := m.crowd
	return !m.Gone && !m.Still && !to.Gone && !to.Still && (c.Cut == nil || !c.Cut(m.Number, to.Number) && !c.Cut(to.Number, m.Number))
}

// Of is the process at an address; nil: none is known.
func (c *Crowd) Of(at membership.Address) *Member {
	if to, known := c.places[at]; known {
		return c.Members[to]
	}
	return nil
}

// At is the address of a place.
func (c *Crowd) At(place int) membership.Address { return c.address(place) }
