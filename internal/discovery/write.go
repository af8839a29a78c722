package discovery

import (
	"encoding/json"

	"ledgespread/brain"
)

// healthOf maps the state of a server to its health value in the protocol.
var healthOf = map[brain.ServerState]string{brain.Ready: "in_service", brain.Draining: "terminating", brain.Gone: "terminated"}

// Encode returns the list in the form that Read decodes. zones has the number of each zone by its name.
func (l *List) Encode(zones map[string]int) ([]byte, error) {
	names := map[brain.Zone]string{}
	for name, zone := range zones {
		names[brain.Zone(zone)] = name
	}
	entries := make([]wireEntry, 0, len(l.Entries)) // an empty list is not written as null
	for _, entry := range l.Entries {
		entries = append(entries, wireEntry{Host: entry.Host, Address: entry.Address, Zone: names[entry.Zone], Cell: entry.Cell,
			Health: healthOf[entry.Standing], Share: entry.Weight, Born: float64(entry.Started) / microsPerMilli})
	}
	return json.Marshal(struct {
		Version uint64      `json:"seq"`
		Whole   bool        `json:"whole"`
		Hosts   []wireEntry `json:"hosts"`
	}{l.Version, l.Whole, entries})
}
