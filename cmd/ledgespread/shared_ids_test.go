package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// A client left a process of an upgrade while its unsafe request was executed, and sent the same request ID again: the other
// process didn't know it, and the request was executed twice.
func TestRequestIsNotExecutedAtBothProcesses(t *testing.T) {
	const sameRequest = "GET /look HTTP/1.1\r\nHost: a\r\nX-Request-ID: same\r\nX-Timeout: 20000m\r\n\r\n"
	var executed atomic.Int64
	release := make(chan bool)
	address := serveHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		executed.Add(1)
		<-release
		io.WriteString(w, "done")
	}))
	defer close(release)
	upgrade := newUpgrade(t, []string{serverEntry("s0", address, "in_service")})
	upgrade.start(t, "old")
	atOld, err := net.Dial("tcp", upgrade.listen)
	if err != nil {
		t.Fatal(err)
	}
	_, newConsole, _ := upgrade.start(t, "new")
	eventually(t, "the new process serves", func() bool { return callConsole("GET", newConsole, "ready") })
	fmt.Fprint(atOld, sameRequest)
	eventually(t, "it is executed", func() bool { return executed.Load() == 1 })
	atOld.Close()
	atNew := connectToUnused(t, upgrade.listen)
	fmt.Fprint(atNew, sameRequest)
	answer, err := http.ReadResponse(bufio.NewReader(atNew), nil)
	if err != nil {
		t.Fatal(err)
	}
	if n := executed.Load(); n != 1 || answer.StatusCode != http.StatusConflict {
		t.Errorf("executed %d times, answered %d", n, answer.StatusCode)
	}
}

// connectToUnused connects to the process at a shared address that has taken no request yet. The kernel may choose either
// one for each connection.
func connectToUnused(t *testing.T, address string) net.Conn {
	t.Helper()
	var found net.Conn
	eventually(t, "a connection to the unused process", func() bool {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return false
		}
		t.Cleanup(func() { conn.Close() })
		fmt.Fprint(conn, "GET /-/counters HTTP/1.1\r\nHost: a\r\n\r\n")
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return false
		}
		text, _ := io.ReadAll(answer.Body)
		found = conn
		return strings.Contains(string(text), "visits_taken 0\n")
	})
	return found
}
