// Package testseed fixes the random seed of property-based tests (pgregory.net/rapid), so that each test run
// draws the same cases and a build's result does not depend on chance.
package testseed

import (
	"flag"
	"testing"
)

// Run parses the command line, sets rapid's seed to 1 unless the command line sets it, runs the package's
// tests and returns the exit code. Call it from TestMain.
func Run(m *testing.M) int {
	flag.Parse()
	seedGiven := false
	flag.Visit(func(f *flag.Flag) { seedGiven = seedGiven || f.Name == "rapid.seed" })
	if !seedGiven {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	return m.Run()
}
