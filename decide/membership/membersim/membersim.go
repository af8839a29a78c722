// Package membersim simulates many members of decide/membership in simulated time, on a network that loses,
// delays, duplicates and cuts off. All random choices come from one seed, so a run can be repeated exactly.
// The package serves tests and experiments and is no part of a sidecar.
package membersim

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"strings"

	"ledgespread/decide/membership"
)

type Micros = membership.Micros

// NetworkConditions is how the network treats datagrams. One-way cuts are not part of it; see Cut.
type NetworkConditions struct {
	Delay, Jitter           Micros  // fixed delay; maximum random delay on top of it
	LossRate, DuplicateRate float64 // share of datagrams that are lost; that are duplicated
	DelayRate               float64 // share of datagrams that are delayed further, so that others overtake them
	MaxExtraDelay           Micros  // maximum of that further delay
}

// Simulation is one run.
type Simulation struct {
	Now           Micros
	Network       NetworkConditions
	Members       []*Member
	Cut           func(from, to int) bool                          // whether no message passes in this direction; nil: all pass
	Datagrams     int                                              // datagrams sent
	DatagramBytes int                                              // bytes in them
	ExchangeBytes int                                              // bytes sent over connections in full exchanges
	Outcome       func() (lost, doubled bool, late Micros)         // decides about each datagram instead of the chances in Network; may be nil
	OnDatagram    func(message []byte)                             // called for each datagram; may be nil
	OnChange      func(at Micros, by *Member, c membership.Change) // called for each change that a member reports; may be nil

	queue           eventQueue
	lastEvent       uint64
	seed            uint64
	randomDraws     uint64
	memberByAddress map[membership.Address]int // index into Members
	first           int                        // number of the member that all others join through
}

// Member is one process in the simulation. It may be killed or stopped.
type Member struct {
	*membership.Node
	simulation        *Simulation
	Number            int
	Killed            bool
	Stopped           bool     // stopped, until Continue
	pendingInput      []func() // arrived while it was stopped
	timerAt           Micros   // when its timer fires; 0: none is set
	sides             []string
	NameConflicts     []string // reports of other processes with its name
	config            membership.Config
	Pauses            int // how often it noticed that it had been stopped
	SentDatagrams     int // datagrams that it sent
	SentBytes         int // bytes in them
	ReceivedDatagrams int // datagrams that arrived
	ReceivedBytes     int // bytes in them
	TableBytes        int // sent over connections in full exchanges
}

type event struct {
	at       Micros
	sequence uint64 // breaks ties
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1].run = nil
	*q = (*q)[:len(*q)-1]
	return last
}

// New starts a simulation of count members. If acquainted, all know each other from the start; otherwise all
// join through the address of the first.
func New(seed uint64, count int, config membership.Config, acquainted bool) *Simulation {
	sim := &Simulation{seed: seed, Now: 1_000_000, memberByAddress: map[membership.Address]int{}, Network: NetworkConditions{Delay: 300, Jitter: 300}}
	for i := range count {
		sim.Add(Name(i), i, config)
	}
	if acquainted {
		var all []membership.MemberInfo
		for i := range sim.Members {
			all = append(all, sim.about(Name(i), i, membership.Instance(i+1)))
		}
		for _, member := range sim.Members {
			member.Preload(sim.Now, all)
		}
		return sim
	}
	for _, member := range sim.Members {
		member.Join(sim.Now, []membership.Address{sim.address(sim.first)})
	}
	return sim
}

// Name returns the name of the member with number i.
func Name(i int) membership.Name { return membership.Name(fmt.Sprint("n", i)) }

func (s *Simulation) address(number int) membership.Address {
	return membership.Address(binary.BigEndian.AppendUint16([]byte{127, 0, byte(number >> 16), byte(number >> 8), byte(number)}, 7000)[1:])
}

func (s *Simulation) about(name membership.Name, number int, instance membership.Instance) membership.MemberInfo {
	return membership.MemberInfo{Name: name, Address: s.address(number), Zone: "abc"[number%3 : number%3+1], Version: "1", Instance: instance, Number: uint16(number)}
}

// Add starts a process of the named member. Its address follows from the number: a process with the number of
// an earlier one replaces it, and one with another number is at another address.
func (s *Simulation) Add(name membership.Name, number int, config membership.Config) *Member {
	added := &Member{simulation: s, Number: number, config: config}
	instance := membership.Instance(number + 1)
	for _, earlier := range s.Members {
		if earlier.Number == number {
			instance += 1 << 16
		}
	}
	added.Node = membership.New(s.Now, s.about(name, number, instance), config, membership.RandomBits(s.seed, uint64(len(s.Members))), added)
	s.Members = append(s.Members, added)
	s.memberByAddress[s.address(number)] = len(s.Members) - 1
	added.setTimer()
	return added
}

// Schedule schedules a function.
func (s *Simulation) Schedule(in Micros, run func()) {
	s.lastEvent++
	heap.Push(&s.queue, event{s.Now + in, s.lastEvent, run})
}

// RunFor continues the simulation for a span of simulated time.
func (s *Simulation) RunFor(span Micros) { s.RunUntil(span, func() bool { return false }) }

// RunUntil continues the simulation until a condition holds, for at most the limit. It returns the simulated
// time that this took; -1: the condition did not hold. The condition is checked about every 10 ms of
// simulated time.
func (s *Simulation) RunUntil(limit Micros, condition func() bool) Micros {
	startedAt, nextCheck := s.Now, Micros(0)
	for len(s.queue) > 0 && s.queue[0].at <= startedAt+limit {
		next := heap.Pop(&s.queue).(event)
		s.Now = max(s.Now, next.at)
		next.run()
		if s.Now >= nextCheck {
			if nextCheck = s.Now + 10_000; condition() {
				return s.Now - startedAt
			}
		}
	}
	s.Now = startedAt + limit
	return -1
}

func (s *Simulation) random() float64 {
	s.randomDraws++
	return membership.RandomFloat(s.seed, s.randomDraws)
}

// runWhenActive runs a function in the member's process: at once, after Continue if it is stopped, never if
// it is killed.
func (m *Member) runWhenActive(run func()) {
	switch {
	case m.Killed:
	case m.Stopped:
		if m.pendingInput = append(m.pendingInput, run); len(m.pendingInput) > 4000 { // the kernel's socket buffer is limited too
			m.pendingInput = m.pendingInput[1:]
		}
	default:
		run()
		m.setTimer()
	}
}

// setTimer schedules the next Tick of the member's node.
func (m *Member) setTimer() {
	at := max(m.Due(), m.simulation.Now+1)
	if m.timerAt > m.simulation.Now && m.timerAt <= at {
		return
	}
	m.timerAt = at
	m.simulation.Schedule(at-m.simulation.Now, func() {
		if m.timerAt == at {
			m.timerAt = 0
			if !m.Stopped && !m.Killed {
				m.Tick(m.simulation.Now)
				m.setTimer()
			}
		}
	})
}

// Kill ends the member's process.
func (m *Member) Kill() { m.Killed = true }

// Stop pauses the member's process, as SIGSTOP does.
func (m *Member) Stop() { m.Stopped = true }

// Continue resumes a stopped process. Its due timers run before the messages that arrived meanwhile, since
// this is the harder order for the node.
func (m *Member) Continue() {
	m.Stopped = false
	m.Tick(m.simulation.Now)
	pending := m.pendingInput
	m.pendingInput = nil
	for _, run := range pending {
		run()
	}
	m.Tick(m.simulation.Now)
	m.setTimer()
}

// Send implements membership.Host.
func (m *Member) Send(_ membership.Name, at membership.Address, message []byte) {
	sim := m.simulation
	sim.Datagrams++
	sim.DatagramBytes += len(message)
	m.SentDatagrams++
	m.SentBytes += len(message)
	to, known := sim.memberByAddress[at]
	if sim.OnDatagram != nil {
		sim.OnDatagram(message)
	}
	if !known {
		return
	}
	target, from := sim.Members[to], sim.address(m.Number)
	sim.transmit(m.Number, target.Number, func() {
		target.ReceivedBytes += len(message)
		target.ReceivedDatagrams++
		target.runWhenActive(func() { target.HandleDatagram(sim.Now, from, message) })
	})
}

// transmit calls arrive as often as a datagram between two members arrives, after its delay.
func (s *Simulation) transmit(from, to int, arrive func()) {
	if s.Cut != nil && s.Cut(from, to) {
		return
	}
	lost, doubled, late := s.random() < s.Network.LossRate, s.Network.DuplicateRate > 0 && s.random() < s.Network.DuplicateRate, Micros(0)
	if s.Outcome != nil {
		lost, doubled, late = s.Outcome()
	}
	copies := 1
	if doubled {
		copies = 2
	}
	if lost {
		copies = 0
	}
	for range copies {
		delay := late + s.Network.Delay + Micros(s.random()*float64(s.Network.Jitter))
		if s.Network.DelayRate > 0 && s.random() < s.Network.DelayRate {
			delay += Micros(s.random() * float64(s.Network.MaxExtraDelay))
		}
		s.Schedule(delay, arrive)
	}
}

const maxTableBytes = 1 << 20

// Exchange implements membership.Host.
func (m *Member) Exchange(_ membership.Name, at membership.Address) {
	sim := m.simulation
	to, known := sim.memberByAddress[at]
	if !known {
		return
	}
	target := sim.Members[to]
	sim.Schedule(2*sim.Network.Delay, func() {
		if !m.CanConnect(target) {
			return
		}
		ours, theirs := m.EncodeTable(maxTableBytes), target.EncodeTable(maxTableBytes)
		sim.ExchangeBytes += len(ours) + len(theirs)
		m.TableBytes, target.TableBytes = m.TableBytes+len(ours), target.TableBytes+len(theirs)
		m.runWhenActive(func() { m.HandleTable(sim.Now, sim.address(target.Number), theirs) })
		target.runWhenActive(func() { target.HandleTable(sim.Now, sim.address(m.Number), ours) })
	})
}

// Changed implements membership.Host.
func (m *Member) Changed(change membership.Change) {
	if m.simulation.OnChange != nil {
		m.simulation.OnChange(m.simulation.Now, m, change)
	}
}

// SideChanged implements membership.Host.
func (m *Member) SideChanged(side membership.PartitionSide) { m.sides = append(m.sides, side.String()) }

// Paused implements membership.Host.
func (m *Member) Paused(Micros, bool) { m.Pauses++ }

// NameContested implements membership.Host.
func (m *Member) NameContested(at membership.Address, away bool) {
	m.NameConflicts = append(m.NameConflicts, fmt.Sprintf("%x %v", string(at), away))
}

// Rejected implements membership.Host.
func (m *Member) Rejected(string, membership.Address) {}

// Sides returns the sides of a partition on which the member found itself, in order.
func (m *Member) Sides() string { return strings.Join(m.sides, " ") }

// StateCounts counts the other members by their state in this member's table.
func (m *Member) StateCounts() (states map[membership.State]int) {
	states = map[membership.State]int{}
	m.Each(func(other membership.Member) {
		if !other.Self {
			states[other.State]++
		}
	})
	return states
}

// Entry returns this member's entry of a member.
func (m *Member) Entry(name membership.Name) (found membership.Member) {
	m.Each(func(other membership.Member) {
		if other.Name == name {
			found = other
		}
	})
	return found
}

// RunWhenActive runs a function in the member's process: at once, after Continue if it is stopped, never if it is killed.
func (m *Member) RunWhenActive(run func()) { m.runWhenActive(run) }

// CanConnect reports whether a connection to another member can be opened: both run, and neither direction is cut.
func (m *Member) CanConnect(to *Member) bool {
	sim := m.simulation
	return !m.Killed && !m.Stopped && !to.Killed && !to.Stopped && (sim.Cut == nil || !sim.Cut(m.Number, to.Number) && !sim.Cut(to.Number, m.Number))
}

// MemberAt returns the latest process at an address; nil if there was none.
func (s *Simulation) MemberAt(at membership.Address) *Member {
	if to, known := s.memberByAddress[at]; known {
		return s.Members[to]
	}
	return nil
}

// AddressOf returns the address that belongs to a number of a member.
func (s *Simulation) AddressOf(number int) membership.Address { return s.address(number) }
