package admission

import (
	"testing"
	"time"
)

// singleSlotSide is a limiter without peers.
func singleSlotSide(t *testing.T) *slotSide {
	settings := testSettings()
	settings.Limiters, settings.GossipEnabled = 1, false
	return newSlotSide(t, settings, "a", "b", "c")
}

// adoptedRequest is a request of a predecessor, of the customer that slotSide.start has.
func adoptedRequest(id RequestID) Request {
	return Request{ID: id, Class: "read", Plan: "concurrent", Customer: "x", Units: 1, SetSize: 2}
}

// Guards against a retry of a predecessor that has no slot: the end of its first attempt, which the predecessor
// reports before the start of the second, gives the slot to the next request of the successor.
func TestPredecessorRetryKeepsItsSlot(t *testing.T) {
	s := singleSlotSide(t)
	s.handle(&AttemptAdopted{Request: adoptedRequest(1000), Backend: "a"})
	s.start()
	s.start() // waits, or is rejected, for want of a slot
	s.handle(&AttemptFinished{Request: 1000, Backend: "a", Result: Unreachable, Final: true})
	s.take()
	s.start()
	s.handle(&AttemptAdopted{Request: adoptedRequest(1000), Attempt: 1, Backend: "b"})
	s.take()
	if open := len(s.open) + 1; open > 2 {
		t.Errorf("%d attempts in flight, 2 slots", open)
	}
}

// Guards against a retry that waits at a predecessor when it hands over: the successor does not know of its slot.
func TestPredecessorRetryThatWaitsAtTheHandover(t *testing.T) {
	predecessor := singleSlotSide(t)
	first := predecessor.start()
	predecessor.handle(&EndpointList{Kind: ListCached})
	predecessor.end(first, ConnectFailed) // its retry waits
	data, err := predecessor.ctl.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	resumed, err := Resume(predecessor.ctl.settings, 9, data)
	if err != nil {
		t.Fatal(err)
	}
	successor := &slotSide{fixture: &fixture{t: t, ctl: resumed, now: predecessor.now, nextID: 1 << 32}, open: map[RequestID]StartAttempt{}}
	successor.handle(TimerFired{})
	list := &EndpointList{Kind: ListCached, Backends: backendList("b", "c")}
	successor.handle(list)
	successor.start()
	successor.start()
	predecessor.handle(list)
	predecessor.take()
	for _, attempt := range predecessor.open {
		successor.handle(&AttemptAdopted{Request: adoptedRequest(first), Attempt: 1, Backend: attempt.Backend})
	}
	successor.take()
	if open := len(predecessor.open) + len(successor.open); open > 2 {
		t.Errorf("%d attempts in flight, 2 slots", open)
	}
}

// Guards against slots of a customer that are counted by another one, whose name has the same hash.
func TestCustomersWithEqualHashesShareNoCount(t *testing.T) {
	const one, other = "costarring", "liquid"
	if hashOf(one) != hashOf(other) {
		t.Fatal("the names have different hashes")
	}
	s := singleSlotSide(t)
	start := func(customer string) RequestID {
		id := s.request("read", "concurrent", customer)
		s.take()
		return id
	}
	start(one)
	shared := start(other)
	start(one)
	s.end(shared, Succeeded)
	start(one)
	start(one)
	if open := len(s.open); open > 2 {
		t.Errorf("one customer has %d attempts in flight, 2 slots", open)
	}
}

// Guards against an attempt of a predecessor that counts nowhere because its backend is not in the list here.
func TestAdoptedAttemptAtUnknownBackendHasASlot(t *testing.T) {
	s := singleSlotSide(t)
	s.handle(&AttemptAdopted{Request: adoptedRequest(1000), Backend: "gone"})
	s.start()
	s.start()
	if open := len(s.open) + 1; open > 2 {
		t.Errorf("%d attempts in flight, 2 slots", open)
	}
}

// borrowingSides returns a limiter with an attempt on a slot that the other lent, beside one on its own.
func borrowingSides(t *testing.T) (borrower, lender *slotSide, sides []*slotSide) {
	for i := range 2 {
		settings := testSettings()
		settings.Self, settings.Epoch = i, 5
		sides = append(sides, newSlotSide(t, settings, "a", "b", "c"))
	}
	borrower, lender = sides[0], sides[1]
	exchangeMessages(sides, 250)
	borrower.start()
	exchangeMessages(sides, 4)
	borrower.start()
	exchangeMessages(sides, 4)
	if len(borrower.open) != 2 {
		t.Fatalf("%d attempts in flight at the borrower, want 2", len(borrower.open))
	}
	return borrower, lender, sides
}

// Guards against a response that is still being sent after the deadline of its class, which ends no such attempt: a
// stream has none.
func TestStreamOutlastsTheLoanOfItsSlot(t *testing.T) {
	borrower, lender, sides := borrowingSides(t)
	for id := range borrower.open {
		borrower.handle(&ResponseStarted{Request: id})
	}
	exchangeMessages(sides, 300) // six seconds
	lender.start()
	exchangeMessages(sides, 4)
	if open := len(borrower.open) + len(lender.open); open > 2 {
		t.Errorf("%d attempts in flight, 2 slots", open)
	}
}

// Guards against a lender that takes a slot back while an attempt that began at the end of the loan is in flight up
// to its deadline, and a little beyond.
func TestAttemptOfTheLongestDeadlineKeepsItsSlot(t *testing.T) {
	borrower, lender, sides := borrowingSides(t)
	exchangeMessages(sides, 94) // 1.9 seconds since the request: the loan lasts for a moment more
	var own RequestID
	for id := range borrower.open {
		own = max(own, id)
	}
	borrower.start() // waits for a slot, and gets the one that is freed
	borrower.end(own, Succeeded)
	if len(borrower.open) != 2 {
		t.Fatalf("%d attempts in flight at the borrower, want 2: the freed slot was not used at once", len(borrower.open))
	}
	started := borrower.now
	exchangeMessages(sides, 1)
	for borrower.now < started+2*time.Second+190*ms {
		lender.start()
		exchangeMessages(sides, 2)
		if open := len(borrower.open) + len(lender.open); open > 2 {
			t.Fatalf("%d attempts in flight, 2 slots, %v after the last start", open, borrower.now-started)
		}
	}
}

// Guards against a slot of a queued request that stays borrowed after the request ended unsent.
func TestQueuedRequestThatEndsGivesItsSlotBack(t *testing.T) {
	var sides []*slotSide
	for i := range 2 {
		settings := testSettings()
		settings.Self, settings.Epoch = i, 5
		sides = append(sides, newSlotSide(t, settings))
	}
	borrower, lender := sides[0], sides[1]
	exchangeMessages(sides, 250)
	borrower.start()
	borrower.start() // both are queued, as there is no backend
	exchangeMessages(sides, 4)
	account := borrower.ctl.customers.order[0].account
	if account.SlotsInUse != 2 {
		t.Fatalf("%d slots in use, want 2", account.SlotsInUse)
	}
	for id := range borrower.ctl.requests {
		borrower.handle(&RequestEnded{Request: id})
	}
	borrower.take()
	if account.SlotsInUse != 0 {
		t.Errorf("%d slots in use after all requests ended", account.SlotsInUse)
	}
	exchangeMessages(sides, 3)
	lender.handle(&EndpointList{Kind: ListCached, Backends: backendList("a", "b")})
	lender.start()
	if len(lender.open) != 1 {
		t.Error("the lender cannot use its slot 60 ms after the borrower's request ended")
	}
}
