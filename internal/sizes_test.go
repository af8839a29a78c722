package internal_test

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const (
	mostFileLines     = 400
	mostFunctionLines = 60
)

// longFunctions lists the functions that may exceed mostFunctionLines, each with its reason.
var longFunctions = map[string]string{
	"decide/membership/receive.go handleMessage": "one case for each kind of message, in the order of the page that describes them",
	"simwire/simwire.go event":                   "one case for each kind of record, in the order of the wire's page",
	"decide/failover/reports.go States":          "to be split with the matter that it belongs to, which is only begun",
}

// longLabFunctions lists the functions of the lab that exceed mostFunctionLines and are still to be split. Don't add
// to it.
var longLabFunctions = []string{"clients/try.go send", "depth/sweep.go Report", "faults/faults.go Simulate", "faults/group.go SimulateGroup", "faults/sweep.go Report",
	"faulty/faulty.go Serve", "faulty/faulty.go ServeHTTP", "prove/floor.go playFloor", "prove/membership_cost.go flood",
	"prove/membership_processes.go checkProcesses", "prove/rollout_processes.go checkFaults", "prove/rollout_simulated.go measureChange", "report/plot.go Plot",
	"report/report.go New", "runner/faults.go faultBackend", "runner/startup.go startSidecars", "scale/accounts.go recordSize", "scale/claims.go judgeClaims", "scale/claims.go measureHerd", "scale/deaths.go measureDeaths", "scale/service.go handle",
	"scenario/check.go validate"}

// Source files and functions of the sidecar, its decision packages and the lab stay within a length that is easy to
// read. A function over the limit must be listed above, and must be removed from there once it is within the limit.
func TestFileSizes(t *testing.T) {
	var got, want []string
	for function := range longFunctions {
		want = append(want, "function "+function)
	}
	for _, function := range longLabFunctions {
		want = append(want, "function lab/"+function)
	}
	for _, folder := range []string{"brain", "decide", "internal", "cmd", "simwire", "strict", "lab"} {
		err := filepath.WalkDir(filepath.Join("..", folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			got = append(got, tooLong(t, strings.TrimPrefix(path, "../"), text)...)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	slices.Sort(got)
	slices.Sort(want)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("-with a reason +too long:\n%s", diff)
	}
}

// tooLong returns the file and those of its functions that exceed the limits.
func tooLong(t *testing.T, path string, text []byte) (long []string) {
	if lines := bytes.Count(text, []byte("\n")); lines > mostFileLines {
		long = append(long, fmt.Sprintf("file %s: %d lines", path, lines))
	}
	places := token.NewFileSet()
	file, err := parser.ParseFile(places, path, text, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, declaration := range file.Decls {
		function, is := declaration.(*ast.FuncDecl)
		if !is || function.Body == nil {
			continue
		}
		if lines := places.Position(function.End()).Line - places.Position(function.Pos()).Line + 1; lines > mostFunctionLines {
			long = append(long, "function "+path+" "+function.Name.Name)
		}
	}
	return long
}
