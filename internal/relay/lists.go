package relay

import (
	"ledgespread/brain"
	"ledgespread/internal/discovery"
)

// This file applies the answers of discovery. Like operators' calls they are handled before queued events;
// see Run.

// receiveList receives an answer of discovery, ahead of the queued events. With a small CPU share it would
// otherwise wait behind hundreds of events, while requests are still sent to servers that the answer lists as
// leaving.
func (r *Relay) receiveList(list *discovery.List) { r.urgentCalls <- func() { r.applyAnswer(list) } }

// applyAnswer handles an answer of discovery; nil means that the call failed.
func (r *Relay) applyAnswer(list *discovery.List) {
	switch {
	case list == nil && r.pushed: // the watcher reconnects on its own
	case list == nil:
		r.balancer.BeginList(r.now, brain.ListCallFailed)
		r.balancer.EndList(r.now)
	case list.Whole:
		r.applyList(brain.FullList, list)
	default:
		r.applyList(brain.ListChanges, list)
	}
	if list != nil && !r.listReceived {
		r.listReceived = true
		close(r.firstList)
	}
}

func (r *Relay) applyList(kind brain.ListKind, list *discovery.List) {
	gone, leaving, moved := map[brain.ServerID]bool{}, map[brain.ServerID]bool{}, map[brain.ServerID]bool{}
	for id := range r.servers {
		gone[id], leaving[id] = kind != brain.ListChanges, kind != brain.ListChanges
	}
	r.balancer.BeginList(r.now, kind)
	for _, entry := range list.Entries {
		next := server{entry.Host, place{entry.Address, entry.Zone, entry.Cell}, entry.Standing == brain.Ready}
		before, known := r.servers[entry.ID]
		moved[entry.ID] = moved[entry.ID] || known && before.place != next.place
		r.servers[entry.ID] = next
		gone[entry.ID] = entry.Standing == brain.Gone
		if leaving[entry.ID] = entry.Standing != brain.Ready; leaving[entry.ID] {
			r.log.Debug().Str("server", entry.Host).Uint64("version", list.Version).Uint8("standing", uint8(entry.Standing)).Msg("leaving")
		}
		started := r.startTime(entry)
		r.balancer.ListServer(r.now, entry.ID, entry.Zone, entry.Cell, entry.Standing, entry.Weight, started)
	}
	r.balancer.EndList(r.now)
	r.cancelUnsent(func(id brain.ServerID) bool { return leaving[id] || moved[id] })
	// Forget departed servers, so that the maps stay bounded, and their connections, since the address may
	// now belong to another machine.
	for id, left := range gone {
		if left {
			delete(r.servers, id)
			delete(r.serverStarts, id)
			r.outbound.Forget(id)
		}
	}
	r.logReadiness(kind, list)
}

// logReadiness logs when the list no longer has a ready server, and when it has one again.
func (r *Relay) logReadiness(kind brain.ListKind, list *discovery.List) {
	ready := 0
	for _, server := range r.servers {
		if server.ready {
			ready++
		}
	}
	if wasEmpty := r.noneReady; wasEmpty != (ready == 0) && kind != brain.SavedList {
		entry, message := r.log.Info(), "servers are ready"
		if ready == 0 {
			entry, message = r.log.Warn(), "no server is ready"
		}
		entry.Uint64("version", list.Version).Str("discovery", list.Source).Int("servers", ready).Msg(message)
	}
	r.noneReady = ready == 0
}

// BeginWith replaces the saved list by the list of another process of this sidecar. It must be called before Run.
func (r *Relay) BeginWith(other discovery.Update) {
	r.watcher.Begin(other)
	r.applyList(brain.SavedList, other.List)
	r.publishFleet()
}

// RecordLists has record called with each list that is received or taken over. It must be called before Run, and record must
// not block.
func (r *Relay) RecordLists(record func(discovery.Update)) { r.watcher.OnUpdate = record }

// TakeOverList takes over the list of another process of this sidecar, if that is newer.
func (r *Relay) TakeOverList(other discovery.Update) { r.watcher.TakeOver(other) }

// receiveTakenOver receives the whole list after one was taken over. It is no answer of discovery.
func (r *Relay) receiveTakenOver(list *discovery.List) {
	r.urgentCalls <- func() { r.applyList(brain.TakenOverList, list) }
}

// SetDiscovery makes the watcher ask for the list at another address from now on.
func (r *Relay) SetDiscovery(discovery string) { r.watcher.SetAddress(discovery) }
