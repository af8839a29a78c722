// Command adapter runs the decision module on the bench's wire.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"ledgespread/simwire"
)

func main() {
	debug.SetGCPercent(400) // collect seldom: decisions are charged for the collector's time
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
