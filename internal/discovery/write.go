package discovery

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"ledgespread/brain"
)

// healthOf maps the state of a listed server to its health value in the protocol.
var healthOf = map[brain.ServerState]string{brain.Ready: "in_service", brain.Draining: "terminating"}

// Encode returns the list as a whole list in the form that Read decodes. zones has the number of each zone by its name.
func (l *List) Encode(zones map[string]int) ([]byte, error) {
	names := map[brain.Zone]string{}
	for name, zone := range zones {
		names[brain.Zone(zone)] = name
	}
	entries := make([]wireEntry, 0, len(l.Entries)) // an empty list, not null
	for _, entry := range l.Entries {
		health, listed := healthOf[entry.Standing]
		if !listed {
			continue
		}
		entries = append(entries, wireEntry{Host: entry.Host, Address: entry.Address, Zone: names[entry.Zone], Cell: entry.Cell, Health: health,
			Share: entry.Weight, Born: float64(entry.Started) / 1000})
	}
	return json.Marshal(struct {
		Version uint64      `json:"seq"`
		Whole   bool        `json:"whole"`
		Hosts   []wireEntry `json:"hosts"`
	}{l.Version, true, entries})
}

// reportServers tells OnServers what is known after a list was delivered: all listed servers, and the version from which the
// next calls ask the current address. That is 0 if nothing was accepted from there yet. The caller holds the delivery lock.
func (w *Watcher) reportServers() {
	if w.OnServers == nil {
		return
	}
	w.mu.Lock()
	known := &List{Version: w.current.version, Whole: true, Source: w.current.address}
	if w.current.unconfirmed {
		known.Version = 0
	}
	w.mu.Unlock()
	known.Entries = slices.SortedFunc(maps.Values(w.servers), func(a, b Entry) int { return strings.Compare(a.Host, b.Host) })
	w.OnServers(known)
}
