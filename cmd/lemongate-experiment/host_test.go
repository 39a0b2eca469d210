package main

import (
	"io"
	"slices"
	"testing"
)

// The functions registered before the end are called once, the last one first. A function registered later is called
// at once, as for a run that is interrupted while it starts a process.
func TestCleanupAfterEnd(t *testing.T) {
	parent := newHost(io.Discard)
	child := parent.newChild()
	var called []string
	register := func(h *host, name string) { h.Cleanup(func() { called = append(called, name) }) }
	register(parent, "a")
	register(child, "b")
	register(child, "c")
	parent.end()
	register(child, "d")
	register(parent, "e")
	parent.end()
	if want := []string{"a", "c", "b", "d", "e"}; !slices.Equal(called, want) {
		t.Errorf("called %q, want %q", called, want)
	}
}
