// Package soak plays days that are drawn by seed: a small fleet of real sidecars, its settings and its faults are left to chance, and the
// rules are judged by the stand-ins' accounts. The same seed draws the same day.
package soak

import (
	"fmt"
	"slices"
	"strings"

	"ledgespread/lab/chance"
	"ledgespread/lab/scenario"
)

// A day's bounds. Times are milliseconds.
const (
	mostSidecars  = 12
	crowdSidecars = 24 // on one day in eight
	leastFaults   = 4
	mostFaults    = 9
	faultsFrom    = 1000 // nothing happens before; nor in the last part of the day, so that what is owed can be seen to come
	calmEnd       = 3500
)

// fault is a kind of fault and how one of it is drawn.
type fault struct {
	kind string
	draw func(d *drawer) string // its lines beside what, at
}

// drawer draws one day.
type drawer struct {
	*chance.Source
	backends, sidecars int
	zones              []string
	length             int
	machineFails       bool
	extreme            bool // amounts are often at their ends: none, one, all
}

// between draws a whole number from least to most.
func (d *drawer) between(least, most int) int { return least + d.Below(most-least+1) }

// backend is one of them or, on extreme days, often half or all.
func (d *drawer) backend() string {
	if d.extreme {
		return d.amount()
	}
	return fmt.Sprintf("backends = \"b%d\"\n", d.Below(d.backends))
}

// amount is one backend, half of them or all.
func (d *drawer) amount() string {
	return []string{fmt.Sprintf("backends = \"b%d\"\n", d.Below(d.backends)), "backends = 0.5\n", "backends = 1\n", "backends = 1\n"}[d.Below(4)]
}

// sidecar is one of them or, on extreme days, now and then all.
func (d *drawer) sidecar() string {
	if d.extreme && d.Below(3) == 0 {
		return "sidecars = 1\n"
	}
	return fmt.Sprintf("sidecars = \"n%d\"\n", d.Below(d.sidecars))
}

func (d *drawer) lasts(least, most int) string {
	return fmt.Sprintf("for = \"%dms\"\n", d.between(least, most))
}

func (d *drawer) part(least, most int) string {
	return fmt.Sprintf("part = %.2f\n", float64(d.between(least, most))/100)
}

func (d *drawer) by(least, most int) string {
	return fmt.Sprintf("by = \"%dms\"\n", d.between(least, most))
}

func (d *drawer) times(least, most int) string {
	return fmt.Sprintf("times = %d\n", d.between(least, most))
}

// faults are all kinds that a day may have.
var faults = []fault{
	{"drain", func(d *drawer) string { return d.backend() + d.lasts(2000, 5000) }},
	{"kill_cold", func(d *drawer) string { return d.backend() + d.lasts(500, 3000) }},
	{"unlist", func(d *drawer) string { return d.backend() + d.lasts(1000, 4000) }},
	{"replace", func(d *drawer) string { return d.backend() }},
	{"stall", func(d *drawer) string { return d.backend() + d.lasts(300, 2000) }},
	{"mute", func(d *drawer) string { return d.backend() + d.lasts(300, 2000) }},
	{"errors", func(d *drawer) string { return d.backend() + d.lasts(500, 3000) + d.part(10, 100) }},
	{"spoil", func(d *drawer) string { return d.backend() + d.lasts(500, 3000) + d.part(10, 100) }},
	{"slow", func(d *drawer) string { return d.backend() + d.lasts(500, 3000) + d.times(2, 10) }},
	{"sidecar_kill", func(d *drawer) string { return d.sidecar() + d.lasts(300, 1500) }},
	{"sidecar_end", func(d *drawer) string { return d.sidecar() }},
	{"sidecar_restart", func(d *drawer) string { return d.sidecar() }},
	{"sidecar_stall", func(d *drawer) string { return d.sidecar() + d.lasts(50, 150) }},
	{"list_down", func(d *drawer) string { return d.lasts(500, 5000) }},
	{"list_late", func(d *drawer) string { return d.lasts(500, 4000) + d.by(100, 1500) }},
	{"list_move", func(d *drawer) string { return "" }},
	{"list_moves", func(d *drawer) string { return d.times(2, 6) }},
	{"list_anew", func(d *drawer) string { return "" }},
	{"list_odd", func(d *drawer) string { return d.lasts(1000, 5000) }},
	{"list_slow", func(d *drawer) string { return d.lasts(1000, 6000) + d.by(20, 600) }},
	{"list_refuse", func(d *drawer) string { return d.lasts(500, 4000) + d.part(10, 90) }},
	{"list_silent", func(d *drawer) string { return d.lasts(500, 3000) + d.part(10, 60) }},
	{"list_answers_late", func(d *drawer) string { return d.lasts(2000, 6000) + d.by(500, 4000) }},
	{"silence", func(d *drawer) string { return d.backend() + d.lasts(300, 3000) }},
	{"cut", func(d *drawer) string { return d.backend() + d.lasts(300, 3000) }},
	{"reset", func(d *drawer) string { return d.backend() }},
	{"delay", func(d *drawer) string { return d.backend() + d.lasts(300, 3000) + d.by(5, 150) }},
	{"refuse", func(d *drawer) string { return d.backend() + d.lasts(300, 3000) }},
	{"narrow", func(d *drawer) string { return d.backend() + d.lasts(300, 3000) + "bytes_per_s = 4000\n" }},
	{"surge", func(d *drawer) string { return d.lasts(300, 2000) + d.times(2, 4) }},
	{"crowd", func(d *drawer) string { return d.lasts(500, 3000) + d.times(10, 60) }},
	{wallBack, func(d *drawer) string { return d.step() }},
	{wallForward, func(d *drawer) string { return d.step() }},
}

// Steps of the wall clock are played where sidecars run on a machine that fails.
const (
	wallBack    = "wall_back"
	wallForward = "wall_forward"
)

func isStep(f fault) bool { return f.kind == wallBack || f.kind == wallForward }

// step is by how much the wall clock is stepped: seconds, or an hour.
func (d *drawer) step() string {
	if d.Below(3) == 0 {
		return "by = \"3600000ms\"\n"
	}
	return d.by(500, 9000)
}

// Kinds are the names of all kinds of faults.
func Kinds() (kinds []string) {
	for _, f := range faults {
		kinds = append(kinds, f.kind)
	}
	return kinds
}

// Draw draws the day of a seed. only is the one kind of fault that it has beside drains, a move of the list and a restart; "": any.
func Draw(seed uint64, length int, only string) (*scenario.Scenario, error) {
	kinds := faults
	if only != "" {
		at := slices.IndexFunc(faults, func(f fault) bool { return f.kind == only })
		if at < 0 {
			return nil, fmt.Errorf("%q is no kind of fault; there are %s", only, strings.Join(Kinds(), ", "))
		}
		kinds = faults[at : at+1]
	}
	d := &drawer{Source: chance.New(seed, "soak"), length: length}
	d.extreme = d.Below(2) == 0
	d.machineFails = d.Below(2) == 0 || only == wallBack || only == wallForward
	if !d.machineFails {
		kinds = slices.DeleteFunc(slices.Clone(kinds), isStep)
	}
	text := d.fleet(seed) + d.settings() + d.trouble(kinds)
	return scenario.Parse(fmt.Sprintf("(soak, seed %d)", seed), []byte(text))
}

// fleet draws servers, sidecars and the network between them.
func (d *drawer) fleet(seed uint64) string {
	d.sidecars, d.backends = d.between(1, mostSidecars), d.between(3, 10)
	if d.Below(8) == 0 {
		d.sidecars = crowdSidecars
	}
	if d.extreme && d.Below(3) == 0 {
		d.backends = d.between(1, 2)
	}
	d.zones = []string{"a", "b"}[:d.between(1, 2)]
	var text strings.Builder
	fmt.Fprintf(&text, "name = \"soak\"\nseed = %d\nlength = \"%dms\"\nzones = [\"%s\"]\n", seed, d.length, strings.Join(d.zones, "\", \""))
	fmt.Fprintf(&text, "[sidecars]\ncount = %d\n[machine]\ncalls_fail = %v\n", d.sidecars, d.machineFails)
	for i := range d.backends {
		fmt.Fprintf(&text, "[[backend]]\nzone = \"%s\"\nspeed = %.1f\n", d.zones[i%len(d.zones)], float64(d.between(8, 20))/10)
	}
	fmt.Fprintf(&text, "[network]\nsame = \"%dus\"\ncross = \"%dus\"\nspread = \"%dus\"\ngated = true\n", d.between(0, 300), d.between(300, 2000), d.between(0, 100))
	return text.String()
}

// settings draws what clients ask for and what the rules are.
func (d *drawer) settings() string {
	var text strings.Builder
	effects := []string{"read_like", "tagged", "mutating"}
	for i, effect := range effects[:d.between(1, 3)] {
		if d.Below(3) == 0 {
			effect = effects[d.Below(3)]
		}
		timeout := d.between(120, 500)
		if d.Below(3) == 0 {
			timeout = d.between(1000, 3000)
		}
		fmt.Fprintf(&text, "[[prefix]]\nname = \"p%d\"\neffect = \"%s\"\ngroup = \"%s\"\nwork = \"%dms\"\nwork_spread = \"exp\"\n", i, effect,
			[]string{"all", "zone"}[d.Below(2)], d.between(2, 8))
		fmt.Fprintf(&text, "target_latency = \"%dms\"\nclient_timeout = \"%dms\"\nmemory = \"%dms\"\n", timeout/2, timeout, d.between(200, 1500))
	}
	// A third of what the servers can do: what breaks a rule is to be the faults, and not a fleet that is overrun.
	rate := d.between(15, 40) * d.backends
	if d.extreme && d.Below(6) == 0 {
		rate = 2 // next to none, but for surges
	}
	fmt.Fprintf(&text, "[traffic]\nrate = \"%d/s\"\nretries = %d\nimpatient = %.2f\nrude = \"%d/s\"\n", rate, d.between(0, 2),
		float64(d.between(0, 20))/100, d.between(0, 3))
	fmt.Fprintf(&text, "[list]\nnotice = \"%dms\"\nmode = \"%s\"\n", d.between(0, 300), []string{"on_request", "on_request", "pushed"}[d.Below(3)])
	if d.extreme {
		fmt.Fprintf(&text, "whole = %.1f\ntogether = \"%dms\"\n", []float64{0, 0.5, 1}[d.Below(3)], d.between(1, 200))
	}
	fmt.Fprintf(&text, "[rules]\ndrain_grace = \"%dms\"\nask_every = \"%dms\"\ncold = \"%dms\"\ncold_from = %.2f\nfall_multiple = %.1f\nfall_roots = true\n", d.between(300, 1000),
		d.between(6000, 20000), d.between(3000, 9000), float64(d.between(5, 30))/100, float64(d.between(10, 30))/10)
	return text.String()
}

// trouble draws the faults: always an episode of the list, servers that come back cold and the end of a sidecar, then some of these kinds.
func (d *drawer) trouble(kinds []fault) string {
	var text strings.Builder
	add := func(kind string, at int, lines string) {
		fmt.Fprintf(&text, "[[fault]]\nwhat = \"%s\"\nat = \"%dms\"\n%s", kind, at, lines)
	}
	last := max(d.length-calmEnd, faultsFrom+1)
	d.episode(d.between(faultsFrom, max(last-episodeLasts, faultsFrom+1)), add)
	d.coldReturn(d.between(faultsFrom, last), add)
	if d.extreme {
		d.exodus(d.between(faultsFrom, last), add)
	}
	add("sidecar_end", d.between(faultsFrom, last), d.sidecar())
	for range d.between(leastFaults, mostFaults) {
		f := kinds[d.Below(len(kinds))]
		add(f.kind, d.between(faultsFrom, last), f.draw(d))
	}
	return text.String()
}

const (
	episodeLasts = 6000
	mostDrains   = 4
)

// episode has the list moved while its answers come late, one after another, or not at all, and servers drain meanwhile: each sidecar has
// several calls out then, and any of them may be the one that tells of the drain.
func (d *drawer) episode(from int, add func(kind string, at int, lines string)) {
	lasts := fmt.Sprintf("for = \"%dms\"\n", episodeLasts)
	switch d.Below(5) {
	case 4:
		add("list_odd", from, lasts)
	case 0:
		add("list_slow", from, lasts+d.by(20, 400))
	case 1:
		add("list_silent", from, lasts+d.part(10, 50))
	default:
		add("list_answers_late", from, lasts+d.by(1000, 4000))
	}
	moved := from + d.between(100, 1500)
	for range d.between(1, 3) {
		add("list_move", moved, "")
		moved += d.between(200, 1500)
	}
	for range d.between(1, max(min(mostDrains, d.backends-2), 1)) {
		add("drain", from+d.between(500, 4500), d.backend()+d.lasts(3500, 5000))
	}
}

// exodus has the whole fleet, or all but some, leave in one version without having drained, and return in one.
func (d *drawer) exodus(at int, add func(kind string, at int, lines string)) {
	kind := []string{"unlist", "unlist", "kill_cold"}[d.Below(3)]
	add(kind, at, []string{"backends = 1\n", "backends = 1\n", "backends = 0.5\n"}[d.Below(3)]+d.lasts(1000, 4000))
}

const (
	mostCold   = 2
	outOfSight = 900 // how long servers are gone that come back cold
	coldSurge  = 3000
)

// coldReturn has servers come back cold under a surge. Where the machine fails its wall clock is stepped before they start, so that their
// starts are told by it.
func (d *drawer) coldReturn(from int, add func(kind string, at int, lines string)) {
	first := d.Below(d.backends)
	for i := range d.between(1, mostCold) {
		add("kill_cold", from, fmt.Sprintf("backends = \"b%d\"\nfor = \"%dms\"\n", (first+i)%d.backends, outOfSight))
	}
	if d.machineFails {
		add([]string{wallBack, wallForward}[d.Below(2)], from+outOfSight/2, d.step())
	}
	add("surge", from+outOfSight, fmt.Sprintf("for = \"%dms\"\ntimes = %.1f\n", coldSurge, float64(d.between(15, 25))/10))
}
