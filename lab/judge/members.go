package judge

import (
	"encoding/json"
	"slices"

	"ledgespread/lab/sidecars"
)

// Cut records that the messages from one sidecar to another are blocked (Blocked) or let through again from a time on.
type Cut struct {
	At       Micros
	From, To string
	Blocked  bool
}

// StateChange is an entry of the log of sidecar By: it changed the state of member Name from Was to Is. It shows what
// the sidecar believed, which need not be true.
type StateChange struct {
	At       Micros
	By, Name string
	Is, Was  string
	Why      string
}

// ReadStateChanges extracts the entries about other members from a sidecar's log; lines that are not JSON or name no
// member are skipped.
func ReadStateChanges(by string, lines []sidecars.Line) (out []StateChange) {
	for _, line := range lines {
		var tree map[string]any
		if json.Unmarshal([]byte(line.Text), &tree) != nil {
			continue
		}
		text := func(name string) string { value, _ := tree[name].(string); return value }
		if name := text("member"); name != "" {
			out = append(out, StateChange{At: line.At, By: by, Name: name, Is: text("message"), Was: text("was"), Why: text("why")})
		}
	}
	return out
}

// GroundTruth is the lab's own record of which sidecars ran, which were paused and which could exchange messages.
type GroundTruth struct {
	Sidecars []SidecarAccount
	Cuts     []Cut
}

// sidecar returns the record of the named sidecar, or an empty one.
func (g *GroundTruth) sidecar(name string) *SidecarAccount {
	if at := slices.IndexFunc(g.Sidecars, func(sidecar SidecarAccount) bool { return sidecar.Name == name }); at >= 0 {
		return &g.Sidecars[at]
	}
	return &SidecarAccount{}
}

// WasRunning reports whether one process of the named sidecar was ready and running, and not asked to end, throughout
// [from, to].
func (g *GroundTruth) WasRunning(name string, from, to Micros) bool {
	return slices.ContainsFunc(g.sidecar(name).Processes, func(process sidecars.Process) bool {
		return process.Ready >= 0 && process.Ready <= from && (process.End < 0 || process.End >= to) && (process.StopRequested < 0 || process.StopRequested >= to)
	})
}

// LongestPause returns the length of the longest pause of the named sidecar that overlaps [from, to]. A pause counts
// from its start, even if that is before from, but no further than to.
func (g *GroundTruth) LongestPause(name string, from, to Micros) (longest Micros) {
	for _, pause := range g.sidecar(name).Pauses {
		if end := pause[1]; pause[0] <= to && (end < 0 || end >= from) {
			if end < 0 || end > to {
				end = to
			}
			longest = max(longest, end-pause[0])
		}
	}
	return longest
}

// MessagesPass reports whether messages from one sidecar reached the other throughout [from, to].
func (g *GroundTruth) MessagesPass(one, other string, from, to Micros) bool {
	blocked := false
	for _, cut := range g.Cuts {
		if cut.From != one || cut.To != other || cut.At > to {
			continue
		}
		if blocked = cut.Blocked; blocked && cut.At >= from {
			return false
		}
		if !blocked && cut.At > from { // blocked until then
			return false
		}
	}
	return !blocked
}

// IsFalseDeath reports whether a change wrongly declares a member dead. It does if, over the span before the change, the
// member ran, was never paused for longer than tolerated, and could exchange messages with the sidecar that declared it
// dead all the time: directly, or through one other sidecar that ran and was not paused.
func (g *GroundTruth) IsFalseDeath(change StateChange, span, tolerated Micros) bool {
	from, to := change.At-span, change.At
	available := func(name string) bool {
		return g.WasRunning(name, from, to) && g.LongestPause(name, from-tolerated, to) <= tolerated
	}
	connected := func(a, b string) bool {
		return a == b || g.MessagesPass(a, b, from, to) && g.MessagesPass(b, a, from, to)
	}
	if change.Is != "dead" || !available(change.Name) {
		return false
	}
	return slices.ContainsFunc(g.Sidecars, func(sidecar SidecarAccount) bool {
		if sidecar.Name == change.Name {
			return connected(change.By, change.Name)
		}
		canRelay := sidecar.Name == change.By || g.WasRunning(sidecar.Name, from, to) && g.LongestPause(sidecar.Name, from, to) == 0
		return canRelay && connected(change.By, sidecar.Name) && connected(sidecar.Name, change.Name)
	})
}
