package handover

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// openTwo opens the state file of a sidecar in two processes.
func openTwo(t *testing.T) (first, second *State) {
	t.Helper()
	folder := t.TempDir()
	first, _ = Open(folder, "n0", "127.0.0.1:1", zerolog.Nop())
	first.Announce()
	second, _ = Open(folder, "n0", "127.0.0.1:1", zerolog.Nop())
	second.Announce()
	t.Cleanup(func() { first.Close(20 * time.Second); second.Close(20 * time.Second) })
	return first, second
}

// set takes a server out or puts it back at one process.
func set(t *testing.T, s *State, server string, out bool) {
	t.Helper()
	if err := s.Update(t.Context(), server, out, succeed); err != nil {
		t.Fatal(err)
	}
}

// refreshed returns the servers that are out at each process after it has read the file.
func refreshed(processes ...*State) string {
	var lines []string
	for _, s := range processes {
		s.Refresh()
		lines = append(lines, fmt.Sprint(s.OutOfService()))
	}
	return strings.Join(lines, " ")
}

// expect compares what tests of two processes saw.
func expect(t *testing.T, want, got string) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
}

// Two processes change the file at the same time, many times: each change counts at both in the end. One wrote its whole
// list over the other's changes.
func TestConcurrentChangesAllCount(t *testing.T) {
	const servers, changes = 8, 7 // an odd number of changes leaves a server out
	first, second := openTwo(t)
	var all sync.WaitGroup
	var want []string
	for i := range servers {
		server, process := fmt.Sprintf("s%d", i), []*State{first, second}[i%2]
		want = append(want, server)
		all.Go(func() {
			for n := range changes {
				process.Update(t.Context(), server, n%2 == 0, succeed)
				process.Refresh()
			}
		})
	}
	all.Wait()
	expect(t, fmt.Sprintf("%v %v", want, want), refreshed(first, second))
}

// A change by the other process is noticed also if the file's size and time of change are the same afterwards, as after
// two writes within a tick of the file system's clock.
func TestChangeOfSameSizeAndTimeIsNoticed(t *testing.T) {
	first, second := openTwo(t)
	set(t, first, "s1", true)
	info, err := os.Stat(first.path)
	if err != nil {
		t.Fatal(err)
	}
	set(t, second, "s1", false)
	set(t, second, "s2", true)
	if err := os.Chtimes(first.path, info.ModTime(), info.ModTime()); err != nil {
		t.Fatal(err)
	}
	expect(t, "[s2]", refreshed(first))
}

// A write that failed is repeated after the other process has made changes: it adds its own change and undoes none. It
// wrote the whole list as it was before.
func TestLateWriteKeepsOtherChanges(t *testing.T) {
	first, second := openTwo(t)
	set(t, second, "s3", true)
	first.disk = &faultyDisk{errors: []error{syscall.ENOSPC, syscall.ENOSPC, syscall.ENOSPC, syscall.ENOSPC, syscall.ENOSPC, syscall.ENOSPC}}
	set(t, first, "s1", true) // written late
	set(t, second, "s2", true)
	set(t, second, "s3", false)
	awaitContent(first, "[s1 s2] <nil>")
	expect(t, "[s1 s2] [s1 s2]", refreshed(first, second))
}

// A change that is written late doesn't undo a later one of the same server by the other process. A time of change
// after the present one is of an earlier run of the machine, and counts as older.
func TestLateChangeIsSuperseded(t *testing.T) {
	at := machineTime(1_000_000_000)
	late, prompt := at-machineTime(2*lateWrite/time.Microsecond), at-1
	var got []string
	for _, changed := range []machineTime{late - 1, late + 1, at - 2, at + 1} {
		before := content{changed: map[string]machineTime{"s1": changed}}
		for _, called := range []machineTime{late, prompt} {
			got = append(got, fmt.Sprint(before.with(map[string]*change{"s1": {out: true, at: called}}, at).servers()))
		}
	}
	expect(t, "[s1] [s1] [] [s1] [] [s1] [s1] [s1]", strings.Join(got, " "))
}

// What was read before a change of this process was made doesn't undo that change.
func TestReadBeforeChangeIsNotTakenOver(t *testing.T) {
	first, _ := openTwo(t)
	var delivered []string
	first.Deliver = func(out []string) { delivered = append(delivered, fmt.Sprint(out)) }
	revision := first.currentRevision()
	read, err := first.read()
	if err != nil {
		t.Fatal(err)
	}
	set(t, first, "s1", true)
	if first.takeOver(read, revision) || len(delivered) > 0 {
		t.Errorf("an older content was taken over, delivered %v", delivered)
	}
	expect(t, "[s1]", refreshed(first))
}

// The other process is stopped while it holds the lock: a change is in force here at once, and written when the lock is
// free. If the holder was killed, the kernel has released it.
func TestOtherProcessHoldsLock(t *testing.T) {
	first, second := openTwo(t)
	lock, err := os.OpenFile(first.path+".lock", os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX); err != nil {
		t.Fatal(err)
	}
	set(t, first, "s1", true)
	expect(t, "[s1] []", refreshed(first, second))
	lock.Close()
	awaitContent(first, "[s1] <nil>")
	expect(t, "[s1] [s1]", refreshed(first, second))
}

// A process that doesn't know a server puts it back if the other process has taken it out.
func TestServerKnownToOtherProcess(t *testing.T) {
	first, second := openTwo(t)
	set(t, first, "s1", true)
	known := map[string]bool{}
	second.Deliver = func(out []string) { known[out[0]] = true }
	err := second.Update(t.Context(), "s1", false, func() error {
		if !known["s1"] {
			return os.ErrNotExist
		}
		return nil
	})
	expect(t, "<nil> [] []", fmt.Sprint(err, " ", refreshed(first, second)))
}

// The process that was started last stays the one in the file when the old one changes it: the old one took itself for
// the only process then, and left the members at its stop.
func TestChangeKeepsLatestProcess(t *testing.T) {
	first, _ := openTwo(t)
	text := fmt.Appendf(nil, `{"form":%q,"sidecar":"n0","number":99,"process":%d,"out":[],"changed":{}}`, form, os.Getppid())
	if err := os.WriteFile(first.path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	set(t, first, "s1", true)
	if !first.Replaced() {
		t.Error("not replaced")
	}
}

// A process of the version before this one writes its whole list. What it has not read yet stays; what it was asked for
// counts, also if that is to put back a server that was taken out here.
func TestOtherProcessOfEarlierVersion(t *testing.T) {
	writeList := func(s *State, servers string) {
		text := fmt.Appendf(nil, `{"form":%q,"sidecar":"n0","process":%d,"out":[%s]}`, form, os.Getppid(), servers)
		if err := os.WriteFile(s.path, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var got []string
	for _, list := range []string{`"s2"`, `"s1","s2"`, ``} {
		s, _ := openTwo(t)
		set(t, s, "s1", true)
		writeList(s, list)
		s.Refresh()
		awaitContent(s, fmt.Sprint(s.OutOfService(), " <nil>"))
		got = append(got, refreshed(s))
	}
	expect(t, "[s1 s2]; [s1 s2]; []", strings.Join(got, "; "))
}

// The end of a process waits for a change that is not written yet.
func TestCloseWaitsForWrite(t *testing.T) {
	first, second := openTwo(t)
	first.disk = &faultyDisk{errors: []error{syscall.EIO, syscall.EIO, syscall.EIO, syscall.EIO, syscall.EIO}} // for 0.3 s and more
	set(t, first, "s1", true)
	first.Close(20 * time.Second)
	expect(t, "[s1]", refreshed(second))
}

// slowSyncDisk takes long to sync.
type slowSyncDisk struct{ osDisk }

func (d slowSyncDisk) WriteFile(path string, text []byte, synced bool) error {
	if synced {
		time.Sleep(3 * unreadFor)
	}
	return d.osDisk.WriteFile(path, text, synced)
}

// The other process has a change soon, however long the disk takes to sync it: it learned of it only after that, and
// went on sending to a server that was out.
func TestSlowSyncDoesNotKeepChangeFromOtherProcess(t *testing.T) {
	first, second := openTwo(t)
	first.disk = slowSyncDisk{}
	set(t, first, "s1", true)
	expect(t, "[s1] [s1]", refreshed(first, second))
}

// After a crash of the machine the file may be empty, gone or older than its synced copy, which then counts. A file of
// an earlier version, which writes no copy, counts always.
func TestSyncedCopyAfterCrash(t *testing.T) {
	var got []string
	for _, left := range []string{``, `gone`, `"number":1,"out":[],"changed":{}`, `"number":99,"out":["s9"],"changed":{}`, `"out":["s9"]`} {
		folder := t.TempDir()
		first, _ := Open(folder, "n0", "127.0.0.1:1", zerolog.Nop())
		set(t, first, "s1", true)
		set(t, first, "s2", true)
		first.Close(20 * time.Second)
		switch left {
		case "gone":
			os.Remove(first.path)
		case "":
			os.WriteFile(first.path, nil, 0o600)
		default:
			os.WriteFile(first.path, fmt.Appendf(nil, `{"form":%q,"sidecar":"n0","process":1,%s}`, form, left), 0o600)
		}
		next, _ := Open(folder, "n0", "127.0.0.1:1", zerolog.Nop())
		t.Cleanup(func() { next.Close(20 * time.Second) })
		next.Refresh()
		set(t, next, "s3", true)
		later, _ := Open(folder, "n0", "127.0.0.1:1", zerolog.Nop())
		got = append(got, fmt.Sprint(later.OutOfService()))
	}
	expect(t, "[s1 s2 s3] [s1 s2 s3] [s1 s2 s3] [s3 s9] [s3 s9]", strings.Join(got, " "))
}
