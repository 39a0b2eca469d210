package quota

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// slotTier is a tier with the attempts of a customer that has slots: those that a limiter counts, and those of
// limiters that ended while a backend still worked on them.
type slotTier struct {
	*tier

	tb       *testing.T
	units    float64 // of a request
	inUse    []int   // by limiter
	orphans  int     // attempts of ended limiters
	lender   int
	borrower int
	most     int // attempts in flight over all limiters, the most at any moment
	trace    strings.Builder
}

// longestSlotAttempt is the longest attempt of these tests.
const longestSlotAttempt = 4 * time.Second

// slotForm is one of the two ways in which a set holds slots.
type slotForm struct {
	name     string
	limiters int
}

var slotForms = []slotForm{{"small set", 2}, {"set with an owner", SmallSetSize + 1}}

// eachSlotForm runs an order of events in both forms of a set, with six slots.
func eachSlotForm(t *testing.T, order func(s *slotTier)) {
	for _, form := range slotForms {
		t.Run(form.name, func(t *testing.T) {
			s := newSlotTier(t, form.limiters, Plan{Slots: 6})
			order(s)
			s.report()
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
	s.pass(5 * time.Second)
	s.exchangeRound(0)
	s.borrower, s.lender = 0, 1
	if a := s.current(0); !a.isAllocated() {
		s.lender = a.owners[0]
		s.borrower = (s.lender + 1) % limiters
		for a.isHolder(s.borrower) {
			s.borrower = (s.borrower + 1) % limiters
		}
	}
	return s
}

// isHolder reports whether a limiter is the owner or a backup owner.
func (a *Account) isHolder(limiter int) bool {
	for _, owner := range a.owners {
		if owner == limiter {
			return true
		}
	}
	return false
}

// current is a limiter's account, brought up to its clock, with its attempts.
func (s *slotTier) current(i int) *Account {
	a := s.account(s.limiters[i])
	a.advance(s.clock(s.limiters[i]))
	a.SlotsInUse = s.inUse[i]
	return a
}

// inFlightOverAll is the attempts in flight over all limiters.
func (s *slotTier) inFlightOverAll() int {
	sum := s.orphans
	for _, n := range s.inUse {
		sum += n
	}
	return sum
}

// note adds a line to the trace, with the slots of each limiter that has something to show.
func (s *slotTier) note(format string, args ...any) {
	s.most = max(s.most, s.inFlightOverAll())
	fmt.Fprintf(&s.trace, "%8.4f s  %-52s in flight %d:", s.now.Seconds(), fmt.Sprintf(format, args...), s.inFlightOverAll())
	for i := range s.limiters {
		a := s.current(i)
		borrowed, lent := "", ""
		for _, lk := range a.links {
			if lk.borrowed.slots > 0 {
				borrowed += fmt.Sprintf(" %d of %d until %.3f", lk.borrowed.slots, lk.peerID, s.trueSeconds(i, lk.borrowed.expiresAt))
			}
			for _, record := range lk.lent {
				lent += fmt.Sprintf(" %d to %d until %.3f", record.slots, lk.peerID, s.trueSeconds(i, record.expiresAt))
			}
		}
		if s.inUse[i] > 0 || borrowed+lent != "" || a.baseSlots > 0 {
			fmt.Fprintf(&s.trace, " [%d: limit %d used %d borrowed{%s} lent{%s}]", i, a.slotLimit(), s.inUse[i], borrowed, lent)
		}
	}
	s.trace.WriteString("\n")
}

// trueSeconds is the true time of a limiter's clock time.
func (s *slotTier) trueSeconds(i int, at time.Duration) float64 {
	n := s.limiters[i]
	return float64(at-n.clockOffset) / n.clockRate / float64(time.Second)
}

// report fails where more attempts were in flight at a moment than there are slots.
func (s *slotTier) report() {
	if s.most > s.plan.Slots {
		s.tb.Errorf("%d attempts in flight, %d slots\n%s", s.most, s.plan.Slots, s.trace.String())
		return
	}
	s.tb.Logf("at most %d attempts in flight, %d slots\n%s", s.most, s.plan.Slots, s.trace.String())
}

// tryAttempt starts an attempt at a limiter if it grants one without a message.
func (s *slotTier) tryAttempt(i int) bool {
	a := s.current(i)
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

// fill starts attempts at a limiter until it grants no more without a message.
func (s *slotTier) fill(i int) {
	for s.tryAttempt(i) {
	}
	s.note("limiter %d starts all that it grants", i)
}

// finish ends an attempt.
func (s *slotTier) finish(i int) {
	s.inUse[i]--
	a := s.current(i)
	s.limiters[i].ledger.ReleaseSlot(a, s.clock(s.limiters[i]))
	s.note("an attempt of %d ends", i)
}

// post composes a message, which is in transit until it is delivered.
func (s *slotTier) post(from, to int) message {
	s.send(from, to)
	last := len(s.inFlight) - 1
	m := s.inFlight[last]
	s.inFlight = s.inFlight[:last]
	return m
}

// pair exchanges a request and its grant.
func (s *slotTier) pair(i, j int) {
	s.deliver(s.post(i, j))
	s.deliver(s.post(j, i))
}

// borrowTo starts an attempt at a limiter on a slot that another lends.
func (s *slotTier) borrowTo(i, from int) {
	s.tb.Helper()
	if s.tryAttempt(i) {
		s.tb.Fatalf("limiter %d needed no loan\n%s", i, s.trace.String())
	}
	s.pair(i, from)
	if !s.tryAttempt(i) {
		s.tb.Fatalf("limiter %d got no slot\n%s", i, s.trace.String())
	}
	s.note("limiter %d starts one on a slot of %d", i, from)
}

// borrow has the borrower use its own slots, and one of the lender.
func (s *slotTier) borrow() {
	s.tb.Helper()
	s.fill(s.borrower)
	s.borrowTo(s.borrower, s.lender)
}

// restart starts a limiter anew. Its attempts end, or go on at the backends.
func (s *slotTier) restart(i int, goOn bool) {
	if goOn {
		s.orphans += s.inUse[i]
	}
	s.inUse[i] = 0
	s.start(i)
	s.note("limiter %d restarts", i)
}

// takeOver has a second process go on with a limiter's ledger.
func (s *slotTier) takeOver(i int) {
	n := s.limiters[i]
	n.ledger = Restore(n.ledger.State(), n.ledger.Config)
	s.note("a successor of %d takes over", i)
}

// noSlotLost ends all attempts and checks that all slots can be used again.
func (s *slotTier) noSlotLost() {
	s.tb.Helper()
	s.orphans = 0
	for i := range s.inUse {
		for s.inUse[i] > 0 {
			s.finish(i)
		}
	}
	const steps = 100
	for range steps {
		s.pass((2*LoanDuration + longestSlotAttempt) / steps)
		for i, n := range s.limiters {
			s.current(i)
			n.ledger.Tick(s.clock(n))
		}
		s.exchangeRound(0)
	}
	sum := 0
	for i := range s.limiters {
		sum += s.current(i).slotLimit()
	}
	if sum != s.plan.Slots {
		s.note("after all has ended")
		s.tb.Errorf("%d slots are left of %d\n%s", sum, s.plan.Slots, s.trace.String())
	}
}

// Guards against a lender that uses a slot again while the borrower's attempt goes on past the loan.
func TestSlotInUsePastLoan(t *testing.T) {
	for _, links := range []struct {
		name             string
		toLender, toBack bool
	}{{"messages in time", true, true}, {"all lost", false, false}, {"to the lender only", true, false}, {"to the borrower only", false, true}} {
		t.Run(links.name, func(t *testing.T) {
			eachSlotForm(t, func(s *slotTier) {
				s.borrow()
				for range 10 {
					s.pass(300 * time.Millisecond)
					if m := s.post(s.borrower, s.lender); links.toLender {
						s.deliver(m)
					}
					if m := s.post(s.lender, s.borrower); links.toBack {
						s.deliver(m)
					}
				}
				s.note("after the loan")
				s.fill(s.lender)
				s.noSlotLost()
			})
		})
	}
}

// Guards against a lender that uses a slot again before the loan ends, with no message lost.
func TestSlotInUseWithinLoan(t *testing.T) {
	eachSlotForm(t, func(s *slotTier) {
		s.borrow()
		s.pass(1900 * time.Millisecond)
		s.pair(s.borrower, s.lender)
		s.fill(s.lender)
		s.noSlotLost()
	})
}

// Guards against loans that end early because a later request of the borrower, for units alone, is granted with no
// slots.
func TestUnitsGrantKeepsBorrowedSlots(t *testing.T) {
	for _, form := range slotForms {
		t.Run(form.name, func(t *testing.T) {
			s := newSlotTier(t, form.limiters, Plan{Quota: Bucket{Rate: 50, Burst: 200}, Slots: 6})
			s.borrow()
			s.pass(200 * time.Millisecond)
			s.tryAttempt(s.borrower)
			request := s.post(s.borrower, s.lender)
			s.pass(200 * time.Millisecond) // the request is slow, but in time
			s.deliver(request)
			s.deliver(s.post(s.lender, s.borrower))
			s.recordRejected(s.borrower, 1200)
			s.tryAttempt(s.borrower)
			s.note("limiter %d starts one on a slot of %d", s.borrower, s.lender)
			s.pair(s.borrower, s.lender)
			s.note("units were requested and granted")
			s.pass(200 * time.Millisecond)
			s.tryAttempt(s.borrower)
			s.pair(s.borrower, s.lender)
			s.note("a further slot was requested")
			s.fill(s.lender)
			s.report()
			s.noSlotLost()
		})
	}
}

// recordRejected has requests of one unit come that are rejected.
func (s *slotTier) recordRejected(i, requests int) {
	n := s.limiters[i]
	for range requests {
		n.ledger.RecordDemand(s.current(i), 1, s.clock(n))
	}
}

// Guards against loans that end early because the lender has no further slot to lend when the borrower asks.
func TestRefusedSlotKeepsBorrowedSlots(t *testing.T) {
	eachSlotForm(t, func(s *slotTier) {
		s.borrow()
		for range 2 {
			s.pass(200 * time.Millisecond)
			s.borrowTo(s.borrower, s.lender)
		}
		s.fill(s.lender)
		for range 2 { // wants one more, which the lender does not have
			s.pass(200 * time.Millisecond)
			s.tryAttempt(s.borrower)
			s.pair(s.borrower, s.lender)
			s.note("a further slot was requested")
		}
		s.fill(s.lender)
		s.noSlotLost()
	})
}

// Guards against a slot that is lost for good, or used twice, where its grant is lost.
func TestSlotGrantLost(t *testing.T) {
	eachSlotForm(t, func(s *slotTier) {
		s.fill(s.borrower)
		s.tryAttempt(s.borrower)
		s.deliver(s.post(s.borrower, s.lender))
		s.post(s.lender, s.borrower)
		s.note("the grant is lost")
		s.fill(s.lender)
		s.pass(600 * time.Millisecond)
		s.tryAttempt(s.borrower)
		s.pair(s.borrower, s.lender)
		s.fill(s.borrower)
		s.fill(s.lender)
		s.noSlotLost()
	})
}

// Guards against a slot used on both sides where its grant comes after the borrower gave the request up.
func TestSlotGrantLate(t *testing.T) {
	for _, late := range []time.Duration{transferTimeout - time.Millisecond, transferTimeout, LoanDuration + time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			eachSlotForm(t, func(s *slotTier) {
				s.fill(s.borrower)
				s.tryAttempt(s.borrower)
				s.deliver(s.post(s.borrower, s.lender))
				grant := s.post(s.lender, s.borrower)
				s.pass(late)
				s.fill(s.lender)
				s.deliver(grant)
				s.note("the grant comes late")
				s.fill(s.borrower)
				s.fill(s.lender)
				s.noSlotLost()
			})
		})
	}
}

// Guards against a slot counted twice where the grant, or the request after it was granted and accepted, is
// repeated.
func TestSlotMessagesRepeated(t *testing.T) {
	eachSlotForm(t, func(s *slotTier) {
		s.fill(s.borrower)
		s.tryAttempt(s.borrower)
		first := s.post(s.borrower, s.lender)
		s.deliver(first)
		s.pass(80 * time.Millisecond)
		s.tryAttempt(s.borrower)
		again := s.post(s.borrower, s.lender)
		grant := s.post(s.lender, s.borrower)
		s.deliver(grant)
		s.deliver(grant)
		s.fill(s.borrower)
		s.deliver(again)
		s.deliver(s.post(s.lender, s.borrower))
		s.deliver(grant)
		s.deliver(first)
		s.note("all came again")
		s.fill(s.borrower)
		s.fill(s.lender)
		s.noSlotLost()
	})
}

// Guards against an older message, with fewer slots held, that frees a slot borrowed since.
func TestOlderReturnAfterNewerBorrow(t *testing.T) {
	eachSlotForm(t, func(s *slotTier) {
		s.borrow()
		s.finish(s.borrower)
		older := s.post(s.borrower, s.lender) // holds none
		s.pass(200 * time.Millisecond)
		s.fill(s.borrower)
		s.borrowTo(s.borrower, s.lender)
		s.deliver(older)
		s.note("the older return comes")
		s.fill(s.lender)
		s.noSlotLost()
	})
}

// Guards against a slot given back while a grant of a further one is in transit that counts it still.
func TestReleaseWhileGrantInTransit(t *testing.T) {
	eachSlotForm(t, func(s *slotTier) {
		s.borrow()
		s.pass(200 * time.Millisecond)
		s.tryAttempt(s.borrower)
		s.deliver(s.post(s.borrower, s.lender))
		grant := s.post(s.lender, s.borrower)
		s.finish(s.borrower)
		s.deliver(s.post(s.borrower, s.lender))
		s.note("the return comes")
		s.fill(s.lender)
		s.deliver(grant)
		s.deliver(s.post(s.lender, s.borrower))
		s.note("the grant comes")
		s.fill(s.borrower)
		s.fill(s.lender)
		s.noSlotLost()
	})
}

// Guards against a slot that is lost for good where its return is lost.
func TestSlotReturnLost(t *testing.T) {
	eachSlotForm(t, func(s *slotTier) {
		s.borrow()
		s.finish(s.borrower)
		s.post(s.borrower, s.lender)
		s.fill(s.lender)
		s.pass(lenderLoanDuration)
		s.fill(s.lender)
		s.fill(s.borrower)
		s.noSlotLost()
	})
}

// Guards against a lender or owner that forgets at a restart what it lent, while its own attempts have ended.
func TestLenderRestartsWithSlotLent(t *testing.T) {
	eachSlotForm(t, func(s *slotTier) {
		s.borrow()
		s.pass(100 * time.Millisecond)
		s.restart(s.lender, false)
		s.fill(s.lender)
		s.exchangeRound(0)
		s.fill(s.lender)
		s.noSlotLost()
	})
}

// Guards against a limiter that, when it restarts, uses slots that its attempts before still use at the backends.
func TestLimiterRestartsWhileItsAttemptsGoOn(t *testing.T) {
	eachSlotForm(t, func(s *slotTier) {
		s.fill(s.borrower)
		s.fill(s.lender)
		s.restart(s.lender, true)
		s.fill(s.lender)
		s.exchangeRound(0)
		s.noSlotLost()
	})
}

// Guards against the slot of a borrower that restarted: its attempts go on at the backends, and the lender takes
// the slot back at the first message of the new epoch.
func TestBorrowerRestartsWhileItsAttemptsGoOn(t *testing.T) {
	eachSlotForm(t, func(s *slotTier) {
		s.borrow()
		s.restart(s.borrower, true)
		s.exchangeRound(0)
		s.note("the lender knows the new epoch")
		s.fill(s.lender)
		s.fill(s.borrower)
		s.tryAttempt(s.borrower)
		s.pair(s.borrower, s.lender)
		s.fill(s.borrower)
		s.fill(s.lender)
		s.noSlotLost()
	})
}

// Guards against a slot that stays lost where a borrower restarts and its attempts have ended.
func TestBorrowerRestartsAndItsAttemptsEnd(t *testing.T) {
	eachSlotForm(t, func(s *slotTier) {
		s.borrow()
		s.restart(s.borrower, false)
		s.exchangeRound(0)
		s.fill(s.borrower)
		s.fill(s.lender)
		s.noSlotLost()
	})
}

// Guards against the slot of a borrower that died and never comes back: the lender uses it after the loan.
func TestBorrowerDiesWhileItsAttemptsGoOn(t *testing.T) {
	eachSlotForm(t, func(s *slotTier) {
		s.borrow()
		s.orphans, s.inUse[s.borrower] = s.inUse[s.borrower], 0
		s.note("limiter %d dies", s.borrower)
		s.pass(lenderLoanDuration)
		s.fill(s.lender)
	})
}

// Guards against an owner and a backup owner that both give slots out while they are cut apart.
func TestOwnerAndBackupOwnerCutApart(t *testing.T) {
	s := newSlotTier(t, SmallSetSize+1, Plan{Slots: 6})
	backup := s.current(s.lender).owners[1]
	s.fill(backup)
	s.tryAttempt(backup) // a request without a reply, so that the owner counts as silent
	s.post(backup, s.lender)
	s.pass(600 * time.Millisecond)
	s.fill(s.lender)
	s.fill(backup)
	s.tryAttempt(s.borrower)
	s.post(s.borrower, s.lender)
	s.pass(600 * time.Millisecond)
	s.tryAttempt(s.borrower)
	s.pair(s.borrower, backup)
	s.fill(s.borrower)
	s.note("the backup owner was asked")
	s.report()
	s.noSlotLost()
}

// Guards against a backup owner that lends on what its owner lent it for longer than its own loan.
func TestBackupOwnerLendsBorrowedSlotOn(t *testing.T) {
	s := newSlotTier(t, SmallSetSize+1, Plan{Slots: 6})
	backup := s.current(s.lender).owners[1]
	s.tryAttempt(backup)
	s.pair(backup, s.lender) // its client has left meanwhile
	s.note("limiter %d has a slot of %d that it does not use", backup, s.lender)
	s.pass(600 * time.Millisecond)
	s.tryAttempt(s.borrower)
	s.post(s.borrower, s.lender)
	s.pass(600 * time.Millisecond)
	s.tryAttempt(s.borrower)
	s.pair(s.borrower, backup)
	s.fill(s.borrower)
	s.pass(lenderLoanDuration - 1200*time.Millisecond)
	s.note("the first loan has ended")
	s.fill(s.lender)
	s.report()
	s.noSlotLost()
}

// Guards against one slot lent to two borrowers.
func TestTwoBorrowersOneLender(t *testing.T) {
	for _, limiters := range []int{3, SmallSetSize + 1} {
		t.Run(fmt.Sprint(limiters), func(t *testing.T) {
			s := newSlotTier(t, limiters, Plan{Slots: 6})
			second := (s.borrower + 1) % limiters
			for second == s.lender || s.current(s.lender).isHolder(second) {
				second = (second + 1) % limiters
			}
			s.fill(s.borrower)
			s.fill(second)
			for range 4 {
				s.tryAttempt(s.borrower)
				s.tryAttempt(second)
				s.deliver(s.post(s.borrower, s.lender))
				s.deliver(s.post(second, s.lender))
				s.fill(s.lender)
				s.deliver(s.post(s.lender, s.borrower))
				s.deliver(s.post(s.lender, second))
				s.fill(s.borrower)
				s.fill(second)
				s.pass(200 * time.Millisecond)
			}
			s.report()
			s.noSlotLost()
		})
	}
}

// Guards against a borrowed slot that is lent on for longer than its own loan.
func TestBorrowedSlotLentOn(t *testing.T) {
	s := newSlotTier(t, 3, Plan{Slots: 6})
	first, middle, last := 0, 1, 2
	s.fill(middle)
	s.tryAttempt(middle)
	s.pair(middle, first) // its client has left meanwhile
	s.note("limiter %d has a slot of %d that it does not use", middle, first)
	s.fill(last)
	s.pass(1200 * time.Millisecond)
	s.borrowTo(last, middle)
	s.pass(lenderLoanDuration - 1200*time.Millisecond)
	s.note("the first loan has ended")
	s.fill(first)
	s.fill(middle)
	s.report()
	s.noSlotLost()
}

// Guards against a loan that lasts longer at the borrower than at the lender, with clocks at their bounds.
func TestSlotLoanWithClocksAtBounds(t *testing.T) {
	for _, transit := range []time.Duration{0, time.Millisecond} {
		t.Run(transit.String(), func(t *testing.T) {
			eachSlotForm(t, func(s *slotTier) {
				s.limiters[s.lender].clockOffset -= time.Duration(float64(s.now) * ClockDrift)
				s.limiters[s.lender].clockRate = 1 + ClockDrift
				s.limiters[s.borrower].clockOffset += time.Duration(float64(s.now) * ClockDrift)
				s.limiters[s.borrower].clockRate = 1 - ClockDrift
				s.fill(s.borrower)
				s.tryAttempt(s.borrower)
				m := s.post(s.borrower, s.lender)
				lentAt := s.now
				s.pass(transit)
				s.deliver(m)
				s.deliver(s.post(s.lender, s.borrower))
				s.note("lent")
				s.pass(lentAt + 2020*time.Millisecond - s.now) // of true time
				s.fill(s.borrower)
				s.fill(s.lender)
				s.noSlotLost()
			})
		})
	}
}

// Guards against loans and attempts that a successor does not know of.
func TestSuccessorKeepsLoans(t *testing.T) {
	eachSlotForm(t, func(s *slotTier) {
		s.borrow()
		s.takeOver(s.lender)
		s.fill(s.lender)
		s.takeOver(s.borrower)
		s.fill(s.borrower)
		s.pass(500 * time.Millisecond)
		s.pair(s.borrower, s.lender)
		s.fill(s.lender)
		s.noSlotLost()
	})
}

// Guards against a grant in transit over a take-over of the borrower, which is then accepted by both processes
// or by none.
func TestSuccessorTakesGrantInTransit(t *testing.T) {
	eachSlotForm(t, func(s *slotTier) {
		s.fill(s.borrower)
		s.tryAttempt(s.borrower)
		s.deliver(s.post(s.borrower, s.lender))
		grant := s.post(s.lender, s.borrower)
		s.takeOver(s.borrower)
		s.deliver(grant)
		s.fill(s.borrower)
		s.fill(s.lender)
		s.noSlotLost()
	})
}

// Guards against a predecessor that goes on in a new epoch, after its successor died, and forgets what it lent
// or borrowed while its attempts go on.
func TestPredecessorGoesOnInNewEpoch(t *testing.T) {
	for _, at := range []string{"lender", "borrower"} {
		t.Run(at, func(t *testing.T) {
			eachSlotForm(t, func(s *slotTier) {
				s.borrow()
				renewed := s.lender
				if at == "borrower" {
					renewed = s.borrower
				}
				s.start(renewed) // its attempts still count, as admission's renewEpoch has it
				s.exchangeRound(0)
				s.note("limiter %d goes on in a new epoch", renewed)
				s.fill(s.lender)
				s.noSlotLost()
			})
		})
	}
}

// Guards against a number of lent slots that does not fit its byte in a grant.
func TestManySlotsLent(t *testing.T) {
	s := newSlotTier(t, SmallSetSize+1, Plan{Slots: 300})
	for range 256 {
		if !s.tryAttempt(s.borrower) {
			s.pair(s.borrower, s.lender)
			s.tryAttempt(s.borrower)
		}
	}
	s.note("borrowed one at a time")
	s.tryAttempt(s.borrower)
	s.pair(s.borrower, s.lender)
	s.fill(s.lender)
	s.report()
	s.noSlotLost()
}
