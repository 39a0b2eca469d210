package quota

import (
	"testing"
	"time"

	"lemongate/internal/gossip"
)

// Guards against a limiter that takes the tier for new because the peers that had shown a tier in service have
// restarted since: its earlier attempts, and theirs, continue at the backends.
func TestPeerRestartsAfterLimiterRestarted(t *testing.T) {
	forEachSetKind(t, func(s *slotTier) { s.restartOneThenOthers(time.Second) })
}

// Guards against limiters that take the tier for new when all of them restart at once, while the backends are
// still working for the earlier processes.
func TestAllLimitersRestartAtOnce(t *testing.T) {
	forEachSetKind(t, func(s *slotTier) { s.restartOneThenOthers(0) })
}

// restartOneThenOthers restarts the lender, and some time later all others, while all slots are in use.
func (s *slotTier) restartOneThenOthers(between time.Duration) {
	s.borrow()
	s.fill(s.lender)
	s.restart(s.lender, true)
	s.exchangeRound(0)
	s.advanceTime(between)
	s.fill(s.lender)
	for i := range s.limiters {
		if i != s.lender {
			s.restart(i, true)
		}
	}
	s.exchangeRound(0)
	s.fill(s.lender)
	s.fill(s.borrower)
}

// Guards against a limiter that takes the tier for new because its peers have received no client request: all
// traffic came to this limiter alone, and its attempts continue at the backends.
func TestLimiterRestartsBesideIdlePeers(t *testing.T) {
	s := newSlotTier(t, 2, Plan{Slots: 6})
	s.servingAges = false // no limiter but this one was sent a request
	s.borrow()
	s.restart(s.borrower, true)
	s.exchangeRound(0)
	s.fill(s.borrower)
	s.checkSlotLimit()
}

// Guards against slots used twice for a customer whose set is one limiter, when that restarts: no peer of the set
// can show that it served before, but the messages of the rest of the tier do.
func TestLimiterOfSetOfOneRestarts(t *testing.T) {
	const now = time.Hour
	l := New(Config{
		Self: 0, Limiters: 3, GossipEnabled: true, Plans: []Plan{{Slots: 6}}, Epoch: 2, LongestAttempt: longestSlotAttempt,
	}, now)
	l.ObservePeer(1, 1, false, 40, 0, now) // it has served for ten seconds
	l.ObservePeer(2, 1, false, 40, 0, now)
	a := l.Account(7, 0, 0, 1, now)
	if decision, _ := l.Reserve(a, 1, true, now); decision == Granted {
		t.Error("a slot was granted at once after a restart in service, while attempts of the earlier epoch may be in flight")
	}
}

// Guards against a message that returns a slot and is not repeated while another slot stays borrowed.
func TestSlotReturnRepeatedBesideBorrowedSlot(t *testing.T) {
	s := newSlotTier(t, 3, Plan{Slots: 6})
	borrower, first, second := 0, 1, 2
	s.fill(borrower)
	s.startOnBorrowedSlot(borrower, first)
	s.advanceTime(200 * time.Millisecond)
	if s.tryAttempt(borrower) {
		t.Fatal("the borrower started an attempt without a loan, want it to need one")
	}
	s.requestAndGrant(borrower, second)
	if !s.tryAttempt(borrower) {
		t.Fatal("the second lender lent no slot")
	}
	s.traceState("a slot of each peer is in use")
	s.endAttempt(borrower)
	returned := first
	if s.advanceAccount(borrower).link(second).borrowed.slots == 0 {
		returned = second
	}
	s.compose(borrower, returned) // lost
	s.traceState("the return is lost")
	for range 10 {
		s.advanceTime(slotReturnInterval)
		n := s.limiters[borrower]
		s.advanceAccount(borrower)
		n.ledger.Tick(s.clock(n))
		s.deliver(s.compose(borrower, returned))
	}
	s.traceState("after ten intervals")
	if lent := s.advanceAccount(returned).link(borrower).lentSlots(); lent > 0 {
		t.Errorf("%d slots still lent to a limiter that returned them, want 0\n%s", lent, s.trace.String())
	}
}

// Guards against slots of two earlier epochs of a borrower that the lender takes back too early: the lender learns of
// each restart only by the new epoch, so the slots stay lent until no attempt can use them any more.
func TestBorrowerRestartsTwice(t *testing.T) {
	forEachSetKind(t, func(s *slotTier) {
		for range 2 {
			s.tryAttempt(s.borrower)
			s.fill(s.borrower)
			if !s.tryAttempt(s.borrower) {
				s.requestAndGrant(s.borrower, s.lender)
				s.tryAttempt(s.borrower)
			}
			s.restart(s.borrower, true)
			s.exchangeRound(0)
			s.advanceTime(200 * time.Millisecond)
		}
		s.fill(s.lender)
		s.fill(s.borrower)
		s.checkAllSlotsRestored()
	})
}

// Guards against a return that is sent with the nonce of a transfer request that the lender granted and that has
// timed out: the lender would treat it as a repetition of that request, and keep the slots lent.
func TestReturnAfterRequestTimedOut(t *testing.T) {
	forEachSetKind(t, func(s *slotTier) {
		s.borrow()
		s.advanceTime(200 * time.Millisecond)
		s.tryAttempt(s.borrower)
		s.deliver(s.compose(s.borrower, s.lender))
		s.compose(s.lender, s.borrower) // the grant is lost
		s.advanceTime(transferTimeout)
		s.endAttempt(s.borrower)
		s.deliver(s.compose(s.borrower, s.lender))
		s.traceState("the return arrives")
		if lent := s.advanceAccount(s.lender).link(s.borrower).lentSlots(); lent > 0 {
			s.tb.Errorf("%d slots still lent after they were returned, want 0\n%s", lent, s.trace.String())
		}
	})
}

// A successor keeps what earlier epochs of a borrower have borrowed.
func TestSuccessorKeepsWhatEarlierEpochsBorrowed(t *testing.T) {
	forEachSetKind(t, func(s *slotTier) {
		s.borrow()
		s.restart(s.borrower, true)
		s.exchangeRound(0)
		s.traceState("the lender knows the new epoch")
		s.hotRestart(s.lender)
		s.fill(s.lender)
		s.checkAllSlotsRestored()
	})
}

// A limiter that has found out that it restarted in service still knows so after a hot restart, before any further
// message.
func TestSuccessorKnowsThatPeersServedBefore(t *testing.T) {
	s := newSlotTier(t, 2, Plan{Slots: 6})
	s.fill(0)
	s.fill(1)
	s.restart(0, true)
	s.exchangeRound(0)
	s.hotRestart(0)
	s.fill(0)
	s.checkSlotLimit()
}

// The longest serving age that a message can carry shows a peer that served before this limiter started.
func TestLongestServingAgeShowsServiceBefore(t *testing.T) {
	l := New(Config{Self: 0, Limiters: 2, GossipEnabled: true, Plans: []Plan{{Slots: 6}}, Epoch: 1, LongestAttempt: time.Hour}, 0)
	now := 2 * time.Duration(gossip.ShuttingDownAge) * gossip.ServingAgeStep
	l.ObservePeer(1, 1, false, gossip.ShuttingDownAge-1, 0, now)
	a := l.Account(7, 0, 0, 2, now)
	if decision, _ := l.Reserve(a, 1, true, now); decision == Granted {
		t.Error("a slot was granted while attempts of the earlier epoch may be in flight")
	}
}

// Guards against a limiter that lends more slots than it has of its own, by lending a borrowed slot that no attempt
// uses any more: the slot's lender has it back before the last attempt on it can have ended.
func TestUnusedBorrowedSlotIsNotLentOn(t *testing.T) {
	s := newSlotTier(t, 3, Plan{Slots: 6})
	first, middle, last := 0, 1, 2
	s.fill(middle)
	s.tryAttempt(middle)
	s.requestAndGrant(middle, first)
	s.inUse[middle] = 0
	s.traceState("all attempts of limiter %d have ended, which its ledger does not know yet", middle)
	s.fill(last)
	s.advanceTime(time.Second)
	for range 3 {
		s.advanceTime(200 * time.Millisecond)
		s.tryAttempt(last)
		s.requestAndGrant(last, middle)
		s.fill(last)
	}
	s.advanceTime(1900 * time.Millisecond)
	s.traceState("the attempts of limiter %d have ended, and requests that waited took their slots", last)
	s.advanceTime(2700 * time.Millisecond)
	s.fill(first)
	s.checkSlotLimit()
}

// Guards against a return of slots that is sent only once: it can be lost.
func TestLostSlotReturnIsRepeated(t *testing.T) {
	forEachSetKind(t, func(s *slotTier) {
		s.borrow()
		s.endAttempt(s.borrower)
		s.compose(s.borrower, s.lender) // lost
		n := s.limiters[s.borrower]
		for range 3 {
			s.advanceTime(slotReturnInterval)
			s.advanceAccount(s.borrower)
			n.ledger.Tick(s.clock(n))
			s.deliver(s.compose(s.borrower, s.lender))
		}
		if lent := s.advanceAccount(s.lender).link(s.borrower).lentSlots(); lent > 0 {
			s.tb.Errorf("%d slots still lent after the return was due again, want 0\n%s", lent, s.trace.String())
		}
	})
}

// Guards against a lender with a fast clock that takes a slot back while the attempt of a borrower with a slow clock
// is in flight.
func TestLongestAttemptWithClocksAtBounds(t *testing.T) {
	forEachSetKind(t, func(s *slotTier) {
		fast, slow := s.limiters[s.lender], s.limiters[s.borrower]
		fast.clockOffset -= time.Duration(float64(s.now) * ClockDrift)
		fast.clockRate = 1 + ClockDrift
		slow.clockOffset += time.Duration(float64(s.now) * ClockDrift)
		slow.clockRate = 1 - ClockDrift
		s.borrow()
		s.advanceTime(time.Duration(float64(LoanDuration)/slow.clockRate) - time.Millisecond)
		s.traceState("a request that waited takes the slot")
		s.advanceTime(time.Duration(float64(longestSlotAttempt)/slow.clockRate) - time.Millisecond)
		s.fill(s.lender)
		s.checkAllSlotsRestored()
	})
}
