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
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"ledgespread/internal/durable"
)

const (
	form = "ledgespread out of hand 1" // of the file
	most = 1 << 20                     // bytes that a file of ours has at the most

	writeBy = 300 * time.Millisecond // a call's answer waits for the file so long, and no longer

	leastRewrite = 20 * time.Millisecond // from a failed write to the next, doubling
	mostRewrite  = time.Second           // up to this
)

// errLate is why a change got no answer in time. It is made, and written, all the same.
var errLate = fmt.Errorf("not done in time: %w", context.DeadlineExceeded)

// disk is what the file is written by.
type disk interface {
	// WriteFile has a file hold this text, and Rename gives it another name, also after a crash of the machine.
	WriteFile(path string, text []byte) error
	Rename(from, to string) error
}

// folder is a disk as the operating system has it.
type folder struct{}

// WriteFile returns once the bytes are on the disk: after a crash a renamed file could be empty else.
func (folder) WriteFile(path string, text []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	return durable.Write(file, text)
}

// Rename returns once the new name is on the disk.
func (folder) Rename(from, to string) error {
	if err := os.Rename(from, to); err != nil {
		return err
	}
	if err := durable.SyncFolder(filepath.Dir(to)); !errors.Is(err, syscall.EINVAL) { // some file systems have no sync for folders
		return err
	}
	return nil
}

// State is that file, and what this process last knew of it.
type State struct {
	path, sidecar string
	disk          disk
	log           zerolog.Logger

	changing sync.Mutex    // one change at a time
	changes  atomic.Uint64 // so far
	last     chan struct{} // closed when the one before is written
	closed   atomic.Bool   // what the disk did not take yet is given up

	mu    sync.Mutex // held while the file is read or written: a disk may take long, so no request ever waits for it
	out   []string
	stamp time.Time // of the file as it was read or written last
	size  int64
	told  bool // that it can't be read

	failing bool // the last write failed
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

// Change has the servers changed that are out, and writes them down before it returns, if the disk does not take too long. A change that
// can't be written holds in this process all the same, and is written as soon as it can be. One that is not made within the call's time
// gets an error, but is still made and written: staff's call holds from its time on, whatever it was answered.
func (b *State) Change(call context.Context, change func() (out []string, err error)) error {
	done := make(chan error, 1)
	go func() { done <- b.make(change) }()
	select {
	case err := <-done:
		return err
	case <-call.Done():
		return errLate
	}
}

func (b *State) make(change func() (out []string, err error)) error {
	b.changing.Lock()
	defer b.changing.Unlock()
	out, err := change()
	if err != nil {
		return err
	}
	number := b.changes.Add(1)
	before, written := b.last, make(chan struct{})
	b.last = written
	go func() {
		defer close(written)
		<-before // in the order of the changes
		b.mu.Lock()
		b.out = out
		b.mu.Unlock()
		b.persist(number)
	}()
	select {
	case <-written:
	case <-time.After(writeBy):
		b.log.Warn().Msg("which servers are out is written down late: the disk is slow or fails")
	}
	return nil
}

// Write says that this process is there, beside what is out. Where the disk fails it is tried again in the background.
func (b *State) Write() {
	b.mu.Lock()
	err := b.write()
	b.mu.Unlock()
	if err != nil {
		go b.persist(b.changes.Load())
	}
}

// Close gives up what the disk has not taken.
func (b *State) Close() { b.closed.Store(true) }

// persist writes until the disk takes it, or a later change is to be written: what staff was told is owed, though a disk may be full for a while.
func (b *State) persist(change uint64) {
	for wait := leastRewrite; ; wait = min(2*wait, mostRewrite) {
		b.mu.Lock()
		if b.closed.Load() {
			b.mu.Unlock()
			return
		}
		err := b.write()
		b.mu.Unlock()
		if err == nil || b.changes.Load() != change {
			return
		}
		time.Sleep(wait)
	}
}

// write replaces the file by rename, so that whoever reads it meanwhile finds no half of it; the lock is held.
func (b *State) write() error {
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
	switch {
	case err != nil:
		if !b.failing {
			b.log.Warn().Err(err).Msg("which servers are out could not be written down; tried again")
		}
		b.failing = true
		os.Remove(whole)
		return err
	case b.failing:
		b.failing = false
		b.log.Info().Msg("which servers are out is written down at last")
	}
	if about, err := os.Stat(b.path); err == nil {
		b.stamp, b.size = about.ModTime(), about.Size()
	}
	return nil
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
