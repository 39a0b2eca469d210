package quota

import (
	"math"
	"time"

	"lemongate/internal/gossip"
)

// This file decides whether a request gets its units and its slot, and records whether the units are used.

const (
	// minDivisor keeps a divisor, a rate in units per second or a burst in units, from being zero.
	minDivisor = 1e-3
	// maxRetryAfter bounds the Retry-After of a rejection, in seconds.
	maxRetryAfter = 3600
	// slotRetryAfter is the shortest Retry-After of a rejection for lack of a slot.
	slotRetryAfter = debtRepaymentTime / 4
)

// Decision is the result of Reserve.
type Decision uint8

// Decisions.
const (
	// Rejected means that the request exceeds the quota or the ceiling, or gets no slot, as far as is known here.
	Rejected Decision = iota
	// Granted means that the units are reserved.
	Granted
	// Pending means that the units are requested from other limiters, or that the start state is unknown.
	// The caller calls Reserve again after each message of a peer, and at its deadline with final set.
	Pending
)

// amounts are units of a quota and of a ceiling, and slots.
type amounts struct {
	quota, ceiling float64
	slots          int
}

// Reserve takes the units of a request out of the customer's buckets if it may be admitted. If final is set, it
// decides by what is known here, and the decision is not Pending. If the decision is Rejected, the duration is
// the time until the units may be available. The caller sets Account.SlotsInUse first.
func (l *Ledger) Reserve(a *Account, units float64, final bool, now time.Duration) (Decision, time.Duration) {
	a.advance(now)
	if !a.hasSmallSet() {
		return l.reserveWithOwner(a, units, final, now)
	}
	shortfall := a.shortfall(units)
	if shortfall == (amounts{}) {
		l.consume(a, units, now)
		return Granted, 0
	}
	probability := l.probabilityWithoutGrant(a, units, shortfall, final, now)
	least := a.plan().LeastProbability
	if !final && probability < max(least, immediateProbability) && l.shouldWait(a, shortfall, now) {
		return Pending, 0
	}
	if probability > 0 && probability >= max(least, finalProbability+finalProbabilityFactor*least) {
		l.Counts.AdmittedWithoutGrant++
		a.admittedWhileUnresolved = true
		l.consume(a, units, now)
		return Granted, 0
	}
	return Rejected, a.retryAfter(shortfall)
}

// shortfall returns what a request for units needs beyond what the allocation has.
func (a *Account) shortfall(units float64) amounts {
	plan := a.plan()
	var shortfall amounts
	if plan.Quota.Rate > 0 {
		shortfall.quota = max(units-a.quotaLevel, 0)
	}
	if plan.Ceiling.Rate > 0 {
		shortfall.ceiling = max(units-a.ceilingLevel, 0)
	}
	if plan.Slots > 0 && a.SlotsInUse >= a.slotLimit() {
		shortfall.slots = 1
	}
	return shortfall
}

// probabilityWithoutGrant returns the probability that a request may be admitted despite its shortfall of the quota.
// It is 0 if there is a shortfall of the ceiling or of slots, or if the debt would be too large. While the
// start state is unknown, it is 1 for one request whose decision is final, or that gets its decision after every
// possible lender has sent a message.
func (l *Ledger) probabilityWithoutGrant(a *Account, units float64, shortfall amounts, final bool, now time.Duration) float64 {
	if shortfall.ceiling > 0 || shortfall.slots > 0 || a.quotaLevel-units < -a.maxDebt() {
		return 0
	}
	probability := a.admissionProbability(units, shortfall.quota, now)
	if l.startState == StartUnknown && !a.admittedWhileUnresolved && (final || l.allLendersKnown(a)) {
		return 1
	}
	return probability
}

// allLendersKnown reports whether a message arrived from all limiters that may lend to an account. Had one
// of them served for longer, its message would have resolved the start state.
func (l *Ledger) allLendersKnown(a *Account) bool {
	for _, peerID := range a.lenders {
		if !l.peer(peerID).known {
			return false
		}
	}
	return true
}

// shouldWait requests a request's shortfall from other limiters, and reports whether waiting can help: a grant
// may arrive, or the start state may be resolved.
func (l *Ledger) shouldWait(a *Account, shortfall amounts, now time.Duration) bool {
	if l.requestTransfers(a, shortfall, now) {
		return true
	}
	return l.startState == StartUnknown && shortfall.ceiling == 0 && shortfall.slots == 0 && a.unresolvedUnits >= shortfall.quota
}

// retryAfter returns the time in which the allocation refills by the shortfall, or slotRetryAfter if a slot is lacking
// and that is longer.
func (a *Account) retryAfter(shortfall amounts) time.Duration {
	plan := a.plan()
	f := a.fractions(true)
	seconds := max(shortfall.quota/max(f.quota*plan.Quota.Rate, minDivisor), shortfall.ceiling/max(f.ceiling*plan.Ceiling.Rate, minDivisor))
	if shortfall.slots > 0 {
		seconds = max(seconds, slotRetryAfter.Seconds())
	}
	return time.Duration(min(seconds, maxRetryAfter) * float64(time.Second))
}

// consume takes the units of a request, and requests more ahead of need for a busy customer.
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

// consumedParts converts units to the parts counted in Account.consumed, rounded up.
func consumedParts(units float64) uint16 { return uint16(math.Ceil(units * gossip.UnitParts)) }

// MarkSent reports that reserved units are used: their request was forwarded to a backend.
func (a *Account) MarkSent(units float64) { a.reservedUnits = max(a.reservedUnits-units, 0) }

// Refund returns reserved units whose request was not forwarded.
func (l *Ledger) Refund(a *Account, units float64, now time.Duration) {
	a.advance(now)
	a.MarkSent(units)
	plan := a.plan()
	switch {
	case plan.Quota.Rate <= 0:
	case a.hasSmallSet():
		a.quotaLevel += units
		a.totalLevel += units
		a.consumed -= consumedParts(units)
	default:
		l.refundToOwner(a, units, now)
	}
	if plan.Ceiling.Rate > 0 {
		a.ceilingLevel += units
	}
}
