// Package rig4 has what the cases 11 to 15 of the review share: the record, processes of the deploy file, and small
// stand-ins for discovery, servers and clients, all on loopback addresses.
package rig4

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitCannot = 2
)

// timeLimit is how long a case runs at most.
const timeLimit = 115 * time.Second

// Case is one run of a case.
type Case struct {
	Trouble bool   // false with TROUBLE=0
	Folder  string // temporary

	mu        sync.Mutex
	record    *os.File
	began     time.Time
	processes []*exec.Cmd
	broken    int
}

// Open starts a case. It is run from the project's root; its folder is where record.txt goes.
func Open(folder string) *Case {
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	var err error
	if c.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitCannot)
	}
	if c.Folder, err = os.MkdirTemp("", "review-"); err != nil {
		c.Cannot("%v", err)
	}
	time.AfterFunc(timeLimit, func() { c.Cannot("not done in %v", timeLimit) })
	c.Log("trouble: %v", c.Trouble)
	return c
}

// Log adds a line to the record.
func (c *Case) Log(format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, values...))
}

// Break records that the rule was broken.
func (c *Case) Break(format string, values ...any) {
	c.Log("BROKEN "+format, values...)
	c.mu.Lock()
	c.broken++
	c.mu.Unlock()
}

// Cannot ends a case that can't run.
func (c *Case) Cannot(format string, values ...any) {
	c.Log("CANNOT RUN "+format, values...)
	c.exit(ExitCannot, "could not run: "+fmt.Sprintf(format, values...))
}

// End ends the case, and all its processes.
func (c *Case) End() {
	c.mu.Lock()
	broken := c.broken
	c.mu.Unlock()
	if broken > 0 {
		c.exit(ExitBroken, fmt.Sprintf("rule broken (%d times)", broken))
	}
	c.exit(ExitHeld, "rule held")
}

func (c *Case) exit(code int, word string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, process := range c.processes {
		process.Process.Signal(syscall.SIGCONT)
		process.Process.Kill()
	}
	os.RemoveAll(c.Folder)
	fmt.Fprintf(c.record, "%8.3f END %s\n", time.Since(c.began).Seconds(), word)
	c.record.Close()
	fmt.Println(word)
	os.Exit(code)
}

// FreeAddress returns a loopback address that nobody listens at.
func (c *Case) FreeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Cannot("%v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Listen listens at a free loopback address.
func (c *Case) Listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Cannot("%v", err)
	}
	return l
}

// RunLine returns the deploy file's command that starts one sidecar.
func (c *Case) RunLine() string {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		c.Cannot("%v", err)
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "run = "); found {
			return strings.Trim(strings.TrimSpace(value), `"`)
		}
	}
	c.Cannot("deploy/balancer.toml has no run")
	return ""
}

// Sidecar is one sidecar, over several processes of it.
type Sidecar struct {
	Name, Listen, File string
	Arguments          string // beside the deploy file's
	SharedTemp         string // of all its processes; empty: each has an empty folder of its own

	c       *Case
	command *exec.Cmd
	ended   chan struct{}
}

// NewSidecar writes the configuration of a sidecar, which Start then starts.
func (c *Case) NewSidecar(configuration map[string]any) *Sidecar {
	s := &Sidecar{Name: configuration["name"].(string), Listen: configuration["listen"].(string), c: c}
	s.File = filepath.Join(c.Folder, s.Name+".json")
	s.Write(configuration)
	return s
}

// Write replaces the configuration file.
func (s *Sidecar) Write(configuration map[string]any) {
	text, err := json.MarshalIndent(configuration, "", " ")
	if err == nil {
		if err = os.WriteFile(s.File+".new", text, 0o600); err == nil {
			err = os.Rename(s.File+".new", s.File)
		}
	}
	if err != nil {
		s.c.Cannot("%v", err)
	}
}

// Start starts a process of the sidecar as the deploy file does.
func (s *Sidecar) Start() {
	temporary := s.SharedTemp
	if temporary == "" {
		var err error
		if temporary, err = os.MkdirTemp(s.c.Folder, "tmp-"); err != nil {
			s.c.Cannot("%v", err)
		}
	}
	log, err := os.OpenFile(s.File+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.c.Cannot("%v", err)
	}
	s.command = exec.Command("/bin/sh", "-c", s.c.RunLine()+s.Arguments)
	s.command.Env = append(os.Environ(), "RELAY_CONFIG="+s.File, "TMPDIR="+temporary, "RELAY_NAME="+s.Name, "RELAY_LISTEN="+s.Listen)
	s.command.Stdout, s.command.Stderr = log, log
	if err := s.command.Start(); err != nil {
		s.c.Cannot("%v", err)
	}
	log.Close()
	s.c.mu.Lock()
	s.c.processes = append(s.c.processes, s.command)
	s.c.mu.Unlock()
	command, ended := s.command, make(chan struct{})
	s.ended = ended
	go func() {
		err := command.Wait()
		s.c.Log("%s ended: %v", s.Name, err)
		close(ended)
	}()
	s.c.Log("%s started, process %d", s.Name, command.Process.Pid)
}

// Signal sends a signal to the sidecar's process.
func (s *Sidecar) Signal(signal syscall.Signal) {
	s.c.Log("%s gets %v", s.Name, signal)
	s.command.Process.Signal(signal)
}

// Kill kills the sidecar's process, and waits for its end.
func (s *Sidecar) Kill() {
	s.Signal(syscall.SIGKILL)
	<-s.ended
}

// Ended is closed when the sidecar's process has ended.
func (s *Sidecar) Ended() <-chan struct{} { return s.ended }

// Process returns the ID of the sidecar's process.
func (s *Sidecar) Process() int { return s.command.Process.Pid }

// LogTail returns the last bytes of the sidecar's log.
func (s *Sidecar) LogTail(size int) string {
	text, _ := os.ReadFile(s.File + ".log")
	return string(text[max(len(text)-size, 0):])
}

// WaitReady waits until the sidecar says that it is ready.
func (s *Sidecar) WaitReady() {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		answer, err := http.Get("http://" + s.Listen + "/-/ready")
		if err != nil {
			continue
		}
		io.Copy(io.Discard, answer.Body)
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			s.c.Log("%s is ready", s.Name)
			return
		}
	}
	s.c.Cannot("%s is not ready: %s", s.Name, s.LogTail(2000))
}
