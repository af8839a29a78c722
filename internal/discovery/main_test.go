package discovery_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain has the drawn sequences be the same in every run, unless a seed is asked for.
func TestMain(m *testing.M) {
	flag.Parse()
	asked := false
	flag.Visit(func(f *flag.Flag) { asked = asked || f.Name == "rapid.seed" })
	if !asked {
		flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
