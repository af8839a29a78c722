// Command ledgelab is the test lab of ledgespread: it runs sidecars in a simulated fleet on loopback, under
// load and injected faults, and checks and measures what they do.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes of all commands.
const (
	exitHolds  = 0
	exitBroken = 1 // a rule, an expectation or a claim does not hold
	exitFailed = 2 // the command could not run
)

// errNotHeld reports that a rule, an expectation or a claim does not hold. The command has already printed
// which one.
var errNotHeld = errors.New("a rule, an expectation or a claim does not hold")

func main() {
	err := rootCommand().Execute()
	switch {
	case err == nil:
		os.Exit(exitHolds)
	case errors.Is(err, errNotHeld):
		os.Exit(exitBroken)
	default:
		fmt.Fprintln(os.Stderr, "ledgelab:", err)
		os.Exit(exitFailed)
	}
}
