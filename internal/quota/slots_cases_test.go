package quota

import (
	"testing"
	"time"

	"lemongate/internal/gossip"
)

// Guards against a limiter that takes itself for new because the peers that showed it a tier in service have
// restarted since: its attempts before, and theirs, go on at the backends.
func TestPeerRestartsAfterLimiterRestarted(t *testing.T) {
	eachSlotForm(t, func(s *slotTier) { s.restartOneThenOthers(time.Second) })
}

// Guards against limiters that take themselves for new where all of a tier restart at one moment, and the backends
// are still at work for the processes before.
func TestAllLimitersRestartAtOnce(t *testing.T) {
	eachSlotForm(t, func(s *slotTier) { s.restartOneThenOthers(0) })
}

// restartOneThenOthers restarts the lender, and after some time all others, while all slots are in use.
func (s *slotTier) restartOneThenOthers(between time.Duration) {
	s.borrow()
	s.fill(s.lender)
	s.restart(s.lender, true)
	s.exchangeRound(0)
	s.pass(between)
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

// Guards against a limiter that takes itself for new because its peers have had no request of a client: all of
// the traffic came to it alone, and its attempts go on at the backends.
func TestLimiterRestartsBesideIdlePeers(t *testing.T) {
	s := newSlotTier(t, 2, Plan{Slots: 6})
	s.servingAges = false // no limiter but this one was sent a request
	s.borrow()
	s.restart(s.borrower, true)
	s.exchangeRound(0)
	s.fill(s.borrower)
	s.report()
}

// Guards against slots used twice for a customer that one limiter serves, whose set has no peer to tell a restart:
// the messages of the rest of the tier do.
func TestLimiterOfSetOfOneRestarts(t *testing.T) {
	const now = time.Hour
	l := New(Config{
		Self: 0, Limiters: 3, Gossips: true, Plans: []Plan{{Slots: 6}}, Epoch: 2, LongestAttempt: longestSlotAttempt,
	}, now)
	l.ObservePeer(1, 1, false, 40, 0, now) // it has served for ten seconds
	l.ObservePeer(2, 1, false, 40, 0, now)
	a := l.Account(7, 0, 0, 1, now)
	if decision, _ := l.Reserve(a, 1, true, now); decision == Granted {
		t.Error("a slot was granted at once after a restart in service, while attempts of the earlier epoch may be in flight")
	}
}

// Guards against the message that gives a slot back not being repeated while another slot stays borrowed.
func TestSlotReturnRepeatedBesideBorrowedSlot(t *testing.T) {
	s := newSlotTier(t, 3, Plan{Slots: 6})
	borrower, first, second := 0, 1, 2
	s.fill(borrower)
	s.borrowTo(borrower, first)
	s.pass(200 * time.Millisecond)
	if s.tryAttempt(borrower) {
		t.Fatal("no loan was needed")
	}
	s.pair(borrower, second)
	if !s.tryAttempt(borrower) {
		t.Fatal("no slot was lent")
	}
	s.note("a slot of each peer is in use")
	s.finish(borrower)
	returned := first
	if s.current(borrower).link(second).borrowed.slots == 0 {
		returned = second
	}
	s.post(borrower, returned) // lost
	s.note("the return is lost")
	for range 10 {
		s.pass(slotReturnInterval)
		n := s.limiters[borrower]
		s.current(borrower)
		n.ledger.Tick(s.clock(n))
		s.deliver(s.post(borrower, returned))
	}
	s.note("after ten intervals")
	if lent := s.current(returned).link(borrower).lentSlots(); lent > 0 {
		t.Errorf("%d slots still lent to a limiter that returned them a second ago\n%s", lent, s.trace.String())
	}
}

// A borrower's later start is known by its epoch alone, so what two earlier epochs borrowed stays out until its time.
func TestBorrowerRestartsTwice(t *testing.T) {
	eachSlotForm(t, func(s *slotTier) {
		for range 2 {
			s.tryAttempt(s.borrower)
			s.fill(s.borrower)
			if !s.tryAttempt(s.borrower) {
				s.pair(s.borrower, s.lender)
				s.tryAttempt(s.borrower)
			}
			s.restart(s.borrower, true)
			s.exchangeRound(0)
			s.pass(200 * time.Millisecond)
		}
		s.fill(s.lender)
		s.fill(s.borrower)
		s.noSlotLost()
	})
}

// Guards against a return that is sent under the nonce of a request which the lender granted and whose time is over:
// the lender would take it for that request again, and keep the slots out.
func TestReturnAfterRequestTimedOut(t *testing.T) {
	eachSlotForm(t, func(s *slotTier) {
		s.borrow()
		s.pass(200 * time.Millisecond)
		s.tryAttempt(s.borrower)
		s.deliver(s.post(s.borrower, s.lender))
		s.post(s.lender, s.borrower) // the grant is lost
		s.pass(transferTimeout)
		s.finish(s.borrower)
		s.deliver(s.post(s.borrower, s.lender))
		s.note("the return comes")
		if lent := s.current(s.lender).link(s.borrower).lentSlots(); lent > 0 {
			s.tb.Errorf("%d slots still lent after they were returned\n%s", lent, s.trace.String())
		}
	})
}

// A successor repeats the messages that give back slots, and keeps what earlier epochs of a borrower have.
func TestSuccessorKeepsWhatEarlierEpochsBorrowed(t *testing.T) {
	eachSlotForm(t, func(s *slotTier) {
		s.borrow()
		s.restart(s.borrower, true)
		s.exchangeRound(0)
		s.note("the lender knows the new epoch")
		s.takeOver(s.lender)
		s.fill(s.lender)
		s.noSlotLost()
	})
}

// A limiter that knows that it restarted in service still knows after a hot restart, before any further message.
func TestSuccessorKnowsThatPeersServedBefore(t *testing.T) {
	s := newSlotTier(t, 2, Plan{Slots: 6})
	s.fill(0)
	s.fill(1)
	s.restart(0, true)
	s.exchangeRound(0)
	s.takeOver(0)
	s.fill(0)
	s.report()
}

// A serving age that a message cannot tell in full shows a peer that served before.
func TestLongestServingAgeShowsServiceBefore(t *testing.T) {
	l := New(Config{Self: 0, Limiters: 2, Gossips: true, Plans: []Plan{{Slots: 6}}, Epoch: 1, LongestAttempt: time.Hour}, 0)
	now := 2 * time.Duration(gossip.LeavingAge) * gossip.ServingAgeStep
	l.ObservePeer(1, 1, false, gossip.LeavingAge-1, 0, now)
	a := l.Account(7, 0, 0, 2, now)
	if decision, _ := l.Reserve(a, 1, true, now); decision == Granted {
		t.Error("a slot was granted while attempts of the earlier epoch may be in flight")
	}
}

// Guards against a limiter that lends more slots than it has of its own, out of one that it has borrowed and that no
// attempt takes any more: its lender has the slot back before the last attempt on it can have ended.
func TestUnusedBorrowedSlotIsNotLentOn(t *testing.T) {
	s := newSlotTier(t, 3, Plan{Slots: 6})
	first, middle, last := 0, 1, 2
	s.fill(middle)
	s.tryAttempt(middle)
	s.pair(middle, first)
	s.inUse[middle] = 0
	s.note("all attempts of %d have ended, which it was not told yet", middle)
	s.fill(last)
	s.pass(time.Second)
	for range 3 {
		s.pass(200 * time.Millisecond)
		s.tryAttempt(last)
		s.pair(last, middle)
		s.fill(last)
	}
	s.pass(1900 * time.Millisecond)
	s.note("the attempts of %d have ended, and requests that waited took their slots", last)
	s.pass(2700 * time.Millisecond)
	s.fill(first)
	s.report()
}

// Guards against a return that is sent once only: nothing acknowledges it.
func TestLostSlotReturnIsRepeated(t *testing.T) {
	eachSlotForm(t, func(s *slotTier) {
		s.borrow()
		s.finish(s.borrower)
		s.post(s.borrower, s.lender) // lost
		n := s.limiters[s.borrower]
		for range 3 {
			s.pass(slotReturnInterval)
			s.current(s.borrower)
			n.ledger.Tick(s.clock(n))
			s.deliver(s.post(s.borrower, s.lender))
		}
		if lent := s.current(s.lender).link(s.borrower).lentSlots(); lent > 0 {
			s.tb.Errorf("%d slots still lent after the return was due again\n%s", lent, s.trace.String())
		}
	})
}

// Guards against a lender whose clock is fast and takes a slot back while the attempt of a borrower whose clock is slow
// is in flight.
func TestLongestAttemptWithClocksAtBounds(t *testing.T) {
	eachSlotForm(t, func(s *slotTier) {
		fast, slow := s.limiters[s.lender], s.limiters[s.borrower]
		fast.clockOffset -= time.Duration(float64(s.now) * ClockDrift)
		fast.clockRate = 1 + ClockDrift
		slow.clockOffset += time.Duration(float64(s.now) * ClockDrift)
		slow.clockRate = 1 - ClockDrift
		s.borrow()
		s.pass(time.Duration(float64(LoanDuration)/slow.clockRate) - time.Millisecond)
		s.note("a request that waited takes the slot")
		s.pass(time.Duration(float64(longestSlotAttempt)/slow.clockRate) - time.Millisecond)
		s.fill(s.lender)
		s.noSlotLost()
	})
}
