package admission

import (
	"slices"
	"testing"
	"time"

	"lemongate/internal/gossip"
)

// Several stuck attempts that are canceled at the same time are all retried elsewhere, although a limiter of a large
// tier has few retry tokens: the budget is charged when an attempt is canceled, so that the tokens are not used for
// other retries before the result arrives.
func TestStuckAttemptsCanceledTogetherAreRetried(t *testing.T) {
	settings := testSettings()
	settings.Limiters = 300
	f := newFixture(t, settings, backendList("a", "b", "c", "d", "e", "f", "g", "h")...)
	f.serveSequentially(40, 20*ms) // fills the retry budget and measures latencies
	for range 2 {
		f.request("read", "free", "x")
	}
	stuck := len(actionsOf[StartAttempt](f.takeActions()))
	for range 60 {
		f.advance(4 * ms)
		for _, cancel := range actionsOf[CancelAttempt](f.takeActions()) {
			f.finish(cancel.Request, cancel.Attempt, "", Canceled, 100*ms)
			if retries := actionsOf[StartAttempt](f.actions); len(retries) != 1 || retries[0].Request != cancel.Request {
				t.Errorf("%v after request %d was canceled, want one retry", f.actions, cancel.Request)
			}
			stuck--
		}
	}
	if stuck > 1 { // one may have to wait for another retry token
		t.Errorf("%d stuck attempts were not canceled, want at most 1", stuck)
	}
}

// A single fast response does not cause attempts of ordinary latency to be canceled.
func TestFirstLatencyDoesNotCancelAttempts(t *testing.T) {
	f := newFixture(t, testSettings(), backendList("a", "b")...)
	// attemptWithLatency returns the number of cancellations of an attempt before its response.
	attemptWithLatency := func(latency time.Duration) (canceled int) {
		f.request("read", "free", "x")
		attempt := actionsOf[StartAttempt](f.takeActions())[0]
		f.advance(latency)
		canceled = len(actionsOf[CancelAttempt](f.takeActions()))
		f.finish(attempt.Request, 0, attempt.Backend, Succeeded, latency)
		return canceled
	}
	attemptWithLatency(8 * ms)
	for range 5 {
		if attemptWithLatency(100*ms) > 0 {
			t.Error("an attempt with a latency of 100 ms was canceled after one response in 8 ms")
		}
	}
}

// A backend that has responded to other limiters since an attempt was sent is not silent. A slow attempt there is not
// canceled, unless the observation of the other limiters reports failures.
func TestObservedBackendIsNotSilent(t *testing.T) {
	for _, failureRate := range []uint8{0, 255} {
		settings := testSettings()
		settings.Limiters = 300
		f := newFixture(t, settings, backendList("a", "b")...)
		f.serveSequentially(40, 20*ms)
		f.request("read", "free", "x")
		id := actionsOf[StartAttempt](f.takeActions())[0].Backend
		f.now += 50 * ms
		key := f.ctl.endpoints.byID[id].gossipKey
		f.observe(7, gossip.Observation{Backend: key, Load: loadStepOne, FailureRate: failureRate})
		f.advance(120 * ms)
		canceled := len(actionsOf[CancelAttempt](f.takeActions()))
		if (canceled > 0) != (failureRate > 0) {
			t.Errorf("%d attempts canceled after another limiter observed a failure rate of %d/255, want some if and only if it is above 0",
				canceled, failureRate)
		}
	}
}

// A stuck attempt is canceled only if its request may be retried: not after the idempotency window of a request with an
// idempotency key, and never for a non-idempotent request.
func TestStuckAttemptIsCanceledOnlyIfItMayBeRetried(t *testing.T) {
	for _, test := range []struct {
		class             string
		idempotencyWindow time.Duration
		canceled          bool
	}{{"read", 0, true}, {"post", 10 * time.Second, true}, {"post", 100 * ms, false}, {"pay", 0, false}} {
		settings := testSettings()
		settings.Classes[1].IdempotencyWindow = test.idempotencyWindow
		settings.Classes[1].IdempotencyScope = ScopeAll
		f := newFixture(t, settings, backendList("a", "b", "c", "d")...)
		for range 60 { // measures the usual latency
			id := f.request(test.class, "free", "x")
			attempt := f.attemptOf(id)
			f.takeActions()
			f.now += 20 * ms
			f.finish(id, 0, attempt.Backend, Succeeded, 20*ms)
			f.takeActions()
		}
		id := f.request(test.class, "free", "x")
		attempt := f.attemptOf(id)
		f.takeActions()
		f.advance(700 * ms)
		canceled := slices.ContainsFunc(actionsOf[CancelAttempt](f.actions), func(cancel CancelAttempt) bool {
			return cancel.Request == id
		})
		if canceled != test.canceled {
			t.Errorf("class %s, idempotency window %v: canceled is %v for attempt %+v, want the opposite",
				test.class, test.idempotencyWindow, canceled, attempt)
		}
	}
}

// An attempt of another process counts at its backend and among its customer's slots until it ends.
func TestAdoptedAttempt(t *testing.T) {
	settings := testSettings()
	settings.Limiters, settings.GossipEnabled = 1, false
	f := newFixture(t, settings, backendList("b1", "b2")...)
	adopt := func(id RequestID, attempt int, backend string) {
		adopted := Request{ID: id, Class: "read", Plan: "concurrent", Customer: "x", Units: 1, SetSize: 1}
		f.handle(&AttemptAdopted{Request: adopted, Attempt: attempt, Backend: backend})
	}
	b1, b2 := f.ctl.endpoints.byID["b1"], f.ctl.endpoints.byID["b2"]
	adopt(1000, 0, "b1")
	adopt(1001, 0, "b1")
	if len(b1.inFlight) != 2 {
		t.Errorf("%d attempts in flight, want 2", len(b1.inFlight))
	}
	f.takeActions()
	f.request("read", "concurrent", "x")
	if len(actionsOf[StartAttempt](f.actions)) > 0 {
		t.Error("a third attempt was started on a plan with two slots")
	}
	f.takeActions()
	adopt(1000, 1, "b2") // a retry replaces the first attempt
	f.handle(&AttemptFinished{Request: 1000, Attempt: 0, Backend: "b1", Result: Unreachable})
	if len(b1.inFlight) != 1 || len(b2.inFlight) != 1 {
		t.Error("the retry did not replace the first attempt: want one attempt in flight at each backend")
	}
	f.handle(&AttemptFinished{Request: 1000, Attempt: 1, Backend: "b2", Result: Succeeded, Latency: ms})
	f.handle(&AttemptFinished{Request: 1001, Attempt: 0, Backend: "b1", Result: Canceled, Final: true})
	if f.ctl.requests[1000] != nil || f.ctl.requests[1001] != nil || b1.failureRate > 0 {
		t.Error("adopted attempts have not ended after their results, or counted as failures")
	}
	f.advance(500 * ms)
	f.takeActions()
	f.request("read", "concurrent", "x")
	if len(actionsOf[StartAttempt](f.actions)) != 1 {
		t.Error("no attempt was started although a slot was free, want one")
	}
}
