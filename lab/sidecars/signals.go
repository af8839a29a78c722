package sidecars

// signals.go: how a process is told to do something, or to end.

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// hearsWithin is how long a process may take until it hears hang-ups.
const hearsWithin = 2 * time.Second

// waitToHear waits until the process that was started last hears hang-ups: the shell before it has none of them ignored at first.
func (c *Sidecar) waitToHear() {
	c.mu.Lock()
	cmd, ended := c.cmd, c.ended
	c.mu.Unlock()
	if cmd == nil {
		return
	}
	for end := time.Now().Add(hearsWithin); time.Now().Before(end) && !hears(cmd.Process.Pid, syscall.SIGHUP); time.Sleep(time.Millisecond) {
		select {
		case <-ended:
			return
		default:
		}
	}
}

// hears tells whether a process catches a signal.
func hears(pid int, s syscall.Signal) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false
	}
	var mask uint64
	_, caught, _ := strings.Cut(string(status), "SigCgt:")
	fmt.Sscanf(strings.TrimSpace(caught), "%x", &mask)
	return mask&(1<<(uint(s)-1)) != 0
}

// Signal sends one to the process; a hang-up, once it hears them.
func (c *Sidecar) Signal(s syscall.Signal) {
	if s == syscall.SIGHUP {
		c.waitToHear()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd == nil || c.lives[len(c.lives)-1].End >= 0 {
		return
	}
	if s == syscall.SIGKILL {
		c.lives[len(c.lives)-1].Killed = true
	}
	if s == syscall.SIGTERM {
		c.lives[len(c.lives)-1].Asked = c.clock.Now()
	}
	if s == syscall.SIGSTOP {
		c.still = append(c.still, [2]Micros{c.clock.Now(), -1})
	}
	if s == syscall.SIGCONT && len(c.still) > 0 && c.still[len(c.still)-1][1] < 0 {
		c.still[len(c.still)-1][1] = c.clock.Now()
	}
	c.cmd.Process.Signal(s)
}

// SignalAgain sends one that changes nothing in the account: the first SIGTERM is when it was asked to end.
func (c *Sidecar) SignalAgain(s syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd != nil && c.lives[len(c.lives)-1].End < 0 {
		c.cmd.Process.Signal(s)
	}
}

// EndsWithin tells whether its process ends by itself in this time.
func (c *Sidecar) EndsWithin(most time.Duration) bool {
	c.mu.Lock()
	ended := c.ended
	c.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(most):
		return false
	}
}

// Kill ends it at once and waits for that.
func (c *Sidecar) Kill() {
	c.Signal(syscall.SIGKILL)
	c.wait()
}

func (c *Sidecar) wait() {
	c.mu.Lock()
	ended := c.ended
	c.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// Stop asks it to end, kills it where it has not after this long, and tells how it ended.
func (c *Sidecar) Stop(most time.Duration) error {
	c.mu.Lock()
	ended := c.ended
	c.mu.Unlock()
	if ended == nil {
		return nil
	}
	c.Signal(syscall.SIGCONT)
	c.Signal(syscall.SIGTERM)
	if !c.EndsWithin(most) {
		c.Kill()
		return errors.New(c.Name + " did not end by itself")
	}
	if exit := c.Lives()[len(c.Lives())-1].Exit; exit != "0" {
		return fmt.Errorf("%s ended with %s", c.Name, exit)
	}
	return nil
}
