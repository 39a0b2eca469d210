package admission

import "time"

// This file decides, when a request arrives, whether an answer can still be of use, and queues the request in
// its class once its quota is granted.

const (
	// usualBudgetFraction is the fraction of recent budgets that must be equal to count as the usual
	// budget of a class.
	usualBudgetFraction = 0.25
	// budgetTolerancesPerObjective: budgets count as equal if they differ by no more than the shortest
	// objective over this. Budgets that were equal at the clients differ by the time on the network.
	budgetTolerancesPerObjective = 50
	// maxQueueFraction is the fraction of its budget for which a request may be queued at most. The network
	// takes some of the client's time as well, and a later rejection costs the client more than the request is
	// worth.
	maxQueueFraction = 0.45
	// latenciesToSpare is the time, in mean latencies, that must be left to a queued request when it is
	// forwarded: most answers then come in time.
	latenciesToSpare = 2.0
)

// admit decides what becomes of a request that has arrived. It is rejected at once if an answer is of no
// use any more, if its customer is over quota, or if the queue is too long; otherwise it is forwarded or
// queued, or waits for a grant of other limiters.
func (ctl *Controller) admit(ev *Request) {
	class := ctl.classes.byName[ev.Class]
	if class == nil {
		ctl.emit(Reject{Request: ev.ID})
		return
	}
	r := &request{
		Request: ev, class: class, customer: ctl.touchCustomer(ev), receivedAt: ctl.now, deadline: ctl.now + ev.Budget,
	}
	r.usefulUntil = min(r.receivedAt+class.LatencyObjective, r.deadline) - ctl.recordClientBudget(class, ev)
	if r.usefulUntil <= ctl.now {
		ctl.emit(Reject{Request: ev.ID, RetryAfter: ctl.settings.MaxRetryAfter})
		return
	}
	if ctl.customers.leaving && r.customer.plan.limitsRate() {
		ctl.emit(Reject{Request: ev.ID}) // its units may be in use at another limiter already
		return
	}
	ctl.requests[ev.ID] = r
	ctl.probeStaleBackend()
	if ctl.customers.firstRequestAt == 0 {
		ctl.customers.firstRequestAt = ctl.now
	}
	ctl.customers.ledger.RecordDemand(r.customer.account, ev.Units, ctl.now)
	if ctl.rejectIfQueueTooLong(r) { // before units are reserved
		return
	}
	if len(r.customer.waiting) > 0 || !ctl.reserveQuota(r, false) {
		ctl.waitForGrant(r)
	}
}

// limitsRate reports whether units of a plan are counted.
func (p *Plan) limitsRate() bool { return p.Rate+p.CeilingRate > 0 }

// onQuotaDecision forwards, queues or rejects a request by the decision of the ledger. With a rejection the
// client is advised to wait for a time.
func (ctl *Controller) onQuotaDecision(r *request, granted bool, wait time.Duration) {
	if !granted {
		ctl.rejections.OverQuota++
		ctl.emit(Reject{Request: r.ID, RetryAfter: min(max(wait, 0), ctl.settings.MaxRetryAfter)})
		ctl.release(r)
		return
	}
	r.class.arrivals++
	r.queued = true
	ctl.takeSlot(r)
	if ctl.rejectIfQueueTooLong(r) {
		return
	}
	r.class.queue = append(r.class.queue, r)
	ctl.wakeBy(ctl.latestStart(r))
	ctl.dispatch()
}

// rejectIfQueueTooLong ends a request that would be queued beyond its latestStart, and reports whether it
// did.
func (ctl *Controller) rejectIfQueueTooLong(r *request) bool {
	if !ctl.windowFull() || ctl.queueDelay(r.class) <= (ctl.latestStart(r)-ctl.now).Seconds() {
		return false
	}
	ctl.rejections.WindowFull++
	ctl.endUnserved(r)
	return true
}

// queueDelay estimates in seconds how long a request that joins the queue of a class waits: the
// length of the queue over the rate of attempts of the class, which counts as one per second at least.
func (ctl *Controller) queueDelay(c *requestClass) float64 {
	served := ctl.window.attemptRate.Value(ctl.now, ctl.control.memorySeconds) * c.share
	return float64(len(c.queue)) / max(served, 1)
}

// requiredTime is the time in seconds that a queued request must have left to be worth an attempt.
// The usual backend target bounds it: the latencies of an overload would otherwise have everything rejected
// afterwards, and no better ones would ever be measured.
func (ctl *Controller) requiredTime(c *requestClass) float64 {
	return latenciesToSpare * min(c.meanLatency, c.usualBackendTarget())
}

// latestStart is the clock time by which a queued request must have been forwarded to be of use.
func (ctl *Controller) latestStart(r *request) time.Duration {
	byLatency := r.usefulUntil - seconds(ctl.requiredTime(r.class))
	byBudget := r.receivedAt + seconds(maxQueueFraction*r.Budget.Seconds())
	return min(byLatency, byBudget)
}

// recordClientBudget records the budget of a client, and infers from it how long the client has been waiting
// since its first try: a retry of the client after the objective earns nothing, yet takes units and a slot.
// The budget of a first try is the usual one of its class; the budget of a retry is what is left before the
// deadline. If the budgets of first tries differ, or clients mark their retries and this is none, it is 0.
func (ctl *Controller) recordClientBudget(c *requestClass, ev *Request) (waited time.Duration) {
	tolerance := ctl.classes.shortestObjective / budgetTolerancesPerObjective
	c.recordBudget(ev.Budget, tolerance)
	switch {
	case c.usualBudget == 0:
		return 0
	case (ev.Budget - c.usualBudget).Abs() <= tolerance:
		return 0
	case ctl.settings.ClientsMarkRetries && !ev.IsRetry:
		return 0
	}
	return max(c.Deadline-ev.Budget, 0)
}
