// Package counters counts what a sidecar takes in, sends and answers.
package counters

import (
	"fmt"
	"io"
	"runtime/debug"
	"sync/atomic"

	"github.com/rs/zerolog"
)

// Count names one counter.
type Count int

const (
	VisitsTaken Count = iota
	VisitsDelivered
	VisitsBounced
	VisitsErrored
	VisitsDropped
	VisitsOverdue
	VisitsOverHeld
	VisitsTwice
	BadInput
	ClientConnections
	ClientsEvicted
	AcceptFailures
	FetchesSent
	FetchesWritten // whole
	FetchesDelivered
	FetchesErrored
	FetchesSpoilt // of these
	AnswersCut    // long ones, by their servers
	FetchesFull
	FetchesTimedOut
	FetchesConnectFailed
	FetchesReset
	FetchesCancelled
	FetchesNeverSent
	ConnectionsOpened
	ConnectionsReused
	ConnectionsStale
	ConnectsFailedHere // for want of something on this machine; each was tried again
	ReportsRead
	ReportsUnreadable
	ListsTaken
	ListsFailed
	ListsMalformed
	ListsOutdated
	ListsSilent        // watches that fell silent
	ListEntriesSkipped // by which no server can be used
	ListsLate          // lists that were told though nobody waited for the call any more
	Reloads
	ReloadsRefused
	NotesSent
	NotesHeard
	NotesRefused
	SummariesSent
	EstimatesSent
	SummariesRefused
	CallsRefused
	Faults
	last
)

var names = [last]string{"visits_taken", "visits_delivered", "visits_bounced", "visits_errored",
	"visits_dropped", "visits_overdue", "visits_over_held", "visits_twice", "bad_input", "client_connections",
	"clients_evicted", "accept_failures", "fetches_sent", "fetches_written", "fetches_delivered", "fetches_errored", "fetches_spoilt", "answers_cut", "fetches_full",
	"fetches_timed_out", "fetches_connect_failed", "fetches_reset", "fetches_cancelled", "fetches_never_sent",
	"connections_opened", "connections_reused", "connections_stale", "connects_failed_here", "reports_read", "reports_unreadable",
	"lists_taken", "lists_failed", "lists_malformed", "lists_outdated", "lists_silent", "list_entries_skipped", "lists_late", "reloads",
	"reloads_refused", "notes_sent", "notes_heard",
	"notes_refused", "summaries_sent", "estimates_sent", "summaries_refused", "calls_refused", "faults"}

// Sheet holds the counters of one sidecar; any goroutine may add.
type Sheet [last]atomic.Int64

// Add counts one.
func (s *Sheet) Add(c Count) { s[c].Add(1) }

// Crashed books a panic that was caught: as a fault, and with its stack in the log.
func (s *Sheet) Crashed(log zerolog.Logger, what string, crash any) {
	s.Add(Faults)
	log.Error().Str("stack", string(debug.Stack())).Msgf("%s crashed: %v", what, crash)
}

// WriteTo prints a line for each counter, name and value.
func (s *Sheet) WriteTo(w io.Writer) (n int64, err error) {
	for c := range s {
		k, err := fmt.Fprintf(w, "ledgespread_%s %d\n", names[c], s[c].Load())
		if n += int64(k); err != nil {
			return n, err
		}
	}
	return n, nil
}

// MarshalZerologObject puts all that is not nought into one log line.
func (s *Sheet) MarshalZerologObject(e *zerolog.Event) {
	for c := range s {
		if v := s[c].Load(); v != 0 {
			e.Int64(names[c], v)
		}
	}
}
