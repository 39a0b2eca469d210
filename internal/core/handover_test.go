package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lemongate/internal/admission"
)

// A successor adopts open attempts in the order in which they were made, the same every time: a
// backend's open attempts are kept oldest first.
func TestOpenAttemptsAreHandedOverInOrder(t *testing.T) {
	var endpoints []Endpoint
	for i := range 20 {
		endpoints = append(endpoints, newEndpoint(fmt.Sprintf("b%d", i), "h:1", admission.Live, 0))
	}
	m, _ := New(time.Hour, Config{Settings: settingsWithFreePlan(), Seed: 1, KnownEndpoints: endpoints})
	started := 0
	for id := range RequestID(30) {
		ev := readRequest(id+1, time.Hour, time.Second)
		ev.Plan = "free"
		started += len(effectsOf[StartAttempt](m.Step(time.Hour, ev)))
	}
	state := m.packState()
	if started < 10 || len(state.OpenAttempts) != started {
		t.Fatalf("%d attempts started, %d handed over", started, len(state.OpenAttempts))
	}
	if !slices.IsSortedFunc(state.OpenAttempts, func(a, b OpenAttempt) int {
		return compareAttemptIDs(a.attemptID(), b.attemptID())
	}) {
		t.Errorf("handed over out of order: %+v", state.OpenAttempts)
	}
}
