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

// What was stopped is read back by the next process. The highest number counts, however the writes are ordered, and a
// contested one stays so. A file that can't be read, or is another sidecar's, is logged and passed over.
func TestOutcomeIsKept(t *testing.T) {
	folder := t.TempDir()
	open := func(name string) (r *Rollouts, log string) {
		var text strings.Builder
		r = Open(&extensions.Rollout{Folder: folder}, Config{Name: name, Overlay: newTestOverlay(t)}, zerolog.New(&text))
		return r, text.String()
	}
	stopped := func(number rollout.Number) rollout.Outcome {
		return rollout.Outcome{Version: rollout.Version{Number: number, Digest: DigestOf([]byte("a"))}}
	}
	contested := stopped(5)
	contested.Contested, contested.OtherDigest = true, DigestOf([]byte("b"))
	for _, c := range []struct {
		name   string
		writes []rollout.Outcome
		want   rollout.Outcome
	}{
		{"none", nil, rollout.Outcome{}},
		{"stopped", []rollout.Outcome{stopped(4)}, stopped(4)},
		{"a lower number later", []rollout.Outcome{stopped(3)}, stopped(4)},
		{"contested", []rollout.Outcome{stopped(5), contested}, contested},
		{"stopped when it is contested", []rollout.Outcome{stopped(5)}, contested},
	} {
		r, _ := open("n1")
		for _, outcome := range c.writes {
			r.storeOutcome(outcome)
		}
		again, log := open("n1")
		if diff := cmp.Diff(c.want, again.initial.Outcome); diff != "" || log != "" {
			t.Errorf("%s: -want +got\n%s%s", c.name, diff, log)
		}
	}
	own := store{folder, "n1"}.path(outcomeFile)
	text, err := os.ReadFile(own)
	if err != nil {
		t.Fatal(err)
	}
	os.WriteFile(store{folder, "n2"}.path(outcomeFile), text, 0o600)
	for _, c := range []struct{ name, text string }{
		{"n2", string(text)}, {"n1", ""}, {"n1", string(text[:len(text)/2])}, {"n1", strings.Replace(string(text), `"digest":"`, `"digest":"0`, 1)},
	} {
		os.WriteFile(store{folder, c.name}.path(outcomeFile), []byte(c.text), 0o600)
		if r, log := open(c.name); r.initial.Outcome != (rollout.Outcome{}) || !strings.Contains(log, "can't be read; passed over") {
			t.Errorf("%s %q: %+v, log %q", c.name, c.text, r.initial.Outcome, log)
		}
	}
}
