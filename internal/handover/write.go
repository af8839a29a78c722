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

// startWriting starts a goroutine that writes what is pending, unless there is one. The caller holds mu.
func (s *State) startWriting() {
	if !s.writing && !s.closed {
		s.writing = true
		go s.keepWriting()
	}
}

// keepWriting writes the file until nothing is pending. A disk may be full for a while, and a change that an operator
// was told of must not be lost.
func (s *State) keepWriting() {
	wait := initialRewriteDelay
	for {
		err := s.writePending()
		s.mu.Lock()
		if s.closed || len(s.pending) == 0 && !s.announcing {
			s.writing = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		if err == nil {
			wait = initialRewriteDelay
			continue
		}
		time.Sleep(wait)
		wait = min(2*wait, maxRewriteDelay)
	}
}

// writePending makes the pending changes to what the file holds at this moment.
func (s *State) writePending() (err error) {
	defer func() {
		s.logFault(&s.writeFault, err)
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
		next.process = os.Getpid()
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
	if len(s.unsynced) > 0 && !s.syncing {
		s.syncing = true
		go s.keepSyncing()
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
			s.startWriting()
		}
	}
}

// keepSyncing writes the synced copy until it has all that is in the file.
func (s *State) keepSyncing() {
	for wait := initialRewriteDelay; ; {
		s.mu.Lock()
		changes := s.unsynced
		if s.closed || len(changes) == 0 {
			s.syncing = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		err := s.copySynced()
		s.logFault(&s.syncFault, err)
		if err != nil {
			time.Sleep(wait)
			wait = min(2*wait, maxRewriteDelay)
			continue
		}
		s.noteSynced(len(changes))
		wait = initialRewriteDelay
	}
}

// copySynced copies the file to its synced copy. Its lock keeps a process with an older content from writing last.
func (s *State) copySynced() error {
	unlock, err := s.disk.Lock(s.syncedPath() + ".lock")
	if err != nil {
		return err
	}
	defer unlock()
	latest, err := s.read()
	if err != nil { // the file is gone or damaged
		latest = s.lastKnown()
	}
	return s.replaceFile(s.syncedPath(), latest, true)
}

func (s *State) lastKnown() content {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known
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

// fault tells whether the last write of a file failed, and what is logged when that changes.
type fault struct {
	began, ended string
	present      bool
}

// logFault logs when writes begin to fail, and when they succeed again.
func (s *State) logFault(fault *fault, err error) {
	s.mu.Lock()
	before := fault.present
	fault.present = err != nil
	s.mu.Unlock()
	switch {
	case err != nil && !before:
		s.log.Warn().Err(err).Msg(fault.began)
	case err == nil && before:
		s.log.Info().Msg(fault.ended)
	}
}
