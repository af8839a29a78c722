package soak

import (
	"fmt"
	"slices"

	"ledgespread/lab/rng"
	"ledgespread/lab/scenario"
)

// Days on which open connections to discovery fall silent: some or all of a sidecar's at one moment, for good or until
// they are reset, beside a service that is slow or not, with servers that drain shortly before or after.
const (
	silenceOneIn       = 4
	maxSilenceOfNew    = 3000 // ms, for which connections that are opened are silent, too
	slowServiceOneIn   = 2
	lastMoveAfter      = 2000  // ms after the first fault
	firstDrainAt       = -1000 // ms, from the moment of a silence
	lastDrainAt        = 5000
	deadlineAfterDrain = 7500 // ms from a drain until a request to that server breaks a rule
)

// silenceFaultKinds are the kinds of faults of such days, beside those of any day.
var silenceFaultKinds = []faultKind{
	{"list_connections_silent", func(d *scenarioDrawer) string { return d.silenceText() }},
	{"list_silent_after_call", func(*scenarioDrawer) string { return "" }},
}

func isSilenceFault(name string) bool {
	return slices.ContainsFunc(silenceFaultKinds, func(kind faultKind) bool { return kind.name == name })
}

// hasSilence reports whether the day of a seed has silent connections. It is drawn apart, so that other days stay as
// they are. only is the kind of fault that a day is limited to, or "".
func hasSilence(seed uint64, only string) bool {
	return isSilenceFault(only) || only == "" && rng.New(seed, "soak, silent connections").Below(silenceOneIn) == 0
}

// silenceText draws how many connections fall silent, for how long new ones do, and whether they are reset.
func (d *scenarioDrawer) silenceText() string {
	text := fmt.Sprintf("part = %.1f\n", []float64{0.5, 1, 1}[d.Below(3)])
	if d.Below(2) == 0 {
		text += d.duration(100, maxSilenceOfNew)
	}
	if d.Below(4) == 0 {
		text += d.delay(500, 5000)
	}
	return text
}

// silences draws the troubles of discovery on such a day, in place of those of any day: a service that is slow throughout
// or quick, moves to other addresses, and a moment at which connections fall silent, with servers that drain before, at
// or after it.
func (d *scenarioDrawer) silences(add func(kind string, at int, lines string)) {
	if d.Below(slowServiceOneIn) == 0 {
		add("list_answers_late", firstFaultAt, fmt.Sprintf("for = \"%dms\"\n", d.length)+d.delay(500, 1400))
	}
	for range d.between(1, 2) {
		add("list_move", d.between(firstFaultAt+100, firstFaultAt+lastMoveAfter), "")
	}
	latest := max(d.length-deadlineAfterDrain-lastDrainAt, firstFaultAt+lastMoveAfter+1)
	at := d.between(firstFaultAt+lastMoveAfter, latest)
	kind := silenceFaultKinds[d.Below(len(silenceFaultKinds))]
	add(kind.name, at, kind.draw(d))
	for range d.between(1, max(min(maxDrains, d.backends-1), 1)) {
		add("drain", at+d.between(firstDrainAt, lastDrainAt), fmt.Sprintf("backends = \"b%d\"\nfor = \"%dms\"\n", d.Below(d.backends), d.length))
	}
}

// withoutListFaults leaves out the faults of discovery: another one within the protocol's deadline would put off the
// time by which a change has to be known.
func withoutListFaults(kinds []faultKind) []faultKind {
	return slices.DeleteFunc(slices.Clone(kinds), func(kind faultKind) bool {
		return scenario.FaultTargets[kind.name] == "list" && !isSilenceFault(kind.name)
	})
}
