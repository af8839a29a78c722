package prove

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"ledgespread/decide/membership"
	"ledgespread/decide/membership/crowd"
	"ledgespread/lab/chance"
	"ledgespread/lab/clock"
	"ledgespread/lab/judge"
	"ledgespread/lab/network"
	"ledgespread/lab/sidecars"
	"ledgespread/lab/stage"
)

// The proof of membership has two halves: the part that decides, in simulated time and by seed, beside plain heartbeats on the
// same network; and real processes under faults, judged by the lab's own truth. A guard is switched off in the first half only:
// the shipped program has no way to.

const (
	probeEvery  = 250 * clock.Milli
	borneStill  = clock.Second // a pause that is borne
	knownWithin = 3 * clock.Second
	knownLossy  = 5 * clock.Second
	healWithin  = 2 * clock.Second
	agreeWithin = 5 * clock.Second
	bytesAVisit = 256
	visitsEach  = 5 // a second and sidecar
	beatsLimit  = 1500 * clock.Milli
)

func playMembership(p *Proof) error {
	p.simulated()
	if p.Break != "" {
		return nil
	}
	return p.together()
}

func (p *Proof) terms() membership.Terms {
	return membership.Terms{Group: "lab", Every: membership.Micros(probeEvery), Exchange: 30_000_000, Forget: 600_000_000, Linger: 3_000_000,
		Senders: 1, Most: 20_000, Unguard: p.Break}
}

// acts is one crowd under a fault, with heartbeats beside it: what both said of the dead.
type acts struct {
	*crowd.Crowd
	beats  *crowd.Beats
	deaths map[membership.Name]int
	back   int // revivals without a newer word
}

func (p *Proof) crowd(seed uint64, many int) *acts {
	a := &acts{Crowd: crowd.New(seed, many, p.terms(), true), deaths: map[membership.Name]int{}}
	died := map[string]membership.Incarnation{}
	a.Said = func(_ crowd.Micros, by *crowd.Member, c membership.Change) {
		key, inc := fmt.Sprint(by.Number, c.Name), by.Sees(c.Name).Incarnation
		if c.To == membership.Dead {
			a.deaths[c.Name]++
			died[key] = inc
		} else if c.From == membership.Dead && inc <= died[key] {
			a.back++
		}
	}
	a.Run(4_000_000)
	a.beats = a.Beat(crowd.Micros(probeEvery), crowd.Micros(beatsLimit))
	return a
}

func (a *acts) words() (n int) {
	for _, by := range a.deaths {
		n += by
	}
	return n
}

func (a *acts) agree() bool {
	there := 0
	for _, m := range a.Members {
		if !m.Gone {
			there++
		}
	}
	return !slices.ContainsFunc(a.Members, func(m *crowd.Member) bool { return !m.Gone && m.Holds()[membership.Alive] != there-1 })
}

func seconds[T ~int64](spans []T) string {
	if len(spans) == 0 {
		return "none"
	}
	all := slices.Clone(spans)
	slices.Sort(all)
	most := fmt.Sprintf("%.2f s", float64(all[len(all)-1])/1e6)
	if all[0] < 0 {
		most = "never"
	}
	return fmt.Sprintf("median %.2f s, most %s of %d", float64(all[len(all)/2])/1e6, most, len(all))
}

// within counts the spans that are short enough; -1 stands for never.
func within[T ~int64](spans []T, most T) (n int) {
	for _, s := range spans {
		if s >= 0 && s <= most {
			n++
		}
	}
	return n
}

const simulated = "simulated, by seed; heartbeats beside it"

func (p *Proof) simulated() {
	runs, many := 20, 50
	if p.Quick {
		many = 30
	}
	for _, lost := range []float64{0, 0.1, 0.3} {
		p.say("simulated: a death, %.0f%% lost", 100*lost)
		var known []crowd.Micros
		for seed := range uint64(runs) {
			known = append(known, crowd.Measure(many, lost, p.terms(), p.Seed*1000+seed, 4_000_000).Known)
		}
		most := crowd.Micros(knownWithin)
		if lost == 0.3 {
			most = crowd.Micros(knownLossy)
		}
		p.claim(within(known, most) >= runs-1, fmt.Sprintf("a death among %d is known to all, %.0f%% lost", many, 100*lost), fmt.Sprintf("%d s in 19 of 20", most/1e6),
			"simulated, by seed", "%s", seconds(known))
	}
	minutes := 1000.0
	if p.Quick {
		minutes = 120
	}
	p.pausesAndCuts(minutes)
	p.standstills()
	p.oneSided()
	p.oldWords()
	p.healing()
	p.senders()
}

// pausesAndCuts has members pause for a second and cuts of one direction come and go, at 10% loss.
func (p *Proof) pausesAndCuts(minutes float64) {
	p.say("simulated: pauses of 1 s and cuts of one direction at 10%% loss, %.0f member-minutes", minutes)
	said, beats, played := 0, 0, 0.0
	for seed := p.Seed; played < minutes; seed++ {
		a, draw := p.crowd(seed, 50), chance.New(seed, "pauses and cuts")
		from, to := -1, -1
		a.Weather.Lost = 0.1
		a.Cut = func(i, j int) bool { return i == from && (to < 0 && j%2 == 0 || j == to) }
		begun := a.Now
		for range 15 {
			if from, to = draw.Below(50), draw.Below(50); draw.Float() < 0.3 {
				to = -1 // one against half
			}
			m := a.Members[draw.Below(50)]
			m.Stop()
			a.Run(crowd.Micros(borneStill))
			m.Continue()
			a.Run(1_500_000)
		}
		played += 50 * float64(a.Now-begun) / 60e6
		said += a.words()
		beats += a.beats.Deaths
	}
	p.claim(said == 0, fmt.Sprintf("no false death: pauses of 1 s, cuts one way, 10%% lost, %.0f member-minutes", played), "0 words of death", simulated,
		"%d (heartbeats: %d)", said, beats)
	if p.Break == "" {
		p.claim(beats > 0, "heartbeats with a limit fail there", "over 0", simulated, "%d words of death", beats)
	}
}

func (p *Proof) standstills() {
	p.say("simulated: standstills")
	a := p.crowd(p.Seed, 16)
	for _, m := range a.Members {
		m.Stop()
	}
	a.Run(10_000_000)
	for _, m := range a.Members {
		m.Continue()
	}
	a.Run(5_000_000)
	p.claim(a.words() == 0, "all stand still for 10 s at once", "0 words of death", simulated, "%d (heartbeats: %d)", a.words(), a.beats.Deaths)

	accused, still := 0, -1
	a = p.crowd(p.Seed, 16)
	said := a.Said
	a.Said = func(at crowd.Micros, by *crowd.Member, c membership.Change) {
		if said(at, by, c); by.Number == still && c.To == membership.Suspect && c.By == crowd.Name(by.Number) {
			accused++
		}
	}
	a.Weather.Delay = 50_000 // so that a probe is mostly under way when it stops
	for round := range 40 {
		one := a.Members[round%16]
		still = round % 16
		one.Stop()
		a.Run(400_000)
		one.Continue()
		a.Run(2_000_000)
		still = -1
	}
	p.claim(accused == 0, "one stands still for 0.4 s, 40 times: it accuses nobody by what it missed", "0 accusations by it", "simulated, by seed", "%d", accused)

	a = p.crowd(p.Seed, 16)
	late := a.Members[3]
	late.Stop()
	a.Run(10_000_000)
	late.Continue()
	back := a.Until(10_000_000, a.agree)
	p.claim(back >= 0 && back < crowd.Micros(clock.Second) && len(a.deaths) == 1, "one stands still for 10 s: dead, accuses nobody, is back", "back within 1 s, 1 name said",
		"simulated, by seed", "back after %.2f s, %d names said", float64(back)/1e6, len(a.deaths))

	a = p.crowd(p.Seed, 16)
	flap := 0
	for round := range 12 {
		a.Members[3].Stop()
		a.Run(2_000_000)
		a.Members[3].Continue()
		a.Run(3_000_000)
		if round == 2 {
			flap = a.words()
		}
	}
	after := a.words() - flap
	a.Run(120_000_000)
	holds := a.Members[0].Sees("n3").Holds
	p.claim(after == 0 && holds == 0, "one stands still 2 s in every 5: held for longer, and by and by as before", "no death after the third time; 0 holds two minutes later", simulated,
		"%d words after, %d before; %d holds (heartbeats: %d)", after, flap, holds, a.beats.Deaths)
}

// oneSided cuts words for a minute.
func (p *Proof) oneSided() {
	for _, x := range []struct {
		what string
		cut  func(from, to int) bool
		told string
	}{
		{"of n2 to n3", func(from, to int) bool { return from == 2 && to == 3 }, "n2 of n3: it doesn't hear this member; n3 of n2: this member doesn't hear it"},
		{"of n2 to half", func(from, to int) bool { return from == 2 && to >= 8 }, "n2 of n9: it doesn't hear this member; n9 of n2: this member doesn't hear it"},
		{"of all to n2", func(from, to int) bool { return to == 2 }, "n9 of n2: it doesn't hear this member; n2 of n9: this member doesn't hear it"},
		{"between halves but for a bridge", func(from, to int) bool { return from != 0 && to != 0 && (from < 8) != (to < 8) }, "n2 of n9: neither hears the other"},
	} {
		p.say("simulated: the words %s cut", x.what)
		words, beats, mended, told := 0, 0, []crowd.Micros{}, 0
		const runs = 4
		for seed := range uint64(runs) {
			a := p.crowd(p.Seed*100+seed, 16)
			a.Cut = x.cut
			a.Run(50_000_000)
			lines := map[string]bool{}
			for _, m := range a.Members { // as the tables are, towards the end of the minute
				m.Each(func(o membership.Member) { lines[fmt.Sprintf("n%d of %s: %s", m.Number, o.Name, o.Way)] = true })
			}
			fine := true
			for _, line := range strings.Split(x.told, "; ") {
				fine = fine && lines[line]
			}
			if fine {
				told++
			}
			a.Run(10_000_000)
			words, beats = words+a.words(), beats+a.beats.Deaths
			a.Cut = nil
			mended = append(mended, a.Until(20_000_000, func() bool {
				ways := 0
				for _, m := range a.Members {
					m.Each(func(o membership.Member) { ways += int(o.Way) })
				}
				return ways == 0 && a.agree()
			}))
		}
		p.claim(words == 0 && told == runs && within(mended, crowd.Micros(healWithin)) == runs, "words "+x.what+" cut for a minute: no death, told with direction, ended after",
			"0 deaths, told, 2 s", simulated, "%d deaths (heartbeats: %d), told in %d of %d runs, ended %s", words, beats, told, runs, seconds(mended))
	}
}

// oldWords kills under late, doubled and reordered messages.
func (p *Proof) oldWords() {
	p.say("simulated: late words")
	back, known := 0, []crowd.Micros{}
	for seed := range uint64(10) {
		a := p.crowd(p.Seed*100+seed, 16)
		a.Weather.Late, a.Weather.LateBy, a.Weather.Doubled = 0.3, 4_000_000, 0.3
		a.Run(2_000_000)
		a.Members[5].Kill()
		known = append(known, a.Until(20_000_000, func() bool {
			return !slices.ContainsFunc(a.Members, func(m *crowd.Member) bool { return !m.Gone && m.Sees("n5").State != membership.Dead })
		}))
		a.Run(10_000_000)
		back += a.back
	}
	p.claim(back == 0 && within(known, 10_000_000) == 10, "words up to 4 s late, doubled, in another order: the dead stay dead", "0 revivals by an old word; known in 10 s",
		"simulated, by seed", "%d revivals; known %s", back, seconds(known))
}

func (p *Proof) healing() {
	p.say("simulated: splits")
	for parts := 2; parts <= 3; parts++ {
		many, healed, messages := 50, []crowd.Micros{}, 0.0
		for seed := range uint64(6) {
			a := p.crowd(p.Seed*100+seed, many)
			a.Cut = func(from, to int) bool { return from%parts != to%parts }
			a.Run(15_000_000)
			a.Cut = nil
			sent, begun := a.Sent, a.Now
			healed = append(healed, a.Until(20_000_000, a.agree))
			messages = max(messages, float64(a.Sent-sent)/float64(many)/(float64(a.Now-begun)/1e6))
		}
		p.claim(within(healed, crowd.Micros(healWithin)) == len(healed), fmt.Sprintf("%d in %d parts agree again", many, parts), "2 s", "simulated, by seed",
			"%s; at most %.0f messages/s a member", seconds(healed), messages)
	}
}

func (p *Proof) senders() {
	a := p.crowd(p.Seed, 20)
	a.Cut = func(from, to int) bool { return from%2 != to%2 }
	a.Run(20_000_000)
	share := 0.0
	for _, m := range a.Members {
		share += 1 / float64(m.Senders())
	}
	p.claim(share <= 1+1e-9, "halves share a cold server's budget among all that may be sending", "1.00 of one budget at most", "simulated, by seed", "%.2f", share)
}

const mustered = `name = "mustered"
length = "3600s"
zones = ["bangna", "lat-krabang", "chon-buri"]
seed = %d
[sidecars]
count = %d
[members]
probe_every = %q
` + atWork

// atWork is what sidecars of the proofs with real processes have before them: servers in three zones, a path prefix of each effect, and so
// many visits a second.
const atWork = `[[backend]]
count = 2
zone = "bangna"
[[backend]]
count = 2
zone = "lat-krabang"
[[backend]]
count = 2
zone = "chon-buri"
[[prefix]]
name = "look"
share = 0.6
work = "1ms"
target_latency = "300ms"
client_timeout = "2s"
[[prefix]]
name = "book"
effect = "tagged"
share = 0.2
work = "1ms"
target_latency = "300ms"
client_timeout = "2s"
[[prefix]]
name = "pay"
effect = "mutating"
share = 0.2
work = "1ms"
target_latency = "300ms"
client_timeout = "2s"
[traffic]
rate = "%d/s"
`

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

// cost measures what membership sends when all is calm, beside the visits that come.
func (p *Proof) cost(m *muster) error {
	sum := func() (bytes, messages int64, err error) {
		for i := range m.many {
			t, err := m.Table(i)
			if err != nil {
				return 0, 0, err
			}
			bytes, messages = bytes+t.Counts["sent_bytes"], messages+t.Counts["sent"]
		}
		return bytes, messages, nil
	}
	(4 * clock.Second).Sleep() // that all joined is told by then
	b0, n0, err := sum()
	if err != nil {
		return err
	}
	begun := m.Now()
	(5 * clock.Second).Sleep()
	b1, n1, err := sum()
	if err != nil {
		return err
	}
	each := float64(m.Now()-begun) / 1e6 * float64(m.many)
	p.claim(float64(b1-b0)/each/visitsEach < bytesAVisit, "traffic when calm, at 5 visits/s a sidecar", "under 256 bytes a visit", "the processes' counters",
		"%.0f bytes a visit, %.0f bytes/s and %.1f messages/s a member", float64(b1-b0)/each/visitsEach, float64(b1-b0)/each, float64(n1-n0)/each)
	return nil
}

// flood sends one member 50,000 datagrams a second that are no messages, from two addresses, and kills another meanwhile.
func (p *Proof) flood(m *muster) error {
	p.say("a flood of what is no message")
	const aSecond, target = 50_000, 0
	at := net.UDPAddrFromAddrPort(m.MemberAt(target))
	used := func() (cpu time.Duration, counts int64, err error) {
		cpu = m.CPU(target)
		t, err := m.Table(target)
		if err != nil {
			return 0, 0, err
		}
		for _, kind := range []string{"over_rate", "malformed", "group", "version", "strangers", "too_long", "flood"} {
			counts += t.Counts[kind]
		}
		return cpu, counts, nil
	}
	span := 3 * clock.Second
	c0, _, err := used()
	if err != nil {
		return err
	}
	begun := m.Now()
	span.Sleep()
	c1, k1, err := used()
	if err != nil {
		return err
	}
	calm := float64(c1-c0) / float64((m.Now() - begun).Duration())
	stop, sent := make(chan bool), [2]int{}
	var all sync.WaitGroup
	for k := range 2 {
		c, err := net.DialUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 250, 0, byte(k+1))}, at)
		if err != nil {
			return err
		}
		all.Add(1)
		go func() {
			defer all.Done()
			defer c.Close()
			for begun, n := time.Now(), 0; ; {
				select {
				case <-stop:
					return
				default:
				}
				for due := int(time.Since(begun).Seconds() * aSecond / 2); n < due; n++ {
					c.Write([]byte{1, 6, 1, 2, 3, 4, 0, 1, 'x', 0, 0, 0, byte(n)})
					sent[k]++
				}
				time.Sleep(500 * time.Microsecond)
			}
		}()
	}
	begun = m.Now()
	victim := m.many - 1
	name := fmt.Sprint("n", victim)
	m.Kill(victim)
	_, err = m.Await(m.all(victim), 30*time.Second, stage.Holds(name, "dead"))
	known, others := m.knownAfter(name, begun, []int{target}), m.knownAfter(name, begun, m.all(victim, target))
	if left := span - (m.Now() - begun); left > 0 {
		left.Sleep()
	}
	c2, k2, lookErr := used()
	flooded := float64(c2-c1) / float64((m.Now() - begun).Duration())
	rate := float64(sent[0]+sent[1]) / (float64(m.Now()-begun) / 1e6)
	close(stop)
	all.Wait()
	if err != nil {
		return err
	}
	if lookErr != nil {
		return lookErr
	}
	p.claim(flooded-calm < 0.1 && known <= max(knownWithin, others+borneStill/4), "a flood of datagrams that are no messages", "under 0.1 core more; a death known there in 3 s or 0.25 s after the others",
		"CPU time by the kernel; the processes' logs", "%.0f sent/s, %d dropped: %.3f core more (%.3f, %.3f calm); known there after %.2f s, to the others after %.2f s", rate, k2-k1,
		flooded-calm, flooded, calm, float64(known)/1e6, float64(others)/1e6)
	return m.Start(victim, false)
}

// schedules plays random faults by seed, which may overlap.
func (p *Proof) schedules(many int) error {
	const members = 12
	var agreed []clock.Micros
	rules, lies, visits := 0, 0, 0
	worst := ""
	for n := range many {
		seed := p.Seed*100 + uint64(n)
		p.say("schedule %d of %d, seed %d", n+1, many, seed)
		m, err := p.muster(seed, members)
		if err != nil {
			return err
		}
		err = m.schedule(chance.New(seed, "schedule"), 7*clock.Second)
		if err != nil {
			m.Close()
			return err
		}
		took, err := m.Await(m.all(), 30*time.Second, stage.Agree(m.all()))
		if err != nil {
			worst = fmt.Sprintf("; seed %d: %v", seed, err)
			took = -1
		}
		agreed = append(agreed, took)
		visits += len(m.Tries())
		broken, false_, err := m.end()
		if err != nil {
			return err
		}
		if len(broken) > 0 {
			worst = fmt.Sprintf("; seed %d: %v", seed, broken[0])
		}
		if len(false_) > 0 {
			worst = fmt.Sprintf("; seed %d: %+v", seed, false_[0])
		}
		rules, lies = rules+len(broken), lies+len(false_)
	}
	p.claim(within(agreed, agreeWithin) == many && rules == 0 && lies == 0, fmt.Sprintf("%d random schedules of faults among %d processes", many, members),
		"all agree 5 s after the last; no visit lost; no false death", "tables; judge; logs against the truth", "agreed %s; %d broken of %d tries; %d false deaths%s",
		seconds(agreed), rules, visits, lies, worst)
	return nil
}

// schedule does things to members for a time, and then undoes what is still done.
func (m *muster) schedule(draw *chance.Source, span clock.Micros) error {
	begun := m.Now()
	still, cut := map[int]bool{}, map[[2]int]bool{}
	var err error
	for err == nil && m.Now()-begun < span {
		i, j := draw.Below(m.many), draw.Below(m.many)
		switch what := draw.Below(7); {
		case what == 0 && !still[i]:
			m.Kill(i)
			(clock.Micros(draw.Below(2500)) * clock.Milli).Sleep()
			err = m.Start(i, draw.Float() < 0.3)
		case what == 1:
			if still[i] {
				m.Signal(i, syscall.SIGCONT)
			} else {
				m.Signal(i, syscall.SIGSTOP)
			}
			still[i] = !still[i]
		case what == 2 && i != j:
			cut[[2]int{i, j}] = !cut[[2]int{i, j}]
			m.Cut(i, j, cut[[2]int{i, j}])
		case what == 3:
			for k := range m.many {
				if k != i {
					cut[[2]int{i, k}] = k%2 == 0
					m.Cut(i, k, k%2 == 0)
				}
			}
		case what == 4:
			for a := range m.many {
				for b := range m.many {
					if on := (a < i) != (b < i); a != b {
						cut[[2]int{a, b}] = on
						m.Cut(a, b, on)
					}
				}
			}
		default:
			lost, late := 0.4*draw.Float(), 0.2*draw.Float()
			m.Weather(lost, lost/2, late, 2*clock.Second)
		}
		(clock.Micros(200+draw.Below(800)) * clock.Milli).Sleep()
	}
	for i, on := range still {
		if on {
			m.Signal(i, syscall.SIGCONT)
		}
	}
	for way, on := range cut {
		if on {
			m.Cut(way[0], way[1], false)
		}
	}
	m.Weather(0, 0, 0, 0)
	return err
}
