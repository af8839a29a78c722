package rig

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Client is the application beside a sidecar. It keeps connections and opens more when all are busy.
type Client struct {
	Address string

	// WaitAcked counts a request's time not from when its last byte was written but from when the sidecar's
	// machine had acknowledged it.
	WaitAcked bool

	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// Try is one request and how it ended.
type Try struct {
	Method, Path string
	ID, Key      string
	Tenant       string
	Class        string
	Cost         time.Duration
	Timeout      time.Duration
	Body         []byte

	Sent   time.Time // when its last byte was written
	Acked  time.Time // with WaitAcked: when the sidecar's machine had acknowledged it; zero: not in time
	Ended  time.Time
	Status int // 0: no whole answer
	Answer string
	Fields map[string]string
	Err    error
}

// Outcome says how a try ended, in the words of the pages.
func (t *Try) Outcome() string {
	switch {
	case t.Status == 200:
		return "served"
	case t.Status == 429 || t.Status == 503:
		return "refused"
	case t.Status != 0:
		return "failed"
	}
	return "no answer"
}

// Do sends a request and waits for its answer until half a second after its time. If the sidecar closes a
// connection that it kept, with nothing of an answer, the client sends the request once more on a new one.
func (c *Client) Do(t *Try) {
	for again := 0; ; again++ {
		conn, reused, err := c.take(again > 0)
		if err != nil {
			t.Err, t.Ended = err, time.Now()
			return
		}
		begun, err := c.once(conn, t)
		if err == nil {
			return
		}
		conn.Close()
		var late net.Error
		if reused && !begun && again == 0 && !(errors.As(err, &late) && late.Timeout()) {
			continue
		}
		t.Err, t.Ended, t.Status = err, time.Now(), 0
		return
	}
}

func (c *Client) take(fresh bool) (conn *clientConn, reused bool, err error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 && !fresh {
		conn = c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn, true, nil
	}
	c.mu.Unlock()
	tcp, err := net.DialTimeout("tcp", c.Address, 2*time.Second)
	if err != nil {
		return nil, false, err
	}
	return &clientConn{Conn: tcp, reader: bufio.NewReader(tcp)}, false, nil
}

func (c *Client) once(conn *clientConn, t *Try) (begun bool, err error) {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Timeout: %dm\r\n",
		t.Method, t.Path, t.ID, t.Class, t.Timeout.Milliseconds())
	if t.Tenant != "" {
		fmt.Fprintf(&text, "X-Tenant-Id: %s\r\n", t.Tenant)
	}
	if t.Cost > 0 {
		fmt.Fprintf(&text, "X-Cost: %d\r\n", t.Cost.Microseconds())
	}
	if t.Key != "" {
		fmt.Fprintf(&text, "Idempotency-Key: %s\r\n", t.Key)
	}
	if t.Method == "POST" {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(t.Body))
	}
	text.WriteString("\r\n")
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	if _, err := conn.Write(append([]byte(text.String()), t.Body...)); err != nil {
		return false, err
	}
	t.Sent = time.Now()
	if c.WaitAcked {
		t.Acked = waitAcked(conn.Conn, t.Sent.Add(t.Timeout))
		if !t.Acked.IsZero() {
			t.Sent = t.Acked
		}
	}
	conn.SetDeadline(t.Sent.Add(t.Timeout + 500*time.Millisecond))
	if _, err := conn.reader.Peek(1); err != nil {
		return false, err
	}
	h, _, err := readHead(conn.reader)
	if err != nil {
		return true, err
	}
	body, err := h.readBody(conn.reader)
	if err != nil {
		return true, err
	}
	t.Status, _ = strconv.Atoi(strings.Fields(string(h.first))[1])
	t.Answer, t.Fields, t.Ended, t.Err = string(body), h.fields, time.Now(), nil
	if strings.EqualFold(h.fields["connection"], "close") {
		conn.Close()
		return true, nil
	}
	c.mu.Lock()
	c.idle = append(c.idle, conn)
	c.mu.Unlock()
	return true, nil
}

// CloseIdle closes the connections that carry nothing.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}

// waitAcked waits until the other side's machine has acknowledged all bytes that were written, and returns when.
func waitAcked(conn net.Conn, until time.Time) time.Time {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return time.Time{}
	}
	for time.Now().Before(until) {
		unsent := -1
		raw.Control(func(fd uintptr) {
			if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
				unsent = n
			}
		})
		if unsent == 0 {
			return time.Now()
		}
		time.Sleep(time.Millisecond)
	}
	return time.Time{}
}
