package admission

import (
	"testing"
	"time"
)

// A backend that fails fast, never responds, is far slower than the others or refuses connections gets few requests,
// but some. If all backends become equally slow, none is ejected.
func TestOutliersGetFewRequests(t *testing.T) {
	usual := 30 * ms
	for _, test := range []struct {
		name                     string
		outlier                  func() (Result, time.Duration)
		maxAttempts, minAttempts int // attempts of 600 requests
	}{
		{"fails fast", func() (Result, time.Duration) { return Errored, 2 * ms }, 40, 1},
		{"never responds", func() (Result, time.Duration) { return TimedOut, 2 * time.Second }, 40, 1},
		{"ten times slower", func() (Result, time.Duration) { return Succeeded, 300 * ms }, 60, 1},
		{"unreachable", func() (Result, time.Duration) { return Unreachable, 5 * ms }, 40, 1},
	} {
		f := newFixture(t, testSettings(), backendList("a", "b", "c", "d")...)
		attempts := f.serve(600, func(attempt StartAttempt) (Result, time.Duration) {
			if attempt.Backend == "a" {
				return test.outlier()
			}
			return Succeeded, usual
		})
		if attempts["a"] > test.maxAttempts || attempts["a"] < test.minAttempts {
			t.Errorf("%s: the outlier got %d of 600 attempts, want %d to %d",
				test.name, attempts["a"], test.minAttempts, test.maxAttempts)
		}
	}
	f := newFixture(t, testSettings(), backendList("a", "b", "c", "d")...)
	f.serve(200, func(StartAttempt) (Result, time.Duration) { return Succeeded, usual })
	f.serve(200, func(StartAttempt) (Result, time.Duration) { return Succeeded, 4 * usual })
	for _, b := range f.ctl.endpoints.listed {
		if b.ejected() {
			t.Errorf("%s was ejected although all backends were equally slow", b.ID)
		}
	}
}

// If a backend rejects a class of a plan, only this kind of request avoids it for a while: the backend may accept other
// requests.
func TestRejectedKindOfRequestAvoidsBackend(t *testing.T) {
	f := newFixture(t, testSettings(), backendList("a")...)
	id := f.request("read", "free", "x")
	f.attemptOf(id)
	f.now += 50 * ms
	f.takeActions()
	f.finish(id, 0, "a", Rejected, 50*ms)
	if len(actionsOf[StartAttempt](f.takeActions())) > 0 {
		t.Error("the request was retried at once at the backend that rejected it")
	}
	f.attemptOf(f.request("post", "free", "y"))
}

// A failed connection counts like any failure: the request is retried elsewhere, and only three consecutive failures
// eject the backend. Some connections are slow in normal operation, and ejecting on each would leave too few backends.
func TestConnectFailureIsAnOrdinaryFailure(t *testing.T) {
	f := newFixture(t, testSettings(), backendList("a", "b", "c", "d")...)
	failing := f.ctl.endpoints.byID["b"]
	failures := 0
	for range 3000 {
		id := f.request("read", "free", "x")
		first := f.attemptOf(id)
		f.takeActions()
		f.now += 10 * ms
		if first.Backend != failing.ID {
			f.finish(id, 0, first.Backend, Succeeded, 10*ms)
			f.takeActions()
			continue
		}
		ejectedBefore := failing.ejected()
		f.finish(id, 0, failing.ID, ConnectFailed, 10*ms)
		retries := actionsOf[StartAttempt](f.takeActions())
		if len(retries) != 1 || retries[0].Backend == failing.ID {
			t.Fatalf("retries %v, want one at another backend", retries)
		}
		f.finish(id, 1, retries[0].Backend, Succeeded, 10*ms)
		f.takeActions()
		failures++
		if !ejectedBefore && failing.ejected() != (failures == 3) {
			t.Fatalf("after %d failed connections: ejected is %v, want ejection after 3", failures, failing.ejected())
		}
		if failures == 3 {
			return
		}
	}
	t.Errorf("%d attempts at the failing backend, want 3", failures)
}
