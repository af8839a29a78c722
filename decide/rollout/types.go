package rollout

// types.go: the types and the Ports interface that connect a Node with its caller.

import (
	"ledgespread/decide/membership"
)

type (
	Micros  = membership.Micros
	Name    = membership.Name
	Address = membership.Address
	Number  uint64   // identifies a configuration; 0 means none
	Digest  [16]byte // first 16 bytes of the SHA-256 of the configuration's content
	Rank    uint32   // pseudo-random rank of a member for one number; the lowest ranks are the canaries
)

// Version identifies one configuration. Two versions that share a number but not a digest are in conflict
// (contested).
type Version struct {
	Number Number
	Digest Digest
}

// CanaryPolicy is the canary policy that an operator sets in the head of the configuration file.
type CanaryPolicy struct {
	Canaries int    // number of canaries; never more than a third of the members
	Watch    Micros // how long each canary observes the configuration before the other members apply it
}

// Verdict is the result that a canary reports for a configuration. When a member reports more than one, the
// highest value counts.
type Verdict uint8

const (
	Trial    Verdict = iota + 1 // the canary is about to apply the configuration, or has applied it
	NotWorse                    // the share of succeeded requests did not fall
	Unsure                      // no drop observed, but too few requests to detect one
	Idle                        // the member had no requests and skips the trial
	Worse                       // the share of succeeded requests fell
	Refused                     // the configuration could not be read or applied
)

func (v Verdict) String() string {
	return [...]string{"", "tries it", "no worse", "unsure", "idle", "worse", "refused"}[min(int(v), 6)]
}

// Stage is the progress of a rollout, as far as this member knows.
type Stage uint8

const (
	Spreading Stage = iota
	Everywhere
	Stopped
)

func (s Stage) String() string { return [...]string{"spreading", "everywhere", "stopped"}[s&3%3] }

// Config holds the settings of a Node.
type Config struct {
	ProbeInterval     Micros // membership's probe interval; all delays of this package are multiples of it
	DisabledSafeguard string // safeguard to switch off (one of Safeguards), for tests that must then fail; empty in production
}

// Safeguards lists the safeguards that Config.DisabledSafeguard can switch off. Only tests do.
var Safeguards = []string{"no-draw", "no-watch", "no-contest", "falling", "no-bound"}

// SavedState is the state that a member's previous process saved to disk.
type SavedState struct {
	InForce, Newest Version
	Policy          CanaryPolicy // canary policy of Newest
	Trials          int          // number of trials of Newest that were started, if it is not in force
	Baseline        Results      // request results before the first of these trials
	Outcome         Outcome
}

// Outcome says that the rollout of a configuration ended without its being put in force everywhere. The zero value says nothing.
type Outcome struct {
	Version
	Contested   bool   // another content has the same number; otherwise the rollout was stopped
	OtherDigest Digest // if Contested: the digest of the other content
}

// Event is reported to operators.
type Event struct {
	Kind        string // one of EventKinds
	Version     Version
	From        Name   // the member that the event came from or concerns
	Reason      string // for "refused": file:line: reason
	OtherDigest Digest // for "contested": the digest of the conflicting content
}

// EventKinds lists the kinds of events.
var EventKinds = []string{"held", "tries", "on_trial", "in_force", "no_worse", "unsure", "idle", "worse", "refused", "contested", "everywhere", "stopped", "unfit"}

// Ports contains all actions and queries that a Node needs from its environment. Implementations must not call
// back into the node.
type Ports interface {
	// Fetch downloads the content of v over a connection. The result comes with Node.FetchDone or Node.FetchFailed.
	Fetch(from Name, at Address, v Version)
	// SaveTrial saves to disk that a trial of v starts. The result comes with Node.TrialSaved.
	SaveTrial(v Version, trials int, baseline Results)
	// SaveOutcome saves an outcome to disk, unless one of a higher number is there. It reports no result.
	SaveOutcome(outcome Outcome)
	// Apply applies v and, unless it is a trial, saves that v is in force. The result comes with Node.ApplyDone.
	Apply(v Version, trial bool)
	// SendTo sends a membership message, which carries the one of Node.EncodeMessage, to a member now.
	SendTo(to Name)
	// SendToRandom sends such messages to this many randomly chosen members.
	SendToRandom(count int)
	// EachLive calls each for every other live member.
	EachLive(each func(Name))
	// RequestCounts returns the request counts of this process.
	RequestCounts() RequestCounts
	// OnEvent reports an event to operators.
	OnEvent(Event)
}
