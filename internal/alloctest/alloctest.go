// Package alloctest compares, for tests, what the first call of a function in a process costs with what later ones
// cost.
package alloctest

import (
	"os"
	"os/exec"
	"runtime"
	"testing"
)

// freshProcess is set in a process that InFreshProcess started.
const freshProcess = "LEMONGATE_FRESH_PROCESS"

// InFreshProcess runs the test that calls it in a process in which nothing ran before, and reports whether this is
// that process. The test ends where it is not.
func InFreshProcess(t *testing.T) bool {
	t.Helper()
	if os.Getenv(freshProcess) != "" {
		return true
	}
	cmd := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$", "-test.count=1")
	cmd.Env = append(os.Environ(), freshProcess+"=1")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return false
}

// CompareFirst reports an error if the first call of a function makes more allocations than a later one: a quarter
// and some more are allowed.
func CompareFirst(t *testing.T, name string, call func()) {
	t.Helper()
	first := allocations(call)
	call()
	later := allocations(call)
	if first > later*5/4+20 {
		t.Errorf("%s: %d allocations at first, %d later", name, first, later)
	}
}

// allocations returns how many allocations a call makes.
func allocations(call func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	call()
	runtime.ReadMemStats(&after)
	return after.Mallocs - before.Mallocs
}
