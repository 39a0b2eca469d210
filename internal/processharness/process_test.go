package processharness

import (
	"errors"
	"os/exec"
	"testing"
)

// A process is not started after the end of its host, and a started process is killed when its host ends.
func TestProcessEndsWithHost(t *testing.T) {
	unstarted := &Process{Cmd: exec.Command("sleep", "60")}
	if unstarted.end() {
		t.Error("end reports that an unstarted process was started")
	}
	if err := unstarted.start(); !errors.Is(err, errHostEnded) {
		t.Errorf("start after the end of the host: error %v, want errHostEnded", err)
	}
	started := &Process{Cmd: exec.Command("sleep", "60")}
	if err := started.start(); err != nil {
		t.Fatal(err)
	}
	if !started.end() {
		t.Error("end reports that a started process was not started")
	}
	if err := started.Cmd.Wait(); err == nil {
		t.Error("the started process exited without an error, want that it was killed")
	}
}
