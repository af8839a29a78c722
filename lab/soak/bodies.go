package soak

import (
	"fmt"
	"slices"
	"strings"

	"ledgespread/lab/rng"
	"ledgespread/lab/scenario"
)

// Days with long requests: tagged and mutating requests bring bodies of up to a megabyte, windows are shorter than the
// deadline, servers read slowly, and connections are reset under requests that have begun.
const (
	longRequestsOneIn = 4 // one day in so many

	minRequestBytes = 70 << 10 // just over what is sent with the head
	maxRequestBytes = 1 << 20

	minReadRate = 800 << 10 // bytes per second
	maxReadRate = 2 << 20

	longRequestEpisodes = 2 // a day, of servers that read slowly beside resets
)

// bodyFaultKinds lists the kinds of faults that only days with long requests have.
var bodyFaultKinds = []faultKind{
	{"slow_reads", func(d *scenarioDrawer) string { return d.slowReaders() + d.duration(3000, 6000) + d.readRate() }},
	{"reset_under", func(d *scenarioDrawer) string {
		return d.backendAmount() + d.duration(3000, 6000) + d.share(30, 80) + d.delay(50, 350)
	}},
}

// slowReaders draws which servers read slowly: often half of them, so that a repeat goes to a slow one after a first
// attempt at a quick one.
func (d *scenarioDrawer) slowReaders() string {
	if d.Below(2) == 0 {
		return "backends = 0.5\n"
	}
	return d.backendAmount()
}

// readRate draws the rate at which a server reads requests.
func (d *scenarioDrawer) readRate() string {
	return fmt.Sprintf("bytes_per_s = %d\n", d.between(minReadRate, maxReadRate))
}

// isBodyFault reports whether a kind of fault is one of days with long requests.
func isBodyFault(name string) bool {
	return slices.ContainsFunc(bodyFaultKinds, func(kind faultKind) bool { return kind.name == name })
}

// hasLongRequests reports whether the day of a seed has long requests. It is drawn apart, so that other days stay as
// they are. only is the kind of fault that a day is limited to, or "".
func hasLongRequests(seed uint64, only string) bool {
	return isBodyFault(only) || only == "" && rng.New(seed, "soak, long requests").Below(longRequestsOneIn) == 0
}

// longRequestFaults has servers read slowly while connections are reset under requests, between two times.
func (d *scenarioDrawer) longRequestFaults(first, last int, add func(kind string, at int, lines string)) {
	for range longRequestEpisodes {
		at := d.between(first, last)
		for _, kind := range bodyFaultKinds {
			add(kind.name, at, kind.draw(d))
		}
	}
}

// requestBytes draws the size of a request: long ones more often, as they take longest.
func (d *scenarioDrawer) requestBytes() int {
	return max(d.between(minRequestBytes, maxRequestBytes), d.between(minRequestBytes, maxRequestBytes))
}

// withoutNetworkFaults leaves out the faults of the paths to servers: the proxies that play them hold megabytes, so that
// a server would say nothing of when a sidecar sent a request's last byte.
func withoutNetworkFaults(kinds []faultKind) []faultKind {
	return slices.DeleteFunc(slices.Clone(kinds), func(kind faultKind) bool { return scenario.FaultTargets[kind.name] == "network" })
}

// longRequestsText draws the classes and the traffic of a day with long requests.
func (d *scenarioDrawer) longRequestsText() string {
	var text strings.Builder
	effects := []string{"tagged", "mutating", "read_like"}
	for i, effect := range effects[:d.between(1, 3)] {
		timeout := d.between(1500, 3000)
		text.WriteString(d.prefixText(i, effect))
		fmt.Fprintf(&text, "target_latency = \"%dms\"\nclient_timeout = \"%dms\"\nmemory = \"%dms\"\nrequest_bytes = %d\n", timeout*3/4, timeout,
			d.between(300, 800), d.requestBytes())
	}
	fmt.Fprintf(&text, "[traffic]\nrate = \"%d/s\"\nretries = 0\n", d.between(6, 12))
	return text.String()
}
