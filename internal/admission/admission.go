package admission

import "time"

// This file decides when a request arrives whether an answer may still be of use, and queues it in its
// class once its quota is decided.

const (
	// usualBudgetFraction is the fraction of recent budgets that must be equal to count as the usual
	// budget of a class.
	usualBudgetFraction = 0.25
	// budgetWidthsPerObjective: budgets count as equal if they differ by no more than the shortest
	// objective over this. Equal ones differ by the time that a request was on its way.
	budgetWidthsPerObjective = 50
	// maxQueueFraction is the fraction of its budget that a request may be queued at most: the way here
	// and back takes some of the client's time as well.
	maxQueueFraction = 0.45
	// latenciesToSpare is the time, in mean latencies, that a queued request must have left: most
	// answers then come in time.
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
	r.usefulUntil = min(r.receivedAt+class.LatencyObjective, r.deadline) - ctl.clientWaited(class, ev)
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
	if ctl.rejectIfQueueTooLong(r) { // before units are reserved in vain
		return
	}
	if len(r.customer.waiting) > 0 || !ctl.reserveQuota(r, false) {
		ctl.waitForGrant(r)
	}
}

// limitsRate reports whether units of a plan are counted.
func (p *Plan) limitsRate() bool { return p.Rate+p.CeilingRate > 0 }

// onQuotaDecision forwards, queues or rejects a request once its quota is decided. With a rejection the
// client is advised to stay away for wait.
func (ctl *Controller) onQuotaDecision(r *request, granted bool, wait time.Duration) {
	if !granted {
		ctl.rejections.OverQuota++
		ctl.emit(Reject{Request: r.ID, RetryAfter: min(max(wait, 0), ctl.settings.MaxRetryAfter)})
		ctl.release(r)
		return
	}
	r.class.arrivals++
	r.queued = true
	r.customer.queued++
	ctl.syncSlots(r.customer)
	if ctl.rejectIfQueueTooLong(r) {
		return
	}
	r.class.queue = append(r.class.queue, r)
	ctl.wakeBy(ctl.latestStart(r))
	ctl.dispatch()
}

// rejectIfQueueTooLong ends a request that would be queued for longer than it can be of use, and
// reports whether it did.
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
// The backend target bounds it: after a jam, latencies seen in it would reject everything, and
// nothing better would ever be seen.
func (ctl *Controller) requiredTime(c *requestClass) float64 {
	return latenciesToSpare * min(c.meanLatency, backendTargetFraction*c.LatencyObjective.Seconds())
}

// latestStart is the clock time by which a queued request must have been forwarded to be of use. A
// client that is rejected after half of its time was cost more than its request is worth.
func (ctl *Controller) latestStart(r *request) time.Duration {
	byLatency := r.usefulUntil - seconds(ctl.requiredTime(r.class))
	byBudget := r.receivedAt + seconds(maxQueueFraction*r.Budget.Seconds())
	return min(byLatency, byBudget)
}

// clientWaited infers how long a client has been waiting since its first try: a retry of the client
// after the objective earns nothing, yet takes units and a slot. The budget of a first try is the
// usual one of its class; the budget of a retry is what is left before the deadline. Where the budgets
// of first tries simply differ, or a client marks its retries and this is none, it is 0.
func (ctl *Controller) clientWaited(c *requestClass, ev *Request) time.Duration {
	width := ctl.classes.shortestObjective / budgetWidthsPerObjective
	c.recordBudget(ev.Budget, width)
	switch {
	case c.usualBudget == 0:
		return 0
	case (ev.Budget - c.usualBudget).Abs() <= width:
		return 0
	case ctl.settings.ClientsMarkRetries && !ev.IsRetry:
		return 0
	}
	return max(c.Deadline-ev.Budget, 0)
}
