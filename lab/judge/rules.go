package judge

// rules.go: a function for each rule, over one request or one backend.

import (
	"slices"

	"ledgespread/lab/backend"
	"ledgespread/lab/clients"
	"ledgespread/lab/clock"
	"ledgespread/lab/list"
	"ledgespread/lab/scenario"
	"ledgespread/lab/sidecars"
)

// oneAnswer: rule 1.
func (c *court) oneAnswer(t *clients.Try) {
	slack := c.Scenario.Rules.Slack.M()
	switch t.How {
	case clients.Foreign:
		c.breaks(1, t.ID, "", t.Ended, -1, "answered with what no server made for it: %s", t.Why)
	case clients.Refused:
		c.breaks(1, t.ID, "", t.Ended, -1, "a visit that is one was refused as none: %s", t.Why)
	case clients.Lost:
		if !c.excused(t) {
			limit := Micros(-1)
			if t.Ended >= t.Until {
				limit = t.Until
			}
			c.breaks(1, t.ID, "", t.Ended, limit, "no final answer: %s", t.Why)
		}
	case clients.Delivered, clients.Bounced, clients.Errored:
		if t.Ended > t.Until+slack && !c.excused(t) {
			c.breaks(1, t.ID, "", t.Ended, t.Until, "%s %d µs past the client timeout", t.How, t.Ended-t.Until)
		}
	case clients.Left:
		for _, e := range c.byID[t.ID] {
			if earliest, _ := c.sent(e, t.Sidecar); earliest > t.Ended+afterLeft {
				c.breaks(1, t.ID, e.Backend, e.First, t.Ended+afterLeft, "begun %d µs after its client left", e.First-t.Ended)
			}
		}
		return
	default:
		return
	}
	if t.How == clients.Lost {
		return
	}
	for _, e := range c.byID[t.ID] {
		if earliest, _ := c.sent(e, t.Sidecar); earliest > t.Ended+slack {
			c.breaks(1, t.ID, e.Backend, e.First, t.Ended, "sent on %d µs after its final answer (%s)", e.First-t.Ended, t.How)
		}
	}
}

// deadlinesKept: a server is told no more time than the client has left.
func (c *court) deadlinesKept(t *clients.Try) {
	for _, e := range c.byID[t.ID] {
		if e.Patience <= 0 || c.heldUp(t, e.First) {
			continue
		}
		earliest, _ := c.sent(e, t.Sidecar)
		left := max(t.Until-earliest, 0) // an attempt that begins later is the matter of rule 1
		if beyond := e.Patience - left - deadlineSlack; beyond > 0 {
			c.breaks(5, t.ID, e.Backend, e.First, e.First-beyond, "told its server to work for %d µs longer than its client waits", e.Patience-left)
		}
	}
}

// heldUp tells whether the plan had the sidecar stand still before then, for longer than the terms have it bear.
func (c *court) heldUp(t *clients.Try, until Micros) bool {
	return slices.ContainsFunc(c.Sidecars[t.Sidecar].Stills, func(still [2]Micros) bool {
		ended := still[1]
		if ended < 0 {
			ended = c.Ended
		}
		return ended-still[0] > mostHeldUp && still[0] <= until && ended >= t.Due
	})
}

// mayHaveRun: what a backend was given whole and did not itself turn away.
func mayHaveRun(e *backend.Entry) bool { return e.Fate != backend.TurnedAway }

// noEffectTwice: rule 2.
func (c *court) noEffectTwice(t *clients.Try) {
	p := c.Scenario.Prefixes[c.Plan.Visits[t.Visit].Prefix]
	if p.Effect == "read_like" {
		return
	}
	of, slack := c.byID[t.ID], c.Scenario.Rules.Slack.M()
	ran := 0
	var first *backend.Entry // that may have run
	for i, e := range of {
		if p.Effect == "mutating" && e.Ran() {
			if ran++; ran == 2 {
				c.breaks(2, t.ID, e.Backend, e.Began, -1, "a mutating visit ran a second time")
			}
		}
		for _, before := range of[:i] {
			out := before.Ended < 0 || before.Ended > e.First
			if !mayHaveRun(before) && !out {
				continue // proven unrun by then
			}
			if p.Effect == "mutating" {
				c.breaks(2, t.ID, e.Backend, e.First, -1, "a mutating visit was sent again, and the fetch at %s may have run", before.Backend)
				break
			}
			if c.group(p, e) != c.group(p, before) && mayHaveRun(before) {
				c.breaks(2, t.ID, e.Backend, e.First, -1, "a tagged visit that may have run at %s left its group", before.Backend)
				break
			}
		}
		if first != nil && p.Effect == "tagged" {
			if earliest, _ := c.sent(e, t.Sidecar); earliest >= first.First+p.Memory.M()+slack {
				c.breaks(2, t.ID, e.Backend, e.First, first.First+p.Memory.M(), "a tagged visit was sent again %d µs after it may have run at %s, beyond its window",
					e.First-first.First, first.Backend)
			}
		}
		if first == nil && mayHaveRun(e) {
			first = e
		}
	}
	if t.How != clients.Bounced {
		return
	}
	for _, e := range of {
		if e.First >= t.Ended || !mayHaveRun(e) && e.Ended <= t.Ended {
			continue
		}
		harmless := p.Effect == "tagged" && p.Group == "all" && t.Ended < e.First+p.Memory.M()+slack
		if !harmless {
			c.breaks(2, t.ID, e.Backend, t.Ended, -1, "bounced, which says that a retry is harmless, but it may have run")
			return
		}
	}
}

func (c *court) group(p scenario.Prefix, e *backend.Entry) string {
	b := c.backends[e.Backend]
	return backend.GroupOf(p, b.Zone, b.Cell)
}

// drains works out when each sidecar knew, or counts as told, that a backend wants nothing new.
func (c *court) drains() {
	told := map[string][]list.Told{}
	for _, t := range c.Told {
		if !c.toTheDead(t) {
			told[t.Reader] = append(told[t.Reader], t)
		}
	}
	ask := c.Scenario.Rules.AskEvery.M()
	for _, sidecar := range c.Sidecars {
		for i, ch := range c.Changes {
			if ch.Health == "in_service" {
				continue
			}
			from := Micros(-1)
			for _, t := range told[sidecar.Name] {
				if t.Seq >= ch.Seq && (from < 0 || t.At < from) {
					from = t.At
				}
			}
			reachable := !slices.ContainsFunc(c.Downs, func(d clock.Stretch) bool { return d.From <= ch.Shown+ask && d.To >= ch.Shown })
			if deemed := ch.Shown + ask; reachable && (from < 0 || from > deemed) {
				from = deemed
			}
			if from < 0 {
				continue
			}
			to := c.Ended
			for _, later := range c.Changes[i+1:] {
				if later.Host == ch.Host && later.Health == "in_service" {
					to = later.At
					break
				}
			}
			key := sidecar.Name + " " + ch.Host
			c.drained[key] = append(c.drained[key], drain{from, to})
		}
	}
}

// toTheDead tells whether a list was written to a process that had ended since it asked.
func (c *court) toTheDead(t list.Told) bool {
	for _, sidecar := range c.Sidecars {
		if sidecar.Name == t.Reader && slices.ContainsFunc(sidecar.Lives, func(l sidecars.Life) bool {
			return l.End >= 0 && t.Asked <= l.End && t.At > l.End
		}) {
			return true
		}
	}
	return false
}

// drainsKept: rule 3.
func (c *court) drainsKept(t *clients.Try) {
	r := c.Scenario.Rules
	for _, e := range c.byID[t.ID] {
		earliest, latest := c.sent(e, t.Sidecar)
		for _, d := range c.drained[c.Sidecars[t.Sidecar].Name+" "+e.Backend] {
			if limit := d.from + r.Drain.M() + r.Slack.M(); earliest > limit && latest < d.to {
				c.breaks(3, t.ID, e.Backend, e.First, limit, "sent %d µs after the sidecar was told that the backend takes nothing new", e.First-d.from)
				break
			}
		}
	}
}

// coldNotFelled: rule 4.
func (c *court) coldNotFelled() {
	for _, b := range c.Backends {
		for _, f := range b.Felled {
			born, seq := Micros(-1), 0
			for _, ch := range c.Changes {
				if ch.Host == b.Name && ch.Health == "in_service" && ch.At <= f.At {
					born, seq = ch.Shown, ch.Seq
				}
			}
			informed, last := 0, ""
			for _, id := range f.By {
				last = id
				t := c.tries[id]
				if t == nil || born < 0 {
					continue
				}
				name := c.Sidecars[t.Sidecar].Name
				if slices.ContainsFunc(c.Told, func(told list.Told) bool { return told.Reader == name && told.Seq >= seq && told.At <= f.At }) {
					informed++
				}
			}
			if 3*informed >= 2*len(f.By) {
				c.breaks(4, last, b.Name, f.At, -1, "a cold backend was pushed over: %d of the %d visits in its window came from sidecars that knew of its start",
					informed, len(f.By))
			}
		}
	}
}

// match compares both sides' accounts of a visit.
func (c *court) match(t *clients.Try) {
	if t.How != clients.Delivered {
		return
	}
	if !slices.ContainsFunc(c.byID[t.ID], func(e *backend.Entry) bool { return e.Fate == backend.Delivered || e.Fate == backend.Repeat }) {
		c.v.Unmatched = append(c.v.Unmatched, t.ID+": delivered, by the client's account, but by no backend's")
	}
}
