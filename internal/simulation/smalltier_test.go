package simulation

import "testing"

// smallTier is a scenario with few limiters, each of which often gets requests of every customer.
func smallTier(limiters, setSize int) Scenario {
	sc := Scenario{
		Limiters: limiters, Seconds: 20,
		Traffic: Traffic{
			LimitersPerCustomer: setSize, BusiestFraction: 0.4, BusiestDuration: 10, Units: []float64{1, 2}, Retries: 1, RetryWait: 150, RetryAfterFraction: 0.5,
			KeyedFraction: 0.46, Deadline: 1000,
		},
		Backends: Backend{Count: 2 * limiters, Cores: 2, Work: 60, Queue: 30, ColdFraction: 0.2, SlowStartDuration: 15, IdempotencyWindow: 3, ListLag: 700},
		Network:  Network{DelayMin: 1.8, DelayMax: 16, Loss: 0.05, MaxReceivedPerSecond: 40},
	}
	for _, p := range []Plan{
		{Name: "district", Rate: 3, Burst: 10, WeightFactor: 0.8, OverQuotaCost: 0.5, Customers: 3, LoadFactor: 0.7},
		{Name: "city", Rate: 6, Burst: 23, CeilingRate: 12, CeilingBurst: 56, WeightFactor: 1.1, OverQuotaCost: 1, Customers: 5, LoadFactor: 0.7},
		{Name: "provincial", Rate: 25, Burst: 67, WeightFactor: 1.4, OverQuotaCost: 0.5, Customers: 2, LoadFactor: 0.7},
	} {
		p.Tolerance = 4
		sc.Plans = append(sc.Plans, p)
	}
	return sc
}

// In a tier of few limiters nearly all due units are forwarded, also with sets of five limiters or more, where a
// customer's buckets have one owner.
func TestSmallTierForwardsWhatIsDue(t *testing.T) {
	for _, c := range []struct{ limiters, setSize int }{{3, 3}, {6, 3}, {6, 5}, {6, 6}, {9, 8}} {
		var due, within, rejected, beyond float64
		for seed := range uint64(4) {
			r := Run(smallTier(c.limiters, c.setSize), seed)
			if r.Breaches > 0 {
				t.Errorf("%+v: rules broken: %v", c, r.Broken)
			}
			due, within, rejected, beyond = due+r.Due, within+r.WithinQuota, rejected+r.RejectedWithinQuota, beyond+r.BeyondQuota
		}
		t.Logf("%+v: of the due units %.3f forwarded within the quotas, %.3f beyond, %.3f rejected within the quotas", c, within/due, beyond/due, rejected/due)
		if within < 0.95*due || rejected > 0.12*due || beyond > 0.02*due {
			t.Errorf("%+v: of the due units %.3f forwarded within the quotas, %.3f beyond, %.3f rejected within the quotas; want at least 0.95, at most 0.02 and at most 0.12", c, within/due, beyond/due, rejected/due)
		}
	}
}
