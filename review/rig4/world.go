package rig4

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Host is a server of discovery's list.
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

// List is discovery's list, or the changes of it.
type List struct {
	Version int    `json:"seq"`
	Whole   bool   `json:"whole"`
	Hosts   []Host `json:"hosts"`
}

// Discovery answers calls of the list at once, and holds watches until there is something new.
type Discovery struct {
	Address string

	mu      sync.Mutex
	list    List
	changed chan struct{}
	delay   time.Duration // of each answer
}

// NewDiscovery starts a discovery service with a list.
func (c *Case) NewDiscovery(hosts []Host) *Discovery {
	listener := c.Listen()
	d := &Discovery{Address: listener.Addr().String(), list: List{Version: 1, Whole: true, Hosts: hosts}, changed: make(chan struct{})}
	go http.Serve(listener, d)
	return d
}

// Set replaces the list.
func (d *Discovery) Set(hosts []Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = List{Version: d.list.Version + 1, Whole: true, Hosts: hosts}
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetDelay has each answer written so much later.
func (d *Discovery) SetDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// List returns the list as it is.
func (d *Discovery) List() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list
}

// ServeHTTP answers a call of the list. Changes are told by the whole list.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	d.mu.Lock()
	list, changed, delay := d.list, d.changed, d.delay
	d.mu.Unlock()
	if err == nil && from >= list.Version {
		select {
		case <-changed:
		case <-time.After(time.Duration(hold) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		if now := d.List(); now.Version != list.Version {
			list = now
		} else {
			list = List{Version: list.Version, Hosts: []Host{}}
		}
	}
	time.Sleep(delay)
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(list)
}

// Request is a request as a server has received it, with its last byte.
type Request struct {
	Server *Server
	Conn   net.Conn
	ID     string
	Key    string
	Path   string
	Body   []byte
	Wait   time.Duration // that the sidecar says it waits
	At     time.Time
}

// Server is a stand-in server.
type Server struct {
	Name, Address string
	Listener      net.Listener

	// Handle runs a request, and returns the whole answer; nil: the connection is closed without one.
	Handle func(*Request) []byte
}

// NewServer starts a server.
func (c *Case) NewServer(name string, handle func(*Request) []byte) *Server {
	s := &Server{Name: name, Listener: c.Listen(), Handle: handle}
	s.Address = s.Listener.Addr().String()
	go func() {
		for {
			conn, err := s.Listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

// Host returns the server's entry of the list.
func (s *Server) Host(site string) Host {
	return Host{Host: s.Name, Dial: s.Address, Site: site, Class: "m1", Health: "in_service", Share: 1}
}

func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		read, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(read.Body)
		if err != nil {
			return
		}
		request := &Request{Server: s, Conn: conn, ID: read.Header.Get("X-Request-ID"), Key: read.Header.Get("Idempotency-Key"), Path: read.URL.Path, Body: body,
			Wait: parseWait(read.Header.Get("X-Timeout")), At: time.Now()}
		answer := s.Handle(request)
		if answer == nil {
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}

func parseWait(text string) time.Duration {
	if text == "" {
		return 0
	}
	unit := map[byte]time.Duration{'m': time.Millisecond, 'u': time.Microsecond}[text[len(text)-1]]
	number, _ := strconv.ParseFloat(text[:len(text)-1], 64)
	return time.Duration(number * float64(unit))
}

// OK returns a 200 answer.
func OK(body string) []byte { return Status(http.StatusOK, body) }

// Status returns an answer.
func Status(code int, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", code, http.StatusText(code), len(body), body)
}

// Get returns a request without a body, as a client writes it.
func Get(path, id string, timeout time.Duration) []byte {
	return fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: %s\r\nX-Timeout: %dm\r\n\r\n", path, id, timeout.Milliseconds())
}

// Post returns a request with a body; key: its Idempotency-Key, if it isn't empty.
func Post(path, id, key string, timeout time.Duration, body []byte) []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: %s\r\nX-Timeout: %dm\r\n", path, id, timeout.Milliseconds())
	if key != "" {
		fmt.Fprintf(&text, "Idempotency-Key: %s\r\n", key)
	}
	fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n", len(body))
	text.Write(body)
	return text.Bytes()
}

// Client is a connection of a client.
type Client struct {
	Conn   net.Conn
	reader *bufio.Reader
}

// Dial connects a client to a sidecar.
func Dial(address string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Body   string
	Closes bool
}

// Read reads one answer, until the given time.
func (c *Client) Read(until time.Time) (answer Answer, err error) {
	c.Conn.SetReadDeadline(until)
	read, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer, err
	}
	body, err := io.ReadAll(read.Body)
	return Answer{read.StatusCode, string(body), read.Close}, err
}

// Do writes a request and reads its answer.
func (c *Client) Do(request []byte, wait time.Duration) (Answer, error) {
	until := time.Now().Add(wait)
	if _, err := c.Conn.Write(request); err != nil {
		return Answer{}, err
	}
	return c.Read(until)
}

// Deployment returns a configuration like that of a small deployment with two path prefixes.
func Deployment(name, listen, discovery string, known List) map[string]any {
	return map[string]any{"name": name, "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known,
		"settings": map[string]any{"azs": []string{"a", "b"}, "my_zone": 0, "me": 0, "balancers": 1, "discovery": "on_request", "step_us": 1000,
			"path_prefixes": []any{
				map[string]any{"name": "lookup", "effect": "read_like", "group": "all", "value": 1, "late_value": 0, "target_latency_us": 150_000,
					"client_timeout_us": 750_000, "memory_span_us": 5_000_000},
				map[string]any{"name": "booking", "effect": "tagged", "group": "zone", "value": 2, "late_value": 0, "target_latency_us": 600_000,
					"client_timeout_us": 3_000_000, "memory_span_us": 3_000_000}},
			"allowed": map[string]any{"cancel": true, "retry_after": true, "max_retry_after_us": 2_000_000, "max_backend_fetches": 5,
				"may_duplicate": true, "multiplex": 1, "conn_idle_us": 10_000_000, "connect_timeout_us": 75_000},
			"obligations": map[string]any{"ask_every_us": 10_000_000, "stop_sending_within_us": 500_000, "cold_from": 0.31, "cold_us": 8_600_000,
				"fall_multiple": 3.0, "fall_us": 1_500_000}}}
}

// Section returns a table of a configuration, to change it.
func Section(configuration map[string]any, names ...string) map[string]any {
	for _, name := range names {
		configuration = configuration[name].(map[string]any)
	}
	return configuration
}
