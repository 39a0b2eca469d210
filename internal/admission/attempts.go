package admission

import "time"

// This file starts attempts, records their results, adopts the attempts of another process, and cancels
// attempts that are stuck.

// stuckLatencies is the time, in expected latencies, after which an attempt at a backend that responds to
// nobody is stuck.
const stuckLatencies = 4.0

// startAttempt forwards a request to a backend.
func (ctl *Controller) startAttempt(r *request, b *backend) {
	if r.queued {
		r.queued = false
		r.customer.account.MarkSent(r.Units)
		ctl.retries.earn()
	}
	ctl.wakeBy(ctl.now + ctl.stuckAfter(r.class))
	ctl.window.attemptRate.Add(ctl.now, 1, ctl.control.memorySeconds)
	r.startAt(b, ctl.now)
	action := StartAttempt{
		Request: r.ID, Backend: b.ID, Deadline: r.deadline, Recovery: ctl.recoveryLeased() && ctl.recoveryDue(b),
	}
	if r.mayHaveRunOn != nil && r.class.Idempotency == IdempotentByKey { // connecting may take long
		action.StartBefore = r.deduplicatedUntil()
	}
	ctl.emit(action)
}

// onAttemptFinished records how an attempt ended, and ends or retries its request.
func (ctl *Controller) onAttemptFinished(ev *AttemptFinished) {
	if ev.Result == Succeeded {
		ctl.freeHeldSlot(ev.Request)
	}
	r := ctl.requests[ev.Request]
	if r == nil || r.backend == nil || ev.Attempt != r.attempts-1 {
		return // not the attempt in flight
	}
	b := r.finishAttempt()
	if r.retryPrepaid { // the retry, if any, is charged by itself
		r.retryPrepaid = false
		ctl.retries.tokens++
	}
	ctl.onLoadReport(b, ev.Report)
	ctl.recordResult(b, r, ev)
	if !ev.Result.NeverRan() && r.mayHaveRunOn == nil {
		r.mayHaveRunOn, r.mayHaveRunFrom = b, r.sentAt
	}
	ctl.continueRequest(r, ev)
	ctl.dispatch()
}

// continueRequest ends or retries a request whose attempt has ended.
func (ctl *Controller) continueRequest(r *request, ev *AttemptFinished) {
	switch {
	case ev.Result == Succeeded && !r.ended:
		ctl.recordCompletion(r)
		ctl.release(r)
	case r.holdsSlotAfter(ev.Result):
		ctl.holdSlot(r)
	case ev.Final || r.ended:
		ctl.release(r)
	case ev.Result.NeverRan():
		ctl.retry(r, retryCostNeverRan)
	default:
		ctl.retry(r, retryCost)
	}
}

// adoptAttempt records an attempt of another process, in place of an earlier one of its request. One whose
// class or backend is not known here counts at no backend, and has a slot all the same.
func (ctl *Controller) adoptAttempt(ev *AttemptAdopted) {
	class, b := ctl.classes.byName[ev.Class], ctl.endpoints.byID[ev.Backend]
	if class == nil || b == nil {
		ctl.holdAdoptedSlot(ev)
		return
	}
	r := ctl.requests[ev.ID]
	if r == nil {
		r = ctl.newAdoptedRequest(&ev.Request)
		r.class = class
		ctl.requests[ev.ID] = r
	}
	if r.backend != nil {
		r.finishAttempt()
	}
	r.attempts = ev.Attempt
	r.startAt(b, ctl.now)
	ctl.takeSlot(r)
}

// holdAdoptedSlot holds a slot for a request of another process, unless it has one.
func (ctl *Controller) holdAdoptedSlot(ev *AttemptAdopted) {
	if ctl.requests[ev.ID] == nil && ctl.planHasSlots(ev.Plan) {
		ctl.holdSlot(ctl.newAdoptedRequest(&ev.Request))
	}
}

// stuckAfter is how long an attempt may be in flight before it may be stuck.
func (ctl *Controller) stuckAfter(c *requestClass) time.Duration {
	return seconds(stuckLatencies*c.expectedLatency()) + ctl.settings.ClockResolution
}

// cancelStuckAttempts cancels attempts at backends that have fallen silent, where the request can be
// retried. It is retried when the result of the canceled attempt arrives.
func (ctl *Controller) cancelStuckAttempts() {
	for _, b := range ctl.endpoints.listed {
		for _, r := range b.inFlight {
			stuckAt := r.sentAt + ctl.stuckAfter(r.class)
			if ctl.now < stuckAt {
				ctl.wakeBy(stuckAt)
				break // the others were sent later
			}
			if ctl.cancelable(r) && b.silentSince(r) && ctl.shouldRetry(r, retryCost) {
				// The token is reserved until the result: several canceled at once must not count on the same.
				r.retryPrepaid = true
				ctl.retries.tokens -= retryCost
				ctl.cancelAttempt(r)
			}
		}
	}
}

// silentSince reports whether a backend has responded to nobody since a request was sent to it. This
// limiter may have no other request there, so an observation of another limiter counts as well, unless
// the failure rate is high.
func (b *backend) silentSince(r *request) bool {
	return b.lastResponseAt <= r.sentAt && (b.observedAt <= r.sentAt || b.failureRate >= recoveredFailureRate)
}
