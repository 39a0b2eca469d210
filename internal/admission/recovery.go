package admission

import "math"

// This file decides when an ejected backend gets a recovery attempt and when it has recovered.
//
// A recovery attempt is the first attempt of an Idempotent request, made while no other attempt of this limiter is in
// flight at the backend (see consider). It is allowed after nextRecoveryAt, at the limiter that holds the recovery lease,
// which the caller reports by RecoveryLease; without leases, at every limiter. Without Idempotent requests a backend
// stays ejected, unless it is used because no other is available, or another limiter reports that it is healthy.
//
// The backend has recovered when its failure rate is below recoveredFailureRate: by successes at this limiter, nine
// consecutive ones after an Unreachable, or by a newer observation of another limiter.

const (
	// recoveredFailureRate is the failure rate below which an ejected backend is used again.
	recoveredFailureRate = 0.15
	// recoveryObjectives is the mean time in longest objectives until the first recovery attempt. It
	// doubles with each consecutive ejection, at most maxRecoveryDoublings times.
	recoveryObjectives   = 0.5
	maxRecoveryDoublings = 4
	// recoveryLimiters is the number of limiters that make recovery attempts at that rate if there is no recovery
	// lease. If more limiters use a backend, each makes fewer attempts, as a limiter that succeeds notifies the
	// others.
	recoveryLimiters = 8.0
)

// eject excludes a backend until it recovers, and sets the time of its next recovery attempt by an exponential backoff
// with jitter.
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

// recoverIfHealthy ends the ejection of a backend whose failure rate is below recoveredFailureRate.
func (b *backend) recoverIfHealthy() {
	if b.ejected() && b.failureRate < recoveredFailureRate {
		b.nextRecoveryAt, b.consecutiveEjections = 0, 0
	}
}

// recoveryDue reports whether this limiter should make a recovery attempt at a backend now.
func (ctl *Controller) recoveryDue(b *backend) bool {
	return b.ejected() && ctl.now >= b.nextRecoveryAt && ctl.now < ctl.recoveryUntil
}

// recoveryLeased reports whether a lease decides which limiter makes the recovery attempts.
func (ctl *Controller) recoveryLeased() bool { return ctl.recoveryUntil != math.MaxInt64 }
