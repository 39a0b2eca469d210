// Command adapter decides for simulated limiters: it reads the simulator's batches of events from standard input and
// writes the replies to standard output, until the input ends. Each limiter has an admission controller of its own and
// shares nothing with the others.
//
// It has no options. It exits with status 0 at the end of the input, and with 1 and a line on standard
// error if the input is malformed or a reply cannot be written.
package main

import (
	"fmt"
	"os"

	"lemongate/internal/simprotocol"
)

func main() {
	if err := simprotocol.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
