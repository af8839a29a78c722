package discovery_test

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"ledgespread/brain"
	"ledgespread/internal/counters"
	"ledgespread/internal/discovery"
)

// A list that is written is read back as it was.
func TestEncodedListIsReadBack(t *testing.T) {
	zones := map[string]int{"here": 0, "there": 1}
	rapid.Check(t, func(t *rapid.T) {
		written := &discovery.List{Version: rapid.Uint64Range(0, 1<<53).Draw(t, "version"), Whole: true}
		for _, host := range rapid.SliceOfDistinct(rapid.StringMatching(`[a-z"\\é-]{1,9}`), rapid.ID).Draw(t, "hosts") {
			written.Entries = append(written.Entries, discovery.Entry{ID: discovery.ServerID(host), Host: host, Address: "127.0.0.1:80",
				Zone: brain.Zone(rapid.IntRange(0, 1).Draw(t, "zone")), Cell: brain.Cell(rapid.IntRange(0, 9).Draw(t, "cell")),
				Standing: rapid.SampledFrom([]brain.ServerState{brain.Ready, brain.Draining}).Draw(t, "standing"),
				Weight:   rapid.Float64Range(0, 9).Draw(t, "weight"), Started: 1000 * brain.Micros(rapid.Int64Range(0, 1<<41).Draw(t, "started"))})
		}
		text, err := written.Encode(zones)
		if err != nil {
			t.Fatal(err)
		}
		read, err := discovery.Read(text, zones)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(written, read); diff != "" {
			t.Errorf("-want +got:\n%s", diff)
		}
	})
}

// After each list that is delivered OnServers has all servers that are listed by then, those that drain among them.
func TestListedServersAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newSimulatedService()
		service.onWritten = func(receivedCall, *listAnswer) {}
		service.onProcessed = func(receivedCall) {}
		watcher := discovery.New("a0", map[string]int{"here": 0}, 0, 10e6, 1, 1<<20, 7, func(*discovery.List) {}, &counters.Set{}, zerolog.Nop())
		watcher.SetDial(service.dial)
		var got []string
		watcher.OnServers = func(l *discovery.List) {
			line := l.Source + ":"
			for _, entry := range l.Entries {
				line += " " + entry.Host
				if entry.Standing != brain.Ready {
					line += " (drains)"
				}
			}
			got = append(got, line)
		}
		watcher.Watch()
		time.Sleep(time.Second)
		server := func(host, health string) serverState {
			return serverState{Host: host, Dial: "127.0.0.1:1000", Site: "here", Health: health, Share: 1}
		}
		for _, change := range []serverState{server("s0", "in_service"), server("s1", "in_service"), server("s0", "terminating"), server("s0", "terminated")} {
			service.withLock(func() { service.set(change) })
			time.Sleep(time.Second)
		}
		synctest.Wait()
		want := []string{"a0: s0", "a0: s0 s1", "a0: s0 (drains) s1", "a0: s1"}
		if diff := cmp.Diff(want, slices.DeleteFunc(got, func(line string) bool { return strings.HasSuffix(line, ":") })); diff != "" {
			t.Errorf("-want +got:\n%s", diff)
		}
		watcher.Close()
		service.close()
		time.Sleep(2 * time.Hour)
	})
}
