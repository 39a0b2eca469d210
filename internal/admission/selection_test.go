package admission

import (
	"testing"
	"time"
)

// A single response of a backend weighs little compared with the observations of other limiters; many responses weigh
// more than these.
func TestFewResponsesWeighLittle(t *testing.T) {
	f := newFixture(t, testSettings(), backendList("a", "b")...)
	b := f.ctl.endpoints.byID["a"]
	b.lastResponseAt, b.observedAt, b.relativeLoad, b.latencyPerAttempt, b.samples = f.now, f.now, 1, 4, 1
	few := f.ctl.backendCost(b)
	b.samples = 50
	many := f.ctl.backendCost(b)
	if few > 2 || many < 3.5 {
		t.Errorf("cost %.1f after one slow response, want at most 2, and %.1f after fifty, want at least 3.5", few, many)
	}
}

// In a large tier the limiters do not all send to the backend that is observed to be the least loaded, although it gets
// more than the others. In a small tier, where each limiter sees most of the load, it is simply chosen.
func TestNoHerdingToLeastLoadedBackend(t *testing.T) {
	for _, test := range []struct {
		limiters                 int
		minFraction, maxFraction float64 // fraction of requests for the least loaded of ten backends; an even share is a tenth
	}{{3, 0.9, 1}, {20, 0.12, 0.5}, {80, 0.12, 0.24}} {
		settings := testSettings()
		settings.Limiters = test.limiters
		f := newFixture(t, settings, backendList("a", "b", "c", "d", "e", "f", "g", "h", "i", "j")...)
		r := f.idempotentRequest()
		leastLoaded := f.ctl.endpoints.listed[3]
		chosen := 0
		for range 5000 {
			for _, b := range f.ctl.endpoints.listed {
				b.observedAt, b.relativeLoad, b.samples = f.now, 2, 0
			}
			leastLoaded.relativeLoad = 1
			if f.ctl.selectBackend(r) == leastLoaded {
				chosen++
			}
		}
		if fraction := float64(chosen) / 5000; fraction < test.minFraction || fraction > test.maxFraction {
			t.Errorf("%d limiters: fraction %.2f to the least loaded, want %.2f to %.2f",
				test.limiters, fraction, test.minFraction, test.maxFraction)
		}
	}
}

// A backend that was slow gets requests again after it has recovered: otherwise all requests would end up at the few
// backends that still get some.
func TestRecoveredBackendIsUsedAgain(t *testing.T) {
	f := newFixture(t, testSettings(), backendList("a", "b", "c", "d")...)
	f.serve(300, func(attempt StartAttempt) (Result, time.Duration) {
		if attempt.Backend == "a" {
			return Succeeded, 400 * ms
		}
		return Succeeded, 40 * ms
	})
	f.serve(800, func(StartAttempt) (Result, time.Duration) { return Succeeded, 40 * ms })
	attempts := f.serve(200, func(StartAttempt) (Result, time.Duration) { return Succeeded, 40 * ms })
	if attempts["a"] < 20 {
		t.Errorf("a recovered backend got %d of 200 attempts, want at least 20: %v", attempts["a"], attempts)
	}
}
