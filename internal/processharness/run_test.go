package processharness

import (
	"testing"
	"time"

	"lemongate/internal/simulation"
)

// CheckSupported returns an error for each fault that cannot be injected on processes, and for no other.
func TestFaultsOfVirtualTimeAreUnsupported(t *testing.T) {
	for _, c := range []struct {
		fault     simulation.Fault
		supported bool
	}{
		{simulation.Fault{Kind: simulation.FaultRestart}, true},
		{simulation.Fault{Kind: simulation.FaultClock, Rate: 1.01}, true},
		{simulation.Fault{Kind: simulation.FaultClock, At: 2, Rate: 1.01}, false},
		{simulation.Fault{Kind: simulation.FaultHotRestart}, false},
		{simulation.Fault{Kind: simulation.FaultRollingRestart}, false},
		{simulation.Fault{Kind: simulation.FaultBackendUnresponsive}, false},
		{simulation.Fault{Kind: simulation.FaultBackendRefuses, Zone: 1}, false},
	} {
		if err := CheckSupported(c.fault); (err == nil) != c.supported {
			t.Errorf("fault %+v: CheckSupported returned %v, want an error only for an unsupported fault", c.fault, err)
		}
	}
}

// A missing response is excused while the limiter is down or stopped, and shortly before and after that, but at no
// other time.
func TestMissingResponseExcusedWhileLimiterIsUnavailable(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(100, int64(ms)*1e6) }
	r := &tierRun{outages: [][]interval{{{at(1000), at(2000)}}, {{from: at(5000)}}}}
	for _, c := range []struct {
		limiter, at, took int
		want              bool
	}{{0, 100, 200, false}, {0, 700, 200, true}, {0, 1500, 10, true}, {0, 2100, 10, true}, {0, 2300, 10, false}, {1, 9000, 10, true}} {
		q := Result{Request: Request{Limiter: c.limiter}, SentAt: at(c.at), Took: time.Duration(c.took) * time.Millisecond}
		if r.excused(q) != c.want {
			t.Errorf("%+v: want excused %v", c, c.want)
		}
	}
}

// Each kind of fault that is supported on processes has an injector, except clock rates, which are set at the start.
func TestEachSupportedFaultKindHasInjector(t *testing.T) {
	kinds := []simulation.FaultKind{
		simulation.FaultPartition, simulation.FaultOutgoingLoss, simulation.FaultIncomingLoss, simulation.FaultLoss, simulation.FaultClock,
		simulation.FaultStall, simulation.FaultRestart, simulation.FaultHotRestart, simulation.FaultRollingRestart,
		simulation.FaultBackendCrash, simulation.FaultBackendRefuses, simulation.FaultBackendUnresponsive,
	}
	for _, kind := range kinds {
		supported := CheckSupported(simulation.Fault{Kind: kind}) == nil && kind != simulation.FaultClock
		if hasInjector := faultInjectors[kind] != nil; hasInjector != supported {
			t.Errorf("%q: supported %v, has an injector %v", kind, supported, hasInjector)
		}
	}
}
