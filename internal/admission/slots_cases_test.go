package admission

import (
	"testing"
	"time"
)

// newSlotLimiterWithoutPeers returns the only limiter of a tier, which has both slots of its customers.
func newSlotLimiterWithoutPeers(t *testing.T) *slotLimiter {
	settings := testSettings()
	settings.Limiters, settings.GossipEnabled = 1, false
	return newSlotLimiter(t, settings, "a", "b", "c")
}

// adoptedRequest returns a request of a predecessor, of the same customer as those of slotLimiter.start.
func adoptedRequest(id RequestID) Request {
	return Request{ID: id, Class: "read", Plan: "concurrent", Customer: "x", Units: 1, SetSize: 2}
}

// Guards against a retry of a predecessor without a slot: the predecessor reports the end of the first attempt before
// the start of the second, and the successor gives the slot to its next request.
func TestPredecessorRetryKeepsItsSlot(t *testing.T) {
	s := newSlotLimiterWithoutPeers(t)
	s.handle(&AttemptAdopted{Request: adoptedRequest(1000), Backend: "a"})
	s.start()
	s.start() // waits, or is rejected, as no slot is free
	s.handle(&AttemptFinished{Request: 1000, Backend: "a", Result: Unreachable, Final: true})
	s.collectActions()
	s.start()
	s.handle(&AttemptAdopted{Request: adoptedRequest(1000), Attempt: 1, Backend: "b"})
	s.collectActions()
	if inFlight := len(s.inFlight) + 1; inFlight > 2 {
		t.Errorf("%d attempts in flight, want at most 2, one per slot", inFlight)
	}
}

// Guards against a successor that does not count the slot of a retry that waits at the predecessor during the handover.
func TestPredecessorRetryThatWaitsAtTheHandover(t *testing.T) {
	predecessor := newSlotLimiterWithoutPeers(t)
	first := predecessor.start()
	predecessor.handle(&EndpointList{Kind: ListCached})
	predecessor.end(first, ConnectFailed) // its retry waits for a backend
	data, err := predecessor.ctl.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	resumed, err := Resume(predecessor.ctl.settings, 9, data)
	if err != nil {
		t.Fatal(err)
	}
	successor := &slotLimiter{fixture: &fixture{t: t, ctl: resumed, now: predecessor.now, nextID: 1 << 32}, inFlight: map[RequestID]StartAttempt{}}
	successor.handle(TimerFired{})
	list := &EndpointList{Kind: ListCached, Backends: backendList("b", "c")}
	successor.handle(list)
	successor.start()
	successor.start()
	predecessor.handle(list)
	predecessor.collectActions()
	for _, attempt := range predecessor.inFlight {
		successor.handle(&AttemptAdopted{Request: adoptedRequest(first), Attempt: 1, Backend: attempt.Backend})
	}
	successor.collectActions()
	if inFlight := len(predecessor.inFlight) + len(successor.inFlight); inFlight > 2 {
		t.Errorf("%d attempts in flight, want at most 2, one per slot", inFlight)
	}
}

// Guards against counting the slots of a customer for another customer whose name has the same hash.
func TestCustomersWithEqualHashesShareNoCount(t *testing.T) {
	const one, other = "costarring", "liquid"
	if hashOf(one) != hashOf(other) {
		t.Fatal("the names have different hashes, want equal ones")
	}
	s := newSlotLimiterWithoutPeers(t)
	start := func(customer string) RequestID {
		id := s.request("read", "concurrent", customer)
		s.collectActions()
		return id
	}
	start(one)
	requestOfOther := start(other)
	start(one)
	s.end(requestOfOther, Succeeded)
	start(one)
	start(one)
	if inFlight := len(s.inFlight); inFlight > 2 {
		t.Errorf("one customer has %d attempts in flight, want at most 2, one per slot", inFlight)
	}
}

// Guards against an attempt of a predecessor that has no slot because its backend is not in the endpoint list here.
func TestAdoptedAttemptAtUnknownBackendHasASlot(t *testing.T) {
	s := newSlotLimiterWithoutPeers(t)
	s.handle(&AttemptAdopted{Request: adoptedRequest(1000), Backend: "gone"})
	s.start()
	s.start()
	if inFlight := len(s.inFlight) + 1; inFlight > 2 {
		t.Errorf("%d attempts in flight, want at most 2, one per slot", inFlight)
	}
}

// newBorrowerAndLender returns two limiters; the borrower has one attempt on its own slot and one on a slot that the
// lender lent.
func newBorrowerAndLender(t *testing.T) (borrower, lender *slotLimiter, limiters []*slotLimiter) {
	for i := range 2 {
		settings := testSettings()
		settings.Self, settings.Epoch = i, 5
		limiters = append(limiters, newSlotLimiter(t, settings, "a", "b", "c"))
	}
	borrower, lender = limiters[0], limiters[1]
	exchangeMessages(limiters, 250)
	borrower.start()
	exchangeMessages(limiters, 4)
	borrower.start()
	exchangeMessages(limiters, 4)
	if len(borrower.inFlight) != 2 {
		t.Fatalf("%d attempts in flight at the borrower, want 2", len(borrower.inFlight))
	}
	return borrower, lender, limiters
}

// Guards against lending out the slot of a response that is still being sent after the deadline of its class. The
// deadline does not end such an attempt: a stream has none.
func TestStreamOutlastsTheLoanOfItsSlot(t *testing.T) {
	borrower, lender, limiters := newBorrowerAndLender(t)
	for id := range borrower.inFlight {
		borrower.handle(&ResponseStarted{Request: id})
	}
	exchangeMessages(limiters, 300) // 6 s
	lender.start()
	exchangeMessages(limiters, 4)
	if inFlight := len(borrower.inFlight) + len(lender.inFlight); inFlight > 2 {
		t.Errorf("%d attempts in flight, want at most 2, one per slot", inFlight)
	}
}

// Guards against a lender that takes a slot back too early: an attempt that started at the end of the loan may be in
// flight until its deadline and slightly beyond.
func TestAttemptOfTheLongestDeadlineKeepsItsSlot(t *testing.T) {
	borrower, lender, limiters := newBorrowerAndLender(t)
	exchangeMessages(limiters, 94) // 1.9 s since the request, shortly before the end of the loan
	var latest RequestID
	for id := range borrower.inFlight {
		latest = max(latest, id)
	}
	borrower.start() // waits for a slot and gets the one that is freed next
	borrower.end(latest, Succeeded)
	if len(borrower.inFlight) != 2 {
		t.Fatalf("%d attempts in flight at the borrower, want 2: the freed slot was not used at once", len(borrower.inFlight))
	}
	started := borrower.now
	exchangeMessages(limiters, 1)
	for borrower.now < started+2*time.Second+190*ms {
		lender.start()
		exchangeMessages(limiters, 2)
		if inFlight := len(borrower.inFlight) + len(lender.inFlight); inFlight > 2 {
			t.Fatalf("%d attempts in flight, want at most 2, one per slot, %v after the last start",
				inFlight, borrower.now-started)
		}
	}
}

// Guards against a slot of a queued request that stays borrowed after the request ended without an attempt.
func TestEndedQueuedRequestReturnsItsSlot(t *testing.T) {
	var limiters []*slotLimiter
	for i := range 2 {
		settings := testSettings()
		settings.Self, settings.Epoch = i, 5
		limiters = append(limiters, newSlotLimiter(t, settings))
	}
	borrower, lender := limiters[0], limiters[1]
	exchangeMessages(limiters, 250)
	borrower.start()
	borrower.start() // both are queued, as there is no backend
	exchangeMessages(limiters, 4)
	account := borrower.ctl.customers.order[0].account
	if account.SlotsInUse != 2 {
		t.Fatalf("%d slots in use, want 2", account.SlotsInUse)
	}
	for id := range borrower.ctl.requests {
		borrower.handle(&RequestEnded{Request: id})
	}
	borrower.collectActions()
	if account.SlotsInUse != 0 {
		t.Errorf("%d slots in use after all requests ended, want 0", account.SlotsInUse)
	}
	exchangeMessages(limiters, 3)
	lender.handle(&EndpointList{Kind: ListCached, Backends: backendList("a", "b")})
	lender.start()
	if len(lender.inFlight) != 1 {
		t.Error("the lender started no attempt 60 ms after the borrower's requests ended, want one on its returned slot")
	}
}
