package admission

import "math"

// This file decides when an ejected backend gets a recovery attempt, and when it is in use again.

const (
	// recoveredFailureRate is the failure rate below which an ejected backend is in use again.
	recoveredFailureRate = 0.15
	// recoveryObjectives is the time in longest objectives until the first recovery attempt. It
	// doubles with each ejection in a row, maxRecoveryDoublings times at most.
	recoveryObjectives   = 0.5
	maxRecoveryDoublings = 4
	// recoveryLimiters is how many limiters make recovery attempts at that pace. Where more of them use a
	// backend, each makes fewer, as the one that finds it well notifies the others.
	recoveryLimiters = 8.0
)

// eject takes a backend out of use but for recovery attempts, the first of them after a backoff with jitter.
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
