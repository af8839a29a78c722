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

// faultyDisk fails by its own list of errors first, one for each file that is written.
type faultyDisk struct {
	folder
	mu     sync.Mutex
	errors []error
	torn   bool // what fails leaves half a file behind
}

func (d *faultyDisk) next() (err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.errors) > 0 {
		err, d.errors = d.errors[0], d.errors[1:]
	}
	return err
}

func (d *faultyDisk) WriteFile(path string, text []byte) error {
	err := d.next()
	if err != nil && d.torn {
		d.folder.WriteFile(path, text[:len(text)/2])
	}
	if err != nil {
		return &os.PathError{Op: "write", Path: path, Err: err}
	}
	return d.folder.WriteFile(path, text)
}

// held is what the next process would read, once it reads this or the time is over.
func held(b *State, want string) (got string) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		text, err := os.ReadFile(b.path)
		if err == nil {
			out, _, err := parse(text, b.sidecar)
			if got = fmt.Sprint(out, err); got == want {
				return got
			}
		}
	}
	return got
}

// Staff had taken a server out while the disk was full. They were told yes, the failure was logged ("which servers are out could not be
// written down") and never tried again, so the next process sent requests to that server. What was taken on is written as soon as
// the disk takes it, the last change last.
func TestWrittenAfterDiskFaults(t *testing.T) {
	var got, want []string
	for _, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EIO, syscall.EDQUOT} {
		for _, torn := range []bool{false, true} {
			b, _ := Open(t.TempDir(), "n0", "127.0.0.1:1", zerolog.Nop())
			b.Write()
			b.disk = &faultyDisk{errors: []error{errno, errno, errno, errno}, torn: torn}
			for _, out := range [][]string{{"s1"}, {"s1", "s2"}} {
				if err := b.Change(t.Context(), func() ([]string, error) { return out, nil }); err != nil {
					t.Fatal(err)
				}
			}
			got = append(got, fmt.Sprintf("%v, torn %v: %s", errno, torn, held(b, "[s1 s2] <nil>")))
			want = append(want, fmt.Sprintf("%v, torn %v: [s1 s2] <nil>", errno, torn))
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("-kept +now:\n%s", diff)
	}
}

// Staff's call gets its no once its time is over, but the server may be taken out a moment later all the same, and then has to be out for
// the next process as well. Such a change was made in this process and never written.
func TestLateChangeIsWritten(t *testing.T) {
	b, _ := Open(t.TempDir(), "n0", "127.0.0.1:1", zerolog.Nop())
	b.Write()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	goOn := make(chan struct{})
	answered := make(chan error, 1)
	go func() {
		answered <- b.Change(ctx, func() ([]string, error) {
			<-goOn
			return []string{"s1"}, nil
		})
	}()
	var got []string
	select {
	case err := <-answered:
		got = append(got, fmt.Sprint("answered in time: ", errors.Is(err, context.DeadlineExceeded)))
	case <-time.After(20 * time.Second):
		got = append(got, "not answered")
	}
	close(goOn)
	got = append(got, "the next process: "+held(b, "[s1] <nil>"))
	if diff := cmp.Diff([]string{"answered in time: true", "the next process: [s1] <nil>"}, got); diff != "" {
		t.Errorf("-kept +now:\n%s", diff)
	}
}
