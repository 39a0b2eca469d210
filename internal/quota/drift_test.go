package quota

import (
	"testing"
	"time"
)

// Guards against a share that both lender and borrower use at the end of a loan. With clocks at their bounds and a
// message that takes no time, the loan lasted longer at the borrower than at the lender.
func TestShareLoanWithClocksAtBounds(t *testing.T) {
	tr := &tier{plan: Plan{Quota: Bucket{Rate: 50, Burst: 200}, Ceiling: Bucket{Rate: 10, Burst: 24}}}
	tr.limiters = []*limiter{
		{clockRate: 1 - ClockDrift, clockOffset: time.Hour},
		{clockRate: 1 + ClockDrift, clockOffset: time.Hour},
	}
	for i := range tr.limiters {
		tr.start(i)
	}
	borrower := tr.limiters[0]
	tr.exchangeRound(0)
	tr.advanceTime(5 * time.Second)
	tr.overload(borrower)
	tr.exchangeRound(0)
	tr.exchangeRound(0) // delivers the loan
	if tr.sharesLent() == 0 {
		t.Fatal("no share was lent")
	}
	const step = 100 * time.Microsecond
	for range 2100 * time.Millisecond / step {
		tr.advanceTime(step)
		sum := 0.0
		for _, n := range tr.limiters {
			a := tr.account(n)
			a.advance(tr.clock(n))
			sum += a.fractions(true).ceiling
		}
		if sum > 1+1e-9 {
			t.Fatalf("at %v limiters use %.3f of the ceiling, want at most 1", tr.now, sum)
		}
	}
}
