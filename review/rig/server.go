package rig

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Server is a stand-in server. It reads requests and hands each to Handle, which answers.
type Server struct {
	Name    string
	Address string
	Handle  func(*Request)
	Wrap    func(net.Conn) net.Conn // what the server reads by; nil: the connection itself

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// Request is a request that has come whole.
type Request struct {
	Server   *Server
	Conn     *ServerConn
	Method   string
	Target   string
	ID       string
	Key      string
	Timeout  string
	Body     []byte
	First    time.Time // when its first byte had come
	Complete time.Time // when its last byte had come
}

// ServerConn is one connection at a server.
type ServerConn struct {
	net.Conn
	mu       sync.Mutex
	received int // bytes so far
	writeMu  sync.Mutex
}

// Read counts what comes.
func (c *ServerConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.mu.Lock()
	c.received += n
	c.mu.Unlock()
	return n, err
}

// Received returns how many bytes have been read so far.
func (c *ServerConn) Received() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}

// Answer writes an answer with a length.
func (c *ServerConn) Answer(status int, body string, fields ...string) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 %d x\r\nContent-Length: %d\r\n", status, len(body))
	for _, field := range fields {
		text.WriteString(field + "\r\n")
	}
	_, err := c.Write([]byte(text.String() + "\r\n" + body))
	return err
}

// Listen starts the server. receiveBuffer is the size of its sockets' receive buffers; 0: the system's.
func (s *Server) Listen(ip string, receiveBuffer int) error {
	config := net.ListenConfig{}
	if receiveBuffer > 0 {
		config.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer) })
		}
	}
	listener, err := config.Listen(context.Background(), "tcp", ip+":0")
	if err != nil {
		return err
	}
	s.listener, s.Address, s.conns = listener, listener.Addr().String(), map[net.Conn]bool{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
	return nil
}

func (s *Server) serve(tcp net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, tcp)
		s.mu.Unlock()
		tcp.Close()
	}()
	conn := &ServerConn{Conn: tcp}
	if s.Wrap != nil {
		conn.Conn = s.Wrap(tcp)
	}
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		first := time.Now()
		h, _, err := readHead(reader)
		if err != nil {
			return
		}
		body, err := h.readBody(reader)
		if err != nil {
			return
		}
		line := strings.Fields(string(h.first))
		s.Handle(&Request{Server: s, Conn: conn, Method: line[0], Target: line[1], ID: h.fields["x-request-id"], Key: h.fields["idempotency-key"],
			Timeout: h.fields["x-timeout"], Body: body, First: first, Complete: time.Now()})
		if strings.EqualFold(h.fields["connection"], "close") {
			return
		}
	}
}

// Close stops the server and resets its connections, as the death of a process does.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		conn.Close()
	}
}
