// Package handover is what one process of a sidecar leaves to the next one: a small file in $TMPDIR that tells which
// servers staff took out. Both processes of a new version under load read and write it.
package handover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

const (
	form = "ledgespread out of hand 1" // of the file
	most = 1 << 20                     // bytes that a file of ours has at the most

	writeBy = 300 * time.Millisecond // a call's answer waits for the file so long, and no longer
)

// disk is what the file is written by.
type disk interface {
	// WriteFile has a file hold this text.
	WriteFile(path string, text []byte) error
	Rename(from, to string) error
}

// folder is a disk as the operating system has it.
type folder struct{}

func (folder) WriteFile(path string, text []byte) error { return os.WriteFile(path, text, 0o600) }
func (folder) Rename(from, to string) error             { return os.Rename(from, to) }

// State is that file, and what this process last knew of it.
type State struct {
	path, sidecar string
	disk          disk
	log           zerolog.Logger

	changing sync.Mutex    // one change at a time
	last     chan struct{} // closed when the one before is written

	mu    sync.Mutex // held while the file is read or written: a disk may take long, so no visit ever waits for it
	out   []string
	stamp time.Time // of the file as it was read or written last
	size  int64
	told  bool // that it can't be read
}

// Open finds the book of this sidecar, and reads what an earlier process wrote there. What is torn, foreign or unreadable
// is told in the log and passed over. before is that process, if it lives; 0: it does not, or there was none.
func Open(inFolder, sidecar, listen string, log zerolog.Logger) (b *State, before int) {
	none := make(chan struct{})
	close(none)
	b = &State{last: none, disk: folder{}, path: filepath.Join(inFolder, fmt.Sprintf("ledgespread-%x", sidecar+" "+listen)), sidecar: sidecar, log: log}
	if _, err := os.Stat(b.path); errors.Is(err, fs.ErrNotExist) {
		return b, 0
	}
	_, before, _ = b.read()
	if before == os.Getpid() || before <= 0 || !Lives(before) {
		before = 0
	}
	return b, before
}

// Lives tells whether a process does.
func Lives(pid int) bool { return !errors.Is(syscall.Kill(pid, 0), syscall.ESRCH) }

// Replaced tells whether another process of this sidecar has written itself down since.
func (b *State) Replaced() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, pid, err := b.read()
	return err == nil && pid != os.Getpid() && Lives(pid)
}

// Out is which servers staff took out, as this process last knew it.
func (b *State) Out() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.out)
}

// read takes the file; the lock is held, or nobody else knows of the book yet.
func (b *State) read() (out []string, pid int, err error) {
	defer func() {
		if err != nil && !b.told {
			b.told = true
			b.log.Warn().Err(err).Str("file", b.path).Msg("what an earlier process left can't be read; passed over")
		}
	}()
	about, err := os.Stat(b.path)
	if err != nil {
		return nil, 0, err
	}
	b.stamp, b.size = about.ModTime(), about.Size()
	if about.Size() > most || !about.Mode().IsRegular() {
		return nil, 0, errors.New("no file of ours")
	}
	text, err := os.ReadFile(b.path)
	if err != nil {
		return nil, 0, err
	}
	if out, pid, err = parse(text, b.sidecar); err == nil {
		b.out, b.told = out, false
	}
	return out, pid, err
}

// parse reads the bytes of a book.
func parse(text []byte, sidecar string) (out []string, pid int, err error) {
	var kind, name string
	var tree map[string]json.RawMessage
	if err := json.Unmarshal(text, &tree); err != nil {
		return nil, 0, err
	}
	for field, into := range map[string]any{"form": &kind, "sidecar": &name, "process": &pid, "out": &out} {
		if err := json.Unmarshal(tree[field], into); err != nil {
			return nil, 0, fmt.Errorf("%s: %w", field, err)
		}
	}
	if kind != form || name != sidecar {
		return nil, 0, fmt.Errorf("it is %q of %q", kind, name)
	}
	return out, pid, nil
}

// Change has the servers changed that are out, and writes them down before it returns. change is told of no error: what
// can't be written holds in this process all the same. Guards against a late answer by a slow disk: it is not waited for
// longer than a call allows, and written when it can be.
func (b *State) Change(ctx context.Context, change func() (out []string, err error)) error {
	b.changing.Lock()
	defer b.changing.Unlock()
	out, err := change()
	if err != nil {
		return err
	}
	before, written := b.last, make(chan struct{})
	b.last = written
	go func() {
		<-before // in the order of the changes
		b.mu.Lock()
		b.out = out
		b.write()
		b.mu.Unlock()
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(writeBy):
		b.log.Warn().Msg("which servers are out is written down late: the disk is slow")
	}
	return nil
}

// Write says that this process is there, beside what is out.
func (b *State) Write() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.write()
}

// write replaces the file by rename. Guards against a torn one, whoever reads it meanwhile.
func (b *State) write() {
	slices.Sort(b.out)
	text, err := json.Marshal(map[string]any{"form": form, "sidecar": b.sidecar, "process": os.Getpid(),
		"out": slices.Concat([]string{}, b.out)})
	whole := fmt.Sprintf("%s.%d", b.path, os.Getpid())
	if err == nil {
		err = b.disk.WriteFile(whole, text)
	}
	if err == nil {
		err = b.disk.Rename(whole, b.path)
	}
	if err != nil {
		b.log.Warn().Err(err).Msg("which servers are out could not be written down")
		os.Remove(whole)
		return
	}
	if about, err := os.Stat(b.path); err == nil {
		b.stamp, b.size = about.ModTime(), about.Size()
	}
}

// Changed reads the file again if another process wrote it, and tells which servers are out then.
func (b *State) Changed() (out []string, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	about, err := os.Stat(b.path)
	if err != nil || about.ModTime().Equal(b.stamp) && about.Size() == b.size {
		return nil, false
	}
	out, _, err = b.read()
	return out, err == nil
}
