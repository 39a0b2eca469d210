package main

import (
	"io"
	"slices"
	"testing"
)

// What is registered at the end is called once, the last one first; what comes later is called at once, as by a run
// that is interrupted while it starts a process.
func TestCleanupAfterEnd(t *testing.T) {
	outer := newHost(io.Discard)
	inner := outer.within()
	var called []string
	register := func(h *host, name string) { h.Cleanup(func() { called = append(called, name) }) }
	register(outer, "a")
	register(inner, "b")
	register(inner, "c")
	outer.end()
	register(inner, "d")
	register(outer, "e")
	outer.end()
	if want := []string{"a", "c", "b", "d", "e"}; !slices.Equal(called, want) {
		t.Errorf("called %q, want %q", called, want)
	}
}
