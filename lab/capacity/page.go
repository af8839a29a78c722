package capacity

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// Difference is where a page and the figures differ: the table, the page's line, and both lines.
type Difference struct {
	Table     string
	Line      int
	Page, Due string
}

// String tells of a row of a table the first cell that differs, with its column, else the whole line.
func (d Difference) String() string {
	at, have, due := "", strings.Split(d.Page, " |"), strings.Split(d.Due, " |")
	for i := range min(len(have), len(due)) {
		if len(have) > 2 && len(have) == len(due) && have[i] != due[i] {
			at, have, due = fmt.Sprintf(", column %d", i+1), have[i:i+1], due[i:i+1]
			break
		}
	}
	if at == "" {
		have, due = []string{d.Page}, []string{d.Due}
	}
	return fmt.Sprintf("%d: table %s differs%s: the page has %q, worked out is %q", d.Line, d.Table, at, strings.Trim(have[0], "| "), strings.Trim(due[0], "| "))
}

var (
	opens  = regexp.MustCompile(`^<!-- capacity: ([a-z.]+) -->$`)
	closes = regexp.MustCompile(`^<!-- /capacity: ([a-z.]+) -->$`)
)

// place of a table on a page: the lines between its marks.
type part struct {
	name     string
	from, to int // lines of the marks, from 0
}

// parts finds the tables' places. A mark that is alone, unknown or twice there is an error: a table that no longer has its
// place would go unseen.
func parts(file string, lines []string, tables map[string]string) (all []part, err error) {
	open := -1
	for i, line := range lines {
		line = strings.TrimRight(line, "\r")
		if m := opens.FindStringSubmatch(line); m != nil {
			switch {
			case open >= 0:
				return nil, fmt.Errorf("%s:%d: %s: begins inside of %s", file, i+1, m[1], all[open].name)
			case tables[m[1]] == "":
				return nil, fmt.Errorf("%s:%d: %s: no such table", file, i+1, m[1])
			case slices.ContainsFunc(all, func(p part) bool { return p.name == m[1] }):
				return nil, fmt.Errorf("%s:%d: %s: is there twice", file, i+1, m[1])
			}
			all, open = append(all, part{m[1], i, -1}), len(all)
		} else if m := closes.FindStringSubmatch(line); m != nil {
			if open < 0 || all[open].name != m[1] {
				return nil, fmt.Errorf("%s:%d: %s: ends, and did not begin", file, i+1, m[1])
			}
			all[open].to, open = i, -1
		} else if strings.Contains(line, "<!-- capacity") || strings.Contains(line, "<!-- /capacity") {
			return nil, fmt.Errorf("%s:%d: %s: is no mark of a table", file, i+1, strings.TrimSpace(line))
		}
	}
	if open >= 0 {
		return nil, fmt.Errorf("%s:%d: %s: has no end", file, all[open].from+1, all[open].name)
	}
	for _, name := range Order {
		if !slices.ContainsFunc(all, func(p part) bool { return p.name == name }) {
			return nil, fmt.Errorf("%s:%d: %s: has no place on the page", file, len(lines), name)
		}
	}
	return all, nil
}

// Check compares the tables on a page with those worked out: the first line that differs of each. The text between them is
// the page's own.
func Check(file, page string, tables map[string]string) (differ []Difference, err error) {
	lines := strings.Split(page, "\n")
	all, err := parts(file, lines, tables)
	if err != nil {
		return nil, err
	}
	for _, p := range all {
		have, due := lines[p.from+1:p.to], inside(tables[p.name])
		for i := range max(len(have), len(due)) {
			if a, b := lineAt(have, i), lineAt(due, i); a != b {
				differ = append(differ, Difference{p.name, p.from + 2 + i, a, b})
				break
			}
		}
	}
	return differ, nil
}

// Write is the page with its tables worked out anew.
func Write(file, page string, tables map[string]string) (string, error) {
	lines := strings.Split(page, "\n")
	all, err := parts(file, lines, tables)
	if err != nil {
		return "", err
	}
	var out []string
	from := 0
	for _, p := range all {
		out = append(append(out, lines[from:p.from+1]...), inside(tables[p.name])...)
		from = p.to
	}
	return strings.Join(append(out, lines[from:]...), "\n"), nil
}

// inside is a table as it stands between its marks, with an empty line at both ends.
func inside(table string) []string {
	return append(append([]string{""}, strings.Split(strings.TrimSuffix(table, "\n"), "\n")...), "")
}

func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return ""
}
