package quota

import (
	"math"
	"slices"
	"time"

	"lemongate/internal/gossip"
)

// This file handles the slots of a plan: attempts in flight at once, over all limiters. A limiter has its own slots
// and those that it has borrowed, and lends some of its own. At any time, for each limiter,
//
//	SlotsInUse <= own slots - slots lent + slots borrowed
//
// and a limiter counts a slot as borrowed only while its lender counts it as lent. So the attempts of all
// limiters together never take more than the plan's slots.
//
// An attempt cannot be ended when a loan ends. The borrower starts attempts on a borrowed slot until the loan
// expires, and keeps the slot until its attempt ends. The lender has the slot back once the borrower has reported
// that it returned it, or when every attempt that began before the loan expired has ended. The slots that a
// limiter used in an earlier epoch count until then as well: backends may still be working for a process that
// died, and a process that resumes after a failed hot restart has attempts in flight.

const (
	// slotReturnInterval is the time without a grant after which a message that returns slots is repeated, and
	// slotReturnMessages is the maximum number of such messages.
	slotReturnInterval = 300 * time.Millisecond
	slotReturnMessages = 3
	// newTierMinPeers is the number of peers of a large set whose messages have to show that they did not serve
	// before this limiter started, see earlierSlotLoansEnded.
	newTierMinPeers = 3
)

// slotsReturnedBy returns the clock time, at a lender, by which no attempt is in flight on a slot of a loan that expires
// here at a clock time, whatever the borrower reported.
func (l *Ledger) slotsReturnedBy(expiresAt time.Duration) time.Duration {
	if l.LongestAttempt <= 0 {
		return math.MaxInt64
	}
	return expiresAt + allowForDrift(l.LongestAttempt)
}

// lentSlots returns the number of slots of this limiter that the peer may be using.
func (lk *link) lentSlots() int {
	slots := 0
	for i := range lk.lent {
		slots = max(slots, lk.lent[i].slots)
	}
	for i := range lk.lentToEarlierEpochs {
		slots += lk.lentToEarlierEpochs[i].slots
	}
	return slots
}

// slotLoansToEarlierEpochs returns the loans of slots to earlier epochs of a peer, including its present epoch, which
// has just ended. If the longest attempt is not known, no attempt is assumed to outlive its epoch.
func (lk *link) slotLoansToEarlierEpochs(l *Ledger) []loan {
	if l.LongestAttempt <= 0 {
		return nil
	}
	latest := loan{}
	for _, lent := range lk.lent {
		latest.slots = max(latest.slots, lent.slots)
		latest.expiresAt = max(latest.expiresAt, lent.expiresAt)
	}
	if latest.slots == 0 {
		return lk.lentToEarlierEpochs
	}
	return append(lk.lentToEarlierEpochs, latest)
}

// ownSlots returns the number of slots that this limiter has without those that it has borrowed.
func (a *Account) ownSlots() int {
	if a.baseSlots == 0 || !a.earlierSlotLoansEnded() {
		return 0
	}
	n := a.baseSlots
	for _, lk := range a.links {
		n -= lk.lentSlots()
	}
	return n
}

// borrowedSlots returns the number of slots that this limiter has borrowed and not returned.
func (a *Account) borrowedSlots() int {
	n := 0
	for _, lk := range a.links {
		n += lk.borrowed.slots
	}
	return n
}

// slotLimit returns the number of slots that may be in use here: no attempt starts while as many are in use.
func (a *Account) slotLimit() int {
	n := a.ownSlots()
	for _, lk := range a.links {
		if lk.borrowed.expiresAt > a.advancedTo {
			n += lk.borrowed.slots
		}
	}
	return n
}

// spareSlots returns the number of slots that can be lent: not in use, and not borrowed, as the lender of a borrowed slot
// would not know for how long it is lent on.
func (a *Account) spareSlots() int {
	return max(min(a.slotLimit()-a.SlotsInUse, a.ownSlots()), 0)
}

// lendSlots returns the number of slots of this limiter that a peer has with a new grant: those that it has already,
// and as many of those that it wants as are spare. The new grant replaces the earlier ones.
func (a *Account) lendSlots(lk *link, wanted int) int {
	if a.plan().Slots <= 0 {
		return 0
	}
	spare := a.spareSlots()
	slots := 0
	for i := range lk.lent {
		slots = max(slots, lk.lent[i].slots)
		lk.lent[i].slots = 0
	}
	lk.lent = slices.DeleteFunc(lk.lent, grantRecord.isEmpty)
	return slots + min(wanted, spare, max(gossip.MaxSlots-slots, 0))
}

// ReleaseSlot reports that an attempt ended and its slot is free: borrowed slots that are not in use are returned at
// once. The caller first sets Account.SlotsInUse, without the slot.
func (l *Ledger) ReleaseSlot(a *Account, now time.Duration) {
	if a.plan().Slots <= 0 {
		return
	}
	a.advance(now)
	l.returnUnusedSlots(a)
}

// returnUnusedSlots returns the borrowed slots that the attempts here do not need.
func (l *Ledger) returnUnusedSlots(a *Account) {
	unused := a.borrowedSlots() - max(a.SlotsInUse-a.ownSlots(), 0)
	for _, lk := range a.links {
		returned := min(unused, lk.borrowed.slots)
		if returned <= 0 {
			continue
		}
		unused -= returned
		lk.borrowed.slots -= returned
		lk.slotReturns = slotReturnMessages
		lk.returnDue = true
		l.queueTransferRequest(a, lk)
	}
}

// ReturnUnusedSlots returns borrowed slots that no request uses, and repeats messages that return slots.
func (l *Ledger) ReturnUnusedSlots(now time.Duration) {
	l.slotBorrowers = slices.DeleteFunc(l.slotBorrowers, func(a *Account) bool {
		a.advance(now)
		l.returnUnusedSlots(a)
		unfinished := l.repeatSlotReturns(a, now)
		a.borrowsSlots = unfinished || a.borrowedSlots() > 0
		return !a.borrowsSlots
	})
}

// repeatSlotReturns queues again the messages that return slots, as far as they are due, and reports whether
// any are still to be sent.
func (l *Ledger) repeatSlotReturns(a *Account, now time.Duration) (unfinished bool) {
	for _, lk := range a.links {
		if lk.slotReturns == 0 {
			continue
		}
		unfinished = true
		if now-lk.lastSentAt >= slotReturnInterval {
			lk.returnDue = true
			l.queueTransferRequest(a, lk)
		}
	}
	return unfinished
}

// acknowledgeReturn records a grant that no request waits for: it shows that the lender has the slots that a message
// returned.
func (lk *link) acknowledgeReturn(grant gossip.Grant) {
	if lk.nonce == grant.Nonce {
		lk.slotReturns = 0
	}
}

// trackBorrowedSlots adds an account to those that ReturnUnusedSlots checks.
func (l *Ledger) trackBorrowedSlots(a *Account) {
	if !a.borrowsSlots {
		a.borrowsSlots = true
		l.slotBorrowers = append(l.slotBorrowers, a)
	}
}

// earlierSlotLoansEnded reports whether no attempt can still be in flight on a slot of an earlier epoch of this
// limiter. Until then it has no slots of its own. The result is true after the longest time that a loan and an
// attempt may take, or without gossip. It is true earlier if neither a peer's messages nor busy backends show that
// limiters served before this one started, and if messages of enough peers have arrived: in a small set of all peers,
// in a large set of newTierMinPeers.
func (a *Account) earlierSlotLoansEnded() bool {
	l := a.ledger
	if a.advancedTo >= l.earlierSlotLoansEndAt() || !l.GossipEnabled {
		return true
	}
	if l.restartedInService || l.startState == TierRestarted {
		return false
	}
	knownPeers := 0
	for i := range a.setSize {
		if p := l.peers[(a.firstLimiter+i)%l.Limiters]; p != nil && p.known {
			knownPeers++
		}
	}
	others := a.setSize - 1
	if a.hasSmallSet() {
		return knownPeers == others
	}
	return knownPeers >= min(others, newTierMinPeers)
}

// earlierSlotLoansEndAt returns the clock time from which on no attempt is in flight on a slot of an earlier epoch of
// this limiter, at itself or at a peer.
func (l *Ledger) earlierSlotLoansEndAt() time.Duration {
	expiredAt := l.startedAt + lenderLoanDuration
	if l.LongestAttempt <= 0 {
		return expiredAt
	}
	return l.slotsReturnedBy(expiredAt)
}
