package handover

import (
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"
)

// switchedDisk fails all writes while it is switched off.
type switchedDisk struct {
	osDisk
	off *atomic.Bool
}

func (d switchedDisk) WriteFile(path string, text []byte, synced bool) error {
	if d.off.Load() {
		return syscall.ENOSPC
	}
	return d.osDisk.WriteFile(path, text, synced)
}

// twoProcesses is a sidecar's file with two processes, and what their operators have asked for.
type twoProcesses struct {
	folder    string
	processes [2]*State
	failing   [2]atomic.Bool // the process's writes fail
	want      map[string]bool
}

func (m *twoProcesses) start(i int) {
	m.processes[i], _ = Open(m.folder, "n0", "127.0.0.1:1", zerolog.Nop())
	m.processes[i].disk = switchedDisk{off: &m.failing[i]}
	m.processes[i].Announce()
}

// call takes a server out or puts it back at one process, and waits until that is written or a write has failed: the
// call is answered then, or a little later.
func (m *twoProcesses) call(i int, server string, out bool) {
	s, change := m.processes[i], &change{out: out, at: now(), written: make(chan struct{})}
	s.applyChange(server, change, succeed)
	for answered := false; !answered; {
		select {
		case <-change.written:
			answered = true
		case <-time.After(time.Millisecond):
			s.mu.Lock()
			pending := s.pending[server]
			answered = pending != nil && pending.delayed
			s.mu.Unlock()
		}
	}
	m.want[server] = out
}

// settle waits until both processes have written what is pending, and returns what each has out then.
func (m *twoProcesses) settle() (views [2]string) {
	for i := range m.processes {
		m.failing[i].Store(false)
	}
	for _, s := range m.processes {
		for end := time.Now().Add(20 * time.Second); s.busy() && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
	for i, s := range m.processes {
		s.Refresh()
		views[i] = fmt.Sprint(s.OutOfService())
	}
	return views
}

// Drawn sequences of calls at two processes, which read the file at any time between, whose writes fail for a while, and
// which start anew: in the end both have out what was asked for last of each server, and neither has ever put back a
// server, or taken it out, that nobody asked for.
func TestTwoProcessesMatchModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &twoProcesses{folder: t.TempDir(), want: map[string]bool{}}
		m.start(0)
		m.start(1)
		server, process := rapid.SampledFrom([]string{"s1", "s2", "s3"}), rapid.IntRange(0, 1)
		for range rapid.IntRange(1, 20).Draw(rt, "steps") {
			i := process.Draw(rt, "process")
			switch step := rapid.IntRange(0, 9).Draw(rt, "step"); {
			case step < 5:
				m.call(i, server.Draw(rt, "server"), rapid.Bool().Draw(rt, "out"))
			case step < 8:
				m.processes[i].Refresh()
			case step == 8:
				m.failing[i].Store(!m.failing[i].Load())
			case !m.failing[i].Load() && !m.processes[i].busy(): // a process that ends before it could write loses its changes
				m.processes[i].Close(0)
				m.start(i)
			}
		}
		views := m.settle()
		for _, s := range m.processes {
			s.Close(0)
		}
		maps.DeleteFunc(m.want, func(_ string, out bool) bool { return !out })
		want := fmt.Sprint(slices.Sorted(maps.Keys(m.want)))
		if diff := cmp.Diff([2]string{want, want}, views); diff != "" {
			rt.Fatalf("-want +got:\n%s", diff)
		}
	})
}
