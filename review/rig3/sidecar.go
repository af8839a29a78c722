package rig3

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Config is the configuration of one sidecar, as the platform hands it over.
type Config struct {
	Name, Listen, Discovery, Console string
	Known                            List
	Settings                         map[string]any
	Sockets                          int
}

// Class returns a class of the settings.
func Class(name, effect, group string, timeout, window time.Duration) map[string]any {
	return map[string]any{"name": name, "effect": effect, "group": group, "value": 1.0, "late_value": 0.0,
		"target_latency_us": timeout.Microseconds() / 2, "client_timeout_us": timeout.Microseconds(), "memory_span_us": window.Microseconds()}
}

// Settings returns the settings of a small deployment whose list is asked for, with the figures of the rules from
// the first brief: drains 500 ms, cold from 31 %, warm within 8.6 s, three times for 1.5 s.
func Settings(classes ...map[string]any) map[string]any {
	return map[string]any{"azs": []string{"a", "b"}, "my_zone": 0, "me": 0, "balancers": 2, "discovery": "on_request", "step_us": 1000,
		"path_prefixes": classes,
		"allowed": map[string]any{"cancel": true, "retry_after": true, "max_retry_after_us": 2000000, "max_backend_fetches": 5,
			"may_duplicate": true, "multiplex": 1, "conn_idle_us": 10000000, "connect_timeout_us": 75000},
		"obligations": map[string]any{"ask_every_us": 10000000, "stop_sending_within_us": 500000, "answer_slack_us": 0, "cold_from": 0.31, "cold_us": 8600000,
			"fall_multiple": 3.0, "fall_us": 1500000}}
}

// Sidecar is a running sidecar.
type Sidecar struct {
	Config
	c       *Case
	label   string
	logPath string
	command *exec.Cmd
	file    string
	mu      sync.Mutex
	ended   chan struct{}
	state   string
}

// WriteConfig writes a configuration to a file, by a rename.
func (c *Case) WriteConfig(path string, conf Config) {
	sockets := conf.Sockets
	if sockets == 0 {
		sockets = 1024
	}
	tree := map[string]any{"name": conf.Name, "listen": conf.Listen, "discovery": conf.Discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": sockets}, "known": conf.Known, "settings": conf.Settings}
	if conf.Console != "" {
		tree["console"] = conf.Console
	}
	text, err := json.MarshalIndent(tree, "", " ")
	if err == nil {
		err = os.WriteFile(path+".new", text, 0o600)
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		c.Impossible("configuration: %v", err)
	}
}

// StartSidecar starts a sidecar by the deploy file's command. tmp is its private folder.
func (c *Case) StartSidecar(label string, conf Config, tmp string) *Sidecar {
	s := &Sidecar{Config: conf, c: c, label: label, logPath: filepath.Join(c.Tmp, label+".log"), file: filepath.Join(c.Tmp, label+".json"), ended: make(chan struct{})}
	c.WriteConfig(s.file, conf)
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		c.Impossible("%v", err)
	}
	log, err := os.Create(s.logPath)
	if err != nil {
		c.Impossible("%v", err)
	}
	s.command = exec.Command("/bin/sh", "-c", c.runCommand())
	s.command.Dir, s.command.Stdout, s.command.Stderr = c.Root, log, log
	s.command.Env = append(os.Environ(), "TMPDIR="+tmp, "RELAY_CONFIG="+s.file, "RELAY_NAME="+conf.Name, "RELAY_LISTEN="+conf.Listen, "RELAY_DISCOVERY="+conf.Discovery)
	if conf.Console != "" {
		s.command.Env = append(s.command.Env, "RELAY_CONSOLE="+conf.Console)
	}
	if err := s.command.Start(); err != nil {
		c.Impossible("start: %v", err)
	}
	c.mu.Lock()
	c.sidecars = append(c.sidecars, s)
	c.mu.Unlock()
	go func() {
		err := s.command.Wait()
		s.mu.Lock()
		s.state = "ended: " + fmt.Sprint(err)
		s.mu.Unlock()
		log.Close()
		c.Logf("%s %s", label, s.state)
		close(s.ended)
	}()
	c.Logf("%s started, process %d", label, s.command.Process.Pid)
	return s
}

// AwaitReady waits until the sidecar says that it is ready for clients.
func (s *Sidecar) AwaitReady() { s.await("http://" + s.Listen + "/-/ready") }

// AwaitConsoleReady waits until the second address says so.
func (s *Sidecar) AwaitConsoleReady() { s.await("http://" + s.Console + "/control/ready") }

func (s *Sidecar) await(url string) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if resp, err := client.Get(url); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				s.c.Logf("%s is ready", s.label)
				return
			}
		}
	}
	s.c.Impossible("%s is not ready after 20 s", s.label)
}

// Call makes one of the staff's calls and returns the answer's status; 0: none.
func (s *Sidecar) Call(path string) int {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+s.Console+path, "", nil)
	status := 0
	if err == nil {
		resp.Body.Close()
		status = resp.StatusCode
	}
	s.c.Logf("staff: POST %s at %s: %d", path, s.label, status)
	return status
}

// Signal sends a signal to the sidecar's process.
func (s *Sidecar) Signal(signal syscall.Signal) {
	s.c.Logf("%s gets signal %d (%v)", s.label, int(signal), signal)
	s.command.Process.Signal(signal)
}

// Reconfigure puts another configuration in the file's place and sends SIGHUP.
func (s *Sidecar) Reconfigure(conf Config) {
	s.c.WriteConfig(s.file, conf)
	s.Signal(syscall.SIGHUP)
}

// Running reports whether the process lives.
func (s *Sidecar) Running() bool {
	select {
	case <-s.ended:
		return false
	default:
		return true
	}
}

// AwaitEnd waits for the end of the process.
func (s *Sidecar) AwaitEnd(most time.Duration) bool {
	select {
	case <-s.ended:
		return true
	case <-time.After(most):
		return false
	}
}

// Kill ends the process at once.
func (s *Sidecar) Kill() {
	if s.Running() {
		s.command.Process.Kill()
		s.AwaitEnd(2 * time.Second)
	}
}
