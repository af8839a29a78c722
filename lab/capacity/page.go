package capacity

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// Difference is the first line in which a table on the page differs from the computed table.
type Difference struct {
	Table          string
	Line           int
	Page, Computed string
}

// String returns the first cell that differs, with its column, or the whole line if the rows differ in shape.
func (d Difference) String() string {
	column, onPage, computed := "", strings.Split(d.Page, " |"), strings.Split(d.Computed, " |")
	for i := range min(len(onPage), len(computed)) {
		if len(onPage) > 2 && len(onPage) == len(computed) && onPage[i] != computed[i] {
			column, onPage, computed = fmt.Sprintf(", column %d", i+1), onPage[i:i+1], computed[i:i+1]
			break
		}
	}
	if column == "" {
		onPage, computed = []string{d.Page}, []string{d.Computed}
	}
	return fmt.Sprintf("%d: table %s differs%s: the page has %q, worked out is %q", d.Line, d.Table, column, strings.Trim(onPage[0], "| "), strings.Trim(computed[0], "| "))
}

var (
	beginMarker = regexp.MustCompile(`^<!-- capacity: ([a-z.]+) -->$`)
	endMarker   = regexp.MustCompile(`^<!-- /capacity: ([a-z.]+) -->$`)
)

// tablePosition is the position of a table on the page: the lines between its two markers.
type tablePosition struct {
	name     string
	from, to int // indexes of the marker lines, from 0
}

// findTables finds the tables on the page. An unpaired, unknown or repeated marker, and a table without markers, are errors,
// because such a table would no longer be checked.
func findTables(file string, lines []string, tables map[string]string) (all []tablePosition, err error) {
	open := -1
	for i, line := range lines {
		line = strings.TrimRight(line, "\r")
		if match := beginMarker.FindStringSubmatch(line); match != nil {
			switch {
			case open >= 0:
				return nil, fmt.Errorf("%s:%d: %s: begins before the end of %s", file, i+1, match[1], all[open].name)
			case tables[match[1]] == "":
				return nil, fmt.Errorf("%s:%d: %s: no such table", file, i+1, match[1])
			case slices.ContainsFunc(all, func(position tablePosition) bool { return position.name == match[1] }):
				return nil, fmt.Errorf("%s:%d: %s: appears twice", file, i+1, match[1])
			}
			all, open = append(all, tablePosition{match[1], i, -1}), len(all)
		} else if match := endMarker.FindStringSubmatch(line); match != nil {
			if open < 0 || all[open].name != match[1] {
				return nil, fmt.Errorf("%s:%d: %s: has an end marker without a begin marker", file, i+1, match[1])
			}
			all[open].to, open = i, -1
		} else if strings.Contains(line, "<!-- capacity") || strings.Contains(line, "<!-- /capacity") {
			return nil, fmt.Errorf("%s:%d: %s: is not a valid table marker", file, i+1, strings.TrimSpace(line))
		}
	}
	if open >= 0 {
		return nil, fmt.Errorf("%s:%d: %s: has no end marker", file, all[open].from+1, all[open].name)
	}
	for _, name := range Order {
		if !slices.ContainsFunc(all, func(position tablePosition) bool { return position.name == name }) {
			return nil, fmt.Errorf("%s:%d: %s: has no place on the page", file, len(lines), name)
		}
	}
	return all, nil
}

// Check compares the tables on a page with the computed ones and returns the first difference of each table. Text outside
// of the tables is ignored.
func Check(file, page string, tables map[string]string) (differences []Difference, err error) {
	lines := strings.Split(page, "\n")
	all, err := findTables(file, lines, tables)
	if err != nil {
		return nil, err
	}
	for _, position := range all {
		pageLines, computedLines := lines[position.from+1:position.to], tableLines(tables[position.name])
		for i := range max(len(pageLines), len(computedLines)) {
			if onPage, computed := lineAt(pageLines, i), lineAt(computedLines, i); onPage != computed {
				differences = append(differences, Difference{position.name, position.from + 2 + i, onPage, computed})
				break
			}
		}
	}
	return differences, nil
}

// Write returns the page with its tables replaced by the computed ones.
func Write(file, page string, tables map[string]string) (string, error) {
	lines := strings.Split(page, "\n")
	all, err := findTables(file, lines, tables)
	if err != nil {
		return "", err
	}
	var out []string
	from := 0
	for _, position := range all {
		out = append(append(out, lines[from:position.from+1]...), tableLines(tables[position.name])...)
		from = position.to
	}
	return strings.Join(append(out, lines[from:]...), "\n"), nil
}

// tableLines returns the lines between the markers of a table: the table with an empty line at both ends.
func tableLines(table string) []string {
	return append(append([]string{""}, strings.Split(strings.TrimSuffix(table, "\n"), "\n")...), "")
}

// lineAt returns a line by its index, or an empty string beyond the end.
func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return ""
}
