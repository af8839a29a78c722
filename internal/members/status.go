package members

// status.go: the member table in JSON and the membership metrics.

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"ledgespread/decide/membership"
)

// tableRequest is the message that requests the member table in JSON.
const tableRequest = "ledgespread members 1"

// tableJSON returns the member table in JSON, as `ledgespread members` prints it, ordered by the length of the
// name and then by name, so that n2 precedes n10.
func (m *Members) tableJSON() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	var lines []map[string]any
	m.node.Each(func(member membership.Member) {
		state := member.State.String()
		if member.State == membership.Alive && member.Cut != 0 {
			state = "cut"
		}
		line := map[string]any{"name": member.Name, "zone": member.Zone, "address": formatAddress(member.Address), "state": state, "since_us": int64(max(now-member.Since, 0)),
			"by": member.ReportedBy, "incarnation": member.Incarnation, "version": member.Version, "trip_us": int64(member.RTT), "number": member.Number, "self": member.Self, "holds": member.SuspicionDoublings}
		if member.Cut != 0 {
			line["way"] = member.Cut.String()
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
	part, since := m.node.Side()
	counts := m.allCounts()
	text, _ := json.Marshal(map[string]any{"members": lines, "part": part.String(), "part_since_us": int64(now - since), "senders": m.node.Senders(),
		"counts": counts})
	return text
}

// count increments a counter.
func (m *Members) count(name string) { m.add(name, 1) }

// add adds to a counter.
func (m *Members) add(name string, amount int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[name] += int64(amount)
}

// allCounts returns a copy of all counters, including those of datagrams dropped before decoding. The caller holds
// m.mu.
func (m *Members) allCounts() map[string]int64 {
	counts := maps.Clone(m.counts)
	for i, kind := range dropKinds {
		counts[kind] += m.dropped[i].Load()
	}
	return counts
}

// WriteTo writes the membership metrics: the number of members by state, the state changes, and the dropped messages
// by kind. It writes nothing before the node has started.
func (m *Members) WriteTo(w io.Writer) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.node == nil {
		return 0, nil
	}
	counts := m.allCounts()
	for _, state := range []string{"alive", "suspect", "cut", "dead", "left"} {
		counts["now_"+state] = 0
	}
	m.node.Each(func(member membership.Member) {
		if member.State == membership.Alive && member.Cut != 0 {
			counts["now_cut"]++
		} else {
			counts["now_"+member.State.String()]++
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

// FetchTable fetches the member table in JSON from the running member at an address.
func FetchTable(at string, timeout time.Duration) ([]byte, error) {
	return query(at, []byte(tableRequest), maxTableBytes, timeout)
}
