package site

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"ledgespread/brain"
)

// The tables below list the valid values of each setting. A setting that is left out has its zero value: a
// number is 0, a permission is not granted, and load reports are off. Settings that a sidecar can't run
// without are checked when it starts, not here. In names, ".*" stands for each item of a list.

// numericSettings lists the numbers, their lower bounds, and whether they must be integers.
var numericSettings = []struct {
	name    string
	minimum float64
	integer bool
}{
	{"allowed.max_backend_fetches", 1, true}, {"allowed.multiplex", 1, true}, {"allowed.conn_idle_us", 1, false},
	{"allowed.max_retry_after_us", 0, false}, {"allowed.connect_timeout_us", 0, false}, {"allowed.most_held", 0, true},
	{"balancers", 1, true}, {"me", 0, true}, {"my_zone", 0, true}, {"step_us", 1, false}, {"beyond_share_value", 0, false},
	{"obligations.ask_every_us", 1, false}, {"obligations.cold_from", 0, false}, {"obligations.cold_us", 1, false},
	{"obligations.fall_multiple", 0, false}, {"obligations.fall_us", 1, false},
	{"tariffs.connection", 0, false}, {"tariffs.cross_zone", 0, false}, {"tariffs.handshake", 0, false},
	{"path_prefixes.*.target_latency_us", 1, false}, {"path_prefixes.*.client_timeout_us", 1, false},
	{"path_prefixes.*.memory_span_us", 0, false}, {"path_prefixes.*.value", 0, false}, {"path_prefixes.*.late_value", 0, false},
	{"realms.*.quota_per_s", 0, false},
}

// boolSettings lists the settings that are true or false.
var boolSettings = []string{"allowed.cancel", "allowed.may_duplicate", "allowed.peer_messages", "allowed.retry_after"}

// enumSettings lists the settings that take one of a fixed set of strings.
var enumSettings = []struct {
	name   string
	values []string
}{
	{"discovery", []string{"on_request", "pushed"}},
	{"telemetry.how", []string{"inline", "off", "on_probe"}},
	{"telemetry.fields.*", loadFields},
	{"path_prefixes.*.effect", []string{"mutating", "read_like", "tagged"}},
	{"path_prefixes.*.group", []string{"all", "cell", "zone"}},
}

// loadFields are the names of the values that a server's load report may contain.
var loadFields = []string{"concurrent", "depth", "load_share", "mean_ms", "tps", "err_ps"}

// maxLoadFields is the maximum number of values in one load report.
const maxLoadFields = 4

// validateSettings checks the types and ranges of all settings. It returns the name of the first invalid
// setting and an error with the reason, so that a sidecar never starts with a value that nobody intended.
func validateSettings(settings brain.Settings) (name string, err error) {
	// The loops below iterate up to these lengths. Flatten stores a list's length under its name, and a plain
	// number in place of a list would be read as a length.
	for _, name := range []string{"path_prefixes", "realms", "azs", "telemetry.fields"} {
		if n := number(settings, name); n != math.Trunc(n) || n < 0 || n > float64(len(settings)) {
			return name, fmt.Errorf("%s: %v is no list", name, n)
		}
	}
	for _, numeric := range numericSettings {
		for _, name := range expandName(settings, numeric.name) {
			n, ok := settings[name].(float64)
			switch {
			case !ok || math.IsNaN(n) || math.IsInf(n, 0):
				return name, fmt.Errorf("%s: %v is no number", name, settings[name])
			case n < numeric.minimum || numeric.integer && n != math.Trunc(n):
				return name, fmt.Errorf("%s: %v is no %snumber from %v", name, n, map[bool]string{true: "whole "}[numeric.integer], numeric.minimum)
			}
		}
	}
	for _, name := range boolSettings {
		if value, present := settings[name]; present {
			if _, ok := value.(bool); !ok {
				return name, fmt.Errorf("%s: %v is neither true nor false", name, value)
			}
		}
	}
	for _, enum := range enumSettings {
		for _, name := range expandName(settings, enum.name) {
			if text, _ := settings[name].(string); !slices.Contains(enum.values, text) {
				return name, fmt.Errorf("%s: %v is none of %v", name, settings[name], enum.values)
			}
		}
	}
	// Requests refer to their class by name, so each class needs a unique, non-empty name.
	seen := map[string]bool{}
	for i := range int(number(settings, "path_prefixes")) {
		name := "path_prefixes." + strconv.Itoa(i) + ".name"
		if text, _ := settings[name].(string); text == "" || seen[text] {
			return name, fmt.Errorf("%s: %v is no name of its own", name, settings[name])
		} else {
			seen[text] = true
		}
	}
	if n, _ := settings["telemetry.fields"].(float64); n > maxLoadFields {
		return "telemetry.fields", fmt.Errorf("telemetry.fields: %v are more than %d", n, maxLoadFields)
	}
	if zones, present := settings["azs"].(float64); present && settings["my_zone"] != nil && settings["my_zone"].(float64) >= max(zones, 1) {
		return "my_zone", fmt.Errorf("my_zone: %v is no place among %v azs", settings["my_zone"], zones)
	}
	if sidecars, present := settings["balancers"].(float64); present && settings["me"] != nil && settings["me"].(float64) >= sidecars {
		return "me", fmt.Errorf("me: %v is no number among %v balancers", settings["me"], sidecars)
	}
	return "", nil
}

// number returns the number with the given name, or 0 if there is none.
func number(s brain.Settings, name string) float64 { n, _ := s[name].(float64); return n }

// expandName returns the names in s that match a name of the tables above: the name itself, or one name for
// each list item if it contains ".*". Names that s lacks are left out.
func expandName(s brain.Settings, name string) (found []string) {
	list, suffix, isPattern := strings.Cut(name, ".*")
	if !isPattern {
		if _, ok := s[name]; ok {
			found = append(found, name)
		}
		return found
	}
	n, _ := s[list].(float64)
	for i := range int(n) {
		itemName := list + "." + strconv.Itoa(i) + suffix
		if _, ok := s[itemName]; ok {
			found = append(found, itemName)
		}
	}
	return found
}

// LoadFields returns the names of the values in the load reports that servers send with their responses, in order.
// It returns nil if responses carry no load reports.
func (m *Manifest) LoadFields() (names []string) {
	if m.Settings["telemetry.how"] == "inline" {
		for _, name := range expandName(m.Settings, "telemetry.fields.*") {
			names = append(names, m.Settings[name].(string))
		}
	}
	return names
}
