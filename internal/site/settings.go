package site

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"ledgespread/brain"
)

// What the settings may hold, where they hold it. What is left out keeps its default: a figure is 0, a permission is
// not given, and nothing is reported; what a sidecar can't do without is missed when it starts.

// figures are numbers from 0 up to a bound; whole ones count something.
var figures = []struct {
	name  string
	from  float64
	whole bool
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

var permissions = []string{"allowed.cancel", "allowed.may_duplicate", "allowed.peer_messages", "allowed.retry_after"}

var words = []struct {
	name string
	may  []string
}{
	{"discovery", []string{"on_request", "pushed"}},
	{"telemetry.how", []string{"inline", "off", "on_probe"}},
	{"telemetry.fields.*", loads},
	{"path_prefixes.*.effect", []string{"mutating", "read_like", "tagged"}},
	{"path_prefixes.*.group", []string{"all", "cell", "zone"}},
}

// loads are the values that a load report may hold.
var loads = []string{"concurrent", "depth", "load_share", "mean_ms", "tps", "err_ps"}

const mostLoads = 4

// refused tells which setting has a value that it can't have, and why in one line. A sidecar must not
// decide by a figure that nobody meant.
func refused(s brain.Settings) (name string, err error) {
	// A bare number where a list belongs would be counted through.
	for _, name := range []string{"path_prefixes", "realms", "azs", "telemetry.fields"} {
		if n := number(s, name); n != math.Trunc(n) || n < 0 || n > float64(len(s)) {
			return name, fmt.Errorf("%s: %v is no list", name, n)
		}
	}
	for _, f := range figures {
		for _, name := range items(s, f.name) {
			n, ok := s[name].(float64)
			switch {
			case !ok || math.IsNaN(n) || math.IsInf(n, 0):
				return name, fmt.Errorf("%s: %v is no number", name, s[name])
			case n < f.from || f.whole && n != math.Trunc(n):
				return name, fmt.Errorf("%s: %v is no %snumber from %v", name, n, map[bool]string{true: "whole "}[f.whole], f.from)
			}
		}
	}
	for _, name := range permissions {
		if v, there := s[name]; there {
			if _, ok := v.(bool); !ok {
				return name, fmt.Errorf("%s: %v is neither true nor false", name, v)
			}
		}
	}
	for _, w := range words {
		for _, name := range items(s, w.name) {
			if word, _ := s[name].(string); !slices.Contains(w.may, word) {
				return name, fmt.Errorf("%s: %v is none of %v", name, s[name], w.may)
			}
		}
	}
	// No two classes have one name, and none is without: requests find theirs by it.
	seen := map[string]bool{}
	for i := range int(number(s, "path_prefixes")) {
		name := "path_prefixes." + strconv.Itoa(i) + ".name"
		if word, _ := s[name].(string); word == "" || seen[word] {
			return name, fmt.Errorf("%s: %v is no name of its own", name, s[name])
		} else {
			seen[word] = true
		}
	}
	if n, _ := s["telemetry.fields"].(float64); n > mostLoads {
		return "telemetry.fields", fmt.Errorf("telemetry.fields: %v are more than %d", n, mostLoads)
	}
	if zones, there := s["azs"].(float64); there && s["my_zone"] != nil && s["my_zone"].(float64) >= max(zones, 1) {
		return "my_zone", fmt.Errorf("my_zone: %v is no place among %v azs", s["my_zone"], zones)
	}
	if all, there := s["balancers"].(float64); there && s["me"] != nil && s["me"].(float64) >= all {
		return "me", fmt.Errorf("me: %v is no number among %v balancers", s["me"], all)
	}
	return "", nil
}

func number(s brain.Settings, name string) float64 { n, _ := s[name].(float64); return n }

// items are the names that are there of a setting, or of one that each item of a list has.
func items(s brain.Settings, name string) (there []string) {
	list, last, each := strings.Cut(name, ".*")
	if !each {
		if _, is := s[name]; is {
			there = append(there, name)
		}
		return there
	}
	n, _ := s[list].(float64)
	for i := range int(n) {
		one := list + "." + strconv.Itoa(i) + last
		if _, is := s[one]; is {
			there = append(there, one)
		}
	}
	return there
}

// Loads names the values of a load report in answers, in their order; none where answers carry none.
func (b *Manifest) Loads() (names []string) {
	if b.Site["telemetry.how"] == "inline" {
		for _, name := range items(b.Site, "telemetry.fields.*") {
			names = append(names, b.Site[name].(string))
		}
	}
	return names
}
