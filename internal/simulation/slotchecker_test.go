package simulation

import (
	"encoding/json"
	"testing"
	"time"

	"lemongate/internal/golden"
)

// slotWorld returns a world with one customer that may have two attempts in flight, two limiters and a backend whose
// service times are longer than a test.
func slotWorld() (*world, *customer) {
	sc := Scenario{
		Limiters: 2, Seconds: 10,
		Plans:    []Plan{{Name: "p", Rate: 100, Burst: 100, Customers: 1, LoadFactor: 1, MaxConcurrent: 2}},
		Traffic:  Traffic{Units: []float64{1}, Deadline: 1000},
		Backends: Backend{Count: 1, Cores: 10, Work: 1e9, Queue: 10},
	}
	w := newWorld(sc, 1, nil)
	w.startBackends()
	w.customers = []*customer{w.newCustomer(0, 0)}
	for i := range sc.Limiters {
		w.limiters = append(w.limiters, &limiter{world: w, number: i, clockRate: 1})
	}
	return w, w.customers[0]
}

// arrive makes an attempt of a new request arrive at the backend.
func (w *world) arrive(l *limiter) *attempt {
	w.lastID++
	r := &request{id: w.lastID, customer: w.customers[0], limiter: l, units: 1, sentAt: w.now, attempts: map[int]*attempt{}}
	a := &attempt{limiter: l, request: r, backend: w.backends[0]}
	r.attempts[0] = a
	w.backends[0].receive(a)
	return a
}

func checkSlots(t *testing.T, w *world, excess, excessWithOrphaned, triesOverLimit int) {
	t.Helper()
	if c := w.slots; c.excess != excess || c.excessWithOrphaned != excessWithOrphaned || c.triesOverLimit != triesOverLimit {
		t.Errorf("excess %d, with orphaned attempts %d, tries over the limit %d; want %d, %d and %d", c.excess, c.excessWithOrphaned, c.triesOverLimit, excess, excessWithOrphaned, triesOverLimit)
	}
}

// The slot checker counts the attempts of all limiters together against a customer's limit.
func TestSlotCheckerCountsExcess(t *testing.T) {
	w, _ := slotWorld()
	w.arrive(w.limiters[0])
	w.arrive(w.limiters[1])
	checkSlots(t, w, 0, 0, 0)
	w.arrive(w.limiters[0])
	checkSlots(t, w, 1, 1, 1)
	w.arrive(w.limiters[1])
	checkSlots(t, w, 2, 2, 2)
	if r := w.slots.result(&w.scenario, 0); r.Excess != 2 || r.ExcessWithOrphaned != 2 || r.TriesOverLimit != 2 {
		t.Errorf("result %+v, want an excess of 2, 2 with orphaned attempts, and 2 tries over the limit", r)
	}
}

// An attempt is in flight until its backend has responded or has learned that its connection has ended.
func TestSlotCheckerCountsUntilConnectionEnds(t *testing.T) {
	for _, c := range []struct {
		name   string
		end    func(w *world, a *attempt)
		wait   time.Duration
		excess int
	}{
		{"finished", func(_ *world, a *attempt) { a.backend.complete(a, time.Second) }, 0, 0},
		{"canceled just before", func(w *world, a *attempt) { w.cancelAttempt(a.request, 0) }, backendDelay - 1, 1},
		{"canceled", func(w *world, a *attempt) { w.cancelAttempt(a.request, 0) }, backendDelay, 0},
		{"canceled after the response", func(w *world, a *attempt) { w.recordLateCancel(a.limiter, a.id) }, backendDelay, 0},
		{"in flight", func(*world, *attempt) {}, time.Hour, 1},
	} {
		w, _ := slotWorld()
		a := w.arrive(w.limiters[0])
		w.arrive(w.limiters[1])
		c.end(w, a)
		w.runUntil(w.now + c.wait)
		w.now = max(w.now, runStart+c.wait)
		w.arrive(w.limiters[1])
		if w.slots.excess != c.excess {
			t.Errorf("%s: excess of %d attempts, want %d", c.name, w.slots.excess, c.excess)
		}
	}
}

// The attempts of a killed process are counted separately, as orphaned, until the backend has finished them, at most
// until the request's deadline.
func TestSlotCheckerCountsOrphanedAttempts(t *testing.T) {
	w, c := slotWorld()
	a := w.arrive(w.limiters[0])
	w.arrive(w.limiters[0])
	w.limiters[0].kill()
	w.arrive(w.limiters[1])
	checkSlots(t, w, 0, 1, 0)
	a.done = true
	w.backends[0].complete(a, time.Second)
	if len(c.slots.orphaned) != 1 {
		t.Errorf("%d orphaned, want 1", len(c.slots.orphaned))
	}
	w.runUntil(w.now + 2*time.Second)
	if len(c.slots.orphaned) != 0 || len(c.slots.inFlight) != 1 {
		t.Errorf("%d orphaned, %d in flight, want 0 and 1", len(c.slots.orphaned), len(c.slots.inFlight))
	}
}

// A rejection counts if the customer has a free slot and its bucket has the request's units.
func TestSlotCheckerCountsRejectionsWithFreeSlot(t *testing.T) {
	w, c := slotWorld()
	reject := func() { w.handleRejection(&request{customer: c, units: 1}, 0) }
	reject()
	w.arrive(w.limiters[0])
	reject()
	w.arrive(w.limiters[1])
	reject()
	if w.slots.rejectedWithFreeSlot != 2 {
		t.Errorf("%d rejections with a free slot, want 2", w.slots.rejectedWithFreeSlot)
	}
	a := c.slots.inFlight[0]
	a.backend.complete(a, time.Second)
	c.quota.Consume(w.now, 200)
	reject()
	if w.slots.rejectedWithFreeSlot != 2 {
		t.Errorf("%d rejections with a free slot after one without units, want 2", w.slots.rejectedWithFreeSlot)
	}
}

// The probe counts the slots that no limiter can use: those of a stalled limiter that lends none.
func TestSlotProbe(t *testing.T) {
	sc := smallTier(3, 3)
	sc.Seconds = 4
	sc.Plans = []Plan{{Name: "p", Rate: 100, Burst: 100, Customers: 1, LoadFactor: 0.2, MaxConcurrent: 6}}
	if r := Run(sc, 1); r.Slots.Excess != 0 || r.Slots.Unusable != 0 || r.Slots.Probed != 6 || r.Slots.Messages <= 0 {
		t.Errorf("without faults %+v, want 6 slots probed, none unusable, no excess, and messages", r.Slots)
	}
	sc.Faults = []Fault{{Kind: FaultIncomingLoss, At: 1, For: 100, Limiters: []int{0, 1, 2}}, {Kind: FaultStall, At: 1, For: 100, Limiters: []int{0}}}
	if r := Run(sc, 1); r.Slots.Unusable != 2 {
		t.Errorf("%v slots unusable while limiter 0 is stalled and no messages arrive, want its 2", r.Slots.Unusable)
	}
}

// The measures of slots have the JSON names that the bounds of experiments use.
func TestSlotResultNames(t *testing.T) {
	var r SlotResult
	(&golden.Filler{}).Fill(&r)
	data, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "slot_result.json", data)
}
