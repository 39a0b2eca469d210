package admission

import (
	"math"
	"testing"
	"time"

	"lemongate/internal/gossip"
)

// A backend that refuses a connection is ejected at once, and the request is retried elsewhere. The other limiters
// learn of it and eject it too, until one of them finds it well. The first recovery attempt is late enough that all
// limiters of a large tier together do not flood the backend.
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
				t.Fatal("not ejected after a refused connection")
			}
			id = attempt.Backend
			if retries := actionsOf[StartAttempt](f.takeActions()); len(retries) != 1 || retries[0].Backend == id {
				t.Fatalf("%v, want one retry elsewhere", retries)
			}
		}
	}
	backoff := f.ctl.endpoints.byID[id].ejectedUntil - f.now
	if least := 2 * f.ctl.classes.longestObjective; backoff < least {
		t.Errorf("recovery attempt after %v; by 80 limiters that is more often than each %v/80", backoff, least)
	}
	other := newFixture(t, settings, backendList("a", "b", "c", "d")...)
	other.now = f.now + time.Second
	b := other.ctl.endpoints.byID[id]
	other.observe(1, gossip.Observation{Backend: b.gossipKey, Load: loadStepOne, FailureRate: math.MaxUint8})
	if !b.ejected() {
		t.Error("not ejected though another limiter observed that nothing listens there")
	}
	other.now += time.Second
	other.observe(2, gossip.Observation{Backend: b.gossipKey, Load: loadStepOne})
	if b.ejected() {
		t.Error("still ejected though another limiter observed that it is well")
	}
}
