package quota

import "time"

// This file decides what a limiter that starts with nothing in memory assumes about the customers' buckets.

// tierStartDuration is how long after the start of a tier a new account counts as full: until then no
// limiter can have consumed units that it did not report yet.
const tierStartDuration = 3 * time.Second

// StartState is what a limiter has found out about its own start. With nothing in memory, the buckets may be
// full, if the tier is new, or consumed, if the tier served before.
type StartState uint8

// Start states.
const (
	// StartUnknown means that nothing is known yet. One request of each customer may be admitted
	// without a grant; others wait.
	StartUnknown StartState = iota
	// TierStarted means that the tier is new: all quotas are full. A ceiling starts empty in any state,
	// and in a small set it fills more slowly until earlierLoansEndedAt.
	TierStarted
	// LimiterRestarted means that other limiters were serving before this start. The state of this one is
	// lost: its allocations start empty, and a quota that it owns with restartLevelFraction of the burst.
	LimiterRestarted
	// TierRestarted means that all limiters served before and lost their state. The buckets hold at least
	// what they gained since.
	TierRestarted
)

// String returns the name that counters and scripts use.
func (s StartState) String() string { return [...]string{"unsure", "fresh", "returned", "spent"}[s] }

// StartState returns the start state of the limiter.
func (l *Ledger) StartState() StartState { return l.startState }

// ResolveStartState sets the start state of the limiter. Only the first state other than StartUnknown counts.
func (l *Ledger) ResolveStartState(s StartState, now time.Duration) {
	if l.startState != StartUnknown || s == StartUnknown {
		return
	}
	l.startState = s
	for _, a := range l.accountOrder {
		a.advance(now)
		if s == TierStarted {
			a.quotaLevel += a.unresolvedUnits
			a.assumeFull()
		}
		a.unresolvedUnits = 0
	}
}

// assumeFull sets the total level as if the customer's quota was full at the start of the tier.
func (a *Account) assumeFull() {
	a.totalLevel = a.plan().Quota.Burst - decodeUnits(a.consumed)
	a.totalKnown, a.startedFull = true, true
	for _, lk := range a.links {
		if lk.known {
			a.totalLevel -= decodeUnits(lk.consumed)
		}
	}
}

// initialLevel sets what a new allocation of a quota has by the start state, beyond the refill since the start.
func (a *Account) initialLevel(now time.Duration) {
	l := a.ledger
	full := a.baseFraction * a.plan().Quota.Burst
	switch l.startState {
	case TierStarted:
		a.quotaLevel = max(a.quotaLevel, full)
		if now-l.startedAt < tierStartDuration {
			a.assumeFull()
		}
	case StartUnknown:
		a.unresolvedUnits = max(full-a.quotaLevel, 0)
	}
}
