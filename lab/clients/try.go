package clients

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"ledgespread/internal/peek"
	"ledgespread/lab/clock"
	"ledgespread/lab/plan"
	"ledgespread/lab/scenario"
	"ledgespread/lab/wire"
)

// closeRaceWindow limits the time between a request's last byte and the close of a reused connection within
// which the two may have crossed on the wire, unless the close had arrived before the request was sent. If the close
// comes later, the sidecar had read the request, and the try is lost.
const closeRaceWindow = 10 * clock.Milli

// answerGrace is how long a client waits beyond its timeout, so that its record distinguishes a late answer
// from none.
const answerGrace = 60 * clock.Milli

// send sends a request once and waits for the answer. If a reused connection is closed before the first byte
// of an answer, the request and the close have crossed, and the request is sent again on a new connection, as
// HTTP allows.
func (c *Clients) send(try *Try, visit plan.Visit, prefix scenario.Prefix) {
	pool := c.pools[try.Sidecar]
	finish := func(how Outcome, why string) { try.Outcome, try.Why, try.Ended = how, why, c.clock.Now() }
	for resend := false; ; resend = true {
		now := c.clock.Now()
		until := try.Deadline
		if visit.Leaves > 0 {
			until = min(until, try.Due+visit.Leaves)
		}
		if now >= until {
			finish(NotSent, "its time was up before it could be sent")
			return
		}
		conn, reused, err := pool.acquire(resend, (until - now).Duration())
		if err != nil {
			finish(Unreachable, err.Error())
			return
		}
		c.Count[CountSent].Add(1)
		closedBefore := reused && peek.PeerClosed(conn.tcp)
		now = c.clock.Now()
		conn.tcp.SetDeadline(time.Now().Add((until + answerGrace - now).Duration()))
		if visit.Leaves > 0 {
			conn.tcp.SetDeadline(time.Now().Add((until - now).Duration()))
		}
		_, err = conn.tcp.Write(c.requestFor(try, visit, prefix, pool.address, try.Deadline-now))
		try.Sent = c.clock.Now()
		var head wire.Head
		var body []byte
		if err == nil {
			if head, err = wire.ReadHead(conn.reader); err == nil {
				body, err = head.Body(conn.reader)
			}
		}
		if err != nil {
			conn.tcp.Close()
			pool.countClosed()
			switch {
			case errors.Is(err, os.ErrDeadlineExceeded) && visit.Leaves > 0:
				finish(Abandoned, "")
			case errors.Is(err, os.ErrDeadlineExceeded):
				finish(Lost, "no answer in time")
			case reused && !resend && head.Bytes == 0 && (closedBefore || c.clock.Now() < try.Sent+closeRaceWindow) && !errors.Is(err, io.ErrUnexpectedEOF):
				continue
			default:
				finish(Lost, err.Error())
			}
			return
		}
		try.Ended = c.clock.Now()
		try.Status = head.Status()
		if seconds, err := strconv.ParseFloat(head.Fields["retry-after"], 64); err == nil {
			try.RetryAfter = Micros(seconds * float64(clock.Second))
		}
		switch {
		case try.Status == 200 && bytes.HasPrefix(body, []byte(try.ID+" ")):
			try.Outcome = Delivered
		case try.Status == 200:
			try.Outcome, try.Why = WrongAnswer, fmt.Sprintf("%.60q", body)
		case try.Status == 429 || try.Status == 503:
			try.Outcome = RetryLater
		case try.Status >= 400 && try.Status < 500:
			try.Outcome, try.Why = Refused, fmt.Sprintf("%d %.60q", try.Status, body)
		default:
			try.Outcome = Errored
		}
		if head.Closes() || try.Status >= 400 && try.Status < 500 {
			conn.tcp.Close()
			pool.countClosed()
		} else {
			pool.release(conn)
		}
		return
	}
}

// requestFor returns the request for a try. The query, which sidecars forward unchanged, carries what the
// simulated backends need: the work and the key.
func (c *Clients) requestFor(try *Try, visit plan.Visit, prefix scenario.Prefix, host string, timeout Micros) []byte {
	var request bytes.Buffer
	method, body := "GET", ""
	if prefix.Effect != "read_like" {
		method, body = "POST", "bay=7&until=18:30"
		body += strings.Repeat("+", max(prefix.RequestBytes-len(body), 0))
	}
	fmt.Fprintf(&request, "%s /%s/x?w=%d&k=%d HTTP/1.1\r\nHost: %s\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Timeout: %du\r\n",
		method, prefix.Name, visit.Work, visit.Key, host, try.ID, prefix.Name, max(1, timeout))
	if try.Tag != "" {
		fmt.Fprintf(&request, "Idempotency-Key: %s\r\n", try.Tag)
	}
	if visit.Tenant >= 0 {
		fmt.Fprintf(&request, "X-Tenant-Id: %s\r\n", c.scenario.Tenants[visit.Tenant].Name)
	}
	if visit.Key != 0 {
		fmt.Fprintf(&request, "X-Attrs: target_key=%d\r\n", visit.Key)
	}
	if c.scenario.Traffic.Hints {
		fmt.Fprintf(&request, "X-Cost: %d\r\n", visit.Work)
	}
	if try.Number > 0 {
		request.WriteString("X-Retried: 1\r\n")
	}
	if body != "" {
		fmt.Fprintf(&request, "Content-Length: %d\r\n", len(body))
	}
	request.WriteString("\r\n" + body)
	return request.Bytes()
}

// Ready polls a sidecar until it reports that it is ready, the timeout passes or stop is closed.
func Ready(address string, timeout time.Duration, stop <-chan struct{}) error {
	var last error
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		status, _, err := Ask(address, "/-/ready")
		if err == nil && status == 200 {
			return nil
		}
		if last = err; err == nil {
			last = fmt.Errorf("the sidecar answers with status %d", status)
		}
		select {
		case <-stop:
			return errors.New("the process ended")
		case <-time.After(5 * time.Millisecond):
		}
	}
	return fmt.Errorf("not ready within %v: %w", timeout, last)
}

// Ask sends a plain GET request on a new connection.
func Ask(address, path string) (status int, body string, err error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, address)
	in := bufio.NewReader(conn)
	head, err := wire.ReadHead(in)
	if err != nil {
		return 0, "", err
	}
	text, err := head.Body(in)
	return head.Status(), string(text), err
}
