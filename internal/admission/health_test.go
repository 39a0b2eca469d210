package admission

import (
	"testing"
	"time"
)

// A backend that fails fast, never responds, is far slower than the others or refuses connections gets few requests,
// but some. Where all backends slow down alike none is ejected.
func TestOutliersGetFewRequests(t *testing.T) {
	usual := 30 * ms
	for _, test := range []struct {
		name        string
		outlier     func() (Result, time.Duration)
		most, least int // attempts of 600 requests
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
		if attempts["a"] > test.most || attempts["a"] < test.least {
			t.Errorf("%s: got %d of 600, want %d to %d", test.name, attempts["a"], test.least, test.most)
		}
	}
	f := newFixture(t, testSettings(), backendList("a", "b", "c", "d")...)
	f.serve(200, func(StartAttempt) (Result, time.Duration) { return Succeeded, usual })
	f.serve(200, func(StartAttempt) (Result, time.Duration) { return Succeeded, 4 * usual })
	for _, b := range f.ctl.endpoints.listed {
		if b.ejected() {
			t.Errorf("%s ejected while all were slow alike", b.ID)
		}
	}
}

// Where a backend rejects one class of a plan, only that kind of request stays away for a while: it may have room for
// the others.
func TestRejectedKindOfRequestStaysAway(t *testing.T) {
	f := newFixture(t, testSettings(), backendList("a")...)
	id := f.request("read", "free", "x")
	f.attemptOf(id)
	f.now += 50 * ms
	f.takeActions()
	f.finish(id, 0, "a", Rejected, 50*ms)
	if len(actionsOf[StartAttempt](f.takeActions())) > 0 {
		t.Error("retried at once where it was rejected")
	}
	f.attemptOf(f.request("post", "free", "y"))
}

// A connection that fails counts as any failure: the request is retried elsewhere, and only three in a row eject the
// backend. Some connections come late where all is well, and ejecting on each would leave too few backends.
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
			t.Fatalf("%v, want one retry elsewhere", retries)
		}
		f.finish(id, 1, retries[0].Backend, Succeeded, 10*ms)
		f.takeActions()
		failures++
		if !ejectedBefore && failing.ejected() != (failures == 3) {
			t.Fatalf("after %d failed connections ejected: %v", failures, failing.ejected())
		}
		if failures == 3 {
			return
		}
	}
	t.Errorf("got %d attempts, want 3", failures)
}
