package handover

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
)

// succeed is the change in a process that has all servers.
func succeed() error { return nil }

// The next process reads what one process wrote. A truncated, foreign or malformed file, or a directory in
// its place, is logged once and ignored; a file is replaced by the next write.
func TestState(t *testing.T) {
	var got []string
	add := func(format string, args ...any) { got = append(got, fmt.Sprintf(format, args...)) }
	var log bytes.Buffer
	folder := t.TempDir()
	open := func() (*State, int) {
		state, before := Open(folder, "n0", "127.0.0.1:1", zerolog.New(&log))
		return state, before.id
	}
	warnings := func() int { defer log.Reset(); return bytes.Count(log.Bytes(), []byte("passed over")) }
	first, before := open()
	add("no file: %v, before %d, warnings %d", first.OutOfService(), before, warnings())
	first.Announce()
	add("%v, %v", first.Update(t.Context(), "s2", true, succeed), first.Update(t.Context(), "s1", true, succeed))
	add("%v", first.Update(t.Context(), "s9", true, func() error { return errors.New("no server s9") }))
	second, _ := open()
	t.Cleanup(func() { first.Close(20 * time.Second); second.Close(20 * time.Second) })
	add("the next process: %v", second.OutOfService())
	delivered := "nothing"
	first.Deliver = func(out []string) { delivered = fmt.Sprint(out) }
	first.Refresh()
	add("delivered to the first: %v", delivered)
	second.Update(t.Context(), "s2", false, succeed)
	first.Refresh()
	add("delivered to the first after a change by the second: %v", delivered)
	other, _ := Open(folder, "n1", "127.0.0.1:1", zerolog.Nop())
	add("another sidecar: %v", other.OutOfService())

	dead := exec.Command("true")
	if err := dead.Run(); err != nil {
		t.Fatal(err)
	}
	os.Remove(first.syncedPath()) // as if no process had written a change
	for _, process := range []int{os.Getppid(), os.Getpid(), dead.Process.Pid} {
		os.WriteFile(first.path, fmt.Appendf(nil, `{"form":%q,"sidecar":"n0","process":%d,"out":["s1"]}`, form, process), 0o600)
		s, before := open()
		add("%v, before is another process that runs: %v", s.OutOfService(), before == os.Getppid())
	}
	warnings()
	for _, text := range []string{"", `{"form":"` + form + `","sid`, `{}`, `[]`, "\x00\xff",
		fmt.Sprintf(`{"form":%q,"sidecar":"n1","process":1,"out":["s1"]}`, form),
		fmt.Sprintf(`{"form":%q,"sidecar":"n0","process":1,"out":"s1"}`, form),
		`{"form":"other","sidecar":"n0","process":1,"out":["s1"]}`} {
		os.WriteFile(first.path, []byte(text), 0o600)
		s, before := open()
		s.Refresh()
		add("%.20q: %v, before %d, warnings %d", text, s.OutOfService(), before, warnings())
	}
	os.Remove(first.path)
	os.Mkdir(first.path, 0o700)
	s, before := open()
	t.Cleanup(func() { s.Close(0) })
	add("a directory: %v, before %d, warnings %d", s.OutOfService(), before, warnings())
	s.Announce()
	add("a change that can't be written is in force: %v", s.Update(t.Context(), "s3", true, succeed))
	add("%v", s.OutOfService())
	want := []string{"no file: [], before 0, warnings 0", "<nil>, <nil>", "no server s9", "the next process: [s1 s2]",
		"delivered to the first: nothing", "delivered to the first after a change by the second: [s1]", "another sidecar: []",
		"[s1], before is another process that runs: true", "[s1], before is another process that runs: false",
		"[s1], before is another process that runs: false",
		`"": [], before 0, warnings 1`, "\"{\\\"form\\\":\\\"ledgespread\": [], before 0, warnings 1", `"{}": [], before 0, warnings 1`,
		`"[]": [], before 0, warnings 1`, `"\x00\xff": [], before 0, warnings 1`, "\"{\\\"form\\\":\\\"ledgespread\": [], before 0, warnings 1",
		"\"{\\\"form\\\":\\\"ledgespread\": [], before 0, warnings 1", "\"{\\\"form\\\":\\\"other\\\",\\\"sid\": [], before 0, warnings 1",
		"a directory: [], before 0, warnings 1", "a change that can't be written is in force: <nil>", "[s3]"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
}

// Any content is parsed without a panic, and with the same result if parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(fmt.Sprintf(`{"form":%q,"sidecar":"n0","process":1,"out":["s1"]}`, form)))
	f.Add([]byte(`{"form":null,"sidecar":"n0"`))
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, text []byte) {
		first, err := parse(text, "n0")
		again, errAgain := parse(text, "n0")
		if fmt.Sprint(first, err != nil) != fmt.Sprint(again, errAgain != nil) {
			t.Error("the same content parsed twice gave two results")
		}
		if err != nil {
			return
		}
		stored, err := first.encode("n0")
		if err != nil {
			t.Fatal(err)
		}
		if read, err := parse(stored, "n0"); err != nil || !maps.Equal(read.out, first.out) || !maps.Equal(read.changed, first.changed) || read.process != first.process {
			t.Errorf("%v was stored, %v was read: %v", first, read, err)
		}
	})
}

// slowDisk blocks writes until it is released.
type slowDisk struct {
	osDisk
	released chan struct{}
}

func (d slowDisk) WriteFile(path string, text []byte, synced bool) error {
	<-d.released
	return d.osDisk.WriteFile(path, text, synced)
}

// A slow disk does not block Update, and all changes are written in the end, in their order.
func TestSlowDisk(t *testing.T) {
	s := openAlone(t)
	disk := slowDisk{released: make(chan struct{})}
	s.disk = disk
	for _, server := range []string{"s1", "s2"} {
		for _, out := range []bool{true, false, true} {
			if err := s.Update(t.Context(), server, out, succeed); err != nil {
				t.Fatal(err)
			}
		}
	}
	close(disk.released)
	if diff := cmp.Diff("[s1 s2] <nil>", awaitContent(s, "[s1 s2] <nil>")); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
}
