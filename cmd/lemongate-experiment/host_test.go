package main

import (
	"io"
	"slices"
	"testing"
)

// Cleanup functions registered before the host ends are called once, the last one first. A child ends when its parent
// calls the cleanup function that newChild has registered: here after the parent's own function, which was registered
// later. A function registered after the end is called at once, as a run that is interrupted may be starting a process.
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
		t.Errorf("cleanup functions called in the order %q, want %q", called, want)
	}
}
