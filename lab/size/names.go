package size

// Names of the slopes that the page works with. Bytes are with 28 of headers a datagram, counted at the receiving stand-in
// or receiver. What a report measures under another name is printed apart and works nothing out.
//
// Of every sidecar, for each kind of control (Kinds): KIND.bytes_in, KIND.bytes_out (B/s), KIND.messages_in,
// KIND.messages_out (1/s).
//
// Of the one sidecar that owns a server's count (owner.) and of the one that keeps the tenants' totals (ledger.): all of its
// messages of that kind, in place of what an ordinary sidecar has under peers. and tenants. Theirs too are owner.cpu,
// owner.memory_mb, ledger.cpu, ledger.memory_mb, in place of ControlCPU and Memory.
//
// Of the list's service: listservice.calls_calm, listservice.calls_worst_second (1/s), listservice.bytes (B/s, out).
const (
	ControlCPU = "control.cpu"  // core: processor time for control alone, a second
	VisitCPU   = "visit.cpu_us" // us: processor time a visit, all included
	Memory     = "memory.mb"    // MB (millions of bytes) resident, control and visits together unless What says otherwise
	Descriptor = "descriptors"  // 1: files and sockets open
	// MemberState is what a member holds of the others, KB (thousands of bytes).
	MemberState = "membership.state_kb"
	Owner       = "owner"
	Ledger      = "ledger"
	ServiceNow  = "listservice.calls_calm"
	ServiceMax  = "listservice.calls_worst_second"
	ServiceOut  = "listservice.bytes"
)

// Kinds are what a sidecar spends messages on besides visits: the list, who is there, what sidecars tell each other of
// servers, what they tell of tenants.
var Kinds = []string{"list", "membership", "peers", "tenants"}

// Names of the events that the page works with.
const (
	ListInForce   = "list.change_in_force"   // s: from a change of the list to the last sidecar that goes by it
	ConfigInForce = "config.change_in_force" // s: from a change of configuration to the last sidecar that goes by it
	DepthCalls    = "depth.calls_at_15"      // 1: calls that reach the last hop, for one at the top
	AddedP99      = "visit.added_p99"        // us: what the sidecar adds to a call, for 99 in 100
	MostVisits    = "visit.most_a_core"      // 1/s: visits that one sidecar carries on one core (Median)
)
