package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// exchangeRound has each limiter send every other one a message, which arrives at once unless it is lost: one in
// lossIn, or none if that is 0.
func (w *tier) exchangeRound(lossIn int) {
	for i := range w.limiters {
		for j := range w.limiters {
			if i == j {
				continue
			}
			w.send(i, j)
			last := len(w.inFlight) - 1
			m := w.inFlight[last]
			w.inFlight = w.inFlight[:last]
			if lossIn == 0 || rapid.IntRange(0, lossIn-1).Draw(w.t, "lost") > 0 {
				w.deliver(m)
			}
		}
	}
}

// sharesLent counts the shares that limiters have lent of the customer's buckets.
func (w *tier) sharesLent() (count int) {
	for _, n := range w.limiters {
		for _, lk := range w.account(n).links {
			if lk.lentShare() > 0 {
				count++
			}
		}
	}
	return count
}

// overload requests far more units at a limiter than the ceiling has, so that the limiter borrows.
func (w *tier) overload(n *limiter) {
	const requests = 100
	for range requests {
		w.request(n, 1, true)
	}
}

// A ceiling is never exceeded while shares of it are lent, used on both sides and returned, with complete rounds of
// messages in between, some of which are lost, and with limiters that restart. TestCeilingModel seldom reaches a
// lent share, and passed while the first loan of each account was not recorded.
func TestLentCeilingModel(t *testing.T) {
	lent := 0
	rapid.Check(t, func(t *rapid.T) {
		w := &tier{t: t, plan: Plan{Quota: Bucket{Rate: 50, Burst: 200}, Ceiling: Bucket{Rate: 10, Burst: 24}}}
		for i := range rapid.IntRange(2, 5).Draw(t, "limiters") {
			rate := rapid.SampledFrom([]float64{1, 1 + ClockDrift, 1 - ClockDrift}).Draw(t, "clock")
			w.limiters = append(w.limiters, &limiter{clockRate: rate, clockOffset: time.Hour + time.Duration(i)*time.Minute})
		}
		for i := range w.limiters {
			w.start(i)
		}
		lossIn := rapid.SampledFrom([]int{0, 4, 10}).Draw(t, "loss of one in")
		at := rapid.IntRange(0, len(w.limiters)-1)
		w.exchangeRound(0)
		w.advanceTime(5 * time.Second)
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				w.overload(w.limiters[at.Draw(t, "at")])
			case 3, 4, 5, 6:
				w.exchangeRound(lossIn)
			case 7, 8:
				w.advanceTime(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
			case 9:
				if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
					w.start(at.Draw(t, "restarted"))
				}
			}
			lent += w.sharesLent()
		}
	})
	if lent == 0 {
		t.Error("no share was ever lent")
	}
}

// Guards against a ceiling that is exceeded when a limiter restarts that had used a borrowed share: the lender
// refilled for the time before the restart as if it had had the share itself.
func TestReclaimedShareCountsFromRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &tier{t: t, plan: Plan{Quota: Bucket{Rate: 50, Burst: 200}, Ceiling: Bucket{Rate: 10, Burst: 24}}}
		w.limiters = []*limiter{{clockRate: 1, clockOffset: time.Hour}, {clockRate: 1, clockOffset: time.Hour}}
		for i := range w.limiters {
			w.start(i)
		}
		lender, borrower := w.limiters[0], w.limiters[1]
		w.exchangeRound(0)
		w.advanceTime(5 * time.Second)
		w.overload(borrower)
		w.exchangeRound(0)
		w.overload(lender)
		w.exchangeRound(0) // delivers the loan
		if w.sharesLent() == 0 {
			t.Fatal("no share was lent")
		}
		w.advanceTime(time.Duration(rapid.IntRange(1, 1800).Draw(t, "ms")) * time.Millisecond)
		w.overload(borrower)
		w.start(1)
		w.exchangeRound(0)
		w.overload(lender)
	})
}
