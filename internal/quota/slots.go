package quota

import (
	"math"
	"slices"
	"time"

	"lemongate/internal/gossip"
)

// This file is the slots of a plan: attempts in flight at once, over all limiters. A limiter has its own slots
// and those that it has borrowed, and lends some of its own. At any time, for each limiter,
//
//	SlotsInUse <= own slots - slots lent + slots borrowed
//
// and a limiter counts a slot as borrowed only while its lender counts it as lent. So the attempts of all
// limiters together never take more than the plan's slots.
//
// An attempt cannot be ended when a loan does. The borrower starts attempts on a borrowed slot until the loan
// expires, and keeps the slot for as long as its attempt takes. The lender has the slot back once the borrower
// has reported that it returned it, or when every attempt that began before the loan expired has ended. What a
// limiter used in an earlier epoch counts until then as well: backends may still be at work for a process that
// died, and one that resumes after a failed hot restart has attempts in flight.

const (
	// slotReturnInterval is the time without a grant after which a message that gives back slots is repeated, and
	// slotReturnMessages how many are sent at most.
	slotReturnInterval = 300 * time.Millisecond
	slotReturnMessages = 3
	// slotEvidencePeers is how many peers of a large set have to show that none of them served before this
	// limiter started, see earlierSlotLoansEnded.
	slotEvidencePeers = 3
)

// slotsReturnedBy is the clock time, at a lender, by which no attempt is in flight on a slot of a loan that expires
// here at a clock time, whatever was heard of the borrower.
func (l *Ledger) slotsReturnedBy(expiresAt time.Duration) time.Duration {
	if l.LongestAttempt <= 0 {
		return math.MaxInt64
	}
	return expiresAt + allowForDrift(l.LongestAttempt)
}

// lentSlots is how many slots of this limiter the peer may be using.
func (lk *link) lentSlots() int {
	slots := 0
	for i := range lk.lent {
		slots = max(slots, lk.lent[i].slots)
	}
	for i := range lk.lentBefore {
		slots += lk.lentBefore[i].slots
	}
	return slots
}

// slotsLentBefore is the loans of slots to earlier epochs of a peer, once its epoch at hand is over as well. Where
// it is not known for how long an attempt takes, none is assumed to outlive its epoch.
func (lk *link) slotsLentBefore(l *Ledger) []loan {
	if l.LongestAttempt <= 0 {
		return nil
	}
	latest := loan{}
	for _, lent := range lk.lent {
		latest.slots = max(latest.slots, lent.slots)
		latest.expiresAt = max(latest.expiresAt, lent.expiresAt)
	}
	if latest.slots == 0 {
		return lk.lentBefore
	}
	return append(lk.lentBefore, latest)
}

// ownSlots is how many slots this limiter has without those that it has borrowed.
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

// borrowedSlots is how many slots this limiter has borrowed and not returned.
func (a *Account) borrowedSlots() int {
	n := 0
	for _, lk := range a.links {
		n += lk.borrowed.slots
	}
	return n
}

// slotLimit is how many slots have to be in use here for no further attempt to start.
func (a *Account) slotLimit() int {
	n := a.ownSlots()
	for _, lk := range a.links {
		if lk.borrowed.expiresAt > a.advancedTo {
			n += lk.borrowed.slots
		}
	}
	return n
}

// spareSlots is how many slots can be lent: not in use, and not borrowed, as the lender of a borrowed one would
// not know for how long it is out.
func (a *Account) spareSlots() int {
	return max(min(a.slotLimit()-a.SlotsInUse, a.ownSlots()), 0)
}

// lendSlots returns how many slots of this limiter a peer has with a new grant: those that it has already, and as
// many of those that it wants as are spare. The new grant takes the place of the earlier ones.
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

// ReleaseSlot reports that an attempt ended and its slot is free: borrowed slots that are not in use go back at
// once. The caller sets Account.SlotsInUse first, without the slot.
func (l *Ledger) ReleaseSlot(a *Account, now time.Duration) {
	if a.plan().Slots <= 0 {
		return
	}
	a.advance(now)
	l.returnUnusedSlots(a)
}

// returnUnusedSlots gives back the borrowed slots that the attempts here do not take.
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

// ReturnUnusedSlots gives back borrowed slots that no request took, and repeats messages that give back slots.
func (l *Ledger) ReturnUnusedSlots(now time.Duration) {
	l.slotBorrowers = slices.DeleteFunc(l.slotBorrowers, func(a *Account) bool {
		a.advance(now)
		l.returnUnusedSlots(a)
		unfinished := l.repeatSlotReturns(a, now)
		a.borrowsSlots = unfinished || a.borrowedSlots() > 0
		return !a.borrowsSlots
	})
}

// repeatSlotReturns queues the messages that give back slots again, as far as they are due, and reports whether
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

// acknowledgeReturn records a grant that nothing waits for: it shows that the lender has the slots that a message
// gave back.
func (lk *link) acknowledgeReturn(grant gossip.Grant) {
	if lk.nonce == grant.Nonce {
		lk.slotReturns = 0
	}
}

// watchBorrowedSlots has ReturnUnusedSlots look at an account.
func (l *Ledger) watchBorrowedSlots(a *Account) {
	if !a.borrowsSlots {
		a.borrowsSlots = true
		l.slotBorrowers = append(l.slotBorrowers, a)
	}
}

// earlierSlotLoansEnded reports whether no attempt can still be in flight on a slot of an earlier epoch of this
// limiter. Until then it has no slots of its own. That is so after the time that a loan and an attempt may take;
// and earlier if neither a peer's messages nor busy backends show that limiters served before this one started,
// and enough peers were heard: in a small set all, in a large set slotEvidencePeers.
func (a *Account) earlierSlotLoansEnded() bool {
	l := a.ledger
	if a.advancedTo >= l.earlierSlotLoansEndAt() || !l.Gossips {
		return true
	}
	if l.restartedInService || l.startState == TierRestarted {
		return false
	}
	heard := 0
	for i := range a.setSize {
		if p := l.peers[(a.firstLimiter+i)%l.Limiters]; p != nil && p.known {
			heard++
		}
	}
	others := a.setSize - 1
	if a.isAllocated() {
		return heard == others
	}
	return heard >= min(others, slotEvidencePeers)
}

// earlierSlotLoansEndAt is the clock time from which on no attempt is in flight on a slot of an earlier epoch of
// this limiter, at itself or at a peer.
func (l *Ledger) earlierSlotLoansEndAt() time.Duration {
	expiredAt := l.startedAt + lenderLoanDuration
	if l.LongestAttempt <= 0 {
		return expiredAt
	}
	return l.slotsReturnedBy(expiredAt)
}
