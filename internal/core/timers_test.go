package core

import (
	"testing"
	"time"

	"lemongate/internal/admission"
)

// No timer is set without a reason: not for a request that is answered, an attempt that ended, or a timer of the
// admission controller that a later one replaced.
func TestStaleTimersAreDropped(t *testing.T) {
	m := newTestMachine(t, newEndpoint("b1", "h:1", admission.Live, 0))
	m.Step(time.Hour, &EndpointsUpdated{Kind: admission.ListDelta})
	m.Step(time.Hour, newReadRequest(1, time.Hour, time.Second))
	m.Step(time.Hour+time.Millisecond, &AttemptFinished{Attempt: AttemptID{1, 0}, Result: admission.Succeeded})
	m.applyAction(admission.SetTimer{At: time.Hour + 40*time.Minute})
	m.applyAction(admission.SetTimer{At: time.Hour + 30*time.Minute})
	got := m.finishStep()
	if set := got[len(got)-1]; set != (SetTimer{time.Hour + 30*time.Minute}) {
		t.Errorf("last effect %+v, want the timer at 1 h 30 min", set)
	}
	m.admission.timerAt = 0
	if _, ok := m.nextTimer(); ok {
		t.Errorf("valid timers left: %+v", m.timers)
	}
}

// The timers of requests that were answered at once do not pile up until their deadlines.
func TestInvalidTimersArePruned(t *testing.T) {
	m := newTestMachine(t)
	for id := RequestID(1); id <= 10*minPruneLength; id++ {
		request := newReadRequest(id, time.Hour, time.Second)
		request.Class = "unknown" // rejected at once
		m.Step(time.Hour, request)
	}
	if n := len(m.timers.heap); n > minPruneLength {
		t.Errorf("%d timers for no open request, want at most %d", n, minPruneLength)
	}
	request := newReadRequest(1<<40, time.Hour, time.Second) // no backend: it waits for its deadline or that of the queue
	m.Step(time.Hour, request)
	if got := effectsOf[Respond](m.Step(time.Hour+time.Second, TimerFired{})); len(got) != 1 {
		t.Errorf("%d responses at the deadline of the open request, want 1", len(got))
	}
}
