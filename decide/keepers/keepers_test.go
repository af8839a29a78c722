package keepers_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	. "ledgespread/decide/keepers"
)

// seat is one keeper's place: its disk, and the process there, if one runs.
type seat struct {
	t       *table
	id      ID
	k       *Keeper
	disk    []byte
	torn    int // calls of Keep until one dies in the middle; 0: none
	dead    bool
	last    Number
	leads   bool
	paused  bool
	decided int
}

type letter struct {
	from, to ID
	body     []byte
}

// table is some keepers with faults between them, and what was decided.
type table struct {
	fail   func(format string, a ...any)
	seats  []*seat
	way    []letter
	cut    map[[2]ID]bool
	agreed map[Number]string
}

func (s *seat) Keep(state []byte) error {
	if s.torn > 0 {
		if s.torn--; s.torn == 0 { // kill -9 in the middle of the write: what was there stands, or nothing can be read
			s.dead = true
			return ErrDisk
		}
	}
	s.disk = append([]byte(nil), state...)
	return nil
}

func (s *seat) Send(to ID, body []byte) {
	if !s.dead && !s.t.cut[[2]ID{s.id, to}] {
		s.t.way = append(s.t.way, letter{s.id, to, body})
	}
}

func (s *seat) Decided(n Number, plan []byte) {
	if n <= s.last {
		s.t.fail("keeper %d decided %d after %d", s.id, n, s.last)
	}
	if was, there := s.t.agreed[n]; there && was != string(plan) {
		s.t.fail("number %d is %q and %q", n, was, plan)
	}
	s.last, s.t.agreed[n], s.decided = n, string(plan), s.decided+1
}

func (s *seat) Leads(on bool) { s.leads = on }

func (s *seat) start(founding bool) {
	s.k, s.leads, s.last, s.dead, s.paused = nil, false, 0, false, false
	var among []ID
	for i := range s.t.seats {
		among = append(among, ID(i+1))
	}
	k, err := New(s.id, among, s.disk, founding, s)
	if err != nil && !s.dead {
		s.t.fail("keeper %d does not start: %v", s.id, err)
	}
	if s.dead {
		return
	}
	s.k = k
}

func (s *seat) runs() bool { return s.k != nil && !s.dead }

func set(many int, fail func(string, ...any)) *table {
	t := &table{fail: fail, cut: map[[2]ID]bool{}, agreed: map[Number]string{}}
	for i := range many {
		t.seats = append(t.seats, &seat{t: t, id: ID(i + 1)})
	}
	for _, s := range t.seats {
		s.start(true)
	}
	return t
}

// step has time go on, and letters arrive as they are drawn.
func (t *table) step(draw func(most int) int) {
	for _, s := range t.seats {
		if s.runs() && !s.paused {
			s.k.Tick()
		}
	}
	for range 200 {
		if len(t.way) == 0 {
			return
		}
		i := draw(len(t.way))
		l := t.way[i]
		t.way = append(t.way[:i], t.way[i+1:]...)
		if s := t.seats[l.to-1]; s.runs() && !s.paused {
			s.k.Heard(l.from, l.body)
		}
	}
}

func (t *table) propose(plan string) {
	for _, s := range t.seats {
		if s.runs() && s.leads && !s.paused {
			s.k.Propose([]byte(plan))
		}
	}
}

// agree has everybody run, and tells whether a new plan is decided everywhere in time.
func (t *table) agree(what string, may func(*seat) bool) bool {
	for step := range 600 {
		t.step(func(int) int { return 0 })
		if step%20 == 10 {
			t.propose(what)
		}
		all := true
		for _, s := range t.seats {
			all = all && (!may(s) || t.agreed[s.last] == what)
		}
		if all {
			return true
		}
	}
	return false
}

func anybody(*seat) bool { return true }

// Whatever is lost, late, doubled, cut in one direction, paused, killed at a write, and forgotten by one: no number ever stands for two plans, no
// keeper goes back, and once the faults end all agree on a new one.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		many := rapid.SampledFrom([]int{3, 5}).Draw(t, "keepers")
		tb := set(many, t.Fatalf)
		pick := func(what string, most int) int { return rapid.IntRange(0, most-1).Draw(t, what) }
		forgetful := 0
		for n := range rapid.IntRange(5, 60).Draw(t, "steps") {
			s := tb.seats[pick("whom", many)]
			switch pick("what", 12) {
			case 0:
				s.k, s.dead = nil, true
			case 1, 2:
				if !s.runs() {
					s.start(false)
				}
			case 3:
				s.torn = 1 + pick("write", 4)
			case 4: // its file is gone, or not whole: one at a time
				if forgetful == 0 || tb.seats[forgetful-1].runs() && tb.seats[forgetful-1].k.Remembers() {
					forgetful = int(s.id)
					if s.disk = nil; pick("torn", 2) == 0 {
						s.disk = []byte("something")
					}
					s.start(false)
				}
			case 5:
				tb.cut[[2]ID{s.id, ID(1 + pick("to", many))}] = true
			case 6:
				clear(tb.cut)
			case 7:
				s.paused = !s.paused
			case 8:
				if len(tb.way) > 0 {
					tb.way = append(tb.way, tb.way[pick("doubled", len(tb.way))])
				}
			case 9:
				if len(tb.way) > 0 {
					tb.way = tb.way[pick("lost", len(tb.way)):]
				}
			default:
				tb.propose(fmt.Sprint("plan ", n))
			}
			for range 1 + pick("go on", 12) {
				tb.step(func(most int) int { return pick("letter", min(most, 3)) })
			}
		}
		clear(tb.cut)
		for _, s := range tb.seats {
			if s.torn, s.paused = 0, false; !s.runs() {
				s.start(false)
			}
		}
		if !tb.agree("the last", anybody) {
			t.Fatalf("no plan is decided by all in the end")
		}
	})
}

// One that lost its memory gives no word until a majority of the others was heard and their leader told it all; a lesser part decides nothing, and
// a leader that was paused leads no more once it hears the others.
func TestMemory(t *testing.T) {
	tb := set(3, t.Fatalf)
	if !tb.agree("first", anybody) {
		t.Fatal("nothing was decided")
	}
	leader := func() *seat {
		for _, s := range tb.seats {
			if s.runs() && s.leads && !s.paused {
				return s
			}
		}
		return nil
	}
	old := leader()
	other := tb.seats[old.id%3]
	other.disk = nil
	other.start(false)
	old.paused = true // of the three one knows nothing, and one is silent
	for range 200 {
		tb.step(func(int) int { return 0 })
	}
	if other.k.Remembers() || leader() != nil {
		t.Fatal("it took part without being told")
	}
	old.paused = false
	if !tb.agree("second", anybody) || !other.k.Remembers() {
		t.Fatal("it was never told again")
	}
	old = leader()
	old.paused = true
	if !tb.agree("third", func(s *seat) bool { return s != old }) {
		t.Fatal("the others did not go on")
	}
	old.paused = false
	if old.k.Propose([]byte("late")); !tb.agree("fourth", anybody) || old.leads && leader() != old {
		t.Fatal("two lead")
	}
	for _, plan := range tb.agreed {
		if plan == "late" {
			t.Fatal("the plan of yesterday's leader was decided")
		}
	}
}

// Many plans leave a short file; one that missed them all gets the last.
func TestShort(t *testing.T) {
	tb := set(3, t.Fatalf)
	away := tb.seats[2]
	away.k, away.dead = nil, true
	longest := 0
	for i := range 120 {
		if !tb.agree(fmt.Sprint("plan ", i), func(s *seat) bool { return s != away }) {
			t.Fatal("nothing was decided")
		}
		longest = max(longest, len(tb.seats[0].disk))
	}
	away.start(false)
	if !tb.agree("the last", anybody) || longest > 4<<10 || away.decided > 60 {
		t.Errorf("a file of %d bytes; the one that was away heard of %d plans", longest, away.decided)
	}
}
