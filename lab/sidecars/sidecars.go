// Package sidecars configures sidecars and starts them as real processes. It makes sure that no process
// outlives the lab, be it after an interrupt, a crash of the lab or a failed start.
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

// Program is the executable that is started as a sidecar, or in place of one.
type Program struct {
	Path string
	Args []string
	Name string // used in reports
}

// Process is one process instance of a sidecar, from its start to its end.
type Process struct {
	Start, Ready, End Micros // -1: not yet
	Killed            bool   // with SIGKILL, by a fault or at the run's end
	StopRequested     Micros // when SIGTERM was sent, -1: never
	Exit              string
}

// Sidecar is one sidecar of a run; its process may be restarted several times.
type Sidecar struct {
	Name, Address string
	Zone          string
	NameOverride  string     // the name that its process gets, if not Name
	ExtraArgs     []string   // arguments appended to the program's own
	Marker        string     // log lines that contain this are kept with their time; "": none are
	Ending        sync.Mutex // held while a fault stops the process and starts the next
	program       Program
	configuration func(listen string) ([]byte, error) // returns the configuration file
	folder        string
	clock         *clock.Clock

	mu        sync.Mutex
	cmd       *exec.Cmd
	ended     chan struct{}
	processes []Process
	pauses    [][2]Micros // intervals between SIGSTOP and SIGCONT
	logTail   tail        // end of the log
	lines     []Line
	cpu       time.Duration // of processes that have ended
	memory    int           // highest seen, KiB
}

// launcher starts all processes from one thread that exists as long as the lab. With Pdeathsig the kernel
// kills a child when the thread that started it ends, so that even a crash of the lab leaves no process
// behind.
var launcher = sync.OnceValue(func() chan func() {
	jobs := make(chan func())
	go func() {
		runtime.LockOSThread()
		for job := range jobs {
			job()
		}
	}()
	return jobs
})

// Start starts a command whose process the kernel kills when the lab ends.
func Start(cmd *exec.Cmd) (err error) {
	if cmd.SysProcAttr == nil {
		cmd.SysProcAttr = &syscall.SysProcAttr{}
	}
	// In its own process group it receives no interrupt from the terminal: the lab does, and stops its processes.
	cmd.SysProcAttr.Setpgid, cmd.SysProcAttr.Pdeathsig = true, syscall.SIGKILL
	done := make(chan struct{})
	launcher() <- func() { err = cmd.Start(); close(done) }
	<-done
	return err
}

// New prepares a sidecar with a free address, without starting it. configuration returns the content
// of its configuration file for a listen address.
func New(name, zone string, program Program, folder string, runClock *clock.Clock, configuration func(listen string) ([]byte, error)) (*Sidecar, error) {
	sidecar := &Sidecar{Name: name, Zone: zone, program: program, configuration: configuration, folder: folder, clock: runClock}
	var err error
	sidecar.Address, err = Free()
	return sidecar, err
}

// portsTried counts the ports that Free has tried, so that this process gets no port twice.
var portsTried atomic.Uint64

// Free returns a loopback address that nothing listens at now, below the kernel's ephemeral ports. Otherwise
// a list service or a backend could get the address before its sidecar does, and answer in its place.
func Free() (string, error) {
	low, high := uint64(10_000), uint64(32_768)
	if text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range"); err == nil {
		if first, err := strconv.ParseUint(strings.Fields(string(text) + " -")[0], 10, 16); err == nil {
			high = first
		}
	}
	for range 1000 {
		port := uint64(0) // if the range below the ephemeral ports is too small, the kernel chooses
		if high > low+1000 {
			port = low + (uint64(os.Getpid())*1009+portsTried.Add(1))%(high-low)
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			defer listener.Close()
			return listener.Addr().String(), nil
		}
	}
	return "", errors.New("none of 1,000 loopback addresses tried is free")
}

const addressAttempts = 5 // how many addresses a first start tries when others are taken meanwhile

// Start starts the process and waits until it is ready. A first start tries other addresses if its own is
// taken; later starts keep the address.
func (s *Sidecar) Start(timeout time.Duration) error {
	var err error
	for range addressAttempts {
		if err = s.start(timeout); err == nil || len(s.Processes()) > 1 || !strings.Contains(s.Log(), "address already in use") {
			break
		}
		s.mu.Lock()
		s.processes = nil
		s.mu.Unlock()
		if s.Address, err = Free(); err != nil {
			break
		}
	}
	return err
}

// Configure writes the current configuration to the sidecar's file and returns the file's path.
func (s *Sidecar) Configure() (file string, err error) {
	text, err := s.configuration(s.Address)
	if err != nil {
		return "", err
	}
	file = filepath.Join(s.folder, s.Name+".json")
	return file, os.WriteFile(file, text, 0o600)
}

// start starts the process at its current address and waits until it is ready.
func (s *Sidecar) start(timeout time.Duration) error {
	file, err := s.Configure()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.folder, s.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	// As in production, SIGHUP is ignored until the program installs its handler.
	args := slices.Concat([]string{"-c", `trap '' HUP; exec "$0" "$@"`, s.program.Path}, s.program.Args, s.ExtraArgs)
	cmd := exec.Command("/bin/sh", args...)
	cmd.Env = append(os.Environ(), "RELAY_NAME="+cmp.Or(s.NameOverride, s.Name), "RELAY_LISTEN="+s.Address, "RELAY_CONFIG="+file)
	cmd.Stdout, cmd.Stderr = log, io.MultiWriter(log, &s.logTail, &lineRecorder{sidecar: s})
	if err := Start(cmd); err != nil {
		log.Close()
		return err
	}
	ended := make(chan struct{})
	s.mu.Lock()
	s.cmd, s.ended = cmd, ended
	s.processes = append(s.processes, Process{Start: s.clock.Now(), Ready: -1, End: -1, StopRequested: -1})
	s.mu.Unlock()
	go func() {
		err := cmd.Wait()
		log.Close()
		s.mu.Lock()
		process := &s.processes[len(s.processes)-1]
		process.End = s.clock.Now()
		if process.Exit = "0"; err != nil {
			process.Exit = err.Error()
		}
		s.cpu += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
		if use, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
			s.memory = max(s.memory, int(use.Maxrss))
		}
		s.mu.Unlock()
		close(ended)
	}()
	if err := clients.Ready(s.Address, timeout, ended); err != nil {
		s.Kill()
		return fmt.Errorf("%s: %w; it said: %s", s.Name, err, s.Log())
	}
	s.mu.Lock()
	s.processes[len(s.processes)-1].Ready = s.clock.Now()
	s.mu.Unlock()
	return nil
}

// Line is one log line of a sidecar.
type Line struct {
	At   Micros // when the lab read it
	Text string
}

// Lines returns the log lines that contain the marker, of all its processes.
func (s *Sidecar) Lines() []Line {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Line(nil), s.lines...)
}

// lineRecorder is a writer for a sidecar's log that keeps the lines with the marker.
type lineRecorder struct {
	sidecar *Sidecar
	partial []byte // an incomplete last line
}

func (r *lineRecorder) Write(p []byte) (int, error) {
	if r.sidecar.Marker == "" {
		return len(p), nil
	}
	r.partial = append(r.partial, p...)
	for {
		line, rest, whole := bytes.Cut(r.partial, []byte("\n"))
		if !whole {
			return len(p), nil
		}
		if bytes.Contains(line, []byte(r.sidecar.Marker)) {
			at := r.sidecar.clock.Now()
			r.sidecar.mu.Lock()
			r.sidecar.lines = append(r.sidecar.lines, Line{at, string(line)})
			r.sidecar.mu.Unlock()
		}
		r.partial = bytes.Clone(rest)
	}
}

// Counter fetches one of the sidecar's own counters; 0 if it has no such counter or doesn't answer.
func (s *Sidecar) Counter(name string) int {
	_, body, err := clients.Ask(s.Address, "/-/counters")
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

// Processes returns the record of its processes.
func (s *Sidecar) Processes() []Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Process(nil), s.processes...)
}

// Pauses returns the intervals during which its process was stopped with SIGSTOP.
func (s *Sidecar) Pauses() [][2]Micros {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([][2]Micros(nil), s.pauses...)
}

// Crashed describes the processes that ended without being asked to, or with an error.
func (s *Sidecar) Crashed() (out []string) {
	for _, process := range s.Processes() {
		if process.End >= 0 && !process.Killed && (process.StopRequested < 0 || process.Exit != "0") {
			out = append(out, fmt.Sprintf("%s ended by itself at %d µs: %s", s.Name, process.End, process.Exit))
		}
	}
	return out
}

// Log returns the end of its log.
func (s *Sidecar) Log() string { return s.logTail.String() }

// Pid is the ID of its running process, 0 if none runs.
func (s *Sidecar) Pid() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil || s.processes[len(s.processes)-1].End >= 0 {
		return 0
	}
	return s.cmd.Process.Pid
}

// Usage returns the CPU time of all its processes and their peak memory in KiB, as the kernel counts them.
func (s *Sidecar) Usage() (cpu time.Duration, memory int) {
	pid := s.Pid()
	s.mu.Lock()
	defer s.mu.Unlock()
	if pid != 0 {
		now, kib := usage(pid)
		s.memory = max(s.memory, kib)
		return s.cpu + now, s.memory
	}
	return s.cpu, s.memory
}

// usage reads a running process's CPU time and peak memory.
func usage(pid int) (cpu time.Duration, kib int) {
	return threadsCPU(pid), statusKiB(pid, "VmHWM:")
}

// Memory returns the resident memory of a process in KiB.
func Memory(pid int) int { return statusKiB(pid, "VmRSS:") }

// AnonymousMemory returns the memory of a process without pages of files in KiB.
func AnonymousMemory(pid int) int { return statusKiB(pid, "RssAnon:") }

// statusKiB reads a size in KiB from /proc/PID/status.
func statusKiB(pid int, name string) (kib int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			kib, _ = strconv.Atoi(strings.Fields(rest)[0])
		}
	}
	return kib
}

// threadsCPU sums the CPU time of all threads of a process, which schedstat gives in nanoseconds.
func threadsCPU(pid int) (sum time.Duration) {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, file := range files {
		if text, err := os.ReadFile(file); err == nil {
			if fields := strings.Fields(string(text)); len(fields) > 0 {
				ns, _ := strconv.ParseInt(fields[0], 10, 64)
				sum += time.Duration(ns)
			}
		}
	}
	return sum
}

// tail is a writer that keeps only the end of what is written.
type tail struct {
	mu     sync.Mutex
	buffer []byte
}

const tailBytes = 4 << 10 // bytes

func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.buffer = append(t.buffer, p...)
	if len(t.buffer) > tailBytes {
		t.buffer = bytes.Clone(t.buffer[len(t.buffer)-tailBytes:])
	}
	return len(p), nil
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(bytes.TrimSpace(t.buffer))
}
