package rig3

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Host is one line of the list.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

// List is an answer of discovery.
type List struct {
	Seq   int    `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// Discovery is a stand-in for the service of the list.
type Discovery struct {
	Addr    string
	c       *Case
	mu      sync.Mutex
	seq     int
	hosts   map[string]Host
	changed map[string]int // the version of each host's last change
	order   []string
	news    chan struct{} // closed at the next change
}

// StartDiscovery starts discovery with these servers, all in service.
func (c *Case) StartDiscovery(servers ...*Server) *Discovery {
	d := &Discovery{c: c, seq: 1, hosts: map[string]Host{}, changed: map[string]int{}, news: make(chan struct{})}
	for _, s := range servers {
		d.hosts[s.Name], d.changed[s.Name] = s.Line("in_service"), 1
		d.order = append(d.order, s.Name)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Impossible("discovery: %v", err)
	}
	d.Addr = ln.Addr().String()
	go http.Serve(ln, d)
	return d
}

// Change tells another line for one server.
func (d *Discovery) Change(line Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.hosts[line.Host]; !known {
		d.order = append(d.order, line.Host)
	}
	d.seq++
	d.hosts[line.Host], d.changed[line.Host] = line, d.seq
	close(d.news)
	d.news = make(chan struct{})
	d.c.Logf("discovery: version %d, %s is %s", d.seq, line.Host, line.Health)
}

// List returns the whole list.
func (d *Discovery) List() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since(-1)
}

// since returns what changed after a version; -1: all.
func (d *Discovery) since(from int) List {
	list := List{Seq: d.seq, Whole: from < 0, Hosts: []Host{}}
	for _, name := range d.order {
		if gone := d.hosts[name].Health == "terminated"; d.changed[name] > from && !(gone && from < 0) {
			list.Hosts = append(list.Hosts, d.hosts[name])
		}
	}
	return list
}

// ServeHTTP answers GET /api/targets.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from := -1
	if text := r.URL.Query().Get("from"); text != "" {
		from, _ = strconv.Atoi(text)
	}
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	over := time.After(time.Duration(hold) * time.Millisecond)
	d.mu.Lock()
	for waiting := true; waiting && from >= d.seq; {
		news := d.news
		d.mu.Unlock()
		select {
		case <-news:
		case <-over:
			waiting = false
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
	}
	text, _ := json.Marshal(d.since(from))
	d.mu.Unlock()
	w.Write(text)
}
