// Package alloctest compares the number of allocations that a function makes in its first call in a process with the
// number in later calls.
package alloctest

import (
	"os"
	"os/exec"
	"runtime"
	"testing"
)

// freshProcessVariable is the environment variable that is set in a process started by InFreshProcess.
const freshProcessVariable = "LEMONGATE_FRESH_PROCESS"

// InFreshProcess runs the calling test in a new process in which no other test runs, and reports whether the caller
// is in that process. If it returns false, the test has passed in the new process, and the caller has to return.
func InFreshProcess(t *testing.T) bool {
	t.Helper()
	if os.Getenv(freshProcessVariable) != "" {
		return true
	}
	cmd := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$", "-test.count=1")
	cmd.Env = append(os.Environ(), freshProcessVariable+"=1")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return false
}

// CompareFirstCall reports an error if the first call of a function makes more than 5/4 of the allocations of a later
// call, plus 20.
func CompareFirstCall(t *testing.T, name string, call func()) {
	t.Helper()
	first := allocations(call)
	call()
	later := allocations(call)
	if first > later*5/4+20 {
		t.Errorf("%s: %d allocations in the first call, %d in a later one; want at most 5/4 of the later number, plus 20", name, first, later)
	}
}

// allocations returns the number of allocations that a call makes.
func allocations(call func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	call()
	runtime.ReadMemStats(&after)
	return after.Mallocs - before.Mallocs
}
