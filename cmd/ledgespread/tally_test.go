package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// With --tally a sidecar logs its counters and those of its decisions at this interval, not only at exit.
func TestTally(t *testing.T) {
	file := filepath.Join(t.TempDir(), "n0.json")
	text := fmt.Sprintf(minimalConfig, "127.0.0.1:0", "127.0.0.1:1", 1)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	program, log := startProgram(t, file, "--tally", "50ms")
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline) && strings.Count(log.text(), `"tally"`) < 3; {
		time.Sleep(5 * time.Millisecond)
	}
	program.Process.Signal(syscall.SIGTERM)
	program.Wait()
	varies := regexp.MustCompile(`"time":"[^"]*",|"lists_(failed|asked)":\d+,?`)
	var tallies []string
	for line := range strings.Lines(log.text()) {
		if strings.Contains(line, `"tally"`) {
			tallies = append(tallies, varies.ReplaceAllString(strings.TrimSpace(line), ""))
		}
	}
	line := `{"level":"info","sidecar":"n0","counters":{},"decisions":{},"message":"tally"}`
	if diff := cmp.Diff([]string{line, line, line}, tallies[:min(3, len(tallies))]); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
}
