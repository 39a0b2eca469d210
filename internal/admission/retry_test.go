package admission

import (
	"fmt"
	"testing"
)

// A request whose attempt failed is retried only if the attempt never ran or the request may run more than once.
// Otherwise it fails instead of being rejected, as a rejection invites the client to retry.
func TestRetryByIdempotency(t *testing.T) {
	for _, test := range []struct {
		class   string
		result  Result
		retried bool
		failed  bool
	}{
		{"read", Errored, true, false},
		{"read", Unreachable, true, false},
		{"post", ConnectionLost, true, false},
		{"pay", Rejected, true, false},
		{"pay", Unreachable, true, false},
		{"pay", ConnectFailed, true, false},
		{"pay", Errored, false, true},
		{"pay", ConnectionLost, false, true},
	} {
		f := newFixture(t, testSettings(), backendList("a", "b", "c", "d")...)
		id := f.request(test.class, "free", "x")
		first := f.attemptOf(id)
		f.takeActions()
		f.finish(id, 0, first.Backend, test.result, 5*ms)
		retries, failures := actionsOf[StartAttempt](f.actions), actionsOf[Fail](f.actions)
		rejections := len(actionsOf[Reject](f.actions))
		if (len(retries) == 1) != test.retried || (len(failures) == 1) != test.failed || rejections > 0 {
			t.Errorf("class %s after result %d: actions %v, want one retry or one Fail according to the test case",
				test.class, test.result, f.actions)
		}
		if test.class == "post" && len(retries) == 1 {
			backends := f.ctl.endpoints.byID
			if backends[retries[0].Backend].Zone != backends[first.Backend].Zone {
				t.Errorf("a request with an idempotency key was retried in another zone, want the zone of its first attempt")
			}
		}
	}
}

// A request with an idempotency key is not retried when backends may no longer drop the repeat.
func TestNoRetryAfterIdempotencyWindow(t *testing.T) {
	settings := testSettings()
	settings.Classes[1].IdempotencyWindow = 100 * ms
	f := newFixture(t, settings, backendList("a", "b", "c", "d")...)
	id := f.request("post", "free", "x")
	first := f.attemptOf(id)
	f.takeActions()
	f.now += 95 * ms
	f.finish(id, 0, first.Backend, ConnectionLost, 95*ms)
	if len(actionsOf[StartAttempt](f.actions)) > 0 || len(actionsOf[Fail](f.actions)) != 1 {
		t.Errorf("at the end of the idempotency window: %v, want a Fail and no attempt", f.actions)
	}
}

// A retry that waits for a connection starts only while backends certainly deduplicate the request: connecting can take
// longer than the idempotency window.
func TestRetryStartsWithinIdempotencyWindow(t *testing.T) {
	settings := testSettings()
	settings.Classes[1].IdempotencyWindow = 300 * ms
	f := newFixture(t, settings, backendList("a", "b", "c", "d")...)
	id := f.request("post", "free", "x")
	first, sentAt := f.attemptOf(id), f.now
	f.takeActions()
	if first.StartBefore != 0 {
		t.Errorf("the first attempt has StartBefore %v, want no bound", first.StartBefore)
	}
	f.now += 50 * ms
	f.finish(id, 0, first.Backend, ConnectionLost, 50*ms)
	retries := actionsOf[StartAttempt](f.actions)
	if want := sentAt + 270*ms; len(retries) != 1 || retries[0].StartBefore != want {
		t.Fatalf("retries %v, want one with StartBefore %v", retries, want)
	}
	f.takeActions()
	f.now = sentAt + 280*ms // no byte of the retry has been written by then
	f.finish(id, 1, retries[0].Backend, NotSent, 230*ms)
	if len(actionsOf[StartAttempt](f.actions)) > 0 || len(actionsOf[Fail](f.actions)) != 1 {
		t.Errorf("after the idempotency window: %v, want a Fail and no attempt", f.actions)
	}
}

// The retry budget bounds the number of retries, so that they do not slow down slow backends further.
func TestRetryBudget(t *testing.T) {
	f := newFixture(t, testSettings(), backendList("a", "b", "c", "d", "e", "f")...)
	const requests = 200
	attempts := 0
	for i := range requests {
		f.now += 10 * ms
		id := f.request("read", "free", fmt.Sprint("c", i%50))
		for number := 0; ; number++ {
			started := actionsOf[StartAttempt](f.takeActions())
			if len(started) == 0 {
				break
			}
			attempts += len(started)
			f.finish(id, number, started[0].Backend, Errored, 2*ms)
		}
	}
	if limit := float64(requests)*(1+retriesPerRequest) + f.ctl.retries.maxTokens; float64(attempts) > limit {
		t.Errorf("%d attempts for %d requests, want at most %.0f", attempts, requests, limit)
	}
}
