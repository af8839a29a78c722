// Package testseed has tests with drawn cases draw the same ones in every run, so that a build has the same verdict each time.
package testseed

import (
	"flag"
	"testing"
)

// Run runs a package's tests, with rapid's seed fixed unless the command line names one. It is called by TestMain and gives the exit code.
func Run(m *testing.M) int {
	flag.Parse()
	named := false
	flag.Visit(func(f *flag.Flag) { named = named || f.Name == "rapid.seed" })
	if !named {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	return m.Run()
}
