package admission

import (
	"math"
	"testing"
	"time"

	"lemongate/internal/gossip"
)

// A backend that refuses a connection is ejected at once, and the request is retried elsewhere. The other limiters are
// notified and eject it too, until one of them observes that it is healthy. The first recovery attempt is late enough
// that all limiters of a large tier together do not flood the backend.
func TestUnreachableBackendIsEjectedEverywhere(t *testing.T) {
	settings := testSettings()
	settings.Limiters = 80
	f := newFixture(t, settings, backendList("a", "b", "c", "d")...)
	var id string
	for id == "" {
		f.request("read", "free", "x")
		for _, attempt := range actionsOf[StartAttempt](f.takeActions()) {
			f.finish(attempt.Request, 0, attempt.Backend, Unreachable, ms)
			if !f.ctl.endpoints.byID[attempt.Backend].ejected() {
				t.Fatal("the backend was not ejected after a refused connection")
			}
			id = attempt.Backend
			if retries := actionsOf[StartAttempt](f.takeActions()); len(retries) != 1 || retries[0].Backend == id {
				t.Fatalf("retries %v, want one at another backend", retries)
			}
		}
	}
	backoff := f.ctl.endpoints.byID[id].nextRecoveryAt - f.now
	if minBackoff := 2 * f.ctl.classes.longestObjective; backoff < minBackoff {
		t.Errorf("first recovery attempt after %v, want it after at least %v with 80 limiters", backoff, minBackoff)
	}
	other := newFixture(t, settings, backendList("a", "b", "c", "d")...)
	other.now = f.now + time.Second
	b := other.ctl.endpoints.byID[id]
	other.observe(1, gossip.Observation{Backend: b.gossipKey, Load: loadStepOne, FailureRate: math.MaxUint8})
	if !b.ejected() {
		t.Error("the backend was not ejected although another limiter observed that it refuses connections")
	}
	other.now += time.Second
	other.observe(2, gossip.Observation{Backend: b.gossipKey, Load: loadStepOne})
	if b.ejected() {
		t.Error("the backend is still ejected although another limiter observed that it is healthy")
	}
}

// While the holder of a lease makes the recovery attempts for all limiters, it makes one at an ejected backend after the
// backoff, and no other limiter does.
func TestRecoveryAttemptsNeedTheLease(t *testing.T) {
	for _, leaseHeld := range []bool{true, false} {
		f := newFixture(t, testSettings(), backendList("a", "b", "c", "d")...)
		lease := RecoveryLease{Until: 0}
		if leaseHeld {
			lease.Until = time.Hour
		}
		f.handle(lease)
		ejected := f.ctl.endpoints.byID["a"]
		f.ctl.eject(ejected)
		f.now = ejected.nextRecoveryAt
		f.takeActions()
		recoveryAttempts := 0
		for range 50 {
			id := f.request("read", "free", "x")
			attempt := f.attemptOf(id)
			f.takeActions()
			if attempt.Backend == ejected.ID {
				recoveryAttempts++
			}
			if attempt.Recovery != (attempt.Backend == ejected.ID) {
				t.Errorf("attempt at %s: Recovery is %v, want it set exactly for the ejected backend",
					attempt.Backend, attempt.Recovery)
			}
			f.now += 10 * ms
			f.finish(id, 0, attempt.Backend, Succeeded, 10*ms)
			f.takeActions()
			if !ejected.ejected() {
				break
			}
		}
		if (recoveryAttempts > 0) != leaseHeld || ejected.ejected() == leaseHeld {
			t.Errorf("lease held %v: %d recovery attempts, still ejected %v; want attempts and recovery only with the lease",
				leaseHeld, recoveryAttempts, ejected.ejected())
		}
	}
}
