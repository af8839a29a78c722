package membership_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"ledgespread/decide/membership"
	"ledgespread/decide/membership/crowd"
)

// What is claimed of many runs, by seed: a death is known in time, a split heals in time, nobody who can be reached dies.
func TestSeeds(t *testing.T) {
	const runs = 4
	spans := func(runs uint64, do func(seed uint64) Micros) (all []Micros) {
		for seed := range runs {
			all = append(all, do(seed+1))
		}
		slices.Sort(all)
		return all
	}
	for lost, most := range map[float64]Micros{0: 3 * second, 0.1: 3 * second, 0.3: 5 * second} { // in all but one run of 20
		all := spans(20, func(seed uint64) Micros {
			s := begin(seed, 30)
			s.Weather.Lost = lost
			s.Run(second)
			s.Members[3].Kill()
			return s.Until(20*second, s.all("n3", membership.Dead))
		})
		if all[0] < 0 || all[len(all)-2] > most {
			t.Errorf("a death at %v lost was known after %v", lost, all)
		}
	}
	for parts := 2; parts <= 3; parts++ {
		all := spans(runs, func(seed uint64) Micros {
			s := begin(seed, 30)
			s.Cut = func(from, to int) bool { return from%parts != to%parts }
			s.Run(10 * second)
			s.Cut = nil
			return s.Until(20*second, s.agree)
		})
		if all[0] < 0 || all[runs-1] > 2*second {
			t.Errorf("%d parts agreed after %v", parts, all)
		}
	}
	for what, cut := range map[string]func(from, to int) bool{
		"a bridge":          func(from, to int) bool { return from != 0 && to != 0 && (from < 8) != (to < 8) },
		"nobody's word":     func(from, to int) bool { return to == 2 },
		"one against half":  func(from, to int) bool { return from == 2 && to >= 8 },
		"in a ring one way": func(from, to int) bool { return to == (from+1)%16 },
	} {
		for seed := range uint64(runs) {
			s := begin(seed+1, 16)
			s.Cut = cut
			if s.Run(20 * second); len(s.deaths) > 0 {
				t.Errorf("cut %s, seed %d: %s", what, seed+1, s.dead())
			}
		}
	}
	for lost, want := range map[float64]int{0: 0, 0.1: 0} {
		deaths := 0
		for seed := range uint64(runs) {
			s := begin(seed+1, 16)
			s.Weather.Lost, s.Weather.Doubled, s.Weather.Late, s.Weather.LateBy = lost, lost/2, lost/2, 3*second
			for i := range 9 {
				m := s.Members[(int(seed)*7+i*3)%16]
				m.Stop()
				s.Run(second)
				m.Continue()
				s.Run(second)
			}
			deaths += len(s.deaths)
		}
		if deaths != want {
			t.Errorf("pauses of 1 s at %v lost, doubled and late: %d deaths", lost, deaths)
		}
	}
}

// Whatever happens in whatever order: an incarnation never falls, the dead and those that left come back by a newer word
// only, no more is kept than there were names, and all agree once the network is whole and everybody runs.
func TestSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const many = 6
		s := begin(rapid.Uint64Range(1, 1<<40).Draw(t, "seed"), many)
		type seen struct {
			inc   membership.Incarnation
			state membership.State
		}
		last := map[string]seen{}
		s.Said = func(_ Micros, by *crowd.Member, c membership.Change) {
			now := by.Sees(c.Name)
			key := fmt.Sprint(by.Number, " of ", c.Name, " in ", by.Life())
			before := last[key]
			if now.Incarnation < before.inc {
				t.Fatalf("%s: incarnation %d after %d", key, now.Incarnation, before.inc)
			}
			if before.state >= membership.Dead && c.To < membership.Dead && now.Incarnation == before.inc {
				t.Fatalf("%s: %v after %v at incarnation %d", key, c.To, before.state, before.inc)
			}
			last[key] = seen{now.Incarnation, c.To}
		}
		cuts := map[[2]int]bool{}
		s.Cut = func(from, to int) bool { return cuts[[2]int{from, to}] }
		place := func(what string) int { return rapid.IntRange(0, many-1).Draw(t, what) }
		process := func(i int) *crowd.Member { // the latest at that place
			for k := len(s.Members) - 1; ; k-- {
				if s.Members[k].Number == i {
					return s.Members[k]
				}
			}
		}
		restart := func(i int) {
			s.Add(crowd.Name(i), i, terms()).Join(s.Now, []membership.Address{s.At((i + 1) % many), s.At((i + 2) % many)})
		}
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				process(place("killed")).Kill()
			case 1:
				process(place("stopped")).Stop()
			case 2:
				if m := process(place("goes on")); m.Still {
					m.Continue()
				}
			case 3:
				cuts[[2]int{place("from"), place("to")}] = rapid.Bool().Draw(t, "cut")
			case 4:
				if i := place("restarted"); process(i).Gone {
					restart(i)
				}
			case 5:
				if m := process(place("leaves")); !m.Still && !m.Gone {
					m.Leave(s.Now)
					m.Kill()
				}
			case 6:
				s.Weather.Lost, s.Weather.Late = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "lost"), rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "late")
				s.Weather.LateBy = 2 * second
			}
			s.Run(Micros(rapid.IntRange(0, 4000).Draw(t, "for")) * 1000)
		}
		clear(cuts)
		s.Weather.Lost, s.Weather.Late = 0, 0
		for i := range many {
			if m := process(i); m.Gone {
				restart(i)
			} else if m.Still {
				m.Continue()
			}
		}
		if s.Until(60*second, s.agree) < 0 {
			for _, m := range s.Members {
				if !m.Gone {
					t.Logf("n%d holds %v, stands %s", m.Number, m.Holds(), m.Parts())
				}
			}
			t.Fatal("they don't agree a minute after all is whole")
		}
		for _, m := range s.Members {
			lines := 0
			if m.Each(func(membership.Member) { lines++ }); lines > many {
				t.Fatalf("n%d keeps %d lines", m.Number, lines)
			}
		}
	})
}

// Every way in which the first messages of three members can be lost or come in another order, to a depth: none holds
// another for dead, and all know each other once messages pass.
func TestOrders(t *testing.T) {
	const depth = 5
	for path := range 1 << (2 * depth) { // two bits a message: comes, is lost, comes after the next, comes twice
		s := &scene{crowd.New(1, 3, terms(), false), map[string]int{}, map[string]bool{}}
		s.Said = func(_ Micros, _ *crowd.Member, c membership.Change) {
			if c.To == membership.Dead {
				s.deaths[string(c.Name)]++
			}
		}
		left := path
		n := 0
		s.Fate = func() (lost, doubled bool, late Micros) {
			if n++; n > depth {
				return false, false, 0
			}
			way := left & 3
			left >>= 2
			return way == 1, way == 3, map[bool]Micros{true: 2000}[way == 2]
		}
		if met := s.Until(10*second, s.agree); met < 0 || len(s.deaths) > 0 {
			t.Fatalf("order %b: met %v, %s", path, met, s.dead())
		}
	}
}

// A member that accuses everybody of everything kills nobody who still answers someone.
func TestLiar(t *testing.T) {
	for _, deaf := range []bool{false, true} {
		s := begin(11, 16)
		if deaf {
			s.Cut = func(from, to int) bool { return to == 2 && from != 5 }
		}
		words := 0
		for range 60 {
			for i := range 15 {
				for j := range 15 {
					name := crowd.Name(j)
					inc := s.Members[i].Sees(name).Incarnation
					s.Members[i].Heard(s.Now, s.At(15), membership.Forge("g", "n15", 16, s.At(15), name, inc, 1<<31, byte(2+words%3)))
					words++
				}
			}
			s.Run(second / 2)
		}
		if len(s.deaths) > 0 {
			t.Errorf("half deaf %v: after %d accusations %s", deaf, words, s.dead())
		}
		if !deaf && s.Until(5*second, s.agree) < 0 {
			t.Error("they don't agree after the accusations end")
		}
	}
}

// A split in which both halves would hold the whole budget, if those out of sight were not counted as senders.
func TestSenders(t *testing.T) {
	for _, unguard := range []string{"", "no-linger"} {
		s := begin(12, 10, func(t *membership.Terms) { t.Senders, t.Unguard = 10, unguard })
		s.Cut = func(from, to int) bool { return (from < 5) != (to < 5) }
		s.Run(20 * second)
		share := 0.0 // of one budget, over all
		for _, m := range s.Members {
			share += 1 / float64(m.Senders())
		}
		if fine := share <= 1+1e-9; fine != (unguard == "") {
			t.Errorf("%q: together they take %.2f of the budget", unguard, share)
		}
	}
	s := begin(13, 5)
	s.Add("n9", 9, terms()).Join(s.Now, []membership.Address{s.At(0)})
	s.Run(2 * second)
	grown := s.Members[0].Senders()
	s.Members[5].Leave(s.Now)
	s.Members[5].Kill()
	s.Until(10*second, s.all("n9", membership.Left))
	at := s.Members[0].Senders()
	s.Run(4 * second)
	if after := s.Members[0].Senders(); grown != 6 || at != 6 || after != 5 {
		t.Errorf("with one more %d, as it left %d, after its longest client timeout %d", grown, at, after)
	}
}

// Clients wait for longer, or for less, from now on: a member that left is counted for the longer time in either case.
func TestLingers(t *testing.T) {
	for _, longest := range []membership.Micros{1 * second, 9 * second} {
		s := begin(13, 5)
		s.Run(2 * second)
		for _, m := range s.Members {
			m.Lingers(longest)
		}
		s.Members[4].Leave(s.Now)
		s.Members[4].Kill()
		s.Run(2 * second)
		soon := s.Members[0].Senders()
		s.Run(4 * second)
		later := s.Members[0].Senders()
		s.Run(6 * second)
		want := 4
		if longest > 3*second {
			want = 5
		}
		if after := s.Members[0].Senders(); soon != 5 || later != want || after != 4 {
			t.Errorf("%d s: after 2 s %d, 6 s %d, 12 s %d", longest/second, soon, later, after)
		}
	}
}

func FuzzHeard(f *testing.F) {
	s := begin(14, 4)
	s.Tap = func(msg []byte) { f.Add(msg) }
	s.Run(second / 4)
	s.Tap = nil
	f.Add(membership.Forge("g", "x", 1, s.At(3), "n1", 1, 0, 4))
	f.Fuzz(func(t *testing.T, msg []byte) {
		s := begin(14, 4)
		s.Members[0].Heard(s.Now, s.At(1), msg)
		if len(msg) > 1 {
			s.Members[0].Merge(s.Now, s.At(1), append([]byte{msg[0], 8}, msg[2:]...))
		}
		s.Run(second)
	})
}

// Three in ten messages lost among two hundred: nobody who lives is held for dead, and one that dies is.
func TestHeavyLoss(t *testing.T) {
	f := crowd.Measure(200, 0.3, terms(), 1, 12*second)
	if f.False > 0 || f.Known < 0 {
		t.Errorf("%d false deaths, the death known to all: %v", f.False, f.Known >= 0)
	}
}
