package brain

// Micros is a point in time or a span, in whole microseconds.
type Micros int64

// The kinds of id. None tells anything but sameness.
type (
	RequestID uint64 // one request that was taken in
	ServerID  uint64 // one server, the same at every sidecar
	AttemptNo uint8  // a request's attempts, counted from 0
	ClassID   uint16 // place among the classes (the settings' path prefixes)
	TenantID  uint32 // place among the tenants
	Zone      uint16 // place among the zones
	Cell      uint16 // small group of servers that share a memory of keys
	Token     uint32 // names a wake-up
	Peer      uint16 // another sidecar
)

// Result tells how an attempt ended.
type Result uint8

const (
	Succeeded     Result = iota + 1
	AnsweredError        // answered with an error; may have run
	Overloaded           // rejected unseen
	TimedOut             // no answer in time; may have run
	ConnectFailed        // no connection; never ran
	Reset                // connection broke unanswered; may have run
	Cancelled            // called off; may have run
	NeverSent            // did not go out
)

// Standing is what the list says of a server.
type Standing uint8

const (
	Gone Standing = iota
	Draining
	Ready
)

// News says what kind of list came.
type News uint8

const (
	Changes    News = iota // changed lines only
	Whole                  // the complete list
	Saved                  // the complete list as last held, perhaps outdated
	NoListCame             // a call failed or the subscription broke
)

// MessageKind is a kind of message between sidecars.
type MessageKind uint8

const (
	TenantsUse   MessageKind = iota + 1 // requests of each tenant since the last one, to the ledger's keeper
	TenantsTotal                        // what all sidecars lately took in of each tenant, from it
	Ask                                 // how is a server?, to its owner
	Quote                               // its latency per unit of work (infinite: it is ejected), requests held
	Began                               // an attempt went to it
	Waits                               // one waits too long there: since when, as a span
	Ended                               // one ended: Result, latency, work, work times requests held
)

// Settings holds the settings of the place the sidecar runs in: plain names ("allowed.cancel",
// "path_prefixes.0.value") to a float64, string or bool.
type Settings map[string]any

// Reason is why a request got an answer that is no server's, as the log and the tally call it.
type Reason string

// The reasons.
const (
	TurnedNoServer Reason = "turned_no_server" // no server may have it
	TurnedCrowded  Reason = "turned_crowded"   // admission control refused it
	TurnedLate     Reason = "turned_late"      // no time is left for another attempt
	TurnedDenied   Reason = "turned_denied"    // the retry bucket is empty
	EndedLate      Reason = "ended_late"       // its time is up
)

// Ports is all that the module can do to the world. Calls must not call back into the module.
type Ports interface {
	// Dispatch sends an attempt. tryFor 0: until the client leaves.
	Dispatch(request RequestID, server ServerID, tryFor Micros)
	// Reject is a final answer: the request may be sent again, without harm.
	Reject(request RequestID, retryAfter Micros, why Reason)
	// Fail is a final answer that promises nothing.
	Fail(request RequestID, why Reason)
	// Cancel stops waiting for one attempt.
	Cancel(request RequestID, no AttemptNo)
	// Wake has Balancer.Woken called after this span.
	Wake(in Micros, token Token)
	// CloseIdle gives back a server's connections that carry nothing.
	CloseIdle(server ServerID)
	// Subscribe asks the list to send its changes.
	Subscribe()
	// Tell sends a short message to another sidecar; it may be lost.
	Tell(to Peer, kind MessageKind, about ServerID, figures ...float64)
	// Print logs one line for the operators.
	Print(line string)
}

// say tells another sidecar something by the Ports, or hears it where that is this one.
func (b *Balancer) say(to Peer, kind MessageKind, about ServerID, figures ...float64) {
	if to == b.me {
		b.Heard(b.now, to, kind, about, figures...)
		return
	}
	b.ports.Tell(to, kind, about, figures...)
}
