package simulation

import (
	"slices"
	"testing"
	"time"
)

// Tasks run in the order of their times, those of the same time in the order in which they were scheduled,
// and none after the end. A task scheduled for a time in the past runs now.
func TestSchedulerRunsTasksInOrder(t *testing.T) {
	s := scheduler{now: runStart}
	var ran []string
	task := func(name string) func() { return func() { ran = append(ran, name) } }
	s.after(2*time.Second, task("second"))
	s.after(time.Second, task("first"))
	s.after(2*time.Second, task("third"))
	s.after(2*time.Second, func() { s.at(runStart, task("of the past")) })
	s.after(3*time.Second, task("at the end"))
	s.after(3*time.Second+1, task("after the end"))
	s.runUntil(runStart + 3*time.Second)
	want := []string{"first", "second", "third", "of the past", "at the end"}
	if !slices.Equal(ran, want) {
		t.Errorf("ran %q, want %q", ran, want)
	}
	if s.now != runStart+3*time.Second {
		t.Errorf("the clock is at %v, want 3s after runStart", s.now)
	}
}

// A task scheduled for a time after the end of runUntil runs when runUntil is called for a later end.
func TestSchedulerKeepsTasksAfterEnd(t *testing.T) {
	s := scheduler{now: runStart}
	ran := 0
	s.at(runStart+time.Second, func() { ran++ })
	s.runUntil(runStart + time.Second - 1)
	if ran != 0 {
		t.Error("the task ran before its time")
	}
	s.runUntil(runStart + time.Second)
	if ran != 1 {
		t.Errorf("the task ran %d times, want once", ran)
	}
}
