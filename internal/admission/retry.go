package admission

import "time"

// This file decides whether a request whose attempt failed is attempted again: only where repeating it
// does no harm, while the retry budget lasts, and while an answer can still be of use.

const (
	// retryCost is what a retry takes from the retry budget; retryCostNeverRan is that of a retry made at
	// once after an attempt that never ran, which was no work for the backend. A retry that had to wait for a
	// backend takes retryCost in any case.
	retryCost         = 1.0
	retryCostNeverRan = 0.25
	// retriesPerRequest is what the first attempt of a request adds to the retry budget: so little that
	// retries do not make slow backends slower.
	retriesPerRequest = 0.15
	// retryBurst is how many retries all limiters together save up, for the attempts in flight at a backend that
	// goes down.
	retryBurst = 16.0
	// deduplicationMarginDivisor: a tenth of the idempotency window is left for the network and for clocks that
	// differ.
	deduplicationMarginDivisor = 10
)

// retryBudget is the retry budget, and the requests whose retry waits for a backend.
type retryBudget struct {
	waiting   []*request
	tokens    float64 // retries that may be made
	maxTokens float64
}

// newRetryBudget returns a full budget: one retry, and a part of the burst of all limiters.
func newRetryBudget(limiters int) retryBudget {
	most := 1 + retryBurst/float64(limiters)
	return retryBudget{tokens: most, maxTokens: most}
}

// earn adds what a first attempt earns to the budget.
func (q *retryBudget) earn() { q.tokens = min(q.tokens+retriesPerRequest, q.maxTokens) }

// retry attempts a request again, lets it wait for a backend, or ends it. The cost is taken from the
// retry budget.
func (ctl *Controller) retry(r *request, cost float64) {
	if !ctl.shouldRetry(r, cost) {
		ctl.rejections.NotRetried++
		ctl.endUnserved(r)
		return
	}
	b := ctl.selectBackend(r)
	if b == nil {
		ctl.retries.waiting = append(ctl.retries.waiting, r)
		ctl.wakeBy(ctl.now + ctl.classes.pollInterval())
		return
	}
	ctl.retries.tokens -= cost
	ctl.startAttempt(r, b)
}

// dispatchRetries selects again among backends for the retries that wait for one.
func (ctl *Controller) dispatchRetries() {
	waiting := ctl.retries.waiting
	ctl.retries.waiting = waiting[len(waiting):]
	for _, r := range waiting {
		if !r.ended {
			ctl.retry(r, retryCost)
		}
	}
}

// shouldRetry reports whether another attempt is allowed, affordable and of use.
func (ctl *Controller) shouldRetry(r *request, cost float64) bool {
	return ctl.mayRetry(r) && r.attempts < max(ctl.settings.MaxAttempts, 1) && ctl.retries.tokens >= cost &&
		ctl.now+seconds(r.class.meanLatency) <= r.usefulUntil
}

// mayRetry reports whether another attempt cannot make the request run twice with effect. One with an
// idempotency key may be retried only while backends are sure to drop repeats. An attempt in flight, which
// would be canceled first, counts as one that may have run.
func (ctl *Controller) mayRetry(r *request) bool {
	neverRan := r.mayHaveRunOn == nil && r.backend == nil
	switch {
	case neverRan || r.class.Idempotency == Idempotent:
		return true
	case r.class.Idempotency == IdempotentByKey:
		return ctl.now < r.deduplicatedUntil()
	}
	return false
}

// deduplicatedUntil is the clock time from which on backends may no longer drop a repeat of a request
// with an idempotency key that may have run.
func (r *request) deduplicatedUntil() time.Duration {
	first := r.mayHaveRunFrom
	if r.mayHaveRunOn == nil {
		first = r.sentAt
	}
	window := r.class.IdempotencyWindow
	return first + window - window/deduplicationMarginDivisor
}

// deduplicates reports whether a backend would drop a repeat of a request: a request with an
// idempotency key that may have run stays within the scope that remembers the key.
func (ctl *Controller) deduplicates(r *request, b *backend) bool {
	first := r.mayHaveRunOn
	if first == nil || r.class.Idempotency == Idempotent {
		return true
	}
	switch r.class.IdempotencyScope {
	case ScopeAll:
		return true
	case ScopeZone:
		return b.Zone == first.Zone
	}
	return b.Zone == first.Zone && b.Cell == first.Cell
}
