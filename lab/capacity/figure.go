package capacity

import (
	"math"
	"strconv"
	"strings"
)

// formatFigure formats a number to three significant digits with thousands separators. It rounds the exact value in decimal, so
// that the text is the same on all machines.
func formatFigure(x float64) string {
	if x == 0 {
		return "0"
	}
	if math.IsInf(x, 0) || math.IsNaN(x) {
		return "none"
	}
	rounded, _ := strconv.ParseFloat(strconv.FormatFloat(x, 'e', 2, 64), 64)
	magnitude := int(math.Floor(math.Log10(math.Abs(rounded)) + 1e-9))
	text := strconv.FormatFloat(rounded, 'f', max(0, min(2-magnitude, 9)), 64)
	if strings.Contains(text, ".") {
		text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	whole, part, dotted := strings.Cut(text, ".")
	sign := ""
	if strings.HasPrefix(whole, "-") {
		sign, whole = "-", whole[1:]
	}
	for i := len(whole) - 3; i > 0; i -= 3 {
		whole = whole[:i] + "," + whole[i:]
	}
	if dotted {
		whole += "." + part
	}
	return sign + whole
}

// formatExact formats a number that was not measured: an integer in full, any other number to six significant digits.
func formatExact(x float64) string {
	if x == math.Trunc(x) && math.Abs(x) < 1e15 {
		text := strconv.FormatFloat(x, 'f', 0, 64)
		for i := len(text) - 3; i > 0 && text[i-1] != '-'; i -= 3 {
			text = text[:i] + "," + text[i:]
		}
		return text
	}
	return strconv.FormatFloat(x, 'g', 6, 64)
}

// String returns the value and its error. A † marks an extrapolation, with its factor, and "at least" a sum with missing
// parts.
func (e Estimate) String() string {
	if !e.Known {
		return notMeasured
	}
	text := formatFigure(e.Value) + " ± " + formatError(e.Error)
	if !e.Complete() {
		text = "at least " + text
	}
	if e.extrapolated() {
		text += " †" + formatFactor(e.Extrapolation())
	}
	return text
}

// maxInsideFactor is the maximum extrapolation factor that counts as inside the measured range; it allows for rounding.
const maxInsideFactor = 1.0001

func (e Estimate) extrapolated() bool { return e.Extrapolation() > maxInsideFactor }

// formatError formats a standard error to two significant digits.
func formatError(x float64) string {
	if x == 0 {
		return "0"
	}
	rounded, _ := strconv.ParseFloat(strconv.FormatFloat(x, 'e', 1, 64), 64)
	return formatFigure(rounded)
}

// formatFactor formats a factor to two significant digits.
func formatFactor(x float64) string { return "×" + formatError(x) }

const notMeasured = "*not measured*"

// markdownTable formats a Markdown table.
func markdownTable(head []string, rows [][]string) string {
	var text strings.Builder
	line := func(cells []string) {
		text.WriteString("|")
		for _, cell := range cells {
			if cell == "" {
				text.WriteString(" |")
				continue
			}
			text.WriteString(" " + strings.ReplaceAll(cell, "|", "\\|") + " |")
		}
		text.WriteString("\n")
	}
	line(head)
	text.WriteString(strings.Repeat("| --- ", len(head)) + "|\n")
	for _, row := range rows {
		line(row)
	}
	return text.String()
}
