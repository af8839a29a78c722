package scale

// A discovery service for the fleet, with simulated overload and outages.

import (
	"encoding/json"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Service is a discovery service. It serves full server lists and watches for changes. To simulate overload it
// can process calls one at a time, each for a fixed time, and refuse calls beyond its queue. Each reader has an
// address of its own, which identifies it.
type Service struct {
	answerTime time.Duration // processing time of one answer; 0 means none
	queue      int           // maximum number of answers waiting to be processed

	mu        sync.Mutex
	version   int
	order     []string
	hosts     map[string]host
	changes   []host
	encoded   []byte // the encoded list; nil after a change
	changed   chan struct{}
	down      bool
	busyUntil time.Time // when the processing of accepted calls ends
	waiting   int
	started   time.Time
	calls     [countedSeconds]int // by second since started
	refused   int

	server    *fasthttp.Server
	listeners []net.Listener
	readers   map[string]*Reader // by address
}

// countedSeconds is the number of seconds for which calls are counted.
const countedSeconds = 512

// Reader is a sidecar as a client of the service, with its counters.
type Reader struct {
	Number  int // of the sidecar
	Address string
	In, Out atomic.Int64 // bytes of HTTP headers and bodies that the service read and wrote
	Calls   atomic.Int64
	Refused atomic.Int64

	mu          sync.Mutex
	firstServed map[int]time.Time // when each list version was first served to it
	lastWatch   time.Time         // start of its last call, if that was a watch
	intervals   []float64         // seconds from each watch to the following call
}

// recordCall records a call that begins now; watch says whether the service may hold it until a change.
func (r *Reader) recordCall(watch bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if !r.lastWatch.IsZero() {
		r.intervals = append(r.intervals, now.Sub(r.lastWatch).Seconds())
	}
	if r.lastWatch = (time.Time{}); watch {
		r.lastWatch = now
	}
}

// CallRate returns the reader's calls per second while the list is unchanged, from the intervals after its
// watches. It returns 0 if there are none.
func (r *Reader) CallRate() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := 0.0
	for _, x := range r.intervals {
		sum += x
	}
	if sum == 0 {
		return 0
	}
	return float64(len(r.intervals)) / sum
}

// ServedAt returns when the reader was first served this list version or a later one.
func (r *Reader) ServedAt(version int) (at time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for v, t := range r.firstServed {
		if v >= version && (!ok || t.Before(at)) {
			at, ok = t, true
		}
	}
	return at, ok
}

// host is a server in the list.
type host struct {
	Host    string  `json:"host"`
	Dial    string  `json:"dial"`
	Site    string  `json:"site"`
	Class   string  `json:"class"`
	Block   int     `json:"block"`
	Health  string  `json:"health"`
	Share   float64 `json:"share"`
	Born    int64   `json:"born_ms"`
	version int
}

// response is the body of a response: the full list, or the servers that changed.
type response struct {
	Seq   int    `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

// newService returns a service that spends answerTime on every answer and refuses calls when queue answers wait.
func newService(answerTime time.Duration, queue int, started time.Time) *Service {
	s := &Service{answerTime: answerTime, queue: queue, hosts: map[string]host{}, changed: make(chan struct{}), started: started, readers: map[string]*Reader{}}
	s.server = &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true, NoDefaultDate: true, ReadBufferSize: 4 << 10}
	return s
}

// addReader adds a reader and serves it at this address.
func (s *Service) addReader(number int, at string) (*Reader, error) {
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	reader := &Reader{Number: number, Address: at, firstServed: map[int]time.Time{}}
	s.mu.Lock()
	s.readers[at] = reader
	s.listeners = append(s.listeners, ln)
	s.mu.Unlock()
	go s.server.Serve(countingListener{ln, reader})
	return reader, nil
}

// countingListener is a listener for one reader that counts the bytes of its connections.
type countingListener struct {
	net.Listener
	r *Reader
}

func (c countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, c.r}, nil
}

// countingConn counts the bytes of one connection.
type countingConn struct {
	net.Conn
	r *Reader
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.r.In.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.r.Out.Add(int64(n))
	return n, err
}

// update adds or updates servers as one change of the list and returns the new version.
func (s *Service) update(all ...host) (version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	for _, server := range all {
		if _, known := s.hosts[server.Host]; !known {
			s.order = append(s.order, server.Host)
		}
		server.version = s.version
		s.hosts[server.Host] = server
		s.changes = append(s.changes, server)
	}
	s.encoded = nil
	s.wakeWatches()
	return s.version
}

// wakeWatches wakes all watches; the caller holds the lock.
func (s *Service) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown sets whether every call is refused, and wakes the watches.
func (s *Service) setDown(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = on
	s.wakeWatches()
}

// fullList returns the full list in the format of a configuration's "known".
func (s *Service) fullList() json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.encodedList()
}

// encodedList returns the encoded full list; the caller holds the lock.
func (s *Service) encodedList() []byte {
	if s.encoded == nil {
		list := response{Seq: s.version, Whole: true, Hosts: []host{}}
		for _, name := range s.order {
			if server := s.hosts[name]; server.Health != "terminated" {
				list.Hosts = append(list.Hosts, server)
			}
		}
		s.encoded, _ = json.Marshal(list)
	}
	return s.encoded
}

// handle serves a call: it holds a watch until a change or its timeout, and then serves the list or refuses the call.
func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	reader := s.readers[ctx.LocalAddr().String()]
	if at := int(time.Since(s.started) / time.Second); at >= 0 && at < countedSeconds {
		s.calls[at]++
	}
	if reader == nil {
		s.mu.Unlock()
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	reader.Calls.Add(1)
	from, err := strconv.Atoi(string(ctx.QueryArgs().Peek("from")))
	isWatch := err == nil
	holdMillis, _ := strconv.Atoi(string(ctx.QueryArgs().Peek("hold_ms")))
	reader.recordCall(holdMillis > 0)
	if !s.down && isWatch && from >= s.version && holdMillis > 0 {
		timeout := time.NewTimer(time.Duration(min(holdMillis, 60_000)) * time.Millisecond)
		for watching := true; watching && !s.down && from >= s.version; {
			changed := s.changed
			s.mu.Unlock()
			select {
			case <-changed:
			case <-timeout.C:
				watching = false
			}
			s.mu.Lock()
		}
		timeout.Stop()
	}
	if s.down || s.answerTime > 0 && s.waiting >= s.queue {
		s.refused++
		s.mu.Unlock()
		reader.Refused.Add(1)
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	if s.answerTime > 0 {
		now := time.Now()
		if s.busyUntil.Before(now) {
			s.busyUntil = now
		}
		s.busyUntil = s.busyUntil.Add(s.answerTime)
		until := s.busyUntil
		s.waiting++
		s.mu.Unlock()
		time.Sleep(time.Until(until))
		s.mu.Lock()
		s.waiting--
	}
	var body []byte
	seq := s.version
	if !isWatch || from > s.version {
		body = s.encodedList()
	} else {
		changes := response{Seq: s.version, Hosts: []host{}}
		for _, server := range s.changes {
			if server.version > from {
				changes.Hosts = append(changes.Hosts, server)
			}
		}
		body, _ = json.Marshal(changes)
	}
	s.mu.Unlock()
	ctx.SetBody(body)
	reader.mu.Lock()
	if reader.firstServed[seq].IsZero() {
		reader.firstServed[seq] = time.Now()
	}
	reader.mu.Unlock()
}

// callCounts returns the calls by second since the start, and how many calls were refused.
func (s *Service) callCounts() (calls [countedSeconds]int, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.refused
}

// close ends the watches and closes all listeners.
func (s *Service) close() {
	s.setDown(true)
	s.mu.Lock()
	all := s.listeners
	s.mu.Unlock()
	for _, ln := range all {
		ln.Close()
	}
}
