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
		w := &tier{t: t, plan: Plan{Slots: 6}}
		w.limiters = []*limiter{{clockRate: 1, clockOffset: time.Hour}, {clockRate: 1, clockOffset: time.Hour}}
		for i := range w.limiters {
			w.start(i)
		}
		inUse := 0
		start := func(n *limiter) {
			a := w.account(n)
			if decision, _ := n.ledger.Reserve(a, 1, false, w.clock(n)); decision == Granted {
				a.MarkSent(1)
				a.SlotsInUse++
				inUse++
			}
		}
		borrower, lender := w.limiters[0], w.limiters[1]
		w.exchangeRound(0)
		w.advanceTime(5 * time.Second)
		for range 4 { // one more than the borrower's own slots, so that it requests one
			start(borrower)
		}
		w.exchangeRound(0)
		w.exchangeRound(0)
		start(borrower) // on the borrowed slot
		for range 10 {  // longer than a loan, with messages in time for a renewal
			w.advanceTime(300 * time.Millisecond)
			w.exchangeRound(0)
		}
		for range 4 {
			start(lender)
		}
		if inUse > w.plan.Slots {
			t.Fatalf("%d attempts in flight, want at most the %d slots", inUse, w.plan.Slots)
		}
	})
}
