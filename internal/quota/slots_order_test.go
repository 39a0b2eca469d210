package quota

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// slotTier is a tier with the attempts of a customer that has slots: those that a limiter counts, and those of
// earlier processes of limiters, on which backends are still working.
type slotTier struct {
	*tier

	tb          *testing.T
	units       float64 // of each request
	inUse       []int   // attempts that each limiter counts
	orphans     int     // attempts of earlier processes that continue at the backends
	lender      int
	borrower    int
	maxInFlight int // the largest number of attempts in flight over all limiters at any moment
	trace       strings.Builder
}

// longestSlotAttempt is the longest attempt in these tests.
const longestSlotAttempt = 4 * time.Second

// setKind is one of the two kinds of set, which keep slots in different ways.
type setKind struct {
	name     string
	limiters int
}

var setKinds = []setKind{{"small set", 2}, {"set with an owner", SmallSetSize + 1}}

// forEachSetKind runs a sequence of events in both kinds of set, with six slots, and checks the slot limit.
func forEachSetKind(t *testing.T, run func(s *slotTier)) {
	for _, kind := range setKinds {
		t.Run(kind.name, func(t *testing.T) {
			s := newSlotTier(t, kind.limiters, Plan{Slots: 6})
			run(s)
			s.checkSlotLimit()
		})
	}
}

// newSlotTier starts a tier in which every limiter knows the others and earlier loans have ended.
func newSlotTier(t *testing.T, limiters int, plan Plan) *slotTier {
	s := &slotTier{
		tier: &tier{plan: plan, longestAttempt: longestSlotAttempt, servingAges: true}, tb: t, units: 1, inUse: make([]int, limiters),
	}
	for range limiters {
		s.limiters = append(s.limiters, &limiter{clockRate: 1, clockOffset: time.Hour})
	}
	for i := range s.limiters {
		s.start(i)
	}
	s.exchangeRound(0)
	s.advanceTime(5 * time.Second)
	s.exchangeRound(0)
	s.borrower, s.lender = 0, 1
	if a := s.advanceAccount(0); !a.hasSmallSet() {
		s.lender = a.owners[0]
		s.borrower = (s.lender + 1) % limiters
		for a.isOwner(s.borrower) {
			s.borrower = (s.borrower + 1) % limiters
		}
	}
	return s
}

// isOwner reports whether a limiter is the owner or a backup owner.
func (a *Account) isOwner(limiter int) bool {
	for _, owner := range a.owners {
		if owner == limiter {
			return true
		}
	}
	return false
}

// advanceAccount advances a limiter's account to its clock, sets SlotsInUse to the number of its attempts, and
// returns the account.
func (s *slotTier) advanceAccount(i int) *Account {
	a := s.account(s.limiters[i])
	a.advance(s.clock(s.limiters[i]))
	a.SlotsInUse = s.inUse[i]
	return a
}

// totalInFlight returns the number of attempts in flight over all limiters.
func (s *slotTier) totalInFlight() int {
	sum := s.orphans
	for _, n := range s.inUse {
		sum += n
	}
	return sum
}

// traceState adds a line to the trace, with the slots of each limiter that has any or uses any, and updates
// maxInFlight.
func (s *slotTier) traceState(format string, args ...any) {
	s.maxInFlight = max(s.maxInFlight, s.totalInFlight())
	fmt.Fprintf(&s.trace, "%8.4f s  %-52s in flight %d:", s.now.Seconds(), fmt.Sprintf(format, args...), s.totalInFlight())
	for i := range s.limiters {
		a := s.advanceAccount(i)
		borrowed, lent := "", ""
		for _, lk := range a.links {
			if lk.borrowed.slots > 0 {
				borrowed += fmt.Sprintf(" %d from limiter %d until %.3f", lk.borrowed.slots, lk.peerID, s.trueSeconds(i, lk.borrowed.expiresAt))
			}
			for _, record := range lk.lent {
				lent += fmt.Sprintf(" %d to limiter %d until %.3f", record.slots, lk.peerID, s.trueSeconds(i, record.expiresAt))
			}
		}
		if s.inUse[i] > 0 || borrowed+lent != "" || a.baseSlots > 0 {
			fmt.Fprintf(&s.trace, " [limiter %d: slot limit %d, in use %d, borrowed{%s}, lent{%s}]", i, a.slotLimit(), s.inUse[i], borrowed, lent)
		}
	}
	s.trace.WriteString("\n")
}

// trueSeconds converts a time of limiter i's clock to the true time of the model, in seconds.
func (s *slotTier) trueSeconds(i int, at time.Duration) float64 {
	n := s.limiters[i]
	return float64(at-n.clockOffset) / n.clockRate / float64(time.Second)
}

// checkSlotLimit fails the test if more attempts were in flight at any moment than there are slots.
func (s *slotTier) checkSlotLimit() {
	if s.maxInFlight > s.plan.Slots {
		s.tb.Errorf("%d attempts in flight, want at most the %d slots\n%s", s.maxInFlight, s.plan.Slots, s.trace.String())
		return
	}
	s.tb.Logf("at most %d attempts in flight, %d slots\n%s", s.maxInFlight, s.plan.Slots, s.trace.String())
}

// tryAttempt starts an attempt at a limiter if the limiter grants it without exchanging messages.
func (s *slotTier) tryAttempt(i int) bool {
	a := s.advanceAccount(i)
	n := s.limiters[i]
	n.ledger.RecordDemand(a, s.units, s.clock(n))
	decision, _ := n.ledger.Reserve(a, s.units, false, s.clock(n))
	if decision != Granted {
		return false
	}
	a.MarkSent(s.units)
	s.inUse[i]++
	a.SlotsInUse = s.inUse[i]
	return true
}

// fill starts attempts at a limiter until the limiter grants no more without exchanging messages.
func (s *slotTier) fill(i int) {
	for s.tryAttempt(i) {
	}
	s.traceState("limiter %d starts all attempts that it grants", i)
}

// endAttempt ends an attempt at a limiter.
func (s *slotTier) endAttempt(i int) {
	s.inUse[i]--
	a := s.advanceAccount(i)
	s.limiters[i].ledger.ReleaseSlot(a, s.clock(s.limiters[i]))
	s.traceState("an attempt of limiter %d ends", i)
}

// compose returns a message from a limiter to another, which the caller delivers or drops.
func (s *slotTier) compose(from, to int) message {
	s.send(from, to)
	last := len(s.inFlight) - 1
	m := s.inFlight[last]
	s.inFlight = s.inFlight[:last]
	return m
}

// requestAndGrant delivers a message of limiter i to limiter j and one back, as a transfer request and its grant.
func (s *slotTier) requestAndGrant(i, j int) {
	s.deliver(s.compose(i, j))
	s.deliver(s.compose(j, i))
}

// startOnBorrowedSlot starts an attempt at a limiter on a slot that another limiter lends.
func (s *slotTier) startOnBorrowedSlot(i, lender int) {
	s.tb.Helper()
	if s.tryAttempt(i) {
		s.tb.Fatalf("limiter %d started an attempt without a loan, want it to need one\n%s", i, s.trace.String())
	}
	s.requestAndGrant(i, lender)
	if !s.tryAttempt(i) {
		s.tb.Fatalf("limiter %d was lent no slot\n%s", i, s.trace.String())
	}
	s.traceState("limiter %d starts an attempt on a slot of limiter %d", i, lender)
}

// borrow has the borrower use its own slots and one of the lender's.
func (s *slotTier) borrow() {
	s.tb.Helper()
	s.fill(s.borrower)
	s.startOnBorrowedSlot(s.borrower, s.lender)
}

// restart restarts a limiter. Its attempts end, or continue at the backends.
func (s *slotTier) restart(i int, attemptsContinue bool) {
	if attemptsContinue {
		s.orphans += s.inUse[i]
	}
	s.inUse[i] = 0
	s.start(i)
	s.traceState("limiter %d restarts", i)
}

// hotRestart has a successor process continue with a limiter's ledger.
func (s *slotTier) hotRestart(i int) {
	n := s.limiters[i]
	n.ledger = Restore(n.ledger.State(), n.ledger.Config)
	s.traceState("a successor of limiter %d takes over", i)
}

// checkAllSlotsRestored ends all attempts and checks that all slots can be used again.
func (s *slotTier) checkAllSlotsRestored() {
	s.tb.Helper()
	s.orphans = 0
	for i := range s.inUse {
		for s.inUse[i] > 0 {
			s.endAttempt(i)
		}
	}
	const steps = 100
	for range steps {
		s.advanceTime((2*LoanDuration + longestSlotAttempt) / steps)
		for i, n := range s.limiters {
			s.advanceAccount(i)
			n.ledger.Tick(s.clock(n))
		}
		s.exchangeRound(0)
	}
	sum := 0
	for i := range s.limiters {
		sum += s.advanceAccount(i).slotLimit()
	}
	if sum != s.plan.Slots {
		s.traceState("after all attempts and loans have ended")
		s.tb.Errorf("%d slots can be used, want %d\n%s", sum, s.plan.Slots, s.trace.String())
	}
}

// Guards against a lender that uses a slot again while the borrower's attempt continues past the loan.
func TestSlotInUsePastLoan(t *testing.T) {
	for _, delivery := range []struct {
		name                 string
		toLender, toBorrower bool
	}{{"messages in time", true, true}, {"all lost", false, false}, {"to the lender only", true, false}, {"to the borrower only", false, true}} {
		t.Run(delivery.name, func(t *testing.T) {
			forEachSetKind(t, func(s *slotTier) {
				s.borrow()
				for range 10 {
					s.advanceTime(300 * time.Millisecond)
					if m := s.compose(s.borrower, s.lender); delivery.toLender {
						s.deliver(m)
					}
					if m := s.compose(s.lender, s.borrower); delivery.toBorrower {
						s.deliver(m)
					}
				}
				s.traceState("after the loan")
				s.fill(s.lender)
				s.checkAllSlotsRestored()
			})
		})
	}
}

// Guards against a lender that uses a slot again before the loan ends, with no message lost.
func TestSlotInUseWithinLoan(t *testing.T) {
	forEachSetKind(t, func(s *slotTier) {
		s.borrow()
		s.advanceTime(1900 * time.Millisecond)
		s.requestAndGrant(s.borrower, s.lender)
		s.fill(s.lender)
		s.checkAllSlotsRestored()
	})
}

// Guards against loans that end early because a later transfer request of the borrower, for units alone, is granted
// without slots.
func TestUnitsGrantKeepsBorrowedSlots(t *testing.T) {
	for _, kind := range setKinds {
		t.Run(kind.name, func(t *testing.T) {
			s := newSlotTier(t, kind.limiters, Plan{Quota: Bucket{Rate: 50, Burst: 200}, Slots: 6})
			s.borrow()
			s.advanceTime(200 * time.Millisecond)
			s.tryAttempt(s.borrower)
			request := s.compose(s.borrower, s.lender)
			s.advanceTime(200 * time.Millisecond) // the request is slow, but arrives in time
			s.deliver(request)
			s.deliver(s.compose(s.lender, s.borrower))
			s.recordDemand(s.borrower, 1200)
			s.tryAttempt(s.borrower)
			s.traceState("limiter %d starts an attempt on a slot of limiter %d", s.borrower, s.lender)
			s.requestAndGrant(s.borrower, s.lender)
			s.traceState("units were requested and granted")
			s.advanceTime(200 * time.Millisecond)
			s.tryAttempt(s.borrower)
			s.requestAndGrant(s.borrower, s.lender)
			s.traceState("a further slot was requested")
			s.fill(s.lender)
			s.checkSlotLimit()
			s.checkAllSlotsRestored()
		})
	}
}

// recordDemand records requests of one unit that are rejected.
func (s *slotTier) recordDemand(i, requests int) {
	n := s.limiters[i]
	for range requests {
		n.ledger.RecordDemand(s.advanceAccount(i), 1, s.clock(n))
	}
}

// Guards against loans that end early because the lender has no further slot to lend when the borrower requests one.
func TestRefusedSlotKeepsBorrowedSlots(t *testing.T) {
	forEachSetKind(t, func(s *slotTier) {
		s.borrow()
		for range 2 {
			s.advanceTime(200 * time.Millisecond)
			s.startOnBorrowedSlot(s.borrower, s.lender)
		}
		s.fill(s.lender)
		for range 2 { // the borrower wants one more, which the lender does not have
			s.advanceTime(200 * time.Millisecond)
			s.tryAttempt(s.borrower)
			s.requestAndGrant(s.borrower, s.lender)
			s.traceState("a further slot was requested")
		}
		s.fill(s.lender)
		s.checkAllSlotsRestored()
	})
}

// Guards against a slot that is lost permanently, or used twice, when its grant is lost.
func TestSlotGrantLost(t *testing.T) {
	forEachSetKind(t, func(s *slotTier) {
		s.fill(s.borrower)
		s.tryAttempt(s.borrower)
		s.deliver(s.compose(s.borrower, s.lender))
		s.compose(s.lender, s.borrower)
		s.traceState("the grant is lost")
		s.fill(s.lender)
		s.advanceTime(600 * time.Millisecond)
		s.tryAttempt(s.borrower)
		s.requestAndGrant(s.borrower, s.lender)
		s.fill(s.borrower)
		s.fill(s.lender)
		s.checkAllSlotsRestored()
	})
}

// Guards against a slot used on both sides when its grant arrives after the borrower gave the request up.
func TestSlotGrantLate(t *testing.T) {
	for _, delay := range []time.Duration{transferTimeout - time.Millisecond, transferTimeout, LoanDuration + time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			forEachSetKind(t, func(s *slotTier) {
				s.fill(s.borrower)
				s.tryAttempt(s.borrower)
				s.deliver(s.compose(s.borrower, s.lender))
				grant := s.compose(s.lender, s.borrower)
				s.advanceTime(delay)
				s.fill(s.lender)
				s.deliver(grant)
				s.traceState("the grant arrives late")
				s.fill(s.borrower)
				s.fill(s.lender)
				s.checkAllSlotsRestored()
			})
		})
	}
}

// Guards against a slot counted twice when the grant is repeated, or the transfer request after it was granted and
// the grant accepted.
func TestSlotMessagesRepeated(t *testing.T) {
	forEachSetKind(t, func(s *slotTier) {
		s.fill(s.borrower)
		s.tryAttempt(s.borrower)
		request := s.compose(s.borrower, s.lender)
		s.deliver(request)
		s.advanceTime(80 * time.Millisecond)
		s.tryAttempt(s.borrower)
		repeatedRequest := s.compose(s.borrower, s.lender)
		grant := s.compose(s.lender, s.borrower)
		s.deliver(grant)
		s.deliver(grant)
		s.fill(s.borrower)
		s.deliver(repeatedRequest)
		s.deliver(s.compose(s.lender, s.borrower))
		s.deliver(grant)
		s.deliver(request)
		s.traceState("all messages were repeated")
		s.fill(s.borrower)
		s.fill(s.lender)
		s.checkAllSlotsRestored()
	})
}

// Guards against an older message, which reports fewer borrowed slots, that frees a slot borrowed since it was sent.
func TestOlderReturnAfterNewerBorrow(t *testing.T) {
	forEachSetKind(t, func(s *slotTier) {
		s.borrow()
		s.endAttempt(s.borrower)
		olderReturn := s.compose(s.borrower, s.lender) // reports no borrowed slots
		s.advanceTime(200 * time.Millisecond)
		s.fill(s.borrower)
		s.startOnBorrowedSlot(s.borrower, s.lender)
		s.deliver(olderReturn)
		s.traceState("the older return arrives")
		s.fill(s.lender)
		s.checkAllSlotsRestored()
	})
}

// Guards against a slot used on both sides when it is returned while a grant of a further slot, which still counts
// it, is in transit.
func TestReleaseWhileGrantInTransit(t *testing.T) {
	forEachSetKind(t, func(s *slotTier) {
		s.borrow()
		s.advanceTime(200 * time.Millisecond)
		s.tryAttempt(s.borrower)
		s.deliver(s.compose(s.borrower, s.lender))
		grant := s.compose(s.lender, s.borrower)
		s.endAttempt(s.borrower)
		s.deliver(s.compose(s.borrower, s.lender))
		s.traceState("the return arrives")
		s.fill(s.lender)
		s.deliver(grant)
		s.deliver(s.compose(s.lender, s.borrower))
		s.traceState("the grant arrives")
		s.fill(s.borrower)
		s.fill(s.lender)
		s.checkAllSlotsRestored()
	})
}

// Guards against a slot that is lost permanently when the message that returns it is lost.
func TestSlotReturnLost(t *testing.T) {
	forEachSetKind(t, func(s *slotTier) {
		s.borrow()
		s.endAttempt(s.borrower)
		s.compose(s.borrower, s.lender) // lost
		s.fill(s.lender)
		s.advanceTime(lenderLoanDuration)
		s.fill(s.lender)
		s.fill(s.borrower)
		s.checkAllSlotsRestored()
	})
}

// Guards against a lender or owner that, after a restart, no longer knows what it lent, while its own attempts have
// ended.
func TestLenderRestartsWithSlotLent(t *testing.T) {
	forEachSetKind(t, func(s *slotTier) {
		s.borrow()
		s.advanceTime(100 * time.Millisecond)
		s.restart(s.lender, false)
		s.fill(s.lender)
		s.exchangeRound(0)
		s.fill(s.lender)
		s.checkAllSlotsRestored()
	})
}

// Guards against a limiter that, after a restart, uses slots that its earlier attempts still use at the backends.
func TestLimiterRestartsWhileItsAttemptsGoOn(t *testing.T) {
	forEachSetKind(t, func(s *slotTier) {
		s.fill(s.borrower)
		s.fill(s.lender)
		s.restart(s.lender, true)
		s.fill(s.lender)
		s.exchangeRound(0)
		s.checkAllSlotsRestored()
	})
}

// Guards against a lender that takes a slot back at the first message of a borrower's new epoch, while the
// borrower's earlier attempts continue at the backends.
func TestBorrowerRestartsWhileItsAttemptsGoOn(t *testing.T) {
	forEachSetKind(t, func(s *slotTier) {
		s.borrow()
		s.restart(s.borrower, true)
		s.exchangeRound(0)
		s.traceState("the lender knows the new epoch")
		s.fill(s.lender)
		s.fill(s.borrower)
		s.tryAttempt(s.borrower)
		s.requestAndGrant(s.borrower, s.lender)
		s.fill(s.borrower)
		s.fill(s.lender)
		s.checkAllSlotsRestored()
	})
}

// Guards against a slot that stays lost after a borrower restarted and its attempts ended.
func TestBorrowerRestartsAndItsAttemptsEnd(t *testing.T) {
	forEachSetKind(t, func(s *slotTier) {
		s.borrow()
		s.restart(s.borrower, false)
		s.exchangeRound(0)
		s.fill(s.borrower)
		s.fill(s.lender)
		s.checkAllSlotsRestored()
	})
}

// Guards against a lender that, as soon as the loan ends, uses the slot of a borrower that died and does not come
// back, while its attempts continue.
func TestBorrowerDiesWhileItsAttemptsGoOn(t *testing.T) {
	forEachSetKind(t, func(s *slotTier) {
		s.borrow()
		s.orphans, s.inUse[s.borrower] = s.inUse[s.borrower], 0
		s.traceState("limiter %d dies", s.borrower)
		s.advanceTime(lenderLoanDuration)
		s.fill(s.lender)
	})
}

// Guards against an owner and a backup owner that both grant slots while no message passes between them.
func TestOwnerAndBackupOwnerCutApart(t *testing.T) {
	s := newSlotTier(t, SmallSetSize+1, Plan{Slots: 6})
	backup := s.advanceAccount(s.lender).owners[1]
	s.fill(backup)
	s.tryAttempt(backup) // a request without a reply, so that the owner counts as silent
	s.compose(backup, s.lender)
	s.advanceTime(600 * time.Millisecond)
	s.fill(s.lender)
	s.fill(backup)
	s.tryAttempt(s.borrower)
	s.compose(s.borrower, s.lender) // lost
	s.advanceTime(600 * time.Millisecond)
	s.tryAttempt(s.borrower)
	s.requestAndGrant(s.borrower, backup)
	s.fill(s.borrower)
	s.traceState("the backup owner was sent a request")
	s.checkSlotLimit()
	s.checkAllSlotsRestored()
}

// Guards against a backup owner that lends a slot borrowed from its owner for longer than its own loan.
func TestBackupOwnerLendsBorrowedSlotOn(t *testing.T) {
	s := newSlotTier(t, SmallSetSize+1, Plan{Slots: 6})
	backup := s.advanceAccount(s.lender).owners[1]
	s.tryAttempt(backup)
	s.requestAndGrant(backup, s.lender) // the client has left meanwhile
	s.traceState("limiter %d has a slot of limiter %d that it does not use", backup, s.lender)
	s.advanceTime(600 * time.Millisecond)
	s.tryAttempt(s.borrower)
	s.compose(s.borrower, s.lender) // lost
	s.advanceTime(600 * time.Millisecond)
	s.tryAttempt(s.borrower)
	s.requestAndGrant(s.borrower, backup)
	s.fill(s.borrower)
	s.advanceTime(lenderLoanDuration - 1200*time.Millisecond)
	s.traceState("the first loan has ended")
	s.fill(s.lender)
	s.checkSlotLimit()
	s.checkAllSlotsRestored()
}

// Guards against one slot lent to two borrowers.
func TestTwoBorrowersOneLender(t *testing.T) {
	for _, limiters := range []int{3, SmallSetSize + 1} {
		t.Run(fmt.Sprint(limiters), func(t *testing.T) {
			s := newSlotTier(t, limiters, Plan{Slots: 6})
			second := (s.borrower + 1) % limiters
			for second == s.lender || s.advanceAccount(s.lender).isOwner(second) {
				second = (second + 1) % limiters
			}
			s.fill(s.borrower)
			s.fill(second)
			for range 4 {
				s.tryAttempt(s.borrower)
				s.tryAttempt(second)
				s.deliver(s.compose(s.borrower, s.lender))
				s.deliver(s.compose(second, s.lender))
				s.fill(s.lender)
				s.deliver(s.compose(s.lender, s.borrower))
				s.deliver(s.compose(s.lender, second))
				s.fill(s.borrower)
				s.fill(second)
				s.advanceTime(200 * time.Millisecond)
			}
			s.checkSlotLimit()
			s.checkAllSlotsRestored()
		})
	}
}

// Guards against a borrowed slot that is lent on for longer than its own loan.
func TestBorrowedSlotLentOn(t *testing.T) {
	s := newSlotTier(t, 3, Plan{Slots: 6})
	first, middle, last := 0, 1, 2
	s.fill(middle)
	s.tryAttempt(middle)
	s.requestAndGrant(middle, first) // the client has left meanwhile
	s.traceState("limiter %d has a slot of limiter %d that it does not use", middle, first)
	s.fill(last)
	s.advanceTime(1200 * time.Millisecond)
	s.startOnBorrowedSlot(last, middle)
	s.advanceTime(lenderLoanDuration - 1200*time.Millisecond)
	s.traceState("the first loan has ended")
	s.fill(first)
	s.fill(middle)
	s.checkSlotLimit()
	s.checkAllSlotsRestored()
}

// Guards against a loan that lasts longer at the borrower than at the lender, with clocks at their bounds.
func TestSlotLoanWithClocksAtBounds(t *testing.T) {
	for _, transit := range []time.Duration{0, time.Millisecond} {
		t.Run(transit.String(), func(t *testing.T) {
			forEachSetKind(t, func(s *slotTier) {
				s.limiters[s.lender].clockOffset -= time.Duration(float64(s.now) * ClockDrift)
				s.limiters[s.lender].clockRate = 1 + ClockDrift
				s.limiters[s.borrower].clockOffset += time.Duration(float64(s.now) * ClockDrift)
				s.limiters[s.borrower].clockRate = 1 - ClockDrift
				s.fill(s.borrower)
				s.tryAttempt(s.borrower)
				m := s.compose(s.borrower, s.lender)
				lentAt := s.now
				s.advanceTime(transit)
				s.deliver(m)
				s.deliver(s.compose(s.lender, s.borrower))
				s.traceState("lent")
				s.advanceTime(lentAt + 2020*time.Millisecond - s.now) // of true time
				s.fill(s.borrower)
				s.fill(s.lender)
				s.checkAllSlotsRestored()
			})
		})
	}
}

// Guards against a successor that does not know of its predecessor's loans and attempts.
func TestSuccessorKeepsLoans(t *testing.T) {
	forEachSetKind(t, func(s *slotTier) {
		s.borrow()
		s.hotRestart(s.lender)
		s.fill(s.lender)
		s.hotRestart(s.borrower)
		s.fill(s.borrower)
		s.advanceTime(500 * time.Millisecond)
		s.requestAndGrant(s.borrower, s.lender)
		s.fill(s.lender)
		s.checkAllSlotsRestored()
	})
}

// Guards against a grant in transit during a hot restart of the borrower that is accepted by both processes or by
// none.
func TestSuccessorTakesGrantInTransit(t *testing.T) {
	forEachSetKind(t, func(s *slotTier) {
		s.fill(s.borrower)
		s.tryAttempt(s.borrower)
		s.deliver(s.compose(s.borrower, s.lender))
		grant := s.compose(s.lender, s.borrower)
		s.hotRestart(s.borrower)
		s.deliver(grant)
		s.fill(s.borrower)
		s.fill(s.lender)
		s.checkAllSlotsRestored()
	})
}

// Guards against a predecessor that continues in a new epoch, after its successor died, and no longer knows what it
// lent or borrowed while its attempts continue.
func TestPredecessorGoesOnInNewEpoch(t *testing.T) {
	for _, continuing := range []string{"lender", "borrower"} {
		t.Run(continuing, func(t *testing.T) {
			forEachSetKind(t, func(s *slotTier) {
				s.borrow()
				limiterInNewEpoch := s.lender
				if continuing == "borrower" {
					limiterInNewEpoch = s.borrower
				}
				s.start(limiterInNewEpoch) // its attempts still count, as with admission's renewEpoch
				s.exchangeRound(0)
				s.traceState("limiter %d continues in a new epoch", limiterInNewEpoch)
				s.fill(s.lender)
				s.checkAllSlotsRestored()
			})
		})
	}
}

// Guards against a number of lent slots that does not fit into its byte in a grant.
func TestManySlotsLent(t *testing.T) {
	s := newSlotTier(t, SmallSetSize+1, Plan{Slots: 300})
	for range 256 {
		if !s.tryAttempt(s.borrower) {
			s.requestAndGrant(s.borrower, s.lender)
			s.tryAttempt(s.borrower)
		}
	}
	s.traceState("borrowed one at a time")
	s.tryAttempt(s.borrower)
	s.requestAndGrant(s.borrower, s.lender)
	s.fill(s.lender)
	s.checkSlotLimit()
	s.checkAllSlotsRestored()
}
