// Package rig has the stand-ins that the cases of the review share: servers, discovery, clients, a slow network
// and the platform that starts sidecars. All of them use loopback addresses and the real clock.
package rig

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Case is one run of a case: its record, its temporary folder and the processes that it started.
type Case struct {
	Trouble bool // TROUBLE=0 leaves the disruption out
	Folder  string

	began time.Time
	mu    sync.Mutex // of the record
	file  *os.File
	out   *bufio.Writer
	endMu sync.Mutex // of the end, which comes once, and of the processes
	procs []*Process
}

// Begin opens the record, whose path is the program's only argument. The program must be started in the
// project's root.
func Begin() *Case {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE RECORD")
		os.Exit(NotRun)
	}
	file, err := os.Create(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", Folder: folder, began: time.Now(), file: file, out: bufio.NewWriter(file)}
	c.Record("case", "trouble=%v", c.Trouble)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
			c.End(nil, errors.New("stopped by a signal"))
		case <-time.After(110 * time.Second):
			c.End(nil, errors.New("it took too long"))
		}
	}()
	return c
}

// Since returns the time since the case began, in milliseconds.
func (c *Case) Since(at time.Time) float64 {
	return float64(at.Sub(c.began).Microseconds()) / 1000
}

// Record writes a line that happened now.
func (c *Case) Record(who, format string, args ...any) { c.RecordAt(time.Now(), who, format, args...) }

// RecordAt writes a line that happened at the given time.
func (c *Case) RecordAt(at time.Time, who, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.out, "%10.3f %-10s %s\n", c.Since(at), who, fmt.Sprintf(format, args...))
}

// End ends all processes, closes the record and exits. A broken rule is one of the breaks.
func (c *Case) End(breaks []string, problem error) {
	c.endMu.Lock() // never released: the program exits
	for _, p := range c.procs {
		p.Kill()
	}
	code, verdict := Held, "the rule held"
	switch {
	case problem != nil:
		code, verdict = NotRun, "the case could not run: "+problem.Error()
	case len(breaks) > 0:
		code, verdict = Broken, fmt.Sprintf("the rule was broken %d times; first: %s", len(breaks), breaks[0])
	}
	for _, line := range breaks {
		c.Record("BREAK", "%s", line)
	}
	c.Record("verdict", "%s", verdict)
	fmt.Println(verdict)
	c.out.Flush()
	c.file.Close()
	os.RemoveAll(c.Folder)
	os.Exit(code)
}

// Process is one sidecar process.
type Process struct {
	cmd    *exec.Cmd
	Exited chan struct{}
}

var runLine = regexp.MustCompile(`(?m)^run\s*=\s*"((?:[^"\\]|\\.)*)"`)

// StartSidecar starts a sidecar by the deploy file's command, in a process group of its own.
func (c *Case) StartSidecar(config map[string]any, label string) (*Process, error) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	found := runLine.FindSubmatch(deploy)
	if found == nil {
		return nil, fmt.Errorf("deploy/balancer.toml has no run")
	}
	run, err := strconv.Unquote(`"` + string(found[1]) + `"`)
	if err != nil {
		return nil, err
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(c.Folder, label+".json")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(c.Folder, label+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	shared := filepath.Join(c.Folder, "tmp")
	if err := os.MkdirAll(shared, 0o755); err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	for _, entry := range os.Environ() {
		if !strings.HasPrefix(entry, "RELAY_") && !strings.HasPrefix(entry, "TMPDIR=") {
			cmd.Env = append(cmd.Env, entry)
		}
	}
	cmd.Env = append(cmd.Env, "RELAY_NAME="+config["name"].(string), "RELAY_LISTEN="+config["listen"].(string),
		"RELAY_DISCOVERY="+config["discovery"].(string), "RELAY_CONFIG="+path, "TMPDIR="+shared)
	c.endMu.Lock()
	defer c.endMu.Unlock()
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{cmd: cmd, Exited: make(chan struct{})}
	go func() { cmd.Wait(); close(p.Exited) }()
	c.procs = append(c.procs, p)
	c.Record("platform", "%s: started, process %d", label, cmd.Process.Pid)
	return p, nil
}

// Log returns the log of a sidecar.
func (c *Case) Log(label string) string {
	text, _ := os.ReadFile(filepath.Join(c.Folder, label+".log"))
	return string(text)
}

// Signal sends a signal to the program that the run command started. The command ends in exec, so this is the
// process itself.
func (p *Process) Signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// Kill ends the process and what it started.
func (p *Process) Kill() {
	select {
	case <-p.Exited:
		return
	default:
	}
	syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL)
	<-p.Exited
}

// FreeAddress returns a loopback address with a free port.
func FreeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// WaitReady waits until a path at an address answers 200.
func WaitReady(address, path string, timeout time.Duration) error {
	var last string
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		status, _, err := Call(address, "GET", path, time.Second)
		if err == nil && status == 200 {
			return nil
		}
		last = fmt.Sprint(status, err)
	}
	return fmt.Errorf("%s%s did not say yes in %v: %s", address, path, timeout, last)
}

// Call makes one HTTP call on a connection of its own.
func Call(address, method, path string, timeout time.Duration) (status int, body []byte, err error) {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return 0, nil, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(timeout))
	if _, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", method, path, address); err != nil {
		return 0, nil, err
	}
	head, reader, err := readHead(bufio.NewReader(conn))
	if err != nil {
		return 0, nil, err
	}
	status, _ = strconv.Atoi(string(bytes.Fields(head.first)[1]))
	body, err = head.readBody(reader)
	return status, body, err
}
