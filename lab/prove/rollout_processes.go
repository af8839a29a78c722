package prove

// rollout_processes.go: claims that are shown by real processes.

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"ledgespread/lab/clock"
	"ledgespread/lab/network"
	"ledgespread/lab/sidecars"
	"ledgespread/lab/stage"
)

const carried = `name = "carried"
length = "3600s"
zones = ["bangna", "lat-krabang", "chon-buri"]
seed = %d
[sidecars]
count = %d
[members]
probe_every = %q
control = 2
` + atWork

// goodOne does nobody harm; no two are alike.
func goodOne(no int) string {
	return fmt.Sprintf("{\"settings\": {\"beyond_share_value\": %g}}", 0.1+float64(no)/10_000)
}

// harmfulOne lets no connection come about.
const harmfulOne = "{\"settings\": {\"allowed\": {\"conn_idle_us\": 1, \"connect_timeout_us\": 1}}}"

// train is real processes that carry configurations, with the next number.
type train struct {
	*muster
	no uint64
}

func (t *train) publish(at int, text string) (begun clock.Micros, err error) {
	t.no++
	begun = t.Now()
	refused, err := t.Publish(at, t.no, text)
	if err == nil && refused != "" {
		err = fmt.Errorf("number %d is refused: %s", t.no, refused)
	}
	return begun, err
}

// inForceAfter is how long after a time the last of these said that the newest number, or a higher one, is in force.
func (t *train) inForceAfter(since clock.Micros, of []int) clock.Micros {
	at := map[int]clock.Micros{}
	for _, f := range t.Forces() {
		if _, had := at[f.Sidecar]; !had && f.Number >= t.no {
			at[f.Sidecar] = f.At
		}
	}
	most := clock.Micros(0)
	for _, i := range of {
		when, there := at[i]
		if !there {
			return -1
		}
		most = max(most, when-since)
	}
	return most
}

// carry plays real processes.
func (p *Proof) carry() error {
	many, calm := 24, 10
	if p.Quick {
		many, calm = 12, 3
	}
	p.say("%d processes", many)
	s := p.parse(carried, p.Seed, many, probeEvery.Duration(), many*carriedVisits)
	g, err := stage.Raise(s, stage.Options{Program: sidecars.Program{Path: p.Sidecar.Path, Args: []string{"serve"}, Name: p.Sidecar.Name}, Seed: p.Seed, Stop: p.Stop})
	if err != nil {
		return err
	}
	t := &train{muster: &muster{Rig: g, many: many, over: make(chan error, 1)}}
	defer t.Close()
	go func() {
		r, err := g.Run()
		if err == nil {
			t.verd = r.Verdict
		}
		t.over <- err
	}()
	if _, err := t.Await(t.all(), 60*time.Second, stage.Agree(t.all())); err != nil {
		return err
	}
	rest.Sleep()
	if err := p.carriedCalm(t, calm); err != nil {
		return err
	}
	if err := p.carriedFaults(t); err != nil {
		return err
	}
	if err := p.carriedHarm(t); err != nil {
		return err
	}
	last, fell := map[int]uint64{}, 0
	for _, f := range t.Forces() {
		if f.Number < last[f.Sidecar] {
			fell++
		}
		last[f.Sidecar] = f.Number
	}
	p.claim(fell == 0, "no number in force fell, among processes", "0 times", rolloutLogs, "%d", fell)
	visits := len(t.Tries())
	broken, lies, err := t.end()
	if err != nil {
		return err
	}
	p.claim(len(broken) == 0, "the visits meanwhile: none lost, no effect twice", "no rule broken", "judge, by all accounts", "%s, of %d tries", first(broken), visits)
	p.claim(len(lies) == 0, "no false death in all of this", "0 words", processes, "%d", len(lies))
	return nil
}

func (t *train) sums() (datagrams, copies, served int64, err error) {
	for i := range t.many {
		m, err := t.Table(i)
		if err != nil {
			return 0, 0, 0, err
		}
		c, err := t.Carried(i)
		if err != nil {
			return 0, 0, 0, err
		}
		datagrams += m.Counts["sent_bytes"]
		copies, served = max(copies, c.Counts["served"]), served+c.Counts["served_bytes"]
	}
	return datagrams, copies, served, nil
}

func (p *Proof) carriedCalm(t *train, times int) error {
	d0, _, s0, err := t.sums()
	if err != nil {
		return err
	}
	begun := t.Now()
	(4 * clock.Second).Sleep()
	d1, c1, _, err := t.sums()
	if err != nil {
		return err
	}
	calm := float64(d1-d0) / float64(t.many) / (float64(t.Now()-begun) / 1e6)
	begun = t.Now()
	var took []clock.Micros
	for n := range times {
		p.say("a change, %d of %d", n+1, times)
		one, err := t.change(n%2, t.all(), nil)
		if err != nil {
			return err
		}
		took = append(took, one)
	}
	d2, c2, s2, err := t.sums()
	if err != nil {
		return err
	}
	span := float64(t.Now()-begun) / 1e6
	each := float64(d2-d1+s2-s0)/float64(t.many) - span*calm
	p.claim(within(took, forceWithin) == times, fmt.Sprintf("a change is in force at the last of %d processes", t.many), "6 s", rolloutLogs, "%s", seconds(took))
	p.claim(calm+each/float64(times)/changeEvery < controlBytes, "bytes a second and process over the 51 s between two changes", "18,000", "the processes' counters",
		"%.0f of membership's messages with the words in, and %.0f a change; %d copies at the most from one, in %d changes", calm, each/float64(times), c2-c1, times)
	return nil
}

func (p *Proof) carriedFaults(t *train) error {
	many := t.many
	draw := func(i int) int { return 2 + (int(p.Seed)*5+i*3)%(many-2) } // no control machine
	killed, still, cut := draw(0), draw(1), draw(2)
	var ready, gone clock.Micros
	p.say("one is killed, one stands still, in the middle")
	_, err := t.change(0, t.all(), func() error {
		(300 * clock.Milli).Sleep()
		t.Signal(still, syscall.SIGSTOP)
		t.Kill(killed)
		(1500 * clock.Milli).Sleep()
		t.Signal(still, syscall.SIGCONT)
		gone = t.Now()
		ready = t.Now()
		return t.Start(killed, false)
	})
	if err != nil {
		return err
	}
	back, went := t.inForceAfter(ready, []int{killed}), t.inForceAfter(gone, []int{still})
	others := t.inForceAfter(gone, t.all(killed, still))
	p.claim(within([]clock.Micros{max(back, 0), max(went, 0), max(others, 0)}, forceWithin) == 3, "one is killed and one stopped for 1.5 s, 0.3 s after a change: in force at them, and at all others", "6 s after start and pause", rolloutLogs,
		"killed: %.3f s, stopped: %.3f s, others %.3f s", secs(back), secs(went), secs(others))

	(4 * clock.Second).Sleep()
	p.say("cut off in one direction")
	for j := range many {
		if j != cut {
			t.Cut(j, cut, true)
		}
	}
	if _, err := t.change(1, t.all(cut), nil); err != nil {
		return err
	}
	(2 * clock.Second).Sleep()
	c, err := t.Carried(cut)
	if err != nil {
		return err
	}
	kept := c.InForce == t.no-1
	mended := t.Now()
	for j := range many {
		if j != cut {
			t.Cut(j, cut, false)
		}
	}
	if _, err := t.AwaitCarried(t.all(), 30*time.Second, stage.InForce(t.no)); err != nil {
		return err
	}
	reached := t.inForceAfter(mended, []int{cut})
	p.claim(kept && reached >= 0 && reached <= forceWithin, "every word to one is cut during a change: it goes on with its last, and has the newest once mended", "its last; 6 s", rolloutLogs,
		"its last: %v; %.2f s", kept, secs(reached))

	p.say("30%% lost")
	each := func(lost float64) {
		for i := range many {
			for j := range many {
				if i != j {
					t.Link(i, j, func(l *network.Link) { l.Lost = lost })
				}
			}
		}
	}
	each(0.3)
	(3 * clock.Second).Sleep()
	lossy, err := t.change(0, t.all(), nil)
	if err != nil {
		return err
	}
	each(0)
	p.claim(lossy >= 0 && lossy <= forceWithin, "a change with 30% of datagrams lost between all", "6 s", rolloutLogs, "%.2f s", secs(lossy))

	p.say("halves, with a change in one")
	half := func(on bool) {
		for i := range many {
			for j := range many {
				if i%2 != j%2 {
					t.Cut(i, j, on)
				}
			}
		}
	}
	var ours []int
	for i := 0; i < many; i += 2 {
		ours = append(ours, i)
	}
	half(true)
	(4 * clock.Second).Sleep() // most hold the other half for dead
	if _, err := t.change(0, ours, nil); err != nil {
		return err
	}
	mended = t.Now()
	half(false)
	if _, err := t.AwaitCarried(t.all(), 30*time.Second, stage.InForce(t.no)); err != nil {
		return err
	}
	healed := t.inForceAfter(mended, t.all())
	p.claim(healed >= 0 && healed <= forceWithin, "halves, one of which has a change: the other has it once healed", "6 s", rolloutLogs, "%.2f s", secs(healed))

	p.say("a control machine is lost")
	lost, err := t.change(0, t.all(0), func() error {
		(100 * clock.Milli).Sleep()
		t.Kill(0)
		return nil
	})
	if err != nil {
		return err
	}
	other, err := t.change(1, t.all(0), nil)
	if err != nil {
		return err
	}
	ready = t.Now()
	if err := t.Start(0, false); err != nil {
		return err
	}
	if _, err := t.AwaitCarried(t.all(), 30*time.Second, stage.InForce(t.no)); err != nil {
		return err
	}
	took := t.inForceAfter(ready, []int{0})
	p.claim(within([]clock.Micros{lost, other, max(took, 0)}, forceWithin) == 3, "the control machine is killed 0.1 s after it was handed a change; the other has the next; the first is back", "6 s each", rolloutLogs,
		"%.2f s, %.2f s; back after %.2f s", secs(lost), secs(other), secs(took))

	p.say("two sources at once")
	half(true)
	(3 * clock.Second).Sleep()
	if _, err := t.publish(0, goodOne(1000)); err != nil {
		return err
	}
	if refused, err := t.Publish(1, t.no, goodOne(1001)); err != nil || refused != "" {
		return fmt.Errorf("%s %v", refused, err)
	}
	(300 * clock.Milli).Sleep()
	mended = t.Now()
	half(false)
	if _, err := t.AwaitCarried(t.all(), 30*time.Second, func(_ int, c *stage.Carried) bool { return c.Newest == t.no && c.Contested }); err != nil {
		return err
	}
	told := t.Now() - mended
	taken := 0
	for i := range many {
		c, err := t.Carried(i)
		if err != nil {
			return err
		}
		if c.InForce == t.no {
			taken++
		}
	}
	next, err := t.change(0, t.all(), nil)
	if err != nil {
		return err
	}
	p.claim(taken == 0 && told <= forceWithin && next >= 0 && next <= forceWithin, "two contents of one number, in halves that heal before either is judged: neither is in force, all are told; a higher number ends it", "0; 6 s; 6 s",
		rolloutLogs, "in force at %d; told after %.2f s; %.2f s", taken, secs(told), secs(next))
	return nil
}

func (p *Proof) carriedHarm(t *train) error {
	p.say("a file that harms")
	rest.Sleep() // of those that restarted too
	refused, err := t.Publish(0, t.no+1, "{\n \"settings\": {\n  \"me\": 1,\n  \"step_us\": 0}}")
	if err != nil {
		return err
	}
	p.claim(strings.HasPrefix(refused, fmt.Sprintf("configuration %d:4: settings: step_us: ", t.no+1)), "a file that can't be: refused to staff with its line, in force nowhere", "line 4, step_us", "the control machine's answer", "%s", refused)
	begun, err := t.publish(0, harmfulOne)
	if err != nil {
		return err
	}
	if _, err := t.AwaitCarried(t.all(), 30*time.Second, func(_ int, c *stage.Carried) bool { return c.Newest == t.no && c.Stage == "stopped" }); err != nil {
		return err
	}
	stopped := t.Now() - begun
	tried, force := 0, 0
	for i := range t.many {
		c, err := t.Carried(i)
		if err != nil {
			return err
		}
		if c.OnTrial {
			tried++
		}
		if c.InForce == t.no {
			force++
		}
	}
	back, err := t.change(1, t.all(), nil)
	if err != nil {
		return err
	}
	few := min(usualFirst, t.many/3)
	p.claim(tried > 0 && tried <= few && force == 0 && stopped <= forceWithin && back >= 0 && back <= forceWithin, fmt.Sprintf("a file with which no connection comes about, %d visits/s a process: tried by few, in force nowhere; a higher number ends it", carriedVisits),
		fmt.Sprintf("%d of %d; 0; 6 s each", few, t.many), rolloutLogs, "tried by %d, in force at %d; known to all after %.2f s; ended after %.2f s", tried, force, secs(stopped), secs(back))
	return nil
}
