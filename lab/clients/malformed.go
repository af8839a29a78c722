package clients

// This file implements misbehaving clients, which send malformed or partial requests.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"ledgespread/lab/wire"
)

// MalformedCounts counts the outcomes of the malformed requests.
type MalformedCounts struct {
	Sent, Closed, Errors int      // all; those ended by a close; those answered with an error status
	Unanswered           int      // neither an answer nor a close within 3 s
	Served               int      // answered with a status below 400
	Kinds                []string // the kinds of request that were unanswered or served
	mu                   sync.Mutex
}

// malformedRequests are the malformed requests. A sidecar must answer each with an error or close the
// connection.
var malformedRequests = []struct{ name, bytes string }{
	{"noise", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n"},
	{"no id", "GET /%s/x?w=1 HTTP/1.1\r\nHost: a\r\nX-Timeout: 100m\r\n\r\n"},
	{"no timeout", "GET /%s/x?w=1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: rude-%d\r\n\r\n"},
	{"a timeout that is no number", "GET /%s/x?w=1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: rude-%d\r\nX-Timeout: soon\r\n\r\n"},
	{"an unknown prefix", "GET /no%s/x?w=1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: rude-%d\r\nX-Timeout: 100m\r\n\r\n"},
	{"length and coding", "POST /%s/x?w=1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: rude-%d\r\nX-Timeout: 100m\r\nIdempotency-Key: r%[2]d\r\n" +
		"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /%[1]s/y HTTP/1.1\r\n\r\n"},
	{"a negative length", "POST /%s/x?w=1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: rude-%d\r\nX-Timeout: 100m\r\nContent-Length: -5\r\n\r\nhello"},
	{"a head without end", "GET /%s/x?w=1 HTTP/1.1\r\nX-Long: " + strings.Repeat("l", 70<<10)},
	{"half a message", "GET /%s/x?w=1 HTTP/1.1\r\nHost: a\r\nX-Requ"},
	{"silence", ""},
}

// scheduleMalformed schedules malformed requests at the plan's times.
func (c *Clients) scheduleMalformed(begun Micros) {
	for i, at := range c.plan.MalformedTimes {
		c.busy.Add(1)
		c.alarms.At(begun+at, func() {
			go func() {
				defer c.busy.Done()
				c.sendMalformed(i)
			}()
		})
	}
}

// sendMalformed sends malformed request number i and records the outcome.
func (c *Clients) sendMalformed(i int) {
	request := malformedRequests[i%len(malformedRequests)]
	text := request.bytes
	switch strings.Count(text, "%") {
	case 0:
	case 1:
		text = fmt.Sprintf(text, c.scenario.Prefixes[0].Name)
	default:
		text = fmt.Sprintf(text, c.scenario.Prefixes[0].Name, i)
	}
	pool := c.pools[i%len(c.pools)]
	conn, err := net.DialTimeout("tcp", pool.address, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(3*time.Second + answerGrace.Duration()))
	io.WriteString(conn, text)
	head, err := wire.ReadHead(bufio.NewReader(conn))
	outcomes := &c.malformed
	outcomes.mu.Lock()
	defer outcomes.mu.Unlock()
	outcomes.Sent++
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		outcomes.Unanswered++
		outcomes.Kinds = append(outcomes.Kinds, request.name)
	case err != nil:
		outcomes.Closed++
	case head.Status() >= 400:
		outcomes.Errors++
	default:
		outcomes.Served++
		outcomes.Kinds = append(outcomes.Kinds, request.name+" was served")
	}
}

// Malformed returns the outcomes of the malformed requests. Call it after Wait.
func (c *Clients) Malformed() *MalformedCounts { return &c.malformed }
