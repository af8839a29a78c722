package discovery_test

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"ledgespread/brain"
	"ledgespread/internal/counters"
	"ledgespread/internal/discovery"
)

// A list that is written is read back as it was.
func TestEncodedListIsReadBack(t *testing.T) {
	zones := map[string]int{"here": 0, "there": 1}
	rapid.Check(t, func(t *rapid.T) {
		written := &discovery.List{Version: rapid.Uint64Range(0, 1<<53).Draw(t, "version"), Whole: rapid.Bool().Draw(t, "whole")}
		for _, host := range rapid.SliceOfDistinct(rapid.StringMatching(`[a-z"\\é-]{1,9}`), rapid.ID).Draw(t, "hosts") {
			written.Entries = append(written.Entries, discovery.Entry{ID: discovery.ServerID(host), Host: host, Address: "127.0.0.1:80",
				Zone: brain.Zone(rapid.IntRange(0, 1).Draw(t, "zone")), Cell: brain.Cell(rapid.IntRange(0, 9).Draw(t, "cell")),
				Standing: rapid.SampledFrom([]brain.ServerState{brain.Ready, brain.Draining, brain.Gone}).Draw(t, "standing"),
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

// handOverDelay is how much later a process takes over what another one was told.
const handOverDelay = 200 * time.Millisecond

// secondProcess is a process beside that of a sequenceRun, which takes over the lists of that one. It can't reach discovery.
type secondProcess struct {
	watcher *discovery.Watcher
	ready   map[string]bool
}

// newSecondProcess starts a process with what the first one has told.
func newSecondProcess(run *sequenceRun, begin discovery.Update) *secondProcess {
	second := &secondProcess{ready: map[string]bool{}}
	apply := func(list *discovery.List) {
		run.mu.Lock()
		defer run.mu.Unlock()
		if list.Whole {
			clear(second.ready)
		}
		for _, entry := range list.Entries {
			second.ready[entry.Host] = entry.Standing == brain.Ready
		}
	}
	onList := func(list *discovery.List) {
		if list != nil {
			apply(list)
		} else if !run.pushed {
			time.AfterFunc(2*time.Second, second.watcher.Watch)
		}
	}
	second.watcher = discovery.New(run.model.current, map[string]int{"here": 0}, 0, 10e6, 3, 1<<20, 8, onList, &counters.Set{}, zerolog.Nop())
	second.watcher.OnTakenOver = apply
	second.watcher.SetDial(func(_ string, timeout time.Duration) (net.Conn, error) {
		time.Sleep(timeout)
		return nil, fasthttp.ErrDialTimeout
	})
	second.watcher.Begin(begin)
	apply(begin.List)
	if run.pushed {
		second.watcher.WatchPushed(500_000)
	} else {
		second.watcher.Watch()
	}
	return second
}

// wholeList keeps the whole list of a process, from its updates.
type wholeList struct{ entries map[string]discovery.Entry }

// apply adds an update and returns it with the whole list.
func (l *wholeList) apply(update discovery.Update) discovery.Update {
	if update.List.Whole {
		clear(l.entries)
	}
	for _, entry := range update.List.Entries {
		if l.entries[entry.Host] = entry; entry.Standing == brain.Gone {
			delete(l.entries, entry.Host)
		}
	}
	whole := &discovery.List{Version: update.List.Version, Whole: true}
	for _, host := range slices.Sorted(maps.Keys(l.entries)) {
		whole.Entries = append(whole.Entries, l.entries[host])
	}
	update.List = whole
	return update
}

// A process that was started while discovery was out of reach decided by the list of its configuration, and not by what the
// one beside it had been told and was told from then on. A second process starts at any moment of a sequence and takes over
// the updates of the first one: its servers are those of the first process.
func TestSecondProcessHasListOfFirst(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		pushed := rapid.Bool().Draw(r, "pushed")
		before := rapid.SliceOfN(stepsWith(nil, resetVersions), 0, 10).Draw(r, "before the second process")
		after := rapid.SliceOfN(stepsWith(nil, resetVersions), 1, 15).Draw(r, "beside it")
		if failure := playSecondProcess(t, pushed, before, after); failure != "" {
			r.Fatal(failure)
		}
	})
}

// playSecondProcess runs steps before and after the start of the second process.
func playSecondProcess(t *testing.T, pushed bool, before, after []step) (failure string) {
	synctest.Test(t, func(t *testing.T) {
		run := newSequenceRun(pushed, 3)
		whole := &wholeList{map[string]discovery.Entry{}}
		var latest discovery.Update
		var latestAt time.Time
		var second *secondProcess
		run.watcher.OnUpdate = func(update discovery.Update) {
			update = whole.apply(update)
			run.mu.Lock()
			latest, latestAt = update, time.Now()
			run.mu.Unlock()
			time.AfterFunc(handOverDelay, func() {
				run.mu.Lock()
				takesOver := second
				run.mu.Unlock()
				if takesOver != nil {
					takesOver.watcher.TakeOver(update)
				}
			})
		}
		run.start()
		for _, s := range before {
			run.runStep(s)
		}
		run.mu.Lock()
		begin := latest
		run.mu.Unlock()
		started := newSecondProcess(run, begin)
		run.mu.Lock()
		second = started
		run.mu.Unlock()
		for _, s := range after {
			run.service.withLock(func() { fmt.Fprintf(&run.log, "%+v\n", s) })
			run.runStep(s)
			if s.action == moveService {
				second.watcher.SetAddress(run.model.current)
			}
			for isPending := true; isPending; { // an update is on its way
				time.Sleep(2 * handOverDelay)
				run.mu.Lock()
				isPending = time.Since(latestAt) < 2*handOverDelay
				run.mu.Unlock()
			}
			run.mu.Lock()
			want, got := readyNames(run.received), readyNames(second.ready)
			run.mu.Unlock()
			if want != got && failure == "" {
				failure = fmt.Sprintf("after %+v: the first process has %q, the second one %q", s, want, got)
			}
		}
		run.watcher.Close()
		second.watcher.Close()
		run.service.close()
		time.Sleep(2 * time.Hour)
		if failure != "" {
			failure += "\n" + run.log.String()
		}
	})
	return failure
}

// Which parts of another process's list are taken over, and what is asked for afterwards.
func TestTakeOver(t *testing.T) {
	entry := func(host string, standing brain.ServerState, started brain.Micros) discovery.Entry {
		return discovery.Entry{ID: discovery.ServerID(host), Host: host, Address: "127.0.0.1:80", Standing: standing, Weight: 1, Started: started}
	}
	other := func(address string, confirmed bool, epoch int, version uint64, entries ...discovery.Entry) discovery.Update {
		return discovery.Update{Address: address, Confirmed: confirmed, Epoch: epoch, List: &discovery.List{Version: version, Whole: true, Entries: entries}}
	}
	drains, restarted, added := entry("s0", brain.Draining, 1000), entry("s0", brain.Ready, 2000), entry("s2", brain.Ready, 0)
	for _, test := range []struct {
		name string
		list discovery.Update
		want string // the servers that are ready
	}{
		{"a later version", other("a0", true, 0, 9, drains, added), "s2"},
		{"the same version: servers that leave", other("a0", true, 0, 8, drains, entry("s1", brain.Ready, 0), added), "s1"},
		{"an earlier version", other("a0", true, 0, 7, drains, added), "s0 s1"},
		{"an earlier version, counted anew", other("a0", true, 1, 3, drains, added), "s2"},
		{"another address", other("a1", true, 0, 99, drains, added), "s1"},
		{"an address of which no list was accepted yet", other("a0", false, 0, 99, drains, added), "s1"},
		{"another address, a server that has started again since", other("a1", true, 0, 99, entry("s0", brain.Draining, 500)), "s0 s1"},
		{"a later version, a server that has started again", other("a0", true, 0, 9, restarted), "s0"},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := map[string]bool{}
			watcher := discovery.New("a0", map[string]int{"here": 0}, 8, 10e6, 1, 1<<20, 7, func(*discovery.List) {}, &counters.Set{}, zerolog.Nop())
			watcher.SetDial(func(string, time.Duration) (net.Conn, error) { return nil, fasthttp.ErrDialTimeout })
			watcher.OnTakenOver = func(list *discovery.List) {
				clear(got)
				for _, entry := range list.Entries {
					got[entry.Host] = entry.Standing == brain.Ready
				}
			}
			watcher.LoadSaved(other("a0", true, 0, 8, entry("s0", brain.Ready, 1000), entry("s1", brain.Ready, 0)).List)
			got["s0"], got["s1"] = true, true
			watcher.TakeOver(test.list)
			if diff := cmp.Diff(test.want, readyNames(got)); diff != "" {
				t.Errorf("-want +got:\n%s", diff)
			}
			watcher.Close()
		})
	}
}

// The first call of a process that begins with another one's list asks from the version of that list at the same address,
// and for the whole list elsewhere.
func TestFirstCallAfterBegin(t *testing.T) {
	for address, want := range map[string]string{"a0": "from 9", "a1": "whole list"} {
		synctest.Test(t, func(t *testing.T) {
			service := newSimulatedService()
			var calls []string
			service.onWritten = func(call receivedCall, _ *listAnswer) {
				if calls = append(calls, fmt.Sprintf("from %d", call.from)); call.whole {
					calls = []string{"whole list"}
				}
			}
			service.onProcessed = func(receivedCall) {}
			watcher := discovery.New("a0", map[string]int{"here": 0}, 3, 10e6, 1, 1<<20, 7, func(*discovery.List) {}, &counters.Set{}, zerolog.Nop())
			watcher.SetDial(service.dial)
			watcher.Begin(discovery.Update{Address: address, Confirmed: true, List: &discovery.List{Version: 9, Whole: true}})
			watcher.Watch()
			time.Sleep(time.Second)
			service.withLock(func() {
				if got := strings.Join(calls, ", "); got != want {
					t.Errorf("told at %s: %q, want %q", address, got, want)
				}
			})
			watcher.Close()
			service.close()
			time.Sleep(2 * time.Hour)
		})
	}
}
