package processharness

import (
	"errors"
	"os/exec"
	"testing"
)

// A process is not started after the end of its host, and a started process is killed when its host ends.
func TestProcessEndsWithHost(t *testing.T) {
	early := &Process{Cmd: exec.Command("sleep", "60")}
	if early.end() {
		t.Error("end reports that it ended a process that was not started")
	}
	if err := early.start(); !errors.Is(err, errHostEnded) {
		t.Errorf("start after the end of the host: %v, want errHostEnded", err)
	}
	late := &Process{Cmd: exec.Command("sleep", "60")}
	if err := late.start(); err != nil {
		t.Fatal(err)
	}
	if !late.end() {
		t.Error("end reports a started process as not started")
	}
	if err := late.Cmd.Wait(); err == nil {
		t.Error("the process was not killed")
	}
}
