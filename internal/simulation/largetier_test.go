package simulation

import "testing"

// largeTier is a scenario in which the set of each customer has three quarters of the limiters. Most customers request
// 0.45 times their quota, some three times or more.
func largeTier(limiters int) Scenario {
	sc := Scenario{
		Limiters: limiters, Seconds: 9,
		Traffic: Traffic{
			LimitersPerCustomer: limiters * 3 / 4, BusiestFraction: 0.03, BusiestDuration: 10, Units: []float64{1, 2}, Retries: 1, RetryWait: 150, RetryAfterFraction: 0.5,
			KeyedFraction: 0.46, Deadline: 2000,
		},
		Backends: Backend{Count: limiters / 2, Cores: 2, Work: 110, Queue: 30, ColdFraction: 0.2, SlowStartDuration: 15, IdempotencyWindow: 3, ListLag: 700},
		Network:  Network{DelayMin: 1.8, DelayMax: 16, Loss: 0.05, MaxReceivedPerSecond: 40},
	}
	for _, p := range []Plan{
		{Name: "district", Rate: 1.6, Burst: 6.8, WeightFactor: 0.8, OverQuotaCost: 0.5, Customers: 275 * limiters / 100, LoadFactor: 0.45},
		{Name: "district-hot", Rate: 1.6, Burst: 6.8, WeightFactor: 0.8, OverQuotaCost: 0.5, Customers: 24 * limiters / 100, LoadFactor: 3},
		{Name: "city", Rate: 5, Burst: 24, CeilingRate: 10.5, CeilingBurst: 50, WeightFactor: 1.1, OverQuotaCost: 1, Customers: 86 * limiters / 100, LoadFactor: 0.45},
		{Name: "city-hot", Rate: 5, Burst: 24, CeilingRate: 6.5, CeilingBurst: 30, WeightFactor: 1.1, OverQuotaCost: 1, Customers: 7 * limiters / 100, LoadFactor: 8},
		{Name: "provincial", Rate: 12.6, Burst: 29, WeightFactor: 1.4, OverQuotaCost: 0.5, Customers: 44 * limiters / 100, LoadFactor: 0.45},
	} {
		p.Tolerance = 4
		sc.Plans = append(sc.Plans, p)
	}
	return sc
}

// everyNth returns the limiters whose number leaves one of the remainders when divided by n.
func everyNth(limiters, n int, remainders ...int) (list []int) {
	for i := range limiters {
		for _, r := range remainders {
			if i%n == r {
				list = append(list, i)
			}
		}
	}
	return list
}

// Whichever owners and backup owners fail, no ceiling is exceeded, every request gets its response, and most of the
// due units are forwarded.
func TestLargeTierWithFaults(t *testing.T) {
	const n = 30
	partition := Fault{Kind: FaultPartition, At: 4, For: 6}
	for r := range 3 {
		partition.Groups = append(partition.Groups, everyNth(n, 3, r))
	}
	rollingRestart := []Fault{}
	for r := range 10 {
		rollingRestart = append(rollingRestart, Fault{Kind: FaultRestart, At: 1.5 + 0.5*float64(r), Down: 0.8, Limiters: everyNth(n, 10, r)})
	}
	for _, c := range []struct {
		name        string
		faults      []Fault
		minFraction float64 // of the due units, forwarded within the quotas
	}{
		{"no fault", nil, 0.92},
		{"seven in ten killed at once", []Fault{{Kind: FaultRestart, At: 2, Down: 2, Limiters: everyNth(n, 10, 0, 1, 2, 3, 4, 5, 6)}}, 0.8},
		{"a tenth at a time", rollingRestart, 0.8},
		{"three partitions", []Fault{partition}, 0.8},
		{"three partitions, and a tenth at a time", append([]Fault{partition}, rollingRestart...), 0.75},
	} {
		sc := largeTier(n)
		sc.Faults = c.faults
		r := Run(sc, 7)
		t.Logf("%s: %.3f of the due units forwarded within the quotas, %.3f beyond, %.2f rejected within the quotas", c.name, r.WithinQuota/r.Due, r.BeyondQuota/r.Due, r.RejectedWithinQuota/r.Due)
		if r.Breaches > 0 {
			t.Errorf("%s: %d rules broken: %v", c.name, r.Breaches, r.Broken)
		}
		if r.WithinQuota < c.minFraction*r.Due {
			t.Errorf("%s: %.3f of the due units forwarded within the quotas, want at least %.2f", c.name, r.WithinQuota/r.Due, c.minFraction)
		}
	}
}
