package hollow

import (
	"ledgespread/brain"
	"ledgespread/brain/due"
	"ledgespread/internal/discovery"
	"ledgespread/internal/peermessage"
	"ledgespread/internal/site"
)

// World runs hollow sidecars in simulated time, without sockets. Messages are encoded and decoded by the shipped code and
// arrive after a fixed delay. One goroutine drives it, so the same seed gives the same run.
type World struct {
	Account   *Account
	Cores     []*Core
	delay     brain.Micros
	elapsed   brain.Micros
	startTime brain.Micros
	timers    *timerQueue
}

// Now returns the simulated time since the start.
func (w *World) Now() brain.Micros { return w.elapsed }

// NewWorld returns a world of this many sidecars. manifest and load return the settings and the load of each, and saved is
// the server list that all of them start with. delay is the message delay.
func NewWorld(sidecars int, delay brain.Micros, fleet *Fleet, manifest func(i int) (*site.Manifest, error), saved *discovery.List, load func(i int) Load) (*World, error) {
	const start = 1_700_000_000_000_000 // an arbitrary wall-clock time, late enough that servers can have started long before it
	w := &World{Account: NewAccount(sidecars), delay: delay, startTime: start, timers: due.New[brain.Micros]()}
	for i := range sidecars {
		m, err := manifest(i)
		if err != nil {
			return nil, err
		}
		core, err := newCore(m, fleet, load(i), &simulated{w, i}, saved)
		if err != nil {
			return nil, err
		}
		w.Cores = append(w.Cores, core)
		w.timers.Schedule(start+1, func() { core.runEvent(func() { core.setRate(core.load.Rate) }) })
	}
	return w, nil
}

// Run advances the simulated time by span and runs every event that falls due in it.
func (w *World) Run(span brain.Micros) {
	end := w.elapsed + span
	for at, ok := w.timers.Next(); ok && at-w.startTime <= end; at, ok = w.timers.Next() {
		w.elapsed = max(w.elapsed, at-w.startTime)
		w.timers.RunDue(at)
	}
	w.elapsed = end
}

// simulated implements the world interface for sidecar i of a World.
type simulated struct {
	world *World
	index int
}

func (s *simulated) now() brain.Micros { return s.world.startTime + s.world.elapsed }

func (s *simulated) schedule(t brain.Micros, do func()) {
	s.world.timers.Schedule(max(t, s.now()), func() { s.world.Cores[s.index].runEvent(do) })
}

func (s *simulated) send(to brain.Peer, kind brain.MessageKind, about brain.ServerID, figures []float64) {
	msg := peermessage.Append(nil, kind, about, figures...)
	s.world.timers.Schedule(s.now()+s.world.delay, func() {
		kind, about, figures, ok := peermessage.Decode(msg)
		if !ok || int(to) >= len(s.world.Cores) {
			return
		}
		s.world.Account.Record(s.world.elapsed, brain.Peer(s.index), to, kind, len(figures))
		receiver := s.world.Cores[to]
		receiver.runEvent(func() { receiver.handleMessage(brain.Peer(s.index), kind, about, figures) })
	})
}

// subscribe answers with an empty change, because the saved list stays valid for the whole run. Without an answer the
// balancer would repeat the call.
func (s *simulated) subscribe() {
	core := s.world.Cores[s.index]
	empty := &discovery.List{}
	s.world.timers.Schedule(s.now()+s.world.delay, func() { core.runEvent(func() { core.passList(brain.ListChanges, empty) }) })
}
