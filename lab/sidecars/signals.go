package sidecars

// This file sends signals to a sidecar's process and waits for its end.

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// handlerTimeout limits the wait for a process to install its SIGHUP handler.
const handlerTimeout = 2 * time.Second

// waitForHandler waits until the last started process handles SIGHUP. The shell that runs first does not
// ignore SIGHUP until its trap is set, so that a signal sent earlier would end the process.
func (s *Sidecar) waitForHandler() {
	s.mu.Lock()
	cmd, ended := s.cmd, s.ended
	s.mu.Unlock()
	if cmd == nil {
		return
	}
	for end := time.Now().Add(handlerTimeout); time.Now().Before(end) && !catchesSignal(cmd.Process.Pid, syscall.SIGHUP); time.Sleep(time.Millisecond) {
		select {
		case <-ended:
			return
		default:
		}
	}
}

// catchesSignal reports whether a process has a handler for a signal.
func catchesSignal(pid int, signal syscall.Signal) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false
	}
	var mask uint64
	_, caught, _ := strings.Cut(string(status), "SigCgt:")
	fmt.Sscanf(strings.TrimSpace(caught), "%x", &mask)
	return mask&(1<<(uint(signal)-1)) != 0
}

// Signal sends a signal to the process and records it. SIGHUP is sent only once the process handles it.
func (s *Sidecar) Signal(signal syscall.Signal) {
	if signal == syscall.SIGHUP {
		s.waitForHandler()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil || s.processes[len(s.processes)-1].End >= 0 {
		return
	}
	if signal == syscall.SIGKILL {
		s.processes[len(s.processes)-1].Killed = true
	}
	if signal == syscall.SIGTERM {
		s.processes[len(s.processes)-1].StopRequested = s.clock.Now()
	}
	if signal == syscall.SIGSTOP {
		s.pauses = append(s.pauses, [2]Micros{s.clock.Now(), -1})
	}
	if signal == syscall.SIGCONT && len(s.pauses) > 0 && s.pauses[len(s.pauses)-1][1] < 0 {
		s.pauses[len(s.pauses)-1][1] = s.clock.Now()
	}
	s.cmd.Process.Signal(signal)
}

// SignalAgain sends a signal without recording it: the recorded time of a stop request is that of the first
// SIGTERM.
func (s *Sidecar) SignalAgain(signal syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd != nil && s.processes[len(s.processes)-1].End < 0 {
		s.cmd.Process.Signal(signal)
	}
}

// EndsWithin waits for the process to end by itself and returns whether it did within this time.
func (s *Sidecar) EndsWithin(timeout time.Duration) bool {
	s.mu.Lock()
	ended := s.ended
	s.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Kill kills the process and waits for its end.
func (s *Sidecar) Kill() {
	s.Signal(syscall.SIGKILL)
	s.wait()
}

// wait waits until the last started process has ended.
func (s *Sidecar) wait() {
	s.mu.Lock()
	ended := s.ended
	s.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// Stop sends SIGTERM and waits for the process to end. If it does not end in time, Stop kills it and returns
// an error; a nonzero exit status is an error, too.
func (s *Sidecar) Stop(timeout time.Duration) error {
	s.mu.Lock()
	ended := s.ended
	s.mu.Unlock()
	if ended == nil {
		return nil
	}
	s.Signal(syscall.SIGCONT)
	s.Signal(syscall.SIGTERM)
	if !s.EndsWithin(timeout) {
		s.Kill()
		return errors.New(s.Name + " did not end by itself")
	}
	if exit := s.Processes()[len(s.Processes())-1].Exit; exit != "0" {
		return fmt.Errorf("%s ended with %s", s.Name, exit)
	}
	return nil
}
