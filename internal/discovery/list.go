package discovery

import (
	"hash/fnv"

	"ledgespread/brain"
)

// Entry is one server of a list.
type Entry struct {
	ID       brain.ServerID
	Host     string
	Address  string // IP and port
	Zone     brain.Zone
	Cell     brain.Cell        // a group of servers that share the memory of idempotency keys
	Standing brain.ServerState // ready, draining or gone
	Weight   float64           // the weight of the server in load balancing
	Started  brain.Micros      // Unix time; 0 if the server has run for long
}

// Unusable is an entry of a list whose server cannot be used, because a field is missing, malformed or has a
// value that is unknown here.
type Unusable struct {
	Host string // empty if the entry does not name its server
	Gone bool   // the entry says that its server is gone; this holds whatever else is wrong with it
	Err  error
}

// List is a well-formed answer of discovery: all servers, or those that have changed.
type List struct {
	Version  uint64
	Whole    bool
	Source   string // the address that returned it; empty for a saved list
	Entries  []Entry
	Unusable []Unusable
}

// Empty reports whether the list is a set of changes without any entry. A whole list without entries is not
// empty in this sense: it says that all servers are gone.
func (l *List) Empty() bool { return !l.Whole && len(l.Entries) == 0 }

// ServerID returns the ServerID of a server, which is the same at every sidecar: the hash of its name, folded to the 48
// bits that messages between sidecars carry.
func ServerID(host string) brain.ServerID {
	hash := fnv.New64a()
	hash.Write([]byte(host))
	return brain.ServerID((hash.Sum64() ^ hash.Sum64()>>48) & (1<<48 - 1))
}

// ServerSet holds the listed servers, each with its latest entry, after all lists delivered so far.
type ServerSet map[brain.ServerID]Entry

// Apply updates the set with a list that is delivered.
func (s ServerSet) Apply(l *List) {
	if l.Whole {
		clear(s)
	}
	for _, entry := range l.Entries {
		if entry.Standing == brain.Gone {
			delete(s, entry.ID)
			continue
		}
		s[entry.ID] = entry
	}
}

// resolve returns the list with an added entry for each unusable one whose server is in the set. Such a
// server receives no new requests: it drains, or is gone if the unusable entry says so. Unusable entries of
// other servers are ignored.
func (s ServerSet) resolve(l *List) *List {
	if len(l.Unusable) == 0 {
		return l
	}
	resolved := *l
	for _, unusable := range l.Unusable {
		entry, listed := s[ServerID(unusable.Host)]
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

// departures reduces a list to changes that take servers out of service. If the list is whole, a ready server
// that it leaves out is among them: it drains until a list that is accepted in full says otherwise.
func (s ServerSet) departures(l *List) *List {
	changes := &List{Version: l.Version, Source: l.Source}
	named := map[brain.ServerID]bool{}
	for _, entry := range l.Entries {
		named[entry.ID] = true
		if entry.Standing != brain.Ready {
			changes.Entries = append(changes.Entries, entry)
		}
	}
	for id, entry := range s {
		if l.Whole && !named[id] && entry.Standing == brain.Ready {
			entry.Standing = brain.Draining
			changes.Entries = append(changes.Entries, entry)
		}
	}
	return changes
}
