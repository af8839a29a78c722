// Package size defines the deployment size that the design must support, and the format of measurements. It reads the
// operators' requirements and the assumptions made beside them (requirement.toml), and reads, writes and fits measurements
// as functions of the size (Report). It runs no measurement itself.
package size

import (
	_ "embed"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"

	"ledgespread/strict"
)

//go:embed requirement.toml
var requirementFile []byte

// Span is a duration such as "750us", in whole microseconds.
type Span int64

func (s *Span) UnmarshalText(text []byte) error {
	micros, err := strict.ParseMicros(text)
	*s = Span(micros)
	return err
}

// Seconds returns the span in seconds.
func (s Span) Seconds() float64 { return float64(s) / 1e6 }

// Rate is a rate per second, such as "330000/s".
type Rate float64

func (r *Rate) UnmarshalText(text []byte) error {
	x, err := strict.ParsePerSecond(text)
	*r = Rate(x)
	return err
}

// Requirement holds the figures that the operators require.
type Requirement struct {
	Servers        int     `toml:"servers"`
	Services       int     `toml:"services"`
	Calls          Rate    `toml:"calls"` // of all sidecars together
	Depth          int     `toml:"depth"`
	AddedP99       Span    `toml:"added_p99"`
	Regions        int     `toml:"regions"`
	Zones          int     `toml:"zones"`
	ChangesADay    float64 `toml:"changes_a_day"`
	InForceWithin  Span    `toml:"in_force_within"`
	ControlCore    float64 `toml:"control_core"`      // cores per sidecar
	ControlMemory  float64 `toml:"control_memory_mb"` // MB per sidecar
	ControlBytes   Rate    `toml:"control_bytes"`     // bytes/s per sidecar
	ControlMachine int     `toml:"control_machines"`
	FailADay       float64 `toml:"machines_fail_a_day"`
	RestartsADay   float64 `toml:"restarts_a_day"`
	RackEvery      []int   `toml:"rack_every_days"` // minimum, maximum
	ZoneEvery      int     `toml:"zone_every_days"`
	RegionsApart   Span    `toml:"regions_apart"`
}

// Assumptions holds figures that the operators did not give. The file states a reason for each.
type Assumptions struct {
	ServicesCalled  int     `toml:"services_called"`
	ServersInList   int     `toml:"servers_in_list"`
	ServersOwned    float64 `toml:"servers_owned"`
	BusiestTimes    float64 `toml:"busiest_times"`
	Tenants         int     `toml:"tenants"`
	ServerLineBytes int     `toml:"server_line_bytes"`
	ListChanges     float64 `toml:"list_changes_a_replacement"`
	ConfigBytes     int     `toml:"configuration_bytes"`
	BothDirections  bool    `toml:"both_directions"`
	DepthTimes      float64 `toml:"depth_times"`
	Twice           float64 `toml:"twice"`
}

// File is a decoded requirement file.
type File struct {
	Requirement Requirement `toml:"requirement"`
	Assumptions Assumptions `toml:"assumptions"`
	Reasons     []Reason    `toml:"-"` // of the assumptions, in the order of the file
}

// Reason is the reason for an assumption: the comment above it in the file.
type Reason struct{ Name, Value, Why string }

// ReadFile reads a requirement file; "" selects the embedded lab/size/requirement.toml.
func ReadFile(file string) (*File, error) {
	if file == "" {
		return Decode("lab/size/requirement.toml", requirementFile)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Decode(file, text)
}

// Decode decodes and validates a requirement file. Every figure must be present, because a missing one would count as 0,
// and every assumption needs a reason. Errors have the form "file:line: name: reason".
func Decode(file string, text []byte) (*File, error) {
	decoded := &File{}
	if err := strict.Decode(file, text, decoded); err != nil {
		return nil, err
	}
	decoded.Reasons = assumptionReasons(text)
	for _, check := range []func([]byte) *strict.FieldError{decoded.checkComplete, decoded.checkRanges} {
		if invalid := check(text); invalid != nil {
			return nil, invalid.WithPosition(file, text)
		}
	}
	return decoded, nil
}

// boundedFigure is the value of one setting and its permitted range.
type boundedFigure struct {
	table, name      string
	value            float64
	minimum, maximum float64
}

// figures lists all numeric settings with their permitted ranges.
func (f *File) figures() []boundedFigure {
	required, assumed := f.Requirement, f.Assumptions
	const req, assume = "requirement", "assumptions"
	return []boundedFigure{
		{req, "servers", float64(required.Servers), 1, 1e6},
		{req, "services", float64(required.Services), 1, float64(required.Servers)},
		{req, "calls", float64(required.Calls), 1, 1e9},
		{req, "depth", float64(required.Depth), 1, float64(max(required.Services, 1))},
		{req, "added_p99", float64(required.AddedP99), 1, 60e6},
		{req, "regions", float64(required.Regions), 1, 1000},
		{req, "zones", float64(required.Zones), float64(required.Regions), float64(required.Servers)},
		{req, "changes_a_day", required.ChangesADay, 0, 86400},
		{req, "in_force_within", float64(required.InForceWithin), 1000, 86400e6},
		{req, "control_core", required.ControlCore, 1e-6, 64},
		{req, "control_memory_mb", required.ControlMemory, 1, 1e6},
		{req, "control_bytes", float64(required.ControlBytes), 1, 1e9},
		{req, "control_machines", float64(required.ControlMachine), 1, 1e5},
		{req, "machines_fail_a_day", required.FailADay, 0, float64(required.Servers)},
		{req, "restarts_a_day", required.RestartsADay, 0, 86400},
		{req, "zone_every_days", float64(required.ZoneEvery), 1, 36500},
		{req, "regions_apart", float64(required.RegionsApart), 0, 30 * 86400e6},
		{assume, "services_called", float64(assumed.ServicesCalled), 1, float64(required.Services)},
		{assume, "servers_in_list", float64(assumed.ServersInList), 1, float64(required.Servers)},
		{assume, "servers_owned", assumed.ServersOwned, 1, float64(required.Servers)},
		{assume, "busiest_times", assumed.BusiestTimes, 1, float64(required.Servers)},
		{assume, "tenants", float64(assumed.Tenants), 0, 1e6},
		{assume, "server_line_bytes", float64(assumed.ServerLineBytes), 1, 65536},
		{assume, "list_changes_a_replacement", assumed.ListChanges, 0, 100},
		{assume, "configuration_bytes", float64(assumed.ConfigBytes), 1, 1 << 24},
		{assume, "depth_times", assumed.DepthTimes, 1, 1e6},
		{assume, "twice", assumed.Twice, 1, 100},
	}
}

// checkComplete checks that every setting is present and that every assumption has a reason.
func (f *File) checkComplete(text []byte) *strict.FieldError {
	names := map[string][]string{}
	for _, figure := range append(f.figures(), boundedFigure{table: "requirement", name: "rack_every_days"}, boundedFigure{table: "assumptions", name: "both_directions"}) {
		names[figure.table] = append(names[figure.table], figure.name)
	}
	for _, table := range []string{"requirement", "assumptions"} {
		present := tableKeys(text, table)
		for _, name := range names[table] {
			if !slices.Contains(present, name) {
				return &strict.FieldError{Table: table, Name: name, Reason: "is left out"}
			}
		}
	}
	for _, reason := range f.Reasons {
		if reason.Why == "" {
			return &strict.FieldError{Table: "assumptions", Name: reason.Name, Reason: "has no comment above it that says why"}
		}
	}
	return nil
}

// checkRanges checks that each figure is in its range.
func (f *File) checkRanges([]byte) *strict.FieldError {
	for _, figure := range f.figures() {
		if !(figure.value >= figure.minimum && figure.value <= figure.maximum) {
			return &strict.FieldError{Table: figure.table, Name: figure.name, Reason: fmt.Sprintf("%v is not from %v to %v", figure.value, figure.minimum, figure.maximum)}
		}
	}
	if interval := f.Requirement.RackEvery; len(interval) != 2 || interval[0] < 1 || interval[1] < interval[0] {
		return &strict.FieldError{Table: "requirement", Name: "rack_every_days", Reason: fmt.Sprintf("%v is not a minimum and a maximum number of days", interval)}
	}
	return nil
}

var tableHeading = regexp.MustCompile(`^\s*\[([a-z_]+)\]`)

// tableKeys returns the names in a table, in order.
func tableKeys(text []byte, table string) (names []string) {
	eachSetting(text, func(in, name, _, _ string) {
		if in == table {
			names = append(names, name)
		}
	})
	return names
}

// assumptionReasons returns the assumptions with the comments above them.
func assumptionReasons(text []byte) (all []Reason) {
	eachSetting(text, func(in, name, value, above string) {
		if in == "assumptions" {
			all = append(all, Reason{name, value, above})
		}
	})
	return all
}

// eachSetting calls do for every setting, with the comment directly above it.
func eachSetting(text []byte, do func(table, name, value, above string)) {
	table, above := "", []string{}
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if heading := tableHeading.FindStringSubmatch(line); heading != nil {
			table, above = heading[1], nil
		} else if said, ok := strings.CutPrefix(line, "#"); ok {
			above = append(above, strings.TrimSpace(said))
		} else if name, value, ok := strings.Cut(line, "="); ok {
			value, _, _ = strings.Cut(value, "#")
			do(table, strings.TrimSpace(name), strings.Trim(strings.TrimSpace(value), `"`), strings.Join(above, " "))
			above = nil
		} else {
			above = nil
		}
	}
}
