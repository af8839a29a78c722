package rig2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"os"
	"strconv"
	"strings"
	"time"
)

// Client is a connection of the application to its sidecar.
type Client struct {
	net.Conn
	reader *bufio.Reader
}

// Reply is an answer that has come whole.
type Reply struct {
	Status int
	Closes bool
	Body   string
}

// Connect connects to the sidecar.
func Connect(address string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{conn, bufio.NewReader(conn)}, nil
}

// Ask sends one request on a connection of its own and waits for the answer.
func Ask(address, request string, wait time.Duration) (*Reply, error) {
	client, err := Connect(address)
	if err != nil {
		return nil, err
	}
	defer client.Close()
	return client.Ask(request, wait)
}

// Ask sends a request and waits for its answer.
func (c *Client) Ask(request string, wait time.Duration) (*Reply, error) {
	if _, err := io.WriteString(c, request); err != nil {
		return nil, err
	}
	return c.Next(wait)
}

// Next waits for the next answer.
func (c *Client) Next(wait time.Duration) (*Reply, error) {
	c.SetReadDeadline(time.Now().Add(wait))
	text := textproto.NewReader(c.reader)
	line, err := text.ReadLine()
	if err != nil {
		return nil, err
	}
	parts := strings.Fields(line)
	if len(parts) < 2 {
		return nil, fmt.Errorf("no answer: %q", line)
	}
	reply := &Reply{}
	if reply.Status, err = strconv.Atoi(parts[1]); err != nil {
		return nil, err
	}
	head, err := text.ReadMIMEHeader()
	if err != nil {
		return nil, err
	}
	reply.Closes = strings.EqualFold(head.Get("Connection"), "close")
	if head.Get("Transfer-Encoding") != "" { // of such an answer only the end matters here
		_, err = readChunks(c.reader)
		return reply, err
	}
	size, err := strconv.Atoi(head.Get("Content-Length"))
	if err != nil {
		return nil, fmt.Errorf("an answer without a length: %w", err)
	}
	body := make([]byte, size)
	_, err = io.ReadFull(c.reader, body)
	reply.Body = string(body)
	return reply, err
}

// Head returns the head of a request. more is further fields, each with its line end.
func Head(method, target, id, tenant string, timeout time.Duration, more string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: %s\r\nX-Tenant-Id: %s\r\nX-Timeout: %dm\r\n%s\r\n", method, target, id, tenant,
		timeout.Milliseconds(), more)
}

// UnreadAt returns how many bytes that this client has sent lie unread at the sidecar, by the kernel's table of
// connections; -1 if the connection is not there.
func (c *Client) UnreadAt() int {
	text, _ := os.ReadFile("/proc/net/tcp")
	here, there := fmt.Sprintf(":%04X", c.LocalAddr().(*net.TCPAddr).Port), fmt.Sprintf(":%04X", c.RemoteAddr().(*net.TCPAddr).Port)
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) > 4 && strings.HasSuffix(fields[1], there) && strings.HasSuffix(fields[2], here) {
			_, unread, _ := strings.Cut(fields[4], ":")
			n, _ := strconv.ParseInt(unread, 16, 64)
			return int(n)
		}
	}
	return -1
}

// Drain reads for so long, or until the connection ends.
func (c *Client) Drain(wait time.Duration) error {
	c.SetReadDeadline(time.Now().Add(wait))
	_, err := io.Copy(io.Discard, c.reader)
	return err
}
