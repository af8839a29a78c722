package discovery

import (
	"maps"
	"slices"
	"strings"

	"ledgespread/brain"
)

// Update is a list as one process of a sidecar hands it to another.
type Update struct {
	Address   string // of the service that the process calls
	Confirmed bool   // a list from Address was accepted, so that the version of List is one of Address
	Epoch     int    // how often the service began to count its versions anew, as far as the process knows
	List      *List
}

// IsAsOf reports whether two lists have the same address, epoch and version.
func (u Update) IsAsOf(other Update) bool {
	return u.Address == other.Address && u.Confirmed == other.Confirmed && u.Epoch == other.Epoch && u.List.Version == other.List.Version
}

// isNewerThan reports whether the list is newer than one with this epoch and version, of the same address.
func (u Update) isNewerThan(epoch int, version uint64) bool {
	return u.Epoch > epoch || u.Epoch == epoch && u.List.Version > version
}

// isAs reports whether the list has this epoch and version.
func (u Update) isAs(epoch int, version uint64) bool {
	return u.Epoch == epoch && u.List.Version == version
}

// Begin replaces the saved list by the whole list of another process. It must be called before the first call to discovery.
func (w *Watcher) Begin(other Update) {
	w.servers.Apply(other.List)
	w.epoch = other.Epoch
	w.current.version = other.List.Version
	w.current.unconfirmed = !other.Confirmed || other.Address != w.current.address
	w.takenOver = true
}

// noteUpdate tells OnUpdate of a list that was delivered. The caller holds the delivery lock.
func (w *Watcher) noteUpdate(delivered *List) {
	if w.OnUpdate == nil {
		return
	}
	list := *delivered
	w.mu.Lock()
	update := Update{Address: w.current.address, Confirmed: !w.current.unconfirmed, Epoch: w.epoch, List: &list}
	list.Version = w.current.version
	w.mu.Unlock()
	w.OnUpdate(update)
}

// TakeOver takes over the whole list of another process of this sidecar, which was told it by discovery. Versions of one
// address tell which list is the newer one. A process that has heard nothing itself yet holds whatever the other one holds.
// Otherwise only servers that leave are taken: at the same version the other process may have heard of them from a former
// address, and which of two lists of different addresses is newer is not known.
func (w *Watcher) TakeOver(other Update) {
	w.delivery.Lock()
	defer w.delivery.Unlock()
	w.mu.Lock()
	list, recheck := w.acceptTakenOver(other)
	w.mu.Unlock()
	if list == nil {
		return
	}
	w.log.Info().Uint64("version", other.List.Version).Str("discovery", other.Address).Int("servers", len(other.List.Entries)).
		Bool("whole", list.Whole).Msg("list taken over from another process of this sidecar")
	w.servers.Apply(list)
	w.OnTakenOver(&List{Version: list.Version, Whole: true, Source: list.Source, Entries: w.servers.Sorted()})
	w.noteUpdate(list)
	if recheck {
		w.recheck()
	}
}

// acceptTakenOver returns the part of another process's list that is to be taken over; nil: none. recheck is set if the
// whole list has to be requested. The caller holds both locks.
func (w *Watcher) acceptTakenOver(other Update) (list *List, recheck bool) {
	isHere := other.Confirmed && other.Address == w.current.address
	isComparable := isHere && !w.current.unconfirmed
	switch {
	case isHere && (w.current.unconfirmed || other.isNewerThan(w.epoch, w.current.version)):
		w.current.acceptVersion(other.List.Version, w.nextSequence())
		w.epoch = max(other.Epoch, w.epoch)
		w.takenOver = true
		return other.List, false
	case w.takenOver && (!isComparable || other.isAs(w.epoch, w.current.version)):
		return other.List, false
	case isComparable && other.isAs(w.epoch, w.current.version):
		list = w.servers.departures(other.List)
	case !isComparable:
		list = w.servers.drains(other.List)
	}
	if list == nil || list.Empty() {
		return nil, false
	}
	return list, true
}

// drains reduces a list to the servers that drain by it and are ready in the set, without a later start.
func (s ServerSet) drains(l *List) *List {
	changes := &List{Version: l.Version, Source: l.Source}
	for _, entry := range l.Entries {
		own, listed := s[entry.ID]
		if entry.Standing == brain.Draining && listed && own.Standing == brain.Ready && own.Started <= entry.Started {
			own.Standing = brain.Draining
			changes.Entries = append(changes.Entries, own)
		}
	}
	return changes
}

// WithDrains returns a whole list in which the servers drain that do so by another list and haven't started later.
func (l *List) WithDrains(other *List) *List {
	servers := ServerSet{}
	servers.Apply(l)
	servers.Apply(servers.drains(other))
	merged := *l
	merged.Entries = servers.Sorted()
	return &merged
}

// Sorted returns the entries by the names of their servers.
func (s ServerSet) Sorted() []Entry {
	return slices.SortedFunc(maps.Values(s), func(a, b Entry) int { return strings.Compare(a.Host, b.Host) })
}
