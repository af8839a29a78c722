// Package judge decides whether a run kept the rules of the load balancer. It relies only on the records of the
// simulated servers, clients and discovery, never on what a sidecar reports about itself.
//
// The rules are: (1) each request gets one final answer in time, (2) no request takes effect twice, (3) a
// draining server gets no new requests, (4) no server that starts cold is overloaded, (5) no server is given
// more time than the client waits.
//
// The judge reports a violation only where the records allow no other explanation: events are compared by their
// earliest and latest possible times, and a missed time limit is marked doubtful if the lab itself was stalled
// by its machine.
package judge

import (
	"cmp"
	"fmt"
	"slices"

	"ledgespread/lab/backend"
	"ledgespread/lab/clients"
	"ledgespread/lab/clock"
	"ledgespread/lab/list"
	"ledgespread/lab/plan"
	"ledgespread/lab/scenario"
	"ledgespread/lab/sidecars"
)

// Micros is a time of the lab clock, or a duration, in microseconds.
type Micros = clock.Micros

// Accounts are the records of a run on which the judge decides.
type Accounts struct {
	Scenario         *scenario.Scenario
	Plan             *plan.Plan
	Begun            Micros // when the plan's time 0 was
	Ended            Micros
	Requests         []*clients.Try
	Attempts         []*backend.Entry
	Backends         []BackendAccount
	Sidecars         []SidecarAccount
	ListDeliveries   []list.Delivery
	ListChanges      []list.Change
	DiscoveryOutages []clock.Interval // when discovery was unreachable

	// When discovery was unreachable, rejected calls or didn't answer them, or began its versions anew.
	DiscoveryDisturbances []clock.Interval

	MessageCuts       []Cut            // changes of the connectivity between sidecars
	Blocks            []Block          // times in which the network between a zone and a server let nothing through
	LabStalls         []clock.Interval // when the lab itself was stalled
	MalformedRequests *clients.MalformedCounts
	UncheckedRule     int // a rule that is not checked, to show that a proof can fail; 0: all are checked
}

// BackendAccount holds the records of a server other than its requests.
type BackendAccount struct {
	Name, Zone string
	Cell       int
	Overloads  []backend.Collapse
	Delays     map[string]Micros // minimum one-way network delay, by zone of the sidecar
}

// SidecarAccount holds the records of a sidecar: its process instances, its pauses as [from, to) with to
// negative while the pause lasts, and the reasons of unplanned exits.
type SidecarAccount struct {
	Name, Zone     string
	Processes      []sidecars.Process
	Pauses         [][2]Micros
	UnplannedExits []string
}

// Block is a time in which the network let nothing through from a zone to a server.
type Block struct {
	From, Backend string
	Stretch       clock.Interval
}

// Violation is one violation of a rule.
type Violation struct {
	Rule      int    `json:"rule"`
	RequestID string `json:"visit"`
	Backend   string `json:"backend,omitempty"`
	At        Micros `json:"at_us"` // from the plan's time 0
	Reason    string `json:"why"`
	Doubtful  bool   `json:"doubtful,omitempty"` // the lab itself was stalled at that time
}

func (v Violation) String() string {
	at := ""
	if v.Backend != "" {
		at = " at " + v.Backend
	}
	return fmt.Sprintf("rule %d, visit %s%s, %d µs: %s", v.Rule, v.RequestID, at, v.At, v.Reason)
}

// Verdict is the judge's result.
type Verdict struct {
	Violations []Violation `json:"broken"`
	Unmatched  []string    `json:"unmatched"` // requests on which the records of clients and servers disagree
}

// Certain returns the violations that are not doubtful.
func (v *Verdict) Certain() (out []Violation) {
	for _, violation := range v.Violations {
		if !violation.Doubtful {
			out = append(out, violation)
		}
	}
	return out
}

// checker holds the records, indexed for the checks, and the verdict so far.
type checker struct {
	*Accounts
	verdict        Verdict
	attemptsByID   map[string][]*backend.Entry
	requestsByID   map[string]*clients.Try
	backendsByName map[string]*BackendAccount
	knownDrains    map[string][]drain // by the names of sidecar and server, separated by a space
}

// drain is a time in which a sidecar knew, or had to know, that a server accepts no new requests.
type drain struct{ from, to Micros }

// Judge checks the records of a run against all rules. The violations are ordered by time, rule and request.
func Judge(accounts *Accounts) *Verdict {
	check := &checker{Accounts: accounts, attemptsByID: map[string][]*backend.Entry{}, requestsByID: map[string]*clients.Try{}, backendsByName: map[string]*BackendAccount{},
		knownDrains: map[string][]drain{}, verdict: Verdict{Violations: []Violation{}, Unmatched: []string{}}}
	for i := range accounts.Backends {
		check.backendsByName[accounts.Backends[i].Name] = &accounts.Backends[i]
	}
	for _, attempt := range accounts.Attempts {
		check.attemptsByID[attempt.ID] = append(check.attemptsByID[attempt.ID], attempt)
	}
	for _, attempts := range check.attemptsByID {
		slices.SortStableFunc(attempts, func(x, y *backend.Entry) int { return cmp.Compare(x.First, y.First) })
	}
	check.collectDrains()
	for _, request := range accounts.Requests {
		check.requestsByID[request.ID] = request
		check.checkOneAnswer(request)
		check.checkEffects(request)
		check.checkDrains(request)
		check.checkDeadlines(request)
		check.checkDelivered(request)
	}
	for _, attempt := range accounts.Attempts {
		if check.requestsByID[attempt.ID] == nil {
			check.verdict.Unmatched = append(check.verdict.Unmatched, fmt.Sprintf("%s at %s: no client sent it", attempt.ID, attempt.Backend))
		}
	}
	check.checkColdServers()
	for _, sidecar := range accounts.Sidecars {
		for _, why := range sidecar.UnplannedExits {
			check.verdict.Violations = append(check.verdict.Violations, Violation{Rule: 1, RequestID: "-", At: accounts.Ended - accounts.Begun, Reason: why})
		}
	}
	if accounts.MalformedRequests != nil && accounts.MalformedRequests.Served > 0 {
		check.verdict.Violations = append(check.verdict.Violations, Violation{Rule: 1, RequestID: "-", Reason: fmt.Sprintf("%d rude messages were served", accounts.MalformedRequests.Served)})
	}
	check.verdict.Violations = slices.DeleteFunc(check.verdict.Violations, func(violation Violation) bool { return violation.Rule == accounts.UncheckedRule })
	slices.SortStableFunc(check.verdict.Violations, func(x, y Violation) int {
		return cmp.Or(cmp.Compare(x.At, y.At), cmp.Compare(x.Rule, y.Rule), cmp.Compare(x.RequestID, y.RequestID))
	})
	slices.Sort(check.verdict.Unmatched)
	return &check.verdict
}

// addViolation records a violation that occurred at this time; limit is the time limit that was missed, or -1
// where the violation is not about a time limit.
func (c *checker) addViolation(rule int, id, backendName string, occurred, limit Micros, format string, values ...any) {
	doubtful := limit >= 0 && c.explainedByStall(limit, occurred)
	c.verdict.Violations = append(c.verdict.Violations, Violation{rule, id, backendName, occurred - c.Begun, fmt.Sprintf(format, values...), doubtful})
}

// stallAftermath is how long delays may persist after the lab was stalled.
const stallAftermath = clock.Second / 2

// explainedByStall reports whether stalls of the lab explain why a limit was missed: the delay is at most the
// total length of the stalls between limit and when, plus stallAftermath. Bounding the delay keeps one short
// stall from excusing all that follows, such as requests to a server that has been draining for seconds.
func (c *checker) explainedByStall(limit, when Micros) bool {
	stalled := Micros(0)
	for _, stall := range c.LabStalls {
		stalled += max(0, min(stall.To, when)-max(stall.From, limit-stallAftermath))
	}
	return stalled > 0 && when-limit <= stalled+stallAftermath
}

// sendBounds returns the bounds of when a sidecar sent an attempt: at the latest when its first byte arrived,
// at the earliest the minimum network delay before, or when the network was last open if it was blocked.
func (c *checker) sendBounds(attempt *backend.Entry, sidecar int) (earliest, latest Micros) {
	zone := c.Sidecars[sidecar].Zone
	earliest, latest = attempt.First-c.backendsByName[attempt.Backend].Delays[zone]-c.maxDelaySpread(), attempt.First
	for _, block := range c.Blocks {
		if block.Backend == attempt.Backend && block.From == zone && attempt.First >= block.Stretch.From && attempt.First <= block.Stretch.To+clock.Second {
			earliest = min(earliest, block.Stretch.From)
		}
	}
	return earliest, latest
}

// maxDelaySpread returns an upper bound of the random part of the network delay.
func (c *checker) maxDelaySpread() Micros { return 10 * c.Scenario.Network.Spread.M() }

// explainedByOutage reports whether a planned pause, a kill or an exit of the sidecar explains a missing or
// late answer, or whether no process of the sidecar was ready throughout the request.
func (c *checker) explainedByOutage(request *clients.Try) bool {
	sidecar := c.Sidecars[request.Sidecar]
	from, to := request.Due, request.Ended
	for _, pause := range sidecar.Pauses {
		if pause[0] <= to && (pause[1] < 0 || pause[1]+clock.Second/5 >= from) {
			return true
		}
	}
	for _, process := range sidecar.Processes {
		// A kill is recorded a little after the connections broke, hence the half second. A process that was
		// asked to end has to answer the requests that it accepted until it has ended, even if it is killed at
		// last.
		if process.Killed && process.StopRequested < 0 && process.End >= from && process.End <= to+clock.Second/2 || process.StopRequested >= 0 && process.End >= 0 && process.End <= to && request.Sent >= process.End {
			return true
		}
	}
	return !slices.ContainsFunc(sidecar.Processes, func(p sidecars.Process) bool { return p.Ready >= 0 && p.Ready <= from && (p.End < 0 || p.End >= from) })
}

// Tolerances of the rules.
const (
	sendAfterDisconnect = 100 * clock.Milli // after a client has disconnected, attempts may still begin for it for this long
	deadlineSlack       = 150 * clock.Milli // the time given to a server may exceed what the client has left by this
	maxToleratedPause   = 200 * clock.Milli // a sidecar paused for 0.15 s must keep all rules; the rest allows for the accuracy of the pauses
)
