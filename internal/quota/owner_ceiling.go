package quota

import "time"

// This file lets an owner use the complete ceiling of a customer. The owner and its backup owners have fixed
// allocations of the ceiling, whichever of them are silent. An owner whose allocation runs short borrows from its
// backup owners.

// minBorrowedCeiling is the minimum that an owner requests from a backup owner, in units.
const minBorrowedCeiling = 1.0

// borrowCeiling requests from the backup owners their refill of the ceiling since the last request: while the
// owner is alive they have no use for it. This creates no units: a unit leaves one allocation before it is added to
// another, and the owner requests no more than its own allocation can hold.
func (l *Ledger) borrowCeiling(a *Account, now time.Duration) {
	if a.ownerRank != 0 || a.plan().Ceiling.Rate <= 0 {
		return
	}
	need := a.ceilingNeed(now)
	for i, owner := range a.owners[1:] {
		if need < minBorrowedCeiling {
			return
		}
		lk, peer := a.link(owner), l.peer(owner)
		if !peer.available(now) || peer.unresponsive || lk.isPending(now) {
			continue
		}
		need -= l.borrowCeilingFrom(a, lk, ceilingFractions[i+1], need, now)
	}
}

// ceilingNeed returns the units of the ceiling that an owner can use beyond its level: what its demand takes, as
// far as its allocation can hold it and the quota does not limit it first.
func (a *Account) ceilingNeed(now time.Duration) float64 {
	plan := a.plan()
	target := a.demandRate(now)*prefetchDuration.Seconds() + a.largestRequest
	capacity := a.ceilingFraction*plan.Ceiling.Burst - a.ceilingUnitsInTransit - a.reservedUnits
	need := min(target, capacity) - a.ceilingLevel
	if plan.Quota.Rate > 0 {
		need = min(need, a.quotaLevel-a.ceilingLevel)
	}
	return need
}

// borrowCeilingFrom requests its refill from a backup owner, which has a fraction of the ceiling, up to what is
// needed, and returns the units requested.
func (l *Ledger) borrowCeilingFrom(a *Account, lk *link, fraction, need float64, now time.Duration) float64 {
	ceiling := a.plan().Ceiling
	gainRate := fraction * ceiling.Rate * (1 - ClockDrift)
	fillDuration := time.Duration(ceiling.Burst / ceiling.Rate * float64(time.Second))
	lk.ceilingBorrowedUntil = max(lk.ceilingBorrowedUntil, l.startedAt, now-fillDuration)
	gained := gainRate * (now - lk.ceilingBorrowedUntil).Seconds()
	units := roundToParts(min(need, gained))
	if units < minBorrowedCeiling {
		return 0
	}
	l.startTransferRequest(lk, amounts{ceiling: units}, now)
	lk.consumed, lk.demandToReport = 0, 0
	lk.ceilingBorrowedUntil += time.Duration(units / gainRate * float64(time.Second))
	l.queueTransferRequest(a, lk)
	return units
}
