package capacity

import (
	"math"
	"strconv"
	"strings"
)

// figure prints a number to three figures, thousands apart; as it is rounded in decimal from its exact value, the same
// number is the same text everywhere.
func figure(x float64) string {
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

// exact prints a number that is no measurement: whole, or to six figures.
func exact(x float64) string {
	if x == math.Trunc(x) && math.Abs(x) < 1e15 {
		text := strconv.FormatFloat(x, 'f', 0, 64)
		for i := len(text) - 3; i > 0 && text[i-1] != '-'; i -= 3 {
			text = text[:i] + "," + text[i:]
		}
		return text
	}
	return strconv.FormatFloat(x, 'g', 6, 64)
}

// String is value and error; † marks what lies beyond the sizes measured, "at least" a sum of which parts are missing.
func (x Estimate) String() string {
	if !x.Known {
		return notMeasured
	}
	text := figure(x.Value) + " ± " + figureOfError(x.Error)
	if !x.Whole() {
		text = "at least " + text
	}
	if x.beyond() {
		text += " †" + times(x.Beyond())
	}
	return text
}

// within is the factor up to which a size counts as measured: sizes are no round numbers.
const within = 1.0001

func (x Estimate) beyond() bool { return x.Beyond() > within }

// figureOfError prints an error to two figures.
func figureOfError(x float64) string {
	if x == 0 {
		return "0"
	}
	rounded, _ := strconv.ParseFloat(strconv.FormatFloat(x, 'e', 1, 64), 64)
	return figure(rounded)
}

// times prints a factor, to two figures.
func times(x float64) string { return "×" + figureOfError(x) }

const notMeasured = "*not measured*"

// table is one of Markdown's.
func table(head []string, rows [][]string) string {
	var b strings.Builder
	line := func(cells []string) {
		b.WriteString("|")
		for _, c := range cells {
			if c == "" {
				b.WriteString(" |")
				continue
			}
			b.WriteString(" " + strings.ReplaceAll(c, "|", "\\|") + " |")
		}
		b.WriteString("\n")
	}
	line(head)
	b.WriteString(strings.Repeat("| --- ", len(head)) + "|\n")
	for _, r := range rows {
		line(r)
	}
	return b.String()
}
