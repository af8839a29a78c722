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
)

// memoryConn is one end of a connection in memory. Each direction can be closed alone.
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

// How answers are written.
const (
	byChanges   = "changes"
	whole       = "whole"
	leavingOut  = "leaving out"  // a whole list without servers that drain
	oddStranger = "odd stranger" // an entry of an unknown zone beside the others
	oddListed   = "odd listed"   // the first entry has an unknown health
	noHosts     = "null"         // null where there are none
)

// What becomes of calls.
const (
	answered   = "answered"
	late       = "late"  // written a while after it is due
	stale      = "stale" // the same, with what the list was when it was due
	refused    = "refused"
	reset      = "reset"
	cut        = "cut" // in the middle of its answer
	garbage    = "garbage"
	silent     = "silent"
	unreadable = "unreadable" // JSON without hosts
	unlistened = "unlistened" // connections are refused
)

// machineState is a server as the service has it.
type machineState struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

// wireList is an answer as it is written.
type wireList struct {
	Seq   int            `json:"seq"`
	Whole bool           `json:"whole"`
	Hosts []machineState `json:"hosts"`
}

// wireCall is a call that came.
type wireCall struct {
	address string
	began   time.Time // the sidecar made its connection, which carries no other call
	whole   bool
	from    int
	hold    time.Duration
}

// service is discovery in virtual time, at any number of addresses, as the protocol page has it.
type service struct {
	turn    chan struct{} // held by who reads or changes what follows, or writes
	base    int           // its count began there
	seq     int
	servers map[string]machineState
	changed map[string]int // the version of a server's last change
	news    chan struct{}  // closed by the next version
	form    string
	fate    string
	delay   time.Duration
	over    bool
	writes  int
	open    []memoryConn
	held    time.Time                           // the last wait of a call is over
	written func(call wireCall, list *wireList) // hears of an answer that is about to be written; nil: it can't be read
	settled func(call wireCall)                 // hears when it was taken in
}

// firstCount leaves room for as many restarts as a sequence may have.
const firstCount = 100 * countStep

func newService() *service {
	return &service{turn: make(chan struct{}, 1), servers: map[string]machineState{}, changed: map[string]int{}, news: make(chan struct{}),
		base: firstCount, seq: firstCount, form: byChanges, fate: answered}
}

// do has something done in its turn.
func (s *service) do(what func()) {
	s.turn <- struct{}{}
	defer func() { <-s.turn }()
	what()
}

// dial connects a sidecar to one of the addresses.
func (s *service) dial(address string, _ time.Duration) (conn net.Conn, err error) {
	began := time.Now()
	s.do(func() {
		if s.fate == unlistened || s.over {
			err = errors.New("connection refused")
			return
		}
		near, far := connect()
		s.open = append(s.open, far)
		conn = near
		go s.serve(address, far, began)
	})
	return conn, err
}

// set makes a new version in which these servers are so.
func (s *service) set(servers ...machineState) {
	s.seq++
	for _, server := range servers {
		s.servers[server.Host] = server
		s.changed[server.Host] = s.seq
	}
	close(s.news)
	s.news = make(chan struct{})
}

// countStep is by how much lower each count begins than the one before: one that has caught up with the old can't be told from it.
const countStep = 1000

// restart has the service count anew; its connections break.
func (s *service) restart() {
	s.base -= countStep
	s.seq = s.base
	for host := range s.changed {
		s.changed[host] = s.seq
	}
	for _, conn := range s.open {
		conn.Close()
	}
	s.open = nil
	close(s.news)
	s.news = make(chan struct{})
}

func (s *service) close() {
	s.do(func() {
		s.over = true
		s.restart()
	})
}

// serve reads a call from a connection and answers it.
func (s *service) serve(address string, conn memoryConn, began time.Time) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	query := request.URL.Query()
	call := wireCall{address: address, began: began, whole: !query.Has("from")}
	call.from, _ = strconv.Atoi(query.Get("from"))
	milliseconds, _ := strconv.Atoi(query.Get("hold_ms"))
	call.hold = time.Duration(milliseconds) * time.Millisecond
	s.answer(call, conn)
}

// answer deals with one call.
func (s *service) answer(call wireCall, conn memoryConn) {
	var fate string
	var delay time.Duration
	s.do(func() {
		fate = s.fate
		if end := call.began.Add(call.hold); end.After(s.held) {
			s.held = end
		}
	})
	switch fate {
	case refused:
		io.WriteString(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return
	case reset:
		return
	case silent:
		time.Sleep(time.Hour)
		return
	}
	s.hold(call)
	var due *wireList
	s.do(func() {
		due = s.render(call)
		fate, delay = s.fate, s.delay
	})
	if fate == late || fate == stale {
		time.Sleep(delay)
	}
	s.do(func() {
		if fate != stale {
			due = s.render(call)
		}
		s.write(call, due, fate, conn)
	})
}

// hold waits until there is something newer, or the call's wait is over.
func (s *service) hold(call wireCall) {
	end := time.Now().Add(call.hold)
	for !call.whole && time.Now().Before(end) {
		var news chan struct{}
		newer := false
		s.do(func() {
			news = s.news
			newer = s.seq > call.from || s.over
		})
		if newer {
			return
		}
		select {
		case <-news:
		case <-time.After(time.Until(end)):
		}
	}
}

// render is what a call is answered now.
func (s *service) render(call wireCall) *wireList {
	list := &wireList{Seq: s.seq, Whole: call.whole || s.form == whole || s.form == leavingOut || call.from > s.seq, Hosts: []machineState{}}
	hosts := make([]string, 0, len(s.servers))
	for host := range s.servers {
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	for _, host := range hosts {
		server := s.servers[host]
		leaves := server.Health == "terminated" || s.form == leavingOut && server.Health == "terminating"
		if list.Whole && leaves || !list.Whole && s.changed[host] <= call.from {
			continue
		}
		list.Hosts = append(list.Hosts, server)
	}
	switch {
	case s.form == oddStranger:
		list.Hosts = append(list.Hosts, machineState{Host: "stranger", Dial: "127.0.0.1:9", Site: "nowhere", Health: "in_service"})
	case s.form == oddListed && len(list.Hosts) > 0:
		list.Hosts[0].Health = "resting"
	case s.form == noHosts && len(list.Hosts) == 0:
		list.Hosts = nil
	}
	return list
}

const (
	offBeat = 7 * time.Nanosecond // each write is off by one more, so that no timer that began with another runs out in its instant
	takesIn = time.Microsecond    // passes once the sidecar has done all that it does about an answer
)

// write writes an answer, and waits until it was taken in; in the service's turn.
func (s *service) write(call wireCall, list *wireList, fate string, conn memoryConn) {
	if s.over {
		return
	}
	text, err := json.Marshal(list)
	if err != nil {
		panic(err)
	}
	readable := list
	switch fate {
	case garbage:
		text, readable = nil, nil
	case unreadable:
		text, readable = []byte(`{"seq":7,"whole":true}`), nil
	case cut:
		readable = nil
	}
	message := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	if fate == cut {
		message = message[:len(message)-len(text)/2]
	}
	s.writes++
	time.Sleep(time.Duration(s.writes) * offBeat)
	if _, err := io.WriteString(conn, message); err != nil {
		return // the sidecar had closed it: nothing was written
	}
	s.written(call, readable)
	if fate == cut {
		conn.Close()
	}
	time.Sleep(takesIn)
	s.settled(call)
}
