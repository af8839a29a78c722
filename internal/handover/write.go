package handover

import (
	"fmt"
	"maps"
	"os"
	"time"
)

const (
	initialRewriteDelay = 20 * time.Millisecond // after a failed write; doubles with each failure
	maxRewriteDelay     = time.Second

	// unreadFor is how long an earlier version may take to read what this process wrote: three of its intervals.
	unreadFor = 300 * time.Millisecond
)

// writer keeps one of the two files up to date. Its fields belong to State.mu.
type writer struct {
	isDue     func() bool  // reports whether the file lacks something; called with State.mu held
	write     func() error // writes what is due
	running   bool         // a goroutine writes
	failing   bool         // the last write failed
	failed    string       // logged when writes begin to fail
	recovered string       // logged when they succeed again
}

// start starts a goroutine that writes what is due, unless there is one. The caller holds mu.
func (s *State) start(w *writer) {
	if !w.running && !s.closed {
		w.running = true
		go s.run(w)
	}
}

// run writes until nothing is due. A disk may be full for a while, and a change that an operator was told of must not
// be lost.
func (s *State) run(w *writer) {
	for wait := initialRewriteDelay; s.goOn(w); {
		err := w.write()
		s.logWrite(w, err)
		if err == nil {
			wait = initialRewriteDelay
			continue
		}
		time.Sleep(wait)
		wait = min(2*wait, maxRewriteDelay)
	}
}

// goOn reports whether a writer has something to write. If not, its goroutine ends.
func (s *State) goOn(w *writer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.running = !s.closed && w.isDue()
	return w.running
}

// logWrite logs when writes begin to fail, and when they succeed again.
func (s *State) logWrite(w *writer, err error) {
	s.mu.Lock()
	failing := w.failing
	w.failing = err != nil
	s.mu.Unlock()
	switch {
	case err != nil && !failing:
		s.log.Warn().Err(err).Msg(w.failed)
	case err == nil && failing:
		s.log.Info().Msg(w.recovered)
	}
}

// writePending makes the pending changes to what the file holds at this moment.
func (s *State) writePending() (err error) {
	defer func() {
		if err != nil {
			s.noteFailed()
		}
	}()
	unlock, err := s.disk.Lock(s.path + ".lock")
	if err != nil {
		return err
	}
	defer unlock()
	read, readErr := s.read()
	s.mu.Lock()
	if readErr == nil { // otherwise the file is gone or damaged
		s.adopt(read)
	}
	latest, changes, announcing := s.known, maps.Clone(s.pending), s.announcing
	s.mu.Unlock()
	next := latest.with(changes, now())
	next.number++
	if announcing || readErr != nil {
		next.process = CurrentProcess()
	}
	if err = s.replaceFile(s.path, next, false); err == nil {
		s.noteWritten(next, changes, announcing)
	}
	return err
}

// noteFailed records that a write of what is pending has failed.
func (s *State) noteFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for server, pending := range s.pending {
		delayed := *pending
		delayed.delayed = true
		s.pending[server] = &delayed
	}
}

// replaceFile replaces a file by a rename, so that a concurrent reader never finds it incomplete.
func (s *State) replaceFile(path string, next content, synced bool) error {
	text, err := next.encode(s.sidecar)
	if err != nil {
		return err
	}
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	if err = s.disk.WriteFile(temporary, text, synced); err == nil {
		err = s.disk.Rename(temporary, path, synced)
	}
	if err != nil {
		os.Remove(temporary)
	}
	return err
}

// noteWritten records that the file now holds a content with these changes.
func (s *State) noteWritten(next content, changes map[string]*change, announced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known = next
	s.revision++
	for server, change := range changes {
		if s.pending[server] == change { // otherwise a later one has replaced it
			delete(s.pending, server)
			s.recent[server] = change
			s.unsynced = append(s.unsynced, change)
		}
	}
	if len(s.unsynced) > 0 {
		s.start(&s.copyWriter)
	}
	if announced && s.announcing {
		s.announcing = false
		close(s.announced)
	}
}

// keepUnread makes changes pending again that a process of an earlier version has undone without having read them: it
// writes its whole list. If that list differs from the file in one server only, this is the change that it was asked
// for. The caller holds mu, and known is the content before.
func (s *State) keepUnread(read content) {
	at := now()
	undone := read.changed == nil && read.differences(s.known) > 1
	for server, written := range s.recent {
		if at.since(written.at) > unreadFor {
			delete(s.recent, server)
		} else if undone && read.out[server] != written.out && s.pending[server] == nil {
			s.pending[server] = &change{out: written.out, at: written.at, written: make(chan struct{})}
			s.start(&s.fileWriter)
		}
	}
}

// copySynced copies the file to its synced copy. Its lock keeps a process with an older content from writing last.
func (s *State) copySynced() error {
	unlock, err := s.disk.Lock(s.syncedPath() + ".lock")
	if err != nil {
		return err
	}
	defer unlock()
	s.mu.Lock()
	latest, count := s.known, len(s.unsynced)
	s.mu.Unlock()
	if read, err := s.read(); err == nil { // otherwise the file is gone or damaged
		latest = read
	}
	if err := s.replaceFile(s.syncedPath(), latest, true); err != nil {
		return err
	}
	s.noteSynced(count)
	return nil
}

// noteSynced records that the synced copy has the first changes that it lacked.
func (s *State) noteSynced(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range s.unsynced[:count] {
		close(change.written)
	}
	s.unsynced = s.unsynced[count:]
}
