package quota

import (
	"math"
	"time"
)

// This file computes allocations: which fraction of each bucket is this limiter's, and how levels change with
// time.

// ClockDrift is the most that a clock may run fast or slow, as a fraction.
const ClockDrift = 0.01

// clockRatio is the most that one limiter's clock advances while another's advances by one.
const clockRatio = (1 + ClockDrift) / (1 - ClockDrift)

// allowForDrift returns the most that this limiter's clock advances while another's advances by a duration.
func allowForDrift(duration time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(duration) * clockRatio))
}

// advance updates an account to a clock time.
func (a *Account) advance(now time.Duration) {
	if a.hasSmallSet() {
		a.advanceSmallSet(now)
	} else {
		a.advanceLargeSet(now)
	}
}

// advanceSmallSet refills an allocation step by step, from one change of its fractions to the next.
func (a *Account) advanceSmallSet(now time.Duration) {
	a.resetStaleLinks()
	for a.advancedTo < now {
		earlierLoansEndedAt := a.earlierLoansEndedAt()
		next := a.nextChange(earlierLoansEndedAt, now)
		a.refill((next - a.advancedTo).Seconds(), a.advancedTo >= earlierLoansEndedAt)
		a.advancedTo = next
		a.expireLoans()
		a.resetStaleLinks()
	}
}

// nextChange returns the first clock time, now at the latest, at which a loan or a grant ends, a peer's new epoch
// began here, or the loans of earlier epochs of this limiter have ended.
func (a *Account) nextChange(earlierLoansEndedAt, now time.Duration) time.Duration {
	next := now
	consider := func(at time.Duration) {
		if at > a.advancedTo && at < next {
			next = at
		}
	}
	consider(earlierLoansEndedAt)
	for _, lk := range a.links {
		consider(lk.borrowed.expiresAt)
		if peer := a.ledger.peers[lk.peerID]; peer != nil && peer.epoch != lk.epoch {
			consider(peer.epochSince)
		}
		for _, lent := range lk.lent {
			consider(lent.expiresAt)
			consider(lent.deliveredBy)
		}
	}
	return next
}

// refill adds the refill of a number of seconds. An allocation that holds more than its capacity, as after lending a
// share or at the end of a loan, drains as fast as the others may refill: so the sum of all allocations does
// not grow while it is at the capacity of the bucket.
func (a *Account) refill(seconds float64, earlierLoansEnded bool) {
	plan := a.plan()
	f := a.fractions(earlierLoansEnded)
	if plan.Quota.Rate > 0 {
		gain := seconds * plan.Quota.Rate
		capacity := f.quota*plan.Quota.Burst - f.quotaInTransit
		a.totalLevel = min(a.totalLevel+gain, plan.Quota.Burst)
		a.quotaLevel = refilled(a.quotaLevel, capacity, gain, f.quota, 1)
	}
	if plan.Ceiling.Rate > 0 {
		gain := seconds * plan.Ceiling.Rate
		capacity := f.ceiling*plan.Ceiling.Burst - f.ceilingInTransit - a.reservedUnits
		a.ceilingLevel = refilled(a.ceilingLevel, capacity, gain, f.ceiling, 1-ClockDrift)
	}
}

// refilled returns the level of an allocation after the complete bucket gained some units. fraction is the
// allocation's fraction of the rate, and slowdown a factor on its refill.
func refilled(level, capacity, gain, fraction, slowdown float64) float64 {
	capacity = max(capacity, 0)
	if level > capacity {
		return max(capacity, level-gain*(1-fraction))
	}
	return min(level+gain*fraction*slowdown, capacity)
}

// fractions holds the fractions of the two buckets that refill at this limiter, and the units of its grants that are
// in transit and count against its capacity.
type fractions struct {
	quota, ceiling                   float64
	quotaInTransit, ceilingInTransit float64 // units
}

// fractions returns the fractions of this limiter now. Until the loans of its earlier epochs have ended,
// peers may use MaxLentFraction of its ceiling. The quota is not reduced for these loans: unlike a ceiling, it is
// not a hard limit.
func (a *Account) fractions(earlierLoansEnded bool) fractions {
	f := fractions{quota: a.baseFraction, ceiling: a.ceilingFraction}
	if !earlierLoansEnded {
		f.ceiling *= 1 - MaxLentFraction
	}
	if !a.hasSmallSet() {
		f.ceilingInTransit = a.ceilingUnitsInTransit
		return f
	}
	borrowed := 0.0 // shares borrowed less shares lent
	for _, lk := range a.links {
		borrowed += lk.borrowed.share - lk.lentShare()
		for _, lent := range lk.lent {
			f.quotaInTransit += lent.quotaUnits
			f.ceilingInTransit += lent.ceilingUnits
		}
	}
	if a.baseFraction > 0 {
		f.quota += a.deadPeersFraction()
	}
	f.quota, f.ceiling = max(f.quota+borrowed, 0), max(f.ceiling+borrowed, 0)
	return f
}

// deadPeersFraction returns the fraction of the quota that this limiter takes over from dead peers. Fractions of
// ceilings are not taken over: a peer that counts as dead may be alive.
func (a *Account) deadPeersFraction() float64 {
	dead := 0
	for _, peerID := range a.lenders {
		peer := a.ledger.peers[peerID]
		if peer != nil && peer.dead {
			dead++
		}
	}
	return a.baseFraction * float64(dead) / float64(len(a.lenders)+1-dead)
}
