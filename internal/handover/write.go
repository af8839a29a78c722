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
func (s *State) writePending() error {
	unlock, err := s.disk.Lock(s.path + ".lock")
	if err != nil {
		s.logWrite(err)
		return err
	}
	defer unlock()
	read, readErr := s.read()
	s.mu.Lock()
	if readErr != nil {
		read = s.known // the file is gone or damaged
	} else {
		s.keepUnread(read)
	}
	changes, announcing := maps.Clone(s.pending), s.announcing
	s.mu.Unlock()
	next := read.with(changes, now())
	if announcing || readErr != nil {
		next.process = os.Getpid()
	}
	err = s.replaceFile(next)
	s.logWrite(err)
	if err == nil {
		s.noteWritten(next, changes, announcing)
	}
	return err
}

// replaceFile replaces the file by a rename, so that a concurrent reader never finds it incomplete.
func (s *State) replaceFile(next content) error {
	text, err := next.encode(s.sidecar)
	if err != nil {
		return err
	}
	temporary := fmt.Sprintf("%s.%d", s.path, os.Getpid())
	if err = s.disk.WriteFile(temporary, text); err == nil {
		err = s.disk.Rename(temporary, s.path)
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
			close(change.written)
		}
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

// logWrite logs when writes begin to fail, and when they succeed again.
func (s *State) logWrite(err error) {
	s.mu.Lock()
	failed := s.failing
	s.failing = err != nil
	s.mu.Unlock()
	switch {
	case err != nil && !failed:
		s.log.Warn().Err(err).Msg("which servers are out could not be written down; tried again")
	case err == nil && failed:
		s.log.Info().Msg("which servers are out is written down at last")
	}
}
