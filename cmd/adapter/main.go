// Command adapter serves the simulator's wire protocol on standard input and output with the balancer of package brain.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"ledgespread/simwire"
)

func main() {
	debug.SetGCPercent(400) // collect garbage less often: the simulator charges collector time to the decisions
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
