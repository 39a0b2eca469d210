package processharness

import (
	"errors"
	"os/exec"
	"testing"
)

// A process whose host ends before its start is not started; one that ends after it is killed.
func TestProcessEndsWithHost(t *testing.T) {
	early := &Process{Cmd: exec.Command("sleep", "60")}
	if early.end() {
		t.Error("ended a process that was not started")
	}
	if err := early.start(); !errors.Is(err, errOver) {
		t.Errorf("started after its end: %v", err)
	}
	late := &Process{Cmd: exec.Command("sleep", "60")}
	if err := late.start(); err != nil {
		t.Fatal(err)
	}
	if !late.end() {
		t.Error("a process that was started counts as not started")
	}
	if err := late.Cmd.Wait(); err == nil {
		t.Error("it was not killed")
	}
}
