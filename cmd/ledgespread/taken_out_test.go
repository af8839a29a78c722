package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// takenOutSettles is within what time of a call both processes have to hold to it: the rule's grace.
const takenOutSettles = 500 * time.Millisecond

// avoidedServers returns how many listed servers a process avoids, by its figures.
func avoidedServers(t *testing.T, consoleAddress string) string {
	t.Helper()
	resp, err := http.Get("http://" + consoleAddress + "/control/counters")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if figure, found := strings.CutPrefix(lines.Text(), "app.ejected="); found {
			return figure
		}
	}
	return "no figure"
}

// While a new version runs beside the old one, servers are taken out and put back at both, one call right after the
// other. One process wrote its whole list over what the other had written since, and servers that were out with a yes
// were put back by themselves.
func TestServersTakenOutAtBothProcesses(t *testing.T) {
	var entries []string
	for i := range 6 {
		entries = append(entries, fmt.Sprintf(`{"host":"s%d","dial":"127.0.0.1:1","site":"here","class":"m","block":0,"health":"in_service","share":1,"born_ms":0}`, i))
	}
	processes := newUpgrade(t, entries)
	stopOld, oldConsole, _ := processes.start(t, "old")
	stopNew, newConsole, _ := processes.start(t, "new")
	var got []string
	record := func(after string, consoles ...string) {
		time.Sleep(takenOutSettles)
		line := after + ":"
		for _, address := range consoles {
			line += " " + avoidedServers(t, address)
		}
		got = append(got, line)
	}
	call := func(console, path string) {
		if !callConsole("POST", console, "servers/"+path) {
			t.Errorf("%s: no", path)
		}
	}
	for i, console := range []string{oldConsole, newConsole, oldConsole, newConsole} {
		call(console, fmt.Sprintf("s%d/offline", i))
	}
	record("four out", oldConsole, newConsole)
	call(oldConsole, "s1/online")
	call(newConsole, "s0/online")
	record("two of them back, each at the other process", oldConsole, newConsole)
	call(newConsole, "s4/offline")
	call(oldConsole, "s4/online")
	call(oldConsole, "s5/offline")
	record("one out and back, another out", oldConsole, newConsole)
	if err := stopOld(); err != nil {
		t.Error(err)
	}
	record("the old process has ended", newConsole)
	if err := stopNew(); err != nil {
		t.Error(err)
	}
	stopNext, nextConsole, _ := processes.start(t, "next")
	record("the next process", nextConsole)
	if err := stopNext(); err != nil {
		t.Error(err)
	}
	want := []string{"four out: 4 4", "two of them back, each at the other process: 2 2", "one out and back, another out: 3 3",
		"the old process has ended: 3", "the next process: 3"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
}
