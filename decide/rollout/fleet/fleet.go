// Package fleet simulates many members that roll out configurations, on top of membership's simulation
// (package membersim). Time is simulated and a run is determined by its seed. Only tests use it. Decisions and
// messages are those of the production code. Simulated are requests (random, at a rate per member), disk
// writes and applying a configuration (each takes Disk), and connections (two round trips; a lost packet
// costs Resend).
package fleet

import (
	"crypto/sha256"
	"fmt"

	"ledgespread/decide/membership"
	"ledgespread/decide/membership/membersim"
	"ledgespread/decide/rollout"
)

type Micros = membership.Micros

// Durations in microseconds and sizes in bytes of the simulated operations.
const (
	Disk              Micros = 10_000
	Resend            Micros = 200_000
	packetContent            = 1460 // content bytes per TCP packet
	tcpHeader                = 40   // header bytes of a TCP packet
	udpHeader                = 28   // header bytes of a UDP datagram
	connectionPackets        = 8    // packets of a connection beyond those with content
	requestBytes             = 100  // bytes of a download request
)

// Content is a simulated configuration and its effects.
type Content struct {
	rollout.Version
	Policy       rollout.CanaryPolicy
	Size         int
	SuccessShare float64              // share of requests that succeed under it
	Refusal      string               // reason why it is refused; empty if it is valid
	Refuses      func(index int) bool // members that refuse it; nil means all
	Crashes      bool                 // ends the process of a member that applies it
}

// Fleet is one simulation run.
type Fleet struct {
	*membersim.Simulation
	Sidecars          []*Sidecar // indexed by member; a restart keeps the index
	Contents          map[rollout.Version]Content
	Rate              func(i int) float64                     // requests per second of member i
	Crashed           int                                     // number of processes that a configuration ended
	OnEvent           func(at Micros, i int, e rollout.Event) // called for each event of a node
	config            membership.Config
	disabledSafeguard string
	seed              uint64
	randomCalls       uint64
}

// Sidecar is one simulated member.
type Sidecar struct {
	*rollout.Node
	Member                     *membersim.Member
	Saved                      rollout.SavedState // the state on its disk
	Force, AppliedVersion      rollout.Version    // in force; applied, for a trial or in force
	Decreases                  int                // how often the number in force fell
	Served, Fetches, Missed    int
	fleet                      *Fleet
	index, process             int
	counts                     rollout.RequestCounts
	countedUntil               Micros
	requestFraction            float64
	tickAt                     Micros
	Wrong                      int // unused
	sentBefore, receivedBefore int // bytes sent and received by earlier processes
}

// New returns a fleet of many members that know each other.
func New(seed uint64, members int, config membership.Config, disabledSafeguard string, rate func(int) float64) *Fleet {
	f := &Fleet{Simulation: membersim.New(seed, members, config, true), Contents: map[rollout.Version]Content{}, Rate: rate, config: config,
		disabledSafeguard: disabledSafeguard, seed: seed}
	for i, m := range f.Members {
		sidecar := &Sidecar{Member: m, fleet: f, index: i}
		f.Sidecars = append(f.Sidecars, sidecar)
		sidecar.start()
	}
	return f
}

// random returns the next pseudo-random number in [0, 1).
func (f *Fleet) random() float64 {
	f.randomCalls++
	return membership.RandomFloat(f.seed+77, f.randomCalls)
}

// start starts a new process from the saved state.
func (s *Sidecar) start() {
	s.countedUntil, s.counts = s.fleet.Now, rollout.RequestCounts{}
	s.Force, s.AppliedVersion = s.Saved.InForce, s.Saved.InForce
	s.process++
	s.tickAt = 0
	s.Node = nil
	node := rollout.New(s.fleet.Now, membersim.Name(s.index),
		rollout.Config{ProbeInterval: s.fleet.config.ProbeInterval, DisabledSafeguard: s.fleet.disabledSafeguard}, s.Saved,
		membership.RandomBits(s.fleet.seed, uint64(s.index)), s)
	s.Node = node
	s.Member.Piggyback(node.EncodeMessage, func(from membership.Name, at membership.Address, message []byte) {
		node.Receive(s.fleet.Now, from, at, message)
		s.scheduleTick()
	})
	s.scheduleTick()
}

// Restart kills a member's process and starts a new one after a delay.
func (f *Fleet) Restart(i int, after Micros) {
	sidecar := f.Sidecars[i]
	sidecar.Member.Kill()
	sidecar.sentBefore, sidecar.receivedBefore = sidecar.Out(), sidecar.In()
	f.Schedule(after, func() {
		sidecar.Member = f.Add(membersim.Name(i), i, f.config)
		sidecar.Member.Join(f.Now, []membership.Address{f.AddressOf((i + 1) % len(f.Sidecars)), f.AddressOf((i + 7) % len(f.Sidecars))})
		sidecar.start()
	})
}

// run returns a function that calls do unless the process has been restarted since.
func (s *Sidecar) run(do func()) func() {
	process := s.process
	return func() {
		s.Member.RunWhenActive(func() {
			if s.process == process {
				do()
				s.scheduleTick()
			}
		})
	}
}

// scheduleTick schedules the node's next Tick.
func (s *Sidecar) scheduleTick() {
	if s.Node == nil || s.Member.Killed {
		return
	}
	at := max(s.Node.Due(), s.fleet.Now+1)
	if s.tickAt > s.fleet.Now && s.tickAt <= at {
		return
	}
	s.tickAt = at
	s.fleet.Schedule(at-s.fleet.Now, s.run(func() {
		if s.tickAt == at { // no later call of scheduleTick replaced this timer
			s.tickAt = 0
			s.Node.Tick(s.fleet.Now)
		}
	}))
}

// Publish publishes a configuration at a member, as an operator does.
func (f *Fleet) Publish(i int, content Content) (rollout.Version, error) {
	content.Digest = rollout.Digest(sum(fmt.Sprint(content.Number, content.Size, content.SuccessShare, content.Refusal, content.Crashes)))
	f.Contents[content.Version] = content
	sidecar := f.Sidecars[i]
	sidecar.saveNewest(content.Version)
	err := sidecar.Node.Publish(f.Now, content.Version, content.Policy)
	sidecar.scheduleTick()
	return content.Version, err
}

func sum(text string) (d [16]byte) {
	all := sha256.Sum256([]byte(text))
	copy(d[:], all[:])
	return d
}

// saveNewest saves the newest configuration to the simulated disk.
func (s *Sidecar) saveNewest(v rollout.Version) {
	s.Saved.Newest, s.Saved.Policy, s.Saved.Trials = v, s.fleet.Contents[v].Policy, 0
}

// packetDelay returns the time a packet of a connection needs, with retransmissions.
func (f *Fleet) packetDelay() Micros {
	delay, resendDelay := f.Network.Delay+f.Network.Jitter/2, Resend
	for f.random() < f.Network.LossRate && resendDelay < 2_000_000 {
		delay += resendDelay
		resendDelay *= 2
	}
	return delay
}

// Fetch implements rollout.Ports.
func (s *Sidecar) Fetch(from rollout.Name, at rollout.Address, version rollout.Version) {
	fleet := s.fleet
	s.Fetches++
	to := fleet.MemberAt(at)
	missed := func(after Micros, unfit bool) {
		fleet.Schedule(after, s.run(func() {
			s.Missed++
			s.Node.FetchFailed(fleet.Now, version, from, unfit)
		}))
	}
	if to == nil || !s.Member.CanConnect(to) {
		missed(fleet.config.ProbeInterval, false)
		return
	}
	fleet.Schedule(fleet.packetDelay()+fleet.packetDelay()+fleet.packetDelay(), func() {
		if !s.Member.CanConnect(to) {
			missed(fleet.config.ProbeInterval, false)
			return
		}
		other := fleet.Sidecars[to.Number]
		served := other.Node != nil && other.Node.MayServe(fleet.Now, version)
		bytes := connectionPackets * tcpHeader
		if served {
			other.Served++
			size := fleet.Contents[version].Size
			bytes += size + size/packetContent*tcpHeader*3/2
		}
		other.Member.SentBytes += bytes
		s.Member.SentBytes += requestBytes + connectionPackets*tcpHeader
		s.Member.ReceivedBytes += bytes
		back := fleet.packetDelay()
		if !served {
			missed(back, false)
			return
		}
		fleet.Schedule(back+Disk, s.run(func() {
			content := fleet.Contents[version]
			reason := content.Refusal
			if content.Refuses != nil && !content.Refuses(s.index) {
				reason = ""
			}
			if reason == "" {
				s.saveNewest(version)
			}
			s.Node.FetchDone(fleet.Now, version, content.Policy, from, reason)
		}))
	})
}

// SaveTrial implements rollout.Ports.
func (s *Sidecar) SaveTrial(v rollout.Version, trials int, baseline rollout.Results) {
	f := s.fleet
	f.Schedule(Disk, s.run(func() {
		if s.Saved.Newest == v {
			s.Saved.Trials, s.Saved.Baseline = trials, baseline
		}
		s.Node.TrialSaved(f.Now, v, "")
	}))
}

// SaveOutcome implements rollout.Ports.
func (s *Sidecar) SaveOutcome(outcome rollout.Outcome) {
	s.fleet.Schedule(Disk, s.run(func() { s.Saved.Outcome = outcome }))
}

// Apply implements rollout.Ports.
func (s *Sidecar) Apply(version rollout.Version, trial bool) {
	f := s.fleet
	f.Schedule(Disk, s.run(func() {
		if f.Contents[version].Crashes {
			f.Crashed++
			f.Restart(s.index, 1_000_000)
			return
		}
		s.updateCounts()
		if s.AppliedVersion = version; !trial {
			if version.Number < s.Force.Number {
				s.Decreases++
			}
			s.Force, s.Saved.InForce = version, version
		}
		s.Node.ApplyDone(f.Now, version, trial, "")
	}))
}

// SendTo implements rollout.Ports.
func (s *Sidecar) SendTo(to rollout.Name) { s.Member.SendUpdates(s.fleet.Now, to) }

// SendToRandom implements rollout.Ports.
func (s *Sidecar) SendToRandom(count int) { s.Member.SendUpdatesRandomly(s.fleet.Now, count) }

// EachLive implements rollout.Ports.
func (s *Sidecar) EachLive(each func(name rollout.Name)) { s.Member.EachLiving(each) }

// OnEvent implements rollout.Ports.
func (s *Sidecar) OnEvent(e rollout.Event) {
	if s.fleet.OnEvent != nil {
		s.fleet.OnEvent(s.fleet.Now, s.index, e)
	}
}

// updateCounts simulates the requests since the last call.
func (s *Sidecar) updateCounts() {
	s.requestFraction += s.fleet.Rate(s.index) * float64(s.fleet.Now-s.countedUntil) / 1e6
	s.countedUntil = s.fleet.Now
	share := 0.995
	if content, known := s.fleet.Contents[s.AppliedVersion]; known && content.SuccessShare > 0 {
		share = content.SuccessShare
	}
	for ; s.requestFraction >= 1; s.requestFraction-- {
		s.counts.Started++
		s.counts.Ended++
		if s.fleet.random() < share {
			s.counts.Succeeded++
		}
	}
}

// RequestCounts implements rollout.Ports.
func (s *Sidecar) RequestCounts() rollout.RequestCounts {
	s.updateCounts()
	return s.counts
}

// ProcessNumber returns the number of the member's current process, counted from 1.
func (s *Sidecar) ProcessNumber() int { return s.process }

// Out returns the number of bytes that a member sent in datagrams and downloads, including packet headers.
// Membership's full state exchanges are not included.
func (s *Sidecar) Out() int {
	return s.sentBefore + s.Member.SentBytes + udpHeader*s.Member.SentDatagrams
}

// In returns the number of bytes that a member received, counted as in Out.
func (s *Sidecar) In() int {
	return s.receivedBefore + s.Member.ReceivedBytes + udpHeader*s.Member.ReceivedDatagrams
}

// InForceEverywhere returns a check that all running members have v in force.
func (f *Fleet) InForceEverywhere(v rollout.Version) func() bool {
	return func() bool {
		for _, sidecar := range f.Sidecars {
			if !sidecar.Member.Killed && !sidecar.Member.Stopped && sidecar.Force != v {
				return false
			}
		}
		return true
	}
}

// CountApplied counts the members that have applied v, for a trial or in force.
func (f *Fleet) CountApplied(v rollout.Version) (count int) {
	for _, sidecar := range f.Sidecars {
		if sidecar.AppliedVersion == v {
			count++
		}
	}
	return count
}
