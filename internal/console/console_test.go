package console

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"ledgespread/internal/counters"
)

// call sends raw bytes and returns the answer, and whether the server closed the connection after it.
func call(t *testing.T, address, raw string) string {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	io.WriteString(connection, raw)
	connection.SetReadDeadline(time.Now().Add(10 * time.Second))
	in := bufio.NewReader(connection)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return "no answer"
	}
	body, _ := io.ReadAll(resp.Body)
	_, err = in.ReadByte()
	return fmt.Sprintf("%d %.40q closed %v", resp.StatusCode, strings.TrimSpace(string(body)), err != nil)
}

// Each call has its own effect and no other. A message that is not a call gets a status 4xx, the connection
// is closed, and nothing is done.
func TestCalls(t *testing.T) {
	var done []string
	ready, note := true, func(what string) func() { return func() { done = append(done, what) } }
	console, err := Listen("127.0.0.1:0", 64, Sidecar{Ready: func() bool { return ready },
		Figures: func(w io.Writer) { io.WriteString(w, "app.forwards=3\n") },
		Server: func(_ context.Context, id string, out bool) error {
			if id == "nobody" {
				return errors.New("no server nobody")
			}
			note(fmt.Sprintf("%s out %v", id, out))()
			return nil
		},
		OutOfService: note("away"), InService: func() error { note("back")(); return nil }}, &counters.Set{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	go console.Serve()
	address, got := console.listener.Addr().String(), []string{}
	send := func(raw string) {
		n := len(done)
		got = append(got, fmt.Sprintf("%.50s: %s %v", strings.Split(raw, "\r\n")[0], call(t, address, raw), done[n:]))
	}
	for _, line := range []string{"GET /control/ready", "GET /control/counters", "POST /control/servers/s-1/offline",
		"POST /control/servers/s-1/online", "POST /control/servers/nobody/offline", "POST /control/out-of-service",
		"POST /control/in-service", "POST /control/ready", "GET /control/out-of-service", "GET /control/servers/s-1/offline",
		"POST /control/servers/s-1", "POST /control/servers//offline", "POST /control/servers/a/b/offline", "GET /", "GET /-/ready",
		"PUT /control/in-service"} {
		send(line + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
	}
	ready = false
	send("GET /control/ready HTTP/1.1\r\nHost: a\r\n\r\n")
	send("hello\r\n\r\n")
	send("POST /control/out-of-service HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n")
	send("GET /control/ready HTTP/1.1\r\nA: " + strings.Repeat("a", 9000) + "\r\n\r\n")
	send("GET /control/ready HTTP/1.1\r\nHost: a\r\n")
	if diff := cmp.Diff([]string{
		`GET /control/ready HTTP/1.1: 200 "yes" closed true []`,
		`GET /control/counters HTTP/1.1: 200 "app.forwards=3" closed true []`,
		`POST /control/servers/s-1/offline HTTP/1.1: 200 "yes" closed true [s-1 out true]`,
		`POST /control/servers/s-1/online HTTP/1.1: 200 "yes" closed true [s-1 out false]`,
		`POST /control/servers/nobody/offline HTTP/1.1: 404 "no server nobody" closed true []`,
		`POST /control/out-of-service HTTP/1.1: 200 "yes" closed true [away]`,
		`POST /control/in-service HTTP/1.1: 200 "yes" closed true [back]`,
		`POST /control/ready HTTP/1.1: 405 "the call has another method" closed true []`,
		`GET /control/out-of-service HTTP/1.1: 405 "the call has another method" closed true []`,
		`GET /control/servers/s-1/offline HTTP/1.1: 405 "the call has another method" closed true []`,
		`POST /control/servers/s-1 HTTP/1.1: 404 "no such call" closed true []`,
		`POST /control/servers//offline HTTP/1.1: 404 "no such call" closed true []`,
		`POST /control/servers/a/b/offline HTTP/1.1: 404 "no such call" closed true []`,
		`GET / HTTP/1.1: 404 "no such call" closed true []`,
		`GET /-/ready HTTP/1.1: 404 "no such call" closed true []`,
		`PUT /control/in-service HTTP/1.1: 405 "the call has another method" closed true []`,
		`GET /control/ready HTTP/1.1: 503 "not ready" closed true []`,
		`hello: 400 "no call" closed true []`,
		`POST /control/out-of-service HTTP/1.1: 400 "no call" closed true []`,
		`GET /control/ready HTTP/1.1: 400 "no call" closed true []`,
		`GET /control/ready HTTP/1.1: 400 "no call" closed true []`,
	}, got); diff != "" {
		t.Errorf("mismatch (-want +got):\n%s", diff)
	}
}

// A hundred connections that send nothing, or an incomplete call, don't delay a valid call, and never exceed
// the limit of connections.
func TestSilentCallers(t *testing.T) {
	console, err := Listen("127.0.0.1:0", 64, Sidecar{Ready: func() bool { return true }}, &counters.Set{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	go console.Serve()
	address, maxSeen := console.listener.Addr().String(), 0
	var got []string
	for round := range 5 {
		for i := range 20 {
			silent, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer silent.Close()
			if i%2 == 0 {
				io.WriteString(silent, "GET /control/ready HTTP/1.1\r\nHo")
			}
		}
		answer := call(t, address, "GET /control/ready HTTP/1.1\r\nHost: a\r\n\r\n")
		got = append(got, fmt.Sprintf("round %d: %s", round, answer))
		maxSeen = max(maxSeen, console.listener.OpenConnections())
	}
	got = append(got, fmt.Sprintf("no more than %d: %v", console.MaxConnections(), maxSeen <= console.MaxConnections()))
	want := []string{}
	for round := range 5 {
		want = append(want, fmt.Sprintf(`round %d: 200 "yes" closed true`, round))
	}
	if diff := cmp.Diff(append(want, "no more than 4: true"), got); diff != "" {
		t.Errorf("mismatch (-want +got):\n%s", diff)
	}
}
