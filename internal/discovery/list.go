package discovery

import (
	"hash/fnv"

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

// Unusable is an entry of a list by which its server can't be used: something of it is missing, malformed or unknown here.
type Unusable struct {
	Host string // empty: nothing tells whose it is
	Gone bool   // it says so, whatever else is wrong with it
	Err  error
}

// List is a well-formed answer of discovery: all servers, or those that changed.
type List struct {
	Version  uint64
	Whole    bool
	Source   string // the address that gave it; empty: it was saved
	Entries  []Entry
	Unusable []Unusable
}

// Empty tells whether the list says nothing: it has changes, and there are none. A whole list that names no server says that all are gone.
func (l *List) Empty() bool { return !l.Whole && len(l.Entries) == 0 }

// ID is a server's id, the same at every sidecar: its name, hashed to the 48 bits that a message has for it.
func ID(host string) brain.ServerID {
	hash := fnv.New64a()
	hash.Write([]byte(host))
	return brain.ServerID((hash.Sum64() ^ hash.Sum64()>>48) & (1<<48 - 1))
}

// fleet is what the lists that were told add up to: each server that is listed, by its last entry.
type fleet map[brain.ServerID]Entry

// apply takes over a list that is told.
func (f fleet) apply(l *List) {
	if l.Whole {
		clear(f)
	}
	for _, entry := range l.Entries {
		if entry.Standing == brain.Gone {
			delete(f, entry.ID)
			continue
		}
		f[entry.ID] = entry
	}
}

// resolve has unusable entries say what they still can: a server that is listed and has one takes nothing new. One that is not listed is passed
// over.
func (f fleet) resolve(l *List) *List {
	if len(l.Unusable) == 0 {
		return l
	}
	resolved := *l
	for _, unusable := range l.Unusable {
		entry, listed := f[ID(unusable.Host)]
		if !listed || entry.Host != unusable.Host {
			continue
		}
		entry.Standing = brain.Draining
		if unusable.Gone {
			entry.Standing = brain.Gone
		}
		resolved.Entries = append(resolved.Entries, entry)
	}
	return &resolved
}

// departures are what a list says of servers that take no new requests, as changes. A server that a whole list leaves out is among them: it
// drains until a list that holds in full says more.
func (f fleet) departures(l *List) *List {
	changes := &List{Version: l.Version, Source: l.Source}
	named := map[brain.ServerID]bool{}
	for _, entry := range l.Entries {
		named[entry.ID] = true
		if entry.Standing != brain.Ready {
			changes.Entries = append(changes.Entries, entry)
		}
	}
	for id, entry := range f {
		if l.Whole && !named[id] && entry.Standing == brain.Ready {
			entry.Standing = brain.Draining
			changes.Entries = append(changes.Entries, entry)
		}
	}
	return changes
}
