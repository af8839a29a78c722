package rig3

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Server is a stand-in for one server.
type Server struct {
	Name, Addr, Zone string
	Handle           func(*Visit)
	c                *Case
	mu               sync.Mutex
	visits           []*Visit
}

// Visit is one request whose last byte has come.
type Visit struct {
	ID, Method, Path, Key, Timeout string
	Body                           []byte
	At                             time.Time // when its last byte had come
	Server                         *Server
	Conn                           net.Conn
	Closed                         bool // by Handle: the connection is not read any more
	input                          *bufio.Reader
}

// StartServer starts a server. handle answers each request; nil: at once.
func (c *Case) StartServer(name, zone string, handle func(*Visit)) *Server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Impossible("server: %v", err)
	}
	s := &Server{Name: name, Addr: ln.Addr().String(), Zone: zone, Handle: handle, c: c}
	if handle == nil {
		s.Handle = func(v *Visit) { v.OK() }
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

// Line returns the server's line of the list.
func (s *Server) Line(health string) Host {
	return Host{Host: s.Name, Dial: s.Addr, Site: s.Zone, Class: "m2", Block: 0, Health: health, Share: 1}
}

func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	input := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(input)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		v := &Visit{ID: request.Header.Get("X-Request-ID"), Method: request.Method, Path: request.URL.RequestURI(), Key: request.Header.Get("Idempotency-Key"), Timeout: request.Header.Get("X-Timeout"),
			Body: body, At: time.Now(), Server: s, Conn: conn, input: input}
		s.mu.Lock()
		s.visits = append(s.visits, v)
		s.mu.Unlock()
		s.c.Logf("%s: request %s has come (%s %s, %d bytes)", s.Name, v.ID, v.Method, v.Path, len(body))
		s.Handle(v)
		if v.Closed {
			return
		}
	}
}

// Visits returns what has come so far.
func (s *Server) Visits() []*Visit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Visit{}, s.visits...)
}

// Answer returns the body of the answer that belongs to a request.
func Answer(id string) string { return "answer to " + id }

// OK answers a request with what belongs to it.
func (v *Visit) OK() {
	body := Answer(v.ID)
	fmt.Fprintf(v.Conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// QuietFor waits, and reports whether nothing of a further request has come on the connection by then.
func (v *Visit) QuietFor(wait time.Duration) bool {
	v.Conn.SetReadDeadline(time.Now().Add(wait))
	_, err := v.input.Peek(1)
	v.Conn.SetReadDeadline(time.Time{})
	if err == nil {
		return false
	}
	quiet := true
	if raw, err := v.Conn.(*net.TCPConn).SyscallConn(); err == nil { // something may have come while this goroutine woke up
		raw.Control(func(fd uintptr) {
			n, _, _ := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			quiet = n <= 0
		})
	}
	return quiet
}
