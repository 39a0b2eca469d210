package admission

import (
	"maps"
	"slices"
	"time"
)

// This file holds slots for requests of another process of this limiter. Such a request has no attempt in flight in
// this process, but may have one in the other process: a retry decided by that process, or an attempt that a backend
// still runs after that process died.

// heldSlotState is the stored form of a held slot.
type heldSlotState struct {
	Request      RequestID     `json:"ID"`
	Customer     string        `json:"Customer"`
	Plan         string        `json:"Plan"`
	FirstLimiter int           `json:"First"`
	SetSize      int           `json:"Spread"`
	Until        time.Duration `json:"Until"`
}

// maxAttemptEnd returns how long after the arrival of a request its last attempt can still be in flight.
func (ctl *Controller) maxAttemptEnd() time.Duration {
	return ctl.classes.longestDeadline() + attemptEndMargin
}

// planHasSlots reports whether a plan limits the number of concurrent attempts.
func (ctl *Controller) planHasSlots(name string) bool {
	index, listed := ctl.customers.planIndex[name]
	return listed && ctl.settings.Plans[index].MaxConcurrent > 0
}

// newAdoptedRequest returns a request of another process. The request takes over the slot that is held for it, if any.
func (ctl *Controller) newAdoptedRequest(ev *Request) *request {
	r := &request{
		Request: ev, customer: ctl.lookupCustomer(ev), receivedAt: ctl.now, ended: true,
		adoptedUntil: ctl.now + ctl.maxAttemptEnd(),
	}
	if held := ctl.customers.held[ev.ID]; held != nil {
		delete(ctl.customers.held, ev.ID)
		r.customer, r.hasSlot, r.adoptedUntil = held.customer, held.hasSlot, held.adoptedUntil
	}
	return r
}

// holdSlot holds the slot of a request of another process until that process reports the end of the request, or until
// every attempt of it must have ended.
func (ctl *Controller) holdSlot(r *request) {
	delete(ctl.requests, r.ID)
	ctl.takeSlot(r)
	ctl.customers.held[r.ID] = r
	ctl.scheduleTick(r.adoptedUntil)
}

// holdsSlotAfter reports whether a request keeps its slot after an attempt that did not succeed: the process that
// handles the request may retry it, or may have died while the attempt is still at the backend.
func (r *request) holdsSlotAfter(result Result) bool {
	return r.adoptedUntil > 0 && result != Succeeded && r.customer.plan.MaxConcurrent > 0
}

// freeHeldSlot frees the slot that is held for a request, if any.
func (ctl *Controller) freeHeldSlot(id RequestID) {
	if r := ctl.customers.held[id]; r != nil {
		delete(ctl.customers.held, id)
		ctl.freeSlot(r)
	}
}

// freeExpiredSlots frees the held slots of requests that can no longer have an attempt in flight.
func (ctl *Controller) freeExpiredSlots() {
	for _, id := range slices.Sorted(maps.Keys(ctl.customers.held)) {
		if until := ctl.customers.held[id].adoptedUntil; ctl.now < until {
			ctl.scheduleTick(until)
		} else {
			ctl.freeHeldSlot(id)
		}
	}
}

// heldSlots returns the stored form of the slots that the next process has to hold: those held here, and those of
// retries that wait here for a backend.
func (ctl *Controller) heldSlots() []heldSlotState {
	var list []heldSlotState
	for _, id := range slices.Sorted(maps.Keys(ctl.customers.held)) {
		r := ctl.customers.held[id]
		list = append(list, r.heldSlot(r.adoptedUntil))
	}
	for _, id := range slices.Sorted(maps.Keys(ctl.requests)) {
		if r := ctl.requests[id]; r.hasSlot && r.backend == nil && r.customer.plan.MaxConcurrent > 0 {
			list = append(list, r.heldSlot(r.deadline+attemptEndMargin))
		}
	}
	return list
}

// heldSlot returns the stored form of a request's slot, which is held until the given clock time.
func (r *request) heldSlot(until time.Duration) heldSlotState {
	return heldSlotState{
		Request: r.ID, Customer: r.Customer, Plan: r.Plan, FirstLimiter: r.FirstLimiter, SetSize: r.SetSize, Until: until,
	}
}

// restoreHeldSlots holds the slots stored in a snapshot.
func (ctl *Controller) restoreHeldSlots(list []heldSlotState) {
	for _, held := range list {
		if !ctl.planHasSlots(held.Plan) {
			continue
		}
		r := ctl.newAdoptedRequest(&Request{
			ID: held.Request, Customer: held.Customer, Plan: held.Plan, FirstLimiter: held.FirstLimiter, SetSize: held.SetSize,
		})
		r.adoptedUntil = held.Until
		ctl.holdSlot(r)
	}
}
