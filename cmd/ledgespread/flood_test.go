package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// flood sends a beginning, and then a text again and again, on one connection at full speed. It drops what comes back,
// until stop is called.
func flood(t *testing.T, address, beginning, text string) (stop func()) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	go io.Copy(io.Discard, conn)
	go func() {
		io.WriteString(conn, beginning)
		for many := []byte(strings.Repeat(text, 100)); err == nil; {
			_, err = conn.Write(many)
		}
	}()
	return func() { conn.Close() }
}

// medianLatency asks for one thing again and again on a connection, and returns the median of the times that it takes.
func medianLatency(t *testing.T, address, path string) time.Duration {
	t.Helper()
	const requests = 21
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var took []time.Duration
	for number := range requests {
		began := time.Now()
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a\r\nX-Request-ID: %d-%d\r\nX-Timeout: 25000m\r\n\r\n", path, began.UnixNano(), number)
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, answer.Body)
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	return took[requests/2]
}

// floodKind is a kind of messages that the process handles without a wait.
type floodKind struct{ name, beginning, text string }

// The kinds of floods. Where a flood has a beginning, %s in it stands for an ID of its own.
var floodKinds = []floodKind{
	{"chunks", "POST /pay HTTP/1.1\r\nHost: a\r\nX-Request-ID: flood-%s\r\nX-Timeout: 25000m\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	{"ready", "", "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"},
	{"counters", "", "GET /-/counters HTTP/1.1\r\nHost: a\r\n\r\n"},
}

const (
	latencyTries   = 3 // of which one has to be fast: other processes may slow them down
	latencyAllowed = 10 * time.Millisecond
)

// checkLatency asks that the requests of others stay fast, by the fastest of several measurements.
func checkLatency(t *testing.T, beside string, measure func(try int) time.Duration) {
	t.Helper()
	fastest := time.Hour
	for try := range latencyTries {
		fastest = min(fastest, measure(try))
	}
	if fastest > latencyAllowed {
		t.Errorf("%s: a request of others takes %v", beside, fastest)
		return
	}
	t.Logf("%s: a request of others takes %v", beside, fastest)
}

// testFloods has each kind of flood sent on several connections at once, and asks that the requests of others stay fast.
func testFloods(t *testing.T, connections int) {
	_, listen := startWithMemoryLimit(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) }))
	for _, kind := range floodKinds {
		checkLatency(t, kind.name, func(try int) time.Duration {
			for connection := range connections {
				beginning := strings.Replace(kind.beginning, "%s", fmt.Sprintf("%d-%d", try, connection), 1)
				defer flood(t, listen, beginning, kind.text)()
			}
			time.Sleep(50 * time.Millisecond)
			return medianLatency(t, listen, "/look")
		})
	}
}

// While one client sent messages at full speed that the process answers by itself, or a body in tiny chunks, the requests
// of all others took tens of milliseconds: the connection's goroutine never waited, and the scheduler looked at the
// network each 10 ms only.
func TestFloodOnOneConnectionLeavesOthersFast(t *testing.T) { testFloods(t, 1) }

// The same came back as soon as there were two: each paused, but not at the same time. One client was enough, whose
// earlier connections were closed with megabytes of tiny chunks that were still to be read.
func TestFloodsOnSeveralConnectionsLeaveOthersFast(t *testing.T) { testFloods(t, 4) }

// The same with bodies in tiny chunks that are held whole: reading one took tens of milliseconds without a pause.
func TestHeldBodiesInTinyChunksLeaveOthersFast(t *testing.T) {
	const connections = 16
	_, listen := startWithMemoryLimit(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) }))
	chunks := strings.Repeat("1\r\nx\r\n", 10_000) + "0\r\n\r\n"
	for connection := range connections {
		conn, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		go io.Copy(io.Discard, conn)
		go func() {
			for number, err := 0, error(nil); err == nil; number++ {
				_, err = fmt.Fprintf(conn, "POST /pay HTTP/1.1\r\nHost: a\r\nX-Request-ID: held-%d-%d\r\nX-Timeout: 25000m\r\nTransfer-Encoding: chunked\r\n\r\n%s",
					connection, number, chunks)
			}
		}()
	}
	time.Sleep(time.Second)
	checkLatency(t, "held bodies", func(int) time.Duration { return medianLatency(t, listen, "/look") })
}
