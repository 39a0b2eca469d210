package quota

import "time"

// This file decides on client requests of customers with an owner: at the owner itself, at the limiters
// that request the units from it, and at those that get no decision.

const (
	// creditRateFactor times its even allocation of the rate is what a limiter may consume without a decision.
	creditRateFactor = 2.0
	// hotTransferFactor times the rate is what all limiters together request for a hot customer: a little
	// more than its owner may grant.
	hotTransferFactor = 1.3
)

// reserveWithOwner is the part of Reserve for a customer with an owner. It decides in this order:
//
//  1. Nothing is lacking here, and this limiter decides, has only units that were granted to it, or just
//     received the owner's grant: granted.
//  2. This limiter decides, or the owner has replied: rejected.
//  3. The customer is hot by the owner's last report: mostly rejected without a transfer request.
//  4. Not final, and one of the owners is available: it is sent a transfer request, and the client request waits.
//  5. No limiter can decide: granted within the credit, else rejected.
func (l *Ledger) reserveWithOwner(a *Account, units float64, final bool, now time.Duration) (Decision, time.Duration) {
	hasShortfall := a.shortfall(units) != amounts{}
	decides := l.decides(a, now)
	decision := a.ownerDecision
	a.ownerDecision = ownerUndecided
	if !hasShortfall && (decides || a.ownerRank == notOwner || decision == ownerGranted) {
		l.consumeGranted(a, units, now)
		l.borrowCeiling(a, now)
		return Granted, 0
	}
	l.borrowCeiling(a, now)
	retryAfter := time.Duration(units / max(a.plan().Quota.Rate, minDivisor) * float64(time.Second))
	if decides || decision != ownerUndecided {
		a.transferOutstanding = false
		return Rejected, retryAfter
	}
	view := a.predictOwnerView(now)
	if a.skipsTransferRequest(view, units, now) {
		return Rejected, retryAfter
	}
	if !final && l.requestFromOwner(a, units, now) {
		a.transferOutstanding = true
		return Pending, 0
	}
	if l.decides(a, now) { // requestFromOwner found all owners before this one silent
		return l.reserveWithOwner(a, units, final, now)
	}
	a.transferOutstanding = false
	if !a.takeCredit(view, units, now) {
		return Rejected, retryAfter
	}
	l.Counts.AdmittedWithoutGrant++
	l.consumeGranted(a, units, now)
	return Granted, 0
}

// skipsTransferRequest reports whether a client request of a hot customer is rejected without a transfer
// request, which its owner would reject too. The client requests that are not skipped, at all limiters together,
// request about as many units as the owner can grant. Fewer are skipped as the owner's last report grows older, as
// the demand may have ended since: none when the report is ownerViewDuration old.
func (a *Account) skipsTransferRequest(view ownerView, units float64, now time.Duration) bool {
	target := hotTransferFactor * a.plan().Quota.Rate
	if !view.known || a.transferOutstanding || view.level >= units || view.demand <= target {
		return false
	}
	age := (now - view.receivedAt).Seconds() / ownerViewDuration.Seconds()
	a.transferAllowance += target/view.demand + age*age
	if a.transferAllowance < 1 {
		return true
	}
	a.transferAllowance--
	return false
}

// takeCredit takes the units of a client request without a decision from the credit, and reports whether the
// request is admitted. Either no decision arrived or there is no owner to make one. The units are reported to
// the owner as debt. There is no credit for a customer whose plan has a ceiling or slots.
func (a *Account) takeCredit(view ownerView, units float64, now time.Duration) bool {
	plan := a.plan()
	if plan.Ceiling.Rate > 0 || plan.Slots > 0 {
		return false
	}
	if view.known && view.level < units && view.demand > plan.Quota.Rate && plan.LeastProbability > 0 {
		return false
	}
	perSecond := creditRateFactor * plan.Quota.Rate * a.evenFraction
	limit := max(a.largestRequest, plan.Quota.Burst*a.evenFraction)
	if a.credit.Refill(now, perSecond, limit) < units {
		return false
	}
	a.credit.Amount -= units
	a.unreportedUnits += units
	a.quotaLevel += units // consumeGranted takes them again: they count at the owner, as debt
	return true
}

// consumeGranted takes units that are granted.
func (l *Ledger) consumeGranted(a *Account, units float64, now time.Duration) {
	plan := a.plan()
	a.transferOutstanding = false
	if plan.Quota.Rate > 0 {
		a.quotaLevel -= units
	}
	if plan.Ceiling.Rate > 0 {
		a.ceilingLevel -= units
	}
	a.reservedUnits += units
	a.lastGrantAt = now
}

// refundToOwner returns units of a quota whose client request was not forwarded: to the owner, by a message
// soon, as no other limiter could use them, or to this limiter's own level if it decides itself. If the
// message is lost, so are the units.
func (l *Ledger) refundToOwner(a *Account, units float64, now time.Duration) {
	decider := notOwner
	if a.ownerRank != 0 {
		decider = l.firstLiveOwner(a, now)
	}
	if decider == notOwner && a.ownerRank != notOwner {
		a.quotaLevel += units
		return
	}
	a.unreportedUnits -= units
	if decider != notOwner {
		lk := a.link(a.owners[decider])
		lk.returnDue = true
		l.queueTransferRequest(a, lk)
	}
}
