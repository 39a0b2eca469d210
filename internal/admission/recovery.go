package admission

import "math"

// This file decides when an ejected backend gets a recovery attempt, and when it is in use again.
//
// A recovery attempt is the first attempt of an Idempotent request, with no other attempt of this limiter in
// flight there (see consider). It may be made once nextRecoveryAt has passed, and by the limiter with the
// recovery lease, of which the caller notifies this one by RecoveryLease; without leases by each. Without such
// requests a backend stays ejected, unless it is used for want of others or another limiter reports it well.
//
// The backend is in use again once its failure rate is below recoveredFailureRate: by successes here, nine in
// a row after an Unreachable, or by a newer observation of another limiter.

const (
	// recoveredFailureRate is the failure rate below which an ejected backend is in use again.
	recoveredFailureRate = 0.15
	// recoveryObjectives is the mean time in longest objectives until the first recovery attempt. It
	// doubles with each ejection in a row, maxRecoveryDoublings times at most.
	recoveryObjectives   = 0.5
	maxRecoveryDoublings = 4
	// recoveryLimiters is how many limiters make recovery attempts at that rate if there is no recovery
	// lease. If more of them use a backend, each makes fewer, as one that succeeds notifies the others.
	recoveryLimiters = 8.0
)

// eject takes a backend out of use until it recovers, and sets the time of its next recovery attempt by a
// backoff with jitter.
func (ctl *Controller) eject(b *backend) {
	if b.nextRecoveryAt > ctl.now {
		return
	}
	doublings := min(b.consecutiveEjections, maxRecoveryDoublings)
	backoff := recoveryObjectives * ctl.classes.longestObjective.Seconds() * float64(int(1)<<doublings)
	if !ctl.recoveryLeased() {
		backoff *= max(ctl.limitersPerBackend()/recoveryLimiters, 1)
	}
	backoff *= (1 + ctl.random.Float64()) / 1.5 // times 2/3 to 4/3
	b.nextRecoveryAt = ctl.now + seconds(backoff)
	b.consecutiveEjections++
}

// recoverIfHealthy puts an ejected backend to use again once its failure rate has fallen.
func (b *backend) recoverIfHealthy() {
	if b.ejected() && b.failureRate < recoveredFailureRate {
		b.nextRecoveryAt, b.consecutiveEjections = 0, 0
	}
}

// recoveryDue reports whether this limiter should make a recovery attempt at a backend now.
func (ctl *Controller) recoveryDue(b *backend) bool {
	return b.ejected() && ctl.now >= b.nextRecoveryAt && ctl.now < ctl.recoveryUntil
}

// recoveryLeased reports whether one limiter makes the recovery attempts for all.
func (ctl *Controller) recoveryLeased() bool { return ctl.recoveryUntil != math.MaxInt64 }
