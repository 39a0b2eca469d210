package admission

import (
	"slices"
	"time"
)

// request is a request that has not ended or has an attempt in flight. It waits for a grant of its
// customer's quota, is queued (its quota is granted and it waits for the window), has an attempt in flight, or
// waits for a backend that its retry may use.
type request struct {
	*Request
	class       *requestClass
	customer    *customer
	receivedAt  time.Duration // clock time
	usefulUntil time.Duration // clock time after which a response is worth little
	deadline    time.Duration // clock time at which the client stops waiting

	hasSlot    bool // is counted in its customer's slots
	queued     bool // units are reserved and no attempt was started yet
	ended      bool // answered, or ended by the caller
	responding bool // a response is being sent to the client

	attempts          int           // started so far
	attemptedBackends []*backend    // by attempt
	backend           *backend      // of the attempt in flight; nil for none
	sentAt            time.Duration // clock time of the last attempt
	inFlightAtSend    int           // attempts in flight at the backend when it was sent, including itself
	canceled          bool          // the attempt in flight has been canceled
	ageRecorded       bool          // the age of the attempt in flight has been recorded, see recordLateAttempts

	// adoptedUntil is the clock time by which every attempt of a request of another process must have ended; 0 for a
	// request of this process.
	adoptedUntil time.Duration

	retryTokenReserved bool // a retry token is reserved during the cancellation, see cancelStuckAttempts

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

// endUnserved ends a request that no backend served: it rejects the request if the client may safely send it again, and
// fails it otherwise.
func (ctl *Controller) endUnserved(r *request, reason EndReason) {
	if r.safeForClientToRetry() {
		ctl.emit(Reject{Request: r.ID, RetryAfter: ctl.settings.MaxRetryAfter, Reason: reason})
	} else {
		ctl.emit(Fail{Request: r.ID, Reason: reason})
	}
	ctl.recordCompletion(r)
	ctl.release(r)
}

// safeForClientToRetry reports whether the client may send the request again without the request taking effect twice.
// A client retry can be forwarded to any backend.
func (r *request) safeForClientToRetry() bool {
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

// release ends a request, and returns the units that it reserved if no attempt was started. The request is deleted once
// it has no attempt in flight.
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

// RejectionCounts counts the requests that ended without a response of a backend, by cause. It does not count requests
// that were rejected at once for an unknown class, because a response was of no use any more, or during a shutdown,
// nor those that the caller ended (RequestEnded, AttemptFinished.Final). Scripts read the JSON keys.
type RejectionCounts struct {
	// OverQuota counts requests that exceed the quota, the ceiling or the slots of their customer according to the
	// local state. While the start state is unknown, this includes requests that the quota might have covered.
	OverQuota    uint64 `json:"beyond"`
	WindowFull   uint64 `json:"full"`  // the window was full and the queue too long
	QueueTimeout uint64 `json:"held"`  // queued until a response could no longer be in time
	NotRetried   uint64 `json:"tried"` // attempted without success, and not retried for any reason
}

// Rejections returns the rejection counts since the start.
func (ctl *Controller) Rejections() RejectionCounts { return ctl.rejections }
