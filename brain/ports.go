package brain

// Micros is a point in time or a span, in whole microseconds.
type Micros int64

// The kinds of id. None tells anything but sameness.
type (
	VisitID uint64 // one accepted visit
	Backend uint64 // one server, the same at every sidecar
	FetchNo uint8  // a visit's backend fetches, counted from 0
	Prefix  uint16 // place among the path prefixes
	Tenant  uint32 // place among the tenants
	Zone    uint16 // place among the data centres
	Cell    uint16 // small group of servers that share a memory of tags
	Token   uint32 // names a wake-up
	Peer    uint16 // another sidecar
)

// Result tells how a backend fetch ended.
type Result uint8

const (
	Delivered     Result = iota + 1
	Errored              // answered with an error; may have run
	Full                 // turned away unseen
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

// Note is a kind of message between sidecars.
type Note uint8

const (
	TenantsUse   Note = iota + 1 // visits of each tenant since the last one, to the ledger
	TenantsTotal                 // what all sidecars lately took in of each tenant, from it
	Ask                          // how is a server?, to its owner
	Quote                        // its answer time per unit of work (infinite: it sits out), visits held
	Began                        // a visit went to it
	Waits                        // one waits too long there: since when, as a span
	Ended                        // one ended: Result, time it took, work, work times visits held
)

// Site holds the settings of the place the sidecar runs in: plain names ("allowed.cancel",
// "path_prefixes.0.value") to a float64, string or bool.
type Site map[string]any

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
	Dispatch(v VisitID, be Backend, tryFor Micros)              // one backend fetch; tryFor 0: until the client quits
	Bounce(v VisitID, comeBackIn Micros, why Reason)            // final: a retry is harmless
	ErrorPage(v VisitID, why Reason)                            // final: promises nothing
	Cancel(v VisitID, no FetchNo)                               // stop waiting for one fetch
	Wake(in Micros, t Token)                                    // Balancer.Woken(t) is due after this
	CloseIdle(be Backend)                                       // give back connections that carry nothing
	Subscribe()                                                 // ask the list to send its changes
	Tell(to Peer, kind Note, about Backend, figures ...float64) // a short message to another sidecar; may be lost
	Print(line string)                                          // one line for the operators
}

// say tells another sidecar something by the Ports, or hears it where that is this one.
func (b *Balancer) say(to Peer, kind Note, about Backend, figures ...float64) {
	if to == b.me {
		b.Heard(b.now, to, kind, about, figures...)
		return
	}
	b.out.Tell(to, kind, about, figures...)
}
