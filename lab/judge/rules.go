package judge

// This file has the check of each rule, over one request or one server.

import (
	"slices"

	"ledgespread/lab/backend"
	"ledgespread/lab/clients"
	"ledgespread/lab/clock"
	"ledgespread/lab/list"
	"ledgespread/lab/scenario"
	"ledgespread/lab/sidecars"
)

// checkOneAnswer checks rule 1: a request gets exactly one final answer within the client timeout plus the
// slack, and no attempt is sent after the answer or after the client has disconnected.
func (c *checker) checkOneAnswer(request *clients.Try) {
	slack := c.Scenario.Rules.Slack.M()
	switch request.Outcome {
	case clients.WrongAnswer:
		c.addViolation(1, request.ID, "", request.Ended, -1, "answered with what no server made for it: %s", request.Why)
	case clients.Refused:
		c.addViolation(1, request.ID, "", request.Ended, -1, "a visit that is one was refused as none: %s", request.Why)
	case clients.Lost:
		if !c.explainedByOutage(request) {
			limit := Micros(-1)
			if request.Ended >= request.Deadline {
				limit = request.Deadline
			}
			c.addViolation(1, request.ID, "", request.Ended, limit, "no final answer: %s", request.Why)
		}
	case clients.Delivered, clients.RetryLater, clients.Errored:
		if request.Ended > request.Deadline+slack && !c.explainedByOutage(request) {
			c.addViolation(1, request.ID, "", request.Ended, request.Deadline, "%s %d µs past the client timeout", request.Outcome, request.Ended-request.Deadline)
		}
	case clients.Abandoned:
		for _, attempt := range c.attemptsByID[request.ID] {
			if earliest, _ := c.sendBounds(attempt, request.Sidecar); earliest > request.Ended+sendAfterDisconnect {
				c.addViolation(1, request.ID, attempt.Backend, attempt.First, request.Ended+sendAfterDisconnect, "begun %d µs after its client left", attempt.First-request.Ended)
			}
		}
		return
	default:
		return
	}
	if request.Outcome == clients.Lost {
		return
	}
	for _, attempt := range c.attemptsByID[request.ID] {
		if earliest, _ := c.sendBounds(attempt, request.Sidecar); earliest > request.Ended+slack {
			c.addViolation(1, request.ID, attempt.Backend, attempt.First, request.Ended, "sent on %d µs after its final answer (%s)", attempt.First-request.Ended, request.Outcome)
		}
	}
}

// checkDeadlines checks rule 5: the deadline given to a server is no later than the time until which the client
// waits.
func (c *checker) checkDeadlines(request *clients.Try) {
	for _, attempt := range c.attemptsByID[request.ID] {
		if attempt.TimeLeft <= 0 || c.pausedTooLong(request, attempt.First) {
			continue
		}
		earliest, _ := c.sendBounds(attempt, request.Sidecar)
		left := max(request.Deadline-earliest, 0) // an attempt that begins after the client gave up is left to rule 1
		if beyond := attempt.TimeLeft - left - deadlineSlack; beyond > 0 {
			c.addViolation(5, request.ID, attempt.Backend, attempt.First, attempt.First-beyond, "told its server to work for %d µs longer than its client waits", attempt.TimeLeft-left)
		}
	}
}

// pausedTooLong reports whether the plan paused the sidecar during the request, before until, for longer than
// it has to tolerate.
func (c *checker) pausedTooLong(request *clients.Try, until Micros) bool {
	return slices.ContainsFunc(c.Sidecars[request.Sidecar].Pauses, func(pause [2]Micros) bool {
		ended := pause[1]
		if ended < 0 {
			ended = c.Ended
		}
		return ended-pause[0] > maxToleratedPause && pause[0] <= until && ended >= request.Due
	})
}

// mayHaveRun reports whether an attempt may have taken effect: the server did not reject it.
func mayHaveRun(attempt *backend.Entry) bool { return attempt.Outcome != backend.Rejected }

// checkEffects checks rule 2. A mutating request must not be sent again unless the server rejected the first
// attempt. A tagged one may be repeated within the group of servers that recognise it, and within their memory.
// A request that may have run must not be bounced, unless a repetition by the client is harmless.
func (c *checker) checkEffects(request *clients.Try) {
	prefix := c.Scenario.Prefixes[c.Plan.Visits[request.Visit].Prefix]
	if prefix.Effect == "read_like" {
		return
	}
	attempts, slack := c.attemptsByID[request.ID], c.Scenario.Rules.Slack.M()
	timesRun := 0
	var first *backend.Entry // the first attempt that may have run
	for i, attempt := range attempts {
		if prefix.Effect == "mutating" && attempt.Ran() {
			if timesRun++; timesRun == 2 {
				c.addViolation(2, request.ID, attempt.Backend, attempt.Started, -1, "a mutating visit ran a second time")
			}
		}
		for _, before := range attempts[:i] {
			inFlight := before.Ended < 0 || before.Ended > attempt.First
			if !mayHaveRun(before) && !inFlight {
				continue // rejected before this attempt was sent
			}
			if prefix.Effect == "mutating" {
				c.addViolation(2, request.ID, attempt.Backend, attempt.First, -1, "a mutating visit was sent again, and the fetch at %s may have run", before.Backend)
				break
			}
			if c.group(prefix, attempt) != c.group(prefix, before) && mayHaveRun(before) {
				c.addViolation(2, request.ID, attempt.Backend, attempt.First, -1, "a tagged visit that may have run at %s left its group", before.Backend)
				break
			}
		}
		if first != nil && prefix.Effect == "tagged" {
			if earliest, _ := c.sendBounds(attempt, request.Sidecar); earliest >= first.First+prefix.Memory.M()+slack {
				c.addViolation(2, request.ID, attempt.Backend, attempt.First, first.First+prefix.Memory.M(), "a tagged visit was sent again %d µs after it may have run at %s, beyond its window",
					attempt.First-first.First, first.Backend)
			}
		}
		if first != nil && prefix.Effect == "tagged" && mayHaveRun(attempt) && !c.Scenario.NeedsFaultProxies() { // a proxy may have held it
			if limit := first.First + prefix.Memory.M() + c.lastByteSlack(); attempt.Arrived > limit {
				c.addViolation(2, request.ID, attempt.Backend, attempt.Arrived, limit, "a tagged visit was completed %d µs after it may have run at %s, beyond its window",
					attempt.Arrived-first.First, first.Backend)
			}
		}
		if first == nil && mayHaveRun(attempt) {
			first = attempt
		}
	}
	if request.Outcome != clients.RetryLater {
		return
	}
	for _, attempt := range attempts {
		if attempt.First >= request.Ended || !mayHaveRun(attempt) && attempt.Ended <= request.Ended {
			continue
		}
		harmless := prefix.Effect == "tagged" && prefix.Group == "all" && request.Ended < attempt.First+prefix.Memory.M()+slack
		if !harmless {
			c.addViolation(2, request.ID, attempt.Backend, request.Ended, -1, "bounced, which says that a retry is harmless, but it may have run")
			return
		}
	}
}

// lastByteSlack returns how long after the end of a window the last byte of a repeat may arrive: the rules' slack, the
// pause that a sidecar has to tolerate, and the time that a backend takes to read what its machine holds.
func (c *checker) lastByteSlack() Micros {
	slowest := 0
	for _, fault := range c.Scenario.Faults {
		if fault.What == "slow_reads" && (slowest == 0 || fault.Bytes < slowest) {
			slowest = fault.Bytes
		}
	}
	return c.Scenario.Rules.Slack.M() + maxToleratedPause + backend.ReadDelay(slowest)
}

// group returns the group of servers that recognises a repetition of an attempt.
func (c *checker) group(prefix scenario.Prefix, attempt *backend.Entry) string {
	server := c.backendsByName[attempt.Backend]
	return backend.GroupOf(prefix, server.Zone, server.Cell)
}

// collectDrains collects for each sidecar when it knew that a server accepts no new requests. A sidecar that
// could reach discovery has to know of a change by the protocol's deadline, and one polling interval after it was published.
func (c *checker) collectDrains() {
	deliveries := map[string][]list.Delivery{}
	for _, delivery := range c.ListDeliveries {
		if !c.sentToEndedProcess(delivery) {
			deliveries[delivery.Reader] = append(deliveries[delivery.Reader], delivery)
		}
	}
	pollInterval := c.Scenario.Rules.AskEvery.M()
	for _, sidecar := range c.Sidecars {
		for i, change := range c.ListChanges {
			if change.Health == "in_service" {
				continue
			}
			from := Micros(-1)
			for _, delivery := range deliveries[sidecar.Name] {
				if delivery.Seq >= change.Seq && (from < 0 || delivery.At < from) {
					from = delivery.At
				}
			}
			reachable := !slices.ContainsFunc(c.DiscoveryOutages, func(outage clock.Interval) bool {
				return outage.From <= change.Published+pollInterval && outage.To >= change.Published
			})
			mustKnowBy := c.deliveryDeadline(change.Published)
			if reachable {
				mustKnowBy = min(mustKnowBy, change.Published+pollInterval)
			}
			if from < 0 || from > mustKnowBy {
				from = mustKnowBy
			}
			to := c.Ended
			for _, later := range c.ListChanges[i+1:] {
				if later.Host == change.Host && later.Health == "in_service" {
					to = later.At
					break
				}
			}
			key := sidecar.Name + " " + change.Host
			c.knownDrains[key] = append(c.knownDrains[key], drain{from, to})
		}
	}
}

// deliveryTimeout is by when a sidecar has to know a change, whatever became of its calls: after it was published or,
// if discovery was disturbed meanwhile, after that.
const deliveryTimeout = 6 * clock.Second

// deliveryDeadline returns when every sidecar has to know a change.
func (c *checker) deliveryDeadline(published Micros) Micros {
	from := published
	for moved := true; moved; {
		moved = false
		for _, disturbance := range c.DiscoveryDisturbances {
			if disturbance.From <= from+deliveryTimeout && disturbance.To > from {
				from, moved = disturbance.To, true
			}
		}
	}
	if from > c.Ended {
		return c.Ended
	}
	return from + deliveryTimeout
}

// sentToEndedProcess reports whether a server list was sent to a process that had ended since its call.
func (c *checker) sentToEndedProcess(delivery list.Delivery) bool {
	for _, sidecar := range c.Sidecars {
		if sidecar.Name == delivery.Reader && slices.ContainsFunc(sidecar.Processes, func(process sidecars.Process) bool {
			return process.End >= 0 && delivery.CallStarted <= process.End && delivery.At > process.End
		}) {
			return true
		}
	}
	return false
}

// checkDrains checks rule 3: no attempt is sent to a server that the sidecar knows to drain, except within the
// grace time.
func (c *checker) checkDrains(request *clients.Try) {
	rules := c.Scenario.Rules
	for _, attempt := range c.attemptsByID[request.ID] {
		earliest, latest := c.sendBounds(attempt, request.Sidecar)
		for _, drain := range c.knownDrains[c.Sidecars[request.Sidecar].Name+" "+attempt.Backend] {
			if limit := drain.from + rules.Drain.M() + rules.Slack.M(); earliest > limit && latest < drain.to {
				c.addViolation(3, request.ID, attempt.Backend, attempt.First, limit, "sent %d µs after the sidecar was told that the backend takes nothing new", attempt.First-drain.from)
				break
			}
		}
	}
}

// checkColdServers checks rule 4. It is broken if a cold server was overloaded and at least two thirds of the
// requests that overloaded it came from sidecars that knew of its start.
func (c *checker) checkColdServers() {
	for _, server := range c.Backends {
		for _, overload := range server.Overloads {
			startedAt, seq := Micros(-1), 0
			for _, change := range c.ListChanges {
				if change.Host == server.Name && change.Health == "in_service" && change.At <= overload.At {
					startedAt, seq = change.Published, change.Seq
				}
			}
			informed, lastID := 0, ""
			for _, id := range overload.By {
				lastID = id
				request := c.requestsByID[id]
				if request == nil || startedAt < 0 {
					continue
				}
				name := c.Sidecars[request.Sidecar].Name
				if slices.ContainsFunc(c.ListDeliveries, func(d list.Delivery) bool { return d.Reader == name && d.Seq >= seq && d.At <= overload.At }) {
					informed++
				}
			}
			if 3*informed >= 2*len(overload.By) {
				c.addViolation(4, lastID, server.Name, overload.At, -1, "a cold backend was pushed over: %d of the %d visits in its window came from sidecars that knew of its start",
					informed, len(overload.By))
			}
		}
	}
}

// checkDelivered records a request that its client counts as delivered and no server does.
func (c *checker) checkDelivered(request *clients.Try) {
	if request.Outcome != clients.Delivered {
		return
	}
	if !slices.ContainsFunc(c.attemptsByID[request.ID], func(e *backend.Entry) bool { return e.Outcome == backend.Delivered || e.Outcome == backend.Repeat }) {
		c.verdict.Unmatched = append(c.verdict.Unmatched, request.ID+": delivered, by the client's account, but by no backend's")
	}
}
