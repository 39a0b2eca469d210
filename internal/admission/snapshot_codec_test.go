package admission

import (
	"os"
	"os/exec"
	"runtime"
	"testing"
)

// freshProcess is set in a process in which nothing was encoded or decoded before the test.
const freshProcess = "LEMONGATE_FRESH_PROCESS"

// After PrepareSnapshots the first snapshot that a process takes costs what later ones do, and the first that
// it resumes from too: while these are under way no process admits, and every process does each but once.
func TestFirstSnapshotCostsNoMoreThanLater(t *testing.T) {
	if os.Getenv(freshProcess) == "" {
		cmd := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$", "-test.count=1")
		cmd.Env = append(os.Environ(), freshProcess+"=1")
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("%v\n%s", err, out)
		}
		return
	}
	PrepareSnapshots()
	ctl := New(testSettings(), 1)
	ctl.Handle(0, &EndpointList{Kind: ListComplete, Backends: backendList("a", "b")}, nil)
	ctl.Handle(0, &Request{ID: 1, Class: "read", Plan: "small", Customer: "x", Units: 1, Budget: 1000 * ms, SetSize: 2}, nil)
	var data []byte
	take := func() { data, _ = ctl.Snapshot() }
	resume := func() {
		if _, err := Resume(testSettings(), 1, data); err != nil {
			t.Fatal(err)
		}
	}
	compareFirst(t, "Snapshot", take)
	compareFirst(t, "Resume", resume)
}

// compareFirst compares the allocations of the first call of a function with those of a later one.
func compareFirst(t *testing.T, name string, call func()) {
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
