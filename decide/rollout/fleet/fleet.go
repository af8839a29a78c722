// Package fleet plays many members that carry configurations in simulated time, on membership's crowd: one seed gives one
// run. It is a test's and a proof's tool, and no part of a sidecar. Stubbed are requests (drawn by chance, at a rate for each
// member), the disk and the taking over of a configuration (both take Disk), and connections (two ways there and back, a
// lost packet costs Resend); what members decide and say is the program's own code.
package fleet

import (
	"crypto/sha256"
	"fmt"

	"ledgespread/decide/membership"
	"ledgespread/decide/membership/crowd"
	"ledgespread/decide/rollout"
)

type Micros = membership.Micros

// What is stubbed takes so long, in microseconds, and so many bytes.
const (
	Disk    Micros = 10_000
	Resend  Micros = 200_000
	packet         = 1460
	heads          = 40  // of a packet of a connection
	dgram          = 28  // of a datagram
	packets        = 8   // of a connection beside its content
	asking         = 100 // bytes
)

// Content is a configuration as the fleet knows it.
type Content struct {
	rollout.Version
	Path    rollout.Path
	Size    int
	Share   float64              // of requests succeeded under it
	Refusal string               // it can't be read, or taken,
	Refuses func(place int) bool // by these; nil: by all
	Kills   bool                 // whoever takes it
}

// Fleet is a run.
type Fleet struct {
	*crowd.Crowd
	Sidecars []*Sidecar // by place; one that restarts has the same
	Contents map[rollout.Version]Content
	Rate     func(i int) float64 // requests a second
	Killed   int                 // by what they took
	Told     func(at Micros, i int, e rollout.Event)
	terms    membership.Terms
	unguard  string
	seed     uint64
	drawn    uint64
}

// Sidecar is a member.
type Sidecar struct {
	*rollout.Node
	Member                  *crowd.Member
	Kept                    rollout.Kept    // its disk
	Force, Live             rollout.Version // in force; on trial or in force
	Fell                    int             // times that the number in force fell
	Served, Fetches, Missed int
	fleet                   *Fleet
	place, life             int
	figures                 rollout.Figures
	counted                 Micros
	part                    float64
	armed                   Micros
	Wrong                   int // contents taken that were another number's
	bytes, before           int // sent, and come, before this life
}

// New has so many members that know each other.
func New(seed uint64, many int, terms membership.Terms, unguard string, rate func(int) float64) *Fleet {
	f := &Fleet{Crowd: crowd.New(seed, many, terms, true), Contents: map[rollout.Version]Content{}, Rate: rate, terms: terms, unguard: unguard, seed: seed}
	for i, m := range f.Members {
		c := &Sidecar{Member: m, fleet: f, place: i}
		f.Sidecars = append(f.Sidecars, c)
		c.begin()
	}
	return f
}

func (f *Fleet) chance() float64 {
	f.drawn++
	return membership.Draw(f.seed+77, f.drawn)
}

func (c *Sidecar) begin() {
	c.counted, c.figures = c.fleet.Now, rollout.Figures{}
	c.Force, c.Live = c.Kept.InForce, c.Kept.InForce
	c.life++
	c.armed = 0
	c.Node = nil
	node := rollout.New(c.fleet.Now, crowd.Name(c.place), rollout.Terms{Every: c.fleet.terms.Every, Unguard: c.fleet.unguard}, c.Kept,
		membership.Mix(c.fleet.seed, uint64(c.place)), c)
	c.Node = node
	c.Member.Piggyback(node.Word, func(from membership.Name, at membership.Address, word []byte) {
		node.Heard(c.fleet.Now, from, at, word)
		c.arm()
	})
	c.arm()
}

// Restart kills a member's process and starts it anew after a while.
func (f *Fleet) Restart(i int, after Micros) {
	c := f.Sidecars[i]
	c.Member.Kill()
	c.bytes, c.before = c.Out(), c.In()
	f.Later(after, func() {
		c.Member = f.Add(crowd.Name(i), i, f.terms)
		c.Member.Join(f.Now, []membership.Address{f.At((i + 1) % len(f.Sidecars)), f.At((i + 7) % len(f.Sidecars))})
		c.begin()
	})
}

// run does something in this process, if it is still this life's.
func (c *Sidecar) run(do func()) func() {
	life := c.life
	return func() {
		c.Member.Do(func() {
			if c.life == life {
				do()
				c.arm()
			}
		})
	}
}

func (c *Sidecar) arm() {
	if c.Node == nil || c.Member.Gone {
		return
	}
	at := max(c.Node.Due(), c.fleet.Now+1)
	if c.armed > c.fleet.Now && c.armed <= at {
		return
	}
	c.armed = at
	c.fleet.Later(at-c.fleet.Now, c.run(func() {
		if c.armed == at { // it is the one timer
			c.armed = 0
			c.Node.Tick(c.fleet.Now)
		}
	}))
}

// Publish hands a content over to a member, as staff do.
func (f *Fleet) Publish(i int, x Content) (rollout.Version, error) {
	x.Digest = rollout.Digest(sum(fmt.Sprint(x.Number, x.Size, x.Share, x.Refusal, x.Kills)))
	f.Contents[x.Version] = x
	c := f.Sidecars[i]
	c.keep(x.Version)
	err := c.Node.Published(f.Now, x.Version, x.Path)
	c.arm()
	return x.Version, err
}

func sum(text string) (d [16]byte) {
	all := sha256.Sum256([]byte(text))
	copy(d[:], all[:])
	return d
}

func (c *Sidecar) keep(v rollout.Version) {
	c.Kept.Newest, c.Kept.Path, c.Kept.Tries = v, c.fleet.Contents[v].Path, 0
}

// travel is how long a packet of a connection takes to come through.
func (f *Fleet) travel() Micros {
	took, again := f.Weather.Delay+f.Weather.Spread/2, Resend
	for f.chance() < f.Weather.Lost && again < 2_000_000 {
		took += again
		again *= 2
	}
	return took
}

// Fetch is the node's.
func (c *Sidecar) Fetch(from rollout.Name, at rollout.Address, v rollout.Version) {
	f := c.fleet
	c.Fetches++
	to := f.Of(at)
	missed := func(after Micros, unfit bool) {
		f.Later(after, c.run(func() {
			c.Missed++
			c.Node.Missed(f.Now, v, from, unfit)
		}))
	}
	if to == nil || !c.Member.Opens(to) {
		missed(f.terms.Every, false)
		return
	}
	f.Later(f.travel()+f.travel()+f.travel(), func() {
		if !c.Member.Opens(to) {
			missed(f.terms.Every, false)
			return
		}
		other := f.Sidecars[to.Number]
		there := other.Node != nil && other.Node.Serve(f.Now, v)
		bytes := packets * heads
		if there {
			other.Served++
			size := f.Contents[v].Size
			bytes += size + size/packet*heads*3/2
		}
		other.Member.Out += bytes
		c.Member.Out += asking + packets*heads
		c.Member.In += bytes
		back := f.travel()
		if !there {
			missed(back, false)
			return
		}
		f.Later(back+Disk, c.run(func() {
			x := f.Contents[v]
			why := x.Refusal
			if x.Refuses != nil && !x.Refuses(c.place) {
				why = ""
			}
			if why == "" {
				c.keep(v)
			}
			c.Node.Fetched(f.Now, v, x.Path, from, why)
		}))
	})
}

// Try is the node's.
func (c *Sidecar) Try(v rollout.Version, tries int, before rollout.Share) {
	f := c.fleet
	f.Later(Disk, c.run(func() {
		if c.Kept.Newest == v {
			c.Kept.Tries, c.Kept.Before = tries, before
		}
		c.Node.Tried(f.Now, v, "")
	}))
}

// Apply is the node's.
func (c *Sidecar) Apply(v rollout.Version, trial bool) {
	f := c.fleet
	f.Later(Disk, c.run(func() {
		if f.Contents[v].Kills {
			f.Killed++
			f.Restart(c.place, 1_000_000)
			return
		}
		c.count()
		if c.Live = v; !trial {
			if v.Number < c.Force.Number {
				c.Fell++
			}
			c.Force, c.Kept.InForce = v, v
		}
		c.Node.Applied(f.Now, v, trial, "")
	}))
}

func (c *Sidecar) Tell(to rollout.Name)                { c.Member.Tell(c.fleet.Now, to) }
func (c *Sidecar) Spread(many int)                     { c.Member.Spread(c.fleet.Now, many) }
func (c *Sidecar) Living(each func(name rollout.Name)) { c.Member.Living(each) }
func (c *Sidecar) Happened(e rollout.Event) {
	if c.fleet.Told != nil {
		c.fleet.Told(c.fleet.Now, c.place, e)
	}
}

// count draws the requests since the last look.
func (c *Sidecar) count() {
	c.part += c.fleet.Rate(c.place) * float64(c.fleet.Now-c.counted) / 1e6
	c.counted = c.fleet.Now
	share := 0.995
	if x, known := c.fleet.Contents[c.Live]; known && x.Share > 0 {
		share = x.Share
	}
	for ; c.part >= 1; c.part-- {
		c.figures.Taken++
		c.figures.Ended++
		if c.fleet.chance() < share {
			c.figures.Succeeded++
		}
	}
}

// Figures is the node's.
func (c *Sidecar) Figures() rollout.Figures {
	c.count()
	return c.figures
}

// Life is which of its processes it is, from 1.
func (c *Sidecar) Life() int { return c.life }

// Out is how many bytes a member sent in datagrams and contents, with the heads of packets; full exchanges of membership are not in it.
func (c *Sidecar) Out() int { return c.bytes + c.Member.Out + dgram*c.Member.Sent }

// In is how many bytes came to it so.
func (c *Sidecar) In() int { return c.before + c.Member.In + dgram*c.Member.Came }

// In is whether all members that run have this version in force.
func (f *Fleet) In(v rollout.Version) func() bool {
	return func() bool {
		for _, c := range f.Sidecars {
			if !c.Member.Gone && !c.Member.Still && c.Force != v {
				return false
			}
		}
		return true
	}
}

// Has counts those that have it in force, or on trial.
func (f *Fleet) Has(v rollout.Version) (many int) {
	for _, c := range f.Sidecars {
		if c.Live == v {
			many++
		}
	}
	return many
}
