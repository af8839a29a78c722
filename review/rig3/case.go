// Package rig3 has what the script of case 10 needs: the record, two processes of one sidecar with a second address each,
// and small stand-ins for clients, servers and discovery.
package rig3

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"
)

// Case is one run of a script.
type Case struct {
	Root    string // of the project
	Tmp     string // a temporary folder of this run
	Trouble bool   // false with TROUBLE=0: everything but the disruption

	mu       sync.Mutex
	began    time.Time
	record   *bufio.Writer
	file     *os.File
	sidecars []*Sidecar
	broken   []string
}

// Begin starts the run of the case whose folder is given as the first argument. It is called from the project's root.
func Begin() *Case {
	root, err := os.Getwd()
	if err != nil || len(os.Args) < 2 {
		fmt.Println("usage: case FOLDER, from the root")
		os.Exit(2)
	}
	c := &Case{Root: root, Trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	if c.file, err = os.Create(filepath.Join(os.Args[1], "record.txt")); err == nil {
		c.Tmp, err = os.MkdirTemp("", "review")
	}
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	c.record = bufio.NewWriter(c.file)
	c.Logf("case %s, disruption %v", filepath.Base(os.Args[1]), c.Trouble)
	time.AfterFunc(110*time.Second, func() { c.Impossible("the run took too long") })
	return c
}

// Logf writes a line into the record.
func (c *Case) Logf(format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%9.4f  %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, values...))
}

// At returns a time as the record shows it.
func (c *Case) At(t time.Time) float64 { return t.Sub(c.began).Seconds() }

// Broken notes that the rule was broken.
func (c *Case) Broken(format string, values ...any) {
	line := fmt.Sprintf(format, values...)
	c.Logf("BROKEN: %s", line)
	c.mu.Lock()
	c.broken = append(c.broken, line)
	c.mu.Unlock()
}

// Impossible ends a run that could not be made.
func (c *Case) Impossible(format string, values ...any) {
	c.Logf("could not run: %s", fmt.Sprintf(format, values...))
	fmt.Printf("could not run: %s\n", fmt.Sprintf(format, values...))
	c.finish(2)
}

// End ends the run with its verdict.
func (c *Case) End() {
	c.mu.Lock()
	broken := c.broken
	c.mu.Unlock()
	if len(broken) == 0 {
		c.Logf("the rule held")
		fmt.Println("held")
		c.finish(0)
	}
	fmt.Printf("broken, %d times; first: %s\n", len(broken), broken[0])
	c.finish(1)
}

func (c *Case) finish(code int) {
	c.mu.Lock()
	sidecars := c.sidecars
	c.mu.Unlock()
	for _, s := range sidecars {
		s.Kill()
	}
	for _, s := range sidecars {
		c.copyLog(s)
	}
	c.mu.Lock()
	c.record.Flush()
	c.file.Close()
	os.RemoveAll(c.Tmp)
	os.Exit(code)
}

// copyLog puts the last lines of a sidecar's log into the record.
func (c *Case) copyLog(s *Sidecar) {
	text, _ := os.ReadFile(s.logPath)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	if most := 40; len(lines) > most {
		lines = lines[len(lines)-most:]
	}
	c.Logf("the log of %s ends so:", s.label)
	for _, line := range lines {
		c.Logf("    %s", line)
	}
}

// FreePort returns a loopback address that nobody listens at.
func (c *Case) FreePort() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Impossible("no free port: %v", err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// runCommand returns the deploy file's command for one sidecar.
func (c *Case) runCommand() string {
	text, err := os.ReadFile(filepath.Join(c.Root, "deploy", "balancer.toml"))
	found := runLine.FindSubmatch(text)
	if err != nil || found == nil {
		c.Impossible("the deploy file has no run line")
	}
	return string(found[1])
}
