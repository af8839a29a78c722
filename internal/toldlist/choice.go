package toldlist

import (
	"ledgespread/internal/discovery"
)

// Start is the list that a process begins with.
type Start struct {
	discovery.Update
	From *Told // nil: the saved list of the configuration alone counts
}

// Saved is the list of a configuration.
type Saved struct {
	List        *discovery.List
	Fingerprint uint64
	Address     string // of discovery, by the same configuration
}

// Choose returns the list to begin with, where an earlier process of the sidecar was told one. writerRuns reports whether
// that process still runs.
//
// The versions of the two lists alone don't tell which one is newer: the service may have begun to count anew, or another
// one may be called. If the earlier process was started with the same saved list, what it was told is newer. If it still runs,
// its requests are decided by what it was told, and only a saved list with a later version of the same address is newer. Else
// the later version counts at the same address, and the saved list otherwise. Where it is not certain which one is newer,
// servers that drain by either get nothing.
func Choose(saved Saved, told *Told, writerRuns bool) Start {
	start := Start{Update: discovery.Update{Address: saved.Address, Confirmed: true, List: saved.List}, From: told}
	if told == nil {
		return start
	}
	comparable := told.Confirmed && told.Address == saved.Address
	isLater := comparable && told.List.Version >= saved.List.Version
	switch {
	case told.Known == saved.Fingerprint, isLater && writerRuns, !comparable && writerRuns:
		start.Update = told.Update
	case isLater:
		start.Epoch = told.Epoch
		start.List = told.List.WithDrains(saved.List)
	default:
		start.List = saved.List.WithDrains(told.List)
	}
	return start
}
