package members

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"ledgespread/decide/membership"
)

// look is what a connection sends that wants the table in words.
const look = "ledgespread members 1"

// spelt is the table in JSON: what `ledgespread members` prints.
func (m *Members) spelt() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	var lines []map[string]any
	m.node.Each(func(x membership.Member) {
		state := x.State.String()
		if x.State == membership.Alive && x.Way != 0 {
			state = "cut"
		}
		line := map[string]any{"name": x.Name, "zone": x.Zone, "address": spell(x.Address), "state": state, "since_us": int64(max(now-x.Since, 0)),
			"by": x.By, "incarnation": x.Incarnation, "version": x.Version, "trip_us": int64(x.Trip), "number": x.Number, "self": x.Self, "holds": x.Holds}
		if x.Way != 0 {
			line["way"] = x.Way.String()
		}
		lines = append(lines, line)
	})
	slices.SortFunc(lines, func(a, b map[string]any) int {
		x, y := a["name"].(membership.Name), b["name"].(membership.Name)
		if len(x) != len(y) {
			return len(x) - len(y)
		}
		return map[bool]int{true: -1, false: 1}[x < y]
	})
	part, since := m.node.Part()
	counts := m.all()
	text, _ := json.Marshal(map[string]any{"members": lines, "part": part.String(), "part_since_us": int64(now - since), "senders": m.node.Senders(),
		"counts": counts})
	return text
}

// all are the counters, what was dropped unread too. With the lock held.
func (m *Members) all() map[string]int64 {
	counts := maps.Clone(m.counts)
	for i, kind := range drops {
		counts[kind] += m.dropped[i].Load()
	}
	return counts
}

// WriteTo prints the counters behind the sidecar's own: members by state, changes, and what was dropped, by kind.
func (m *Members) WriteTo(w io.Writer) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.node == nil {
		return 0, nil
	}
	counts := m.all()
	for _, state := range []string{"alive", "suspect", "cut", "dead", "left"} {
		counts["now_"+state] = 0
	}
	m.node.Each(func(x membership.Member) {
		if x.State == membership.Alive && x.Way != 0 {
			counts["now_cut"]++
		} else {
			counts["now_"+x.State.String()]++
		}
	})
	counts["senders"] = int64(m.node.Senders())
	written := int64(0)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		n, err := fmt.Fprintf(w, "ledgespread_members_%s %d\n", name, counts[name])
		if written += int64(n); err != nil {
			return written, err
		}
	}
	return written, nil
}

// Look asks a running member at its address for the table, in JSON.
func Look(at string, most time.Duration) ([]byte, error) {
	return ask(at, []byte(look), tableMost, most)
}
