package admission

import "testing"

// slotLimiter is a limiter with its attempts in flight and the messages that it has sent.
type slotLimiter struct {
	*fixture

	inFlight map[RequestID]StartAttempt
	messages []SendToPeer
}

func newSlotLimiter(t *testing.T, settings Settings, backends ...string) *slotLimiter {
	return &slotLimiter{fixture: newFixture(t, settings, backendList(backends...)...), inFlight: map[RequestID]StartAttempt{}}
}

// collectActions records the attempts and messages among the actions.
func (s *slotLimiter) collectActions() {
	for _, action := range s.takeActions() {
		switch action := action.(type) {
		case StartAttempt:
			s.inFlight[action.Request] = action
		case SendToPeer:
			s.messages = append(s.messages, action)
		}
	}
}

// end ends the attempt in flight of a request, which must be its first one.
func (s *slotLimiter) end(id RequestID, result Result) {
	backend := s.inFlight[id].Backend
	delete(s.inFlight, id)
	s.finish(id, 0, backend, result, 5*ms)
	s.collectActions()
}

// start passes a request of the customer x on the plan concurrent.
func (s *slotLimiter) start() RequestID {
	id := s.request("read", "concurrent", "x")
	s.collectActions()
	return id
}

// exchangeMessages advances the clocks of two limiters by 20 ms per round and delivers their messages.
func exchangeMessages(limiters []*slotLimiter, rounds int) {
	for range rounds {
		for i, limiter := range limiters {
			limiter.advance(20 * ms)
			limiter.collectActions()
			other := limiters[1-i]
			for _, message := range limiter.messages {
				other.now = max(other.now, limiter.now)
				other.handle(&PeerMessage{From: i, Data: message.Data})
				other.collectActions()
			}
			limiter.messages = nil
		}
	}
}

// Guards against a retry that starts on a slot that another request got while the retry waited for a backend.
func TestRetryThatWaitedNeedsASlot(t *testing.T) {
	settings := testSettings()
	settings.Limiters, settings.GossipEnabled = 1, false
	s := newSlotLimiter(t, settings, "a")
	first := s.start()
	s.start()
	s.handle(&EndpointList{Kind: ListCached})
	s.end(first, ConnectFailed) // its retry waits for a backend
	s.start()
	s.handle(&EndpointList{Kind: ListCached, Backends: backendList("b", "c")})
	s.collectActions()
	if len(s.inFlight) > 2 {
		t.Errorf("%d attempts in flight, want at most 2, one per slot", len(s.inFlight))
	}
}

// Guards against an immediate retry on a borrowed slot that was returned at the end of the previous attempt.
func TestRetryAtOnceKeepsItsBorrowedSlot(t *testing.T) {
	var limiters []*slotLimiter
	for i := range 2 {
		settings := testSettings()
		settings.Self, settings.Epoch = i, 5
		limiters = append(limiters, newSlotLimiter(t, settings, "a", "b", "c"))
	}
	borrower, lender := limiters[0], limiters[1]
	exchangeMessages(limiters, 120)
	borrower.start()
	exchangeMessages(limiters, 4)
	borrowed := borrower.start()
	exchangeMessages(limiters, 4)
	if len(borrower.inFlight) != 2 {
		t.Fatalf("%d attempts in flight at the borrower, want 2", len(borrower.inFlight))
	}
	borrower.end(borrowed, Unreachable)
	exchangeMessages(limiters, 4)
	lender.start()
	exchangeMessages(limiters, 4)
	if inFlight := len(borrower.inFlight) + len(lender.inFlight); inFlight > 2 {
		t.Errorf("%d attempts in flight, want at most 2, one per slot", inFlight)
	}
}
