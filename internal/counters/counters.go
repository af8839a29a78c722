// Package counters counts the requests, attempts, connections and messages of a sidecar for its log and
// metrics. The metrics call a client's request a visit, an attempt at a server a fetch, and a message between
// sidecars a note.
package counters

import (
	"fmt"
	"io"
	"runtime/debug"
	"sync/atomic"

	"github.com/rs/zerolog"
)

// Count identifies a counter.
type Count int

// The counters. names has their names in the metrics, in the same order.
const (
	RequestsAccepted  Count = iota // accepted requests
	RequestsDelivered              // requests answered by a server
	RequestsRejected               // requests rejected
	RequestsErrored                // requests answered with an error
	RequestsAbandoned              // requests whose client disconnected
	RequestsTimedOut               // requests without an answer within the client timeout
	RequestsOverLimit              // requests over the limit of concurrent requests
	RequestsDuplicate              // requests with an ID that is in use
	RequestsMalformed              // malformed requests
	ClientConnections
	ClientsEvicted
	AcceptFailures
	AttemptsStarted         // attempts started
	AttemptsWritten         // attempts whose request was written completely
	AttemptsSucceeded       // attempts answered with success
	AttemptsErrored         // attempts answered with an error
	AttemptsMalformedAnswer // attempts with a malformed answer; also counted as errored
	AnswersTruncated        // streamed answers that their servers cut off
	AttemptsRejected        // attempts rejected by an overloaded server
	AttemptsTimedOut
	AttemptsConnectFailed
	AttemptsReset
	AttemptsCancelled
	AttemptsNotSent
	ConnectionsOpened
	ConnectionsReused
	ConnectionsStale      // idle connections not reused: too old, closed by the server, or to a former address
	ConnectsFailedLocally // for a shortage of resources on this machine; each was retried
	LoadReportsRead       // load reports of servers
	LoadReportsMalformed  // load reports that are malformed
	ListsAccepted         // lists accepted from discovery
	ListCallsFailed       // failed calls to discovery
	ListsMalformed        // lists rejected as malformed
	ListsOutdated         // lists ignored because a newer one was accepted before
	ListCallsTimedOut     // calls to discovery that timed out
	ListEntriesSkipped    // unusable entries of lists
	ListsLate             // lists accepted after their call had timed out
	ListCalls             // calls to discovery
	Reloads               // configuration reloads
	ReloadsRejected       // configuration reloads rejected
	MessagesSent          // messages sent to other sidecars
	MessagesReceived      // messages received from other sidecars
	MessagesRejected      // messages rejected: unknown sender or receiver, malformed, or too long
	SummariesSent
	EstimatesSent
	SummariesRejected
	ConsoleCallsRejected // rejected calls of operators
	Faults               // caught panics and other internal errors
	numCounters
)

// names are the names of the counters in the metrics, by Count.
var names = [numCounters]string{"visits_taken", "visits_delivered", "visits_bounced", "visits_errored",
	"visits_dropped", "visits_overdue", "visits_over_held", "visits_twice", "bad_input", "client_connections",
	"clients_evicted", "accept_failures", "fetches_sent", "fetches_written", "fetches_delivered", "fetches_errored", "fetches_spoilt", "answers_cut", "fetches_full",
	"fetches_timed_out", "fetches_connect_failed", "fetches_reset", "fetches_cancelled", "fetches_never_sent",
	"connections_opened", "connections_reused", "connections_stale", "connects_failed_here", "reports_read", "reports_unreadable",
	"lists_taken", "lists_failed", "lists_malformed", "lists_outdated", "lists_silent", "list_entries_skipped", "lists_late", "lists_asked", "reloads",
	"reloads_refused", "notes_sent", "notes_heard",
	"notes_refused", "summaries_sent", "estimates_sent", "summaries_refused", "calls_refused", "faults"}

// Set holds the values of all counters of one sidecar. It is safe for concurrent use.
type Set [numCounters]atomic.Int64

// Add increments a counter.
func (s *Set) Add(c Count) { s[c].Add(1) }

// RecordPanic counts a recovered panic as a fault and logs it with its stack. operation says what panicked.
func (s *Set) RecordPanic(log zerolog.Logger, operation string, crash any) {
	s.Add(Faults)
	log.Error().Str("stack", string(debug.Stack())).Msgf("%s crashed: %v", operation, crash)
}

// WriteTo writes one line with name and value for each counter.
func (s *Set) WriteTo(w io.Writer) (n int64, err error) {
	for c := range s {
		written, err := fmt.Fprintf(w, "ledgespread_%s %d\n", names[c], s[c].Load())
		if n += int64(written); err != nil {
			return n, err
		}
	}
	return n, nil
}

// MarshalZerologObject adds all counters that are not zero to a log event.
func (s *Set) MarshalZerologObject(e *zerolog.Event) {
	for c := range s {
		if value := s[c].Load(); value != 0 {
			e.Int64(names[c], value)
		}
	}
}
