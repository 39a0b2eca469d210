package admission

import (
	"fmt"
	"math"
	"strconv"
	"testing"
	"time"

	"lemongate/internal/gossip"
)

// A draining or removed backend gets no attempt after the endpoint list reports its state. If no backend is left, a
// request is rejected.
func TestUnavailableBackendsGetNoAttempts(t *testing.T) {
	f := newFixture(t, testSettings(), backendList("a", "b")...)
	draining := Backend{ID: "a", Zone: "north", State: Draining}
	f.handle(&EndpointList{Kind: ListDelta, Backends: []Backend{draining}})
	f.handle(&EndpointList{Kind: ListComplete, Backends: []Backend{{ID: "b", Zone: "south"}, draining}})
	attempts := f.serve(100, func(StartAttempt) (Result, time.Duration) { return Succeeded, 20 * ms })
	if attempts["a"] != 0 || attempts["b"] != 100 {
		t.Errorf("attempts by backend %v, want all 100 at b", attempts)
	}
	f.handle(&EndpointList{Kind: ListComplete})
	f.takeActions()
	id := f.request("pay", "free", "x")
	f.advance(500 * ms)
	rejects := actionsOf[Reject](f.actions)
	if len(actionsOf[StartAttempt](f.actions)) > 0 || len(rejects) != 1 || rejects[0].Request != id {
		t.Errorf("without a backend: %v, want a rejection", f.actions)
	}
}

// Removed backends are deleted, including those that a complete list omits: most are replaced under new IDs. A draining
// backend is kept, as it may come back.
func TestRemovedBackendsAreForgotten(t *testing.T) {
	f := newFixture(t, testSettings())
	for i := range 50 {
		list := backendList(fmt.Sprint("s", i), "draining", fmt.Sprint("left out", i))
		list[1].State = Draining
		f.handle(&EndpointList{Kind: ListComplete, Backends: list})
		removed := list[0]
		removed.State = Removed
		f.handle(&EndpointList{Kind: ListDelta, Backends: []Backend{removed}})
		f.now += f.ctl.endpoints.forgetAfter
	}
	if len(f.ctl.endpoints.byID) > 8 || len(f.ctl.endpoints.listed) != 1 {
		t.Errorf("%d backends known, %d listed, want at most 8 and exactly 1",
			len(f.ctl.endpoints.byID), len(f.ctl.endpoints.listed))
	}
}

// An observation whose key is shared by two backends is ignored: it could eject one backend for failures of the other.
func TestObservationWithSharedKeyIsIgnored(t *testing.T) {
	ids, byKey := []string{"a"}, map[uint32]string{}
	for i := 0; len(ids) < 3; i++ {
		id := "s-" + strconv.Itoa(i)
		key := gossip.BackendKey(hashOf(id))
		if byKey[key] != "" {
			ids = append(ids, id, byKey[key])
		} else {
			byKey[key] = id
		}
	}
	f := newFixture(t, testSettings(), backendList(ids...)...)
	f.now += time.Second
	unreachable := func(id string) gossip.Observation {
		return gossip.Observation{Backend: gossip.BackendKey(hashOf(id)), Load: loadStepOne, FailureRate: math.MaxUint8}
	}
	f.observe(1, unreachable("a"), unreachable(ids[1]))
	for i, id := range ids {
		if got := f.ctl.endpoints.byID[id].ejected(); got != (i == 0) {
			t.Errorf("backend %s: ejected is %v, want only the backend with an unshared key ejected", id, got)
		}
	}
}

// In a large tier each limiter uses a subset of the backends, so that its connections are reused, and each backend is in
// the subset of about as many limiters. With few limiters, each uses all backends of a small list. A limiter whose
// subset is ejected uses backends beyond it.
func TestBackendSubset(t *testing.T) {
	for _, test := range []struct{ limiters, backends, minUsed, maxUsed int }{
		{3, 10, 10, 10}, {80, 60, 9, 9}, {300, 200, 8, 8}, {300, 20, 8, 8},
	} {
		name := fmt.Sprintf("%d limiters, %d backends", test.limiters, test.backends)
		settings := testSettings()
		settings.Limiters = test.limiters
		ids := make([]string, test.backends)
		for i := range ids {
			ids[i] = fmt.Sprintf("b%03d", i)
		}
		limitersOf := map[string]int{} // by backend
		for self := range test.limiters {
			settings.Self = self
			f := newFixture(t, settings, backendList(ids...)...)
			r := f.idempotentRequest()
			used := map[string]bool{}
			for range 400 {
				used[f.ctl.selectBackend(r).ID] = true
			}
			if len(used) < test.minUsed || len(used) > test.maxUsed {
				t.Fatalf("%s: a limiter uses %d backends, want %d to %d", name, len(used), test.minUsed, test.maxUsed)
			}
			for id := range used {
				limitersOf[id]++
				f.ctl.eject(f.ctl.endpoints.byID[id])
			}
			if self == 0 && test.backends > test.maxUsed && used[f.ctl.selectBackend(r).ID] {
				t.Errorf("%s: an ejected backend was selected, want one beyond the ejected subset", name)
			}
		}
		mean := float64(test.limiters*test.maxUsed) / float64(test.backends)
		for id, limiters := range limitersOf {
			if float64(limiters) > 2.2*mean {
				t.Errorf("%s: %d limiters use %s, want at most 2.2 times the mean of %.0f", name, limiters, id, mean)
			}
		}
		if len(limitersOf) < test.backends*9/10 {
			t.Errorf("%s: only %d backends are used, want at least nine tenths of them", name, len(limitersOf))
		}
	}
}
