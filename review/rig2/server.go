package rig2

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"os"
	"strconv"
	"strings"
	"time"
)

// Server is a stand-in server: it begins a request when its last byte has come, and answers with a body that is made
// for that request.
type Server struct {
	Name, Zone, Address string
	BodyRate            func() int // returns how many bytes of the next body it takes in a second, 0: as many as come; may be nil

	c      *Case
	handle func(*Link, *Arrival)
}

// Arrival is a request that has come whole.
type Arrival struct {
	Method, Target, ID, Tenant, Key string
	BodyBytes                       int
}

// Link is a connection that the sidecar made to a server.
type Link struct {
	net.Conn
	Server *Server
	reader *bufio.Reader
}

// NewServer starts a server. oneWay is how long each byte takes on its way to it and back.
func (c *Case) NewServer(name, zone string, oneWay time.Duration, handle func(*Link, *Arrival)) *Server {
	listener := c.Listen()
	s := &Server{Name: name, Zone: zone, Address: listener.Addr().String(), c: c, handle: handle}
	go s.serve(listener)
	if oneWay > 0 {
		s.Address = c.delayLink(s.Address, oneWay)
	}
	return s
}

func (s *Server) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serveLink(&Link{Conn: conn, Server: s, reader: bufio.NewReader(conn)})
	}
}

func (s *Server) serveLink(link *Link) {
	defer link.Close()
	for {
		arrival, err := link.next()
		if err != nil {
			if !errors.Is(err, io.EOF) {
				s.c.Log("%s: connection ends: %v", s.Name, err)
			}
			return
		}
		s.c.Log("%s runs %s %s id %s, body %d bytes", s.Name, arrival.Method, arrival.Target, arrival.ID, arrival.BodyBytes)
		s.handle(link, arrival)
	}
}

// next reads a whole request.
func (l *Link) next() (*Arrival, error) {
	text := textproto.NewReader(l.reader)
	line, err := text.ReadLine()
	if err != nil {
		return nil, err
	}
	parts := strings.Fields(line)
	if len(parts) != 3 {
		return nil, fmt.Errorf("no request: %q", line)
	}
	head, err := text.ReadMIMEHeader()
	if err != nil {
		return nil, err
	}
	arrival := &Arrival{Method: parts[0], Target: parts[1], ID: head.Get("X-Request-Id"), Tenant: head.Get("X-Tenant-Id"),
		Key: head.Get("Idempotency-Key")}
	if length := head.Get("Content-Length"); length != "" {
		if arrival.BodyBytes, err = strconv.Atoi(length); err == nil {
			err = l.takeBody(arrival.BodyBytes)
		}
	} else if head.Get("Transfer-Encoding") != "" {
		arrival.BodyBytes, err = readChunks(l.reader)
	}
	return arrival, err
}

// takeBody reads a body at the server's pace. The machine takes no more than a little ahead of the server.
func (l *Link) takeBody(size int) error {
	const step = 16 << 10
	began, rate := time.Now(), 0
	if l.Server.BodyRate != nil {
		rate = l.Server.BodyRate()
	}
	if rate > 0 {
		l.Conn.(*net.TCPConn).SetReadBuffer(8 * step)
	}
	for taken := 0; taken < size; {
		n, err := io.CopyN(io.Discard, l.reader, int64(min(step, size-taken)))
		if err != nil {
			return err
		}
		if taken += int(n); rate > 0 {
			time.Sleep(time.Until(began.Add(time.Duration(taken) * time.Second / time.Duration(rate))))
		}
	}
	return nil
}

// Reset breaks the connection.
func (l *Link) Reset() {
	l.Conn.(*net.TCPConn).SetLinger(0)
	l.Close()
}

// readChunks reads a body in chunks to its end.
func readChunks(reader *bufio.Reader) (size int, err error) {
	text := textproto.NewReader(reader)
	for {
		line, err := text.ReadLine()
		if err != nil {
			return size, err
		}
		n, err := strconv.ParseUint(strings.TrimSpace(line), 16, 31)
		if err != nil {
			return size, err
		}
		if _, err := io.CopyN(io.Discard, reader, int64(n)); err != nil {
			return size, err
		}
		if _, err := text.ReadLine(); err != nil { // the line end behind the chunk, or behind the last one
			return size, err
		}
		if size += int(n); n == 0 {
			return size, nil
		}
	}
}

// BodyFor returns the body that a server makes for a request.
func BodyFor(id, tenant string) string { return "answer to " + id + " of " + tenant }

// Answer returns a whole 200 answer.
func Answer(body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Silent waits for a time and reports whether nothing came on the connection meanwhile: no byte of a further request
// waits here.
func (l *Link) Silent(wait time.Duration) bool {
	if l.reader.Buffered() > 0 {
		return false
	}
	l.SetReadDeadline(time.Now().Add(wait))
	_, err := l.reader.Peek(1)
	l.SetReadDeadline(time.Time{})
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// parcel is what came at once on a delayed way, and when it is due at the other end.
type parcel struct {
	due  time.Time
	data []byte
	end  bool
}

// delayLink returns an address from which connections lead to another one, with a delay each way.
func (c *Case) delayLink(to string, oneWay time.Duration) (address string) {
	listener := c.Listen()
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				near.Close()
				continue
			}
			go carry(near, far, oneWay)
			go carry(far, near, oneWay)
		}
	}()
	return listener.Addr().String()
}

// carry passes bytes on from one connection to another, each when its delay is over.
func carry(from, to net.Conn, oneWay time.Duration) {
	parcels := make(chan parcel, 1024)
	go func() {
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			parcels <- parcel{time.Now().Add(oneWay), buffer[:n], err != nil}
			if err != nil {
				return
			}
		}
	}()
	for next := range parcels {
		time.Sleep(time.Until(next.due))
		if len(next.data) > 0 {
			to.Write(next.data)
		}
		if next.end {
			from.Close()
			to.Close()
			return
		}
	}
}
