package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against more attempts in flight than a plan has slots, when an attempt on a borrowed slot takes longer than
// the loan: the lender used the slot again.
func TestBorrowedSlotInUseIsNotUsedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := &tier{t: t, plan: Plan{Slots: 6}}
		tr.limiters = []*limiter{{clockRate: 1, clockOffset: time.Hour}, {clockRate: 1, clockOffset: time.Hour}}
		for i := range tr.limiters {
			tr.start(i)
		}
		inUse := 0
		startAttempt := func(n *limiter) {
			a := tr.account(n)
			if decision, _ := n.ledger.Reserve(a, 1, false, tr.clock(n)); decision == Granted {
				a.MarkSent(1)
				a.SlotsInUse++
				inUse++
			}
		}
		borrower, lender := tr.limiters[0], tr.limiters[1]
		tr.exchangeRound(0)
		tr.advanceTime(5 * time.Second)
		for range 4 { // one more than the borrower's own slots, so that it requests one
			startAttempt(borrower)
		}
		tr.exchangeRound(0)
		tr.exchangeRound(0)
		startAttempt(borrower) // on the borrowed slot
		for range 10 {         // longer than a loan, with messages in time for a renewal
			tr.advanceTime(300 * time.Millisecond)
			tr.exchangeRound(0)
		}
		for range 4 {
			startAttempt(lender)
		}
		if inUse > tr.plan.Slots {
			t.Fatalf("%d attempts in flight, want at most the %d slots", inUse, tr.plan.Slots)
		}
	})
}
