package quota

import (
	"testing"
	"time"
)

var quotaPlan = Plan{Quota: Bucket{Rate: 5, Burst: 24}, LeastProbability: 0.5}

// newLedger starts the ledger of limiter 0 of three.
func newLedger(s StartState) *Ledger {
	l := New(Config{Limiters: 3, GossipEnabled: true, Plans: []Plan{quotaPlan}}, time.Hour)
	l.ResolveStartState(s, time.Hour)
	return l
}

// countGranted returns how many of n requests for one unit are granted at once, without waiting for a grant.
func countGranted(l *Ledger, a *Account, n int, now time.Duration) (sum int) {
	for range n {
		l.RecordDemand(a, 1, now)
		if decision, _ := l.Reserve(a, 1, true, now); decision == Granted {
			sum++
		}
	}
	return sum
}

// A limiter that receives nothing from the others grants its allocation, and a debt of at most the same size.
func TestIsolatedLimiterStopsAtItsDebt(t *testing.T) {
	l := newLedger(TierStarted)
	a := l.Account(1, 0, 0, 3, time.Hour)
	if n := countGranted(l, a, 100, time.Hour); n < 8 || n > 16 {
		t.Errorf("%d of 100 requests granted at once, want the 8 of the allocation and a debt of at most 8", n)
	}
	if n := countGranted(l, a, 1000, time.Hour+60*time.Second); n > 16 {
		t.Errorf("%d requests granted after a minute, want at most 16, for the allocation and a debt", n)
	}
}

// A limiter that restarted does not get a new burst.
func TestRestartedLimiterStartsEmpty(t *testing.T) {
	l := newLedger(LimiterRestarted)
	for peerID := 1; peerID < 3; peerID++ {
		l.ObservePeer(peerID, 5, true, 40, 0, time.Hour)
	}
	a := l.Account(1, 0, 0, 3, time.Hour)
	if level := l.QuotaLevel(a, time.Hour); level != 0 {
		t.Errorf("%.1f units at the start, want 0", level)
	}
	if level := l.QuotaLevel(a, time.Hour+3*time.Second); level != 5 {
		t.Errorf("%.1f units after 3 s, want 5, a third of the refill of the quota", level)
	}
}

// The allocation of a limiter that shuts down is divided among the others until it is back.
func TestAllocationOfDeadPeerIsShared(t *testing.T) {
	l := newLedger(TierStarted)
	now := time.Hour
	for peerID := 1; peerID < 3; peerID++ {
		l.ObservePeer(peerID, 5, true, 9, 9, now)
	}
	a := l.Account(1, 0, 0, 3, now)
	quotaFraction := func() float64 { return a.fractions(true).quota }
	if got := quotaFraction(); got != 1.0/3 {
		t.Fatalf("fraction %.2f of the quota with all limiters in service, want a third", got)
	}
	l.ObservePeer(2, 5, true, 255, 9, now)
	if got := quotaFraction(); got != 0.5 {
		t.Errorf("fraction %.2f of the quota with one of three limiters shut down, want half", got)
	}
	l.ObservePeer(2, 6, true, 0, 9, now)
	if got := quotaFraction(); got != 1.0/3 {
		t.Errorf("fraction %.2f of the quota when the third limiter is back, want a third", got)
	}
}

// A message of an earlier epoch is rejected.
func TestEarlierEpochIsRejected(t *testing.T) {
	l := newLedger(TierStarted)
	if !l.ObservePeer(1, 7, true, 0, 0, time.Hour) || l.ObservePeer(1, 6, true, 0, 0, time.Hour+5*time.Second) {
		t.Error("a message of an earlier epoch was accepted after one of a later epoch")
	}
}

// Idle accounts are evicted once their eviction loses no state.
func TestSweepEvictsIdleAccounts(t *testing.T) {
	l := newLedger(TierStarted)
	for i := range uint32(500) {
		a := l.Account(i, 0, 0, 3, time.Hour)
		countGranted(l, a, 2, time.Hour)
		a.MarkSent(2)
	}
	for i := range 100 {
		l.Sweep(10*time.Second, time.Hour+time.Duration(i)*time.Second)
	}
	if n := l.Counters(time.Hour).Accounts; n != 0 {
		t.Errorf("%d accounts left, want 0", n)
	}
}

// Guards against a ceiling that is exceeded because requests arrive at a limiter outside of their customer's small
// set: that limiter had an allocation of the ceiling in addition to those of the set.
func TestLimiterOutsideSmallSetHasNoCeiling(t *testing.T) {
	plan := Plan{Ceiling: Bucket{Rate: 10, Burst: 40}}
	now, sum := time.Hour, 0.0
	for self := range 5 {
		l := New(Config{Self: self, Limiters: 5, GossipEnabled: true, Plans: []Plan{plan}}, now)
		l.ResolveStartState(TierStarted, now)
		for peerID := range 5 {
			if peerID != self {
				l.ObservePeer(peerID, 5, true, 9, 9, now)
			}
		}
		a := l.Account(1, 0, 0, 3, now) // the set is limiters 0 to 2
		level := l.CeilingLevel(a, now+10*time.Second)
		if self > 2 && level > 0 {
			t.Errorf("limiter %d outside of the set has %.1f of %.0f units, want 0", self, level, plan.Ceiling.Burst)
		}
		sum += level
	}
	if sum > plan.Ceiling.Burst {
		t.Errorf("%.1f units at all limiters, want at most %.0f", sum, plan.Ceiling.Burst)
	}
}
