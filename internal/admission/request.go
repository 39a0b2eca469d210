package admission

import (
	"slices"
	"time"
)

// request is a request that has not ended or has an attempt in flight. It waits for a grant of its
// customer's quota, is queued (its quota is granted, it waits for the window), has an attempt in flight, or
// waits for a backend that its retry may use.
type request struct {
	*Request
	class       *requestClass
	customer    *customer
	receivedAt  time.Duration // clock time
	usefulUntil time.Duration // clock time after which an answer is worth little
	deadline    time.Duration // clock time at which the client stops waiting

	hasSlot    bool // counts among its customer's slots
	queued     bool // units are reserved, and no attempt was made yet
	ended      bool // answered, or ended by the caller
	responding bool // the client is being sent a response

	attempts          int           // made so far
	attemptedBackends []*backend    // by attempt
	backend           *backend      // where an attempt is in flight; nil for none
	sentAt            time.Duration // clock time of the last attempt
	inFlightAtSend    int           // attempts in flight at the backend when it was sent, itself included
	canceled          bool          // the attempt in flight has been canceled
	ageRecorded       bool          // the attempt in flight has counted by its age, see recordLateAttempts

	// adoptedUntil is the clock time by which every attempt of a request of another process must have ended; 0 for a
	// request of this process.
	adoptedUntil time.Duration

	retryPrepaid bool // a token is reserved for the retry after the cancellation, see cancelStuckAttempts

	// mayHaveRunOn is the backend of the first attempt that may have run, nil for none, and
	// mayHaveRunFrom the clock time at which it was sent.
	mayHaveRunOn   *backend
	mayHaveRunFrom time.Duration
}

// startAt records that an attempt starts at a backend.
func (r *request) startAt(b *backend, now time.Duration) {
	b.inFlight = append(b.inFlight, r)
	r.backend = b
	r.sentAt = now
	r.inFlightAtSend = len(b.inFlight)
	r.canceled = false
	r.ageRecorded = false
	r.attemptedBackends = append(r.attemptedBackends, b)
	r.attempts++
}

// finishAttempt records that the attempt in flight has ended, and returns its backend.
func (r *request) finishAttempt() *backend {
	b := r.backend
	r.backend = nil
	b.inFlight = slices.DeleteFunc(b.inFlight, func(o *request) bool { return o == r })
	return b
}

// cancelable reports whether the attempt in flight may be canceled.
func (ctl *Controller) cancelable(r *request) bool {
	return ctl.settings.MayCancel && !r.ended && !r.canceled && !r.responding
}

// cancelAttempt cancels the attempt in flight.
func (ctl *Controller) cancelAttempt(r *request) {
	r.canceled = true
	ctl.emit(CancelAttempt{Request: r.ID, Attempt: r.attempts - 1})
}

// endUnserved answers a request that no backend served: it rejects the request if the client may safely send
// it again, and fails it if it may have run.
func (ctl *Controller) endUnserved(r *request) {
	if r.retryByClientIsHarmless() {
		ctl.emit(Reject{Request: r.ID, RetryAfter: ctl.settings.MaxRetryAfter})
	} else {
		ctl.emit(Fail{Request: r.ID})
	}
	ctl.recordCompletion(r)
	ctl.release(r)
}

// retryByClientIsHarmless reports whether the client may send the request again without its running
// twice with effect. A new try of the client can go to any backend.
func (r *request) retryByClientIsHarmless() bool {
	switch r.class.Idempotency {
	case Idempotent:
		return true
	case IdempotentByKey:
		if r.class.IdempotencyScope == ScopeAll && r.backend == nil {
			return true
		}
	}
	return r.mayHaveRunOn == nil && r.backend == nil
}

// release ends a request, and returns the units that it reserved if no attempt was made. It is forgotten
// once it has no attempt in flight.
func (ctl *Controller) release(r *request) {
	if r.queued {
		r.queued = false
		ctl.customers.ledger.Refund(r.customer.account, r.Units, ctl.now)
	}
	if r.backend != nil && ctl.cancelable(r) {
		ctl.cancelAttempt(r)
	}
	r.ended = true
	if r.backend == nil {
		ctl.freeSlot(r)
		delete(ctl.requests, r.ID)
	}
}

// RejectionCounts counts the requests that were ended without an answer of a backend, by cause. It does
// not count those that were rejected at once for an unknown class, because an answer was of no use any more,
// or in a shutdown, nor those that the caller ended (RequestEnded, AttemptFinished.Final). The tags are read by
// scripts.
type RejectionCounts struct {
	// OverQuota counts requests beyond the quota, the ceiling or the slots of their customer as far as known
	// here, so while the start state is unknown also ones that the quota might have covered.
	OverQuota    uint64 `json:"beyond"`
	WindowFull   uint64 `json:"full"`  // the window was full and the queue too long
	QueueTimeout uint64 `json:"held"`  // queued until no answer could be in time
	NotRetried   uint64 `json:"tried"` // attempted without success, and not retried for whatever cause
}

// Rejections returns the counts since the start.
func (ctl *Controller) Rejections() RejectionCounts { return ctl.rejections }
