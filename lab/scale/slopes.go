package scale

// Slopes fitted through the measured points, and the prediction of the largest size.

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"ledgespread/lab/size"
)

// slopeSpec describes a figure: the variables that its slope depends on, whether its prediction is claimed, and which
// points belong to the slope (includes; nil means all).
type slopeSpec struct {
	name, unit, what, account string
	variables                 []string
	claimed                   bool // the prediction is part of a claim
	includes                  func(size.Conditions) bool
}

// fewerServers reports whether a size has fewer servers than sidecars.
func fewerServers(at size.Conditions) bool { return at["servers"] < at["sidecars"] }

// slopeSpecs returns the figures that a run fits, in the order of the report.
func (runner *runner) slopeSpecs() (all []slopeSpec) {
	addSpecs := func(x ...slopeSpec) { all = append(all, x...) }
	allVariables := []string{"visits_per_s", "sidecars", "servers"}
	for _, direction := range []string{"bytes_out", "bytes_in", "messages_out", "messages_in"} {
		unit := map[bool]string{true: "B/s", false: "1/s"}[strings.HasPrefix(direction, "bytes")]
		addSpecs(runner.peersSpec(direction, unit, allVariables),
			slopeSpec{"sockets.peers." + direction, unit, "the same on sockets, hollow ones beside real ones", accountReceivers, []string{"visits_per_s"}, false, fewerServers},
			slopeSpec{"tenants." + direction, unit, "what sidecars tell of tenants, a sidecar", accountSimulated, []string{"tenants"}, false, nil},
			slopeSpec{"ledger." + direction, unit, "the one sidecar that keeps the tenants' totals", accountSimulated, []string{"sidecars", "sidecars*tenants"}, true, nil},
			runner.ownerSpec(direction, unit),
			slopeSpec{"membership." + direction, unit, "who is there, a sidecar, datagrams and full exchanges, when all are acquainted", accountSimulated, []string{"sidecars"}, strings.HasSuffix(direction, "_out"), nil},
			slopeSpec{"sockets.membership." + direction, unit, "the same on sockets, at sizes at which the news of who joined had faded", "members' own counters, heads added", []string{"sidecars"}, false, nil},
			slopeSpec{"list." + direction, unit, "calls of the list's service when nothing changes, a sidecar: bytes of heads and bodies, no headers of TCP", "the list's service's", []string{"sidecars"}, direction == "messages_out", nil})
	}
	addSpecs(slopeSpec{size.ServiceCallsCalm, "1/s", "calls of the list's service, calm", "the list's service's", []string{"sidecars"}, true, nil},
		slopeSpec{size.ServiceBytesOut, "B/s", "bytes that the list's service answers, calm", "the list's service's", []string{"sidecars"}, false, nil},
		slopeSpec{size.ControlCPU, "core", "processor time of real ones for all but visits: what they use without one, and their messages, by least squares over the processes", accountRusage, []string{"visits_per_s"}, false, nil},
		slopeSpec{size.Owner + ".cpu", "core", "the same of the sidecar with most messages between sidecars, by their number at the receivers and what one costs", accountRusage, []string{"visits_per_s"}, false, nil},
		slopeSpec{size.Ledger + ".cpu", "core", "the same of the sidecar with most messages of tenants", accountRusage, []string{"visits_per_s"}, false, nil},
		slopeSpec{size.Owner + ".memory_mb", "MB", "resident memory of the largest real one at work, owners of servers among them", accountRusage, []string{"visits_per_s", "sidecars", "servers"}, false, nil},
		slopeSpec{size.Ledger + ".memory_mb", "MB", "the same: no real one need be the ledger, which holds two figures a tenant more", accountRusage, []string{"visits_per_s", "sidecars", "servers"}, false, nil},
		slopeSpec{"control.cpu_over_silent", "core", "processor time of real ones that are members and tell others, over those that are neither, at the same visits; these send second copies, which costs them more", accountRusage, []string{"visits_per_s", "sidecars"}, false, nil},
		slopeSpec{"control.cpu_by_rate", "core", "the same where sidecars of different rates stand side by side", accountRusage, []string{"visits_per_s"}, false, nil},
		slopeSpec{size.RequestCPU, "us", "processor time a visit of real ones that tell others nothing, side by side at different rates", accountRusage, []string{"visits_per_s"}, false, nil},
		slopeSpec{"process.cpu", "core", "processor time of real ones, all included", accountRusage, []string{"visits_per_s", "sidecars"}, false, nil},
		slopeSpec{size.Memory, "MB", "resident memory of real ones at work", accountRusage, []string{"visits_per_s", "sidecars", "servers"}, false, nil},
		slopeSpec{"memory.idle_mb", "MB", "resident memory of real ones before the first visit", accountRusage, []string{"sidecars", "servers"}, false, nil},
		slopeSpec{size.Descriptors, "1", "files and sockets open of real ones at work", accountRusage, []string{"visits_per_s", "servers"}, false, nil},
		slopeSpec{"hollow.memory_mb", "MB", "memory of the lab's process for each hollow sidecar", accountRusage, []string{"sidecars"}, false, nil})
	return all
}

// boundDecidesFrom is the rate of visits per second from which the bound on messages, not the visits,
// determines the peer traffic: the module then makes several requests for each exchange that the bound allows.
const boundDecidesFrom = 100

// boundDecides reports whether the bound on messages determines the peer traffic of a size.
func boundDecides(at size.Conditions) bool {
	return fewerServers(at) && at["visits_per_s"] >= boundDecidesFrom
}

// peersSpec describes the slope of a sidecar's messages about servers.
func (runner *runner) peersSpec(direction, unit string, variables []string) slopeSpec {
	if runner.Bound > 0 {
		return slopeSpec{"peers." + direction, unit, fmt.Sprintf("what sidecars tell each other of servers, a sidecar, where its bound decides and no longer its visits: the mean of the sizes from %d visits/s on", boundDecidesFrom),
			accountSimulated, nil, false, boundDecides}
	}
	return slopeSpec{"peers." + direction, unit, "what sidecars tell each other of servers, a sidecar, where it has fewer servers than there are sidecars", accountSimulated, variables, true, fewerServers}
}

// ownerSpec describes the slope of an owner's messages. An owner is the sidecar that rendezvous hashing assigns
// to a server; it keeps the server's counts.
func (runner *runner) ownerSpec(direction, unit string) slopeSpec {
	if runner.Bound > 0 {
		return slopeSpec{"owner." + direction, unit, "the most loaded sidecar, an owner of several servers, where its bound decides and no longer its visits", accountSimulated, nil, false, boundDecides}
	}
	return slopeSpec{"owner." + direction, unit, fmt.Sprintf("one that owns one server's count, of %d in the list; with n servers its part of all is so much less or more", runner.ownerServers()), accountSimulated,
		[]string{"visits_per_s", "visits_per_s*sidecars"}, true, func(at size.Conditions) bool { return fewerServers(at) && int(at["servers"]) == runner.ownerServers() }}
}

// ownerServers returns the number of servers at which owners are compared: the one that most simulated sizes have.
func (runner *runner) ownerServers() int {
	counts, best := map[int]int{}, 0
	for _, z := range runner.Simulated {
		if counts[z.Servers]++; counts[z.Servers] > counts[best] {
			best = z.Servers
		}
	}
	return best
}

// predict fits slopes through the points so far and adds them to the report with predictions for the largest size.
func (runner *runner) predict(onSockets Size) error {
	for _, spec := range runner.slopeSpecs() {
		points := runner.points[spec.name]
		if spec.includes != nil {
			points = slices.DeleteFunc(slices.Clone(points), func(p size.Point) bool { return !spec.includes(p.At) })
		}
		if len(points) == 0 {
			continue
		}
		slope := size.Slope{Name: spec.name, Unit: spec.unit, What: spec.what, Account: spec.account, Points: points}
		// Drops variables that the points can't separate; a slope without variables is a mean.
		for of := varyingVariables(points, spec.variables); ; of = of[:len(of)-1] {
			var err error
			if slope.Coefficient, slope.Error, err = fitSlope(points, of); err == nil {
				slope.Of = of
				break
			}
			if len(of) == 0 {
				break
			}
		}
		if slope.Of == nil {
			slope.Of = []string{}
		}
		if slope.Coefficient == nil {
			continue
		}
		largest := onSockets.variables()
		if n := len(runner.Simulated); n > 0 && spec.account == accountSimulated {
			largest = runner.Simulated[n-1].variables()
		}
		if len(points[0].At) == 1 { // membership depends on the number of sidecars only
			largest = size.Conditions{"sidecars": largest["sidecars"]}
		}
		if spec.includes == nil || spec.includes(largest) {
			if runner.options.Break == "wrong-slope" {
				for name := range slope.Coefficient {
					slope.Coefficient[name] *= wrongSlopeFactor
				}
			}
			value, deviation, err := slope.Predict(largest)
			if err != nil {
				return err
			}
			slope.Largest = &size.Largest{At: largest, Predicted: value, Error: deviation}
		}
		runner.report.Slopes = append(runner.report.Slopes, slope)
	}
	return nil
}

// fitSlope fits a slope by least squares; without variables it returns the mean of the points and its standard error.
func fitSlope(points []size.Point, variables []string) (coefficient, deviation map[string]float64, err error) {
	if len(variables) > 0 {
		return size.Fit(points, variables)
	}
	sum, square, n := 0.0, 0.0, float64(len(points))
	for _, p := range points {
		sum += p.Mean
	}
	for _, p := range points {
		square += (p.Mean - sum/n) * (p.Mean - sum/n)
	}
	return map[string]float64{size.Const: sum / n}, map[string]float64{size.Const: math.Sqrt(square / max(n-1, 1) / n)}, nil
}

// varyingVariables returns the variables whose values differ among the points.
func varyingVariables(points []size.Point, variables []string) (varying []string) {
	for _, name := range variables {
		values := map[string]bool{}
		for _, p := range points {
			x := 1.0
			for part := range strings.SplitSeq(name, "*") {
				x *= p.At[part]
			}
			values[fmt.Sprint(x)] = true
		}
		if len(values) > 1 {
			varying = append(varying, name)
		}
	}
	return varying
}

// fillMeasured adds the points measured after the prediction, the measured values of the largest sizes, and for
// simulated points the values measured on sockets.
func (runner *runner) fillMeasured() {
	for i := range runner.report.Slopes {
		slope := &runner.report.Slopes[i]
		if slope.Largest != nil {
			found, fitted := false, len(slope.Points)
			for _, point := range runner.points[slope.Name] {
				if slices.ContainsFunc(slope.Points[:fitted], func(q size.Point) bool { return sameVariables(point.At, q.At) }) || runner.excludes(slope.Name, point.At) {
					continue
				}
				if slope.Points = append(slope.Points, point); sameVariables(point.At, slope.Largest.At) && !found {
					slope.Largest.Measured, found = point.Mean, true
				}
			}
			if !found { // the figure was not measured at the largest size
				slope.Largest = nil
			}
		}
		if slope.Account == accountSimulated {
			for k, point := range slope.Points {
				for _, onSockets := range runner.points["sockets."+slope.Name] {
					if sameVariables(point.At, onSockets.At) {
						slope.Points[k].Real = onSockets.Mean
					}
				}
			}
		}
	}
}

// addManyServerEvents adds an event for the peer traffic of each size with at least as many servers as
// sidecars. Traffic behaves differently there, so these points aren't part of the slopes.
func (runner *runner) addManyServerEvents() {
	for _, name := range []string{"peers.bytes_out", "peers.messages_out"} {
		for _, p := range runner.points[name] {
			if !fewerServers(p.At) {
				runner.report.Events = append(runner.report.Events, size.Event{Name: name + ".as_many_servers", Account: accountSimulated, At: p.At, Unit: map[bool]string{true: "B/s", false: "1/s"}[name == "peers.bytes_out"],
					What: "what a sidecar tells others of servers, where servers are as many as sidecars", Median: p.Mean, Last: max(p.Most, p.Mean), N: int(p.At["sidecars"])})
			}
		}
	}
}

// excludes reports whether the slope of this name excludes points at these variables.
func (runner *runner) excludes(name string, at size.Conditions) bool {
	for _, x := range runner.slopeSpecs() {
		if x.name == name {
			return x.includes != nil && !x.includes(at)
		}
	}
	return false
}

// sameVariables reports whether two points have equal variables.
func sameVariables(a, b size.Conditions) bool {
	for name, x := range a {
		if b[name] != x {
			return false
		}
	}
	return len(a) == len(b)
}
