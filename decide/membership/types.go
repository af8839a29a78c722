package membership

// types.go: what a member is told, and what it tells.

import ()

// Micros is a point in time or a span, in whole microseconds of a monotonic clock.
type Micros int64

// The kinds of id. None tells anything but sameness, or order within one name.
type (
	Name        string // of a member, for as long as it is configured so
	Address     string // bytes, as the network has them
	Life        uint32 // one process of a member
	Incarnation uint32 // a member's word about itself; a higher one counts over a lower one
	Beat        uint32 // what a member counts up while it runs, within its incarnation
	round       uint32 // one probe
)

// State is what is held of a member.
type State uint8

const (
	Alive State = iota + 1
	Suspect
	Dead
	Left
)

func (s State) String() string { return [...]string{"unknown", "alive", "suspect", "dead", "left"}[s] }

// Way is what is known of the way to a member that lives: which of the two does not hear the other.
type Way uint8

const (
	Deaf Way = 1 << iota // it doesn't hear this member
	Mute                 // this member doesn't hear it
)

func (w Way) String() string {
	return [...]string{"open", "it doesn't hear this member", "this member doesn't hear it", "neither hears the other"}[w&3]
}

// Part is where a member stands among those that it knew.
type Part uint8

const (
	Greater Part = iota + 1
	Lesser
	Alone
)

func (p Part) String() string { return [...]string{"", "greater", "lesser", "alone"}[p] }

// About is what a member tells of itself.
type About struct {
	Name          Name
	Address       Address // where it hears membership's messages
	Notes         Address // where it hears the module's; empty: nowhere
	Zone, Version string
	Life          Life
	Number        uint16 // among the deployment's sidecars
}

// Terms are what is set.
type Terms struct {
	Group    string // others are passed over
	Every    Micros // between two probes
	Exchange Micros // between two full exchanges, in the mean
	Forget   Micros // the dead are kept for so long
	Linger   Micros // what a member that left may still have under way: its longest client timeout
	Senders  int    // never fewer are counted as senders
	Most     int    // members that are kept
	Unguard  string // a guard that is off, for a proof that has to fail: see Guards
}

// Guards are what Terms.Unguard may name. The program never does.
var Guards = []string{"no-helpers", "no-standstill", "no-refutation", "no-holding", "cut-is-death", "old-incarnation", "no-linger"}

// Change is one that is told.
type Change struct {
	Name     Name
	From, To State // From 0: it was not known
	Way      Way   // now
	Why      string
	By       Name // whose word it was
}

// Ports is all that a Node can do to the world. Calls must not call back into the node.
type Ports interface {
	Send(to Name, at Address, message []byte) // one datagram, which may be lost; to is empty where only the address is known
	Exchange(with Name, at Address)           // a full exchange over a connection: Table goes there, theirs comes to Merge
	Changed(Change)
	Stands(Part)                        // this member's own part changed
	Contested(at Address, away bool)    // another process has this member's name; away: this one gives way to it
	Stood(span Micros, asked bool)      // this member stood still
	Refused(kind string, about Address) // a message was passed over
}

// Part is where this member stands, and since when.
func (n *Node) Part() (Part, Micros) { return n.part, n.partSince }

// Member is a line of the table.
type Member struct {
	About
	State       State
	Way         Way
	Since, Trip Micros // by the clock; 0: not known
	By          Name   // whose word made the state
	Incarnation Incarnation
	Self        bool
	Holds       int
}
