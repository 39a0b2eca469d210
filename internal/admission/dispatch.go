package admission

// This file selects the queued request to forward next: weighted dispatch among the classes by dispatch credit, while
// the window is not full.

// maxCredit bounds the absolute value of a class's credit, in dispatches.
const maxCredit = 2.0

// dispatch forwards the requests that may be forwarded now: first retries that wait for a backend, then queued
// requests of the classes by their credit, until the window is full.
func (ctl *Controller) dispatch() {
	ctl.dispatchRetries()
	for {
		c := ctl.nextClass()
		if c == nil {
			return
		}
		if ctl.windowFull() {
			ctl.window.wasFull = true
			return
		}
		r := c.queue[0]
		b := ctl.selectBackend(r)
		if b == nil {
			ctl.scheduleTick(ctl.now + ctl.classes.pollInterval())
			return
		}
		c.queue = c.queue[1:]
		ctl.chargeCredit(c)
		ctl.window.fraction.Amount--
		ctl.startAttempt(r, b)
	}
}

// nextClass removes requests that can no longer be served in time from the heads of the queues. Of the classes with
// queued requests, it returns the one with the most credit, or with the most weight if credits are equal; nil if no
// request is queued.
func (ctl *Controller) nextClass() *requestClass {
	var next *requestClass
	for _, c := range ctl.classes.byWeight {
		ctl.dropLateHeads(c)
		if len(c.queue) > 0 && (next == nil || c.credit > next.credit) {
			next = c
		}
	}
	return next
}

// dropLateHeads removes requests from the head of a queue that have ended or can no longer be served in time. It uses
// no margin, as the remaining requests can be forwarded immediately.
func (ctl *Controller) dropLateHeads(c *requestClass) {
	for len(c.queue) > 0 {
		r := c.queue[0]
		if !r.ended && ctl.now <= ctl.latestStart(r) {
			return
		}
		c.queue = c.queue[1:]
		if !r.ended {
			ctl.rejections.QueueTimeout++
			ctl.endUnserved(r, EndQueueTimeout)
		}
	}
}

// expireQueued ends queued requests that cannot be served in time, also behind the heads of the queues, as budgets
// differ. It does so two poll intervals early, as it is run by a timer that may fire late.
func (ctl *Controller) expireQueued() {
	margin := ctl.classes.pollInterval() * 2
	for _, c := range ctl.classes.byWeight {
		for _, r := range c.queue {
			if r.ended {
				continue
			}
			if expiry := ctl.latestStart(r) - margin; ctl.now <= expiry {
				ctl.scheduleTick(expiry + ctl.settings.ClockResolution)
				continue
			}
			ctl.rejections.QueueTimeout++
			ctl.endUnserved(r, EndQueueTimeout)
		}
	}
}

// chargeCredit charges a class for one dispatch and distributes the credit of one dispatch among this class and the
// classes with queued requests, by their shares. In the long run, classes are dispatched in proportion to their shares.
func (ctl *Controller) chargeCredit(dispatched *requestClass) {
	competes := func(c *requestClass) bool { return len(c.queue) > 0 || c == dispatched }
	sum := 0.0
	for _, c := range ctl.classes.all {
		if competes(c) {
			sum += c.share
		}
	}
	for _, c := range ctl.classes.all {
		if competes(c) {
			c.credit = min(c.credit+c.share/sum, maxCredit)
		}
	}
	dispatched.credit = max(dispatched.credit-1, -maxCredit)
}
