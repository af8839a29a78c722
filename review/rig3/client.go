package rig3

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Request returns the bytes of a request.
func Request(method, path, id string, timeout time.Duration, fields ...string) string {
	class, _, _ := strings.Cut(path[1:], "/")
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Timeout: %dm\r\n", method, path, id, class, timeout.Milliseconds())
	for _, field := range fields {
		head += field + "\r\n"
	}
	if method == "POST" && !strings.Contains(head, "\r\nTransfer-Encoding") && !strings.Contains(head, "\r\nContent-Length") {
		head += "Content-Length: 0\r\n"
	}
	return head + "\r\n"
}

// Client is one connection of the application to its sidecar.
type Client struct {
	net.Conn
	Input *bufio.Reader
	c     *Case
}

// Connect opens a connection to an address.
func (c *Case) Connect(address string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{Conn: conn, Input: bufio.NewReader(conn), c: c}, nil
}

// Receive reads one answer; err is set if there is none that is whole.
func (cl *Client) Receive(most time.Duration) (status int, body string, closes bool, err error) {
	cl.SetReadDeadline(time.Now().Add(most))
	resp, err := http.ReadResponse(cl.Input, nil)
	if err != nil {
		return 0, "", false, err
	}
	text, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	return resp.StatusCode, string(text), resp.Close, err
}
