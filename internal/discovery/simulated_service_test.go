package discovery_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// memoryConn is one end of an in-memory connection. Its two directions can be closed independently.
type memoryConn struct {
	*io.PipeReader
	*io.PipeWriter
}

func (c memoryConn) Close() error {
	c.PipeReader.Close()
	return c.PipeWriter.Close()
}
func (c memoryConn) CloseWrite() error              { return c.PipeWriter.Close() }
func (memoryConn) LocalAddr() net.Addr              { return nil }
func (memoryConn) RemoteAddr() net.Addr             { return nil }
func (memoryConn) SetDeadline(time.Time) error      { return nil }
func (memoryConn) SetReadDeadline(time.Time) error  { return nil }
func (memoryConn) SetWriteDeadline(time.Time) error { return nil }

func connect() (near, far memoryConn) {
	toFar, fromNear := io.Pipe()
	toNear, fromFar := io.Pipe()
	return memoryConn{toNear, fromNear}, memoryConn{toFar, fromFar}
}

// Encodings of answers.
const (
	byChanges       = "changes"
	whole           = "whole"
	withoutDraining = "without draining"  // a whole list that leaves out draining servers
	unknownZone     = "with unknown zone" // with an additional entry of an unknown zone
	unknownHealth   = "unknown health"    // the first entry has an unknown health
	nullHosts       = "null"              // null in place of an empty list of hosts
)

// Faults of calls.
const (
	noFault     = "none"
	late        = "late"  // the answer is written with a delay
	stale       = "stale" // the same, and the answer has the list as it was before the delay
	rejected    = "rejected"
	reset       = "reset"
	truncated   = "truncated" // the connection closes in the middle of the answer
	garbage     = "garbage"
	unanswered  = "unanswered"
	noHosts     = "no hosts"    // the answer is JSON without hosts
	unreachable = "unreachable" // connections are refused
)

// serverState is the entry of a server in the list.
type serverState struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

// listAnswer is the body of an answer.
type listAnswer struct {
	Seq   int           `json:"seq"`
	Whole bool          `json:"whole"`
	Hosts []serverState `json:"hosts"`
}

// receivedCall is a call that the service has received.
type receivedCall struct {
	address string
	began   time.Time // when the sidecar connected; a connection carries one call only
	whole   bool
	from    int
	hold    time.Duration
}

// simulatedService implements the discovery protocol in virtual time, at any number of addresses.
type simulatedService struct {
	lock          chan struct{} // a mutex as a channel: synctest advances time while goroutines wait for it; protects the fields below
	firstVersion  int           // of the current version counter
	version       int
	servers       map[string]serverState
	changedIn     map[string]int // the version of a server's last change
	nextVersion   chan struct{}  // closed by the next version
	encoding      string
	fault         string
	delay         time.Duration
	closed        bool
	lostDials     int // of connections that never come up
	writes        int
	connections   []memoryConn
	latestHoldEnd time.Time                                   // over all calls
	latency       time.Duration                               // of a call, before it is held
	silencedAt    time.Time                                   // connections that were opened before get no answer any more
	onWritten     func(call receivedCall, answer *listAnswer) // called once an answer is written; nil: a malformed one
	onProcessed   func(call receivedCall)                     // called once the sidecar has processed it
}

// initialVersion is high enough for as many restarts as a sequence may have.
const initialVersion = 100 * versionStep

func newSimulatedService() *simulatedService {
	return &simulatedService{lock: make(chan struct{}, 1), servers: map[string]serverState{}, changedIn: map[string]int{},
		nextVersion: make(chan struct{}), firstVersion: initialVersion, version: initialVersion, encoding: byChanges, fault: noFault}
}

// withLock calls do while it holds the lock.
func (s *simulatedService) withLock(do func()) {
	s.lock <- struct{}{}
	defer func() { <-s.lock }()
	do()
}

// dial connects a sidecar to one of the addresses.
func (s *simulatedService) dial(address string, timeout time.Duration) (conn net.Conn, err error) {
	began := time.Now()
	lost := false
	s.withLock(func() {
		if lost = s.lostDials > 0; lost {
			s.lostDials--
		}
	})
	if lost {
		time.Sleep(timeout)
		return nil, fasthttp.ErrDialTimeout
	}
	s.withLock(func() {
		if s.fault == unreachable || s.closed {
			err = errors.New("connection refused")
			return
		}
		near, far := connect()
		s.connections = append(s.connections, far)
		conn = near
		go s.serve(address, far, began)
	})
	return conn, err
}

// set makes a new version in which these servers have the given state.
func (s *simulatedService) set(servers ...serverState) {
	s.version++
	for _, server := range servers {
		s.servers[server.Host] = server
		s.changedIn[server.Host] = s.version
	}
	close(s.nextVersion)
	s.nextVersion = make(chan struct{})
}

// versionStep is by how much lower each version counter starts than the one before. It is larger than the
// number of versions of a sequence, as a counter that has caught up with the former one cannot be
// distinguished from it.
const versionStep = 1000

// restart restarts the service with a lower version counter and breaks its connections.
func (s *simulatedService) restart() {
	s.firstVersion -= versionStep
	s.version = s.firstVersion
	for host := range s.changedIn {
		s.changedIn[host] = s.version
	}
	for _, conn := range s.connections {
		conn.Close()
	}
	s.connections = nil
	close(s.nextVersion)
	s.nextVersion = make(chan struct{})
}

func (s *simulatedService) close() {
	s.withLock(func() {
		s.closed = true
		s.restart()
	})
}

// serve reads a call from a connection and answers it.
func (s *simulatedService) serve(address string, conn memoryConn, began time.Time) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	query := request.URL.Query()
	call := receivedCall{address: address, began: began, whole: !query.Has("from")}
	call.from, _ = strconv.Atoi(query.Get("from"))
	milliseconds, _ := strconv.Atoi(query.Get("hold_ms"))
	call.hold = time.Duration(milliseconds) * time.Millisecond
	s.answer(call, conn)
}

// answer handles one call.
func (s *simulatedService) answer(call receivedCall, conn memoryConn) {
	var fault string
	var delay, latency time.Duration
	s.withLock(func() {
		fault, latency = s.fault, s.latency
		if end := call.began.Add(call.hold); end.After(s.latestHoldEnd) {
			s.latestHoldEnd = end
		}
	})
	switch fault {
	case rejected:
		io.WriteString(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return
	case reset:
		return
	case unanswered:
		time.Sleep(time.Hour)
		return
	}
	time.Sleep(latency)
	s.hold(call)
	var due *listAnswer
	s.withLock(func() {
		due = s.render(call)
		fault, delay = s.fault, s.delay
	})
	if fault == late || fault == stale {
		time.Sleep(delay)
	}
	silent := false
	s.withLock(func() {
		if fault != stale {
			due = s.render(call)
		}
		silent = call.began.Before(s.silencedAt)
		if !silent {
			s.write(call, due, fault, conn)
		}
	})
	if silent {
		time.Sleep(time.Hour)
	}
}

// silence makes all open connections silent for good. The caller holds the lock.
func (s *simulatedService) silence() { s.silencedAt = time.Now() }

// hold waits until there is a newer version, or the hold of the call is over.
func (s *simulatedService) hold(call receivedCall) {
	end := time.Now().Add(call.hold)
	for !call.whole && time.Now().Before(end) {
		var nextVersion chan struct{}
		isNewer := false
		s.withLock(func() {
			nextVersion = s.nextVersion
			isNewer = s.version > call.from || s.closed
		})
		if isNewer {
			return
		}
		select {
		case <-nextVersion:
		case <-time.After(time.Until(end)):
		}
	}
}

// render returns the answer for a call as of now.
func (s *simulatedService) render(call receivedCall) *listAnswer {
	list := &listAnswer{Seq: s.version, Whole: call.whole || s.encoding == whole || s.encoding == withoutDraining || call.from > s.version, Hosts: []serverState{}}
	hosts := make([]string, 0, len(s.servers))
	for host := range s.servers {
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	for _, host := range hosts {
		server := s.servers[host]
		leaves := server.Health == "terminated" || s.encoding == withoutDraining && server.Health == "terminating"
		if list.Whole && leaves || !list.Whole && s.changedIn[host] <= call.from {
			continue
		}
		list.Hosts = append(list.Hosts, server)
	}
	switch {
	case s.encoding == unknownZone:
		list.Hosts = append(list.Hosts, serverState{Host: "stranger", Dial: "127.0.0.1:9", Site: "nowhere", Health: "in_service"})
	case s.encoding == unknownHealth && len(list.Hosts) > 0:
		list.Hosts[0].Health = "resting"
	case s.encoding == nullHosts && len(list.Hosts) == 0:
		list.Hosts = nil
	}
	return list
}

const (
	writeStagger   = 7 * time.Nanosecond // added once more to each write, so that timers started together do not expire at the same instant
	processingTime = time.Microsecond    // in virtual time; passes once the sidecar has finished processing an answer
)

// write writes an answer and waits until the sidecar has processed it. The caller holds the lock.
func (s *simulatedService) write(call receivedCall, list *listAnswer, fault string, conn memoryConn) {
	if s.closed {
		return
	}
	text, err := json.Marshal(list)
	if err != nil {
		panic(err)
	}
	readable := list
	switch fault {
	case garbage:
		text, readable = nil, nil
	case noHosts:
		text, readable = []byte(`{"seq":7,"whole":true}`), nil
	case truncated:
		readable = nil
	}
	message := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	if fault == truncated {
		message = message[:len(message)-len(text)/2]
	}
	s.writes++
	time.Sleep(time.Duration(s.writes) * writeStagger)
	if _, err := io.WriteString(conn, message); err != nil {
		return // the sidecar had closed the connection, so nothing was written
	}
	s.onWritten(call, readable)
	if fault == truncated {
		conn.Close()
	}
	time.Sleep(processingTime)
	s.onProcessed(call)
}
