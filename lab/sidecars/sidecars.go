// Package sidecars starts sidecars as real processes, tells them what the deployment page says a sidecar is told, and leaves
// none behind: not at an interrupt, not at a crash of the lab, not at a start that fails half-way.
package sidecars

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ledgespread/lab/clients"
	"ledgespread/lab/clock"
)

type Micros = clock.Micros

// Program is what is started: a sidecar, or something that stands in for one.
type Program struct {
	Path string
	Args []string
	Name string // as reports call it
}

// Life is one run of a process in the account.
type Life struct {
	Start, Ready, End Micros // -1: not yet
	Killed            bool   // by the plan, or by the lab at its end
	Asked             Micros // when it was asked to end, -1: never
	Exit              string
}

// Sidecar is one sidecar.
type Sidecar struct {
	Name, Address string
	Zone          string
	Called        string     // the name that its process is told, in place of its own; "": that
	More          []string   // arguments behind the program's own
	Marker        string     // lines of its log that hold this are kept, with the time at which they came; "": none
	Ending        sync.Mutex // held by whoever ends its process and starts the next
	program       Program
	tell          func(listen string) ([]byte, error) // its configuration
	folder        string
	clock         *clock.Clock

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	lives  []Life
	still  [][2]Micros // it was stopped by the plan
	last   tail
	lines  []Line
	cpu    time.Duration // of lives that are over
	memory int           // KiB, the most seen
}

// yard starts all processes from one thread that lives as long as the lab: the kernel kills a child when the thread that
// started it ends, so that not even a crash of the lab leaves one behind.
var yard = sync.OnceValue(func() chan func() {
	jobs := make(chan func())
	go func() {
		runtime.LockOSThread()
		for do := range jobs {
			do()
		}
	}()
	return jobs
})

// Start starts a command that ends with the lab at the latest.
func Start(cmd *exec.Cmd) (err error) {
	if cmd.SysProcAttr == nil {
		cmd.SysProcAttr = &syscall.SysProcAttr{}
	}
	// A group of its own: an interrupt at the terminal is the lab's to hear, which then ends what it started.
	cmd.SysProcAttr.Setpgid, cmd.SysProcAttr.Pdeathsig = true, syscall.SIGKILL
	done := make(chan struct{})
	yard() <- func() { err = cmd.Start(); close(done) }
	<-done
	return err
}

// New prepares a sidecar; its address is one that is free now.
func New(name, zone string, p Program, folder string, c *clock.Clock, tell func(listen string) ([]byte, error)) (*Sidecar, error) {
	sidecar := &Sidecar{Name: name, Zone: zone, program: p, tell: tell, folder: folder, clock: c}
	var err error
	sidecar.Address, err = Free()
	return sidecar, err
}

// taken counts the addresses this process has looked at, so that it never gives one out twice.
var taken atomic.Uint64

// Free is a loopback address that nothing listens at, by now. It lies below the ports that the kernel gives out by itself.
// This prevents a list service or a backend that gets the address before its sidecar does, and answers in its place.
func Free() (string, error) {
	low, high := uint64(10_000), uint64(32_768)
	if text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range"); err == nil {
		if first, err := strconv.ParseUint(strings.Fields(string(text) + " -")[0], 10, 16); err == nil {
			high = first
		}
	}
	for range 1000 {
		port := uint64(0) // none are left to choose from: the kernel's choice
		if high > low+1000 {
			port = low + (uint64(os.Getpid())*1009+taken.Add(1))%(high-low)
		}
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			defer ln.Close()
			return ln.Addr().String(), nil
		}
	}
	return "", errors.New("no address of 1,000 on loopback is free")
}

const ports = 5 // tries with other addresses, where one was taken meanwhile

// Start starts it and waits until it is ready. A first start moves on where its address is taken; later ones keep it.
func (c *Sidecar) Start(most time.Duration) error {
	var err error
	for range ports {
		if err = c.start(most); err == nil || len(c.Lives()) > 1 || !strings.Contains(c.Log(), "address already in use") {
			break
		}
		c.mu.Lock()
		c.lives = nil
		c.mu.Unlock()
		if c.Address, err = Free(); err != nil {
			break
		}
	}
	return err
}

// Configure writes the configuration as it is now.
func (c *Sidecar) Configure() (file string, err error) {
	text, err := c.tell(c.Address)
	if err != nil {
		return "", err
	}
	file = filepath.Join(c.folder, c.Name+".json")
	return file, os.WriteFile(file, text, 0o600)
}

func (c *Sidecar) start(most time.Duration) error {
	file, err := c.Configure()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(c.folder, c.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	// As deployed: a hang-up that comes before the program hears it is ignored.
	args := slices.Concat([]string{"-c", `trap '' HUP; exec "$0" "$@"`, c.program.Path}, c.program.Args, c.More)
	cmd := exec.Command("/bin/sh", args...)
	cmd.Env = append(os.Environ(), "RELAY_NAME="+cmp.Or(c.Called, c.Name), "RELAY_LISTEN="+c.Address, "RELAY_CONFIG="+file)
	cmd.Stdout, cmd.Stderr = log, io.MultiWriter(log, &c.last, &scribe{sidecar: c})
	if err := Start(cmd); err != nil {
		log.Close()
		return err
	}
	ended := make(chan struct{})
	c.mu.Lock()
	c.cmd, c.ended = cmd, ended
	c.lives = append(c.lives, Life{Start: c.clock.Now(), Ready: -1, End: -1, Asked: -1})
	c.mu.Unlock()
	go func() {
		err := cmd.Wait()
		log.Close()
		c.mu.Lock()
		life := &c.lives[len(c.lives)-1]
		life.End = c.clock.Now()
		if life.Exit = "0"; err != nil {
			life.Exit = err.Error()
		}
		c.cpu += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
		if use, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
			c.memory = max(c.memory, int(use.Maxrss))
		}
		c.mu.Unlock()
		close(ended)
	}()
	if err := clients.Ready(c.Address, most, ended); err != nil {
		c.Kill()
		return fmt.Errorf("%s: %w; it said: %s", c.Name, err, c.Log())
	}
	c.mu.Lock()
	c.lives[len(c.lives)-1].Ready = c.clock.Now()
	c.mu.Unlock()
	return nil
}

// Line is one of its log.
type Line struct {
	At   Micros // when it came
	Text string
}

// Lines are those that hold the marker, of all its lives.
func (c *Sidecar) Lines() []Line {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Line(nil), c.lines...)
}

// scribe takes a log down as it comes.
type scribe struct {
	sidecar *Sidecar
	part    []byte
}

func (s *scribe) Write(p []byte) (int, error) {
	if s.sidecar.Marker == "" {
		return len(p), nil
	}
	s.part = append(s.part, p...)
	for {
		line, rest, whole := bytes.Cut(s.part, []byte("\n"))
		if !whole {
			return len(p), nil
		}
		if bytes.Contains(line, []byte(s.sidecar.Marker)) {
			at := s.sidecar.clock.Now()
			s.sidecar.mu.Lock()
			s.sidecar.lines = append(s.sidecar.lines, Line{at, string(line)})
			s.sidecar.mu.Unlock()
		}
		s.part = bytes.Clone(rest)
	}
}

// Counter asks it for one of its own counters, 0 where it has none such.
func (c *Sidecar) Counter(name string) int {
	_, body, err := clients.Ask(c.Address, "/-/counters")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(body) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(value))
			return n
		}
	}
	return 0
}

// Lives is its account.
func (c *Sidecar) Lives() []Life {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Life(nil), c.lives...)
}

// Stills are the times it was stopped by the plan.
func (c *Sidecar) Stills() [][2]Micros {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([][2]Micros(nil), c.still...)
}

// Crashed tells of ends that nobody asked for.
func (c *Sidecar) Crashed() (out []string) {
	for _, l := range c.Lives() {
		if l.End >= 0 && !l.Killed && (l.Asked < 0 || l.Exit != "0") {
			out = append(out, fmt.Sprintf("%s ended by itself at %d µs: %s", c.Name, l.End, l.Exit))
		}
	}
	return out
}

// Log is the last that it said.
func (c *Sidecar) Log() string { return c.last.String() }

// Pid is its process's number, 0 when none runs.
func (c *Sidecar) Pid() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd == nil || c.lives[len(c.lives)-1].End >= 0 {
		return 0
	}
	return c.cmd.Process.Pid
}

// Used is the CPU time of all lives and the most memory in KiB, as the kernel has it.
func (c *Sidecar) Used() (cpu time.Duration, memory int) {
	pid := c.Pid()
	c.mu.Lock()
	defer c.mu.Unlock()
	if pid != 0 {
		now, kib := usage(pid)
		c.memory = max(c.memory, kib)
		return c.cpu + now, c.memory
	}
	return c.cpu, c.memory
}

// usage reads a running process's CPU time and peak memory.
func usage(pid int) (cpu time.Duration, kib int) {
	return threads(pid), status(pid, "VmHWM:")
}

// Memory is what a process holds now, in KiB.
func Memory(pid int) int { return status(pid, "VmRSS:") }

func status(pid int, name string) (kib int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			kib, _ = strconv.Atoi(strings.Fields(rest)[0])
		}
	}
	return kib
}

// threads sums the time on a CPU of all threads, in nanoseconds where the kernel keeps them.
func threads(pid int) (sum time.Duration) {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, f := range files {
		if text, err := os.ReadFile(f); err == nil {
			if fields := strings.Fields(string(text)); len(fields) > 0 {
				ns, _ := strconv.ParseInt(fields[0], 10, 64)
				sum += time.Duration(ns)
			}
		}
	}
	return sum
}

// tail keeps the last of what is written.
type tail struct {
	mu sync.Mutex
	b  []byte
}

const kept = 4 << 10

func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.b = append(t.b, p...)
	if len(t.b) > kept {
		t.b = bytes.Clone(t.b[len(t.b)-kept:])
	}
	return len(p), nil
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(bytes.TrimSpace(t.b))
}
