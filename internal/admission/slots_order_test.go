package admission

import "testing"

// slotSide is a limiter of a tier of two, with the attempts that it has in flight.
type slotSide struct {
	*fixture

	open     map[RequestID]StartAttempt
	messages []SendToPeer
}

func newSlotSide(t *testing.T, settings Settings, backends ...string) *slotSide {
	return &slotSide{fixture: newFixture(t, settings, backendList(backends...)...), open: map[RequestID]StartAttempt{}}
}

// take records what the actions start and send.
func (s *slotSide) take() {
	for _, action := range s.takeActions() {
		switch action := action.(type) {
		case StartAttempt:
			s.open[action.Request] = action
		case SendToPeer:
			s.messages = append(s.messages, action)
		}
	}
}

// end ends an attempt in flight, the first of its request.
func (s *slotSide) end(id RequestID, result Result) {
	backend := s.open[id].Backend
	delete(s.open, id)
	s.finish(id, 0, backend, result, 5*ms)
	s.take()
}

// start hands over a request.
func (s *slotSide) start() RequestID {
	id := s.request("read", "concurrent", "x")
	s.take()
	return id
}

// exchangeMessages lets time pass at both limiters, and delivers their messages.
func exchangeMessages(sides []*slotSide, rounds int) {
	for range rounds {
		for i, side := range sides {
			side.advance(20 * ms)
			side.take()
			other := sides[1-i]
			for _, message := range side.messages {
				other.now = max(other.now, side.now)
				other.handle(&PeerMessage{From: i, Data: message.Data})
				other.take()
			}
			side.messages = nil
		}
	}
}

// Guards against a retry that starts on a slot which another request got while the retry waited for a backend.
func TestRetryThatWaitedNeedsASlot(t *testing.T) {
	settings := testSettings()
	settings.Limiters, settings.GossipEnabled = 1, false
	s := newSlotSide(t, settings, "a")
	first := s.start()
	s.start()
	s.handle(&EndpointList{Kind: ListCached})
	s.end(first, ConnectFailed) // its retry waits
	s.start()
	s.handle(&EndpointList{Kind: ListCached, Backends: backendList("b", "c")})
	s.take()
	if len(s.open) > 2 {
		t.Errorf("%d attempts in flight, 2 slots", len(s.open))
	}
}

// Guards against a retry that starts at once on a borrowed slot which was given back at the end of the attempt before.
func TestRetryAtOnceKeepsItsBorrowedSlot(t *testing.T) {
	var sides []*slotSide
	for i := range 2 {
		settings := testSettings()
		settings.Self, settings.Epoch = i, 5
		sides = append(sides, newSlotSide(t, settings, "a", "b", "c"))
	}
	borrower, lender := sides[0], sides[1]
	exchangeMessages(sides, 120)
	borrower.start()
	exchangeMessages(sides, 4)
	borrowing := borrower.start()
	exchangeMessages(sides, 4)
	if len(borrower.open) != 2 {
		t.Fatalf("%d attempts in flight at the borrower, want 2", len(borrower.open))
	}
	borrower.end(borrowing, Unreachable)
	exchangeMessages(sides, 4)
	lender.start()
	exchangeMessages(sides, 4)
	if open := len(borrower.open) + len(lender.open); open > 2 {
		t.Errorf("%d attempts in flight, 2 slots", open)
	}
}
