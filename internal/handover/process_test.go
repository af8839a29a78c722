package handover

import (
	"fmt"
	"os"
	"testing"

	"github.com/rs/zerolog"
)

// A process that had been given the ID of a gone sidecar was taken for it: the new sidecar kept half of its memory for an
// old one, as long as that process ran.
func TestReusedProcessIDIsNotTheOldSidecar(t *testing.T) {
	folder, parent := t.TempDir(), os.Getppid()
	state, _ := Open(folder, "n0", "127.0.0.1:1", zerolog.Nop())
	for _, test := range []struct {
		id      int
		started uint64
		want    bool
	}{
		{parent, startOf(parent), true},
		{parent, startOf(parent) + 1, false},
		{parent, 0, true}, // written by a version that tells no start
		{os.Getpid(), startOf(os.Getpid()), false},
		{os.Getpid(), startOf(os.Getpid()) + 1, false},
	} {
		os.WriteFile(state.path, fmt.Appendf(nil, `{"form":%q,"sidecar":"n0","process":%d,"process_started":%d,"out":[]}`, form, test.id, test.started), 0o600)
		next, before := Open(folder, "n0", "127.0.0.1:1", zerolog.Nop())
		if got := before.Exists(); got != test.want {
			t.Errorf("process %d started at %d: an old sidecar runs: %v, want %v", test.id, test.started, got, test.want)
		}
		if got := next.Replaced(); got != test.want {
			t.Errorf("process %d started at %d: replaced %v, want %v", test.id, test.started, got, test.want)
		}
	}
	state.Announce()
	if read, err := state.read(); err != nil || read.process != CurrentProcess() || read.process.started == 0 {
		t.Errorf("announced %+v, %v", read.process, err)
	}
}
