package simulation

import (
	"os"
	"testing"
)

// Many limiters are hot restarted, one after another and at once; in some runs one of the two processes is killed
// at various points. No ceiling is exceeded, only requests of a killed process go without a response, and no
// request gets the response of another one. With no process killed, the tier forwards as much of the due units,
// and as little beyond the quotas, as the same tier without hot restarts.
func TestHotRestarts(t *testing.T) {
	// LEMONGATE_LONG=1 runs more seeds and larger tiers, which takes minutes.
	sizes, seedsOfSmallestTier := []int{3, 30}, uint64(8)
	if os.Getenv("LEMONGATE_LONG") != "" {
		sizes, seedsOfSmallestTier = []int{3, 80, 300}, 200
	}
	for _, n := range sizes {
		seeds := map[int]uint64{3: seedsOfSmallestTier, 30: 1, 80: 2, 300: 1}[n]
		allLimiters := everyNth(n, 1, 0)
		for seed := range seeds {
			baseline := Run(shortScenario(n), seed)
			sc := shortScenario(n)
			sc.Faults = []Fault{{Kind: FaultHotRestart, At: 1, For: 0.4, Every: 1.3, Limiters: allLimiters}}
			result := Run(sc, seed)
			if result.Breaches > 0 {
				t.Errorf("%d limiters, seed %d: %d rules broken: %v", n, seed, result.Breaches, result.Broken)
			}
			if seed == 0 {
				t.Logf("%d limiters: forwarded within the quotas %.3f of due (without hot restarts %.3f), beyond %.3f (%.3f), messages %d (%d)", n, result.WithinQuota/result.Due,
					baseline.WithinQuota/baseline.Due, result.BeyondQuota/result.Due, baseline.BeyondQuota/baseline.Due, result.Messages, baseline.Messages)
			}
			if result.WithinQuota/result.Due < 0.95*baseline.WithinQuota/baseline.Due || result.BeyondQuota/result.Due > baseline.BeyondQuota/baseline.Due+0.02 {
				t.Errorf("%d limiters, seed %d: forwarded within the quotas %.3f of due, want at least 0.95 times the %.3f without hot restarts; beyond %.3f, want at most 0.02 more than the %.3f without", n, seed,
					result.WithinQuota/result.Due, baseline.WithinQuota/baseline.Due, result.BeyondQuota/result.Due, baseline.BeyondQuota/baseline.Due)
			}
			for i, killed := range []Process{Predecessor, Successor, Predecessor, Successor} {
				sc.Faults = []Fault{{
					Kind: FaultHotRestart, At: 1, For: 0.6, Every: 1.1, Limiters: everyNth(n, 3, i%3), KilledProcess: killed,
					Down: 0.0005 * float64(1+seed+3*uint64(i)),
				}}
				if i > 1 {
					sc.Faults[0].Down += 0.2 // during probation
				}
				r := Run(sc, seed)
				if r.Breaches > 0 {
					t.Errorf("%d limiters, seed %d, %s killed after %.1f ms: %d rules broken: %v", n, seed, killed,
						1e3*sc.Faults[0].Down, r.Breaches, r.Broken)
				}
			}
		}
	}
}

// shortScenario is largeTier with n limiters and a short run. Above 100 limiters the run is shorter still, to bound the
// time of the test; below 30 limiters the tier has fewer customers and backends.
func shortScenario(n int) Scenario {
	sc := largeTier(max(n, 30))
	sc.Limiters, sc.Seconds = n, 6
	sc.Traffic.LimitersPerCustomer = max(n*3/4, 2)
	if n > 100 {
		sc.Seconds = 3.5
	}
	if n < 30 {
		for i := range sc.Plans {
			sc.Plans[i].Customers = max(sc.Plans[i].Customers/4, 1)
		}
		sc.Backends.Count = 4
	}
	return sc
}
