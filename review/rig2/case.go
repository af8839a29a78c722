// Package rig2 has what the cases in review/6 to review/9 share: the real sidecar as a process of its own, stand-ins
// for discovery, servers and clients on loopback addresses, and the record of what was sent, answered and run.
package rig2

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0 // the rule held
	broken    = 1 // the rule was broken
	cannotRun = 2 // the case could not run
)

// longestRun ends a case that hangs: a case has 120 seconds.
const longestRun = 110 * time.Second

// Case is one run of a case.
type Case struct {
	Trouble bool   // the disruption takes place; false with TROUBLE=0
	Temp    string // an empty folder of this run's own

	began  time.Time
	mu     sync.Mutex
	record *os.File
	breaks int
	procs  []*Sidecar
}

// Begin opens the record in the folder that the program's first argument names.
func Begin(title string) *Case {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE FOLDER")
		os.Exit(cannotRun)
	}
	record, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	if c.Temp, err = os.MkdirTemp("", "review-"); err != nil {
		c.Impossible("no temporary folder: %v", err)
	}
	c.Log("%s; disruption: %v", title, c.Trouble)
	time.AfterFunc(longestRun, func() { c.Impossible("not done in %v", longestRun) })
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() { c.Impossible("ended by %v", <-stop) }()
	return c
}

// Log writes a line of the record, with the seconds since the start.
func (c *Case) Log(format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%9.4f "+format+"\n", append([]any{time.Since(c.began).Seconds()}, values...)...)
}

// Break records that the rule was broken.
func (c *Case) Break(format string, values ...any) {
	c.mu.Lock()
	c.breaks++
	c.mu.Unlock()
	c.Log("BROKEN "+format, values...)
}

// Impossible ends the run: the case could not be played as it is meant.
func (c *Case) Impossible(format string, values ...any) {
	c.Log("the case could not run: "+format, values...)
	fmt.Printf("could not run: "+format+"\n", values...)
	c.end(cannotRun)
}

// End ends all processes and the program, with the code that tells whether the rule held.
func (c *Case) End() {
	c.mu.Lock()
	count := c.breaks
	c.mu.Unlock()
	c.Log("rule broken %d times", count)
	fmt.Printf("rule broken %d times\n", count)
	if count > 0 {
		c.end(broken)
	}
	c.end(held)
}

func (c *Case) end(code int) {
	c.mu.Lock()
	procs := c.procs
	c.mu.Unlock()
	for _, sidecar := range procs {
		sidecar.Kill()
	}
	os.RemoveAll(c.Temp)
	os.Exit(code)
}

// FreeAddress returns a loopback address that nobody listens on.
func (c *Case) FreeAddress() string {
	listener := c.Listen()
	defer listener.Close()
	return listener.Addr().String()
}

// Listen listens on a free port of the loopback address.
func (c *Case) Listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Impossible("%v", err)
	}
	return listener
}
