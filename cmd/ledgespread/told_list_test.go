package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A new process that was started while discovery was out of reach sent to a server that drained: the old process had been told
// so, and the new one decided by the list of its configuration. It has to know what any process of its sidecar was told before
// it started or is told beside it, also if no other one runs any more.
func TestNewProcessKnowsWhatOthersWereTold(t *testing.T) {
	for _, test := range []struct {
		name        string
		toldBeside  bool           // the old process is told after the new one has started
		endsBefore  syscall.Signal // ends the old process before the new one starts; 0: it ends when the new one is ready
		takesOut    bool           // an operator takes s2 out at the same moment
		wantMessage string         // of the new process
	}{
		{name: "before", wantMessage: "begins with the list of another process"},
		{name: "beside it", toldBeside: true, wantMessage: "list taken over from another process"},
		{name: "before, with a server taken out", takesOut: true, wantMessage: "begins with the list of another process"},
		{name: "by one that was killed", endsBefore: syscall.SIGKILL, wantMessage: "begins with the list of another process"},
		{name: "by one that was stopped", endsBefore: syscall.SIGTERM, wantMessage: "begins with the list of another process"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var entries, draining []string
			counts := map[string]func() int64{}
			for i := range 3 {
				name, health := fmt.Sprint("s", i), "in_service"
				address, requests := startServer(t, name)
				counts[name] = requests.Load
				entries = append(entries, serverEntry(name, address, health))
				if i == 1 {
					health = "terminating"
				}
				draining = append(draining, serverEntry(name, address, health))
			}
			service := startDiscovery(t, entries...)
			processes := newUpgrade(t, entries)
			processes.discovery = service.address
			drain := func() {
				service.setList(draining...)
				eventually(t, "the old process is told", func() bool { return service.heldAt(9) > 0 })
			}
			old := processes.launch(t, "old")
			eventually(t, "the old process watches", func() bool { return service.heldAt(8) > 0 })
			if !test.toldBeside {
				drain()
			}
			if test.takesOut && !callConsole("POST", old.console, "servers/s2/offline") {
				t.Error("s2 isn't taken out")
			}
			service.ignoreNewConnections()
			if test.endsBefore != 0 {
				time.Sleep(takenOutSettles)
				old.program.Process.Signal(test.endsBefore)
				old.program.Wait()
			}
			stopNew, _, log := processes.start(t, "new")
			if test.toldBeside {
				drain()
				time.Sleep(takenOutSettles)
			}
			if test.endsBefore == 0 {
				if err := old.stop(); err != nil {
					t.Error(err)
				}
			}
			isOut := []string{"s1"}
			if test.takesOut {
				isOut = append(isOut, "s2")
			}
			sentToThem := func() (sum int64) {
				for _, name := range isOut {
					sum += counts[name]()
				}
				return sum
			}
			before := sentToThem()
			got := []string{fmt.Sprintf("answers %v", requestOften(processes.listen, 40))}
			got = append(got, fmt.Sprintf("to servers that are out: %d", sentToThem()-before))
			got = append(got, fmt.Sprintf("logged: %v", strings.Contains(log.text(), test.wantMessage)))
			if diff := cmp.Diff([]string{"answers map[200:40]", "to servers that are out: 0", "logged: true"}, got); diff != "" {
				t.Errorf("-want +got:\n%s\n%s", diff, log.text())
			}
			if err := stopNew(); err != nil {
				t.Error(err)
			}
		})
	}
}

// requestOften sends safe requests one after another and returns how many answers had which status.
func requestOften(listen string, times int) map[int]int {
	statuses := map[int]int{}
	for i := range times {
		request, _ := http.NewRequest("GET", "http://"+listen+"/look/x", nil)
		request.Header.Set("X-Request-ID", fmt.Sprint("often", i))
		request.Header.Set("X-Timeout", "500m")
		resp, err := http.DefaultClient.Do(request)
		if err != nil {
			statuses[0]++
			continue
		}
		resp.Body.Close()
		statuses[resp.StatusCode]++
	}
	return statuses
}
