package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"net/netip"

	"ledgespread/brain"
)

// Entry is one server of a list.
type Entry struct {
	ID       brain.ServerID
	Host     string
	Address  string
	Zone     brain.Zone
	Cell     brain.Cell
	Standing brain.Standing
	Rating   float64
	Started  brain.Micros // Unix time; 0: long ago
}

// List is a well-formed answer of discovery: all servers, or those that changed.
type List struct {
	Version uint64
	Whole   bool
	Source  string // the address that gave it; empty: it was saved
	Entries []Entry
}

// Empty tells whether the list says nothing: it has changes, and there are none. A whole list that names no server says that all are gone.
func (l *List) Empty() bool { return !l.Whole && len(l.Entries) == 0 }

// leaving keeps the entries of servers that take no new requests, as changes.
func (l *List) leaving() *List {
	changes := &List{Version: l.Version, Source: l.Source}
	for _, entry := range l.Entries {
		if entry.Standing != brain.Ready {
			changes.Entries = append(changes.Entries, entry)
		}
	}
	return changes
}

var standings = map[string]brain.Standing{"in_service": brain.Ready, "terminating": brain.Draining,
	"terminated": brain.Gone}

// ID is a server's id, the same at every sidecar: its name, hashed to the 48 bits that a message has for it.
func ID(host string) brain.ServerID {
	hash := fnv.New64a()
	hash.Write([]byte(host))
	return brain.ServerID((hash.Sum64() ^ hash.Sum64()>>48) & (1<<48 - 1))
}

// Read decodes an answer. One malformed entry makes the whole answer an error, since half a list would take servers out of use.
func Read(text []byte, zones map[string]int) (list *List, err error) {
	defer func() {
		if malformed, ok := recover().(error); ok {
			list, err = nil, malformed
		}
	}()
	var answer map[string]any
	if err := json.Unmarshal(text, &answer); err != nil {
		return nil, err
	}
	list = &List{Version: wholeNumber(answer, "seq"), Whole: field[bool](answer, "whole")}
	names := map[brain.ServerID]string{}
	for _, host := range field[[]any](answer, "hosts") {
		fields, ok := host.(map[string]any)
		if !ok {
			return nil, errors.New("hosts holds something that is no server")
		}
		entry, err := readEntry(fields, zones)
		if err != nil {
			return nil, err
		}
		if other, there := names[entry.ID]; there && other != entry.Host {
			return nil, fmt.Errorf("%s and %s share an id", entry.Host, other)
		}
		names[entry.ID] = entry.Host
		list.Entries = append(list.Entries, entry)
	}
	return list, nil
}

func readEntry(fields map[string]any, zones map[string]int) (entry Entry, err error) {
	entry.Host = field[string](fields, "host")
	entry.ID, entry.Address = ID(entry.Host), field[string](fields, "dial")
	if _, err := netip.ParseAddrPort(entry.Address); err != nil {
		return entry, err
	}
	zone, known := zones[field[string](fields, "site")]
	standing, valid := standings[field[string](fields, "health")]
	if !known || !valid {
		return entry, fmt.Errorf("%s has an unknown site or health", entry.Host)
	}
	entry.Zone, entry.Standing = brain.Zone(zone), standing
	entry.Cell = brain.Cell(wholeNumber(fields, "block"))
	entry.Rating = field[float64](fields, "share")
	entry.Started = brain.Micros(field[float64](fields, "born_ms") * 1000)
	return entry, nil
}

// field takes a value out of an answer. A missing or malformed one panics with an error, which Read returns.
func field[T any](from map[string]any, name string) T {
	value, ok := from[name].(T)
	if !ok {
		panic(fmt.Errorf("%s is missing or malformed", name))
	}
	return value
}

func wholeNumber(from map[string]any, name string) uint64 {
	number := field[float64](from, name)
	if number < 0 || number > 1<<53 || number != math.Trunc(number) {
		panic(fmt.Errorf("%s is no whole number", name))
	}
	return uint64(number)
}
