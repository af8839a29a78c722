// Package handover keeps the list of servers that operators took out of service across restarts of a sidecar.
// It is stored in a small file in $TMPDIR. During an upgrade under load the old and the new process run side
// by side, and both read and change the file. A change is made to what the file holds at that moment, under a
// lock, so that neither process undoes what it has not read.
//
// A change is in the file, and so known to the other process, before the disk has it: a sync may take seconds. A
// second file is a copy that survives a crash of the machine.
package handover

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	maxFileBytes = 1 << 20

	writeTimeout = 300 * time.Millisecond // how long Update waits for the write

	maxRefreshTries = 5 // reads of the file in one Refresh, if changes cross it
)

// errLate is returned for a change that was not made in time. The change is still made and written.
var errLate = fmt.Errorf("not done in time: %w", context.DeadlineExceeded)

var errNotAStateFile = errors.New("not a regular file, or too large")

// State is the file of the servers out of service, with this process's copy of its content.
type State struct {
	// Deliver is called with all servers that are out of service, when another process has changed them. It is set
	// before the first call of Update or Refresh.
	Deliver func(out []string)

	path, sidecar string
	disk          disk
	log           zerolog.Logger

	changing sync.Mutex // held while the servers out of service in this process are changed; not while the file is read or written

	mu                     sync.Mutex         // for the fields below; not held while the file is read or written
	known                  content            // of the file, as last read or written
	pending                map[string]*change // by server: made here, and not in the file yet
	recent                 map[string]*change // by server: written a moment ago; see keepUnread
	unsynced               []*change          // in the file, and not in its synced copy yet
	inForce                []string           // the servers out of service in this process, in order
	revision               int                // grows with each change of known and pending
	announcing             bool               // the file has to name this process
	announced              chan struct{}      // closed when it has
	closed                 bool               // what is pending is given up
	warnedUnread           bool               // the log already has the warning that the file cannot be read
	fileWriter, copyWriter writer             // of the file, and of its synced copy
}

// Open opens the state file of a sidecar and reads what an earlier process wrote. A truncated, foreign or
// unreadable file is logged and ignored. before is the process that was started last, or none if it no longer runs or
// is this process.
func Open(inFolder, sidecar, listen string, log zerolog.Logger) (s *State, before Process) {
	s = &State{Deliver: func([]string) {}, path: filepath.Join(inFolder, fmt.Sprintf("ledgespread-%x", sidecar+" "+listen)), sidecar: sidecar,
		disk: osDisk{}, log: log, pending: map[string]*change{}, recent: map[string]*change{}}
	s.fileWriter = writer{write: s.writePending, isDue: func() bool { return len(s.pending) > 0 || s.announcing },
		failed: "which servers are out could not be written down; tried again", recovered: "which servers are out is written down at last"}
	s.copyWriter = writer{write: s.copySynced, isDue: func() bool { return len(s.unsynced) > 0 },
		failed: "which servers are out could not be synced to the disk; tried again", recovered: "which servers are out is synced to the disk at last"}
	s.known = s.readLatest()
	s.inForce = s.known.servers()
	if latest := s.known.process; !latest.isCurrent() && latest.Exists() {
		before = latest
	}
	return s, before
}

// Path returns the path of the state's file, which is the same for all processes of the sidecar.
func (s *State) Path() string { return s.path }

// Replaced reports whether a later process of this sidecar has announced itself and still runs.
func (s *State) Replaced() bool {
	latest, err := s.read()
	return err == nil && !latest.process.isCurrent() && latest.process.Exists()
}

// LatestProcess returns the process of this sidecar that was started last, as far as this one knows.
func (s *State) LatestProcess() Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known.process
}

// OutOfService returns the servers out of service in this process, in order.
func (s *State) OutOfService() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.inForce)
}

// read reads the file. If it fails the content is empty.
func (s *State) read() (content, error) {
	c, err := s.readFile(s.path)
	unreadable := err != nil && !errors.Is(err, fs.ErrNotExist)
	s.mu.Lock()
	warn := unreadable && !s.warnedUnread
	s.warnedUnread = unreadable || s.warnedUnread && err != nil
	s.mu.Unlock()
	if warn {
		s.log.Warn().Err(err).Str("file", s.path).Msg("what an earlier process left can't be read; passed over")
	}
	return c, err
}

// readLatest reads the file, or its synced copy if a crash of the machine has left an older file or none.
func (s *State) readLatest() content {
	shared, err := s.read()
	synced, syncedErr := s.readFile(s.syncedPath())
	if syncedErr == nil && (err != nil || !shared.follows(synced)) {
		return synced
	}
	return shared
}

// syncedPath returns the path of the copy that survives a crash of the machine.
func (s *State) syncedPath() string { return s.path + ".synced" }

func (s *State) readFile(path string) (c content, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return c, err
	}
	if info.Size() > maxFileBytes || !info.Mode().IsRegular() {
		return c, errNotAStateFile
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return c, err
	}
	return parse(text, s.sidecar)
}

// Update takes a server out of service or puts it back. It calls apply, which does so in this process, and then
// changes the file before it returns, unless the disk is too slow. If the write fails, the change is still in
// force in this process, and is written as soon as the disk allows. If the context ends first, Update returns an
// error, but the change is still made and written: an operator's command takes effect whatever the answer said.
// An error of apply is returned, and nothing is changed.
func (s *State) Update(ctx context.Context, server string, out bool, apply func() error) error {
	at, done := now(), make(chan error, 1)
	go func() { done <- s.change(server, &change{out: out, at: at, written: make(chan struct{})}, apply) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errLate
	}
}

func (s *State) change(server string, change *change, apply func() error) error {
	err := s.applyChange(server, change, apply)
	if err != nil { // the other process may know the server
		s.Refresh()
		err = s.applyChange(server, change, apply)
	}
	if err != nil {
		return err
	}
	select {
	case <-change.written:
	case <-time.After(writeTimeout):
		s.log.Warn().Msg("which servers are out is written with a delay: the disk is slow or fails")
	}
	return nil
}

// applyChange makes a change in this process, and starts to write it.
func (s *State) applyChange(server string, change *change, apply func() error) error {
	s.changing.Lock()
	defer s.changing.Unlock()
	if err := apply(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if replaced := s.pending[server]; replaced != nil {
		close(replaced.written)
	}
	change.delayed = s.fileWriter.running
	s.pending[server] = change
	s.inForce = s.view().servers()
	s.revision++
	s.start(&s.fileWriter)
	return nil
}

// view returns what this process has to hold to. The caller holds mu.
func (s *State) view() content { return s.known.with(s.pending, now()) }

// Refresh reads the file, and calls Deliver if another process has changed it.
func (s *State) Refresh() {
	for range maxRefreshTries {
		revision := s.currentRevision()
		read, err := s.read()
		if err != nil || s.takeOver(read, revision) { // the next write replaces a damaged file
			return
		}
	}
}

func (s *State) currentRevision() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// takeOver puts what was read into force. It reports false if this process has changed something since the given
// revision, before which the read began: what was read may then lack that change.
func (s *State) takeOver(read content, revision int) bool {
	s.changing.Lock()
	defer s.changing.Unlock()
	s.mu.Lock()
	if s.revision != revision {
		s.mu.Unlock()
		return false
	}
	s.adopt(read)
	out := s.view().servers()
	changed := !slices.Equal(out, s.inForce)
	s.inForce = out
	s.mu.Unlock()
	if changed {
		s.Deliver(slices.Clone(out))
	}
	return true
}

// adopt makes known what was read, unless a crash of the machine has brought back an older file. The caller holds mu.
func (s *State) adopt(read content) {
	if !read.follows(s.known) {
		return
	}
	s.keepUnread(read)
	read.number = max(read.number, s.known.number)
	s.known = read
}

// Announce writes into the file that this process was started last, and waits for it unless the disk is too slow.
func (s *State) Announce() {
	s.mu.Lock()
	s.announcing, s.announced = true, make(chan struct{})
	announced := s.announced
	s.start(&s.fileWriter)
	s.mu.Unlock()
	select {
	case <-announced:
	case <-time.After(writeTimeout):
	}
}

// Close waits for changes that are not written yet, for at most the given time, and gives up the rest.
func (s *State) Close(wait time.Duration) {
	for end := time.Now().Add(wait); time.Now().Before(end) && s.busy(); {
		time.Sleep(lockRetryInterval)
	}
	if unwritten := s.unwritten(); len(unwritten) > 0 {
		s.log.Warn().Strs("servers", unwritten).Msg("changes of which servers are out were not written down: the next process doesn't know them")
	}
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
}

// busy reports whether a file is being written.
func (s *State) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fileWriter.running || s.copyWriter.running
}

// unwritten returns the servers with changes that are not written yet.
func (s *State) unwritten() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.pending))
}
