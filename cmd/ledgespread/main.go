// Command ledgespread runs the load-balancing sidecar and its operator commands.
package main

import "os"

func main() {
	if err := rootCommand().Execute(); err != nil {
		os.Exit(1)
	}
}
