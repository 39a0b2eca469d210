// Package rapidtest runs the tests of a package with fixed settings of rapid, so that property-based tests draw the
// same values every time.
package rapidtest

import (
	"flag"
	"testing"
)

// Main runs the tests with a seed for rapid and with further rapid flags by name, such as "rapid.steps". It returns
// the exit code. Failing tests write no file, because the seed reproduces them.
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
