// Package list is a stand-in for discovery, written from the protocol page: the whole list, watches, and its troubles
// (late, out of reach, moved). It keeps an account of what it told to whom.
package list

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

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
}

// Changed is a change of the list, as it came into force: what Told's versions are compared with.
type Changed struct {
	Seq    int
	Host   string
	Health string
	At     Micros // it happened
	Shown  Micros // the list showed it
}

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
	told    []Told
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
}

// New is a list without backends.
func New(c *clock.Clock) *List {
	return &List{clock: c, hosts: map[string]Host{}, news: make(chan struct{}), readers: map[string]*reader{}}
}

// Set brings a backend in, or changes it; the list shows that when its notice is over.
func (l *List) Set(h Host, notice Micros) {
	happened := l.clock.Now()
	l.mu.Lock()
	notice += l.late
	l.mu.Unlock()
	show := func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if _, there := l.hosts[h.Name]; !there {
			l.order = append(l.order, h.Name)
		}
		l.seq++
		l.hosts[h.Name] = h
		l.changes = append(l.changes, change{l.seq, h, happened})
		l.log = append(l.log, Changed{l.seq, h.Name, h.Health, happened, l.clock.Now()})
		close(l.news)
		l.news = make(chan struct{})
	}
	if notice <= 0 {
		show()
		return
	}
	time.AfterFunc(notice.Duration(), show)
}

// SetDown has every call fail, and ends the watches.
func (l *List) SetDown(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = on
	close(l.news)
	l.news = make(chan struct{})
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
	r := &reader{name: name, at: ln.Addr().String()}
	r.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { l.answer(r, w, q) })}
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

// Whole is the list as this reader would be told it, for a configuration's "known".
func (l *List) Whole(name string) json.RawMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told = append(l.told, Told{name, l.seq, l.clock.Now()})
	return l.render(name, true, 0)
}

// render is an answer's body. Called with the lock held.
func (l *List) render(name string, whole bool, after int) json.RawMessage {
	hosts := []map[string]any{}
	line := func(h Host) {
		born := int64(0)
		if h.Born > 0 {
			born = l.clock.Wall(h.Born)
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
	text, _ := json.Marshal(map[string]any{"seq": l.seq, "whole": whole, "hosts": hosts})
	return text
}

func (l *List) answer(r *reader, w http.ResponseWriter, q *http.Request) {
	from, err := strconv.Atoi(q.URL.Query().Get("from"))
	watches := err == nil
	hold, _ := strconv.Atoi(q.URL.Query().Get("hold_ms"))
	until := time.After(time.Duration(min(hold, 60_000)) * time.Millisecond)
	l.mu.Lock()
	l.Calls++
	for waited := false; !l.down && watches && from >= l.seq && hold > 0 && !waited; {
		news := l.news
		l.mu.Unlock()
		select {
		case <-news:
		case <-until:
			waited = true
		case <-q.Context().Done():
			waited = true
		}
		l.mu.Lock()
	}
	if l.down {
		l.Failed++
		l.mu.Unlock()
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, seq := l.render(r.name, !watches || from > l.seq, from), l.seq
	l.mu.Unlock()
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := w.Write(body); err == nil && http.NewResponseController(w).Flush() == nil {
		l.mu.Lock()
		l.told = append(l.told, Told{r.name, seq, l.clock.Now()})
		l.mu.Unlock()
	}
}

// Accounts are what was told to whom, and what changed.
func (l *List) Accounts() ([]Told, []Changed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Told(nil), l.told...), append([]Changed(nil), l.log...)
}
