package capacity

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"ledgespread/lab/size"
)

// Tables returns the Markdown text of all tables of the page, by name.
func (p *Page) Tables() map[string]string {
	verdicts := p.Verdicts()
	all := map[string]string{
		"mechanisms":  p.mechanismsTable(),
		"requirement": p.requirementTable(verdicts),
		"ranked":      p.rankedTable(verdicts),
		"broken":      p.brokenTable(verdicts),
		"unmeasured":  p.unmeasuredTable(verdicts),
		"assumptions": p.assumptionsTable(),
		"runs":        p.runsTable(),
		"slopes":      p.slopesTable(),
		"events":      p.eventsTable(),
		"agree":       p.agreeTable(),
		"role.keeper": p.stateLine("keeper") + p.keeperTable(), "role.service": p.stateLine("service") + p.serviceTable(), "role.control": p.stateLine("control") + p.controlTable(),
	}
	for _, role := range p.sidecarRoles() {
		all["role."+role.name] = p.stateLine(role.name) + p.roleTable(role)
	}
	return all
}

// Order is the order of the tables on the page and in print.
var Order = []string{"requirement", "mechanisms", "role.server", "role.busiest", "role.owner", "role.ledger", "role.keeper", "role.service", "role.control",
	"ranked", "broken", "unmeasured", "assumptions", "runs", "slopes", "events", "agree"}

// stateLine returns the line above a role's table that describes the state it holds.
func (p *Page) stateLine(name string) string {
	return "State: " + mechanismNamed(p.Mechanisms.Roles, name).State + ".\n\n"
}

// formattedFactor formats the factor by which a clause is missed or met.
func (v Verdict) formattedFactor() string {
	part := ""
	if v.Partial {
		part = "at least "
	}
	switch {
	case v.Status == NotImplemented:
		return "none"
	case v.Factor == 0:
		return ""
	}
	text := part + formatFigure(v.Factor)
	if v.Error > 0 {
		text += " ± " + formatError(v.Error)
	}
	if v.Extrapolation > maxInsideFactor {
		text += " †" + formatFactor(v.Extrapolation)
	}
	return text
}

// requirementTable lists all clauses with their verdicts.
func (p *Page) requirementTable(all []Verdict) string {
	var rows [][]string
	for _, verdict := range all {
		standing := verdict.Status.String()
		if verdict.Explanation != "" {
			standing += ": " + verdict.Explanation
		}
		rows = append(rows, []string{verdict.Clause.Words, verdict.Clause.ImplementedBy, verdict.Required, verdict.Measured, verdict.formattedFactor(), standing, strings.Join(verdict.Runs, ", ")})
	}
	return markdownTable([]string{"the operators' words", "carried by", "asked", "measured, or worked out", "asked over allowed", "stands", "run"}, rows)
}

// mechanismsTable lists what implements each kind of control traffic.
func (p *Page) mechanismsTable() string {
	var rows [][]string
	for _, k := range p.Mechanisms.Kinds {
		rows = append(rows, []string{k.Title, "`" + k.Name + ".*`", k.ImplementedBy})
	}
	return markdownTable([]string{"what is told", "slopes", "carried by"}, rows)
}

func (p *Page) rankedTable(all []Verdict) string {
	var rows [][]string
	for i, verdict := range Ranked(all) {
		breaks := verdict.Breaks
		if verdict.Status == NotImplemented {
			breaks = "at any size"
		}
		rows = append(rows, []string{fmt.Sprint(i + 1), verdict.Clause.Words, verdict.formattedFactor(), verdict.Required, verdict.Measured, breaks, verdict.Clause.Proposal, strings.Join(verdict.Runs, ", ")})
	}
	if len(rows) == 0 {
		return "Nothing that was measured is missed.\n"
	}
	return markdownTable([]string{"rank", "what breaks", "factor", "asked", "measured, or worked out", "breaks at", "what would carry it", "run"}, rows)
}

func (p *Page) brokenTable(all []Verdict) string {
	var rows [][]string
	for _, verdict := range all {
		if verdict.Status == RuleBroken {
			rows = append(rows, []string{verdict.Clause.Words, verdict.Measured, strings.Join(verdict.Runs, ", ")})
		}
	}
	if len(rows) == 0 {
		return "No run of those below tells of a broken rule.\n"
	}
	return markdownTable([]string{"what was played", "measured", "run"}, rows)
}

func (p *Page) unmeasuredTable(all []Verdict) string {
	var rows [][]string
	for _, verdict := range all {
		if verdict.Status == Unmeasured {
			rows = append(rows, []string{verdict.Clause.Words, verdict.Explanation, verdict.Measured, strings.Join(verdict.Runs, ", ")})
		}
	}
	if len(rows) == 0 {
		return "Every line of the requirement was measured.\n"
	}
	return markdownTable([]string{"the operators' words", "why it has no verdict", "what was measured of it", "run"}, rows)
}

func (p *Page) assumptionsTable() string {
	var rows [][]string
	for _, r := range p.File.Reasons {
		rows = append(rows, []string{"`" + r.Name + "`", r.Value, r.Why})
	}
	return markdownTable([]string{"name", "value", "why"}, rows)
}

func (p *Page) runsTable() string {
	var rows [][]string
	for _, run := range p.Evidence.Runs {
		report := run.Report
		holds, held := len(report.Claims), 0
		for _, claim := range report.Claims {
			if claim.Holds {
				held++
			}
		}
		claims := ""
		if holds > 0 {
			claims = fmt.Sprintf("%d of %d hold", held, holds)
		}
		rows = append(rows, []string{run.ID, "`" + run.File + "`", report.Run, report.Date, report.Commit, report.Machine, report.Bound, strings.Join(report.Stubs, "; "), claims})
	}
	return markdownTable([]string{"run", "file", "what was run", "day", "code", "machine", "met its bound", "what was stubbed", "claims"}, rows)
}

func (p *Page) slopesTable() string {
	var rows [][]string
	for _, run := range p.Evidence.Runs {
		for _, slope := range run.Report.Slopes {
			var terms, ranges []string
			for _, name := range append([]string{size.Const}, slope.Of...) {
				term := fmt.Sprintf("%s ± %s", formatFigure(slope.Coefficient[name]), formatError(slope.Error[name]))
				if name != size.Const {
					term = "(" + term + ") × " + name
				}
				terms = append(terms, term)
			}
			for _, variable := range size.Variables {
				if low, high, told := slope.Range(variable); told {
					ranges = append(ranges, fmt.Sprintf("%s %s to %s", variable, formatExact(low), formatExact(high)))
				}
			}
			predicted := ""
			if largest := slope.Largest; largest != nil {
				predicted = fmt.Sprintf("%s: predicted %s ± %s, measured %s", formatConditions(largest.At), formatFigure(largest.Predicted), formatError(largest.Error), formatFigure(largest.Measured))
			}
			widestPoint := widest(slope.Points)
			most := fmt.Sprintf("%s: mean %s", formatConditions(widestPoint.At), formatFigure(widestPoint.Mean))
			for _, extra := range []struct {
				name  string
				value float64
			}{{"most loaded", widestPoint.Most}, {"worst second", widestPoint.WorstSecond}, {"real ones", widestPoint.Real}} {
				if extra.value != 0 {
					most += fmt.Sprintf(", %s %s", extra.name, formatFigure(extra.value))
				}
			}
			used := run.ID
			if _, id, _ := p.Evidence.Slope(slope.Name); id != run.ID {
				used += ", not used: " + id + " has it"
			}
			who := slope.Account
			if slope.Source != "" {
				who += " (" + slope.Source + ")"
			}
			rows = append(rows, []string{"`" + slope.Name + "`", displayUnit(slope.Unit), slope.What, strings.Join(terms, " + "), strings.Join(ranges, ", "), most, predicted, who, used})
		}
	}
	return markdownTable([]string{"name", "unit", "what", "slope", "measured from, to", "at the widest point", "predicted before the largest size was run", "by whose account", "run"}, rows)
}

// widest returns the point with the most sidecars and, among those, the highest request rate.
func widest(points []size.Point) size.Point {
	return slices.MaxFunc(points, func(a, b size.Point) int {
		return cmp.Or(cmp.Compare(a.At["sidecars"], b.At["sidecars"]), cmp.Compare(a.At["visits_per_s"], b.At["visits_per_s"]))
	})
}

func (p *Page) eventsTable() string {
	var rows [][]string
	for _, run := range p.Evidence.Runs {
		for _, event := range run.Report.Events {
			who := event.Account
			if event.Source != "" {
				who = strings.TrimSpace(who + " (" + event.Source + ")")
			}
			rows = append(rows, []string{"`" + event.Name + "`", event.What, formatConditions(event.At), formatQuantity(event.Median, event.Unit), formatQuantity(event.Last, event.Unit), formatExact(float64(event.N)), who, run.ID})
		}
	}
	return markdownTable([]string{"name", "what", "at", "median", "last or most", "counted", "by whose account", "run"}, rows)
}

func (p *Page) agreeTable() string {
	var rows [][]string
	for _, run := range p.Evidence.Runs {
		for _, agreement := range run.Report.Agree {
			rows = append(rows, []string{"`" + agreement.Name + "`: hollow and real", "within " + formatFactor(agreement.Within)[len("×"):] + " of the real", formatFigure(agreement.Hollow) + " hollow, " + formatFigure(agreement.Real) + " real", yesOrNo(agreement.Holds), run.ID})
		}
		for _, claim := range run.Report.Claims {
			rows = append(rows, []string{claim.Claim, claim.Aim, claim.Measured + inParentheses(claim.Account), yesOrNo(claim.Holds), run.ID})
		}
	}
	if len(rows) == 0 {
		return "No run told what it claims of itself yet: " + notMeasured + ".\n"
	}
	return markdownTable([]string{"claim", "aim", "measured", "holds", "run"}, rows)
}

func yesOrNo(holds bool) string {
	if holds {
		return "yes"
	}
	return "**no**"
}

func inParentheses(by string) string {
	if by == "" {
		return ""
	}
	return " (" + by + ")"
}

// Print returns all tables in order, each under its name, for a terminal.
func (p *Page) Print() string {
	var b strings.Builder
	tables := p.Tables()
	for _, name := range Order {
		b.WriteString("## " + name + "\n\n" + tables[name] + "\n")
	}
	return b.String()
}
