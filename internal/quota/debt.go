package quota

import (
	"math"
	"time"
)

// This file decides how far a limiter may exceed its allocation of a quota without a grant: by the
// probability that the customer's bucket has the units elsewhere, and by a bound on its debt.

const (
	// maxDebtFraction bounds the debt of a limiter, as a fraction of its even allocation of the burst.
	maxDebtFraction = 1.0
	// debtRepaymentTime is the time in which grants and refills are expected to repay a debt.
	debtRepaymentTime = 500 * time.Millisecond
	// immediateProbability is the minimum probability at which a request is admitted at once, without
	// waiting for a grant.
	immediateProbability = 0.9
	// A request that can get no grant is admitted if the probability is at least finalProbability +
	// finalProbabilityFactor * Plan.LeastProbability.
	finalProbability       = 0.5
	finalProbabilityFactor = 0.6
	// unknownLevelFraction is the assumed level of a peer that has reported nothing, as a fraction of its
	// allocation; unknownDemandFraction bounds its assumed demand, as a fraction of its allocation of the rate.
	unknownLevelFraction  = 0.8
	unknownDemandFraction = 0.5
	// reportDelay is the assumed age of a report when it arrives.
	reportDelay = 100 * time.Millisecond
	// unseenMaxAge bounds the age of a report in admissionProbability: by then buckets are full again. The
	// consumption of a lost peer is assumed for a shorter time, see maxUnreportedSeconds.
	unseenMaxAge = 5 * time.Second
	// unseenMinFraction is the minimum rate at which a peer is assumed to consume without a report, as a
	// fraction of its allocation of the rate.
	unseenMinFraction = 0.05
	// minUnseenUnits keeps the expected unseen consumption, a divisor, above zero.
	minUnseenUnits = 1e-6
)

// maxDebt returns how far below zero the quota's level may go here without a grant, in units.
func (a *Account) maxDebt() float64 {
	return max(maxDebtFraction*a.plan().Quota.Burst*a.evenFraction, a.largestRequest)
}

// admissionProbability returns the probability that the customer's bucket has a request's units, of which shortfall
// are missing in the allocation here. If all peers have reported, the bucket's level is the total level known
// here; otherwise it is estimated from the peers' expected levels. The peers' consumption since their reports
// is assumed to be exponentially distributed.
func (a *Account) admissionProbability(units, shortfall float64, now time.Duration) float64 {
	spare, unseen, allReported := 0.0, 0.0, a.totalKnown
	for _, peerID := range a.lenders {
		lk := a.link(peerID)
		level, demand := a.estimatePeer(lk, now)
		spare += max(level-peerDemand(lk, demand)*debtRepaymentTime.Seconds(), 0)
		unseen += a.unseenConsumption(lk, peerDemand(lk, demand), now)
		allReported = allReported && lk.known
	}
	if allReported {
		spare, shortfall = a.totalLevel, units
	}
	if spare < shortfall {
		return 0
	}
	return 1 - math.Exp(-(spare-shortfall)/max(unseen, minUnseenUnits))
}

// peerDemand returns the demand at a peer in units per second: the reported one if there is a report, else the
// estimated one. Unlike in estimatePeer, the report of a silent peer counts as well.
func peerDemand(lk *link, estimated float64) float64 {
	if lk.known {
		return lk.demand
	}
	return estimated
}

// unseenConsumption returns the units that a peer is expected to have consumed since its last report, or, if
// it never reported, to consume until a debt is repaid.
func (a *Account) unseenConsumption(lk *link, demand float64, now time.Duration) float64 {
	plan := a.plan()
	age := debtRepaymentTime
	if lk.known {
		age = min(now-lk.reportedAt+reportDelay, unseenMaxAge)
	}
	units := max(demand, unseenMinFraction*plan.Quota.Rate*a.evenFraction) * age.Seconds()
	if lk.known && now-lk.reportedAt < peerSilenceTimeout {
		// The peer receives reports too, and exceeds its allocation only as far as these allow.
		units = min(units, max(lk.level, 0)+a.evenFraction*plan.Quota.Rate*age.Seconds())
	}
	return units
}

// estimatePeer returns the expected level of a peer in units, and its demand in units per second: from its
// last report and its refill and demand since. It assumes that a peer that reported nothing is like this
// limiter, and that a silent peer has nothing.
func (a *Account) estimatePeer(lk *link, now time.Duration) (level, demand float64) {
	plan := a.plan()
	fraction := max(a.evenFraction-lk.borrowed.share, 0)
	full := fraction * plan.Quota.Burst
	peer := a.ledger.peers[lk.peerID]
	if peer != nil && now < peer.silentUntil {
		return 0, 0
	}
	if lk.known {
		age := (now - lk.reportedAt).Seconds()
		return min(max(lk.level+(fraction*plan.Quota.Rate-lk.demand)*age, 0), full), lk.demand
	}
	demand = min(a.demandRate(now)/2, unknownDemandFraction*fraction*plan.Quota.Rate)
	level = full * unknownLevelFraction
	if s := a.ledger.startState; s == StartUnknown || s == TierRestarted { // the peer is assumed to have started empty as well
		level = min(level, fraction*plan.Quota.Rate*(now-a.ledger.startedAt).Seconds())
	}
	return level, demand
}
