package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// cpuTime is how much processor time a process has used.
func cpuTime(t *testing.T, pid int) time.Duration {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	var user, system int
	fmt.Sscan(fields[11], &user)
	fmt.Sscan(fields[12], &system)
	return time.Duration(user+system) * 10 * time.Millisecond
}

// A new configuration takes all classes away while a request is out, and a later one brings them back: nothing waits in a loop meanwhile, and requests
// of classes that are there are served.
func TestClassesEmptied(t *testing.T) {
	hangs := make(chan struct{})
	defer close(hangs)
	server := serveHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Request-ID") == "hangs" {
			<-hangs
		}
		io.WriteString(w, "s0")
	}))
	list := discover(t, line("s0", server, "in_service"))
	file, listen := patientFile(t, list.at, "on_request", line("s0", server, "in_service"))
	program, log := launch(t, file)
	within(t, "it serves", func() bool { return strings.Contains(log.text(), `"serving"`) && list.waiting(8) > 0 })
	go visit(listen, "look", "hangs")
	time.Sleep(200 * time.Millisecond) // for the request to be out
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, _ := strings.Cut(string(text), `"path_prefixes":[`)
	_, after, _ := strings.Cut(rest, "]")
	reload := func(text string, times int) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		program.Process.Signal(syscall.SIGHUP)
		within(t, "it read the file", func() bool { return strings.Count(log.text(), "configuration read again") == times })
	}
	reload(before+`"path_prefixes":[]`+after, 1)
	used := cpuTime(t, program.Process.Pid)
	time.Sleep(2 * time.Second)
	if used = cpuTime(t, program.Process.Pid) - used; used > 200*time.Millisecond {
		t.Errorf("it used %v of two seconds of processor time while one request was out", used)
	}
	if answer := visit(listen, "look", "unknown"); !strings.HasPrefix(answer, "404") {
		t.Errorf("a request of a class that went: %s", answer)
	}
	reload(string(text), 2)
	if answer := visit(listen, "look", "again"); answer != "200 s0" {
		t.Errorf("a request of a class that came back: %s", answer)
	}
}
