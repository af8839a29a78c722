package scale

// Printing a report as tables.

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"

	"ledgespread/lab/size"
)

// DefaultRun returns the built-in run file; quick selects the small one.
func DefaultRun(quick bool) (*Run, error) {
	if quick {
		return Parse("lab/size/quick.toml", size.QuickFile)
	}
	return Parse("lab/size/run.toml", size.RunFile)
}

// AllHold reports whether all claims of a report hold.
func AllHold(r *size.Report) bool {
	return !slices.ContainsFunc(r.Claims, func(c size.Claim) bool { return !c.Holds })
}

// formatVariables formats the variables of a point.
func formatVariables(at size.Conditions) string {
	var parts []string
	for _, name := range []string{"sidecars", "servers", "visits_per_s", "tenants"} {
		if x, known := at[name]; known {
			parts = append(parts, fmt.Sprintf("%s %g", strings.ReplaceAll(name, "_per_s", "/s"), x))
		}
	}
	return strings.Join(parts, ", ")
}

// formatSlope formats a slope as a sum of its terms with their errors.
func formatSlope(s size.Slope) string {
	parts := []string{fmt.Sprintf("%.4g ± %.2g", s.Coefficient[size.Const], s.Error[size.Const])}
	for _, name := range s.Of {
		parts = append(parts, fmt.Sprintf("(%.4g ± %.2g) %s", s.Coefficient[name], s.Error[name], name))
	}
	return strings.Join(parts, " + ")
}

// PrintPredictions writes the predictions for the largest sizes.
func PrintPredictions(w io.Writer, report *size.Report) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, slope := range report.Slopes {
		if slope.Largest != nil {
			fmt.Fprintf(table, "  %s\t%.4g ± %.2g %s\tat %s\n", slope.Name, slope.Largest.Predicted, slope.Largest.Error, slope.Unit, formatVariables(slope.Largest.At))
		}
	}
	table.Flush()
}

// Print writes a report as tables.
func Print(w io.Writer, report *size.Report) {
	fmt.Fprintf(w, "%s; commit %s; %s\nbound met: %s\nstubs:\n", report.Run, report.Commit, report.Machine, report.Bound)
	for _, stub := range report.Stubs {
		fmt.Fprintf(w, "  %s\n", stub)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nslope\tunit\tpredicted\tmeasured\toff\tmost\tworst second\tslope through the smaller sizes")
	for _, slope := range report.Slopes {
		predicted, measured, off, most, worst := "-", "-", "-", "-", "-"
		if largest := slope.Largest; largest != nil {
			predicted, measured = fmt.Sprintf("%.4g ± %.2g", largest.Predicted, largest.Error), fmt.Sprintf("%.4g", largest.Measured)
			if largest.Measured != 0 {
				off = fmt.Sprintf("%+.1f%%", 100*(largest.Predicted-largest.Measured)/math.Abs(largest.Measured))
			}
		}
		if n := len(slope.Points); n > 0 && slope.Points[n-1].Most != 0 {
			most = fmt.Sprintf("%.4g", slope.Points[n-1].Most)
		}
		if n := len(slope.Points); n > 0 && slope.Points[n-1].WorstSecond != 0 {
			worst = fmt.Sprintf("%.4g", slope.Points[n-1].WorstSecond)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", slope.Name, slope.Unit, predicted, measured, off, most, worst, formatSlope(slope))
	}
	if len(report.Events) > 0 {
		fmt.Fprintln(table, "\nevent\tunit\tmedian\tlast\tn\tat\twhat")
		for _, event := range report.Events {
			fmt.Fprintf(table, "%s\t%s\t%.3g\t%.3g\t%d\t%s\t%s\n", event.Name, event.Unit, event.Median, event.Last, event.N,
				formatVariables(event.At), event.What)
		}
	}
	fmt.Fprintln(table, "\nhollow beside real\thollow\treal\toff\t")
	for _, agreement := range report.Agree {
		note := ""
		if !agreement.Holds {
			note = "DIFFER: hollow ones are no evidence here"
		}
		fmt.Fprintf(table, "%s\t%.4g\t%.4g\t%+.1f%%\t%s\n", agreement.Name, agreement.Hollow, agreement.Real, 100*(agreement.Hollow-agreement.Real)/math.Max(math.Abs(agreement.Real), 1e-9), note)
	}
	fmt.Fprintln(table, "\nclaim\taim\tmeasured\tby\t")
	for _, claim := range report.Claims {
		result := "HOLDS"
		if !claim.Holds {
			result = "DOES NOT HOLD"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", claim.Claim, claim.Aim, claim.Measured, claim.Account, result)
	}
	table.Flush()
}
