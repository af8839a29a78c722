package toldlist

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"ledgespread/brain"
	"ledgespread/internal/discovery"
	"ledgespread/internal/handover"
)

var zones = map[string]int{"here": 0, "there": 1}

const flushTimeout = 20 * time.Second

func entry(host string, standing brain.ServerState, started brain.Micros) discovery.Entry {
	return discovery.Entry{ID: discovery.ServerID(host), Host: host, Address: "127.0.0.1:80", Zone: 1, Cell: 3, Standing: standing, Weight: 0.5, Started: started}
}

// list returns a list of version 7.
func list(whole bool, entries ...discovery.Entry) *discovery.List {
	return &discovery.List{Version: 7, Whole: whole, Entries: entries}
}

// describe returns the content of a list as a line.
func describe(l *discovery.List) string {
	line := fmt.Sprint(l.Version, ":")
	for _, e := range l.Entries {
		line += fmt.Sprintf(" %s/%d", e.Host, e.Standing)
		if e.Started != 0 {
			line += fmt.Sprintf("/%d", e.Started)
		}
	}
	return line
}

// newRecorder returns a recorder of this process in a folder.
func newRecorder(folder string, log zerolog.Logger) *Recorder {
	return NewRecorder(filepath.Join(folder, "told"), "n0", zones, 42, list(true, entry("s0", brain.Ready, 0)), log)
}

// readOwn reads the file of this process, as another one would.
func readOwn(t *testing.T, folder string) *Told {
	t.Helper()
	told, err := readFile(filepath.Join(folder, "told"), handover.CurrentProcess(), "n0", zones)
	if err != nil {
		t.Fatal(err)
	}
	return told
}

// After any sequence of updates the file has the list that they add up to, also where it was written anew in between.
func TestFileHasWhatUpdatesAddUpTo(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		folder, err := os.MkdirTemp(t.TempDir(), "")
		if err != nil {
			r.Fatal(err)
		}
		recorder := newRecorder(folder, zerolog.Nop())
		want := discovery.ServerSet{}
		want.Apply(list(true, entry("s0", brain.Ready, 0)))
		for version := range uint64(rapid.IntRange(1, 30).Draw(r, "updates")) {
			next := &discovery.List{Version: version, Whole: rapid.IntRange(0, 9).Draw(r, "whole") == 0}
			for _, number := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 5, rapid.ID).Draw(r, "servers") {
				standing := rapid.SampledFrom([]brain.ServerState{brain.Ready, brain.Draining, brain.Gone}).Draw(r, "standing")
				next.Entries = append(next.Entries, entry(fmt.Sprint("s", number), standing, brain.Micros(1000*(version+1))))
			}
			recorder.Add(discovery.Update{Address: "a0", Confirmed: true, Epoch: int(version), List: next})
			want.Apply(next)
			if rapid.Bool().Draw(r, "flushes") {
				recorder.Flush(flushTimeout)
			}
			if rapid.IntRange(0, 4).Draw(r, "grows") == 0 {
				recorder.mu.Lock()
				recorder.rewrite = true
				recorder.mu.Unlock()
			}
		}
		recorder.Flush(flushTimeout)
		told := readOwn(t, folder)
		wantList := &discovery.List{Version: recorder.latest.List.Version, Whole: true, Source: "a0", Entries: want.Sorted()}
		if diff := cmp.Diff(wantList, told.List); diff != "" {
			r.Fatalf("-want +got:\n%s", diff)
		}
		if told.Known != 42 || told.Epoch != recorder.latest.Epoch || !told.Confirmed {
			r.Fatalf("read %+v", told)
		}
	})
}

// A server that appears among changes without a start has started just now. The next process has to warm it up as this one
// does, also if discovery repeats its entry.
func TestNewServerHasAStart(t *testing.T) {
	folder := t.TempDir()
	recorder := newRecorder(folder, zerolog.Nop())
	before := brain.Micros(time.Now().UnixMilli()) * 1000
	for version, next := range []*discovery.List{list(false, entry("s1", brain.Ready, 0)), list(true, entry("s0", brain.Ready, 0), entry("s1", brain.Ready, 0))} {
		next.Version = uint64(version)
		recorder.Add(discovery.Update{Address: "a0", Confirmed: true, List: next})
	}
	recorder.Flush(flushTimeout)
	var got []string
	for _, e := range readOwn(t, folder).List.Entries {
		got = append(got, fmt.Sprintf("%s: starts now %v", e.Host, e.Started >= before))
	}
	if diff := cmp.Diff([]string{"s0: starts now false", "s1: starts now true"}, got); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
}

// A change costs the bytes of the changed entries, not of the list, also if discovery answers with whole lists.
func TestChangeCostsItsEntries(t *testing.T) {
	const (
		servers       = 1024
		changes       = 100
		maxChangeSize = 400 // bytes
	)
	folder := t.TempDir()
	recorder := newRecorder(folder, zerolog.Nop())
	whole := list(true)
	for i := range servers {
		whole.Entries = append(whole.Entries, entry(fmt.Sprintf("s%04d", i), brain.Ready, 0))
	}
	recorder.Add(discovery.Update{Address: "a0", List: whole})
	recorder.Flush(flushTimeout)
	began, adding := time.Now(), time.Duration(0)
	for i := range changes {
		next := *whole
		next.Version += uint64(i) + 1
		next.Entries = append([]discovery.Entry(nil), whole.Entries...)
		next.Entries[i].Standing = brain.Draining
		whole = &next
		start := time.Now()
		recorder.Add(discovery.Update{Address: "a0", List: whole})
		adding += time.Since(start)
		recorder.Flush(flushTimeout)
	}
	t.Logf("first line %d bytes, %d bytes a change, %v a change in discovery's goroutine, %v in all", recorder.firstBytes, recorder.appendedBytes/changes,
		adding/changes, time.Since(began)/changes)
	if size := recorder.appendedBytes / changes; size > maxChangeSize {
		t.Errorf("%d bytes a change, limit %d", size, maxChangeSize)
	}
	if got := readOwn(t, folder).List.Version; got != whole.Version {
		t.Errorf("version %d, want %d", got, whole.Version)
	}
}

// A file that can't be read is passed over with one line in the log; an unfinished last line is being written.
func TestUnreadableFiles(t *testing.T) {
	writer := handover.CurrentProcess()
	folder := t.TempDir()
	recorder := newRecorder(folder, zerolog.Nop())
	recorder.Add(discovery.Update{Address: "a0", Confirmed: true, List: list(true, entry("s1", brain.Ready, 0))})
	recorder.Flush(flushTimeout)
	recorder.Add(discovery.Update{Address: "a0", Confirmed: true, List: &discovery.List{Version: 8, Entries: []discovery.Entry{entry("s1", brain.Draining, 0)}}})
	recorder.Flush(flushTimeout)
	path := fileOf(filepath.Join(folder, "told"), writer)
	sound, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	text := string(sound)
	var got []string
	for _, test := range []struct{ name, content string }{
		{"sound", text},
		{"torn in the last line", text[:len(text)-9]},
		{"torn in the first line", text[:20]},
		{"empty", ""},
		{"a malformed line", strings.Replace(text, "\n", "}\n", 1)},
		{"of another sidecar", strings.Replace(text, `"n0"`, `"n1"`, 1)},
		{"of another version of the program", strings.Replace(text, form, "ledgespread told list 2", 1)},
		{"without a whole list", text[strings.Index(text, "\n")+1:]},
		{"a malformed list", strings.Replace(text, `"seq":7`, `"seq":"7"`, 1)},
		{"too large", ""},
		{"a folder", ""},
		{"none", ""},
	} {
		if err := os.Remove(path); err != nil && !os.IsNotExist(err) {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(test.content), 0o600); err != nil {
			t.Fatal(err)
		}
		switch test.name {
		case "too large":
			err = os.Truncate(path, maxFileBytes+1)
		case "a folder":
			err = errors.Join(os.Remove(path), os.Mkdir(path, 0o700))
		case "none":
			err = os.Remove(path)
		}
		if err != nil {
			t.Fatal(err)
		}
		var log strings.Builder
		reader := NewReader(filepath.Join(folder, "told"), "n0", zones, zerolog.New(&log))
		line := "nothing"
		for range 2 {
			if told := reader.read(writer); told != nil {
				line = describe(told.List)
			}
		}
		got = append(got, fmt.Sprintf("%s: %s, warnings %d", test.name, line, strings.Count(log.String(), "passed over")))
	}
	want := []string{
		"sound: 8: s1/1, warnings 0",
		"torn in the last line: 7: s1/2, warnings 0",
		"torn in the first line: nothing, warnings 1",
		"empty: nothing, warnings 1",
		"a malformed line: nothing, warnings 1",
		"of another sidecar: nothing, warnings 1",
		"of another version of the program: nothing, warnings 1",
		"without a whole list: nothing, warnings 1",
		"a malformed list: nothing, warnings 1",
		"too large: nothing, warnings 1",
		"a folder: nothing, warnings 1",
		"none: nothing, warnings 0",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
}

// While the disk is full the log says so once, and the list is written as soon as it can be.
func TestListIsWrittenAfterDiskFault(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "missing")
	var log strings.Builder
	recorder := newRecorder(folder, zerolog.New(zerolog.SyncWriter(&log)))
	recorder.Add(discovery.Update{Address: "a0", List: list(true, entry("s1", brain.Ready, 0))})
	if recorder.Flush(100 * time.Millisecond) {
		t.Error("written without a folder")
	}
	recorder.Add(discovery.Update{Address: "a0", List: list(true, entry("s1", brain.Draining, 0))})
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	recorder.Close(flushTimeout)
	got := fmt.Sprintf("%s; tried again %d, at last %d", describe(readOwn(t, folder).List), strings.Count(log.String(), "tried again"), strings.Count(log.String(), "at last"))
	if diff := cmp.Diff("7: s1/1; tried again 1, at last 1", got); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
}

// Which list a process begins with: that of an earlier process (told) or that of the configuration (saved). s0 drains by what
// was told, s1 by the saved list.
func TestChoose(t *testing.T) {
	const sameList, otherList = 1, 2
	for _, test := range []struct {
		name                string
		writerRuns          bool
		fingerprint         uint64 // of the saved list that the writer was started with
		address             string // of the writer
		toldVersion         uint64
		want                string
		wantAddress         string
		wantConfirmedInFull bool
	}{
		{"the same saved list", true, sameList, "a0", 9, "9: s0/1 s1/2", "a0", true},
		{"the same saved list, the writer has ended", false, sameList, "a0", 9, "9: s0/1 s1/2", "a0", true},
		{"the same saved list, versions counted anew since", true, sameList, "a0", 2, "2: s0/1 s1/2", "a0", true},
		{"the same saved list, another address", true, sameList, "a1", 9, "9: s0/1 s1/2", "a1", true},
		{"an older saved list", true, otherList, "a0", 9, "9: s0/1 s1/2", "a0", true},
		{"an older saved list, the writer has ended", false, otherList, "a0", 9, "9: s0/1 s1/1", "a0", true},
		{"a newer saved list", true, otherList, "a0", 5, "7: s0/1 s1/1", "a0", true},
		{"a newer saved list, the writer has ended", false, otherList, "a0", 5, "7: s0/1 s1/1", "a0", true},
		{"another address", true, otherList, "a1", 9, "9: s0/1 s1/2", "a1", true},
		{"another address, the writer has ended", false, otherList, "a1", 9, "7: s0/1 s1/1", "a0", true},
	} {
		saved := Saved{List: list(true, entry("s0", brain.Ready, 0), entry("s1", brain.Draining, 0)), Fingerprint: sameList, Address: "a0"}
		told := &Told{Known: test.fingerprint, Update: discovery.Update{Address: test.address, Confirmed: true,
			List: &discovery.List{Version: test.toldVersion, Whole: true, Entries: []discovery.Entry{entry("s0", brain.Draining, 0), entry("s1", brain.Ready, 0)}}}}
		start := Choose(saved, told, test.writerRuns)
		got := fmt.Sprintf("%s at %s, confirmed %v", describe(start.List), start.Address, start.Confirmed)
		if want := fmt.Sprintf("%s at %s, confirmed %v", test.want, test.wantAddress, test.wantConfirmedInFull); got != want {
			t.Errorf("%s: %s, want %s", test.name, got, want)
		}
	}
	if start := Choose(Saved{List: list(true)}, nil, false); start.From != nil {
		t.Errorf("without a file: from %+v", start.From)
	}
}
