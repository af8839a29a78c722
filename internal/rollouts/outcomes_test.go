package rollouts

import (
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"ledgespread/decide/rollout"
	"ledgespread/internal/extensions"
)

// openWithLog opens the stored state of a sidecar, and returns what was logged about it.
func openWithLog(t *testing.T, folder, name string) (r *Rollouts, log string) {
	var text strings.Builder
	r = Open(&extensions.Rollout{Folder: folder}, Config{Name: name, Overlay: newTestOverlay(t)}, zerolog.New(&text))
	return r, text.String()
}

// Guards against a process that begins a stopped rollout anew: the next process reads the outcome. The highest number counts, in
// whichever order they are written, and a contested number stays so.
func TestOutcomeIsStored(t *testing.T) {
	folder := t.TempDir()
	stopped := func(number rollout.Number) rollout.Outcome {
		return rollout.Outcome{Version: rollout.Version{Number: number, Digest: DigestOf([]byte("a"))}}
	}
	contested := stopped(5)
	contested.Contested, contested.OtherDigest = true, DigestOf([]byte("b"))
	for _, test := range []struct {
		name   string
		writes []rollout.Outcome
		want   rollout.Outcome
	}{
		{"none", nil, rollout.Outcome{}},
		{"stopped", []rollout.Outcome{stopped(4)}, stopped(4)},
		{"a lower number later", []rollout.Outcome{stopped(3)}, stopped(4)},
		{"stopped, then contested", []rollout.Outcome{stopped(5), contested}, contested},
		{"stopped while it is contested", []rollout.Outcome{stopped(5)}, contested},
	} {
		r, _ := openWithLog(t, folder, "n1")
		for _, outcome := range test.writes {
			r.storeOutcome(outcome)
		}
		next, log := openWithLog(t, folder, "n1")
		if diff := cmp.Diff(test.want, next.initial.Outcome); diff != "" || log != "" {
			t.Errorf("%s: -want +got\n%s%s", test.name, diff, log)
		}
	}
}

// A stored outcome that can't be read, or is another sidecar's, is logged and passed over, and replaced by the next one.
func TestUnreadableOutcome(t *testing.T) {
	folder := t.TempDir()
	outcome := rollout.Outcome{Version: rollout.Version{Number: 4, Digest: DigestOf([]byte("a"))}}
	r, _ := openWithLog(t, folder, "n1")
	r.storeOutcome(outcome)
	path := r.store.path(outcomeFile)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"", string(whole[:len(whole)/2]), strings.Replace(string(whole), `"n1"`, `"n2"`, 1),
		strings.Replace(string(whole), `"digest":"`, `"digest":"0`, 1), strings.Replace(string(whole), `"digest"`, `"contested":true,"digest"`, 1)} {
		os.WriteFile(path, []byte(text), 0o600)
		next, log := openWithLog(t, folder, "n1")
		if next.initial.Outcome != (rollout.Outcome{}) || !strings.Contains(log, "can't be read; passed over") {
			t.Errorf("%q: %+v, log %q", text, next.initial.Outcome, log)
		}
		next.storeOutcome(outcome)
		if again, log := openWithLog(t, folder, "n1"); again.initial.Outcome != outcome || log != "" {
			t.Errorf("%q: %+v is stored, log %q", text, again.initial.Outcome, log)
		}
	}
}

// Guards against a rollout that stands still after an upgrade, or is begun anew: the old process goes on until the new one takes its
// place among the members, and what it has stored until then counts.
func TestBeginsWithWhatTheOldProcessStored(t *testing.T) {
	policy := []byte(`{"settings": {"allowed": {"max_backend_fetches": 2}}}`)
	tried := newRecord(4, policy)
	tried.Tries, tried.Before = 1, [2]uint64{200, 199}
	for _, test := range []struct {
		name  string
		store func(old *Rollouts) error
		want  func(rollout.Status) bool
	}{
		{"a newer one", func(old *Rollouts) error { return old.store.write(newestFile, *newRecord(4, policy)) },
			func(s rollout.Status) bool { return s.Newest.Number == 4 && s.HasContent && len(s.Reports) == 0 }},
		{"one that it tries", func(old *Rollouts) error { return old.store.write(newestFile, *tried) },
			func(s rollout.Status) bool {
				return s.Newest.Number == 4 && len(s.Reports) == 1 && s.Reports[0].Verdict == rollout.Trial
			}},
		{"one that was stopped", func(old *Rollouts) error {
			old.storeOutcome(rollout.Outcome{Version: tried.version()})
			return old.store.write(newestFile, *tried)
		}, func(s rollout.Status) bool { return s.Newest.Number == 4 && s.Stage == rollout.Stopped }},
	} {
		folder := t.TempDir()
		old, _ := openWithLog(t, folder, "n1")
		if err := old.store.write(newestFile, *newRecord(3, policy)); err != nil {
			t.Fatal(err)
		}
		next, _ := openWithLog(t, folder, "n1")
		next.terms.RequestCounts = func() rollout.RequestCounts { return rollout.RequestCounts{} }
		next.terms.ProbeInterval = 250_000
		if err := test.store(old); err != nil {
			t.Fatal(err)
		}
		next.changeMu.Lock() // for good: a trial that it goes on with is not stored
		next.beginWith(1, emptyGroup{})
		if status := next.node.Status(); !test.want(status) {
			t.Errorf("%s: begins with %+v", test.name, status)
		}
	}
}
