package quota

import (
	"testing"
	"time"
)

// Guards against a share that both lender and borrower use at the end of a loan. With clocks at their bounds and a
// message that takes no time, the loan lasted longer at the borrower than at the lender.
func TestShareLoanWithClocksAtBounds(t *testing.T) {
	w := &tier{plan: Plan{Quota: Bucket{Rate: 50, Burst: 200}, Ceiling: Bucket{Rate: 10, Burst: 24}}}
	w.limiters = []*limiter{
		{clockRate: 1 - ClockDrift, clockOffset: time.Hour},
		{clockRate: 1 + ClockDrift, clockOffset: time.Hour},
	}
	for i := range w.limiters {
		w.start(i)
	}
	borrower := w.limiters[0]
	w.exchangeRound(0)
	w.advanceTime(5 * time.Second)
	w.overload(borrower)
	w.exchangeRound(0)
	w.exchangeRound(0) // delivers the loan
	if w.sharesLent() == 0 {
		t.Fatal("no share was lent")
	}
	const step = 100 * time.Microsecond
	for range 2100 * time.Millisecond / step {
		w.advanceTime(step)
		sum := 0.0
		for _, n := range w.limiters {
			a := w.account(n)
			a.advance(w.clock(n))
			sum += a.fractions(true).ceiling
		}
		if sum > 1+1e-9 {
			t.Fatalf("at %v limiters use %.3f of the ceiling, want at most 1", w.now, sum)
		}
	}
}
