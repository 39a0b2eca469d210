package admission

import (
	"testing"
	"time"
)

// A client retry after the latency objective has passed is rejected: it earns nothing, yet would consume units and a
// slot that first tries need.
func TestClientRetryAfterObjectiveIsRejected(t *testing.T) {
	f := newFixture(t, testSettings(), backendList("a", "b")...)
	// sendRequest sends a request, ends its attempts with success, and reports whether it was forwarded.
	sendRequest := func(budget time.Duration) bool {
		id := f.requestWithBudget("read", "free", "x", budget)
		attempts := actionsOf[StartAttempt](f.takeActions())
		for _, attempt := range attempts {
			f.finish(id, 0, attempt.Backend, Succeeded, 10*ms)
		}
		return len(attempts) > 0
	}
	for range 40 {
		if !sendRequest(1500 * ms) {
			t.Fatal("a first try was rejected")
		}
	}
	if sendRequest(1000 * ms) {
		t.Error("a client retry with 1 s left of a 2 s deadline and an objective of 500 ms was forwarded, want a rejection")
	}
	if !sendRequest(1900 * ms) {
		t.Error("a client retry 100 ms after the first try was rejected, want it forwarded")
	}
}

// If the budgets of clients differ anyway, a short budget does not indicate a client retry, and no request is rejected
// because of it.
func TestDifferingBudgetsImplyNoClientRetries(t *testing.T) {
	f := newFixture(t, testSettings(), backendList("a", "b")...)
	for i := range 200 {
		budget := 600*ms + time.Duration(i*377%1400)*ms
		id := f.requestWithBudget("read", "free", "x", budget)
		attempts := actionsOf[StartAttempt](f.takeActions())
		if len(attempts) == 0 {
			t.Fatalf("request %d with a budget of %v was rejected", i, budget)
		}
		f.finish(id, 0, attempts[0].Backend, Succeeded, 10*ms)
	}
}

// A request that cannot be forwarded is rejected before half of its budget is used up: a later rejection costs the
// client more than the request is worth. The latency objective alone would keep it queued for longer.
func TestQueuedForLessThanHalfOfTheBudget(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].LatencyObjective = 1900 * ms
	f := newFixture(t, settings) // without a backend, all requests are queued
	for _, plan := range []string{"free", "small"} {
		f.requestWithBudget("read", plan, plan, time.Second)
	}
	f.advance(400 * ms)
	if got := actionsOf[Reject](f.takeActions()); len(got) != 0 {
		t.Errorf("%d requests rejected after 400 ms of a budget of 1 s, want 0", len(got))
	}
	f.advance(100 * ms)
	if got := actionsOf[Reject](f.takeActions()); len(got) != 2 {
		t.Errorf("%d requests rejected after half of their budgets, want 2", len(got))
	}
}
