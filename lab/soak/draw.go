// Package soak runs randomized end-to-end tests, called days: a small fleet of real sidecars whose size,
// settings and faults are drawn from a seed. The records of the simulated servers, clients and discovery decide
// whether the rules were kept. The same seed always draws the same day.
package soak

import (
	"fmt"
	"slices"
	"strings"

	"ledgespread/lab/rng"
	"ledgespread/lab/scenario"
)

// Limits of a day. Times are in milliseconds.
const (
	maxSidecars  = 12
	manySidecars = 24 // on one day in eight
	minFaults    = 4
	maxFaults    = 9
	firstFaultAt = 1000 // no fault begins earlier
	faultFreeEnd = 3500 // no fault begins in this last part of the day, so that pending effects are observed
)

// faultKind is a kind of fault and how its settings are drawn.
type faultKind struct {
	name string
	draw func(d *scenarioDrawer) string // returns its settings other than what and at
}

// scenarioDrawer draws the scenario of one day, as text.
type scenarioDrawer struct {
	*rng.Source
	backends, sidecars int
	zones              []string
	length             int
	machineFails       bool
	longRequests       bool // see bodies.go
	silentConnections  bool // see silence.go
	extreme            bool // draws extreme amounts, such as all servers or only one, more often
}

// between draws an integer from minimum to maximum, both included.
func (d *scenarioDrawer) between(minimum, maximum int) int {
	return minimum + d.Below(maximum-minimum+1)
}

// backendTarget draws the target of a fault among the servers: one of them or, on extreme days, often half or all.
func (d *scenarioDrawer) backendTarget() string {
	if d.extreme {
		return d.backendAmount()
	}
	return fmt.Sprintf("backends = \"b%d\"\n", d.Below(d.backends))
}

// backendAmount draws one server, half of them or all as the target of a fault.
func (d *scenarioDrawer) backendAmount() string {
	return []string{fmt.Sprintf("backends = \"b%d\"\n", d.Below(d.backends)), "backends = 0.5\n", "backends = 1\n", "backends = 1\n"}[d.Below(4)]
}

// sidecarTarget draws the target of a fault among the sidecars: one of them or, on one extreme day in three, all.
func (d *scenarioDrawer) sidecarTarget() string {
	if d.extreme && d.Below(3) == 0 {
		return "sidecars = 1\n"
	}
	return fmt.Sprintf("sidecars = \"n%d\"\n", d.Below(d.sidecars))
}

// duration draws how long a fault lasts, in milliseconds.
func (d *scenarioDrawer) duration(minimum, maximum int) string {
	return fmt.Sprintf("for = \"%dms\"\n", d.between(minimum, maximum))
}

// share draws the share of requests or messages that a fault hits, in percent.
func (d *scenarioDrawer) share(minimum, maximum int) string {
	return fmt.Sprintf("part = %.2f\n", float64(d.between(minimum, maximum))/100)
}

// delay draws the delay or step that a fault adds, in milliseconds.
func (d *scenarioDrawer) delay(minimum, maximum int) string {
	return fmt.Sprintf("by = \"%dms\"\n", d.between(minimum, maximum))
}

// factor draws the factor or the count of a fault.
func (d *scenarioDrawer) factor(minimum, maximum int) string {
	return fmt.Sprintf("times = %d\n", d.between(minimum, maximum))
}

// faultKinds lists all kinds of faults that a day may have.
var faultKinds = []faultKind{
	{"drain", func(d *scenarioDrawer) string { return d.backendTarget() + d.duration(2000, 5000) }},
	{"kill_cold", func(d *scenarioDrawer) string { return d.backendTarget() + d.duration(500, 3000) }},
	{"unlist", func(d *scenarioDrawer) string { return d.backendTarget() + d.duration(1000, 4000) }},
	{"replace", func(d *scenarioDrawer) string { return d.backendTarget() }},
	{"stall", func(d *scenarioDrawer) string { return d.backendTarget() + d.duration(300, 2000) }},
	{"mute", func(d *scenarioDrawer) string { return d.backendTarget() + d.duration(300, 2000) }},
	{"errors", func(d *scenarioDrawer) string { return d.backendTarget() + d.duration(500, 3000) + d.share(10, 100) }},
	{"spoil", func(d *scenarioDrawer) string { return d.backendTarget() + d.duration(500, 3000) + d.share(10, 100) }},
	{"slow", func(d *scenarioDrawer) string { return d.backendTarget() + d.duration(500, 3000) + d.factor(2, 10) }},
	{"sidecar_kill", func(d *scenarioDrawer) string { return d.sidecarTarget() + d.duration(300, 1500) }},
	{"sidecar_end", func(d *scenarioDrawer) string { return d.sidecarTarget() }},
	{"sidecar_restart", func(d *scenarioDrawer) string { return d.sidecarTarget() }},
	{"sidecar_stall", func(d *scenarioDrawer) string { return d.sidecarTarget() + d.duration(50, 150) }},
	{"list_down", func(d *scenarioDrawer) string { return d.duration(500, 5000) }},
	{"list_late", func(d *scenarioDrawer) string { return d.duration(500, 4000) + d.delay(100, 1500) }},
	{"list_move", func(d *scenarioDrawer) string { return "" }},
	{"list_moves", func(d *scenarioDrawer) string { return d.factor(2, 6) }},
	{"list_anew", func(d *scenarioDrawer) string { return "" }},
	{"list_odd", func(d *scenarioDrawer) string { return d.duration(1000, 5000) }},
	{"list_slow", func(d *scenarioDrawer) string { return d.duration(1000, 6000) + d.delay(20, 600) }},
	{"list_refuse", func(d *scenarioDrawer) string { return d.duration(500, 4000) + d.share(10, 90) }},
	{"list_silent", func(d *scenarioDrawer) string { return d.duration(500, 3000) + d.share(10, 60) }},
	{"list_answers_late", func(d *scenarioDrawer) string { return d.duration(2000, 6000) + d.delay(500, 4000) }},
	{"silence", func(d *scenarioDrawer) string { return d.backendTarget() + d.duration(300, 3000) }},
	{"cut", func(d *scenarioDrawer) string { return d.backendTarget() + d.duration(300, 3000) }},
	{"reset", func(d *scenarioDrawer) string { return d.backendTarget() }},
	{"delay", func(d *scenarioDrawer) string { return d.backendTarget() + d.duration(300, 3000) + d.delay(5, 150) }},
	{"refuse", func(d *scenarioDrawer) string { return d.backendTarget() + d.duration(300, 3000) }},
	{"narrow", func(d *scenarioDrawer) string {
		return d.backendTarget() + d.duration(300, 3000) + "bytes_per_s = 4000\n"
	}},
	{"surge", func(d *scenarioDrawer) string { return d.duration(300, 2000) + d.factor(2, 4) }},
	{"crowd", func(d *scenarioDrawer) string { return d.duration(500, 3000) + d.factor(10, 60) }},
	{wallBack, func(d *scenarioDrawer) string { return d.clockStep() }},
	{wallForward, func(d *scenarioDrawer) string { return d.clockStep() }},
}

// Steps of the wall clock, drawn only where the sidecars run with failing system calls.
const (
	wallBack    = "wall_back"
	wallForward = "wall_forward"
)

// isClockStep reports whether a fault steps the wall clock.
func isClockStep(kind faultKind) bool { return kind.name == wallBack || kind.name == wallForward }

// clockStep draws by how much the wall clock is stepped: seconds or, in one case of three, an hour.
func (d *scenarioDrawer) clockStep() string {
	if d.Below(3) == 0 {
		return "by = \"3600000ms\"\n"
	}
	return d.delay(500, 9000)
}

// Kinds returns the names of all kinds of faults.
func Kinds() (kinds []string) {
	for _, kind := range slices.Concat(faultKinds, bodyFaultKinds, silenceFaultKinds) {
		kinds = append(kinds, kind.name)
	}
	return kinds
}

// kindsOf returns the kinds of faults of a day: all that any day may have, or only one kind.
func kindsOf(only string) ([]faultKind, error) {
	if only == "" {
		return faultKinds, nil
	}
	all := slices.Concat(faultKinds, bodyFaultKinds, silenceFaultKinds)
	at := slices.IndexFunc(all, func(kind faultKind) bool { return kind.name == only })
	if at < 0 {
		return nil, fmt.Errorf("%q is no kind of fault; there are %s", only, strings.Join(Kinds(), ", "))
	}
	return all[at : at+1], nil
}

// Draw draws the scenario of the day of a seed, with a length in milliseconds. only limits the faults to one
// kind beside a disturbed list, cold restarts and the end of a sidecar, which every day has; "": any kind.
func Draw(seed uint64, length int, only string) (*scenario.Scenario, error) {
	kinds, err := kindsOf(only)
	if err != nil {
		return nil, err
	}
	d := &scenarioDrawer{Source: rng.New(seed, "soak"), length: length, longRequests: hasLongRequests(seed, only), silentConnections: hasSilence(seed, only)}
	d.extreme = d.Below(2) == 0
	d.machineFails = d.Below(2) == 0 || only == wallBack || only == wallForward
	if !d.machineFails {
		kinds = slices.DeleteFunc(slices.Clone(kinds), isClockStep)
	}
	if d.longRequests && only == "" {
		kinds = withoutNetworkFaults(slices.Concat(kinds, bodyFaultKinds))
	}
	text := d.fleetText(seed) + d.settingsText() + d.faultsText(kinds)
	return scenario.Parse(fmt.Sprintf("(soak, seed %d)", seed), []byte(text))
}

// fleetText draws the sidecars, the servers and the network between them.
func (d *scenarioDrawer) fleetText(seed uint64) string {
	d.sidecars, d.backends = d.between(1, maxSidecars), d.between(3, 10)
	if d.Below(8) == 0 {
		d.sidecars = manySidecars
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
	if d.longRequests {
		return text.String()
	}
	fmt.Fprintf(&text, "[network]\nsame = \"%dus\"\ncross = \"%dus\"\nspread = \"%dus\"\ngated = true\n", d.between(0, 300), d.between(300, 2000), d.between(0, 100))
	return text.String()
}

// settingsText draws the classes of requests, the traffic, the delivery of the server list and the settings of
// the rules.
func (d *scenarioDrawer) settingsText() string {
	var text strings.Builder
	if d.longRequests {
		text.WriteString(d.longRequestsText())
	} else {
		text.WriteString(d.shortRequestsText())
	}
	fmt.Fprintf(&text, "[list]\nnotice = \"%dms\"\nmode = \"%s\"\n", d.between(0, 300), []string{"on_request", "on_request", "pushed"}[d.Below(3)])
	if d.extreme {
		fmt.Fprintf(&text, "whole = %.1f\ntogether = \"%dms\"\n", []float64{0, 0.5, 1}[d.Below(3)], d.between(1, 200))
	}
	fmt.Fprintf(&text, "[rules]\ndrain_grace = \"%dms\"\nask_every = \"%dms\"\ncold = \"%dms\"\ncold_from = %.2f\nfall_multiple = %.1f\nfall_roots = true\n", d.between(300, 1000),
		d.between(6000, 20000), d.between(3000, 9000), float64(d.between(5, 30))/100, float64(d.between(10, 30))/10)
	return text.String()
}

// prefixText draws a class of requests, up to its times.
func (d *scenarioDrawer) prefixText(number int, effect string) string {
	return fmt.Sprintf("[[prefix]]\nname = \"p%d\"\neffect = \"%s\"\ngroup = \"%s\"\nwork = \"%dms\"\nwork_spread = \"exp\"\n", number, effect,
		[]string{"all", "zone"}[d.Below(2)], d.between(2, 8))
}

// shortRequestsText draws the classes of requests and the traffic of a day without long requests.
func (d *scenarioDrawer) shortRequestsText() string {
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
		text.WriteString(d.prefixText(i, effect))
		fmt.Fprintf(&text, "target_latency = \"%dms\"\nclient_timeout = \"%dms\"\nmemory = \"%dms\"\n", timeout/2, timeout, d.between(200, 1500))
	}
	// About a third of what the servers can serve: a broken rule shall come from the faults, not from overload.
	rate := d.between(15, 40) * d.backends
	if d.extreme && d.Below(6) == 0 {
		rate = 2 // almost no requests outside of surges
	}
	fmt.Fprintf(&text, "[traffic]\nrate = \"%d/s\"\nretries = %d\nimpatient = %.2f\nrude = \"%d/s\"\n", rate, d.between(0, 2),
		float64(d.between(0, 20))/100, d.between(0, 3))
	return text.String()
}

// faultsText draws the faults: always a disturbed server list, servers that restart cold and the end of a
// sidecar process, then some faults of the given kinds.
func (d *scenarioDrawer) faultsText(kinds []faultKind) string {
	var text strings.Builder
	add := func(kind string, at int, lines string) {
		fmt.Fprintf(&text, "[[fault]]\nwhat = \"%s\"\nat = \"%dms\"\n%s", kind, at, lines)
	}
	lastFaultAt := max(d.length-faultFreeEnd, firstFaultAt+1)
	if d.silentConnections {
		d.silences(add)
		kinds = withoutListFaults(kinds)
	} else {
		d.discoveryDisturbance(d.between(firstFaultAt, max(lastFaultAt-disturbanceMillis, firstFaultAt+1)), add)
	}
	d.coldRestarts(d.between(firstFaultAt, lastFaultAt), add)
	if d.extreme {
		d.massRemoval(d.between(firstFaultAt, lastFaultAt), add)
	}
	add("sidecar_end", d.between(firstFaultAt, lastFaultAt), d.sidecarTarget())
	if d.longRequests {
		d.longRequestFaults(firstFaultAt, lastFaultAt, add)
	}
	for range d.between(minFaults, maxFaults) {
		kind := kinds[d.Below(len(kinds))]
		add(kind.name, d.between(firstFaultAt, lastFaultAt), kind.draw(d))
	}
	return text.String()
}

const (
	disturbanceMillis = 6000
	maxDrains         = 4
)

// discoveryDisturbance delays, drops or corrupts the answers of discovery, moves discovery to another address
// and drains servers meanwhile. Each sidecar then has several discovery calls open, and any of them may bring
// the drain.
func (d *scenarioDrawer) discoveryDisturbance(from int, add func(kind string, at int, lines string)) {
	lasts := fmt.Sprintf("for = \"%dms\"\n", disturbanceMillis)
	switch d.Below(5) {
	case 4:
		add("list_odd", from, lasts)
	case 0:
		add("list_slow", from, lasts+d.delay(20, 400))
	case 1:
		add("list_silent", from, lasts+d.share(10, 50))
	default:
		add("list_answers_late", from, lasts+d.delay(1000, 4000))
	}
	moveAt := from + d.between(100, 1500)
	for range d.between(1, 3) {
		add("list_move", moveAt, "")
		moveAt += d.between(200, 1500)
	}
	for range d.between(1, max(min(maxDrains, d.backends-2), 1)) {
		add("drain", from+d.between(500, 4500), d.backendTarget()+d.duration(3500, 5000))
	}
}

// massRemoval removes all or half of the servers in one version of the list, without a drain, and adds them
// back in another.
func (d *scenarioDrawer) massRemoval(at int, add func(kind string, at int, lines string)) {
	kind := []string{"unlist", "unlist", "kill_cold"}[d.Below(3)]
	add(kind, at, []string{"backends = 1\n", "backends = 1\n", "backends = 0.5\n"}[d.Below(3)]+d.duration(1000, 4000))
}

const (
	maxColdRestarts = 2
	restartMillis   = 900 // how long the servers that restart cold are down
	surgeMillis     = 3000
)

// coldRestarts restarts servers cold under a surge. Where system calls fail, the wall clock is stepped before
// the servers start, so that their reported start times follow the stepped clock.
func (d *scenarioDrawer) coldRestarts(from int, add func(kind string, at int, lines string)) {
	first := d.Below(d.backends)
	for i := range d.between(1, maxColdRestarts) {
		add("kill_cold", from, fmt.Sprintf("backends = \"b%d\"\nfor = \"%dms\"\n", (first+i)%d.backends, restartMillis))
	}
	if d.machineFails {
		add([]string{wallBack, wallForward}[d.Below(2)], from+restartMillis/2, d.clockStep())
	}
	add("surge", from+restartMillis, fmt.Sprintf("for = \"%dms\"\ntimes = %.1f\n", surgeMillis, float64(d.between(15, 25))/10))
}
