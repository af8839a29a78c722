// Package list is a stand-in for discovery, written from the protocol page: the whole list, watches, and its troubles
// (late, out of reach, moved). It keeps an account of what it told to whom.
package list

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"ledgespread/lab/chance"
	"ledgespread/lab/clock"
)

type Micros = clock.Micros

// Host is one backend in the list.
type Host struct {
	Name, Zone, Model string
	Cell              int
	Health            string // in_service, terminating, terminated
	Share             float64
	Born              Micros // 0: long ago
	Step              Micros // of the wall clock, by which that is told
	Dial              func(reader string) string
}

type change struct {
	seq  int
	host Host
	at   Micros
}

// Told is one line of the account: this sidecar was told of this version.
type Told struct {
	Reader string
	Seq    int
	At     Micros
	Asked  Micros // its call began; as At, where it was told at its start
}

// Changed is a change of the list, as it came into force: what Told's versions are compared with.
type Changed struct {
	Seq    int
	Host   string
	Health string
	At     Micros // it happened
	Shown  Micros // the list showed it
}

// Call is one call in the account.
type Call struct {
	Reader, Address string
	Began, Ended    Micros // -1: not yet
	Seq             int    // of the list that it was told; 0: none
	How             string
}

// How a call ended.
const (
	CallAnswered = "answered"
	CallRefused  = "refused"
	CallDropped  = "dropped" // the reader ended it first
)

// Trouble is what ails the service.
type Trouble struct {
	Work   Micros  // a call takes so long, and they are worked through one after another; what would wait for too long is refused
	Refuse float64 // part of the calls that are refused at once
	Silent float64 // part of the calls that get no answer
	Late   Micros  // an answer is written up to so long after it is due, each by its own chance
}

// Forms are how answers are written.
type Forms struct {
	Whole    float64 // part of the answers to watches that are the whole list
	Together Micros  // changes that are shown within the same span of this length are one version; 0: each is its own
}

// longestHold is how long a call is held at the most, in milliseconds.
const longestHold = 60_000

// longestQueue is how long a call waits for its turn at the most.
const longestQueue = 2 * clock.Second

// List is the service. Each reader has an address of its own, and so is known.
type List struct {
	clock *clock.Clock

	mu      sync.Mutex
	seq     int
	hosts   map[string]Host
	order   []string
	changes []change
	news    chan struct{}
	down    bool
	late    Micros
	trouble Trouble
	forms   Forms
	pending map[Micros][]Host // changes that are shown together, by when
	shift   int               // versions are told lower by so much, since the service started anew
	odd     bool              // an entry that nobody can use stands in every answer
	free    Micros            // its queue is worked off
	draw    *chance.Source
	told    []Told
	calls   []*Call
	log     []Changed
	readers map[string]*reader
	Calls   int
	Failed  int
	Lines   int
}

type reader struct {
	name   string
	server *http.Server
	at     string

	mu   sync.Mutex
	open map[net.Conn]bool
}

// note keeps the connections that are open.
func (r *reader) note(c net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open[c] = true; state == http.StateClosed {
		delete(r.open, c)
	}
}

// drop breaks the connections that are open.
func (r *reader) drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		c.Close()
	}
}

// New is a list without backends.
func New(c *clock.Clock) *List {
	return &List{clock: c, draw: chance.New(1, "list"), hosts: map[string]Host{}, news: make(chan struct{}), readers: map[string]*reader{}, pending: map[Micros][]Host{}}
}

// Set brings a backend in, or changes it; the list shows that when its notice is over.
func (l *List) Set(h Host, notice Micros) {
	happened := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	notice += l.late
	if l.forms.Together <= 0 {
		if notice <= 0 {
			l.show(happened, h)
			return
		}
		time.AfterFunc(notice.Duration(), func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.show(happened, h)
		})
		return
	}
	due := (happened + notice + l.forms.Together) / l.forms.Together * l.forms.Together
	l.pending[due] = append(l.pending[due], h)
	if len(l.pending[due]) == 1 {
		time.AfterFunc((due - happened).Duration(), func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.show(happened, l.pending[due]...)
			delete(l.pending, due)
		})
	}
}

// show makes a new version of these backends; the lock is held.
func (l *List) show(happened Micros, hosts ...Host) {
	l.seq++
	for _, h := range hosts {
		if _, there := l.hosts[h.Name]; !there {
			l.order = append(l.order, h.Name)
		}
		l.hosts[h.Name] = h
		l.changes = append(l.changes, change{l.seq, h, happened})
		l.log = append(l.log, Changed{l.seq, h.Name, h.Health, happened, l.clock.Now()})
	}
	close(l.news)
	l.news = make(chan struct{})
}

// SetForms has answers be written so from now on.
func (l *List) SetForms(f Forms) { l.mu.Lock(); l.forms = f; l.mu.Unlock() }

// SetOdd has an entry that nobody can use stand in every answer, or no longer.
func (l *List) SetOdd(on bool) { l.mu.Lock(); l.odd = on; l.mu.Unlock() }

// Anew has the service start anew: its connections break, and it counts its versions from the beginning.
func (l *List) Anew() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shift = l.seq - 1
	for _, r := range l.readers {
		r.drop()
	}
	close(l.news)
	l.news = make(chan struct{})
}

// Born is when a backend that the list has says that it started; 0: long ago.
func (l *List) Born(name string) Micros {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hosts[name].Born
}

// SetDown has every call fail, and ends the watches.
func (l *List) SetDown(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = on
	close(l.news)
	l.news = make(chan struct{})
}

// SetTrouble has the service ail from now on; chance is by seed.
func (l *List) SetTrouble(t Trouble, seed uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trouble, l.draw = t, chance.New(seed, "list")
}

// SetLate adds to the notice of what happens from now on.
func (l *List) SetLate(by Micros) { l.mu.Lock(); l.late = by; l.mu.Unlock() }

// Address is the reader's own, where it may ask.
func (l *List) Address(name string) (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.readers[name]; r != nil {
		return r.at, nil
	}
	return l.open(name)
}

// Move gives a reader another address; the old one takes nothing new, and its connections close.
func (l *List) Move(name string) (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.readers[name]
	at, err := l.open(name)
	if err == nil && old != nil {
		time.AfterFunc(1500*time.Millisecond, func() { old.server.Close() })
	}
	return at, err
}

func (l *List) open(name string) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	r := &reader{name: name, at: ln.Addr().String(), open: map[net.Conn]bool{}}
	r.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { l.answer(r, w, q) }), ConnState: r.note}
	go r.server.Serve(ln)
	l.readers[name] = r
	return r.at, nil
}

// Close ends the service.
func (l *List) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.readers {
		r.server.Close()
	}
}

// Whole is the list as this reader would be told it, for a configuration's "known". starts: its process begins with it, and so is told. One
// that runs does not read it again.
func (l *List) Whole(name string, starts bool) json.RawMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	if starts {
		now := l.clock.Now()
		l.told = append(l.told, Told{name, l.seq, now, now})
	}
	return l.render(name, true, 0)
}

// render is an answer's body. Called with the lock held.
func (l *List) render(name string, whole bool, after int) json.RawMessage {
	hosts := []map[string]any{}
	line := func(h Host) {
		born := int64(0)
		if h.Born > 0 {
			born = l.clock.Wall(h.Born + h.Step)
		}
		l.Lines++
		hosts = append(hosts, map[string]any{"host": h.Name, "dial": h.Dial(name), "site": h.Zone, "class": h.Model,
			"block": h.Cell, "health": h.Health, "share": h.Share, "born_ms": born})
	}
	if whole {
		for _, n := range l.order {
			if h := l.hosts[n]; h.Health != "terminated" {
				line(h)
			}
		}
	} else {
		for _, c := range l.changes {
			if c.seq > after {
				line(c.host)
			}
		}
	}
	if l.odd {
		hosts = append(hosts, map[string]any{"host": "odd", "dial": "", "site": "nowhere", "class": "", "block": 0, "health": "unknown", "share": 1, "born_ms": 0})
	}
	text, _ := json.Marshal(map[string]any{"seq": l.seq - l.shift, "whole": whole, "hosts": hosts})
	return text
}

// AllCalls is the account of all calls.
func (l *List) AllCalls() (out []Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.calls {
		out = append(out, *c)
	}
	return out
}

// Accounts are what was told to whom, and what changed.
func (l *List) Accounts() ([]Told, []Changed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Told(nil), l.told...), append([]Changed(nil), l.log...)
}
