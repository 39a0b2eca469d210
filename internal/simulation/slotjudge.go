package simulation

import (
	"slices"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/core"
)

const (
	// slotSettleDuration is how long no request arrives before the probe of slots: every loan of a slot has
	// ended by then, also one whose return was lost.
	slotSettleDuration = 8 * time.Second
	// slotProbeDuration is how long a customer's turn in the probe of slots lasts. It is shorter than the deadline
	// of a request.
	slotProbeDuration = 1500 * time.Millisecond
	// maxSlotProbes is how many customers are probed.
	maxSlotProbes = 2
	// slotProbeInterval is the time between two rounds of requests of the probe.
	slotProbeInterval = 100 * time.Millisecond
	// slotProbeWork is how long a backend takes in the probe: longer than a turn.
	slotProbeWork = time.Minute
)

// SlotResult is what came of the limits of attempts in flight, see Plan.MaxConcurrent. All is zero where no
// plan has one. Its figures are measures like those of Result; releases up to 0.9.1 do not have them.
type SlotResult struct {
	Over         float64 `json:"slots_over"`         // attempts in flight beyond the limit, of the customer with most
	OverKilled   float64 `json:"slots_over_killed"`  // the same, with what backends still do for processes that died
	OverTries    float64 `json:"slots_over_tries"`   // tries whose first attempt came while the limit was reached
	RejectedFree float64 `json:"slots_refused_free"` // fraction of the tries, rejected while a slot and the units were free
	Unusable     float64 `json:"slots_unusable"`     // slots that the probe after the run could not take
	Probed       float64 `json:"slots_probed"`       // slots of the customers that were probed
	Messages     float64 `json:"slots_messages_per_s"`
}

// slotJudge judges the limits of attempts in flight from outside of the limiters, by what is at the backends.
// An attempt is in flight from its arrival at a backend until the backend has responded or its connection has
// ended. One whose process died is left behind from then until the backend has finished it, at most until its
// request's deadline.
type slotJudge struct {
	tries        int
	rejectedFree int
	overTries    int
	over         int // worst excess over a limit
	overKilled   int // see SlotResult.OverKilled
	probing      bool
}

// slotTally is the attempts in flight of one customer.
type slotTally struct {
	limit      int        // 0 for none
	inFlight   []*attempt // in the order of their arrival
	leftBehind []*attempt // of processes that died
	mostProbed int        // attempts in flight at once in the probe
}

// free is how many further attempts the limit allows.
func (t *slotTally) free() int { return t.limit - len(t.inFlight) }

// limitsSlots reports whether a plan has a limit of attempts in flight.
func (sc *Scenario) limitsSlots() bool {
	return slices.ContainsFunc(sc.Plans, func(p Plan) bool { return p.MaxConcurrent > 0 })
}

// judgeArrival counts an attempt that has reached a backend.
func (w *world) judgeArrival(a *attempt) {
	t := &a.request.customer.slots
	if t.limit <= 0 || a.over {
		return
	}
	if !a.request.counted && t.free() <= 0 {
		w.slots.overTries++
	}
	t.inFlight = append(t.inFlight, a)
	t.mostProbed = max(t.mostProbed, len(t.inFlight))
	w.slots.over = max(w.slots.over, -t.free())
	w.slots.overKilled = max(w.slots.overKilled, len(t.leftBehind)-t.free())
}

// judgeEnd counts an attempt that is over for its backend: finished, or its connection has ended.
func (w *world) judgeEnd(a *attempt) {
	t := &a.request.customer.slots
	t.inFlight = removeAttempt(t.inFlight, a)
	t.leftBehind = removeAttempt(t.leftBehind, a)
}

// judgeCancel counts an attempt whose connection its limiter ends now.
func (w *world) judgeCancel(a *attempt) {
	if a.request.customer.slots.limit > 0 {
		w.after(backendDelay, func() { w.judgeEnd(a) })
	}
}

// judgeLateCancel is judgeCancel for an attempt of a request that has its response.
func (w *world) judgeLateCancel(l *limiter, id core.AttemptID) {
	for _, c := range w.customers {
		for _, a := range c.slots.inFlight {
			if a.limiter == l && a.id == id {
				a.over = true
				w.judgeCancel(a)
			}
		}
	}
}

// judgeDeath counts the attempts of a process that ends now: their connections break, and backends go on.
func (w *world) judgeDeath(l *limiter) {
	for _, c := range w.customers {
		for _, a := range slices.Clone(c.slots.inFlight) {
			if a.limiter == l {
				c.slots.inFlight = removeAttempt(c.slots.inFlight, a)
				c.slots.leftBehind = append(c.slots.leftBehind, a)
				deadline := a.request.sentAt + clientDelay + milliseconds(w.scenario.Traffic.Deadline)
				w.at(deadline, func() { w.judgeEnd(a) })
			}
		}
	}
}

// judgeBackendDeath counts the attempts that processes which died have left at a backend that dies as well.
func (w *world) judgeBackendDeath(b *backend) {
	for _, c := range w.customers {
		c.slots.leftBehind = slices.DeleteFunc(c.slots.leftBehind, func(a *attempt) bool { return a.backend == b })
	}
}

// judgeRejection counts a rejected try; free says whether its units were in the customer's bucket.
func (w *world) judgeRejection(c *customer, unitsFree bool) {
	if c.slots.limit > 0 && c.slots.free() > 0 && unitsFree {
		w.slots.rejectedFree++
	}
}

// probeSlots plays the time after the run that shows which slots can still be used: no requests until each loan
// has ended, then one customer after the other requests as many attempts as it may have, none of which finishes
// before the end of its turn.
func (w *world) probeSlots() {
	w.runUntil(w.end + slotSettleDuration)
	w.slots.probing = true
	for _, c := range w.probedCustomers() {
		c.slots.mostProbed = 0
		turnEnd := w.now + slotProbeDuration
		w.probeUntil(c, turnEnd)
		w.runUntil(turnEnd)
		for _, a := range slices.Clone(c.slots.inFlight) {
			a.finish(admission.Succeeded, nil)
		}
	}
}

// probedCustomers are the first customers that have a limit of attempts in flight.
func (w *world) probedCustomers() (list []*customer) {
	for _, c := range w.customers {
		if c.slots.limit > 0 && len(list) < maxSlotProbes {
			list = append(list, c)
		}
	}
	return list
}

// probeUntil has a customer send a request for each slot that is not in use, at any limiters, again and again.
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

// result is what came of the limits so far; the probe adds to it.
func (j *slotJudge) result(sc *Scenario, messages int) SlotResult {
	return SlotResult{
		Over:         float64(j.over),
		OverKilled:   float64(j.overKilled),
		OverTries:    float64(j.overTries),
		RejectedFree: float64(j.rejectedFree) / float64(max(j.tries, 1)),
		Messages:     float64(messages) / sc.Seconds,
	}
}

// summarizeProbe puts what the probe showed into the result of a run.
func (w *world) summarizeProbe(r *Result) {
	for _, c := range w.probedCustomers() {
		r.Slots.Probed += float64(c.slots.limit)
		r.Slots.Unusable += float64(max(c.slots.limit-c.slots.mostProbed, 0))
	}
	r.Slots.Over = float64(w.slots.over)
	r.Slots.OverKilled = float64(w.slots.overKilled)
	r.Slots.OverTries = float64(w.slots.overTries)
	r.Breaches, r.Broken = w.result.Breaches, w.result.Broken
}

// removeAttempt removes an attempt from a list, if it is in it.
func removeAttempt(list []*attempt, a *attempt) []*attempt {
	return slices.DeleteFunc(list, func(other *attempt) bool { return other == a })
}
