package admission

import "time"

// This file decides whether a request that arrives is admitted: whether a response can still be useful, and whether
// the customer's quota covers the request. Admitted requests are queued in their class.

const (
	// usualBudgetFraction is the fraction of a class's recent budgets that must be equal for that budget to be
	// the usual one.
	usualBudgetFraction = 0.25
	// budgetTolerancesPerObjective: budgets are considered equal if they differ by at most the shortest
	// objective divided by this. Budgets that were equal at the clients differ by the network latency.
	budgetTolerancesPerObjective = 50
	// maxQueueFraction is the fraction of its budget for which a request may be queued at most. The network
	// takes some of the client's time as well, and a later rejection costs the client more than the request is
	// worth.
	maxQueueFraction = 0.45
	// minRemainingLatencies is the time, in mean latencies, that a queued request must have left when it is
	// forwarded. With it, most responses arrive in time.
	minRemainingLatencies = 2.0
)

// admit handles a request that has arrived. It rejects the request at once if a response would be of no use any
// more, if the customer is over quota, or if the queue is too long. Otherwise the request is forwarded or queued, or
// waits for a grant of other limiters.
func (ctl *Controller) admit(ev *Request) {
	class := ctl.classes.byName[ev.Class]
	if class == nil {
		ctl.emit(Reject{Request: ev.ID, Reason: EndUnknownClass})
		return
	}
	usefulUntil := ctl.now + min(class.LatencyObjective, ev.Budget) - ctl.recordClientBudget(class, ev)
	isUseful := usefulUntil > ctl.now
	customer := ctl.recordCustomerRequest(ev, isUseful)
	switch {
	case !isUseful:
		ctl.emit(Reject{Request: ev.ID, RetryAfter: ctl.settings.MaxRetryAfter, Reason: EndTooLate})
		return
	case customer == nil:
		ctl.emit(Reject{Request: ev.ID, RetryAfter: ctl.settings.MaxRetryAfter, Reason: EndTooManyCustomers})
		return
	}
	r := &request{
		Request: ev, class: class, customer: customer, receivedAt: ctl.now, usefulUntil: usefulUntil, deadline: ctl.now + ev.Budget,
	}
	if ctl.customers.shuttingDown && r.customer.plan.limitsRate() {
		ctl.emit(Reject{Request: ev.ID, Reason: EndShuttingDown}) // its units may be in use at another limiter already
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

// limitsRate reports whether a plan has a rate or a ceiling, so that units are counted.
func (p *Plan) limitsRate() bool { return p.Rate+p.CeilingRate > 0 }

// onQuotaDecision forwards, queues or rejects a request according to the decision of the ledger. The Retry-After of
// a rejection is wait, bounded by the settings.
func (ctl *Controller) onQuotaDecision(r *request, granted bool, wait time.Duration) {
	if !granted {
		ctl.rejections.OverQuota++
		ctl.emit(Reject{Request: r.ID, RetryAfter: min(max(wait, 0), ctl.settings.MaxRetryAfter), Reason: EndOverQuota})
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
	ctl.scheduleTick(ctl.latestStart(r))
	ctl.dispatch()
}

// rejectIfQueueTooLong ends a request that would be queued beyond its latestStart. It reports whether it ended the
// request.
func (ctl *Controller) rejectIfQueueTooLong(r *request) bool {
	if !ctl.windowFull() || ctl.queueDelay(r.class) <= (ctl.latestStart(r)-ctl.now).Seconds() {
		return false
	}
	ctl.rejections.WindowFull++
	ctl.endUnserved(r, EndWindowFull)
	return true
}

// queueDelay estimates the queueing time, in seconds, of a request that joins the queue of a class: the length of the
// queue divided by the attempt rate of the class, which is taken to be at least one per second.
func (ctl *Controller) queueDelay(c *requestClass) float64 {
	attemptRate := ctl.window.attemptRate.Value(ctl.now, ctl.control.memorySeconds) * c.share
	return float64(len(c.queue)) / max(attemptRate, 1)
}

// requiredTime returns the time in seconds that a queued request must have left to be worth an attempt.
// It is bounded by the usual backend target. Otherwise the latencies measured in an overload would cause all later
// requests to be rejected, and no lower latency would ever be measured.
func (ctl *Controller) requiredTime(c *requestClass) float64 {
	return minRemainingLatencies * min(c.meanLatency, c.usualBackendTarget())
}

// latestStart returns the clock time by which a queued request must be forwarded for its response to be useful.
func (ctl *Controller) latestStart(r *request) time.Duration {
	byLatency := r.usefulUntil - seconds(ctl.requiredTime(r.class))
	byBudget := r.receivedAt + seconds(maxQueueFraction*r.Budget.Seconds())
	return min(byLatency, byBudget)
}

// recordClientBudget records the budget of a client and infers how long the client has waited since its first try. A
// client retry after the latency objective earns nothing, yet consumes units and a slot.
// A first try has the usual budget of its class; a retry has only the time left until the deadline. waited is 0 if
// the budgets of first tries differ, or if clients mark their retries and this request is not marked.
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
