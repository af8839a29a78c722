package capacity

import (
	"fmt"
	"maps"
	"strings"

	"ledgespread/lab/size"
)

// Page holds the input from which the tables are computed.
type Page struct {
	File       *size.File
	Evidence   *Evidence
	Mechanisms *Mechanisms
}

// role is a role that a sidecar can have: its name, its request rate per second and, by kind of control traffic, the prefix
// of its slopes where that is not the kind itself.
type role struct {
	name          string
	requestRate   float64
	slopePrefixes map[string]string
}

// meanRate returns the mean request rate of a sidecar per second.
func (p *Page) meanRate() float64 {
	return float64(p.File.Requirement.Calls) / float64(p.File.Requirement.Servers)
}

// sidecarRoles returns the roles that a sidecar can have.
func (p *Page) sidecarRoles() []role {
	return []role{
		{"server", p.meanRate(), nil},
		{"busiest", p.meanRate() * p.File.Assumptions.BusiestTimes, nil},
		{"owner", p.meanRate(), map[string]string{"peers": size.Owner}},
		{"ledger", p.meanRate(), map[string]string{"tenants": size.Ledger}},
	}
}

// conditions returns the conditions of a role in a fleet of fleet times the required size, at visits times the role's
// request rate.
func (p *Page) conditions(r role, fleet, visits float64) size.Conditions {
	return size.Conditions{"visits_per_s": float64(r.requestRate * visits), "sidecars": float64(float64(p.File.Requirement.Servers) * fleet),
		"servers": float64(float64(p.File.Assumptions.ServersInList) * fleet), "tenants": float64(float64(p.File.Assumptions.Tenants) * fleet),
		"services": float64(p.File.Requirement.Services), "depth": float64(p.File.Requirement.Depth)}
}

// estimateKind estimates one quantity, such as "bytes_in", of one kind of control traffic for a role.
func (p *Page) estimateKind(r role, kind, what string, at size.Conditions) Estimate {
	if prefix, ok := r.slopePrefixes[kind]; ok {
		kind = prefix
	}
	if kind == size.Owner {
		at = p.ownerConditions(kind+"."+what, at)
	}
	return p.Evidence.EstimateAt(kind+"."+what, at)
}

// ownerConditions converts conditions for the slope of a server's owner, the sidecar that rendezvous hashing assigns
// to the server. The slope was measured with a fixed number of servers that all sidecars call, and the cost of an
// owner is proportional to the requests to its own servers. ownerConditions therefore scales the number of sidecars
// so that each of the measured servers receives as many requests as the servers that one sidecar owns.
func (p *Page) ownerConditions(name string, at size.Conditions) size.Conditions {
	slope, _, ok := p.Evidence.Slope(name)
	least, most, told := slope.Range("servers")
	if !ok || !told || least != most {
		return at
	}
	at = maps.Clone(at)
	fleet := at["sidecars"] / float64(p.File.Requirement.Servers) // the number of servers grows with the number of sidecars
	at["sidecars"] *= least / (float64(p.File.Requirement.Servers) * fleet) * p.File.Assumptions.ServersOwned
	at["servers"] = least
	return at
}

// estimateAllKinds returns the sum of a quantity over all kinds of control traffic.
func (p *Page) estimateAllKinds(r role, what string, at size.Conditions) (sum Estimate) {
	for _, kind := range size.Kinds {
		sum = sum.Add(p.estimateKind(r, kind, what, at))
	}
	return sum
}

// estimateBytes estimates the bytes that count toward the budget: both directions or the larger one, as BothDirections says.
func (p *Page) estimateBytes(r role, at size.Conditions) Estimate {
	in, out := p.estimateAllKinds(r, "bytes_in", at), p.estimateAllKinds(r, "bytes_out", at)
	if p.File.Assumptions.BothDirections {
		return in.Add(out)
	}
	if in.Value > out.Value {
		return in
	}
	return out
}

// roleSlope returns the slope name of a role that has slopes of its own, and name for any other role.
func roleSlope(r role, name string) string {
	for _, prefix := range r.slopePrefixes {
		return prefix + "." + map[string]string{size.ControlCPU: "cpu", size.Memory: "memory_mb"}[name]
	}
	return name
}

func (p *Page) estimateCPU(r role, at size.Conditions) Estimate {
	return p.Evidence.EstimateAt(roleSlope(r, size.ControlCPU), at)
}
func (p *Page) estimateMemory(r role, at size.Conditions) Estimate {
	return p.Evidence.EstimateAt(roleSlope(r, size.Memory), at)
}

// budget is a limit on a quantity of a role.
type budget struct {
	name, unit string
	limit      float64
	estimate   func(r role, at size.Conditions) Estimate
}

// budgets returns the limits that the requirement sets for control.
func (p *Page) budgets() []budget {
	r := p.File.Requirement
	return []budget{
		{"control_core", "core", r.ControlCore, p.estimateCPU},
		{"control_memory", "MB", r.ControlMemory, p.estimateMemory},
		{"control_bytes", "bytes/s", float64(r.ControlBytes), p.estimateBytes},
	}
}

// describeBreakingPoints describes the fleet size and the request rate at which a role reaches the limit of a budget.
func (p *Page) describeBreakingPoints(role role, budget budget) string {
	if !budget.estimate(role, p.conditions(role, 1, 1)).Known {
		return notMeasured
	}
	var texts []string
	for _, way := range []struct {
		at   func(factor float64) size.Conditions
		unit string
		full float64
	}{
		{func(factor float64) size.Conditions { return p.conditions(role, factor, 1) }, "sidecars", float64(p.File.Requirement.Servers)},
		{func(factor float64) size.Conditions { return p.conditions(role, 1, factor) }, "visits/s", role.requestRate},
	} {
		factor, none, always := BreakingFactor(func(factor float64) float64 { return budget.estimate(role, way.at(factor)).Value }, budget.limit)
		switch {
		case always:
			texts = append(texts, "at any number of "+way.unit)
		case none:
			texts = append(texts, "not by "+way.unit)
		case budget.estimate(role, way.at(factor)).extrapolated():
			texts = append(texts, formatFigure(factor*way.full)+" "+way.unit+" †")
		default:
			texts = append(texts, formatFigure(factor*way.full)+" "+way.unit)
		}
	}
	return strings.Join(texts, "; ")
}

// sourcePaths returns the source paths that implement something, as Markdown.
func sourcePaths(m Mechanism) string {
	var texts []string
	for _, path := range m.Paths {
		texts = append(texts, "`"+path+"`")
	}
	return strings.Join(texts, ", ")
}

// largerHeading returns the heading of the column for the larger fleet.
func (p *Page) largerHeading() string {
	return "at " + formatError(p.File.Assumptions.Twice) + " times the size"
}

// roleTable formats the cost of a sidecar in a role: messages and bytes by kind, then the quantities with a budget.
func (p *Page) roleTable(role role) string {
	now, twice := p.conditions(role, 1, 1), p.conditions(role, p.File.Assumptions.Twice, 1)
	var rows [][]string
	for _, direction := range []string{"in", "out"} {
		for _, kind := range size.Kinds {
			messageRate, byteRate := p.estimateKind(role, kind, "messages_"+direction, now), p.estimateKind(role, kind, "bytes_"+direction, now)
			mechanism := mechanismNamed(p.Mechanisms.Kinds, kind)
			rows = append(rows, []string{mechanism.Title + ", " + direction, messageRate.String(), byteRate.String(), p.estimateKind(role, kind, "messages_"+direction, twice).String(), p.estimateKind(role, kind, "bytes_"+direction, twice).String(),
				sourcePaths(mechanism), strings.Join(messageRate.Add(byteRate).Runs, ", ")})
		}
		messageRate, byteRate := p.estimateAllKinds(role, "messages_"+direction, now), p.estimateAllKinds(role, "bytes_"+direction, now)
		rows = append(rows, []string{"**all, " + direction + "**", messageRate.String(), byteRate.String(), p.estimateAllKinds(role, "messages_"+direction, twice).String(), p.estimateAllKinds(role, "bytes_"+direction, twice).String(), "", strings.Join(messageRate.Add(byteRate).Runs, ", ")})
	}
	messages := markdownTable([]string{"what is told", "messages/s at the size", "bytes/s at the size", "messages/s " + p.largerHeading(), "bytes/s " + p.largerHeading(), "carried by", "run"}, rows)

	list := func(at size.Conditions) string {
		bytes := float64(p.File.Assumptions.ServerLineBytes) * at["servers"]
		return fmt.Sprintf("%s; %s s of the budget", formatFigure(bytes/1000), formatFigure(bytes/float64(p.File.Requirement.ControlBytes)))
	}
	rows = [][]string{
		{"state: the list of those it calls, KB; one whole answer is so many", list(now), list(twice), "", "", "", "`internal/discovery`", "by assumed bytes a server"},
		{"the same, if one list held all servers", list(p.wholeListConditions(1)), list(p.wholeListConditions(p.File.Assumptions.Twice)), "", "", "", "", "by assumed bytes a server"},
		p.slopeRow("state: the table of members, KB", size.MemberState, now, twice, "`decide/membership`"),
	}
	for _, budget := range p.budgets() {
		title := map[string]string{"control_core": "processor time for control, cores", "control_memory": "memory, MB, control and visits together", "control_bytes": "bytes/s for control, in and out"}[budget.name]
		if budget.name == "control_bytes" && !p.File.Assumptions.BothDirections {
			title = "bytes/s for control, the greater direction"
		}
		nowCost, twiceCost := budget.estimate(role, now), budget.estimate(role, twice)
		part := notMeasured
		if nowCost.Known {
			part = formatFactor(nowCost.Value / budget.limit)
		}
		rows = append(rows, []string{"**" + title + "**", nowCost.String(), twiceCost.String(), formatExact(budget.limit), part, p.describeBreakingPoints(role, budget), "the kinds above", strings.Join(nowCost.Runs, ", ")})
	}
	visit, visitTwice := p.Evidence.EstimateAt(size.RequestCPU, now).Scale(role.requestRate/1e6), p.Evidence.EstimateAt(size.RequestCPU, twice).Scale(role.requestRate/1e6)
	rows = append(rows, []string{fmt.Sprintf("beside it, no control: processor time for %s visits/s, cores", formatFigure(role.requestRate)), visit.String(), visitTwice.String(), "not told", "", "", sourcePaths(mechanismNamed(p.Mechanisms.Clauses, "calls")), strings.Join(visit.Runs, ", ")},
		p.slopeRow("beside it: descriptors", size.Descriptors, now, twice, "`internal/connlimit`, `internal/outbound`"))
	return messages + "\n" + markdownTable([]string{"what it costs", "at the size", p.largerHeading(), "budget", "part of it", "breaks at", "carried by", "run"}, rows)
}

// wholeListConditions returns conditions under which the server list holds all servers.
func (p *Page) wholeListConditions(fleet float64) size.Conditions {
	return size.Conditions{"servers": float64(float64(p.File.Requirement.Servers) * fleet), "sidecars": float64(float64(p.File.Requirement.Servers) * fleet)}
}

// slopeRow formats the table row of one slope without a budget.
func (p *Page) slopeRow(title, slope string, now, twice size.Conditions, carried string) []string {
	x, y := p.Evidence.EstimateAt(slope, now), p.Evidence.EstimateAt(slope, twice)
	return []string{title, x.String(), y.String(), "", "", "", carried, strings.Join(x.Runs, ", ")}
}

// keeperTable formats the cost of a keeper, which is not measured because no program runs one yet.
func (p *Page) keeperTable() string {
	head := []string{"what it costs", "at the size", p.largerHeading(), "carried by", "run"}
	var rows [][]string
	for _, what := range []string{"messages in and out", "bytes in and out", "processor time", "memory"} {
		rows = append(rows, []string{what, notMeasured, notMeasured, "`decide/keepers`, which nothing runs yet", ""})
	}
	return markdownTable(head, rows)
}

// serviceTable formats the load of the sidecars on the discovery service.
func (p *Page) serviceTable() string {
	role := role{name: "service", requestRate: p.meanRate()}
	now, twice := p.conditions(role, 1, 1), p.conditions(role, p.File.Assumptions.Twice, 1)
	head := []string{"what it costs", "at the size", p.largerHeading(), "breaks at", "carried by", "run"}
	requirement := p.File.Requirement
	changes := (requirement.FailADay + requirement.RestartsADay) * p.File.Assumptions.ListChanges
	line := float64(p.File.Assumptions.ServerLineBytes)
	all, more := p.wholeListConditions(1), p.wholeListConditions(p.File.Assumptions.Twice)
	assumed := "by assumed bytes a server"
	rows := [][]string{
		{"state: the list of all servers, KB", formatFigure(line * all["servers"] / 1000), formatFigure(line * more["servers"] / 1000), "", "the platform's", assumed},
		{"changes of the list a day", formatExact(changes), formatExact(changes * p.File.Assumptions.Twice), "", "", "the requirement, and assumed changes a replacement"},
		{"all come back at once and ask for what they call, MB", formatFigure(line * now["servers"] * now["sidecars"] / 1e6), formatFigure(line * twice["servers"] * twice["sidecars"] / 1e6), "", "", assumed},
		{"the same, if one list held all servers, MB", formatFigure(line * all["servers"] * all["sidecars"] / 1e6), formatFigure(line * more["servers"] * more["sidecars"] / 1e6), "", "", assumed},
	}
	for _, quantity := range [][2]string{{"calls a second in, calm", size.ServiceCallsCalm}, {"calls a second in, worst second", size.ServiceCallsWorstSecond}, {"bytes a second out", size.ServiceBytesOut}} {
		row := p.serviceRow(quantity[0], quantity[1], now, twice, 1)
		row[3], row[4] = "not told what it carries", "`internal/discovery` asks"
		rows = append(rows, row)
	}
	rows = append(rows, []string{"processor time, memory", notMeasured, notMeasured, notMeasured, "the platform's", ""})
	return markdownTable(head, rows)
}

// serviceRow formats one quantity of the load on the discovery service, divided among machines: from a slope or, without one,
// from an event that was counted at one size.
func (p *Page) serviceRow(title, name string, now, twice size.Conditions, machines float64) []string {
	if x := p.Evidence.EstimateAt(name, now).Scale(1 / machines); x.Known {
		return []string{title, x.String(), p.Evidence.EstimateAt(name, twice).Scale(1 / machines).String(), "", "", strings.Join(x.Runs, ", ")}
	}
	if e, run, ok := p.Evidence.Event(name); ok {
		return []string{title, fmt.Sprintf("%s, counted at %s", formatFigure(e.Last/machines), formatConditions(e.At)), notMeasured, "", "", run}
	}
	return []string{title, notMeasured, notMeasured, "", "", ""}
}

// controlTable formats the load on the control machines.
func (p *Page) controlTable() string {
	machines := float64(p.File.Requirement.ControlMachine)
	role := role{name: "control", requestRate: p.meanRate()}
	now, twice := p.conditions(role, 1, 1), p.conditions(role, p.File.Assumptions.Twice, 1)
	head := []string{"what it costs", "at the size", p.largerHeading(), "breaks at", "carried by", "run"}
	var rows [][]string
	for _, quantity := range [][2]string{{"the list's service, if it stands on all of them: calls a second, calm", size.ServiceCallsCalm}, {"the same, worst second", size.ServiceCallsWorstSecond}, {"the same, bytes a second out", size.ServiceBytesOut}} {
		row := p.serviceRow(quantity[0], quantity[1], now, twice, machines)
		row[3], row[4] = "not told what a machine carries", "the platform's"
		rows = append(rows, row)
	}
	config := float64(p.File.Requirement.ChangesADay) * float64(p.File.Assumptions.ConfigBytes) * float64(p.File.Requirement.Servers) / 86400 / machines
	rows = append(rows,
		[]string{"changes of configuration, bytes a second out if each went to every sidecar once", formatFigure(config), formatFigure(config * p.File.Assumptions.Twice), "", "nothing (see the ranked list)", "assumed bytes a change"},
		[]string{"keepers", notMeasured, notMeasured, notMeasured, "`decide/keepers`, which nothing runs yet", ""},
		[]string{"processor time, memory", notMeasured, notMeasured, notMeasured, "", ""})
	return markdownTable(head, rows)
}
