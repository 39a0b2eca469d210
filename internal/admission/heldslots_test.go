package admission

import (
	"math/rand/v2"
	"testing"
	"time"
)

// slotsInUse returns the number of slots in use by the only customer of a limiter.
func (s *slotLimiter) slotsInUse() int {
	slots := 0
	for _, c := range s.ctl.customers.order {
		slots += c.account.SlotsInUse
	}
	return slots
}

// A slot that is held for a retry of a predecessor is freed exactly once: by the end of the request, by the end of the
// retry, or at the time by which every attempt must have ended.
func TestHeldSlotIsFreed(t *testing.T) {
	for name, end := range map[string]func(s *slotLimiter){
		"the request ended": func(s *slotLimiter) { s.handle(&RequestEnded{Request: 1000}) },
		"the retry succeeded": func(s *slotLimiter) {
			s.handle(&AttemptAdopted{Request: adoptedRequest(1000), Attempt: 1, Backend: "b"})
			s.handle(&AttemptFinished{Request: 1000, Attempt: 1, Backend: "b", Result: Succeeded, Final: true})
		},
		"the retry failed": func(s *slotLimiter) {
			s.handle(&AttemptAdopted{Request: adoptedRequest(1000), Attempt: 1, Backend: "b"})
			s.handle(&AttemptFinished{Request: 1000, Attempt: 1, Backend: "b", Result: Errored, Final: true})
			s.handle(&RequestEnded{Request: 1000})
		},
		"the retry is at an unknown backend and succeeded": func(s *slotLimiter) {
			s.handle(&AttemptAdopted{Request: adoptedRequest(1000), Attempt: 1, Backend: "gone"})
			if got := s.slotsInUse(); got != 1 {
				t.Errorf("%d slots in use by the retry, want 1", got)
			}
			s.handle(&AttemptFinished{Request: 1000, Attempt: 1, Backend: "gone", Result: Succeeded, Final: true})
		},
		"the retry is at an unknown backend, and nothing more was reported": func(s *slotLimiter) {
			s.handle(&AttemptAdopted{Request: adoptedRequest(1000), Attempt: 1, Backend: "gone"})
			s.advance(s.ctl.maxAttemptEnd() + 50*ms)
		},
		"nothing more was reported": func(s *slotLimiter) { s.advance(s.ctl.maxAttemptEnd() + 50*ms) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSlotLimiterWithoutPeers(t)
			s.handle(&AttemptAdopted{Request: adoptedRequest(1000), Backend: "a"})
			s.handle(&AttemptFinished{Request: 1000, Backend: "a", Result: Unreachable, Final: true})
			if got := s.slotsInUse(); got != 1 {
				t.Fatalf("%d slots in use while the request may be retried, want 1", got)
			}
			end(s)
			s.handle(&RequestEnded{Request: 1000})
			if got := s.slotsInUse(); got != 0 || len(s.ctl.customers.held)+len(s.ctl.requests) > 0 {
				t.Errorf("%d slots in use after the end, %d held, %d requests, want none",
					got, len(s.ctl.customers.held), len(s.ctl.requests))
			}
			s.start()
			s.start()
			if len(s.inFlight) != 2 {
				t.Errorf("%d attempts started with two free slots, want 2", len(s.inFlight))
			}
		})
	}
}

// A held slot is not available to another request before the time by which every attempt of the other process must have
// ended; after that time, it is.
func TestHeldSlotIsHeldForTheLongestAttempt(t *testing.T) {
	s := newSlotLimiterWithoutPeers(t)
	for id := range RequestID(2) {
		s.handle(&AttemptAdopted{Request: adoptedRequest(1000 + id), Backend: "a"})
		s.handle(&AttemptFinished{Request: 1000 + id, Backend: "a", Result: Canceled, Final: true})
	}
	s.advance(s.ctl.maxAttemptEnd() - timerStep)
	if s.start(); len(s.inFlight) > 0 {
		t.Error("an attempt started while both slots were held")
	}
	s.advance(2 * timerStep)
	if s.start(); len(s.inFlight) != 1 {
		t.Error("no attempt started after the time by which every attempt of the other process must have ended")
	}
}

// No slot is held for a plan without slots.
func TestNoSlotIsHeldForAPlanWithoutSlots(t *testing.T) {
	s := newSlotLimiterWithoutPeers(t)
	for id, plan := range []string{"free", "unknown"} {
		request := adoptedRequest(RequestID(1000 + id))
		request.Plan = plan
		s.handle(&AttemptAdopted{Request: request, Backend: "a"})
		s.handle(&AttemptFinished{Request: request.ID, Backend: "a", Result: Unreachable, Final: true})
		s.handle(&AttemptAdopted{Request: request})
		s.handle(&AttemptAdopted{Request: request, Backend: "gone"})
		if len(s.ctl.customers.held)+len(s.ctl.requests) > 0 || s.slotsInUse() > 0 {
			t.Errorf("plan %s: %d slots held, %d requests, want none", plan, len(s.ctl.customers.held), len(s.ctl.requests))
		}
	}
}

// An attempt of a class that is unknown here has a slot until it ends.
func TestAdoptedAttemptOfUnknownClassHasASlot(t *testing.T) {
	s := newSlotLimiterWithoutPeers(t)
	request := adoptedRequest(1000)
	request.Class = "gone"
	s.handle(&AttemptAdopted{Request: request, Backend: "a"})
	if got := s.slotsInUse(); got != 1 {
		t.Errorf("%d slots in use, want 1", got)
	}
	s.handle(&AttemptFinished{Request: 1000, Backend: "a", Result: Succeeded, Final: true})
	if got := s.slotsInUse(); got != 0 || len(s.ctl.customers.held) > 0 {
		t.Errorf("%d slots in use after the attempt succeeded, want 0 and none held", got)
	}
}

// Held slots are kept, until the same time, by a Controller that resumes from a snapshot and after a new epoch.
func TestHeldSlotsSurviveSnapshotAndEpochRenewal(t *testing.T) {
	s := newSlotLimiterWithoutPeers(t)
	s.handle(&AttemptAdopted{Request: adoptedRequest(1000), Backend: "a"})
	s.handle(&AttemptFinished{Request: 1000, Backend: "a", Result: Unreachable, Final: true})
	data, err := s.ctl.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	resumed, err := Resume(s.ctl.settings, 9, data)
	if err != nil {
		t.Fatal(err)
	}
	successor := &slotLimiter{fixture: &fixture{t: t, ctl: resumed, now: s.now, nextID: 1 << 32}, inFlight: map[RequestID]StartAttempt{}}
	for name, limiter := range map[string]*slotLimiter{"snapshot": successor, "new epoch": s} {
		if limiter == s {
			limiter.handle(EpochRenewed{Epoch: 9})
		}
		limiter.handle(TimerFired{})
		if got := limiter.slotsInUse(); got != 1 {
			t.Errorf("%s: %d slots in use, want 1", name, got)
		}
		limiter.advance(limiter.ctl.maxAttemptEnd() + 50*ms)
		if got := limiter.slotsInUse(); got != 0 || len(limiter.ctl.customers.held) > 0 {
			t.Errorf("%s: %d slots in use after the longest attempt, want 0 and none held", name, got)
		}
	}
}

// Whatever events report a predecessor's requests, in whatever order, no slot is in use after the time by which every
// attempt must have ended, and none is counted twice.
func TestNoSlotOfAPredecessorLeaks(t *testing.T) {
	backends := []string{"a", "b", "gone", ""}
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		s := newSlotLimiterWithoutPeers(t)
		ids := map[RequestID]bool{}
		for range 60 {
			id := RequestID(1000 + random.IntN(5))
			ids[id] = true
			attempt, backend := random.IntN(3), backends[random.IntN(len(backends))]
			switch random.IntN(5) {
			case 0, 1:
				s.handle(&AttemptAdopted{Request: adoptedRequest(id), Attempt: attempt, Backend: backend})
			case 2:
				result := []Result{Succeeded, Unreachable, Canceled, Errored}[random.IntN(4)]
				s.handle(&AttemptFinished{Request: id, Attempt: attempt, Backend: backend, Result: result, Final: true})
			case 3:
				s.handle(&RequestEnded{Request: id})
			case 4:
				s.advance(100 * ms)
			}
			if got, limit := s.slotsInUse(), len(ids); got > limit || got < 0 {
				t.Fatalf("seed %d: %d slots in use, want 0 to %d, the number of requests", seed, got, limit)
			}
		}
		for id := range ids { // the link to the predecessor closes, which ends its attempts in flight
			for attempt := range 3 {
				s.handle(&AttemptFinished{Request: id, Attempt: attempt, Result: Canceled, Final: true})
			}
		}
		s.advance(s.ctl.maxAttemptEnd() + 50*ms)
		if got := s.slotsInUse(); got != 0 || len(s.ctl.customers.held)+len(s.ctl.requests) > 0 {
			t.Fatalf("seed %d: %d slots in use, %d held, %d requests, want none",
				seed, got, len(s.ctl.customers.held), len(s.ctl.requests))
		}
	}
}

// The slot of a retry that waits for a backend is in the snapshot, until the end of its request. A request that is
// withdrawn before the snapshot has none.
func TestSlotOfAWaitingRetryIsInTheSnapshot(t *testing.T) {
	s := newSlotLimiterWithoutPeers(t)
	first := s.start()
	s.handle(&EndpointList{Kind: ListCached})
	s.end(first, ConnectFailed)
	queued := s.start()
	s.handle(&RequestEnded{Request: queued})
	held := s.ctl.heldSlots()
	if len(held) != 1 || held[0].Request != first || held[0].Until != s.ctl.requests[first].deadline+attemptEndMargin {
		t.Errorf("held slots %+v, want the slot of request %d until its deadline", held, first)
	}
	if held[0].Until > s.now+2*time.Second+attemptEndMargin {
		t.Errorf("slot held until %v, want at most until the end of the request", held[0].Until)
	}
}
