package backend

import "container/list"

// Outcome is how a request ended at its backend.
type Outcome string

const (
	Waiting    Outcome = ""
	Delivered  Outcome = "delivered"
	Repeat     Outcome = "repeat"      // answered without a second effect, because its idempotency key was known
	Rejected   Outcome = "turned away" // rejected with a 503 and never run
	Errored    Outcome = "errored"
	Malformed  Outcome = "spoilt"     // answered with a malformed response
	Unanswered Outcome = "mute"       // accepted and never answered
	Canceled   Outcome = "called off" // canceled by the sidecar
	Died       Outcome = "died"       // its backend was killed
)

// Entry is a backend's record of one request.
type Entry struct {
	Backend  string
	ID       string // the client's X-Request-ID
	Tag      string // the idempotency key
	Prefix   int
	Tenant   string
	Key      uint64
	Work     Micros
	First    Micros // when its first byte arrived
	Arrived  Micros // when its last byte arrived
	TimeLeft Micros // the time left by its X-Timeout header; -1: none
	Started  Micros // when a core started it; -1: never
	Ended    Micros
	Outcome  Outcome
	Cost     Micros // core time it took
	onFinish func(*Entry)

	unanswered bool   // its connection is reset in place of an answer
	done       Micros // when its core finishes it
	queued     *list.Element
}

// Ran reports whether a core started it.
func (e *Entry) Ran() bool { return e.Started >= 0 }

// KnownKeys are the idempotency keys that a group of backends (all, or those of a zone or a cell) remembers.
type KnownKeys struct {
	window Micros
	seen   map[string]Micros
}

// NewKnownKeys returns KnownKeys that remember a key for this long from its first run.
func NewKnownKeys(window Micros) *KnownKeys { return &KnownKeys{window, map[string]Micros{}} }

// seenBefore reports whether the tag was first run within the window, and records it if not.
func (k *KnownKeys) seenBefore(tag string, now Micros) bool {
	if k == nil || tag == "" {
		return false
	}
	first, known := k.seen[tag]
	if known && now < first+k.window {
		return true
	}
	k.seen[tag] = now
	return false
}
