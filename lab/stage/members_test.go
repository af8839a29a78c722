package stage

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"ledgespread/lab/clock"
	"ledgespread/lab/judge"
	"ledgespread/lab/network"
	"ledgespread/lab/scenario"
	"ledgespread/lab/sidecars"
)

// Six sidecars that are members, before four backends. Probes come seldom, so that a machine that is slow for a while is no fault.
const together = `name = "together"
length = "240s"
zones = ["a", "b"]
[sidecars]
count = 6
[members]
probe_every = "200ms"
[[backend]]
count = 2
zone = "a"
[[backend]]
count = 2
zone = "b"
[[prefix]]
name = "look"
share = 0.6
work = "2ms"
target_latency = "300ms"
client_timeout = "3s"
[[prefix]]
name = "book"
effect = "tagged"
share = 0.2
work = "2ms"
target_latency = "300ms"
client_timeout = "3s"
[[prefix]]
name = "pay"
effect = "mutating"
share = 0.2
work = "2ms"
target_latency = "300ms"
client_timeout = "3s"
[traffic]
rate = "60/s"
`

const (
	many    = 6
	patient = 60 * time.Second // for a state that has to come; how soon it does is the proof's matter
	borne   = 800 * clock.Milli
	span    = 3 * clock.Second
)

// among is a run in which sidecars are members; its end judges it by the stand-ins' accounts and the lab's own truth.
type among struct {
	*testing.T
	*Rig
	over chan error
	verd *judge.Verdict
}

func muster(t *testing.T) *among {
	t.Helper()
	t.Parallel()
	s, err := scenario.Parse("(test)", []byte(together))
	if err != nil {
		t.Fatal(err)
	}
	p := sidecars.Program{Path: sidecar().Path, Args: []string{"serve"}, Name: "ledgespread"}
	g, err := Raise(s, Options{Program: p, Seed: 7})
	if err != nil {
		t.Fatal(err)
	}
	a := &among{T: t, Rig: g, over: make(chan error, 1)}
	t.Cleanup(g.Close)
	go func() {
		r, err := g.Run()
		if err == nil {
			a.verd = r.Verdict
		}
		a.over <- err
	}()
	a.await(but(), Agree(but()))
	return a
}

// but are all places but these.
func but(places ...int) (out []int) {
	for i := range many {
		if !slices.Contains(places, i) {
			out = append(out, i)
		}
	}
	return out
}

func (a *among) await(of []int, holds func(int, *Table) bool) {
	a.Helper()
	if _, err := a.Await(of, patient, holds); err != nil {
		a.Fatal(err)
	}
}

// stoodStill tells whether the machine itself did not run for a while before a time.
func (a *among) stoodStill(at Micros) bool {
	return slices.ContainsFunc(a.alarms.Late().Still(), func(s clock.Stretch) bool {
		return s.To-s.From > borne/2 && s.From < at && s.To > at-2*span
	})
}

// end judges: no visit lost, no effect twice, nobody held for dead who could be reached; those that died are told.
func (a *among) end(dead ...string) {
	a.Helper()
	a.Cease()
	if err := <-a.over; err != nil {
		a.Fatal(err)
	}
	if broken := a.verd.Certain(); len(broken) > 0 {
		a.Errorf("broken: %v", broken)
	}
	m := a.Muster()
	said := map[string]bool{}
	for _, w := range a.Words() {
		if w.Is != "dead" {
			continue
		}
		if said[w.Name] = true; m.False(w, span, borne) && !a.stoodStill(w.At) {
			a.Errorf("%s held %s for dead at %d µs: %s", w.By, w.Name, w.At, w.Why)
		}
	}
	for _, name := range dead {
		if !said[name] {
			a.Errorf("nobody held %s for dead", name)
		}
	}
}

// A killed member is held for dead by all; it comes back under its name, at another address the second time.
func TestMemberKilled(t *testing.T) {
	a := muster(t)
	for _, move := range []bool{false, true} {
		a.Kill(2)
		a.await(but(2), Holds("n2", "dead"))
		if err := a.Start(2, move); err != nil {
			t.Fatal(err)
		}
		a.await(but(), Agree(but()))
	}
	a.Kill(4) // and within its suspicion
	if err := a.Start(4, false); err != nil {
		t.Fatal(err)
	}
	a.await(but(), Agree(but()))
	a.Signal(5, syscall.SIGTERM)
	a.clients.Shut(5, true)
	a.await(but(5), Holds("n5", "left"))
	a.end("n2")
}

// One that stands still for long is held for dead, and is back once it goes on; it accuses nobody. All that stand still at
// once accuse nobody either.
func TestMembersStopped(t *testing.T) {
	a := muster(t)
	a.Signal(1, syscall.SIGSTOP)
	a.await(but(1), Holds("n1", "dead"))
	a.Signal(1, syscall.SIGCONT)
	a.await(but(), Agree(but()))
	mark := a.Now()
	for i := range many {
		a.Signal(i, syscall.SIGSTOP)
	}
	time.Sleep(5 * time.Second) // the fault itself, not a wait for a state
	for i := range many {
		a.Signal(i, syscall.SIGCONT)
	}
	a.await(but(), Agree(but()))
	for _, w := range a.Words() {
		if w.Is == "dead" && w.At > mark {
			t.Errorf("%s held %s for dead after all stood still", w.By, w.Name)
		}
	}
	a.end("n1")
}

// What one says to another is lost, and what one says to all: told with its direction, no death, and ended once mended.
func TestMemberCut(t *testing.T) {
	a := muster(t)
	const deaf, mute = "it doesn't hear this member", "this member doesn't hear it"
	a.Cut(0, 1, true)
	told := func(name, way string) func(int, *Table) bool {
		return func(_ int, t *Table) bool { return t.States[name] == "cut" && t.Ways[name] == way }
	}
	a.await([]int{0}, told("n1", deaf))
	a.await([]int{1}, told("n0", mute))
	a.Cut(0, 1, false)
	a.await(but(), Agree(but()))
	for j := range many {
		if j != 3 {
			a.Cut(j, 3, true)
		}
	}
	a.await(but(3), told("n3", deaf))
	a.await([]int{3}, func(_ int, t *Table) bool { return t.Part == "alone" && len(t.Ways) == many-1 })
	for j := range many {
		if j != 3 {
			a.Cut(j, 3, false)
		}
	}
	a.await(but(), Agree(but()))
	a.end()
}

// Halves: each has a true table of itself, knows that it is in no greater part, and counts the others as senders; healed, all
// agree again. With loss and doubling on all ways meanwhile.
func TestMembersSplit(t *testing.T) {
	a := muster(t)
	each := func(do func(i, j int)) {
		for i := range many {
			for j := range many {
				if i != j {
					do(i, j)
				}
			}
		}
	}
	cut := func(on bool) {
		each(func(i, j int) {
			if (i < 3) != (j < 3) {
				a.Cut(i, j, on)
			}
		})
	}
	cut(true)
	a.await([]int{0, 1, 2}, func(i int, t *Table) bool {
		return Agree([]int{0, 1, 2})(i, t) && t.Part == "lesser" && t.Senders == many
	})
	a.await([]int{3, 4, 5}, func(i int, t *Table) bool {
		return Agree([]int{3, 4, 5})(i, t) && t.Part == "lesser" && t.Senders == many
	})
	cut(false)
	a.await(but(), Agree(but()))
	a.await(but(), func(_ int, t *Table) bool { return t.Part == "greater" })
	each(func(i, j int) { a.Link(i, j, func(l *network.Link) { l.Lost, l.Doubled = 0.15, 0.15 }) })
	a.Kill(2)
	a.await(but(2), Holds("n2", "dead"))
	if err := a.Start(2, false); err != nil {
		t.Fatal(err)
	}
	each(func(i, j int) { a.Link(i, j, func(l *network.Link) { l.Lost, l.Doubled = 0, 0 }) })
	a.await(but(), Agree(but()))
	a.end("n0", "n1", "n2", "n3", "n4", "n5")
}

// What is no message of this group, or too much, is dropped and counted by its kind; nobody's state changes by it, and a
// death is found out all the same. No datagram between members goes round a gate.
func TestMembersForged(t *testing.T) {
	a := muster(t)
	stop, done := make(chan bool), make(chan bool)
	at := net.UDPAddrFromAddrPort(a.MemberAt(0))
	from := func(text string) *net.UDPConn {
		c, err := net.DialUDP("udp", &net.UDPAddr{IP: net.ParseIP(text)}, at)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	one, other := from("127.200.0.1"), from("127.200.0.2")
	head := []byte{1, 6, 0, 0, 0, 0, 0, 1, 'x'}
	ours := fnv.New32a() // of the right group, but no message
	ours.Write([]byte("lab"))
	right := append(binary.BigEndian.AppendUint32([]byte{1, 6}, ours.Sum32()), 0)
	go func() {
		defer close(done)
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			default:
			}
			for range 20 { // far over what one address may send
				one.Write(right)
			}
			switch n % 4 {
			case 0:
				other.Write([]byte{9, 6, 0, 0, 0, 0, 0})
			case 1:
				other.Write([]byte{1})
			case 2:
				other.Write(bytes.Repeat([]byte{1}, 300))
			case 3:
				other.Write(head)
			}
			time.Sleep(2 * time.Millisecond)
		}
	}()
	a.await([]int{0}, func(_ int, t *Table) bool {
		for _, kind := range []string{"over_rate", "version", "malformed", "too_long", "group"} {
			if t.Counts[kind] == 0 {
				return false
			}
		}
		return true
	})
	a.Kill(2)
	a.await(but(2), Holds("n2", "dead"))
	close(stop)
	<-done
	sum := int64(0)
	for _, i := range but(2) {
		table, err := a.Table(i)
		if err != nil {
			t.Fatal(err)
		}
		sum += table.Counts["heard"]
	}
	if passed := int64(a.Mesh().Count().Passed); sum > passed {
		t.Errorf("%d messages were heard, %d came through gates", sum, passed)
	}
	a.end("n2")
}

// Two processes of one name: both tell of it, the later one gives way and names the other.
func TestMembersNamesake(t *testing.T) {
	a := muster(t)
	a.Kill(5)
	a.await(but(5), Holds("n5", "dead"))
	// n5 starts again as n1, with seeds and no book of its own: it is reached where it says.
	name := "n1"
	text := fmt.Sprintf("[membership]\nlisten = %q\ngroup = \"lab\"\nfrom = [\"127.0.0.0/8\"]\nprobe_every = \"200ms\"\nseeds = [%q]\n", a.MemberAt(5), a.MemberAt(0))
	sidecar := a.sidecars[5]
	file := filepath.Join(t.TempDir(), "namesake.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	sidecar.More = []string{"--with", file}
	sidecar.Called = name
	if err := a.Start(5, false); err != nil {
		t.Fatal(err)
	}
	says := func(i int, what string) {
		t.Helper()
		if !until(func() bool { return strings.Contains(strings.Join(a.Lines(i), "\n"), what) }) {
			t.Fatalf("n%d never said %q but\n%s", i, what, strings.Join(a.Lines(i), "\n"))
		}
	}
	says(5, "the name n1 is held by "+a.MemberAt(1).String())
	says(1, a.MemberAt(5).String()+" claims the name n1 too")
	a.await(but(1, 5), Holds(name, "alive"))
	a.Cease()
	<-a.over
}
