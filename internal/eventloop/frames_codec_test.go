package eventloop

import (
	"os"
	"os/exec"
	"runtime"
	"testing"

	"lemongate/internal/core"
	"lemongate/internal/hotrestart"
	"lemongate/internal/hotrestart/link"
)

// freshProcess is set in a process in which nothing was encoded or decoded before the test.
const freshProcess = "LEMONGATE_FRESH_PROCESS"

// After prepareTransfer the first state that a process sends or receives costs what later ones do: while it is
// under way no process admits, and every process does each but once.
func TestFirstTransferCostsNoMoreThanLater(t *testing.T) {
	if os.Getenv(freshProcess) == "" {
		cmd := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$", "-test.count=1")
		cmd.Env = append(os.Environ(), freshProcess+"=1")
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("%v\n%s", err, out)
		}
		return
	}
	prepareTransfer()
	state := filled[core.HandoverState](1)
	var body []byte
	compareFirst(t, "encoding", func() { body, _ = frameCodec.Marshal(newStateFrame(state)) })
	compareFirst(t, "decoding", func() {
		ev, _ := decode(link.Frame{Kind: uint8(hotrestart.Transfer), Body: body})
		if ev.(*core.LinkMessageReceived).State == nil {
			t.Fatal("the state was not decoded")
		}
	})
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
