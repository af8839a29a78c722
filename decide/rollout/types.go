package rollout

// types.go: what a member is told, and what it tells.

import (
	"ledgespread/decide/membership"
)

type (
	Micros  = membership.Micros
	Name    = membership.Name
	Address = membership.Address
	Number  uint64   // of a configuration; 0: none
	Digest  [16]byte // the first bytes of the content's SHA-256
	Rank    uint32   // of a member for one number, by chance; the lowest try it first
)

// Version is one configuration. Two of one number should be the same.
type Version struct {
	Number Number
	Digest Digest
}

// Path is how a configuration wants to be put in force: the operator's choice, in its own head.
type Path struct {
	First int    // so many try it first; fewer where a third of the members is fewer
	Watch Micros // for so long, before the others follow
}

// Verdict is what a member that was drawn says of a configuration.
type Verdict uint8

const (
	Trial   Verdict = iota + 1 // it is about to take it, or has
	Fine                       // no worse than before
	Unsure                     // no worse that could be seen: it had too few requests to tell by
	Idle                       // it had no requests, and does not try it
	Worse                      // a smaller share of requests was succeeded than before
	Refused                    // it can't be taken
)

func (v Verdict) String() string {
	return [...]string{"", "tries it", "no worse", "unsure", "idle", "worse", "refused"}[min(int(v), 6)]
}

// Stage is how far a configuration has come, as far as this member knows.
type Stage uint8

const (
	Spreading Stage = iota
	Everywhere
	Stopped
)

func (s Stage) String() string { return [...]string{"spreading", "everywhere", "stopped"}[s&3%3] }

// Terms are what is set.
type Terms struct {
	Every   Micros // between two of membership's probes; what takes time here follows from it
	Unguard string // a guard that is off, for a proof that has to fail: see Guards
}

// Guards are what Terms.Unguard may name. The program never does.
var Guards = []string{"no-draw", "no-watch", "no-contest", "falling", "no-bound"}

// Kept is what a member has on disk from an earlier life.
type Kept struct {
	InForce, Newest Version
	Path            Path // of the newest
	Tries           int  // times that the newest was begun to be tried, where it is not in force
	Before          Share
}

// Event is one that is told to staff.
type Event struct {
	What    string // see Events
	Version Version
	By      Name   // from whom it came, or who is concerned
	Why     string // for a refusal: file:line: reason
	Other   Digest // the other one of a contested number
}

// Events are the kinds there are.
var Events = []string{"held", "tries", "on_trial", "in_force", "no_worse", "unsure", "idle", "worse", "refused", "contested", "everywhere", "stopped", "unfit"}

// Ports is all that a Node can do to the world. Calls must not call back into the node.
type Ports interface {
	Fetch(from Name, at Address, v Version) // over a connection; ends with Fetched or Missed
	Try(v Version, tries int, before Share) // keep that it is tried; ends with Tried
	Apply(v Version, trial bool)            // take it over; where it is no trial, keep that it is in force; ends with Applied
	Tell(to Name)                           // a message now, with the word on it
	Spread(many int)                        // the same to so many by chance
	Living(each func(Name))                 // the other members that live
	Figures() Figures
	Happened(Event)
}
