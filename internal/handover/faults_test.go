package handover

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
)

// faultyDisk returns the listed errors from its first calls of WriteFile, and works normally after that.
type faultyDisk struct {
	osDisk
	mu       sync.Mutex
	errors   []error
	truncate bool // a failed write leaves half of the file behind
}

func (d *faultyDisk) nextError() (err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.errors) > 0 {
		err, d.errors = d.errors[0], d.errors[1:]
	}
	return err
}

func (d *faultyDisk) WriteFile(path string, text []byte, synced bool) error {
	err := d.nextError()
	if err != nil && d.truncate {
		d.osDisk.WriteFile(path, text[:len(text)/2], synced)
	}
	if err != nil {
		return &os.PathError{Op: "write", Path: path, Err: err}
	}
	return d.osDisk.WriteFile(path, text, synced)
}

// openAlone opens the state file of a sidecar with one process.
func openAlone(t *testing.T) *State {
	t.Helper()
	s, _ := Open(t.TempDir(), "n0", "127.0.0.1:1", zerolog.Nop())
	t.Cleanup(func() { s.Close(20 * time.Second) }) // nothing is written into the folder while it is removed
	return s
}

// awaitContent waits until the next process would read the wanted content or the time is over, and returns
// what it would read then.
func awaitContent(s *State, want string) (got string) { return awaitContentOf(s, s.path, want) }

// awaitContentOf does the same for one of the two files.
func awaitContentOf(s *State, path, want string) (got string) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		text, err := os.ReadFile(path)
		if err == nil {
			content, err := parse(text, s.sidecar)
			if got = fmt.Sprint(content.servers(), err); got == want {
				return got
			}
		}
	}
	return got
}

// A change that was accepted while the disk fails is written once the disk works again, and the last change
// wins. Once the write was not retried: an operator took a server out while the disk was full, and the next
// process sent requests to it.
func TestWrittenAfterDiskFaults(t *testing.T) {
	var got, want []string
	for _, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EIO, syscall.EDQUOT} {
		for _, truncate := range []bool{false, true} {
			s := openAlone(t)
			s.Announce()
			s.disk = &faultyDisk{errors: []error{errno, errno, errno, errno}, truncate: truncate}
			for _, server := range []string{"s1", "s2"} {
				if err := s.Update(t.Context(), server, true, succeed); err != nil {
					t.Fatal(err)
				}
			}
			got = append(got, fmt.Sprintf("%v, truncated %v: %s, synced %s", errno, truncate, awaitContent(s, "[s1 s2] <nil>"),
				awaitContentOf(s, s.syncedPath(), "[s1 s2] <nil>")))
			want = append(want, fmt.Sprintf("%v, truncated %v: [s1 s2] <nil>, synced [s1 s2] <nil>", errno, truncate))
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
}

// A change whose context ends first is answered with an error but may still be made later, and must then be
// written for the next process as well. Such a change was once made in this process only.
func TestLateChangeIsWritten(t *testing.T) {
	state := openAlone(t)
	state.Announce()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	proceed := make(chan struct{})
	answered := make(chan error, 1)
	go func() {
		answered <- state.Update(ctx, "s1", true, func() error {
			<-proceed
			return nil
		})
	}()
	var got []string
	select {
	case err := <-answered:
		got = append(got, fmt.Sprint("answered in time: ", errors.Is(err, context.DeadlineExceeded)))
	case <-time.After(20 * time.Second):
		got = append(got, "not answered")
	}
	close(proceed)
	got = append(got, "the next process: "+awaitContent(state, "[s1] <nil>"))
	if diff := cmp.Diff([]string{"answered in time: true", "the next process: [s1] <nil>"}, got); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
}
