// Package toldlist keeps the list of servers that discovery told a process of a sidecar, for the processes beside it and
// after it. Each process writes a file of its own in the folder that they share, and reads those of the others.
//
// A file has lines of JSON. The first one has a whole list, each further one the changes since the line before; an
// unfinished last line is being written, or was when the process ended. Nothing is synced to the disk: the files are for
// processes on the same machine, and a crash of the machine may lose them.
package toldlist

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"time"

	"ledgespread/internal/discovery"
	"ledgespread/internal/handover"
	"ledgespread/internal/machine"
)

// form identifies the format of the files.
const form = "ledgespread told list 1"

// maxFileBytes is the maximum size of a file.
const maxFileBytes = 64 << 20

var (
	errNoLine      = errors.New("no whole line")
	errNotWhole    = errors.New("the first line has only changes")
	errNotReadable = errors.New("not a regular file, or too large")
)

// Told is the list of a process, as its file has it.
type Told struct {
	discovery.Update                  // with the whole list
	Writer           handover.Process // of the file
	At               time.Duration    // when the process received it, by the machine's monotonic clock
	Known            uint64           // the fingerprint of the saved list that the process was started with
}

// line is one line of a file.
type line struct {
	Form      string          `json:"form,omitempty"` // in the first line only
	Sidecar   string          `json:"sidecar,omitempty"`
	Known     uint64          `json:"known,omitempty"`
	At        time.Duration   `json:"at"`
	Address   string          `json:"discovery"`
	Confirmed bool            `json:"confirmed"`
	Epoch     int             `json:"epoch,omitempty"`
	List      json.RawMessage `json:"list"`
}

// fileOf returns the path of the file of a process.
func fileOf(path string, process handover.Process) string { return path + "." + process.String() }

// temporaryOf returns the path at which a file is written before it replaces the one before.
func temporaryOf(file string) string { return file + ".new" }

// Fingerprint identifies a saved list by its content.
func Fingerprint(saved *discovery.List, zones map[string]int) uint64 {
	text, err := saved.Encode(zones)
	if err != nil {
		return 0
	}
	hash := fnv.New64a()
	hash.Write(text)
	return hash.Sum64()
}

// readFile reads the file of a process. The error is fs.ErrNotExist if there is none.
func readFile(path string, writer handover.Process, sidecar string, zones map[string]int) (*Told, error) {
	info, err := os.Stat(fileOf(path, writer))
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes || !info.Mode().IsRegular() {
		return nil, errNotReadable
	}
	text, err := os.ReadFile(fileOf(path, writer))
	if err != nil {
		return nil, err
	}
	told, err := parse(text, sidecar, zones)
	if err != nil {
		return nil, err
	}
	told.Writer = writer
	return told, nil
}

// parse decodes the content of a file.
func parse(text []byte, sidecar string, zones map[string]int) (*Told, error) {
	told := &Told{}
	servers := discovery.ServerSet{}
	lines := bytes.SplitAfter(text, []byte("\n"))
	for number, content := range lines[:len(lines)-1] { // what follows the last line end is not whole
		var next line
		if err := json.Unmarshal(content, &next); err != nil {
			return nil, fmt.Errorf("line %d: %w", number+1, err)
		}
		list, err := discovery.Read(next.List, zones)
		switch {
		case err != nil:
			return nil, fmt.Errorf("line %d: %w", number+1, err)
		case number == 0 && (next.Form != form || next.Sidecar != sidecar):
			return nil, fmt.Errorf("unexpected format %q, or written by another sidecar: %q", next.Form, next.Sidecar)
		case number == 0 && !list.Whole:
			return nil, errNotWhole
		case number == 0:
			told.Known = next.Known
		}
		servers.Apply(list)
		told.At, told.Address, told.Confirmed, told.Epoch = next.At, next.Address, next.Confirmed, next.Epoch
		told.List = &discovery.List{Version: list.Version, Whole: true, Source: next.Address}
	}
	if told.List == nil {
		return nil, errNoLine
	}
	told.List.Entries = servers.Sorted()
	return told, nil
}

// Age returns how long ago the process received the list.
func (t *Told) Age() time.Duration { return machine.Uptime() - t.At }
