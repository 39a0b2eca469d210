package core

import (
	"testing"
	"time"

	"lemongate/internal/admission"
)

// An attempt past its deadline, beyond the number allowed, or at a backend that takes no attempts is not sent, and is
// counted as such.
func TestUnfitAttemptIsNotSent(t *testing.T) {
	live, draining := newEndpoint("b1", "h:1", admission.Live, 0), newEndpoint("b2", "h:2", admission.Draining, 0)
	for name, c := range map[string]struct {
		request request
		backend string
	}{
		"past its deadline": {request{deadline: time.Hour}, "b1"},
		"beyond the limit":  {request{deadline: 2 * time.Hour, attempts: 3}, "b1"},
		"answered":          {request{deadline: 2 * time.Hour, answered: true, openAttempts: 1}, "b1"},
		"draining":          {request{deadline: 2 * time.Hour}, "b2"},
		"never listed":      {request{deadline: 2 * time.Hour}, "b3"},
	} {
		m := newTestMachine(t, live, draining)
		m.effects = nil
		c.request.RequestReceived = &RequestReceived{Request: admission.Request{ID: 9}}
		m.requests.byID[9] = &c.request
		m.startAttempt(admission.StartAttempt{Request: 9, Backend: c.backend})
		if n := m.Counters().NotSent; n != 1 || len(effectsOf[StartAttempt](m.effects)) != 0 {
			t.Errorf("%s: %d attempts counted as not sent, want 1; effects %v, want no attempt started", name, n, m.effects)
		}
	}
}

// An attempt that runs until its request's deadline is canceled, and a late result changes nothing.
func TestAttemptTimesOut(t *testing.T) {
	m := newTestMachine(t, newEndpoint("b1", "h:1", admission.Live, 0))
	m.Step(time.Hour, newReadRequest(1, time.Hour, 500*time.Millisecond))
	got := m.Step(time.Hour+500*time.Millisecond-responseMargin, TimerFired{})
	canceled, responses := effectsOf[CancelAttempt](got), effectsOf[Respond](got)
	if len(canceled) != 1 || len(responses) != 1 || responses[0].Kind != Rejected {
		t.Errorf("at the deadline: effects %+v, want one canceled attempt and one rejection", got)
	}
	late := m.Step(time.Hour+time.Second, &AttemptFinished{Attempt: AttemptID{1, 0}, Result: admission.Succeeded})
	if len(effectsOf[Respond](late)) != 0 {
		t.Errorf("a late result caused effects %+v, want no response", late)
	}
}
