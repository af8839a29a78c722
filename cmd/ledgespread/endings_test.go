package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// bound has the program itself, where a test starts it, hold no more descriptors than its settings tell.
func bound() {
	var most uint64
	if n, _ := fmt.Sscan(os.Getenv("LEDGESPREAD_DESCRIPTORS"), &most); n == 1 {
		syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: most, Max: most})
	}
}

// Clients hold all the connections they may, and more wait, while discovery is down. When it is back the sidecar reaches it, and a
// server that it tells of; staff reach the second address all the while.
func TestFullDescriptors(t *testing.T) {
	t.Setenv("LEDGESPREAD_DESCRIPTORS", "64")
	at, seen := standIn(t, "s1")
	d := discover(t, line("s1", at, "in_service"))
	away := free(t) // nobody is there yet
	file, listen := patientFile(t, away, "on_request")
	text, _ := os.ReadFile(file)
	console := free(t)
	os.WriteFile(file, []byte(strings.Replace(string(text), `"name":"n0"`, `"name":"n0","console":"`+console+`"`, 1)), 0o600)
	t.Setenv("TMPDIR", t.TempDir())
	program, log := launch(t, file)
	within(t, "it serves", func() bool { return strings.Contains(log.text(), `"serving"`) })
	for range 200 { // idle: each is accepted, or waits
		c, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
	}
	ready := func() string {
		resp, err := http.Get("http://" + console + "/control/ready")
		if err != nil {
			return err.Error()
		}
		defer resp.Body.Close()
		return fmt.Sprint(resp.StatusCode)
	}
	got := []string{"while discovery is down, staff: " + ready()}
	ln, err := net.Listen("tcp", away)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go http.Serve(ln, d)
	within(t, "it watches", func() bool { return d.waiting(8) > 0 })
	got = append(got, "the server that it tells of: "+visit(listen, "look", "1"), "staff: "+ready())
	program.Process.Signal(syscall.SIGTERM)
	got = append(got, fmt.Sprintf("end: %v, at the server %d", program.Wait(), seen.Load()))
	want := []string{"while discovery is down, staff: 200", "the server that it tells of: 200 s1", "staff: 200", "end: <nil>, at the server 1"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("-kept +now:\n%s\n%s", diff, log.text())
	}
	if strings.Contains(log.text(), "too many open files") {
		t.Errorf("out of descriptors:\n%s", log.text())
	}
}

// A second SIGTERM in a stop, and a SIGHUP between the two, change nothing: the request that is out gets its answer, and so do
// staff. One that comes before
// the sidecar serves ends it: nobody was let in.
func TestSignalsInAStop(t *testing.T) {
	release := make(chan bool)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	came := make(chan bool, 1)
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		came <- true
		<-release
		io.WriteString(w, "late")
	}))
	here := line("s0", ln.Addr().String(), "in_service")
	d := discover(t, here)
	file, listen := patientFile(t, d.at, "on_request", here)
	console := free(t)
	t.Setenv("RELAY_CONSOLE", console)
	t.Setenv("TMPDIR", t.TempDir())
	program, log := launch(t, file)
	within(t, "it serves", func() bool { return strings.Contains(log.text(), `"serving"`) })
	answer := make(chan string, 1)
	go func() { answer <- visit(listen, "pay", "1") }()
	<-came
	program.Process.Signal(syscall.SIGTERM)
	within(t, "it stops", func() bool { return strings.Contains(log.text(), "stopping") })
	program.Process.Signal(syscall.SIGHUP)
	within(t, "it reads its file", func() bool { return strings.Contains(log.text(), "read again") })
	program.Process.Signal(syscall.SIGTERM)
	got := []string{fmt.Sprintf("staff, meanwhile: counters %v, ready %v", staff("GET", console, "counters"), staff("GET", console, "ready"))}
	close(release)
	got = append(got, "answer: "+<-answer, fmt.Sprintf("end: %v", program.Wait()))

	d.mu.Lock()
	d.deaf = true
	d.mu.Unlock()
	file, _ = patientFile(t, d.at, "pushed", here)
	program, log = launch(t, file)
	within(t, "it waits for its first list", func() bool { return d.asked() > 2 })
	program.Process.Signal(syscall.SIGTERM)
	got = append(got, fmt.Sprintf("before it serves: %v, served %v", program.Wait(), strings.Contains(log.text(), `"serving"`)))
	if diff := cmp.Diff([]string{"staff, meanwhile: counters true, ready false", "answer: 200 late", "end: <nil>", "before it serves: <nil>, served false"}, got); diff != "" {
		t.Errorf("-kept +now:\n%s\n%s", diff, log.text())
	}
}

// asked counts all calls.
func (d *discovery) asked() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}
