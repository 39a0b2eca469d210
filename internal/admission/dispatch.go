package admission

// This file decides which queued request is forwarded next: weighted dispatch among the classes, by
// credit, while the window has room.

// maxCredit bounds the credit of a class, in dispatches, on both sides of zero.
const maxCredit = 2.0

// dispatch forwards the requests that may be forwarded now: first retries that wait for a backend, then queued
// requests of the classes by their credit, while the window has room.
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
			ctl.wakeBy(ctl.now + ctl.classes.pollInterval())
			return
		}
		c.queue = c.queue[1:]
		ctl.chargeCredit(c)
		ctl.window.fraction.Amount--
		ctl.startAttempt(r, b)
	}
}

// nextClass drops requests that can no longer be in time from the heads of the queues, and returns the class
// with the most credit of those with queued requests, the heavier one if equal; nil if nothing is queued.
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

// dropLateHeads drops requests from the head of a queue that have ended or can no longer be in time. It leaves
// no margin, as what remains can be forwarded right now.
func (ctl *Controller) dropLateHeads(c *requestClass) {
	for len(c.queue) > 0 {
		r := c.queue[0]
		if !r.ended && ctl.now <= ctl.latestStart(r) {
			return
		}
		c.queue = c.queue[1:]
		if !r.ended {
			ctl.rejections.QueueTimeout++
			ctl.endUnserved(r)
		}
	}
}

// expireQueued ends queued requests that cannot be in time, also behind the heads of the queues: their
// budgets differ. It does so two poll intervals early, as it runs by a timer that may be late.
func (ctl *Controller) expireQueued() {
	margin := ctl.classes.pollInterval() * 2
	for _, c := range ctl.classes.byWeight {
		for _, r := range c.queue {
			if r.ended {
				continue
			}
			if expiry := ctl.latestStart(r) - margin; ctl.now <= expiry {
				ctl.wakeBy(expiry + ctl.settings.ClockResolution)
				continue
			}
			ctl.rejections.QueueTimeout++
			ctl.endUnserved(r)
		}
	}
}

// chargeCredit charges a class the dispatch that it had, and divides one dispatch among it and the classes with
// queued requests by their shares: in the long run, classes are dispatched in proportion to their shares.
func (ctl *Controller) chargeCredit(dispatched *requestClass) {
	waiting := func(c *requestClass) bool { return len(c.queue) > 0 || c == dispatched }
	sum := 0.0
	for _, c := range ctl.classes.all {
		if waiting(c) {
			sum += c.share
		}
	}
	for _, c := range ctl.classes.all {
		if waiting(c) {
			c.credit = min(c.credit+c.share/sum, maxCredit)
		}
	}
	dispatched.credit = max(dispatched.credit-1, -maxCredit)
}
