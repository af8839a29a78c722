package site

import (
	"maps"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"ledgespread/brain"
)

// ApplyMode is the time at which a changed value of the configuration file takes effect.
type ApplyMode uint8

const (
	Live      ApplyMode = iota + 1 // at once in a running sidecar, on SIGHUP or when a configuration is handed to it
	Restart                        // at the next start; a running sidecar keeps the old value and reports the name
	StartOnly                      // read at the start and specific to one sidecar; a running sidecar ignores a change
)

func (w ApplyMode) String() string { return [...]string{"", "live", "restart", "start only"}[w] }

// SettingRule describes one name of the configuration file.
type SettingRule struct {
	Name   string // dotted path; "*" stands for a list index; applies to all names below it that have no SettingRule of their own
	Mode   ApplyMode
	Reason string // short reason for needing a restart, or how a running sidecar applies the change
}

// SettingRules describes every name of the configuration file that a sidecar reads. SIGHUP, the checks of files and
// patches, and docs/operations.md all use it. A name that matches no SettingRule is read by no code.
var SettingRules = []SettingRule{
	{"name", Restart, "others, and the file of servers that are out, know the sidecar by it"},
	{"listen", Restart, "the listener is taken at the start"},
	{"discovery", Live, "the new address is asked for the whole list"},
	{"seed", StartOnly, "chance goes on as it began"},
	{"known", StartOnly, "discovery has told newer lists since"},
	{"limits.cores", Live, "at once"},
	{"limits.memory_mb", Restart, "buffers and rooms are dealt out at the start"},
	{"limits.sockets", Restart, "places are dealt out at the start"},
	{"peer_listen", Restart, "its address is taken at the start"},
	{"peers", Restart, "they go with balancers and me"},
	{"console", Restart, "its address is taken at the start"},
	{"settings.my_zone", Restart, "the list's zones are numbered by azs"},
	{"settings.azs", Restart, "the list's zones are numbered by them"},
	{"settings.discovery", Restart, "how the list is followed is decided at the start"},
	{"settings.balancers", Restart, "a server's owner goes by how many there are, the same for all"},
	{"settings.me", Restart, "others know it by this number"},
	{"settings.step_us", Live, "for a request that is out the longer one counts"},
	{"settings.beyond_share_value", Live, "for requests that come"},
	{"settings.realms", Live, "added, or removed, at the end"},
	{"settings.realms.*.name", Restart, "another order, or one removed before others: sidecars tell each other of tenants by place"},
	{"settings.realms.*.quota_per_s", Live, "for requests that come"},
	{"settings.path_prefixes", Live, "added, removed, in another order: known by their names; a request that is out keeps its own"},
	{"settings.path_prefixes.*.target_latency_us", Live, "for requests that come"},
	{"settings.path_prefixes.*.client_timeout_us", Live, "for requests that come"},
	{"settings.path_prefixes.*.value", Live, "for requests that come"},
	{"settings.path_prefixes.*.late_value", Live, "for requests that come"},
	{"settings.path_prefixes.*.memory_span_us", Live, "for a request that is out the shorter one counts"},
	{"settings.path_prefixes.*.effect", Live, "for a request that is out the stricter one counts"},
	{"settings.path_prefixes.*.group", Live, "for a request that is out both count"},
	{"settings.allowed.max_backend_fetches", Live, "for a request that is out the smaller one counts"},
	{"settings.allowed.may_duplicate", Live, "for a request that is out only while both allow it"},
	{"settings.allowed.cancel", Live, "for a request that is out only while both allow it"},
	{"settings.allowed.retry_after", Live, "for a request that is out only while both allow it"},
	{"settings.allowed.max_retry_after_us", Live, "for a request that is out the smaller one counts"},
	{"settings.allowed.conn_idle_us", Live, "at once, for connections that stand idle as well"},
	{"settings.allowed.connect_timeout_us", Live, "for connections that begin"},
	{"settings.allowed.most_held", Live, "for requests that come"},
	{"settings.allowed.peer_messages", Restart, "the address for messages is taken at the start"},
	{"settings.allowed.multiplex", Restart, "kept to one in any case"},
	{"settings.obligations.cold_from", Live, "a smaller budget at once, a larger one for windows that begin later"},
	{"settings.obligations.cold_us", Live, "a smaller budget at once, a larger one for windows that begin later"},
	{"settings.obligations.fall_multiple", Live, "a smaller budget at once, a larger one for windows that begin later"},
	{"settings.obligations.fall_us", Live, "a smaller budget at once, a larger one for windows that begin later"},
	{"settings.obligations.ask_every_us", Live, "for calls of the list that come"},
	{"settings.obligations.stop_sending_within_us", Live, "for calls of a pushed list that come; no grace is used"},
	{"settings.tariffs.connection", Live, "at once"},
	{"settings.tariffs.cross_zone", Live, "at once"},
	{"settings.tariffs.handshake", Live, "at once"},
	{"settings.telemetry", Live, "a report of an attempt that began before is passed over"},
}

// Change lists the names in SettingRules whose values differ between two configurations.
type Change struct {
	Live    []string // applied by a running sidecar
	Restart []string // not applied: the old values stay in force until the next start
	Unknown []string // read by no code
}

// listIndex matches a list index in a dotted path.
var listIndex = regexp.MustCompile(`\.\d+`)

// RuleFor returns the SettingRule of SettingRules for a path in the file, or nil if no code reads it.
func RuleFor(name string) *SettingRule {
	for name = listIndex.ReplaceAllString(name, ".*"); name != ""; name = name[:max(strings.LastIndexByte(name, '.'), 0)] {
		if i := slices.IndexFunc(SettingRules, func(r SettingRule) bool { return r.Name == name }); i >= 0 {
			return &SettingRules[i]
		}
	}
	return nil
}

// MergeLive computes the configuration that is in force after a running sidecar with configuration m is given
// next. The result is next, except that values that need a restart keep their value in m. Neither m nor next
// is modified.
func (m *Manifest) MergeLive(next *Manifest) (merged *Manifest, c Change) {
	copied := *next
	merged = &copied
	merged.Settings = maps.Clone(next.Settings)
	differs := map[string]bool{}
	for _, field := range []struct {
		name      string
		old, next any
		keepOld   func()
	}{
		{"name", m.Name, next.Name, func() { merged.Name = m.Name }},
		{"listen", m.Listen, next.Listen, func() { merged.Listen = m.Listen }},
		{"discovery", m.Discovery, next.Discovery, nil},
		{"limits.cores", m.Cores, next.Cores, nil},
		{"limits.memory_mb", m.MemoryMB, next.MemoryMB, func() { merged.MemoryMB = m.MemoryMB }},
		{"limits.sockets", m.Sockets, next.Sockets, func() { merged.Sockets = m.Sockets }},
		{"peer_listen", m.PeerListen, next.PeerListen, func() { merged.PeerListen = m.PeerListen }},
		{"peers", m.Peers, next.Peers, func() { merged.Peers = m.Peers }},
		{"console", m.Console, next.Console, func() { merged.Console = m.Console }},
		{"settings.allowed.multiplex", m.StreamsPerConnection, next.StreamsPerConnection, func() { merged.StreamsPerConnection = m.StreamsPerConnection }},
	} {
		if !reflect.DeepEqual(field.old, field.next) {
			if differs[field.name] = true; field.keepOld != nil {
				field.keepOld()
			}
		}
	}
	merged.Seed, merged.SavedList = m.Seed, m.SavedList
	m.mergeSettings(merged, next, differs)
	return merged, classify(differs)
}

// mergeSettings adds the settings that differ between m and next to differs, and restores in merged the
// values of m for those that need a restart.
func (m *Manifest) mergeSettings(merged, next *Manifest, differs map[string]bool) {
	tenantsMatch := sameTenantOrder(m, next)
	for _, names := range []brain.Settings{m.Settings, next.Settings} {
		for name := range names {
			oldValue, newValue := m.Settings[name], next.Settings[name]
			if oldValue == newValue {
				continue
			}
			path := "settings." + listIndex.ReplaceAllString(name, ".*")
			if strings.HasPrefix(name, "realms") && !tenantsMatch {
				path = "settings.realms.*.name"
			} else if strings.HasPrefix(name, "realms.") && (oldValue == nil || newValue == nil) {
				path = "settings.realms"
			}
			rule := RuleFor(path)
			if rule == nil {
				differs[path] = true
				continue
			}
			differs[rule.Name] = true
			if rule.Mode != Restart {
				continue
			}
			delete(merged.Settings, name)
			if oldValue != nil {
				merged.Settings[name] = oldValue
			}
		}
	}
}

// classify sorts the names that differ into the lists of a Change.
func classify(differs map[string]bool) (c Change) {
	for _, name := range slices.Sorted(maps.Keys(differs)) {
		switch rule := RuleFor(name); {
		case rule == nil:
			c.Unknown = append(c.Unknown, name)
		case rule.Mode == Restart:
			c.Restart = append(c.Restart, name)
		default:
			c.Live = append(c.Live, name)
		}
	}
	return c
}

// sameTenantOrder reports whether the shorter of the two lists of tenants is a prefix of the longer one.
// Messages between sidecars identify tenants by index, so with any other difference a sidecar that still has
// the older file would attribute requests to the wrong tenants.
func sameTenantOrder(a, b *Manifest) bool {
	for i := range int(min(a.Number("realms"), b.Number("realms"))) {
		tenant := "realms." + strconv.Itoa(i)
		if a.Settings[tenant] != b.Settings[tenant] || a.Settings[tenant+".name"] != b.Settings[tenant+".name"] {
			return false
		}
	}
	return true
}
