// Command adapter lets the lemongate module decide on a simulator's wire: it
// reads batches of events on standard input and writes replies on standard
// output. Each instance has a Gateway of its own and shares nothing.
package main

import (
	"fmt"
	"os"

	"lemongate/internal/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
