package simulation

import (
	"slices"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/core"
)

const (
	// slotSettleDuration is the time without new requests between the end of the run and the probe of slots. Every loan of
	// a slot has ended by then, even if the message that returns the slot was lost.
	slotSettleDuration = 8 * time.Second
	// slotProbeDuration is how long each customer's slots are probed. It is shorter than the deadline of a request.
	slotProbeDuration = 1500 * time.Millisecond
	// maxProbedCustomers is how many customers are probed.
	maxProbedCustomers = 2
	// slotProbeInterval is the time between two rounds of requests of the probe.
	slotProbeInterval = 100 * time.Millisecond
	// slotProbeServiceTime is the service time of backends in the probe: longer than slotProbeDuration.
	slotProbeServiceTime = time.Minute
)

// SlotResult holds the measures of the limits of attempts in flight, see Plan.MaxConcurrent. All are zero if no plan
// has a limit. Experiments use them like the measures of Result; releases up to 0.9.1 do not have them.
type SlotResult struct {
	Excess               float64 `json:"slots_over"`         // most attempts in flight beyond the limit of any customer
	ExcessWithOrphaned   float64 `json:"slots_over_killed"`  // the same, counting also attempts that backends still serve for ended processes
	TriesOverLimit       float64 `json:"slots_over_tries"`   // tries whose first attempt arrived while the limit was reached
	RejectedWithFreeSlot float64 `json:"slots_refused_free"` // tries rejected while a slot and the units were free, as a fraction of all tries
	Unusable             float64 `json:"slots_unusable"`     // slots that the probe after the run could not use
	Probed               float64 `json:"slots_probed"`       // slots of the customers that were probed
	Messages             float64 `json:"slots_messages_per_s"`
}

// slotChecker checks the limits of attempts in flight from outside of the limiters, by the attempts at the backends.
// An attempt is in flight from its arrival at a backend until the backend has responded or its connection has
// ended. An attempt whose process ends is orphaned from then until the backend has finished it, at most until its
// request's deadline.
type slotChecker struct {
	tries                int  // requests sent; each retry counts
	rejectedWithFreeSlot int  // see SlotResult.RejectedWithFreeSlot
	triesOverLimit       int  // see SlotResult.TriesOverLimit
	excess               int  // see SlotResult.Excess
	excessWithOrphaned   int  // see SlotResult.ExcessWithOrphaned
	probing              bool // the probe after the run has started
}

// slotTally holds the attempts in flight of one customer.
type slotTally struct {
	limit       int        // 0 for none
	inFlight    []*attempt // in the order of their arrival
	orphaned    []*attempt // attempts of processes that ended, which backends still serve
	maxInFlight int        // most attempts in flight at once; set to 0 when the customer's probe starts
}

// free returns how many further attempts the limit allows; it is negative if the limit is exceeded.
func (t *slotTally) free() int { return t.limit - len(t.inFlight) }

// limitsSlots reports whether any plan limits the attempts in flight.
func (sc *Scenario) limitsSlots() bool {
	return slices.ContainsFunc(sc.Plans, func(p Plan) bool { return p.MaxConcurrent > 0 })
}

// recordArrival records an attempt that has reached a backend.
func (w *world) recordArrival(a *attempt) {
	t := &a.request.customer.slots
	if t.limit <= 0 || a.done {
		return
	}
	if !a.request.reachedBackend && t.free() <= 0 {
		w.slots.triesOverLimit++
	}
	t.inFlight = append(t.inFlight, a)
	t.maxInFlight = max(t.maxInFlight, len(t.inFlight))
	w.slots.excess = max(w.slots.excess, -t.free())
	w.slots.excessWithOrphaned = max(w.slots.excessWithOrphaned, len(t.orphaned)-t.free())
}

// recordEnd records that an attempt has ended at its backend: it is finished or its connection has ended.
func (w *world) recordEnd(a *attempt) {
	t := &a.request.customer.slots
	t.inFlight = removeAttempt(t.inFlight, a)
	t.orphaned = removeAttempt(t.orphaned, a)
}

// recordCancel records an attempt whose connection its limiter closes now. The attempt ends at the backend
// after backendDelay.
func (w *world) recordCancel(a *attempt) {
	if a.request.customer.slots.limit > 0 {
		w.after(backendDelay, func() { w.recordEnd(a) })
	}
}

// recordLateCancel is recordCancel for an attempt of a request that already has its response.
func (w *world) recordLateCancel(l *limiter, id core.AttemptID) {
	for _, c := range w.customers {
		for _, a := range c.slots.inFlight {
			if a.limiter == l && a.id == id {
				a.done = true
				w.recordCancel(a)
			}
		}
	}
}

// recordProcessExit marks the attempts of a process that ends now as orphaned: their connections break, but backends
// go on serving them.
func (w *world) recordProcessExit(l *limiter) {
	for _, c := range w.customers {
		for _, a := range slices.Clone(c.slots.inFlight) {
			if a.limiter == l {
				c.slots.inFlight = removeAttempt(c.slots.inFlight, a)
				c.slots.orphaned = append(c.slots.orphaned, a)
				deadline := a.request.sentAt + clientDelay + milliseconds(w.scenario.Traffic.Deadline)
				w.at(deadline, func() { w.recordEnd(a) })
			}
		}
	}
}

// recordBackendCrash removes the orphaned attempts at a backend that has crashed.
func (w *world) recordBackendCrash(b *backend) {
	for _, c := range w.customers {
		c.slots.orphaned = slices.DeleteFunc(c.slots.orphaned, func(a *attempt) bool { return a.backend == b })
	}
}

// recordRejection records a rejected try; unitsAvailable means that the customer's bucket had the try's units.
func (w *world) recordRejection(c *customer, unitsAvailable bool) {
	if c.slots.limit > 0 && c.slots.free() > 0 && unitsAvailable {
		w.slots.rejectedWithFreeSlot++
	}
}

// probeSlots finds out after the run how many slots can still be used. It sends no requests until every loan has ended.
// Then each probed customer in turn requests as many attempts as its limit allows; none of them finishes before the end
// of the customer's turn.
func (w *world) probeSlots() {
	w.runUntil(w.end + slotSettleDuration)
	w.slots.probing = true
	for _, c := range w.probedCustomers() {
		c.slots.maxInFlight = 0
		probeEnd := w.now + slotProbeDuration
		w.probeUntil(c, probeEnd)
		w.runUntil(probeEnd)
		for _, a := range slices.Clone(c.slots.inFlight) {
			a.finish(admission.Succeeded, nil)
		}
	}
}

// probedCustomers returns the customers to probe: the first ones that have a limit of attempts in flight.
func (w *world) probedCustomers() (list []*customer) {
	for _, c := range w.customers {
		if c.slots.limit > 0 && len(list) < maxProbedCustomers {
			list = append(list, c)
		}
	}
	return list
}

// probeUntil makes a customer send a request for each free slot, to random limiters, every slotProbeInterval.
func (w *world) probeUntil(c *customer, end time.Duration) {
	if w.now >= end {
		return
	}
	for range max(c.slots.free(), 0) {
		c.busiest = w.random.IntN(c.setSize)
		w.sendFirstTry(c)
	}
	w.after(slotProbeInterval, func() { w.probeUntil(c, end) })
}

// result returns the measures of the slots in the run. summarizeProbe updates them after the probe.
func (c *slotChecker) result(sc *Scenario, messages int) SlotResult {
	return SlotResult{
		Excess:               float64(c.excess),
		ExcessWithOrphaned:   float64(c.excessWithOrphaned),
		TriesOverLimit:       float64(c.triesOverLimit),
		RejectedWithFreeSlot: float64(c.rejectedWithFreeSlot) / float64(max(c.tries, 1)),
		Messages:             float64(messages) / sc.Seconds,
	}
}

// summarizeProbe stores the measures of the probe in the result of a run.
func (w *world) summarizeProbe(r *Result) {
	for _, c := range w.probedCustomers() {
		r.Slots.Probed += float64(c.slots.limit)
		r.Slots.Unusable += float64(max(c.slots.limit-c.slots.maxInFlight, 0))
	}
	r.Slots.Excess = float64(w.slots.excess)
	r.Slots.ExcessWithOrphaned = float64(w.slots.excessWithOrphaned)
	r.Slots.TriesOverLimit = float64(w.slots.triesOverLimit)
	r.Breaches, r.Broken = w.result.Breaches, w.result.Broken
}

// removeAttempt removes an attempt from a list, if it is in it.
func removeAttempt(list []*attempt, a *attempt) []*attempt {
	return slices.DeleteFunc(list, func(other *attempt) bool { return other == a })
}
