// Package trace is a test helper for golden files: a test prints what happened, and the text is compared with
// the committed file testdata/NAME.trace. Run the tests with -update to rewrite the files, and review the
// difference.
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

var update = flag.Bool("update", false, "rewrite the golden files under testdata; review them before you commit them")

// Trace collects the lines of a trace.
type Trace struct{ text strings.Builder }

// AddLine formats and appends one line.
func (t *Trace) AddLine(format string, values ...any) { fmt.Fprintf(&t.text, format+"\n", values...) }

// AssertMatchesFile compares the collected lines with the golden file of the test.
func (t *Trace) AssertMatchesFile(tb testing.TB) {
	tb.Helper()
	AssertMatchesFile(tb, t.text.String())
}

// AssertMatchesFile fails the test if the text differs from its golden file, testdata/NAME.trace, where slashes in the
// test's name are replaced by dashes. With -update it writes the file instead.
func AssertMatchesFile(tb testing.TB, got string) {
	tb.Helper()
	file := filepath.Join("testdata", strings.ReplaceAll(tb.Name(), "/", "-")+".trace")
	if *update {
		os.MkdirAll("testdata", 0o755)
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			tb.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(file)
	if err != nil {
		tb.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		tb.Errorf("-want (golden file) +got:\n%s", diff)
	}
}
