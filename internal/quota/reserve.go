package quota

import (
	"math"
	"time"

	"lemongate/internal/gossip"
)

// This file decides whether a request gets its units and its slot, and records whether they are used.

const (
	// minDivisor keeps a rate in units per second, or a burst in units, that is divided by from being zero.
	minDivisor = 1e-3
	// maxRetryAfter bounds the wait that a rejection recommends, in seconds.
	maxRetryAfter = 3600
	// slotRetryAfter is the least wait after a rejection for want of a slot.
	slotRetryAfter = debtRepaymentTime / 4
)

// Decision is the reply of Reserve.
type Decision uint8

// Decisions.
const (
	// Rejected means that the request is beyond the quota or the ceiling, as far as can be known.
	Rejected Decision = iota
	// Granted means that the units are reserved.
	Granted
	// Pending means that the units are requested from other limiters, or that the start state is unknown.
	// The caller calls Reserve again after each message of a peer, and with last at its deadline.
	Pending
)

// amounts are units of a quota and of a ceiling, and slots.
type amounts struct {
	quota, ceiling float64
	slots          int
}

// Reserve takes the units of a request out of the customer's buckets if it may be admitted. With last, it
// decides by what is known here, and the decision is not Pending. With Rejected, the duration is how long
// it takes until the units may be there. The caller sets Account.SlotsInUse first.
func (l *Ledger) Reserve(a *Account, units float64, last bool, now time.Duration) (Decision, time.Duration) {
	a.advance(now)
	if !a.isAllocated() {
		return l.reserveOwned(a, units, last, now)
	}
	lack := a.lack(units)
	if lack == (amounts{}) {
		l.consume(a, units, now)
		return Granted, 0
	}
	probability := l.probabilityWithoutGrant(a, units, lack, last, now)
	least := a.plan().LeastProbability
	if !last && probability < max(least, immediateProbability) && l.shouldWait(a, lack, now) {
		return Pending, 0
	}
	if probability > 0 && probability >= max(least, finalProbability+finalProbabilityFactor*least) {
		l.Counts.AdmittedWithoutGrant++
		a.admittedWhileUnresolved = true
		l.consume(a, units, now)
		return Granted, 0
	}
	return Rejected, a.retryAfter(lack)
}

// lack is what a request for units needs beyond what the allocation has.
func (a *Account) lack(units float64) amounts {
	plan := a.plan()
	var lack amounts
	if plan.Quota.Rate > 0 {
		lack.quota = max(units-a.quotaLevel, 0)
	}
	if plan.Ceiling.Rate > 0 {
		lack.ceiling = max(units-a.ceilingLevel, 0)
	}
	if plan.Slots > 0 && a.SlotsInUse >= a.slotLimit() {
		lack.slots = 1
	}
	return lack
}

// probabilityWithoutGrant is the probability that a request may be admitted with what it lacks of the
// quota: 0 where it lacks anything of the ceiling or a slot, or where its debt would be too large. While
// the start state is unknown, one request is admitted once no message can resolve it any more.
func (l *Ledger) probabilityWithoutGrant(a *Account, units float64, lack amounts, last bool, now time.Duration) float64 {
	if lack.ceiling > 0 || lack.slots > 0 || a.quotaLevel-units < -a.maxDebt() {
		return 0
	}
	probability := a.admissionProbability(units, lack.quota, now)
	if l.startState == StartUnknown && !a.admittedWhileUnresolved && (last || l.allLendersKnown(a)) {
		return 1
	}
	return probability
}

// allLendersKnown reports whether a message came from all limiters that may lend to an account. Had one
// of them served for longer, it would have resolved the start.
func (l *Ledger) allLendersKnown(a *Account) bool {
	for _, peerID := range a.lenders {
		if !l.peer(peerID).known {
			return false
		}
	}
	return true
}

// shouldWait requests from other limiters what a request lacks, and reports whether waiting can
// help: a grant may come, or the start state become known.
func (l *Ledger) shouldWait(a *Account, lack amounts, now time.Duration) bool {
	if l.requestTransfers(a, lack, now) {
		return true
	}
	return l.startState == StartUnknown && lack.ceiling == 0 && lack.slots == 0 && a.unresolvedUnits >= lack.quota
}

// retryAfter is how long it takes the allocation to gain what a request lacks.
func (a *Account) retryAfter(lack amounts) time.Duration {
	plan := a.plan()
	f := a.fractions(true)
	seconds := max(lack.quota/max(f.quota*plan.Quota.Rate, minDivisor), lack.ceiling/max(f.ceiling*plan.Ceiling.Rate, minDivisor))
	if lack.slots > 0 {
		seconds = max(seconds, slotRetryAfter.Seconds())
	}
	return time.Duration(min(seconds, maxRetryAfter) * float64(time.Second))
}

// consume takes units, and requests more for a busy customer ahead of need.
func (l *Ledger) consume(a *Account, units float64, now time.Duration) {
	plan := a.plan()
	if plan.Quota.Rate > 0 {
		a.quotaLevel -= units
		a.totalLevel -= units
		a.consumed += consumedParts(units)
	}
	if plan.Ceiling.Rate > 0 {
		a.ceilingLevel -= units
	}
	a.reservedUnits += units
	l.requestTransfers(a, amounts{}, now)
}

// consumedParts is an amount of units as it is counted in consumed, rounded up.
func consumedParts(units float64) uint16 { return uint16(math.Ceil(units * gossip.UnitParts)) }

// MarkSent reports that reserved units are used: their request is forwarded to a backend.
func (a *Account) MarkSent(units float64) { a.reservedUnits = max(a.reservedUnits-units, 0) }

// Refund returns reserved units whose request was not forwarded.
func (l *Ledger) Refund(a *Account, units float64, now time.Duration) {
	a.advance(now)
	a.MarkSent(units)
	plan := a.plan()
	switch {
	case plan.Quota.Rate <= 0:
	case a.isAllocated():
		a.quotaLevel += units
		a.totalLevel += units
		a.consumed -= consumedParts(units)
	default:
		l.refundOwned(a, units, now)
	}
	if plan.Ceiling.Rate > 0 {
		a.ceilingLevel += units
	}
}
