package quota

import (
	"math"
	"time"
)

// This file decides how far a limiter may exceed its allocation of a quota without a grant: by the
// probability that the customer's bucket has the units elsewhere, and by a bound on its debt.

const (
	// maxDebtFraction bounds the debt of a limiter, as a fraction of its even part of the burst.
	maxDebtFraction = 1.0
	// debtRepaymentTime is the time in which grants and refills are expected to repay a debt.
	debtRepaymentTime = 500 * time.Millisecond
	// immediateProbability is the probability from which on a request is admitted at once, without
	// waiting for a grant.
	immediateProbability = 0.9
	// A request for which no grant can come is admitted from the probability finalProbability +
	// finalProbabilityFactor * Plan.LeastProbability on.
	finalProbability       = 0.5
	finalProbabilityFactor = 0.6
	// unknownLevelFraction is what a peer that reported nothing is assumed to have, as a fraction of its
	// allocation; unknownDemandFraction bounds its demand, as a fraction of its part of the rate.
	unknownLevelFraction  = 0.8
	unknownDemandFraction = 0.5
	// reportDelay is how old a report is assumed to be when it comes.
	reportDelay = 100 * time.Millisecond
	// unseenMaxAge bounds the age of a report in admissionProbability: by then buckets are full again. What
	// a lost peer consumed is assumed for a shorter time, see maxUnreportedSeconds.
	unseenMaxAge = 5 * time.Second
	// unseenMinFraction is the least rate at which a peer is assumed to consume without a report, as a
	// fraction of its part of the rate.
	unseenMinFraction = 0.05
	// minUnseenUnits keeps the expected unseen consumption from being zero.
	minUnseenUnits = 1e-6
)

// maxDebt is how far below zero the quota's level may go here without a grant, in units.
func (a *Account) maxDebt() float64 {
	return max(maxDebtFraction*a.plan().Quota.Burst*a.evenFraction, a.largestRequest)
}

// admissionProbability is the probability that the customer's bucket has a request's units, of which
// some are lacking here. Reports of all peers give what the bucket had and how fast the peers consume;
// what they consumed since is taken as exponentially distributed. Where a report is missing, the peers'
// estimated levels stand for the bucket.
func (a *Account) admissionProbability(units, lacking float64, now time.Duration) float64 {
	spare, unseen, allReported := 0.0, 0.0, a.totalKnown
	for _, peerID := range a.lenders {
		lk := a.link(peerID)
		level, demand := a.estimatePeer(lk, now)
		spare += max(level-peerDemand(lk, demand)*debtRepaymentTime.Seconds(), 0)
		unseen += a.unseenConsumption(lk, peerDemand(lk, demand), now)
		allReported = allReported && lk.known
	}
	if allReported {
		spare, lacking = a.totalLevel, units
	}
	if spare < lacking {
		return 0
	}
	return 1 - math.Exp(-(spare-lacking)/max(unseen, minUnseenUnits))
}

// peerDemand is the demand at a peer in units per second: as it reported, else as estimated. A report
// counts here also while the peer is silent.
func peerDemand(lk *link, estimated float64) float64 {
	if lk.known {
		return lk.demand
	}
	return estimated
}

// unseenConsumption is the units that a peer is expected to have consumed since its last report, or, if
// it never reported, to consume until a debt is repaid.
func (a *Account) unseenConsumption(lk *link, demand float64, now time.Duration) float64 {
	plan := a.plan()
	age := debtRepaymentTime
	if lk.known {
		age = min(now-lk.reportedAt+reportDelay, unseenMaxAge)
	}
	units := max(demand, unseenMinFraction*plan.Quota.Rate*a.evenFraction) * age.Seconds()
	if lk.known && now-lk.reportedAt < peerSilenceTimeout {
		// It receives reports too, and grants beyond its allocation only on these.
		units = min(units, max(lk.level, 0)+a.evenFraction*plan.Quota.Rate*age.Seconds())
	}
	return units
}

// estimatePeer returns what a peer is expected to have, in units, and its demand in units per second: by
// its last report and what it has gained and consumed since. Of a peer that reported nothing it assumes
// that it is like this one, and of a silent one that it has nothing.
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
	if s := a.ledger.startState; s == StartUnknown || s == TierRestarted { // it started with nothing as well
		level = min(level, fraction*plan.Quota.Rate*(now-a.ledger.startedAt).Seconds())
	}
	return level, demand
}
