package rig2

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Site is the configuration of the one sidecar of a case, as the platform writes it.
type Site struct {
	MemoryMB, Sockets int
	Zones             []string
	Classes           []Class
	Tenants           []string
	Servers           []*Server
}

// Class is one class of requests, with times in microseconds.
type Class struct {
	Name, Effect    string // Effect in the words of the simulator's wire
	Target, Timeout int
	Window          int // for which servers remember a key; 0: 3 s
}

// Sidecar is a process of the project's own program.
type Sidecar struct {
	Listen  string
	command *exec.Cmd
	ended   chan struct{}
	once    sync.Once
}

// Start writes the configuration, starts the program by the deploy file's `run` from the project's root, and waits
// until it is ready.
func (c *Case) Start(site Site) *Sidecar {
	sidecar := &Sidecar{Listen: c.FreeAddress(), ended: make(chan struct{})}
	listOfServers := discoveryList(site.Servers)
	discovery := c.serveDiscovery(listOfServers)
	file := filepath.Join(c.Temp, "config.json")
	text, err := json.MarshalIndent(site.manifest(sidecar.Listen, discovery, listOfServers), "", " ")
	if err == nil {
		err = os.WriteFile(file, text, 0o600)
	}
	if err != nil {
		c.Impossible("%v", err)
	}
	temporary, _ := os.MkdirTemp(c.Temp, "tmpdir-")
	log, err := os.Create(filepath.Join(c.Temp, "sidecar.log"))
	if err != nil {
		c.Impossible("%v", err)
	}
	sidecar.command = exec.Command("/bin/sh", "-c", c.runLine())
	sidecar.command.Env = append(os.Environ(), "RELAY_NAME=n0", "RELAY_LISTEN="+sidecar.Listen, "RELAY_DISCOVERY="+discovery,
		"RELAY_CONFIG="+file, "TMPDIR="+temporary)
	sidecar.command.Stdout, sidecar.command.Stderr = log, log
	sidecar.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := sidecar.command.Start(); err != nil {
		c.Impossible("%v", err)
	}
	c.mu.Lock()
	c.procs = append(c.procs, sidecar)
	c.mu.Unlock()
	go func() {
		err := sidecar.command.Wait()
		c.Log("the sidecar has ended: %v", cmpError(err))
		close(sidecar.ended)
	}()
	for range 300 {
		if answer, err := Ask(sidecar.Listen, "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n", time.Second); err == nil && answer.Status == 200 {
			c.Log("the sidecar is ready, process %d", sidecar.Pid())
			return sidecar
		}
		time.Sleep(50 * time.Millisecond)
	}
	text, _ = os.ReadFile(filepath.Join(c.Temp, "sidecar.log"))
	c.Impossible("the sidecar is not ready: %s", text)
	return nil
}

func cmpError(err error) string {
	if err == nil {
		return "exit code 0"
	}
	return err.Error()
}

// runLine reads `run` from the deploy file.
func (c *Case) runLine() string {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		c.Impossible("%v", err)
	}
	for line := range strings.Lines(string(text)) {
		if name, value, found := strings.Cut(line, "="); found && strings.TrimSpace(name) == "run" {
			if run, err := strconv.Unquote(strings.TrimSpace(value)); err == nil {
				return run
			}
		}
	}
	c.Impossible("the deploy file has no run")
	return ""
}

// Pid returns the number of the process; the deploy file's shell has become it.
func (s *Sidecar) Pid() int { return s.command.Process.Pid }

// Signal sends a signal.
func (s *Sidecar) Signal(signal syscall.Signal) { s.command.Process.Signal(signal) }

// Kill ends the process at once.
func (s *Sidecar) Kill() {
	s.once.Do(func() { syscall.Kill(-s.Pid(), syscall.SIGKILL) })
	<-s.ended
}

// Ended reports whether the process has ended.
func (s *Sidecar) Ended() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// MemoryKB returns what the kernel says of the process's memory in kB: resident in all, and without files.
func (s *Sidecar) MemoryKB() (resident, anonymous int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.Pid()))
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		switch n, _ := strconv.Atoi(fields[1]); fields[0] {
		case "VmRSS:":
			resident = n
		case "RssAnon:":
			anonymous = n
		}
	}
	return resident, anonymous
}

// manifest returns the configuration file.
func (site Site) manifest(listen, discovery string, list map[string]any) map[string]any {
	var classes, tenants []map[string]any
	for _, class := range site.Classes {
		classes = append(classes, map[string]any{"name": class.Name, "effect": class.Effect, "group": "all", "value": 1.0, "late_value": 0.0,
			"target_latency_us": class.Target, "client_timeout_us": class.Timeout, "memory_span_us": cmp.Or(class.Window, 3_000_000), "stream": false})
	}
	for _, name := range site.Tenants {
		tenants = append(tenants, map[string]any{"name": name, "quota_per_s": 1000.0, "share": 1 / float64(len(site.Tenants))})
	}
	return map[string]any{"name": "n0", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": site.MemoryMB, "sockets": site.Sockets}, "known": list,
		"settings": map[string]any{"azs": site.Zones, "my_zone": 0, "me": 0, "balancers": 1, "discovery": "on_request", "step_us": 1000,
			"path_prefixes": classes, "realms": tenants, "beyond_share_value": 0.1,
			"allowed": map[string]any{"cancel": true, "retry_after": true, "max_retry_after_us": 2_000_000, "max_backend_fetches": 5, "may_duplicate": true,
				"multiplex": 1, "conn_idle_us": 10_000_000, "connect_timeout_us": 75_000, "most_held": 33_333, "peer_messages": false, "probes": false},
			"obligations": map[string]any{"answer_slack_us": 5000, "ask_every_us": 10_000_000, "cold_from": 0.31, "cold_us": 8_600_000, "fall_multiple": 3.0,
				"fall_us": 1_500_000, "stop_sending_within_us": 500_000}}}
}
