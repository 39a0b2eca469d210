package admission

import "time"

// This file decides whether a request is retried after a failed attempt: only if repeating it is safe, while the retry
// budget lasts, and while a response can still be useful.

const (
	// retryCost is the number of tokens that a retry takes from the retry budget. retryCostNeverRan is the cost of
	// an immediate retry after an attempt that never ran, which caused no work at the backend. A retry that waited
	// for a backend always costs retryCost.
	retryCost         = 1.0
	retryCostNeverRan = 0.25
	// retriesPerRequest is the number of tokens that the first attempt of a request adds to the retry budget. It is
	// low, so that retries do not slow down slow backends further.
	retriesPerRequest = 0.15
	// retryBurst is the number of retries that all limiters together can save up, for the attempts in flight at a
	// backend that goes down.
	retryBurst = 16.0
	// deduplicationMarginDivisor: a tenth of the idempotency window is reserved for network latency and clock
	// differences.
	deduplicationMarginDivisor = 10
)

// retryBudget contains the tokens of the retry budget, and the requests whose retry waits for a backend.
type retryBudget struct {
	waiting   []*request
	tokens    float64 // retries that may be made
	maxTokens float64
}

// newRetryBudget returns a full budget: one retry, plus this limiter's part of retryBurst.
func newRetryBudget(limiters int) retryBudget {
	maxTokens := 1 + retryBurst/float64(limiters)
	return retryBudget{tokens: maxTokens, maxTokens: maxTokens}
}

// deposit adds the tokens of a first attempt to the budget.
func (q *retryBudget) deposit() { q.tokens = min(q.tokens+retriesPerRequest, q.maxTokens) }

// retry starts another attempt of a request, makes the request wait for a backend, or ends it. The cost is taken from
// the retry budget.
func (ctl *Controller) retry(r *request, cost float64) {
	if !ctl.shouldRetry(r, cost) {
		ctl.rejections.NotRetried++
		ctl.endUnserved(r, EndNotRetried)
		return
	}
	b := ctl.selectBackend(r)
	if b == nil {
		ctl.retries.waiting = append(ctl.retries.waiting, r)
		ctl.scheduleTick(ctl.now + ctl.classes.pollInterval())
		return
	}
	ctl.retries.tokens -= cost
	ctl.startAttempt(r, b)
}

// dispatchRetries selects a backend again for each retry that waits for one.
func (ctl *Controller) dispatchRetries() {
	waiting := ctl.retries.waiting
	ctl.retries.waiting = waiting[len(waiting):]
	for _, r := range waiting {
		if !r.ended {
			ctl.retry(r, retryCost)
		}
	}
}

// shouldRetry reports whether another attempt is safe, within the budgets and early enough to be useful.
func (ctl *Controller) shouldRetry(r *request, cost float64) bool {
	return ctl.mayRetry(r) && r.attempts < max(ctl.settings.MaxAttempts, 1) && ctl.retries.tokens >= cost &&
		ctl.now+seconds(r.class.meanLatency) <= r.usefulUntil
}

// mayRetry reports whether another attempt cannot make the request take effect twice. A request with an idempotency key
// may be retried only while backends reliably deduplicate it. An attempt in flight, which would be canceled first, counts
// as one that may have run.
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

// deduplicatedUntil returns the clock time from which backends may no longer drop a repeat of a request with an
// idempotency key that may have run.
func (r *request) deduplicatedUntil() time.Duration {
	firstSentAt := r.mayHaveRunFrom
	if r.mayHaveRunOn == nil {
		firstSentAt = r.sentAt
	}
	window := r.class.IdempotencyWindow
	return firstSentAt + window - window/deduplicationMarginDivisor
}

// deduplicates reports whether a backend would drop a repeat of a request: a request with an idempotency key that may
// have run is restricted to the scope that remembers the key.
func (ctl *Controller) deduplicates(r *request, b *backend) bool {
	firstBackend := r.mayHaveRunOn
	if firstBackend == nil || r.class.Idempotency == Idempotent {
		return true
	}
	switch r.class.IdempotencyScope {
	case ScopeAll:
		return true
	case ScopeZone:
		return b.Zone == firstBackend.Zone
	}
	return b.Zone == firstBackend.Zone && b.Cell == firstBackend.Cell
}
