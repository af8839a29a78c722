package main

import (
	"net/http"
	"strings"
	"testing"
)

// readyAnswer returns the status of /-/ready at the clients' address; 0: no answer.
func readyAnswer(address string) int {
	request, _ := http.NewRequest("GET", "http://"+address+"/-/ready", nil)
	request.Close = true
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// A process that does not serve yet, since it waits for its first list, does what it answers with yes at its console: it
// is out of service from its first client on, and the last call before it serves is the one that holds.
func TestOutOfServiceBeforeServing(t *testing.T) {
	for _, c := range []struct {
		name  string
		calls []string
		want  int
	}{
		{"out", []string{"out-of-service"}, http.StatusServiceUnavailable},
		{"out and back", []string{"out-of-service", "in-service"}, http.StatusOK},
		{"out, back and out", []string{"out-of-service", "in-service", "out-of-service"}, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			processes := newUpgrade(t, nil)
			stopOld, oldConsole, _ := processes.start(t, "old")
			processes.silent.Store(true)
			stopNew, newConsole, log := processes.launch(t, "new")
			eventually(t, "the new process answers calls", func() bool { return callConsole("GET", newConsole, "counters") })
			for _, call := range c.calls {
				if !callConsole("POST", newConsole, call) {
					t.Fatalf("%s: no", call)
				}
			}
			callConsole("POST", oldConsole, "out-of-service")
			eventually(t, "the new process serves", func() bool { return strings.Contains(log.text(), `"message":"serving"`) })
			if err := stopOld(); err != nil {
				t.Error(err)
			}
			if got := readyAnswer(processes.listen); got != c.want {
				t.Errorf("ready: %d, want %d", got, c.want)
			}
			if callConsole("GET", newConsole, "ready") != (c.want == http.StatusOK) {
				t.Error("the console says otherwise")
			}
			if !callConsole("POST", newConsole, "in-service") || readyAnswer(processes.listen) != http.StatusOK {
				t.Error("not back in service after a call")
			}
			if err := stopNew(); err != nil {
				t.Error(err)
			}
		})
	}
}
