package summary

import (
	"fmt"
	"slices"
	"testing"

	"ledgespread/brain"
)

// The tree of 1,000: whoever is at the top, each sidecar's way up ends there within five steps, and none has more than four below it.
func TestTree(t *testing.T) {
	for _, n := range []int{1, 2, 5, 82, 1000} {
		for _, top := range []int{0, n / 2, n - 1} {
			below, deepest := map[brain.Peer]int{}, 0
			for i := range n {
				steps := 0
				for at := brain.Peer(i); at != brain.Peer(top); steps++ {
					g := New(Limits{Sidecars: n, Me: at}, &paper{})
					up := g.parent(brain.Peer(top))
					if steps == 0 {
						below[up]++
					}
					if at = up; steps > 10 {
						t.Fatalf("%d of %d: no way to %d", i, n, top)
					}
				}
				deepest = max(deepest, steps)
			}
			g := New(Limits{Sidecars: n}, &paper{})
			most := 0
			for _, k := range below {
				most = max(most, k)
			}
			if most > children || deepest > g.depth() {
				t.Errorf("%d under %d: up to %d below one, %d deep", n, top, most, deepest)
			}
		}
	}
}

// fleet is sidecars that tell a ledger, the first one, each half second; what is sent comes at once.
type fleet struct {
	all    []*Aggregator
	papers []*paper
	dead   map[brain.Peer]bool
	kept   float64 // at the ledger, never fading
	knows  []float64
	bytes  map[int]map[Micros]int
}

func newFleet(many int, bound float64) *fleet {
	f := &fleet{dead: map[brain.Peer]bool{}, knows: make([]float64, many), bytes: map[int]map[Micros]int{}}
	for i := range many {
		p := &paper{}
		f.all, f.papers = append(f.all, New(Limits{Bytes: bound, Sidecars: many, Me: brain.Peer(i), Seed: uint64(i), Longest: longest}, p)), append(f.papers, p)
		f.bytes[i] = map[Micros]int{}
	}
	return f
}

// settle carries out what one sidecar asked for, and what follows.
func (f *fleet) settle(now Micros, i int) {
	for _, n := range f.papers[i].take() {
		switch {
		case n.wire && !f.dead[n.peer]:
			second := now / 1_000_000
			f.bytes[i][second] += n.size()
			f.bytes[int(n.peer)][second] += n.size()
			f.all[n.peer].Heard(now, brain.Peer(i), n.kind, n.about, n.figures...)
			f.settle(now, int(n.peer))
		case n.kind == brain.TenantsUse: // the module of the ledger
			f.kept += n.figures[0]
			f.all[i].Told(now, n.peer, brain.TenantsTotal, 0, f.kept)
			f.settle(now, i)
		case n.kind == brain.TenantsTotal:
			f.knows[i] = n.figures[0]
		}
	}
}

// tell has each living one tell that a visit of its only tenant came.
func (f *fleet) tell(now Micros) {
	for i := 1; i < len(f.all); i++ {
		if !f.dead[brain.Peer(i)] {
			f.all[i].Told(now+Micros(i), 0, brain.TenantsUse, 0, 1)
			f.settle(now+Micros(i), i)
		}
	}
}

// What tenants send comes to the ledger, all of it and once, and its totals come back to all, within the bound of each; where one in the middle
// of the tree dies, those below it find another way, and nothing that others told is lost or counted twice.
func TestTenants(t *testing.T) {
	const many, bound, rounds = 300, 11_000.0, 60
	f := newFleet(many, bound)
	got := ""
	for r := range rounds {
		if r == rounds/2 {
			left := 0.0
			for i := range f.all {
				if x := f.all[i].tenants.fresh; len(x) > 0 {
					left += x[0]
				}
			}
			told := float64((many - 1) * rounds / 2)
			if sum := f.kept + left; sum < told-0.5 || sum > told+0.5 {
				t.Errorf("%.1f told, %.1f at the ledger and %.1f on the way", told, f.kept, left)
			}
			got += fmt.Sprintf("all know a total: %v\n", slices.Min(f.knows[1:]) > 0)
			f.dead[1] = true // its parent is the ledger
		}
		f.tell(Micros(r) * 500_000)
	}
	late := 0
	for i := 2; i < many; i++ {
		if f.knows[i] < f.kept/2 {
			late++
		}
	}
	skipped := 0
	for i := range f.all {
		skipped += f.all[i].tenants.skipped
	}
	got += fmt.Sprintf("after a death in the middle: %d know an old total, %d of %d go past it\n", late, skipped, children)
	if want := "all know a total: true\nafter a death in the middle: 0 know an old total, 4 of 4 go past it\n"; got != want {
		t.Errorf("got\n%swanted\n%s", got, want)
	}
	for i := range f.all {
		for s, n := range f.bytes[i] {
			if float64(n) > 1.5*tenantsPart*bound { // a child that goes past its parent comes to one that did not wait for it
				t.Errorf("sidecar %d, second %d: %d bytes", i, s, n)
			}
		}
	}
}
