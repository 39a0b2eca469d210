// Package rapidtest runs the tests of a package with fixed settings of rapid, so that random tests draw
// the same values every time.
package rapidtest

import (
	"flag"
	"testing"
)

// Main runs the tests with rapid's seed, and with further flags of rapid by name, such as "rapid.steps". It
// returns the exit code. No file is written of a test that fails: the seed repeats it.
func Main(m *testing.M, seed string, flags map[string]string) int {
	flag.Parse()
	set("rapid.seed", seed)
	set("rapid.nofailfile", "true")
	for name, value := range flags {
		set(name, value)
	}
	return m.Run()
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
