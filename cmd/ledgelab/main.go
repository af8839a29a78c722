// Command ledgelab is the project's own rig: a stand-in fleet on loopback, its faults, load and experiments.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes of all commands.
const (
	holds    = 0
	broke    = 1 // a rule, an expectation or a claim does not hold
	couldNot = 2 // it could not be played
)

// errBroke says that something that was asked for does not hold; what it is has been printed.
var errBroke = errors.New("it does not hold")

func main() {
	err := root().Execute()
	switch {
	case err == nil:
		os.Exit(holds)
	case errors.Is(err, errBroke):
		os.Exit(broke)
	default:
		fmt.Fprintln(os.Stderr, "ledgelab:", err)
		os.Exit(couldNot)
	}
}
