package admission

import (
	"testing"

	"lemongate/internal/alloctest"
)

// After PrepareSnapshots, the first Snapshot and the first Resume of a process allocate no more than repeated calls. Each
// happens once in the life of a process, while no process admits requests, so that first call has to be fast.
func TestFirstSnapshotCostsNoMoreThanLater(t *testing.T) {
	if !alloctest.InFreshProcess(t) {
		return
	}
	PrepareSnapshots()
	ctl := New(testSettings(), 1)
	ctl.Handle(0, &EndpointList{Kind: ListComplete, Backends: backendList("a", "b")}, nil)
	ctl.Handle(0, &Request{ID: 1, Class: "read", Plan: "small", Customer: "x", Units: 1, Budget: 1000 * ms, SetSize: 2}, nil)
	var data []byte
	takeSnapshot := func() { data, _ = ctl.Snapshot() }
	resume := func() {
		if _, err := Resume(testSettings(), 1, data); err != nil {
			t.Fatal(err)
		}
	}
	alloctest.CompareFirstCall(t, "Snapshot", takeSnapshot)
	alloctest.CompareFirstCall(t, "Resume", resume)
}
