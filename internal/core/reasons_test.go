package core

import (
	"encoding/json"
	"testing"
	"time"

	"lemongate/internal/admission"
)

// Local replies and retries are counted by their reasons, which have names, and the steps of a request are traced if that is
// wanted.
func TestReasonsAreCountedAndTraced(t *testing.T) {
	m := newTestMachine(t, newEndpoint("b1", "h:1", admission.Live, 0), newEndpoint("b2", "h:2", admission.Live, 0))
	m.config.TracesRequests = true
	request := newReadRequest(1, time.Hour, 2*time.Second)
	request.CallID = "x"
	effects := append([]Effect(nil), m.Step(time.Hour, request)...)
	effects = append(effects, m.Step(time.Hour, &AttemptFinished{Attempt: AttemptID{1, 0}, Result: admission.Rejected})...)
	effects = append(effects, m.Step(time.Hour, &ClientDisconnected{Request: 1})...)
	m.Step(time.Hour, &ClientConnClosed{Unread: true, Reason: CloseTimeout})

	var steps []TraceStep
	for _, step := range effectsOf[TraceRequest](effects) {
		if step.CallID != "x" || step.Attempt.Request != 1 {
			t.Errorf("traced %+v, want the IDs of the request", step)
		}
		steps = append(steps, step.Step)
	}
	want := []TraceStep{TraceReceived, TraceAttemptStarted, TraceAttemptFinished, TraceAttemptStarted, TraceDisconnected}
	if len(steps) < len(want) {
		t.Fatalf("traced the steps %v, want at least %v", steps, want)
	}
	for i := range want {
		if steps[i] != want[i] {
			t.Errorf("step %d is %v, want %v", i, steps[i], want[i])
		}
	}
	for _, c := range []struct {
		counts json.Marshaler
		want   string
	}{
		{m.counters.Replies, `{"disconnected":1}`}, {m.counters.Retried, `{"rejected":1}`}, {m.counters.Closes, `{"timeout":1}`},
	} {
		if got, err := json.Marshal(c.counts); string(got) != c.want || err != nil {
			t.Errorf("counts %s, error %v, want %s", got, err, c.want)
		}
	}
	for reason := range numReplyReasons {
		if reason.String() == "" {
			t.Errorf("reply reason %d has no name", reason)
		}
	}
	for reason := range numCloseReasons {
		if reason.String() == "" {
			t.Errorf("close reason %d has no name", reason)
		}
	}
}
