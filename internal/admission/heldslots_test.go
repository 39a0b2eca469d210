package admission

import (
	"math/rand/v2"
	"testing"
	"time"
)

// slotsInUse is the slots in use of the one customer that a side has.
func (s *slotSide) slotsInUse() int {
	slots := 0
	for _, c := range s.ctl.customers.order {
		slots += c.account.SlotsInUse
	}
	return slots
}

// A slot that is held for a retry of a predecessor is freed by the end of the request, by the end of the retry, or by
// the time at which every attempt must have ended; and once only.
func TestHeldSlotIsFreed(t *testing.T) {
	for name, end := range map[string]func(s *slotSide){
		"the request ended": func(s *slotSide) { s.handle(&RequestEnded{Request: 1000}) },
		"the retry succeeded": func(s *slotSide) {
			s.handle(&AttemptAdopted{Request: adoptedRequest(1000), Attempt: 1, Backend: "b"})
			s.handle(&AttemptFinished{Request: 1000, Attempt: 1, Backend: "b", Result: Succeeded, Final: true})
		},
		"the retry failed": func(s *slotSide) {
			s.handle(&AttemptAdopted{Request: adoptedRequest(1000), Attempt: 1, Backend: "b"})
			s.handle(&AttemptFinished{Request: 1000, Attempt: 1, Backend: "b", Result: Errored, Final: true})
			s.handle(&RequestEnded{Request: 1000})
		},
		"the retry is at an unknown backend and succeeded": func(s *slotSide) {
			s.handle(&AttemptAdopted{Request: adoptedRequest(1000), Attempt: 1, Backend: "gone"})
			if got := s.slotsInUse(); got != 1 {
				t.Errorf("%d slots in use by the retry, want 1", got)
			}
			s.handle(&AttemptFinished{Request: 1000, Attempt: 1, Backend: "gone", Result: Succeeded, Final: true})
		},
		"the retry is at an unknown backend, and nothing more was heard": func(s *slotSide) {
			s.handle(&AttemptAdopted{Request: adoptedRequest(1000), Attempt: 1, Backend: "gone"})
			s.advance(s.ctl.longestAttempt() + 50*ms)
		},
		"nothing more was heard": func(s *slotSide) { s.advance(s.ctl.longestAttempt() + 50*ms) },
	} {
		t.Run(name, func(t *testing.T) {
			s := singleSlotSide(t)
			s.handle(&AttemptAdopted{Request: adoptedRequest(1000), Backend: "a"})
			s.handle(&AttemptFinished{Request: 1000, Backend: "a", Result: Unreachable, Final: true})
			if got := s.slotsInUse(); got != 1 {
				t.Fatalf("%d slots in use while the request may be retried, want 1", got)
			}
			end(s)
			s.handle(&RequestEnded{Request: 1000})
			if got := s.slotsInUse(); got != 0 || len(s.ctl.customers.held)+len(s.ctl.requests) > 0 {
				t.Errorf("%d slots in use after the end, %d held, %d requests", got, len(s.ctl.customers.held), len(s.ctl.requests))
			}
			s.start()
			s.start()
			if len(s.open) != 2 {
				t.Errorf("%d attempts start on two free slots", len(s.open))
			}
		})
	}
}

// A request that waits is admitted on a held slot as soon as it is freed, by the clock as well, and not before.
func TestHeldSlotIsHeldForTheLongestAttempt(t *testing.T) {
	s := singleSlotSide(t)
	for id := range RequestID(2) {
		s.handle(&AttemptAdopted{Request: adoptedRequest(1000 + id), Backend: "a"})
		s.handle(&AttemptFinished{Request: 1000 + id, Backend: "a", Result: Canceled, Final: true})
	}
	s.advance(s.ctl.longestAttempt() - timerStep)
	if s.start(); len(s.open) > 0 {
		t.Error("an attempt started while both slots are held")
	}
	s.advance(2 * timerStep)
	if s.start(); len(s.open) != 1 {
		t.Error("no attempt started after every attempt of the other process must have ended")
	}
}

// No slot is held for a plan without slots, so that nothing changes for it.
func TestNoSlotIsHeldForAPlanWithoutSlots(t *testing.T) {
	s := singleSlotSide(t)
	for id, plan := range []string{"free", "unknown"} {
		request := adoptedRequest(RequestID(1000 + id))
		request.Plan = plan
		s.handle(&AttemptAdopted{Request: request, Backend: "a"})
		s.handle(&AttemptFinished{Request: request.ID, Backend: "a", Result: Unreachable, Final: true})
		s.handle(&AttemptAdopted{Request: request})
		s.handle(&AttemptAdopted{Request: request, Backend: "gone"})
		if len(s.ctl.customers.held)+len(s.ctl.requests) > 0 || s.slotsInUse() > 0 {
			t.Errorf("plan %s: %d slots held, %d requests", plan, len(s.ctl.customers.held), len(s.ctl.requests))
		}
	}
}

// An attempt of a class that is not known here has a slot, until it ends.
func TestAdoptedAttemptOfUnknownClassHasASlot(t *testing.T) {
	s := singleSlotSide(t)
	request := adoptedRequest(1000)
	request.Class = "gone"
	s.handle(&AttemptAdopted{Request: request, Backend: "a"})
	if got := s.slotsInUse(); got != 1 {
		t.Errorf("%d slots in use, want 1", got)
	}
	s.handle(&AttemptFinished{Request: 1000, Backend: "a", Result: Succeeded, Final: true})
	if got := s.slotsInUse(); got != 0 || len(s.ctl.customers.held) > 0 {
		t.Errorf("%d slots in use after the attempt succeeded", got)
	}
}

// Held slots go on with a snapshot, until the same time, and with a new epoch.
func TestHeldSlotsGoOnWithTheState(t *testing.T) {
	s := singleSlotSide(t)
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
	successor := &slotSide{fixture: &fixture{t: t, ctl: resumed, now: s.now, nextID: 1 << 32}, open: map[RequestID]StartAttempt{}}
	for name, side := range map[string]*slotSide{"snapshot": successor, "new epoch": s} {
		if side == s {
			side.handle(EpochRenewed{Epoch: 9})
		}
		side.handle(TimerFired{})
		if got := side.slotsInUse(); got != 1 {
			t.Errorf("%s: %d slots in use, want 1", name, got)
		}
		side.advance(side.ctl.longestAttempt() + 50*ms)
		if got := side.slotsInUse(); got != 0 || len(side.ctl.customers.held) > 0 {
			t.Errorf("%s: %d slots in use after the longest attempt", name, got)
		}
	}
}

// Whatever is heard of a predecessor's requests, in whatever order, no slot is in use once every attempt must have
// ended, and none is counted twice.
func TestNoSlotOfAPredecessorLeaks(t *testing.T) {
	backends := []string{"a", "b", "gone", ""}
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		s := singleSlotSide(t)
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
			if got, most := s.slotsInUse(), len(ids); got > most || got < 0 {
				t.Fatalf("seed %d: %d slots in use by %d requests", seed, got, most)
			}
		}
		for id := range ids { // the end of the link ends what is in flight
			for attempt := range 3 {
				s.handle(&AttemptFinished{Request: id, Attempt: attempt, Result: Canceled, Final: true})
			}
		}
		s.advance(s.ctl.longestAttempt() + 50*ms)
		if got := s.slotsInUse(); got != 0 || len(s.ctl.customers.held)+len(s.ctl.requests) > 0 {
			t.Fatalf("seed %d: %d slots in use, %d held, %d requests", seed, got, len(s.ctl.customers.held), len(s.ctl.requests))
		}
	}
}

// A retry that waits for a backend has its slot in the snapshot, up to the end of its request; a request that is
// withdrawn before the snapshot has none.
func TestSlotOfAWaitingRetryIsInTheSnapshot(t *testing.T) {
	s := singleSlotSide(t)
	first := s.start()
	s.handle(&EndpointList{Kind: ListCached})
	s.end(first, ConnectFailed)
	queued := s.start()
	s.handle(&RequestEnded{Request: queued})
	held := s.ctl.heldSlots()
	if len(held) != 1 || held[0].Request != first || held[0].Until != s.ctl.requests[first].deadline+attemptEndMargin {
		t.Errorf("%+v, want the slot of request %d", held, first)
	}
	if held[0].Until > s.now+2*time.Second+attemptEndMargin {
		t.Errorf("held until %v, beyond the request", held[0].Until)
	}
}
