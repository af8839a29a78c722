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

// When says from when on a file's new word holds.
type When uint8

const (
	Live      When = iota + 1 // while the sidecar runs: at SIGHUP, and where configuration is handed over
	Restart                   // from the next start on; refused as a live change, with its name
	StartOnly                 // at a start, which has its own: a difference is none
)

func (w When) String() string { return [...]string{"", "live", "restart", "start only"}[w] }

// Row is one thing that a file may say.
type Row struct {
	Name string // as in the file; "*" stands for an item's place; what stands below it and has no row of its own goes with it
	When When
	Why  string // what holds it to a start, or how it is taken over; in a few words
}

// Table has all that a sidecar reads of its file, in one place: reading, check, SIGHUP and docs/operations.md go by it.
// Settings without a row are read by nothing here.
var Table = []Row{
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

// Change tells by the table's names in what two configurations differ.
type Change struct {
	Live    []string // taken over while it runs
	Restart []string // not: the old word holds until the next start
	Unread  []string // nothing here reads it
}

var place = regexp.MustCompile(`\.\d+`)

// Of is the table's row for a name of the file; nil: nothing reads it.
func Of(name string) *Row {
	for name = place.ReplaceAllString(name, ".*"); name != ""; name = name[:max(strings.LastIndexByte(name, '.'), 0)] {
		if i := slices.IndexFunc(Table, func(r Row) bool { return r.Name == name }); i >= 0 {
			return &Table[i]
		}
	}
	return nil
}

// Take tells what holds when a running sidecar, with b in force, is given next: next, but for what needs a restart, where b's word
// stays. Both are left as they are.
func (b *Manifest) Take(next *Manifest) (taken *Manifest, c Change) {
	copied := *next
	taken = &copied
	taken.Site = maps.Clone(next.Site)
	differs := map[string]bool{}
	for _, f := range []struct {
		name      string
		old, next any
		keep      func()
	}{
		{"name", b.Name, next.Name, func() { taken.Name = b.Name }},
		{"listen", b.Listen, next.Listen, func() { taken.Listen = b.Listen }},
		{"discovery", b.Discovery, next.Discovery, nil},
		{"limits.cores", b.Cores, next.Cores, nil},
		{"limits.memory_mb", b.MemoryMB, next.MemoryMB, func() { taken.MemoryMB = b.MemoryMB }},
		{"limits.sockets", b.Sockets, next.Sockets, func() { taken.Sockets = b.Sockets }},
		{"peer_listen", b.PeerListen, next.PeerListen, func() { taken.PeerListen = b.PeerListen }},
		{"peers", b.Peers, next.Peers, func() { taken.Peers = b.Peers }},
		{"console", b.Console, next.Console, func() { taken.Console = b.Console }},
		{"settings.allowed.multiplex", b.Streams, next.Streams, func() { taken.Streams = b.Streams }},
	} {
		if !reflect.DeepEqual(f.old, f.next) {
			if differs[f.name] = true; f.keep != nil {
				f.keep()
			}
		}
	}
	taken.Seed, taken.Known = b.Seed, b.Known
	b.takeSettings(taken, next, differs)
	return taken, sorted(differs)
}

// takeSettings marks the settings that differ, and has those that need a restart stay as they were.
func (b *Manifest) takeSettings(taken, next *Manifest, differs map[string]bool) {
	kept := sameBeginning(b, next)
	for _, names := range []brain.Settings{b.Site, next.Site} {
		for name := range names {
			was, is := b.Site[name], next.Site[name]
			if was == is {
				continue
			}
			full := "settings." + place.ReplaceAllString(name, ".*")
			if strings.HasPrefix(name, "realms") && !kept {
				full = "settings.realms.*.name"
			} else if strings.HasPrefix(name, "realms.") && (was == nil || is == nil) {
				full = "settings.realms"
			}
			rule := Of(full)
			if rule == nil {
				differs[full] = true
				continue
			}
			differs[rule.Name] = true
			if rule.When != Restart {
				continue
			}
			delete(taken.Site, name)
			if was != nil {
				taken.Site[name] = was
			}
		}
	}
}

// sorted tells what becomes of the names that differ.
func sorted(differs map[string]bool) (c Change) {
	for _, name := range slices.Sorted(maps.Keys(differs)) {
		switch rule := Of(name); {
		case rule == nil:
			c.Unread = append(c.Unread, name)
		case rule.When == Restart:
			c.Restart = append(c.Restart, name)
		default:
			c.Live = append(c.Live, name)
		}
	}
	return c
}

// sameBeginning tells whether the shorter one's tenants are the first of the longer one's. What sidecars tell goes by place, and
// for as long as one of them has the older file they would count each other's tenants wrongly.
func sameBeginning(a, b *Manifest) bool {
	for i := range int(min(a.Figure("realms"), b.Figure("realms"))) {
		at := "realms." + strconv.Itoa(i)
		if a.Site[at] != b.Site[at] || a.Site[at+".name"] != b.Site[at+".name"] {
			return false
		}
	}
	return true
}
