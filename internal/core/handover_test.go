package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lemongate/internal/admission"
)

// A successor must adopt open attempts in the order in which they were made, the same in every run: the open attempts
// of a backend are kept oldest first.
func TestOpenAttemptsAreHandedOverInOrder(t *testing.T) {
	var endpoints []Endpoint
	for i := range 20 {
		endpoints = append(endpoints, newEndpoint(fmt.Sprintf("b%d", i), fmt.Sprintf("h:%d", i), admission.Live, 0))
	}
	m, _ := New(time.Hour, Config{Settings: settingsWithFreePlan(), Seed: 1, KnownEndpoints: endpoints})
	started := 0
	for id := range RequestID(30) {
		ev := newReadRequest(id+1, time.Hour, time.Second)
		ev.Plan = "free"
		started += len(effectsOf[StartAttempt](m.Step(time.Hour, ev)))
	}
	state := m.buildHandoverState()
	if started < 10 || len(state.OpenAttempts) != started {
		t.Fatalf("%d attempts started, want at least 10; %d handed over, want all", started, len(state.OpenAttempts))
	}
	if !slices.IsSortedFunc(state.OpenAttempts, func(a, b OpenAttempt) int {
		return compareAttemptIDs(a.attemptID(), b.attemptID())
	}) {
		t.Errorf("attempts handed over out of order: %+v, want them ordered by request, then by number", state.OpenAttempts)
	}
}

// Attempts of a predecessor that died must end in a deterministic order. If the machine ended them in the order of
// iteration over a map, two processes with the same events could have different effects.
func TestPredecessorAttemptsEndInOrder(t *testing.T) {
	const runs, attempts = 20, 60
	runEffects := func() string {
		var endpoints []Endpoint
		for i := range 10 {
			endpoints = append(endpoints, newEndpoint(fmt.Sprintf("b%d", i), fmt.Sprintf("h:%d", i), admission.Live, 0))
		}
		m, _ := New(time.Hour, Config{Settings: settingsWithFreePlan(), Seed: 1, KnownEndpoints: endpoints})
		for i := range RequestID(attempts) {
			request := newReadRequest(i+1, time.Hour, time.Second)
			request.Plan = "free"
			m.Step(time.Hour, &PredecessorAttemptStarted{OpenAttempt: OpenAttempt{
				Request: request.Request, Attempt: 1, Backend: fmt.Sprintf("b%d", i%10),
			}})
		}
		var effects []Effect
		for i := range RequestID(attempts) {
			request := newReadRequest(1000+i, time.Hour, time.Second)
			request.Plan = "free"
			effects = append(effects, m.Step(time.Hour, request)...)
		}
		effects = append(effects, m.Step(time.Hour, LinkClosed{})...)
		return fmt.Sprintf("%+v", effects)
	}
	first := runEffects()
	for range runs {
		if got := runEffects(); got != first {
			t.Fatalf("the same events caused different effects:\n%s\n%s", first, got)
		}
	}
}

// A call ID of a request that ended at the predecessor, or whose attempt ended there before the successor applied the
// state, is rejected by the successor for as long as the predecessor would have rejected it.
func TestUsedCallIDsAreHandedOver(t *testing.T) {
	const now = time.Hour
	config := Config{Settings: settingsWithFreePlan(), Seed: 1, KnownEndpoints: []Endpoint{newEndpoint("b1", "h:1", admission.Live, 0)}}
	class := slices.IndexFunc(config.Settings.Classes, func(c admission.Class) bool { return c.Idempotency == admission.NonIdempotent })
	newRequest := func(id RequestID, callID string) *RequestReceived {
		ev := newReadRequest(id, now, time.Second)
		ev.Class, ev.Plan, ev.CallID = config.Settings.Classes[class].Name, "free", callID
		return ev
	}
	predecessor, _ := New(now, config)
	for id, callID := range []string{1: "ended", 2: "in flight"} {
		if callID != "" && len(effectsOf[StartAttempt](predecessor.Step(now, newRequest(RequestID(id), callID)))) != 1 {
			t.Fatalf("request %q: no attempt started", callID)
		}
	}
	predecessor.Step(now, &AttemptFinished{Attempt: AttemptID{Request: 1}, Result: admission.Canceled})
	predecessor.Step(now, &ClientDisconnected{Request: 1})
	state := predecessor.buildHandoverState()
	if len(state.OpenAttempts) != 1 || len(state.UsedCallIDs) != 1 {
		t.Fatalf("handed over %d attempts and %d call IDs, want 1 and 1", len(state.OpenAttempts), len(state.UsedCallIDs))
	}

	successor, _ := New(now, config)
	successor.hotRestart.received = &state
	finished := FinishedAttempt{Attempt: state.OpenAttempts[0].attemptID(), Result: admission.Canceled}
	successor.Step(now, &PredecessorAttemptFinished{finished})
	successor.startAdmitting()
	longest := successor.longestBudget()
	for id, c := range []struct {
		callID   string
		at       time.Duration
		repeated bool
	}{
		{"ended", now + longest - time.Millisecond, true},
		{"in flight", now + longest - time.Millisecond, true},
		{"other", now + longest - time.Millisecond, false},
		{"ended", now + longest + time.Millisecond, false},
	} {
		effects := successor.Step(c.at, newRequest(RequestID(requestIDGap*2+id), c.callID))
		isRepeated := slices.ContainsFunc(effectsOf[Respond](effects), func(r Respond) bool { return r.Reason == ReplyRepeated })
		if isRepeated != c.repeated {
			t.Errorf("%q at %v: rejected as repeated: %v, want %v", c.callID, c.at-now, isRepeated, c.repeated)
		}
	}
}

// A process knows no more customers than its own limit allows, also after it took over the customers of another process.
func TestCustomerLimitAfterHotRestart(t *testing.T) {
	const now, limit = time.Hour, 10
	config := Config{
		Settings: settingsWithFreePlan(), MaxCustomers: limit, Seed: 1,
		KnownEndpoints: []Endpoint{newEndpoint("b1", "h:1", admission.Live, 0)},
	}
	sendOfNewCustomers := func(m *Machine, name string) {
		for id := range RequestID(2 * limit) {
			ev := newReadRequest(requestIDGap*2+id, now, time.Second)
			ev.Plan, ev.Customer = "free", fmt.Sprint(name, id)
			m.Step(now, ev)
		}
	}
	predecessor, _ := New(now, config)
	sendOfNewCustomers(predecessor, "early")
	state := predecessor.buildHandoverState()

	successor, _ := New(now, config)
	successor.hotRestart.received = &state
	successor.startAdmitting()
	sendOfNewCustomers(successor, "late")
	for name, m := range map[string]*Machine{"predecessor": predecessor, "successor": successor} {
		if known, _ := m.admission.controller.Customers(); known != limit {
			t.Errorf("the %s knows %d customers, want %d", name, known, limit)
		}
	}
}
