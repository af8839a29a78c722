package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// A new configuration may be told while a process only just starts. The deployment has SIGHUP ignored until the program hears it, since a process
// is ended by one that comes before; the file is read after that, so nothing is missed.
func TestHangupFromTheStart(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct{ Run string }
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	file, _ := patientFile(t, discover(t).at, "on_request")
	// What stands in for the program takes its time before the first step.
	began, slow := filepath.Join(t.TempDir(), "began"), filepath.Join(t.TempDir(), "slow")
	script := fmt.Sprintf("#!/bin/sh\n: > %s\nsleep 0.3\nexec %s \"$@\"\n", began, os.Args[0])
	if err := os.WriteFile(slow, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	run := strings.Replace(deploy.Run, "bin/ledgespread", slow, 1)
	if run == deploy.Run {
		t.Fatalf("%q does not start the program", run)
	}
	log := &logged{}
	program := exec.Command("/bin/sh", "-c", run)
	program.Env = append(os.Environ(), "LEDGESPREAD_UNDER_TEST=1", "RELAY_CONFIG="+file)
	program.Stderr = log
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { program.Process.Kill() })
	within(t, "it begins", func() bool {
		_, err := os.Stat(began)
		return err == nil
	})
	within(t, "it serves", func() bool {
		program.Process.Signal(syscall.SIGHUP)
		return strings.Contains(log.text(), `"serving"`)
	})
	within(t, "it reads the file again", func() bool {
		program.Process.Signal(syscall.SIGHUP)
		return strings.Contains(log.text(), "configuration read again")
	})
}
