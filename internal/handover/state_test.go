package handover

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
)

// What one process writes the next one reads; what is torn, foreign or no file is told once, passed over, and replaced.
func TestState(t *testing.T) {
	var got []string
	say := func(format string, a ...any) { got = append(got, fmt.Sprintf(format, a...)) }
	var log bytes.Buffer
	folder := t.TempDir()
	open := func() (*State, int) { return Open(folder, "n0", "127.0.0.1:1", zerolog.New(&log)) }
	told := func() int { defer log.Reset(); return bytes.Count(log.Bytes(), []byte("passed over")) }
	one, before := open()
	say("nothing there: %v, before %d, told %d", one.Out(), before, told())
	one.Write()
	say("%v", one.Change(t.Context(), func() ([]string, error) { return []string{"s2", "s1"}, nil }))
	say("%v", one.Change(t.Context(), func() ([]string, error) { return nil, errors.New("no server s9") }))
	two, _ := open()
	say("the next one: %v", two.Out())
	_, changed := one.Changed()
	say("the first has no news: %v", changed)
	two.Change(t.Context(), func() ([]string, error) { return []string{"s1"}, nil })
	out, changed := one.Changed()
	say("news for the first: %v %v", out, changed)
	other, _ := Open(folder, "n1", "127.0.0.1:1", zerolog.Nop())
	say("another sidecar: %v", other.Out())

	dead := exec.Command("true")
	if err := dead.Run(); err != nil {
		t.Fatal(err)
	}
	for _, process := range []int{os.Getppid(), os.Getpid(), dead.Process.Pid} {
		os.WriteFile(one.path, fmt.Appendf(nil, `{"form":%q,"sidecar":"n0","process":%d,"out":["s1"]}`, form, process), 0o600)
		b, before := open()
		say("%v, before is the one that lives and is another: %v", b.Out(), before == os.Getppid())
	}
	told()
	for _, text := range []string{"", `{"form":"` + form + `","sid`, `{}`, `[]`, "\x00\xff",
		fmt.Sprintf(`{"form":%q,"sidecar":"n1","process":1,"out":["s1"]}`, form),
		fmt.Sprintf(`{"form":%q,"sidecar":"n0","process":1,"out":"s1"}`, form),
		`{"form":"other","sidecar":"n0","process":1,"out":["s1"]}`} {
		os.WriteFile(one.path, []byte(text), 0o600)
		b, before := open()
		b.Changed()
		say("%.20q: %v, before %d, told %d", text, b.Out(), before, told())
	}
	os.Remove(one.path)
	os.Mkdir(one.path, 0o700)
	b, before := open()
	t.Cleanup(b.Close)
	say("a folder: %v, before %d, told %d", b.Out(), before, told())
	b.Write()
	say("what can't be written holds here: %v", b.Change(t.Context(), func() ([]string, error) { return []string{"s3"}, nil }))
	say("%v", b.Out())
	want := []string{"nothing there: [], before 0, told 0", "<nil>", "no server s9", "the next one: [s1 s2]",
		"the first has no news: false", "news for the first: [s1] true", "another sidecar: []",
		"[s1], before is the one that lives and is another: true", "[s1], before is the one that lives and is another: false",
		"[s1], before is the one that lives and is another: false",
		`"": [], before 0, told 1`, "\"{\\\"form\\\":\\\"ledgespread\": [], before 0, told 1", `"{}": [], before 0, told 1`,
		`"[]": [], before 0, told 1`, `"\x00\xff": [], before 0, told 1`, "\"{\\\"form\\\":\\\"ledgespread\": [], before 0, told 1",
		"\"{\\\"form\\\":\\\"ledgespread\": [], before 0, told 1", "\"{\\\"form\\\":\\\"other\\\",\\\"sid\": [], before 0, told 1",
		"a folder: [], before 0, told 1", "what can't be written holds here: <nil>", "[s3]"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("-kept +now:\n%s", diff)
	}
}

// Whatever stands in the file, it is read without harm, and what was read once reads the same again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(fmt.Sprintf(`{"form":%q,"sidecar":"n0","process":1,"out":["s1"]}`, form)))
	f.Add([]byte(`{"form":null,"sidecar":"n0"`))
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, text []byte) {
		out, pid, err := parse(text, "n0")
		again, same, err2 := parse(text, "n0")
		if fmt.Sprint(out, pid, err != nil) != fmt.Sprint(again, same, err2 != nil) {
			t.Error("read twice, two readings")
		}
	})
}

// A disk that keeps whoever writes waiting keeps no call waiting, and what was to be written is written in the end, the last
// change last.
func TestSlowDisk(t *testing.T) {
	b, _ := Open(t.TempDir(), "n0", "127.0.0.1:1", zerolog.Nop())
	b.mu.Lock() // as a write does that takes long
	for _, out := range [][]string{{"s1"}, {"s1", "s2"}} {
		if err := b.Change(t.Context(), func() ([]string, error) { return out, nil }); err != nil {
			t.Fatal(err)
		}
	}
	b.mu.Unlock()
	<-b.last
	text, err := os.ReadFile(b.path)
	if err != nil {
		t.Fatal(err)
	}
	out, _, err := parse(text, "n0")
	if diff := cmp.Diff("[s1 s2] <nil>", fmt.Sprint(out, err)); diff != "" {
		t.Errorf("-kept +now:\n%s", diff)
	}
}
