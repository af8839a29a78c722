package capacity

import (
	"fmt"
	"slices"
	"strings"

	"ledgespread/lab/size"
)

// Status is the verdict on a clause of the requirement.
type Status int

const (
	NotImplemented Status = iota // no mechanism implements it, at any size
	Missed                       // a run exceeds the limit by a factor
	RuleBroken                   // a run violated one of the four rules; such a fault has no factor
	Undecided                    // within two standard errors of the limit
	Met                          // a run keeps the limit
	Unmeasured                   // no run measured it
)

func (s Status) String() string {
	return [...]string{"nothing carries it", "missed", "a rule broke", "within the error of its limit", "met in that run", notMeasured}[s]
}

// Verdict is the judgement of one clause and the runs that it is based on.
type Verdict struct {
	Clause        Mechanism
	Status        Status
	Factor        float64 // required value divided by the allowed one; above 1 the clause is missed
	Error         float64
	Extrapolation float64 // extrapolation factor beyond the measured range; 1 or less: inside
	Partial       bool    // some slopes are missing, so that the factor is a lower bound
	Required      string
	Measured      string
	Breaks        string
	Explanation   string // explanation if it was not measured, or only in part
	Runs          []string
}

// decisiveErrors is the number of standard errors by which a figure must differ from its limit to count as met or missed.
const decisiveErrors = 2

// judge judges a factor against 1, given its standard error.
func judge(factor, deviation float64) Status {
	switch {
	case factor-decisiveErrors*deviation > 1:
		return Missed
	case factor+decisiveErrors*deviation > 1:
		return Undecided
	}
	return Met
}

// Verdicts judges all clauses, in the operators' order.
func (p *Page) Verdicts() (all []Verdict) {
	requirement := p.File.Requirement
	second := requirement.InForceWithin.Seconds()
	for _, clause := range p.Mechanisms.Clauses {
		verdict := Verdict{Clause: clause, Status: Unmeasured}
		switch clause.Name {
		case "servers":
			p.stateLargestRun(&verdict)
		case "calls":
			p.judgeRate(&verdict)
		case "depth":
			p.judgeEvent(&verdict, size.DepthCalls, p.File.Assumptions.DepthTimes, "calls at the last hop for one at the top (assumed)")
		case "added_p99":
			p.judgeEvent(&verdict, size.AddedP99, float64(requirement.AddedP99), "µs")
		case "changes":
			p.judgeEvent(&verdict, size.ConfigInForce, second, "s")
		case "list":
			p.judgeEvent(&verdict, size.ListInForce, second, "s")
		case "control_core", "control_memory", "control_bytes":
			p.judgeRoles(&verdict)
		case "control_machines":
			verdict.Required, verdict.Explanation = fmt.Sprintf("%d machines", requirement.ControlMachine), "nobody told what a machine carries, and nothing of ours stands on one"
		default:
			p.judgeFault(&verdict)
		}
		if verdict.Status == Unmeasured && clause.NotImplemented {
			verdict.Status, verdict.Explanation = NotImplemented, ""
		}
		all = append(all, verdict)
	}
	return all
}

// judgeEvent judges the Last value of an event against a limit.
func (p *Page) judgeEvent(verdict *Verdict, name string, limit float64, unit string) {
	verdict.Required = fmt.Sprintf("%s %s", formatExact(limit), unit)
	event, run, ok := p.Evidence.Event(name)
	if !ok {
		verdict.Explanation = "no run has `" + name + "`"
		return
	}
	verdict.Runs, verdict.Measured = []string{run}, fmt.Sprintf("%s at the last, or the most, of %s (%s)", formatQuantity(event.Last, event.Unit), formatExact(float64(event.N)), formatConditions(event.At))
	if verdict.Factor = event.Last / limit; event.Unit == "s" && unit != "s" || event.Unit == "us" && unit != "µs" {
		verdict.Explanation, verdict.Factor = "`"+name+"` is told in "+event.Unit, 0
		return
	}
	verdict.Status = judge(verdict.Factor, 0)
	if full := float64(p.File.Requirement.Servers); event.At["sidecars"] < full && verdict.Status == Met {
		verdict.Explanation = fmt.Sprintf("run with a fleet of %s, not with %s", formatExact(event.At["sidecars"]), formatExact(full))
	}
}

// stateLargestRun states the largest number of sidecars in any run.
func (p *Page) stateLargestRun(verdict *Verdict) {
	full := float64(p.File.Requirement.Servers)
	verdict.Required = fmt.Sprintf("%s sidecars, one a server", formatExact(full))
	most := 0.0
	for _, run := range p.Evidence.Runs {
		here := 0.0
		for _, slope := range run.Report.Slopes {
			if _, high, told := slope.Range("sidecars"); told {
				here = max(here, high)
			}
			if slope.Largest != nil {
				here = max(here, slope.Largest.At["sidecars"])
			}
		}
		for _, event := range run.Report.Events {
			here = max(here, event.At["sidecars"])
		}
		if here > most {
			most = here
		}
		if here >= full {
			verdict.Runs = append(verdict.Runs, run.ID)
		}
	}
	verdict.Measured = fmt.Sprintf("the largest run had %s", formatExact(most))
	verdict.Explanation = fmt.Sprintf("runs of that size play parts of it only, and we assume %d services called, so %d sidecar processes a server today", p.File.Assumptions.ServicesCalled, p.File.Assumptions.ServicesCalled)
}

// judgeRate judges the request rate of the busiest sidecar against the measured maximum of one core.
func (p *Page) judgeRate(verdict *Verdict) {
	need := p.meanRate() * p.File.Assumptions.BusiestTimes
	verdict.Required = fmt.Sprintf("%s visits/s in the mean, %s at the busiest", formatFigure(p.meanRate()), formatFigure(need))
	event, run, ok := p.Evidence.Event(size.MaxRequestRate)
	if !ok {
		verdict.Explanation = "no run has `" + size.MaxRequestRate + "`"
		return
	}
	verdict.Runs, verdict.Measured = []string{run}, fmt.Sprintf("%s visits/s on one core, two servers (%s)", formatFigure(event.Median), event.What)
	verdict.Factor = need / event.Median
	verdict.Status = judge(verdict.Factor, 0)
	verdict.Explanation = "one sidecar alone, not a fleet of that size"
}

// judgeRoles judges a budget by the role whose cost is the largest multiple of it.
func (p *Page) judgeRoles(verdict *Verdict) {
	var clauseBudget budget
	for _, one := range p.budgets() {
		if one.name == verdict.Clause.Name {
			clauseBudget = one
		}
	}
	verdict.Required = fmt.Sprintf("%s %s", formatExact(clauseBudget.limit), clauseBudget.unit)
	var costs, missing []string
	met, any := true, false
	worst := -1.0
	for _, role := range p.sidecarRoles() {
		cost := clauseBudget.estimate(role, p.conditions(role, 1, 1))
		title := mechanismNamed(p.Mechanisms.Roles, role.name).Title
		if !cost.Complete() {
			met = false
			for _, name := range cost.Missing {
				if !slices.Contains(missing, "`"+name+"`") {
					missing = append(missing, "`"+name+"`")
				}
			}
		}
		if !cost.Known {
			continue
		}
		any = true
		costs = append(costs, fmt.Sprintf("%s: %s (%s)", title, cost, formatFactor(cost.Value/clauseBudget.limit)))
		if factor := cost.Value / clauseBudget.limit; factor > worst {
			worst, verdict.Factor, verdict.Error, verdict.Extrapolation, verdict.Partial, verdict.Breaks = factor, factor, cost.Error/clauseBudget.limit, cost.Extrapolation(), !cost.Complete(), title+": "+p.describeBreakingPoints(role, clauseBudget)
		}
		for _, run := range cost.Runs {
			if !slices.Contains(verdict.Runs, run) {
				verdict.Runs = append(verdict.Runs, run)
			}
		}
	}
	slices.Sort(verdict.Runs)
	verdict.Measured = strings.Join(costs, "; ")
	if len(missing) > 0 {
		verdict.Explanation = "no run has " + strings.Join(missing, ", ")
	}
	if !any {
		return
	}
	if verdict.Status = judge(verdict.Factor, verdict.Error); verdict.Status != Missed && !met {
		verdict.Status = Unmeasured
	}
}

// judgeFault collects the events of a fault, whose names start with the name of the clause. The verdict depends on the events
// whose names end with "rules_broken": they count violations, and must be 0.
func (p *Page) judgeFault(verdict *Verdict) {
	verdict.Required = "the four rules kept throughout"
	if verdict.Clause.Name == "zones" {
		verdict.Explanation = "a lost zone and regions apart have lines of their own"
		return
	}
	var texts []string
	simulated, requestRate := true, 0.0
	for _, run := range p.Evidence.Runs {
		for _, event := range run.Report.Events {
			if !strings.HasPrefix(event.Name, verdict.Clause.Name+".") && event.Name != verdict.Clause.Name {
				continue
			}
			if !strings.HasPrefix(event.Account, "simulated") {
				simulated = false
			}
			texts = append(texts, fmt.Sprintf("`%s` %s", event.Name, formatQuantity(event.Last, event.Unit)))
			if !slices.Contains(verdict.Runs, run.ID) {
				verdict.Runs = append(verdict.Runs, run.ID)
			}
			if !strings.HasSuffix(event.Name, "rules_broken") {
				continue
			}
			requestRate = max(requestRate, event.At["visits_per_s"])
			if verdict.Status == Unmeasured {
				verdict.Status = Met
			}
			if event.Last > 0 {
				verdict.Status = RuleBroken
			}
		}
	}
	if verdict.Measured = strings.Join(texts, "; "); verdict.Status != Unmeasured {
		verdict.Explanation = fmt.Sprintf("of the rules alone, at %s visits/s a sidecar at the most, not at %s", formatFigure(requestRate), formatFigure(p.meanRate()))
		if simulated {
			verdict.Explanation += ", in simulated time"
		}
		return
	}
	if verdict.Explanation = "no run plays it at this size"; len(texts) > 0 {
		verdict.Explanation = "the runs tell figures, and no judgement of the rules (`" + verdict.Clause.Name + ".rules_broken`)"
	}
}

// displayUnit returns a unit as the page writes it.
func displayUnit(unit string) string {
	if unit == "us" {
		return "µs"
	}
	return unit
}

// formatQuantity formats a figure with its unit; the unit "1" is left out.
func formatQuantity(x float64, unit string) string {
	if unit == "1" {
		return formatFigure(x)
	}
	return formatFigure(x) + " " + displayUnit(unit)
}

// formatConditions formats the conditions of a measurement, in the order of size.Variables.
func formatConditions(at size.Conditions) string {
	var texts []string
	for _, name := range size.Variables {
		if x, ok := at[name]; ok {
			texts = append(texts, fmt.Sprintf("%s %s", name, formatExact(x)))
		}
	}
	return strings.Join(texts, ", ")
}

// Ranked returns the clauses that fail, the most severe first: those that no mechanism implements, in the operators' order,
// then the missed ones by decreasing factor. Clauses without measurements are left out.
func Ranked(all []Verdict) (ranked []Verdict) {
	for _, verdict := range all {
		if verdict.Status == NotImplemented || verdict.Status == Missed {
			ranked = append(ranked, verdict)
		}
	}
	slices.SortStableFunc(ranked, func(a, b Verdict) int {
		switch {
		case a.Status != b.Status:
			return int(a.Status) - int(b.Status)
		case a.Factor > b.Factor:
			return -1
		case a.Factor < b.Factor:
			return 1
		}
		return 0
	})
	return ranked
}
