package membership

// This file defines the configuration of a Node, the events it reports and the types of the member table.

// Micros is a point in time or a duration, in whole microseconds of a monotonic clock.
type Micros int64

// Identifiers and counters. They are compared for equality, and counters for order; nothing else is read from
// them.
type (
	Name        string // configured name of a member; survives restarts
	Address     string // network address, in its binary form
	Instance    uint32 // one process instance of a member; a restart draws another
	Incarnation uint32 // version of what a member states about itself; the higher one wins
	Heartbeat   uint32 // counts a member's probe intervals within its incarnation
	probeID     uint32 // one probe sent by this member
)

// State is the state of another member in this member's table.
type State uint8

const (
	Alive State = iota + 1
	Suspect
	Dead
	Left
)

func (s State) String() string { return [...]string{"unknown", "alive", "suspect", "dead", "left"}[s] }

// LinkCut is the set of directions in which messages between this member and another, live one are lost.
type LinkCut uint8

const (
	OutboundCut LinkCut = 1 << iota // the other member does not receive messages of this one
	InboundCut                      // this member does not receive messages of the other one
)

func (c LinkCut) String() string {
	return [...]string{"open", "it doesn't hear this member", "this member doesn't hear it", "neither hears the other"}[c&3]
}

// PartitionSide is the side of a network partition on which a member is, judged by how many of the known members it
// reaches.
type PartitionSide uint8

const (
	Majority PartitionSide = iota + 1
	Minority
	Isolated // no other member is reached
)

func (p PartitionSide) String() string { return [...]string{"", "greater", "lesser", "alone"}[p] }

// MemberInfo is what a member announces about itself.
type MemberInfo struct {
	Name          Name
	Address       Address // receives membership messages
	BrainAddress  Address // receives the messages of package brain; empty: the member takes none
	Zone, Version string
	Instance      Instance
	Number        uint16 // of the sidecar in its deployment
}

// Config is the configuration of a Node.
type Config struct {
	Group            string // messages of other groups are ignored
	ProbeInterval    Micros // probe interval
	ExchangeInterval Micros // mean time between two full state exchanges
	DeadRetention    Micros // how long dead members are kept
	LeaveLinger      Micros // how long a departed member may still have requests in flight: its longest client timeout
	MinSenders       int    // lower limit of Node.MinSenders
	MaxMembers       int    // maximum number of members kept
	DisabledGuard    string // protection to switch off, for a test that has to fail without it: one of Guards
}

// Guards lists the values of Config.DisabledGuard. They are for tests; a sidecar never sets one.
var Guards = []string{"no-helpers", "no-standstill", "no-refutation", "no-holding", "cut-is-death", "old-incarnation", "no-linger"}

// Change is a change of the state or of the link of one member.
type Change struct {
	Name       Name
	From, To   State   // From is 0 if the member was unknown
	Cut        LinkCut // after the change
	Reason     string
	ReportedBy Name // member whose message caused the change
}

// Host is what a Node needs from its surroundings: it sends messages and takes reports. Its methods must not
// call back into the node.
type Host interface {
	Send(to Name, at Address, message []byte) // sends a datagram, which may be lost; to is empty if only the address is known
	// Exchange starts a full state exchange over a connection: it sends what EncodeTable returns, and
	// passes the reply to HandleTable.
	Exchange(with Name, at Address)
	Changed(Change)
	SideChanged(PartitionSide)           // reports that this member is on another side of a partition
	NameContested(at Address, away bool) // reports another process with this member's name; away: this process gives up the name
	Paused(span Micros, asked bool)      // reports that this process was paused for span; asked: it requests missed updates
	Rejected(kind string, about Address) // reports a rejected message or member, by the name of a counter
}

// Side returns the side of a partition on which this member is, and since when.
func (n *Node) Side() (PartitionSide, Micros) { return n.side, n.sideSince }

// Member is an entry of the member table.
type Member struct {
	MemberInfo
	State              State
	Cut                LinkCut
	Since, RTT         Micros // when the state began, by the clock; the round-trip time. 0: unknown
	ReportedBy         Name   // member whose message caused the state
	Incarnation        Incarnation
	Self               bool
	SuspicionDoublings int // how often the suspicion timeout is doubled for this member
}
