// Package trace is the tests' one helper: a printed trace of what happened, compared with one that is kept and read by people.
package trace

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the traces anew; read them before you keep them")

// Trace gathers lines.
type Trace struct{ b strings.Builder }

// Add adds one.
func (t *Trace) Add(format string, values ...any) { fmt.Fprintf(&t.b, format+"\n", values...) }

// Same compares with testdata/NAME.trace of the test's package.
func (t *Trace) Same(tb testing.TB) {
	tb.Helper()
	Same(tb, t.b.String())
}

// Same compares a text with testdata/NAME.trace of the test's package.
func Same(tb testing.TB, now string) {
	tb.Helper()
	file := filepath.Join("testdata", strings.ReplaceAll(tb.Name(), "/", "-")+".trace")
	if *update {
		os.MkdirAll("testdata", 0o755)
		if err := os.WriteFile(file, []byte(now), 0o644); err != nil {
			tb.Fatal(err)
		}
		return
	}
	kept, err := os.ReadFile(file)
	if err != nil {
		tb.Fatal(err)
	}
	if diff := cmp.Diff(string(kept), now); diff != "" {
		tb.Errorf("-kept +now:\n%s", diff)
	}
}
