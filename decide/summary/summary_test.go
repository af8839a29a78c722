package summary

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"ledgespread/brain"
	"ledgespread/lab/trace"
)

var names = map[brain.MessageKind]string{brain.TenantsUse: "tenants' use", brain.TenantsTotal: "tenants' total", brain.Ask: "ask", brain.Quote: "quote",
	brain.Began: "began", brain.Waits: "waits", brain.Ended: "ended", Summary: "summary", Estimate: "estimate", Usage: "usage", Totals: "totals"}

// note is one message, over the wire or to the module.
type note struct {
	wire    bool
	peer    brain.Peer
	kind    brain.MessageKind
	about   brain.ServerID
	figures []float64
}

func (n note) size() int { return headBytes + figureBytes*len(n.figures) }

// paper notes what an Aggregator does.
type paper struct {
	all     []note
	refused int
}

func (p *paper) Send(to brain.Peer, kind brain.MessageKind, about brain.ServerID, figures ...float64) {
	p.all = append(p.all, note{true, to, kind, about, slices.Clone(figures)})
}
func (p *paper) Hear(from brain.Peer, kind brain.MessageKind, about brain.ServerID, figures ...float64) {
	p.all = append(p.all, note{false, from, kind, about, slices.Clone(figures)})
}
func (p *paper) Refused(brain.Peer, string) { p.refused++ }

// take is all since the last time.
func (p *paper) take() (all []note) {
	all, p.all = p.all, nil
	return all
}

func lines(at Micros, all []note) (out string) {
	for _, n := range all {
		what := "the module hears of"
		if n.wire {
			what = "sent to"
		}
		out += fmt.Sprintf("%6.1f  %s %d: %s", float64(at)/1000, what, n.peer, names[n.kind])
		if n.about != 0 {
			out += fmt.Sprintf(" of %c", rune(n.about))
		}
		out += fmt.Sprintf(" %.4g\n", n.figures)
	}
	return out
}

const (
	a, z    = brain.ServerID('a'), brain.ServerID('z')
	longest = Micros(1_000_000)
)

func begin(bytes float64) (*Aggregator, *paper) {
	p := &paper{}
	return New(Limits{Bytes: bytes, Sidecars: 3, Me: 0, Seed: 7, Longest: longest}, p), p
}

// One sidecar's side: what the module tells of visits adds up to one summary when the owner's turn comes, each question is answered at once,
// and another server's estimate counts only beyond a multiple of the median.
func TestSummary(t *testing.T) {
	g, p := begin(11_000)
	var b strings.Builder
	now := Micros(0)
	say := func(title string) {
		fmt.Fprintf(&b, "        %s\n%s", title, lines(now, p.take()))
	}
	visit := func(server brain.ServerID, rc brain.Result) {
		g.Told(now, 1, brain.Ask, server)
		g.Told(now, 1, brain.Began, server)
		now += 10_000
		g.Told(now, 1, brain.Ended, server, float64(rc), 10_000, 5000, 5000)
	}
	visit(a, brain.Succeeded)
	visit(a, brain.AnsweredError)
	visit(z, brain.Succeeded)
	say("before the first turn: each question is answered by what this sidecar saw itself")
	now = 200_000
	g.Told(now, 1, brain.Ask, a)
	say("the turns have come")
	now = 200_300
	g.Heard(now, 1, Estimate, a, 2, 0.5, 300_000)
	g.Heard(now, 1, Estimate, z, 20, 9, 300_000)
	g.Told(now, 1, brain.Ask, a)
	g.Told(now, 1, brain.Ask, z)
	say("estimates: z is ten times as slow as the median, which is a")
	g.Told(now, 1, brain.Began, a)
	g.Told(now, 1, brain.Ask, a)
	say("a visit of its own counts at once")
	g.Heard(now, 1, Estimate, z, 0, 0, 50_000)
	g.Told(now, 1, brain.Ask, z)
	say("z sits out")
	now += 60_000
	g.Told(now, 1, brain.Ask, z)
	say("z's turn has come, and its word counts no more")
	trace.Same(t, b.String())
}

// An owner's side: the module hears of a summary as of its visits, and its answer goes out with a turn.
func TestOwner(t *testing.T) {
	g, p := begin(11_000)
	var b strings.Builder
	say := func(at Micros, title string) { fmt.Fprintf(&b, "        %s\n%s", title, lines(at, p.take())) }
	answer := func(at Micros, to brain.Peer, figures ...float64) { g.Told(at, to, brain.Quote, a, figures...) }
	g.Heard(0, 1, Summary, a, 2, 1, 0, 0, 0, 20_000, 10_000, 15_000, 400_000, 100_000)
	say(0, "two were delivered and one failed; four were held in the mean")
	answer(0, 1, 1.5, 4)
	g.Heard(50, 2, Summary, a, 0, 0, 1, 0, 2, 0, 0, 0, 0, 100_000)
	say(50, "another saw no sign of life")
	answer(50, 2, math.Inf(1), 4)
	say(50, "it sits out, and the next turn is the other's")
	g.Heard(60, 2, Summary, z, 1, 0, 0, 0, 0, 20_000, 10_000, 10_000, 0, 100_000)
	p.take()
	g.Heard(70, 2, brain.Ask, a)
	answer(70, 2, 1.5, 4)
	say(70, "one without a bound asks, after a summary that the module did not answer")
	trace.Same(t, b.String())
}

// Where the module has found another owner, summaries go there, though attempts that began before tell the one before of their end.
func TestAnotherOwner(t *testing.T) {
	g, p := begin(11_000)
	g.Told(0, 1, brain.Ask, a)
	g.Told(0, 1, brain.Began, a)
	now := Micros(1_000_000)
	g.Told(now, 2, brain.Ask, a)
	for ; now < 2_000_000; now += 10_000 {
		g.Told(now, 1, brain.Waits, a) // as to the owner that it told of its beginning
		g.Told(now, 2, brain.Ask, a)
	}
	g.Told(now, 1, brain.Ended, a, float64(brain.Succeeded), 10, 10, 10)
	to := map[brain.Peer]bool{}
	for _, n := range p.take() {
		if n.kind == Summary {
			to[n.peer] = true
		}
	}
	if len(to) != 1 || !to[2] {
		t.Errorf("summaries went to %v", to)
	}
}

// Figures that no attempts can have are refused, and the module hears nothing of them.
func TestRefused(t *testing.T) {
	good := []float64{2, 1, 0, 0, 0, 20_000, 10_000, 15_000, 400_000, 100_000}
	for _, c := range []struct {
		at int
		to float64
	}{{0, 1e9}, {0, 0.001}, {1, 2000}, {5, 1e9}, {6, 0}, {6, 1e9}, {7, 1e12}, {8, 1e12}} {
		g, p := begin(11_000)
		f := slices.Clone(good)
		f[c.at] = c.to
		g.Heard(0, 1, Summary, a, f...)
		if len(p.all) != 0 || p.refused != 1 {
			t.Errorf("figure %d of %g: %d refused, and\n%s", c.at, c.to, p.refused, lines(0, p.all))
		}
	}
	g, p := begin(11_000)
	g.Heard(0, 1, Summary, a, good...)
	if len(p.all) == 0 || p.refused != 0 {
		t.Errorf("a good one was refused")
	}
}

// Whatever the module tells, and whatever turns owners give: no more goes out than the bound allows to summaries, in any second; each question
// is answered, but where an owner told nothing; and what summaries say adds up to what the module told.
func TestBoundKept(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		bound := rapid.Float64Range(1000, 50_000).Draw(rt, "bound")
		g, p := begin(bound)
		var at []Micros
		sums, told := [2]float64{}, [2]float64{}
		now, questions, answers := Micros(0), 0, 0
		out := map[brain.ServerID]int{}
		look := func() {
			for _, n := range p.take() {
				switch {
				case n.wire && n.kind == Summary:
					at = append(at, now)
					sums[0] += n.figures[0]
					sums[1] += n.figures[1]
				case !n.wire && n.kind == brain.Quote:
					answers++
				}
			}
		}
		for range rapid.IntRange(1, 300).Draw(rt, "events") {
			now += Micros(rapid.IntRange(0, 50_000).Draw(rt, "passed"))
			server := brain.ServerID(1 + rapid.IntRange(0, 5).Draw(rt, "server"))
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0, 1:
				questions++
				g.Told(now, 1, brain.Ask, server)
			case 2:
				if out[server] == 0 {
					out[server]++
					g.Told(now, 1, brain.Began, server)
				} else {
					out[server]--
					rc := rapid.SampledFrom([]brain.Result{brain.Succeeded, brain.AnsweredError}).Draw(rt, "result")
					told[map[brain.Result]int{brain.Succeeded: 0, brain.AnsweredError: 1}[rc]]++
					g.Told(now, 1, brain.Ended, server, float64(rc), 1000, 1000, 1000)
				}
			case 3:
				g.Heard(now, 1, Estimate, server, rapid.Float64Range(0, 9).Draw(rt, "pace"), 1, float64(rapid.IntRange(0, 400_000).Draw(rt, "turn")))
			}
			look()
		}
		for i, from := range at {
			bytes := 0.0
			for _, x := range at[i:] {
				if x < from+1_000_000 {
					bytes += exchangeBytes
				}
			}
			if most := summariesPart*bound + burst*exchangeBytes; bytes > most {
				rt.Fatalf("%.0f bytes in the second from %d on, %.0f are allowed", bytes, from, most)
			}
		}
		left := [2]float64{}
		for _, s := range g.row {
			left[0], left[1] = left[0]+s.seen.good, left[1]+s.seen.bad
		}
		if sums[0]+left[0] != told[0] || sums[1]+left[1] != told[1] {
			rt.Fatalf("told %v, summed up %v, left %v", told, sums, left)
		}
		if unanswered := questions - answers; unanswered > len(at)/(giveUp+1) {
			rt.Fatalf("%d questions, %d answers, %d summaries", questions, answers, len(at))
		}
	})
}

// The messages of a whole fleet, each to its receiver at once: an owner that all tell hears and answers within its part, and as much again
// while they come to it for the first time, from the start on; turns are dealt out evenly.
func TestOwnersBound(t *testing.T) {
	const many, bound, seconds = 200, 11_000.0, 20
	var all []*Aggregator
	var papers []*paper
	for i := range many {
		p := &paper{}
		all, papers = append(all, New(Limits{Bytes: bound, Sidecars: many, Me: brain.Peer(i), Seed: uint64(i), Longest: longest}, p)), append(papers, p)
	}
	bytes, each := make([]int, seconds), make([]int, many)
	for now := Micros(0); now < seconds*1_000_000; now += 10_000 {
		for i := 1; i < many; i++ {
			for server := a; server < a+3; server++ { // all three are the first one's
				all[i].Told(now, 0, brain.Ask, server)
			}
			for _, n := range papers[i].take() {
				if n.kind != Summary {
					continue
				}
				bytes[now/1_000_000] += n.size()
				each[i]++
				all[0].Heard(now, brain.Peer(i), n.kind, n.about, n.figures...)
				for _, m := range papers[0].take() {
					if m.kind == brain.Ask { // as the module answers it
						all[0].Told(now, m.peer, brain.Quote, m.about, 1, 1)
					}
				}
				for _, m := range papers[0].take() {
					bytes[now/1_000_000] += m.size()
					all[i].Heard(now, 0, m.kind, m.about, m.figures...)
				}
			}
		}
	}
	for s, n := range bytes {
		if part := float64(n) / bound; part > 2*ownedPart+0.1 || s >= 12 && part < 0.8*ownedPart {
			t.Errorf("second %d: %d bytes, %.2f of the bound", s, n, part)
		}
	}
	slices.Sort(each[1:])
	if each[1] < each[many-1]/3 {
		t.Errorf("one told %d times, another %d", each[1], each[many-1])
	}
}

// What goes through a sidecar without a bound is what the module tells, but that it understands those that have one.
func TestUnbounded(t *testing.T) {
	g, p := begin(0)
	g.Told(1, 1, brain.Ask, a)
	g.Told(2, 1, brain.Ended, a, 1, 2, 3, 4)
	g.Heard(3, 2, brain.Quote, a, 1, 2)
	g.Heard(4, 2, Summary, a, 1, 0, 0, 0, 0, 10, 10, 10, 0, 100)
	g.Told(4, 2, brain.Quote, a, 1, 2)
	g.Heard(5, 2, Usage, 0, 3, 4)
	g.Told(5, 2, brain.TenantsTotal, 0, 3, 4)
	g.Told(6, 1, brain.TenantsUse, 0, 1, 1)
	g.Heard(7, 2, Usage, 0, 3, 4)
	g.Told(8, 1, brain.TenantsUse, 0, 1, 1)
	trace.Same(t, lines(0, p.take()))
}

// Nothing that comes over the wire ends the sidecar, and nothing of it is kept that is not finite.
func FuzzHeard(f *testing.F) {
	f.Add(uint8(Summary), 2.0, 1.0, 20_000.0, 10_000.0, uint8(summaryFigures))
	f.Add(uint8(Estimate), 0.0, 1.0, 1e30, 1.0, uint8(estimateFigures))
	f.Add(uint8(Usage), 1.0, 2.0, 3.0, 4.0, uint8(2))
	f.Add(uint8(Totals), 1.0, 2.0, 3.0, 4.0, uint8(4))
	f.Fuzz(func(t *testing.T, kind uint8, w, x, y, z float64, many uint8) {
		figures := make([]float64, many%16)
		for i := range figures {
			if figures[i] = []float64{w, x, y, z}[i%4]; !(figures[i] >= 0) || math.IsInf(figures[i], 0) { // as the wire's reader has it
				return
			}
		}
		g, p := begin(5000)
		g.Told(1, 1, brain.Ask, a)
		g.Told(1, 1, brain.TenantsUse, 0, 1, 1)
		for now := Micros(2); now < 5; now++ {
			g.Heard(now, 1, brain.MessageKind(kind), a, figures...)
			g.Told(now, 1, brain.Quote, a, 1, 1)
			g.Told(now, 1, brain.TenantsTotal, 0, 1, 1)
			g.Told(now, 1, brain.Ask, a)
			g.Told(now, 1, brain.TenantsUse, 0, 1, 1)
		}
		if len(p.all) > 20*fetchesMost {
			t.Errorf("%d messages of three", len(p.all))
		}
		for _, n := range p.all {
			for _, x := range n.figures {
				if math.IsNaN(x) {
					t.Errorf("%v", n)
				}
			}
		}
	})
}
