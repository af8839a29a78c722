package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"ledgespread/internal/machine"
)

const (
	form = "ledgespread out of hand 1" // identifies the file format

	lateWrite     = writeTimeout // a change that is written later than this after its call may have been followed by another one
	forgetChanges = time.Hour    // servers that were put back this long ago have no time of change in the file any more
)

var errMissingField = errors.New("a field is missing")

// content is what the state file holds. It is not modified once it is shared.
type content struct {
	number  int                    // grows with each write
	process Process                // the process that was started last
	out     map[string]bool        // the servers out of service
	changed map[string]machineTime // when a server was last taken out or put back; nil: the file is by a version that doesn't write it
}

// machineTime is a reading of the machine's monotonic clock, which all processes share, in microseconds.
type machineTime int64

// now returns the current machine time.
func now() machineTime { return machineTime(machine.Uptime() / time.Microsecond) }

// since returns the time that has passed.
func (t machineTime) since(earlier machineTime) time.Duration {
	return time.Duration(t-earlier) * time.Microsecond
}

// change is a server that was taken out or put back by a call to this process. It is not modified once it is pending.
type change struct {
	out     bool
	at      machineTime   // of the call
	delayed bool          // its write did not begin at once or has failed, so that the other process may have written a later change
	written chan struct{} // closed when it is in the file and in its synced copy, or a later change of the server replaces it
}

// storedContent is the content as it is stored.
type storedContent struct {
	Form    string                 `json:"form"`
	Sidecar string                 `json:"sidecar"`
	Number  int                    `json:"number"`
	Process *int                   `json:"process"`
	Started uint64                 `json:"process_started,omitempty"`
	Out     *[]string              `json:"out"`
	Changed map[string]machineTime `json:"changed"`
}

// parse decodes the content of a state file. It must have the known format and belong to this sidecar.
func parse(text []byte, sidecar string) (c content, err error) {
	var stored storedContent
	if err := json.Unmarshal(text, &stored); err != nil {
		return c, err
	}
	if stored.Form != form || stored.Sidecar != sidecar {
		return c, fmt.Errorf("unexpected format %q, or written by another sidecar: %q", stored.Form, stored.Sidecar)
	}
	if stored.Process == nil || stored.Out == nil {
		return c, errMissingField
	}
	c = content{number: stored.Number, process: Process{*stored.Process, stored.Started}, out: map[string]bool{}, changed: stored.Changed}
	for _, server := range *stored.Out {
		c.out[server] = true
	}
	return c, nil
}

// encode is the reverse of parse.
func (c content) encode(sidecar string) ([]byte, error) {
	servers := c.servers()
	return json.Marshal(storedContent{Form: form, Sidecar: sidecar, Number: c.number, Process: &c.process.id, Started: c.process.started, Out: &servers, Changed: c.changed})
}

// follows reports whether the content was written after another one of the same file. Otherwise a crash of the machine
// has brought back an older file. An earlier version writes no number, and can't be told from a later one.
func (c content) follows(before content) bool { return c.changed == nil || c.number >= before.number }

// servers returns the servers out of service, in order.
func (c content) servers() []string {
	servers := slices.AppendSeq([]string{}, maps.Keys(c.out)) // not nil: it is stored as an empty list
	slices.Sort(servers)
	return servers
}

// with returns the content after changes that are written now. A change that is written late doesn't replace a later
// one of the same server.
func (c content) with(changes map[string]*change, at machineTime) content {
	next := content{number: c.number, process: c.process, out: map[string]bool{}, changed: map[string]machineTime{}}
	maps.Copy(next.out, c.out)
	for server, changed := range c.changed {
		if age := at.since(changed); c.out[server] || 0 <= age && age < forgetChanges {
			next.changed[server] = changed
		}
	}
	for server, change := range changes {
		if c.hasLater(server, change, at) {
			continue
		}
		next.changed[server] = change.at
		if delete(next.out, server); change.out {
			next.out[server] = true
		}
	}
	return next
}

// hasLater reports whether a later change of the server than this one, which is late, is in the content. A time in the
// future is of an earlier run of the machine.
func (c content) hasLater(server string, change *change, at machineTime) bool {
	changed, late := c.changed[server], change.delayed || at.since(change.at) > lateWrite
	return late && changed > change.at && changed <= at
}

// differences returns how many servers are out in one of two contents only.
func (c content) differences(other content) (count int) {
	for server := range c.out {
		if !other.out[server] {
			count++
		}
	}
	for server := range other.out {
		if !c.out[server] {
			count++
		}
	}
	return count
}
