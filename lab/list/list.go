// Package list simulates the discovery service: it serves the full list of backends and watches for changes,
// and can inject faults (late, unreachable, moved). It records which version was sent to which sidecar.
package list

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"ledgespread/lab/clock"
	"ledgespread/lab/rng"
)

type Micros = clock.Micros

// Host is one backend in the list.
type Host struct {
	Name, Zone, Model string
	Cell              int
	Health            string // in_service, terminating, terminated
	Share             float64
	Born              Micros                     // start time; 0: long ago
	Step              Micros                     // wall clock offset that is added to the published start time
	Dial              func(reader string) string // returns the address at which this reader reaches the backend
}

// change is a version of one backend's entry, as a watch delivers it.
type change struct {
	seq  int
	host Host
	at   Micros
}

// Delivery records that a version was sent to a sidecar.
type Delivery struct {
	Reader      string
	Seq         int
	At          Micros
	CallStarted Micros // when its call began; the same as At for the list in a configuration file
}

// Change records a change of the list and the version that published it.
type Change struct {
	Seq       int
	Host      string
	Health    string
	At        Micros // when it happened
	Published Micros // when the list published it
}

// Call is the record of one call to the service.
type Call struct {
	Reader, Address string
	Began, Ended    Micros // -1: not yet
	Seq             int    // the version in the answer; 0: none
	Outcome         string
}

// The values of Call.Outcome: the outcome of a call.
const (
	CallAnswered = "answered"
	CallRefused  = "refused"
	CallDropped  = "dropped" // the reader ended it first
)

// Trouble is a degraded state of the service.
type Trouble struct {
	Work   Micros  // processing time of a call; calls are processed one at a time, and refused when the queue is too long
	Refuse float64 // fraction of calls that are refused at once
	Silent float64 // fraction of calls that get no answer
	Late   Micros  // maximum extra delay of an answer; each delay is drawn at random
}

// Forms configures how answers are composed.
type Forms struct {
	FullFraction  float64 // fraction of the answers to watches that contain the full list
	BatchInterval Micros  // changes within the same interval of this length become one version; 0: each gets its own
}

// maxHoldMillis is the maximum time that a watch is held open, in milliseconds.
const maxHoldMillis = 60_000

// maxQueueWait is the maximum time that a call waits in the queue.
const maxQueueWait = 2 * clock.Second

// List is the service. Each reader (a sidecar) calls it at an address of its own, which identifies the
// reader.
type List struct {
	clock *clock.Clock

	mu            sync.Mutex
	seq           int
	hosts         map[string]Host
	order         []string
	changes       []change
	changed       chan struct{} // closed and replaced at each change, to wake held calls
	down          bool
	late          Micros // added to the notice of each change
	trouble       Trouble
	forms         Forms
	pending       map[Micros][]Host // changes to be published together, by time of publication
	versionOffset int               // subtracted from versions in answers since the simulated restart
	unusableEntry bool              // every answer contains an unusable entry
	closed        chan struct{}     // closed with the service
	queueFreeAt   Micros            // when the queue of calls will be empty
	random        *rng.Source
	deliveries    []Delivery
	calls         []*Call
	changeLog     []Change
	readers       map[string]*reader
	Calls         int // all calls
	Failed        int // refused calls
	Lines         int // entries rendered into answers
}

// reader is the HTTP server for one sidecar.
type reader struct {
	name   string
	server *http.Server
	at     string

	mu          sync.Mutex
	open        map[net.Conn]*connection
	silentUntil time.Time // connections that are opened before are silent from the start
	armed       bool      // all connections fall silent soon after the next held call
}

// closeConnections closes the open connections.
func (r *reader) closeConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.open {
		conn.Close()
	}
}

// New returns a list without backends.
func New(runClock *clock.Clock) *List {
	return &List{clock: runClock, random: rng.New(1, "list"), hosts: map[string]Host{}, changed: make(chan struct{}), closed: make(chan struct{}), readers: map[string]*reader{}, pending: map[Micros][]Host{}}
}

// Set adds or changes a backend; the list publishes that after the notice.
func (l *List) Set(backend Host, notice Micros) {
	happened := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	notice += l.late
	if l.forms.BatchInterval <= 0 {
		if notice <= 0 {
			l.publish(happened, backend)
			return
		}
		time.AfterFunc(notice.Duration(), func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.publish(happened, backend)
		})
		return
	}
	due := (happened + notice + l.forms.BatchInterval) / l.forms.BatchInterval * l.forms.BatchInterval
	l.pending[due] = append(l.pending[due], backend)
	if len(l.pending[due]) == 1 {
		time.AfterFunc((due - happened).Duration(), func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.publish(happened, l.pending[due]...)
			delete(l.pending, due)
		})
	}
}

// publish publishes a new version with these backends. l.mu is held.
func (l *List) publish(happened Micros, hosts ...Host) {
	l.seq++
	for _, backend := range hosts {
		if _, known := l.hosts[backend.Name]; !known {
			l.order = append(l.order, backend.Name)
		}
		l.hosts[backend.Name] = backend
		l.changes = append(l.changes, change{l.seq, backend, happened})
		l.changeLog = append(l.changeLog, Change{l.seq, backend.Name, backend.Health, happened, l.clock.Now()})
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// SetAnswerForms sets how answers are composed from now on.
func (l *List) SetAnswerForms(forms Forms) { l.mu.Lock(); l.forms = forms; l.mu.Unlock() }

// SetUnusableEntry sets whether every answer contains an unusable entry.
func (l *List) SetUnusableEntry(on bool) { l.mu.Lock(); l.unusableEntry = on; l.mu.Unlock() }

// Restart simulates a restart of the service: connections break, and versions count from 1 again.
func (l *List) Restart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versionOffset = l.seq - 1
	for _, open := range l.readers {
		open.closeConnections()
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// Born returns the start time that the list gives for a backend; 0: long ago.
func (l *List) Born(name string) Micros {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hosts[name].Born
}

// SetDown sets whether every call fails, and ends the open watches.
func (l *List) SetDown(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = on
	close(l.changed)
	l.changed = make(chan struct{})
}

// SetTrouble sets the degraded state from now on, with random draws from seed.
func (l *List) SetTrouble(trouble Trouble, seed uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trouble, l.random = trouble, rng.New(seed, "list")
}

// SetLate sets a delay that is added to the notice of later changes.
func (l *List) SetLate(by Micros) { l.mu.Lock(); l.late = by; l.mu.Unlock() }

// Address returns the address for this reader's calls, and opens it at the first use.
func (l *List) Address(name string) (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.readers[name]; known != nil {
		return known.at, nil
	}
	return l.openReader(name)
}

// Move opens another address for a reader. The old one closes with its connections after 1.5 s.
func (l *List) Move(name string) (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.readers[name]
	at, err := l.openReader(name)
	if err == nil && old != nil {
		time.AfterFunc(1500*time.Millisecond, func() { old.server.Close() })
	}
	return at, err
}

// openReader starts the HTTP server for a reader. l.mu is held.
func (l *List) openReader(name string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	opened := &reader{name: name, at: listener.Addr().String(), open: map[net.Conn]*connection{}}
	opened.server = &http.Server{Handler: http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) { l.serve(opened, response, request) }),
		ConnContext: opened.addConnection, ConnState: opened.removeConnection}
	go opened.server.Serve(listener)
	l.readers[name] = opened
	return opened.at, nil
}

// Close ends the service.
func (l *List) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	for _, open := range l.readers {
		open.server.Close()
	}
}

// FullList returns the full list as this reader gets it, for the "known" key of its configuration. starts says
// that the reader's process is about to start with it, which is recorded; a running process doesn't read the
// key again.
func (l *List) FullList(name string, starts bool) json.RawMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	if starts {
		now := l.clock.Now()
		l.deliveries = append(l.deliveries, Delivery{name, l.seq, now, now})
	}
	return l.render(name, true, 0)
}

// render returns the body of an answer: the full list, or the changes after a version. l.mu is held.
func (l *List) render(name string, whole bool, after int) json.RawMessage {
	hosts := []map[string]any{}
	add := func(backend Host) {
		born := int64(0)
		if backend.Born > 0 {
			born = l.clock.Wall(backend.Born + backend.Step)
		}
		l.Lines++
		hosts = append(hosts, map[string]any{"host": backend.Name, "dial": backend.Dial(name), "site": backend.Zone, "class": backend.Model,
			"block": backend.Cell, "health": backend.Health, "share": backend.Share, "born_ms": born})
	}
	if whole {
		for _, hostName := range l.order {
			if backend := l.hosts[hostName]; backend.Health != "terminated" {
				add(backend)
			}
		}
	} else {
		for _, published := range l.changes {
			if published.seq > after {
				add(published.host)
			}
		}
	}
	if l.unusableEntry {
		hosts = append(hosts, map[string]any{"host": "odd", "dial": "", "site": "nowhere", "class": "", "block": 0, "health": "unknown", "share": 1, "born_ms": 0})
	}
	text, _ := json.Marshal(map[string]any{"seq": l.seq - l.versionOffset, "whole": whole, "hosts": hosts})
	return text
}

// AllCalls returns the records of all calls.
func (l *List) AllCalls() (out []Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, call := range l.calls {
		out = append(out, *call)
	}
	return out
}

// Accounts returns which versions were sent to which reader, and the changes of the list.
func (l *List) Accounts() ([]Delivery, []Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Delivery(nil), l.deliveries...), append([]Change(nil), l.changeLog...)
}
