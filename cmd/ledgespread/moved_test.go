package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// scriptedAnswer is what a scripted discovery does with one call.
type scriptedAnswer struct {
	after    time.Duration // since the first call at this address
	status   int           // 0: 200
	version  int
	draining bool // its list has the first server draining
}

// scriptedDiscovery answers each call by its own line of a script, and holds all later calls without an answer.
type scriptedDiscovery struct {
	at     string
	script []scriptedAnswer
	list   func(draining bool) string

	mu      sync.Mutex
	calls   int
	first   time.Time
	drained chan struct{} // closed once a list that has the server draining is written
}

func newScriptedDiscovery(t *testing.T, list func(draining bool) string, script ...scriptedAnswer) *scriptedDiscovery {
	t.Helper()
	d := &scriptedDiscovery{script: script, list: list, drained: make(chan struct{})}
	d.at = serveHTTP(t, d)
	return d
}

func (d *scriptedDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	call := d.calls
	d.calls++
	if call == 0 {
		d.first = time.Now()
	}
	first := d.first
	d.mu.Unlock()
	if call >= len(d.script) {
		<-r.Context().Done()
		return
	}
	answer := d.script[call]
	time.Sleep(time.Until(first.Add(answer.after)))
	if answer.status != 0 {
		w.WriteHeader(answer.status)
		return
	}
	fmt.Fprintf(w, `{"seq":%d,"whole":true,"hosts":[%s]}`, answer.version, d.list(answer.draining))
	w.(http.Flusher).Flush()
	if answer.draining {
		close(d.drained)
	}
}

// Sidecars went on sending to a server that drains, for up to a second after discovery had told them. They had just been moved to
// another address, where they make two calls side by side: the answer to the first one was taken, and the second call's answer, with
// the drain, was read by nobody. In the report discovery had "written 9.056:v43 10.172:v44" to one sidecar, which sent to the
// draining server from 10.797 to 11.205 and stopped when its next call ended at 11.385. Another sidecar had given both calls up
// ("discovery answered 503") when "11.331:v44" was written. Whatever discovery writes counts, whoever still waits for it.
func TestDrainToldAfterMove(t *testing.T) {
	const grace = 500 * time.Millisecond // as patientFile has it
	for _, c := range []struct {
		name   string
		script []scriptedAnswer
	}{
		{"by the second of two calls side by side", []scriptedAnswer{{after: 1500 * time.Millisecond, version: 43},
			{after: 2600 * time.Millisecond, version: 44, draining: true}}},
		{"after both calls were given up", []scriptedAnswer{{after: 2500 * time.Millisecond, status: http.StatusServiceUnavailable},
			{after: 3800 * time.Millisecond, version: 44, draining: true}}},
		{"by the first call, after the second's answer", []scriptedAnswer{{after: 2600 * time.Millisecond, version: 44, draining: true},
			{after: 1500 * time.Millisecond, version: 43}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			draining, sent := standIn(t, "s0")
			ready, _ := standIn(t, "s1")
			list := func(drains bool) string {
				health := map[bool]string{false: "in_service", true: "terminating"}[drains]
				return line("s0", draining, health) + "," + line("s1", ready, "in_service")
			}
			old := discover(t, line("s0", draining, "in_service"), line("s1", ready, "in_service"))
			next := newScriptedDiscovery(t, list, c.script...)
			file, listen := patientFile(t, old.at, "on_request", line("s0", draining, "in_service"), line("s1", ready, "in_service"))
			program, log := launch(t, file)
			within(t, "it watches", func() bool { return strings.Contains(log.text(), `"serving"`) && old.waiting(8) > 0 })
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(file, []byte(strings.Replace(string(text), old.at, next.at, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			program.Process.Signal(syscall.SIGHUP)
			<-next.drained
			time.Sleep(grace)
			before := sent.Load()
			var got []string
			for i := range 12 {
				got = append(got, visit(listen, "look", fmt.Sprint(c.name, i)))
			}
			got = append(got, fmt.Sprintf("sent to the draining server: %d", sent.Load()-before))
			var want []string
			for range 12 {
				want = append(want, "200 s1")
			}
			want = append(want, "sent to the draining server: 0")
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("-kept +now:\n%s\n%s", diff, log.text())
			}
		})
	}
}

// A SIGHUP that came while the configuration was still being read ended the process, "signal: hangup", since signals were heard only after
// that. It is heard from the first moment, and has the file read again.
func TestHangupWhileConfigurationIsRead(t *testing.T) {
	file, _ := patientFile(t, discover(t).at, "on_request")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	os.Remove(file)
	if err := syscall.Mkfifo(file, 0o600); err != nil {
		t.Fatal(err)
	}
	program, log := launch(t, file)
	first, err := os.OpenFile(file, os.O_WRONLY, 0) // opens once the program has, which then waits for the text
	if err != nil {
		t.Fatal(err)
	}
	program.Process.Signal(syscall.SIGHUP)
	time.Sleep(50 * time.Millisecond) // for the signal to come
	first.Write(text)
	first.Close()
	within(t, "it serves", func() bool { return strings.Contains(log.text(), `"serving"`) })
	again, err := os.OpenFile(file, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	again.Write(text)
	again.Close()
	within(t, "it read the file again", func() bool { return strings.Contains(log.text(), "configuration read again") })
}
