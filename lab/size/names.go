package size

// Names of the slopes from which the capacity page is computed. Byte rates include 28 bytes of headers per datagram and
// are counted at the receiver, or at the relay in front of it. The page lists slopes of other names, but computes nothing
// from them.
//
// Every sidecar has, for each kind of control traffic (Kinds): KIND.bytes_in, KIND.bytes_out (B/s), KIND.messages_in and
// KIND.messages_out (1/s).
//
// The owner of a server, which is the sidecar that rendezvous hashing assigns to it, has owner.* in place of peers.*. The
// sidecar that keeps the tenants' totals has ledger.* in place of tenants.*. Both have .cpu and .memory_mb under these
// prefixes too, in place of ControlCPU and Memory.
//
// The discovery service has listservice.calls_calm and listservice.calls_worst_second (1/s), and listservice.bytes (B/s,
// sent).
const (
	ControlCPU  = "control.cpu"  // core: processor time per second for control traffic alone
	RequestCPU  = "visit.cpu_us" // us: total processor time per request
	Memory      = "memory.mb"    // MB (10^6 bytes): resident memory, for control and requests together unless What says otherwise
	Descriptors = "descriptors"  // 1: open files and sockets
	// MemberState is the size of a member's table of the other members, in KB (10^3 bytes).
	MemberState             = "membership.state_kb"
	Owner                   = "owner"
	Ledger                  = "ledger"
	ServiceCallsCalm        = "listservice.calls_calm"
	ServiceCallsWorstSecond = "listservice.calls_worst_second"
	ServiceBytesOut         = "listservice.bytes"
)

// Kinds are the kinds of control traffic of a sidecar: the server list, the membership, messages between sidecars about
// servers, and messages between sidecars about tenants.
var Kinds = []string{"list", "membership", "peers", "tenants"}

// Names of the events from which the capacity page is computed.
const (
	ListInForce    = "list.change_in_force"   // s: from a change of the server list until the last sidecar applies it
	ConfigInForce  = "config.change_in_force" // s: from a configuration change until the last sidecar applies it
	DepthCalls     = "depth.calls_at_15"      // 1: calls that reach the last hop per call at the first hop
	AddedP99       = "visit.added_p99"        // us: 99th percentile of the latency that the sidecar adds to a call
	MaxRequestRate = "visit.most_a_core"      // 1/s: maximum request rate of one sidecar on one core (Median)
)
