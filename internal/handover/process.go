package handover

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
)

// Process identifies a process while the machine runs. Its ID alone does not: the kernel gives the ID of a process that
// has ended to another one. The zero value is no process.
type Process struct {
	id      int
	started uint64 // clock ticks from the start of the machine to that of the process; 0: unknown
}

// CurrentProcess returns this process.
var CurrentProcess = sync.OnceValue(func() Process { return Process{os.Getpid(), startOf(os.Getpid())} })

// String returns the ID and the start, in a form that ParseProcess reads.
func (p Process) String() string { return fmt.Sprintf("%d-%d", p.id, p.started) }

// ParseProcess is the reverse of String.
func ParseProcess(text string) (p Process, err error) {
	id, started, _ := strings.Cut(text, "-")
	if p.id, err = strconv.Atoi(id); err != nil {
		return Process{}, err
	}
	if p.started, err = strconv.ParseUint(started, 10, 64); err != nil {
		return Process{}, err
	}
	return p, nil
}

// Exists reports whether the process still runs. If its start is unknown, any process with its ID is taken for it.
func (p Process) Exists() bool {
	if p.id <= 0 || errors.Is(syscall.Kill(p.id, 0), syscall.ESRCH) {
		return false
	}
	return p.isSame(startOf(p.id))
}

// isSame reports whether a process with the same ID and this start is this one.
func (p Process) isSame(started uint64) bool {
	return p.started == 0 || started == 0 || p.started == started
}

// isCurrent reports whether this is the process that asks.
func (p Process) isCurrent() bool { return p.id == os.Getpid() && p.isSame(startOf(p.id)) }

// Places in /proc/ID/stat, see proc(5): the name, which may contain spaces, ends with the last parenthesis.
const (
	stateField = 3  // the first one behind the name
	startField = 22 // when the process started, in clock ticks after the machine
)

// startOf returns when the process with this ID was started; 0 if that can't be read.
func startOf(id int) (ticks uint64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	if err != nil {
		return 0
	}
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	if len(fields) <= startField-stateField {
		return 0
	}
	ticks, err = strconv.ParseUint(string(fields[startField-stateField]), 10, 64)
	if err != nil {
		return 0
	}
	return ticks
}
