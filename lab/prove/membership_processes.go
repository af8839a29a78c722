package prove

// membership_processes.go: claims that are shown by real processes, against the lab's truth.

import (
	"fmt"
	"slices"
	"syscall"
	"time"

	"ledgespread/lab/chance"
	"ledgespread/lab/clock"
	"ledgespread/lab/judge"
	"ledgespread/lab/network"
	"ledgespread/lab/sidecars"
	"ledgespread/lab/stage"
)

// muster is real processes at work.
type muster struct {
	*stage.Rig
	many int
	over chan error
	verd *judge.Verdict
}

func (p *Proof) muster(seed uint64, many int) (*muster, error) {
	s := p.parse(mustered, seed, many, probeEvery.Duration(), many*visitsEach)
	g, err := stage.Raise(s, stage.Options{Program: sidecars.Program{Path: p.Sidecar.Path, Args: []string{"serve"}, Name: p.Sidecar.Name}, Seed: seed, Stop: p.Stop})
	if err != nil {
		return nil, err
	}
	m := &muster{Rig: g, many: many, over: make(chan error, 1)}
	go func() {
		r, err := g.Run()
		if err == nil {
			m.verd = r.Verdict
		}
		m.over <- err
	}()
	if _, err := m.Await(m.all(), 60*time.Second, stage.Agree(m.all())); err != nil {
		g.Close()
		return nil, err
	}
	return m, nil
}

func (m *muster) all(but ...int) (out []int) {
	for i := range m.many {
		if !slices.Contains(but, i) {
			out = append(out, i)
		}
	}
	return out
}

// end stops the visits, and tells what was broken and who was held for dead falsely.
func (m *muster) end() (broken []judge.Broken, false_ []judge.Word, err error) {
	m.Cease()
	if err = <-m.over; err != nil {
		return nil, nil, err
	}
	truth := m.Muster()
	for _, w := range m.Words() {
		if truth.False(w, 4*clock.Second, borneStill) {
			false_ = append(false_, w)
		}
	}
	m.Close()
	return m.verd.Certain(), false_, nil
}

// knownAfter is how long after a time the last of these said that one is dead.
func (m *muster) knownAfter(name string, since clock.Micros, by []int) clock.Micros {
	last := map[string]clock.Micros{}
	for _, w := range m.Words() {
		if w.Name == name && w.Is == "dead" && w.At >= since {
			if _, had := last[w.By]; !had {
				last[w.By] = w.At - since
			}
		}
	}
	most := clock.Micros(-1)
	for _, i := range by {
		took, said := last[fmt.Sprint("n", i)]
		if !said {
			return -1
		}
		most = max(most, took)
	}
	return most
}

const processes = "the processes' logs, against the lab's truth"

func (p *Proof) together() error {
	many, kills, disturbed, schedules := 50, 20, 120*clock.Second, 30
	if p.Quick {
		many, kills, disturbed, schedules = 16, 2, 5*clock.Second, 1
	}
	p.say("%d processes", many)
	m, err := p.muster(p.Seed, many)
	if err != nil {
		return err
	}
	defer m.Close()
	if err := p.cost(m); err != nil {
		return err
	}
	var known, back []clock.Micros
	draw := chance.New(p.Seed, "muster")
	for n := range kills {
		p.say("kill %d of %d", n+1, kills)
		i := draw.Below(many)
		at := m.Now()
		m.Kill(i)
		name := fmt.Sprint("n", i)
		if _, err := m.Await(m.all(i), 30*time.Second, stage.Holds(name, "dead")); err != nil {
			return err
		}
		known = append(known, m.knownAfter(name, at, m.all(i)))
		if err := m.Start(i, n%3 == 2); err != nil {
			return err
		}
		took, err := m.Await(m.all(), 30*time.Second, stage.Agree(m.all()))
		if err != nil {
			return err
		}
		back = append(back, took)
	}
	p.claim(within(known, knownWithin) >= (19*kills+19)/20, fmt.Sprintf("a killed process of %d is known to all", many), "3 s in 19 of 20", processes, "%s", seconds(known))
	p.note("restarted, at another address each third time: all agree after its start", "the processes' tables", "%s", seconds(back))

	p.say("pauses of 1 s and cuts of one direction at 10%% loss, %.0f member-minutes", float64(many)*float64(disturbed)/60e6)
	all := func(do func(i, j int)) {
		for i := range many {
			for j := range many {
				if i != j {
					do(i, j)
				}
			}
		}
	}
	all(func(i, j int) { m.Link(i, j, func(l *network.Link) { l.Lost = 0.1 }) })
	mark, begun := m.Now(), m.Now()
	for m.Now()-begun < disturbed {
		from, to, still := draw.Below(many), draw.Below(many), draw.Below(many)
		half := draw.Float() < 0.3
		cut := func(on bool) {
			for j := range many {
				if j != from && (j == to || half && j%2 == 0) {
					m.Cut(from, j, on)
				}
			}
		}
		cut(true)
		m.Signal(still, syscall.SIGSTOP)
		(borneStill * 9 / 10).Sleep() // the lab itself oversleeps
		m.Signal(still, syscall.SIGCONT)
		(1500 * clock.Milli).Sleep()
		cut(false)
	}
	played := float64(many) * float64(m.Now()-begun) / 60e6
	all(func(i, j int) { m.Link(i, j, func(l *network.Link) { l.Lost = 0 }) })
	deaths := 0
	truth := m.Muster()
	for _, w := range m.Words() {
		if w.At >= mark && truth.False(w, 4*clock.Second, borneStill) {
			deaths++
		}
	}
	p.claim(deaths == 0, fmt.Sprintf("no false death among processes: pauses of 1 s, cuts one way, 10%% lost, %.0f member-minutes", played), "0 words", processes, "%d", deaths)
	settled, err := m.Await(m.all(), 30*time.Second, stage.Agree(m.all()))
	if err != nil {
		return err
	}

	p.say("halves")
	all(func(i, j int) {
		if i%2 != j%2 {
			m.Cut(i, j, true)
		}
	})
	for side := range 2 {
		var ours []int
		for i := side; i < many; i += 2 {
			ours = append(ours, i)
		}
		if _, err := m.Await(ours, 30*time.Second, func(i int, t *stage.Table) bool {
			return stage.Agree(ours)(i, t) && t.Part == "lesser" && t.Senders >= many
		}); err != nil {
			return err
		}
	}
	all(func(i, j int) {
		if i%2 != j%2 {
			m.Cut(i, j, false)
		}
	})
	healed, err := m.Await(m.all(), 30*time.Second, stage.Agree(m.all()))
	if err != nil {
		return err
	}
	p.claim(healed <= healWithin, "halves are healed: all agree", "2 s", "the processes' tables, looked at in turn", "%.2f s (after the disturbance %.2f s)", float64(healed)/1e6, float64(settled)/1e6)
	if err := p.flood(m); err != nil {
		return err
	}
	broken, lies, err := m.end()
	if err != nil {
		return err
	}
	p.claim(len(broken) == 0, "the visits meanwhile: none lost, no effect twice", "no rule broken", "judge, by all accounts", "%s", first(broken))
	p.claim(len(lies) == 0, "no false death in all of this", "0 words", processes, "%d", len(lies))
	return p.schedules(schedules)
}

func first(broken []judge.Broken) string {
	if len(broken) == 0 {
		return "none"
	}
	return fmt.Sprintf("%d, first %v", len(broken), broken[0])
}
