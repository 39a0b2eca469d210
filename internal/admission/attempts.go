package admission

import "time"

// This file starts attempts, records their results, adopts the attempts of another process, and cancels stuck
// attempts.

// stuckLatencies is the age, in expected latencies, from which an attempt is stuck if its backend has not responded
// to any request since.
const stuckLatencies = 4.0

// startAttempt forwards a request to a backend.
func (ctl *Controller) startAttempt(r *request, b *backend) {
	if r.queued {
		r.queued = false
		r.customer.account.MarkSent(r.Units)
		ctl.retries.deposit()
	}
	ctl.scheduleTick(ctl.now + ctl.stuckAfter(r.class))
	ctl.window.attemptRate.Add(ctl.now, 1, ctl.control.memorySeconds)
	r.startAt(b, ctl.now)
	action := StartAttempt{
		Request: r.ID, Backend: b.ID, Deadline: r.deadline, Recovery: ctl.recoveryLeased() && ctl.recoveryDue(b),
	}
	if r.mayHaveRunOn != nil && r.class.Idempotency == IdempotentByKey { // connecting may take a long time
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
	if r.retryTokenReserved { // return the reserved tokens; a retry is charged separately
		r.retryTokenReserved = false
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

// adoptAttempt records an attempt of another process; it replaces an earlier attempt of the same request. An attempt
// whose class or backend is not known here is not counted at any backend, but its request keeps a slot.
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

// holdAdoptedSlot holds a slot for a request of another process, unless the request already has one.
func (ctl *Controller) holdAdoptedSlot(ev *AttemptAdopted) {
	if ctl.requests[ev.ID] == nil && ctl.planHasSlots(ev.Plan) {
		ctl.holdSlot(ctl.newAdoptedRequest(&ev.Request))
	}
}

// stuckAfter returns how long an attempt may be in flight before it can be considered stuck.
func (ctl *Controller) stuckAfter(c *requestClass) time.Duration {
	return seconds(stuckLatencies*c.expectedLatency()) + ctl.settings.ClockResolution
}

// cancelStuckAttempts cancels attempts at backends that have stopped responding if their requests can be retried.
// A request is retried when the result of the canceled attempt arrives.
func (ctl *Controller) cancelStuckAttempts() {
	for _, b := range ctl.endpoints.listed {
		for _, r := range b.inFlight {
			stuckAt := r.sentAt + ctl.stuckAfter(r.class)
			if ctl.now < stuckAt {
				ctl.scheduleTick(stuckAt)
				break // later entries were sent later
			}
			if ctl.cancelable(r) && b.silentSince(r) && ctl.shouldRetry(r, retryCost) {
				// Reserve the token until the result arrives, so that several cancellations do not rely on the same one.
				r.retryTokenReserved = true
				ctl.retries.tokens -= retryCost
				ctl.cancelAttempt(r)
			}
		}
	}
}

// silentSince reports whether a backend has not responded to anyone since a request was sent to it. This limiter may
// have no other request there, so an observation of another limiter counts as a response too, unless the failure rate
// is high.
func (b *backend) silentSince(r *request) bool {
	return b.lastResponseAt <= r.sentAt && (b.observedAt <= r.sentAt || b.failureRate >= recoveredFailureRate)
}
