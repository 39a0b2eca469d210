package core

import (
	"fmt"
	"testing"
	"time"

	"lemongate/internal/admission"
)

// A deadline counts from the arrival of the request's last byte, not from when the event is handled.
func TestDeadlineCountsFromLastByte(t *testing.T) {
	m := newTestMachine(t, newEndpoint("b1", "h:1", admission.Live, 0))
	got := effectsOf[StartAttempt](m.Step(time.Hour, newReadRequest(1, time.Hour-30*time.Millisecond, time.Second)))
	if want := 970*time.Millisecond - responseMargin; len(got) != 1 || got[0].Timeout != want {
		t.Errorf("%+v, want one attempt with a timeout of %v", got, want)
	}
}

// A request that arrives after the end of its client's budget is rejected, not forwarded.
func TestRequestPastItsBudgetIsRejected(t *testing.T) {
	m := newTestMachine(t, newEndpoint("b1", "h:1", admission.Live, 0))
	got := effectsOf[Respond](m.Step(time.Hour, newReadRequest(1, time.Hour-time.Second, 900*time.Millisecond)))
	if c := m.Counters(); len(got) != 1 || got[0].Kind != Rejected || c.NotSent+c.Overdue != 0 {
		t.Errorf("responses %+v, counters %+v; want one rejection, and no attempt or deadline counted", got, c)
	}
}

// Every request is answered at its deadline, even one for which the admission controller never decides.
func TestUndecidedRequestIsAnsweredAtItsDeadline(t *testing.T) {
	for class, c := range map[string]struct {
		mayHaveRun bool
		want       ResponseKind
	}{"read": {true, Rejected}, "once": {false, Rejected}, "post": {true, Failed}} {
		m := newTestMachine(t)
		ev := newReadRequest(7, time.Hour, time.Second)
		ev.Class = class
		m.Step(time.Hour, ev)
		m.admission.controller = admission.New(testSettings, 2) // a new controller does not know the request
		m.requests.byID[7].mayHaveRun = c.mayHaveRun
		at := time.Hour + time.Second - responseMargin
		if got := effectsOf[Respond](m.Step(at-1, TimerFired{})); len(got) != 0 {
			t.Errorf("%s: response %+v before the deadline", class, got)
		}
		got := effectsOf[Respond](m.Step(at, TimerFired{}))
		if len(got) != 1 || got[0].Kind != c.want || m.Counters().Overdue != 1 || len(m.requests.byID) != 0 {
			t.Errorf("%s: responses %+v, want one of kind %d, one request counted as overdue, and none kept", class, got, c.want)
		}
	}
}

// No two open requests share a call ID: the second is rejected at once and does not affect the first. The
// ID can be used again once the first has no attempt in flight.
func TestDuplicateCallIDIsRejected(t *testing.T) {
	m := newTestMachine(t, newEndpoint("b1", "h:1", admission.Live, 0))
	send := func(id RequestID) []Effect {
		ev := newReadRequest(id, time.Hour, time.Second)
		ev.CallID, ev.Customer = "x", fmt.Sprint(id)
		return m.Step(time.Hour, ev)
	}
	send(1)
	second := send(2)
	if len(second) != 1 || second[0] != (Respond{Request: 2, Kind: DuplicateID, Reason: ReplyDuplicateID}) || len(m.requests.byID) != 1 {
		t.Errorf("the second request caused %+v, want only DuplicateID, and one request kept", second)
	}
	finished := &AttemptFinished{Attempt: AttemptID{1, 0}, Result: admission.Succeeded}
	first := effectsOf[Respond](m.Step(time.Hour, finished))
	if len(first) != 1 || first[0].Kind != Served {
		t.Errorf("the first request ended with %+v, want one response of a backend", first)
	}
	third := effectsOf[StartAttempt](send(3))
	if len(third) != 1 || m.Counters().Malformed[DuplicateCallID] != 1 || len(m.requests.byCallID) != 1 {
		t.Errorf("the third request started %+v, want one attempt, one duplicate counted, one call ID in use", third)
	}
}

// After the client of a request has disconnected, nothing more is forwarded for it, even if attempts may not be canceled
// and one is about to begin. The request still gets a response, as the client may only have closed its sending side.
func TestClientDisconnects(t *testing.T) {
	settings := testSettings
	settings.MayCancel = false
	m, _ := New(time.Hour, Config{Settings: settings, Seed: 1, KnownEndpoints: []Endpoint{newEndpoint("b1", "h:1", admission.Live, 0)}})
	started := effectsOf[StartAttempt](m.Step(time.Hour, newReadRequest(1, time.Hour, time.Second)))
	if len(started) != 1 {
		t.Fatalf("started %v, want one attempt", started)
	}
	effects := m.Step(time.Hour, &ClientDisconnected{Request: 1})
	if got := effectsOf[WithdrawAttempt](effects); len(got) != 1 || got[0].Attempt != started[0].Attempt {
		t.Errorf("withdrawn %v, want %v", got, started[0].Attempt)
	}
	if got := effectsOf[Respond](effects); len(got) != 1 || got[0].Request != 1 || got[0].Kind != Rejected {
		t.Errorf("answered %v, want one rejection", got)
	}
	effects = m.Step(time.Hour, &AttemptFinished{Attempt: started[0].Attempt, Result: admission.NotSent})
	if len(effectsOf[StartAttempt](effects))+len(effectsOf[Respond](effects)) > 0 || len(m.requests.byID) > 0 {
		t.Errorf("the withdrawn attempt caused %v, %d requests kept; want no attempt, no response, none kept", effects, len(m.requests.byID))
	}
	if c := m.Counters(); c.ClientsDisconnected != 1 || c.Rejected != 0 || c.OpenRequests != 0 {
		t.Errorf("counters %+v, want one disconnected client, none rejected, none open", c)
	}
}

// A request whose client disconnected before it was read gets a response, and nothing is forwarded for it.
func TestClientDisconnectedBeforeItsRequestWasRead(t *testing.T) {
	m := newTestMachine(t, newEndpoint("b1", "h:1", admission.Live, 0))
	ev := newReadRequest(1, time.Hour, time.Second)
	ev.Disconnected = true
	effects := m.Step(time.Hour, ev)
	if got := effectsOf[Respond](effects); len(got) != 1 || got[0].Kind != Rejected || len(effectsOf[StartAttempt](effects)) > 0 {
		t.Errorf("effects %v, want one rejection and no attempt", effects)
	}
	if c := m.Counters(); c.Received != 1 || c.ClientsDisconnected != 1 || c.OpenRequests != 0 || len(m.requests.byID) > 0 {
		t.Errorf("counters %+v, want one received, one disconnected client, none open", c)
	}
}

// A client of which it cannot be seen whether it has left counts as disconnected: its request is answered at once, and no
// further attempt begins, also if the one in flight is turned away.
func TestNoAttemptForUnseenClient(t *testing.T) {
	m := newTestMachine(t, newEndpoint("b1", "h:1", admission.Live, 0), newEndpoint("b2", "h:2", admission.Live, 0))
	received := newReadRequest(1, time.Hour, time.Second)
	received.Disconnected, received.Reason = true, DisconnectUnseen
	effects := m.Step(time.Hour, received)
	if r := effectsOf[Respond](effects); len(r) != 1 || r[0].Kind != Rejected || r[0].Reason != ReplyUnseen {
		t.Errorf("answered with %+v, want one rejection for a client that is not seen", r)
	}
	if a := effectsOf[StartAttempt](effects); len(a) > 0 {
		t.Errorf("started %+v, want no attempt", a)
	}
	if a := effectsOf[StartAttempt](m.Step(time.Hour, newReadRequest(2, time.Hour, time.Second))); len(a) != 1 {
		t.Fatalf("started %+v, want one attempt for a client that is there", a)
	}
	effects = m.Step(time.Hour, &ClientDisconnected{Request: 2, Reason: DisconnectUnseen})
	if r := effectsOf[Respond](effects); len(r) != 1 || r[0].Reason != ReplyUnseen {
		t.Errorf("answered with %+v, want one reply for a client that is not seen", r)
	}
	effects = m.Step(time.Hour, &AttemptFinished{Attempt: AttemptID{2, 0}, Result: admission.Rejected})
	if a := effectsOf[StartAttempt](effects); len(a) > 0 {
		t.Errorf("started %+v, want no further attempt", a)
	}
	if m.counters.ClientsDisconnected != 0 || m.counters.Replies[ReplyUnseen] != 2 {
		t.Errorf("counted %d disconnected clients and %d unseen, want 0 and 2", m.counters.ClientsDisconnected, m.counters.Replies[ReplyUnseen])
	}
}

// A request that must not run twice is not forwarded again if it comes again with its call ID after it has ended and may have
// run, until no client can wait for it any more. A request that never ran, or that may run twice, is forwarded again.
func TestRequestThatMayHaveRunIsNotForwardedAgain(t *testing.T) {
	for name, c := range map[string]struct {
		class  string
		result admission.Result
		again  bool // it is forwarded again
	}{
		"canceled":   {"once", admission.Canceled, false},
		"lost":       {"once", admission.ConnectionLost, false},
		"served":     {"once", admission.Succeeded, false},
		"never ran":  {"once", admission.Rejected, true},
		"keyed":      {"post", admission.ConnectionLost, false},
		"idempotent": {"read", admission.ConnectionLost, true},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings
			settings.MayCancel = c.result == admission.Canceled
			known := []Endpoint{newEndpoint("b1", "h:1", admission.Live, 0)}
			m, _ := New(time.Hour, Config{Settings: settings, Seed: 1, KnownEndpoints: known})
			send := func(id RequestID, now time.Duration) []Effect {
				ev := newReadRequest(id, now, time.Second)
				ev.CallID, ev.Class = "x", c.class
				return m.Step(now, ev)
			}
			if a := effectsOf[StartAttempt](send(1, time.Hour)); len(a) != 1 {
				t.Fatalf("started %+v, want one attempt", a)
			}
			m.Step(time.Hour, &ClientDisconnected{Request: 1}) // which cancels the attempt if that is allowed
			m.Step(time.Hour, &AttemptFinished{Attempt: AttemptID{1, 0}, Result: c.result})
			now := time.Hour + 4900*time.Millisecond // the longest budget is 5 s
			effects := send(2, now)
			if a := effectsOf[StartAttempt](effects); (len(a) == 1) != c.again {
				t.Errorf("started %+v when the request came again, want an attempt: %v", a, c.again)
			}
			if r := effectsOf[Respond](effects); !c.again && (len(r) != 1 || r[0].Kind != Failed || r[0].Reason != ReplyRepeated) {
				t.Errorf("answered with %+v, want that it may have run", r)
			}
			m.Step(now, &ClientDisconnected{Request: 2})
			m.Step(now, &AttemptFinished{Attempt: AttemptID{2, 0}, Result: admission.NotSent})
			if a := effectsOf[StartAttempt](send(3, time.Hour+5*time.Second)); len(a) != 1 {
				t.Errorf("started %+v after the longest budget, want one attempt", a)
			}
		})
	}
}

// The call IDs that are remembered are bounded: beyond the bound a request that must not run twice is rejected, and may be
// sent again; other requests are forwarded.
func TestUsedCallIDsAreBounded(t *testing.T) {
	m := newTestMachine(t, newEndpoint("b1", "h:1", admission.Live, 0))
	for i := range maxUsedCallIDs {
		m.requests.usedCallIDs.remember(fmt.Sprint(i), time.Hour+time.Second)
	}
	send := func(id RequestID, class string, now time.Duration) []Effect {
		ev := newReadRequest(id, now, time.Second)
		ev.CallID, ev.Class, ev.Customer = fmt.Sprint("new", id), class, fmt.Sprint(id)
		return m.Step(now, ev)
	}
	if r := effectsOf[Respond](send(1, "once", time.Hour)); len(r) != 1 || r[0].Kind != Rejected || r[0].Reason != ReplyTooManyCallIDs {
		t.Errorf("answered with %+v, want a rejection as there are too many call IDs", r)
	}
	if a := effectsOf[StartAttempt](send(2, "read", time.Hour)); len(a) != 1 {
		t.Errorf("started %+v, want an attempt of an idempotent request", a)
	}
	if a := effectsOf[StartAttempt](send(3, "once", time.Hour+time.Second)); len(a) != 1 {
		t.Errorf("started %+v, want an attempt once the call IDs are forgotten", a)
	}
}
